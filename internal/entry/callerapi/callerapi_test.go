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

// fake is a Backend that streams as many tokens as it is asked for.
type fake struct {
	text func(pos int) []byte
	err  error // after the tokens
	sent chan int
}

func (f *fake) Ready() *code.Error                         { return nil }
func (f *fake) Addresses(string) Addresses                 { return Addresses{TTLMS: 1} }
func (f *fake) Limits() Limits                             { return Limits{MaxBodyBytes: 1000, MaxTokens: 1 << 30} }
func (f *fake) CommitStatus(string) (Reply, error)               { return Reply{}, nil }
func (f *fake) NeedsKey(string, string) (bool, error)      { return true, nil }
func (f *fake) Call(context.Context, *Call) (Reply, error) { return Reply{Body: []byte("{}")}, nil }

func (f *fake) Generate(ctx context.Context, g *Generate, out Sink) error {
	for pos := range g.MaxTokens {
		if err := out.Token(driver.Token{Pos: pos, Text: f.text(pos)}); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			if f.sent != nil {
				f.sent <- pos
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

func body(tokens int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"x","max_tokens":%d,"class":"c"}`, tokens)
}

// A token ends in the middle of a character, as tokens of real models do. The
// caller must get the whole text, and the end event's sum must be of it.
func TestSplitCharactersArriveWhole(t *testing.T) {
	text := []byte("año ñandú 🥒 \"x\"\n")
	f := &fake{text: func(pos int) []byte { return text[pos : pos+1] }}
	w := httptest.NewRecorder()
	NewHandler(f).ServeHTTP(w, generateRequest(body(len(text))))
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
	f := &fake{err: code.New(code.EndpointCut, "x").WithRun(code.Ran), text: func(int) []byte { return []byte("w ") }}
	w := httptest.NewRecorder()
	NewHandler(f).ServeHTTP(w, generateRequest(body(2)))
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), "event: error\ndata: {\"code\":3003,"))
	assert.Assert(t, !strings.Contains(w.Body.String(), "event: end"))

	refusing := &refuser{fake: f}
	w = httptest.NewRecorder()
	NewHandler(refusing).ServeHTTP(w, generateRequest(body(2)))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "3")
	assert.Equal(t, w.Header().Get(HeaderRun), "not-run")
}

type refuser struct{ *fake }

func (r *refuser) Generate(context.Context, *Generate, Sink) error {
	return code.New(code.QueueFull, "x").WithRetryAfter(2500 * time.Millisecond)
}

// serve runs the handler behind the real server.
func serve(t *testing.T, b Backend) string {
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

// A caller stops reading in the middle of its stream but keeps its connection.
// The entry must not gather its tokens, and gives it up after writeStall.
func TestSlowReaderIsGivenUp(t *testing.T) {
	if testing.Short() {
		t.Skip("takes writeStall")
	}
	f := &fake{text: func(int) []byte { return bytes.Repeat([]byte("w"), 1000) }, sent: make(chan int, 1)}
	addr := serve(t, f)
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	b := body(1 << 20)
	_, err = fmt.Fprintf(conn, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	assert.NilError(t, err)
	select {
	case pos := <-f.sent:
		t.Logf("given up after %d KB in the kernel's buffers", pos)
	case <-time.After(writeStall + 5*time.Second):
		t.Fatal("the entry still writes")
	}
}

// A caller sends its headers and then the body a byte now and then. It must
// not hold a connection for ever, and hears a numbered refusal.
func TestSlowSenderIsRefused(t *testing.T) {
	if testing.Short() {
		t.Skip("takes bodyTime")
	}
	addr := serve(t, &fake{})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/generate HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 60000\r\nContent-Length: 900\r\n\r\n{")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(bodyTime+5*time.Second)))
	answer := make([]byte, 1000)
	n, err := conn.Read(answer)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(answer[:n], []byte("Result-Code: 1003")), "%s", answer[:n])
}

// The server also speaks HTTP/2 without encryption.
func TestHTTP2(t *testing.T) {
	addr := serve(t, &fake{text: func(int) []byte { return []byte("w ") }})
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: &p}
	defer tr.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+PathGenerate, strings.NewReader(body(3)))
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

// Whatever bytes a caller sends, it gets a whole completion request or a
// numbered refusal, never a fault.
func FuzzDecodeGenerate(f *testing.F) {
	f.Add([]byte(body(5)))
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
			assert.Assert(t, len(c.Key) > 0 && len(c.Key) <= maxName && c.Issued.Unix() >= 0)
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
