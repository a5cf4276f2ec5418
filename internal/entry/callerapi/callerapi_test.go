package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeBackend streams as many tokens as are requested.
type fakeBackend struct {
	text     func(pos int) []byte
	err      error // returned after the tokens
	failedAt chan int
}

func (f *fakeBackend) Ready() *code.Error                    { return nil }
func (f *fakeBackend) Addresses(string) Addresses            { return Addresses{TTLMS: 1} }
func (f *fakeBackend) Limits() Limits                        { return Limits{MaxBodyBytes: 1000, MaxTokens: 1 << 30} }
func (f *fakeBackend) CommitStatus(string) (Reply, error)    { return Reply{}, nil }
func (f *fakeBackend) NeedsKey(string, string) (bool, error) { return true, nil }
func (f *fakeBackend) Call(context.Context, *Call) (Reply, error) {
	return Reply{Body: []byte("{}")}, nil
}

func (f *fakeBackend) Generate(ctx context.Context, g *Generate, out Sink) error {
	for pos := range g.MaxTokens {
		if err := out.Token(driver.Token{Pos: pos, Text: f.text(pos)}); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			if f.failedAt != nil {
				f.failedAt <- pos
			}
			return err
		}
	}
	return f.err
}

func generateRequest(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, PathGenerate, strings.NewReader(body))
	r.Header.Set(HeaderDeadline, "1000")
	return r
}

func generateJSON(tokens int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"x","max_tokens":%d,"class":"c"}`, tokens)
}

// Tokens end in the middle of a UTF-8 character, as those of real models do. The caller must receive
// the whole text, and the checksum of the end event must match it.
func TestSplitCharactersAreJoined(t *testing.T) {
	text := []byte("año ñandú 🥒 \"x\"\n")
	f := &fakeBackend{text: func(pos int) []byte { return text[pos : pos+1] }}
	w := httptest.NewRecorder()
	NewHandler(f).ServeHTTP(w, generateRequest(generateJSON(len(text))))
	var got []byte
	var end EndEvent
	for _, event := range strings.Split(w.Body.String(), "\n\n") {
		name, data, _ := strings.Cut(event, "\ndata: ")
		if name == "event: token" {
			var tok struct{ Text string }
			assert.NilError(t, json.Unmarshal([]byte(data), &tok))
			assert.Assert(t, utf8.ValidString(tok.Text))
			got = append(got, tok.Text...)
		}
		if name == "event: end" {
			assert.NilError(t, json.Unmarshal([]byte(data), &end))
		}
	}
	assert.Equal(t, string(got), string(text))
	assert.Equal(t, end.Bytes, len(text))
	assert.Equal(t, end.Sum, fmt.Sprintf("%016x", xxhash.Sum64(text)))
}

func TestFailureBeforeAndAfterTheFirstToken(t *testing.T) {
	f := &fakeBackend{err: code.New(code.EndpointCut, "x").WithRun(code.Ran), text: func(int) []byte { return []byte("w ") }}
	w := httptest.NewRecorder()
	NewHandler(f).ServeHTTP(w, generateRequest(generateJSON(2)))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), "event: error\ndata: {\"code\":3003,"))
	assert.Assert(t, !strings.Contains(w.Body.String(), "event: end"))

	rejecting := &refusingBackend{fakeBackend: f}
	w = httptest.NewRecorder()
	NewHandler(rejecting).ServeHTTP(w, generateRequest(generateJSON(2)))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "3")
	assert.Equal(t, w.Header().Get(HeaderRun), "not-run")
}

type refusingBackend struct{ *fakeBackend }

func (r *refusingBackend) Generate(context.Context, *Generate, Sink) error {
	return code.New(code.QueueFull, "x").WithRetryAfter(2500 * time.Millisecond)
}

// startServer runs the handler on the real server and returns its address.
func startServer(t *testing.T, b Backend) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := NewServer(NewHandler(b))
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.Assert(t, errors.Is(<-done, http.ErrServerClosed))
	})
	return l.Addr().String()
}

// A caller stops reading in the middle of its stream but keeps its connection open. The entry must
// not buffer its tokens without bound, and must end the stream after writeTimeout.
func TestSlowReaderIsDisconnected(t *testing.T) {
	if testing.Short() {
		t.Skip("takes writeTimeout")
	}
	f := &fakeBackend{text: func(int) []byte { return bytes.Repeat([]byte("w"), 1000) }, failedAt: make(chan int, 1)}
	addr := startServer(t, f)
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	b := generateJSON(1 << 20)
	_, err = fmt.Fprintf(conn, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	assert.NilError(t, err)
	select {
	case pos := <-f.failedAt:
		t.Logf("stream ended after %d KB in the kernel's buffers", pos)
	case <-time.After(writeTimeout + 5*time.Second):
		t.Fatal("the stream has not ended")
	}
}

// A caller sends its headers and then only the first byte of its body. It must not occupy a
// connection forever, and receives a refusal with a result code.
func TestSlowSenderIsRefused(t *testing.T) {
	if testing.Short() {
		t.Skip("takes bodyTimeout")
	}
	addr := startServer(t, &fakeBackend{})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 60000\r\nContent-Length: 900\r\n\r\n{")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(bodyTimeout+5*time.Second)))
	answer := make([]byte, 1000)
	n, err := conn.Read(answer)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(answer[:n], []byte("Result-Code: 1003")), "%s", answer[:n])
}

// The server also speaks HTTP/2 without encryption.
func TestHTTP2(t *testing.T) {
	addr := startServer(t, &fakeBackend{text: func(int) []byte { return []byte("w ") }})
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: &p}
	defer tr.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+PathGenerate, strings.NewReader(generateJSON(3)))
	assert.NilError(t, err)
	req.Header.Set(HeaderDeadline, "1000")
	resp, err := (&http.Client{Transport: tr}).Do(req)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.ProtoMajor, 2)
	assert.Assert(t, bytes.Contains(b, []byte("event: end")))
}

// Any bytes decode into a valid completion request or yield a refusal with a result code.
func FuzzDecodeGenerate(f *testing.F) {
	f.Add([]byte(generateJSON(5)))
	f.Add([]byte(`{"model":`))
	f.Add([]byte(`{"model":"m","prompt":"\ud800","max_tokens":1e3}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := decodeGenerate(b, Limits{MaxBodyBytes: 1000, MaxTokens: 100})
		if err != nil {
			assert.Equal(t, err.Run, code.NotRun)
			assert.Assert(t, err.Code == code.BadJSON || err.Code == code.BadField)
			return
		}
		assert.Assert(t, g.Model != "" && len(g.Prompt) > 0 && g.MaxTokens >= 1 && g.MaxTokens <= 100)
	})
}

func FuzzDecodeHeaders(f *testing.F) {
	f.Add("1000", "k", "1700000000000", "r")
	f.Add("-1", "", "x", "\xff")
	f.Fuzz(func(t *testing.T, deadline, key, issued, id string) {
		h := http.Header{}
		h.Set(HeaderDeadline, deadline)
		h.Set(HeaderKey, key)
		h.Set(HeaderIssued, issued)
		h.Set(HeaderRequestID, id)
		now := time.Unix(1, 0)
		if c, err := decodeCaller(h, now); err == nil {
			assert.Assert(t, c.Deadline.After(now) && c.Deadline.Sub(now) <= maxDeadline)
		}
		var c Call
		if err := decodeKey(h, &c); err == nil {
			assert.Assert(t, len(c.Key) > 0 && len(c.Key) <= maxNameBytes && c.Issued.Unix() >= 0)
		}
	})
}

func FuzzJSONText(f *testing.F) {
	f.Add([]byte("plain"))
	f.Add([]byte("\x00\"\\\x7fñ"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if !utf8.Valid(b) {
			return
		}
		var s string
		assert.NilError(t, json.Unmarshal(appendJSON(nil, b), &s))
		assert.Equal(t, s, string(b))
	})
}
