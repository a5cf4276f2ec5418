package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"fescuestand/internal/code"
)

const (
	// maxDeadline is the longest deadline that makes sense: an hour is far
	// above the longest class and still finite.
	maxDeadline = time.Hour
	// maxName bounds identifiers that are kept or logged.
	maxName = 200
	// maxHeaders bounds all headers together. net/http's own bound is above
	// it, so that the refusal carries a numbered code.
	maxHeaders = 16 << 10
	// bodyTime is how long a caller may take to send its body: 1 MiB at
	// 1 Mbit/s. A slower sender holds a connection and its memory for nothing.
	bodyTime = 8 * time.Second
)

type generateBody struct {
	Model     string `json:"model"`
	Version   string `json:"version"`
	Adapter   string `json:"adapter"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Class     string `json:"class"`
}

// decodeGenerate checks everything that needs no sheet.
func decodeGenerate(body []byte, limits Limits) (*Generate, *code.Error) {
	var b generateBody
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return nil, code.Wrap(code.BadJSON, err, "body")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, code.New(code.BadJSON, "more than one JSON value in the body")
	}
	switch {
	case b.Model == "" || len(b.Model) > maxName:
		return nil, code.New(code.BadField, "model: allowed: 1 to %d bytes", maxName)
	case len(b.Version) > maxName, len(b.Adapter) > maxName, len(b.Class) > maxName:
		return nil, code.New(code.BadField, "version, adapter, class: allowed: up to %d bytes", maxName)
	case b.Prompt == "":
		return nil, code.New(code.BadField, "prompt: must not be empty")
	case b.MaxTokens < 1 || b.MaxTokens > limits.MaxTokens:
		return nil, code.New(code.BadField, "max_tokens: is %d; allowed: 1 to %d", b.MaxTokens, limits.MaxTokens)
	}
	return &Generate{
		Model: b.Model, Version: b.Version, Adapter: b.Adapter, Prompt: []byte(b.Prompt),
		MaxTokens: b.MaxTokens, Seed: b.Seed, Class: b.Class,
	}, nil
}

// decodeCaller reads the headers that every request carries.
func decodeCaller(h http.Header, now time.Time) (Caller, *code.Error) {
	c := Caller{RequestID: h.Get(HeaderRequestID), Name: h.Get(HeaderCaller), Workspace: h.Get(HeaderWorkspace)}
	for _, v := range []string{c.RequestID, c.Name, c.Workspace} {
		if len(v) > maxName || !utf8.ValidString(v) {
			return c, code.New(code.BadField, "%s, %s, %s: allowed: up to %d bytes of UTF-8", HeaderRequestID, HeaderCaller, HeaderWorkspace, maxName)
		}
	}
	left, err := decodeDeadline(h)
	c.Deadline = now.Add(left)
	return c, err
}

func decodeDeadline(h http.Header) (time.Duration, *code.Error) {
	values := h.Values(HeaderDeadline)
	if len(values) != 1 {
		return 0, code.New(code.BadDeadline, "%s: wanted once, is there %d times", HeaderDeadline, len(values))
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	switch {
	case err != nil:
		return 0, code.New(code.BadDeadline, "%s: %.40q is not a number of milliseconds", HeaderDeadline, values[0])
	case ms < 0:
		return 0, code.New(code.DeadlinePassed, "%s: is %d", HeaderDeadline, ms)
	case ms == 0 || ms > maxDeadline.Milliseconds():
		return 0, code.New(code.BadDeadline, "%s: is %d; allowed: 1 to %d", HeaderDeadline, ms, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// decodeKey reads the headers of a non-idempotent operation.
func decodeKey(h http.Header, c *Call) *code.Error {
	keys, issued := h.Values(HeaderKey), h.Values(HeaderIssued)
	if len(keys) == 0 || len(issued) == 0 {
		return code.New(code.MissingKey, "%s and %s are required", HeaderKey, HeaderIssued)
	}
	if len(keys) > 1 || len(issued) > 1 {
		return code.New(code.BadKey, "%s and %s: wanted once each", HeaderKey, HeaderIssued)
	}
	ms, err := strconv.ParseInt(issued[0], 10, 64)
	if err != nil || ms <= 0 {
		return code.New(code.BadKey, "%s: %.40q is not a time in Unix milliseconds", HeaderIssued, issued[0])
	}
	if len(keys[0]) == 0 || len(keys[0]) > maxName || !utf8.ValidString(keys[0]) {
		return code.New(code.BadKey, "%s: allowed: 1 to %d bytes of UTF-8", HeaderKey, maxName)
	}
	c.Key, c.Issued = keys[0], time.UnixMilli(ms)
	return nil
}

// checkHeaders refuses a flood of headers.
func checkHeaders(h http.Header) *code.Error {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > maxHeaders {
		return code.New(code.HeaderTooLarge, "%d bytes of headers; allowed: %d", size, maxHeaders)
	}
	return nil
}

// readBody reads the body within its size, and within the time that ServeHTTP
// has set. The size is checked before the memory is taken.
func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *code.Error) {
	if r.ContentLength > int64(limit) {
		return nil, code.New(code.BodyTooLarge, "%d bytes; allowed: %d", r.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// From here on the server only waits for the caller to go away.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, code.New(code.BodyTooLarge, "over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, code.New(code.SlowSender, "the body did not arrive within %v", bodyTime)
	}
	return nil, code.Wrap(code.CallerGone, err, "reading the body")
}
