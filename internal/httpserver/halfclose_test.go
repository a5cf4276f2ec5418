package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxNoticeTime is within which work must end after its caller has closed the connection.
const maxNoticeTime = 500 * time.Millisecond

// workTime is how long the handlers of these tests work.
const workTime = 700 * time.Millisecond

// worker is a handler that works for a time, and reports when it ends and whether its request was cancelled.
type worker struct {
	begun chan struct{}
	ended chan bool
	first string // a part of the answer that is sent before the work, none if empty
	pause time.Duration
}

func newWorker() *worker {
	return &worker{begun: make(chan struct{}, 10), ended: make(chan bool, 10), pause: workTime}
}

func (h *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if h.first != "" {
		_, _ = io.WriteString(w, h.first)
		_ = http.NewResponseController(w).Flush()
	}
	h.begun <- struct{}{}
	select {
	case <-time.After(h.pause):
		h.ended <- false
		_, _ = io.WriteString(w, "whole "+string(body))
	case <-r.Context().Done():
		h.ended <- true
		panic(http.ErrAbortHandler)
	}
}

func (h *worker) awaitEnd(t *testing.T) (cancelled bool, after time.Duration) {
	t.Helper()
	since := time.Now()
	select {
	case cancelled = <-h.ended:
	case <-time.After(maxDrainTime):
		t.Fatal("the handler doesn't end")
	}
	return cancelled, time.Since(since)
}

func closeWrite(t *testing.T, c net.Conn) {
	t.Helper()
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
}

// readFinal returns the final answer, the interim responses before it, and the error of its body.
func readFinal(t *testing.T, answers *bufio.Reader) (status int, body string, interim int, err error) {
	t.Helper()
	for {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return 0, "", interim, err
		}
		if resp.StatusCode < http.StatusOK {
			interim++
			continue
		}
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), interim, err
	}
}

const postRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"

// Guards against work that goes on for a caller that has closed its connection.
func TestWorkEndsAfterAFullClose(t *testing.T) {
	for _, request := range []string{getRequest, postRequest, "GET / HTTP/1.0\r\n\r\n"} {
		h := newWorker()
		s := start(t, h, nil, Options{})
		c, _ := dial(t, s)
		sendText(t, c, request)
		<-h.begun
		assert.NilError(t, c.Close())
		cancelled, after := h.awaitEnd(t)
		assert.Assert(t, cancelled && after < maxNoticeTime, "%q: cancelled %v after %v", request, cancelled, after)
	}
}

// Guards against work that goes on for a caller that closes its side first and the connection later.
func TestWorkEndsAfterALateFullClose(t *testing.T) {
	h := newWorker()
	h.pause = 4 * workTime
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, postRequest)
	closeWrite(t, c)
	<-h.begun
	time.Sleep(workTime)
	_, _ = answers.Discard(answers.Buffered())
	assert.NilError(t, c.Close())
	cancelled, after := h.awaitEnd(t)
	assert.Assert(t, cancelled && after < maxNoticeTime, "cancelled %v after %v", cancelled, after)
}

// Guards against work that goes on if a proxy between caller and server passes on the end of the caller's side alone.
func TestWorkEndsAfterAFullCloseBehindAProxy(t *testing.T) {
	h := newWorker()
	s := start(t, h, nil, Options{})
	c, err := net.Dial("tcp4", startProxy(t, s.addr))
	assert.NilError(t, err)
	sendText(t, c, postRequest)
	<-h.begun
	assert.NilError(t, c.Close())
	cancelled, after := h.awaitEnd(t)
	assert.Assert(t, cancelled && after < maxNoticeTime, "cancelled %v after %v", cancelled, after)
}

// startProxy forwards one connection in both directions, each until its end.
func startProxy(t *testing.T, to string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp4", to)
		if err != nil {
			_ = in.Close()
			return
		}
		go forward(in, out)
		forward(out, in)
		_, _ = in.Close(), out.Close()
	}()
	return ln.Addr().String()
}

func forward(from, to net.Conn) {
	_, _ = io.Copy(struct{ io.Writer }{to}, struct{ io.Reader }{from})
	_ = to.(*net.TCPConn).CloseWrite()
}

// Guards against an answer that a caller doesn't get because it has closed its side.
func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	h := newWorker()
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, postRequest)
	closeWrite(t, c)
	status, body, interim, err := readFinal(t, answers)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "whole abc")
	assert.Assert(t, interim > 0)
	assertClosed(t, c, answers)
	s.drain(t)
	assert.Equal(t, s.Counts().HalfClosed, int64(1))
	assert.Equal(t, s.Counts().CallersLeft, int64(0))
}

// Guards against an interim response to a caller of HTTP/1.0, which would take it for the answer.
func TestCallerOfHTTP10GetsNoInterimResponse(t *testing.T) {
	h := newWorker()
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "GET / HTTP/1.0\r\n\r\n")
	closeWrite(t, c)
	_, _, interim, err := readFinal(t, answers)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, interim, 0)
}

// Guards against a probe within an answer.
func TestNoProbeWithinAnAnswer(t *testing.T) {
	h := newWorker()
	h.first, h.pause = "first ", 2*probeInterval
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, postRequest)
	<-h.begun
	closeWrite(t, c)
	status, body, interim, err := readFinal(t, answers)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "first whole abc")
	assert.Equal(t, interim, 0)
}

// Guards against an answer that pauses, whose caller has left unnoticed.
func TestPausingAnswerEndsForACallerThatHasClosedItsSide(t *testing.T) {
	h := newWorker()
	h.first = "first "
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, postRequest)
	<-h.begun
	closeWrite(t, c)
	cancelled, after := h.awaitEnd(t)
	assert.Assert(t, cancelled && after < maxNoticeTime, "cancelled %v after %v", cancelled, after)
	_, body, _, err := readFinal(t, answers)
	assert.Equal(t, body, "first ")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against a second request on the connection that is lost with the end of the caller's side.
func TestHalfCloseAfterPipelinedRequests(t *testing.T) {
	h := newWorker()
	h.pause = 3 * probeInterval
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, postRequest+strings.Replace(postRequest, "abc", "def", 1))
	closeWrite(t, c)
	for _, want := range []string{"whole abc", "whole def"} {
		status, body, _, err := readFinal(t, answers)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, want)
	}
	assertClosed(t, c, answers)
}

// Guards against a body that is cut off by the caller and taken for whole.
func TestHalfCloseWithinTheBody(t *testing.T) {
	read := make(chan error, 1)
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		read <- err
		w.WriteHeader(http.StatusBadRequest)
	}), nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, postRequest[:len(postRequest)-1])
	closeWrite(t, c)
	assert.ErrorIs(t, <-read, io.ErrUnexpectedEOF)
	status, _, _, err := readFinal(t, answers)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusBadRequest)
	assertClosed(t, c, answers)
}

// Guards against a drain that ends the request of a caller that has closed its side.
func TestDrainWaitsForAHalfClosedCaller(t *testing.T) {
	h := newWorker()
	s := start(t, h, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, getRequest)
	closeWrite(t, c)
	<-h.begun
	done := make(chan struct{})
	go func() { defer close(done); s.drain(t) }()
	_, body, _, err := readFinal(t, answers)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole ")
	<-done
}

// Guards against a wait that outlives its connection.
func TestCloseEndsTheWaitForAHalfClosedCaller(t *testing.T) {
	h := newWorker()
	s := start(t, h, nil, Options{})
	c, _ := dial(t, s)
	sendText(t, c, getRequest)
	closeWrite(t, c)
	<-h.begun
	assert.NilError(t, s.Close())
	cancelled, _ := h.awaitEnd(t)
	assert.Assert(t, cancelled)
	assert.Assert(t, !errors.Is(<-s.served, io.EOF))
}
