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
	"fescuestand/internal/httpserver"
)

const (
	// maxDeadline is the longest deadline that is accepted. An hour is far above the deadline of the
	// longest class, and still finite.
	maxDeadline = time.Hour
	// maxNameBytes bounds identifiers that are stored or logged.
	maxNameBytes = 200
	// maxHeaderBytes bounds the size of all headers together. It is below net/http's own bound, so
	// that the refusal carries a result code.
	maxHeaderBytes = 16 << 10
	// bodyTimeout bounds how long a caller may take to send its body: 1 MiB at 1 Mbit/s. A slower
	// sender would occupy a connection and memory.
	bodyTimeout = 8 * time.Second
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

// decodeGenerate decodes the body of a completion request and validates whatever can be checked
// without the sheet.
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
	case b.Model == "" || len(b.Model) > maxNameBytes:
		return nil, code.New(code.BadField, "model: allowed: 1 to %d bytes", maxNameBytes)
	case len(b.Version) > maxNameBytes, len(b.Adapter) > maxNameBytes, len(b.Class) > maxNameBytes:
		return nil, code.New(code.BadField, "version, adapter, class: allowed: up to %d bytes", maxNameBytes)
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

// decodeCaller reads the headers that are common to all requests.
func decodeCaller(h http.Header, now time.Time) (Caller, *code.Error) {
	c := Caller{RequestID: h.Get(HeaderRequestID), Name: h.Get(HeaderCaller), Workspace: h.Get(HeaderWorkspace)}
	for _, v := range []string{c.RequestID, c.Name, c.Workspace} {
		if len(v) > maxNameBytes || !utf8.ValidString(v) {
			return c, code.New(code.BadField, "%s, %s, %s: allowed: up to %d bytes of UTF-8", HeaderRequestID, HeaderCaller, HeaderWorkspace, maxNameBytes)
		}
	}
	remaining, err := decodeDeadline(h)
	c.Deadline = now.Add(remaining)
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

// decodeKey reads the idempotency key of a non-idempotent operation into c.
func decodeKey(h http.Header, c *Call) *code.Error {
	keyValues, issuedValues := h.Values(HeaderKey), h.Values(HeaderIssued)
	if len(keyValues) == 0 || len(issuedValues) == 0 {
		return code.New(code.MissingKey, "%s and %s are required", HeaderKey, HeaderIssued)
	}
	if len(keyValues) > 1 || len(issuedValues) > 1 {
		return code.New(code.BadKey, "%s and %s: wanted once each", HeaderKey, HeaderIssued)
	}
	ms, err := strconv.ParseInt(issuedValues[0], 10, 64)
	if err != nil || ms <= 0 {
		return code.New(code.BadKey, "%s: %.40q is not a time in Unix milliseconds", HeaderIssued, issuedValues[0])
	}
	if len(keyValues[0]) == 0 || len(keyValues[0]) > maxNameBytes || !utf8.ValidString(keyValues[0]) {
		return code.New(code.BadKey, "%s: allowed: 1 to %d bytes of UTF-8", HeaderKey, maxNameBytes)
	}
	c.Key, c.Issued = keyValues[0], time.UnixMilli(ms)
	return nil
}

// checkHeaders refuses requests whose headers are over maxHeaderBytes.
func checkHeaders(h http.Header) *code.Error {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > maxHeaderBytes {
		return code.New(code.HeaderTooLarge, "%d bytes of headers; allowed: %d", size, maxHeaderBytes)
	}
	return nil
}

// readBody reads a body of up to limit bytes, within the read deadline that ServeHTTP has set. It
// checks the declared size before it allocates memory.
func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *code.Error) {
	if r.ContentLength > int64(limit) {
		return nil, code.New(code.BodyTooLarge, "%d bytes; allowed: %d", r.ContentLength, limit)
	}
	body, err := io.ReadAll(httpserver.LimitBody(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		// After the body, the server reads from the connection only to detect that the caller
		// disconnects, which needs no deadline.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, code.New(code.BodyTooLarge, "over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, code.New(code.SlowSender, "the body did not arrive within %v", bodyTimeout)
	}
	return nil, code.Wrap(code.CallerGone, err, "reading the body")
}
