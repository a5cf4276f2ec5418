package httpserver

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"gotest.tools/v3/assert"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// captureLog returns the log lines of the test from now on.
func captureLog(t *testing.T) *logBuffer {
	t.Helper()
	out := &logBuffer{}
	previous := log.Log
	log.SetHandler(logfmt.New(out))
	t.Cleanup(func() { log.Log = previous })
	return out
}

func requestID(r *http.Request) string { return r.Header.Get("Id") }

// exchange sends a request and returns the answer, or the error that the caller sees instead.
func (s *testServer) exchange(t *testing.T) (status int, body string, err error) {
	t.Helper()
	c, answers := dial(t, s)
	sendText(t, c, "GET /p HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n")
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against an empty success for a request whose handler has answered nothing.
func TestHandlerWithoutAnswerBreaksTheConnection(t *testing.T) {
	lines := captureLog(t)
	s := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil, Options{Name: "front", RequestID: requestID})
	_, _, err := s.exchange(t)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	s.drain(t)
	assert.Equal(t, s.Counts().Unanswered, int64(1))
	assert.Assert(t, strings.Contains(lines.String(), "id=7"), lines.String())
}

// Guards against an interim response that is taken for the answer.
func TestInterimResponseIsNoAnswer(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
	}), nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, getRequest)
	interim, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	assert.Equal(t, interim.StatusCode, http.StatusEarlyHints)
	_, err = http.ReadResponse(answers, nil)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a fault of a handler that leaves neither an answer nor a line in the log.
func TestFaultBeforeTheAnswerIsRefusedAndLogged(t *testing.T) {
	lines := captureLog(t)
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "3")
		panic("no route")
	}), nil, Options{Name: "front", RequestID: requestID})
	status, body, err := s.exchange(t)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Assert(t, strings.HasPrefix(body, "6999 internal"), body)
	s.drain(t)
	assert.Equal(t, s.Counts().Faults, int64(1))
	for _, want := range []string{"id=7", "no route", "answer_test.go"} {
		assert.Assert(t, strings.Contains(lines.String(), want), lines.String())
	}
}

// Guards against a fault within an answer whose caller takes the part that it got for the whole.
func TestFaultWithinTheAnswerBreaksTheConnection(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		assert.NilError(t, http.NewResponseController(w).Flush())
		panic("index out of range")
	}), nil, Options{})
	status, body, err := s.exchange(t)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "part")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	s.drain(t)
	assert.Equal(t, s.Counts().Faults, int64(1))
}

// Guards against a caller of HTTP/1.0 that takes the part of an answer that it got for the whole: there are no chunks, so
// that only the end of the connection shows that of the answer.
func TestBrokenAnswerOfHTTP10IsReset(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/whole" {
			_, _ = io.WriteString(w, "whole")
			return
		}
		_, _ = io.WriteString(w, "part")
		assert.NilError(t, http.NewResponseController(w).Flush())
		panic(http.ErrAbortHandler)
	}), nil, Options{})
	for path, reset := range map[string]error{"/whole": nil, "/part": syscall.ECONNRESET} {
		c, _ := dial(t, s)
		sendText(t, c, "GET "+path+" HTTP/1.0\r\nHost: h\r\n\r\n")
		_, err := io.ReadAll(c)
		assert.ErrorIs(t, err, reset, path)
	}
	s.drain(t)
}

// Guards against a caller of HTTP/1.0 that takes the part of an answer for the whole which it got before the server was
// closed, as at the end of a shutdown.
func TestAnswerOfHTTP10ThatIsCutByTheEndOfTheServerIsReset(t *testing.T) {
	for proto, want := range map[string]error{"HTTP/1.0": syscall.ECONNRESET, "HTTP/1.1": nil} {
		ended := make(chan struct{})
		s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			assert.Check(t, http.NewResponseController(w).Flush())
			<-ended
		}), nil, Options{})
		c, answers := dial(t, s)
		sendText(t, c, "GET / "+proto+"\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		part := make([]byte, len("part"))
		_, err = io.ReadFull(resp.Body, part)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
		_, err = answers.ReadByte()
		if want == nil {
			want = io.EOF
		}
		assert.Check(t, errors.Is(err, want), "%s: %v", proto, err)
		close(ended)
		_ = resp.Body.Close()
	}
}

// Guards against a fault that ends the process or the handling of other requests.
func TestServerGoesOnAfterFaults(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/p" {
			panic(io.ErrUnexpectedEOF)
		}
		_, _ = io.WriteString(w, "ok")
	}), nil, Options{})
	for range 3 {
		status, _, err := s.exchange(t)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusInternalServerError)
	}
	c, answers := dial(t, s)
	sendText(t, c, getRequest)
	assert.Equal(t, readBody(t, answers), "ok")
}

// Guards against connections that end without a request and leave no trace.
func TestErrorsOfConnectionsAreCounted(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.WriteHeader(http.StatusOK)
	}), nil, Options{})
	bad, answers := dial(t, s)
	sendText(t, bad, "no request\r\n\r\n")
	resp, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)

	reset, _ := dial(t, s)
	sendText(t, reset, "GET / HTTP/1.1\r\n")
	s.awaitPartOfHeader(t)
	assert.NilError(t, reset.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, reset.Close())

	_, _, err = s.exchange(t)
	assert.NilError(t, err)
	s.awaitCount(t, func(n Counts) bool { return n.BadRequests == 2 && n.Resets == 1 && n.Misused == 1 })
}

func (s *testServer) awaitCount(t *testing.T, reached func(Counts) bool) {
	t.Helper()
	for range 2000 {
		if reached(s.Counts()) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("counts: %+v", s.Counts())
}
