package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testHeaderTimeout = 10 * time.Second
	testIdleTimeout   = 60 * time.Second
	// maxDrainTime bounds how long a test waits for a server that drains.
	maxDrainTime = 5 * time.Second
)

// testServer is a running server.
type testServer struct {
	*Server
	addr   string
	served chan error
}

func start(t *testing.T, h http.Handler, protocols *http.Protocols, o Options) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout, Protocols: protocols}
	return startOn(t, ln, h, base, o)
}

func startOn(t *testing.T, ln net.Listener, h http.Handler, base *http.Server, o Options) *testServer {
	t.Helper()
	s := &testServer{New(h, base, o), ln.Addr().String(), make(chan error, 1)}
	go func() { s.served <- s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func (s *testServer) drain(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxDrainTime)
	defer cancel()
	assert.NilError(t, s.Drain(ctx))
	assert.NilError(t, <-s.served)
}

func dial(t *testing.T, s *testServer) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", s.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func sendText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

var answerOK = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })

func readBody(t *testing.T, answers *bufio.Reader) string {
	t.Helper()
	resp, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// assertClosed checks that the server has closed a connection.
func assertClosed(t *testing.T, c net.Conn, answers *bufio.Reader) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxDrainTime)))
	_, err := answers.ReadByte()
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is open")
}

func TestDrainClosesConnectionsWithoutARequest(t *testing.T) {
	s := start(t, answerOK, nil, Options{})
	idle, idleAnswers := dial(t, s)
	sendText(t, idle, getRequest)
	assert.Equal(t, readBody(t, idleAnswers), "ok")
	unused, unusedAnswers := dial(t, s)
	s.awaitConns(t, 2)
	s.drain(t)
	assertClosed(t, idle, idleAnswers)
	assertClosed(t, unused, unusedAnswers)
}

// awaitConns waits until n connections are open.
func (s *testServer) awaitConns(t *testing.T, n int) {
	t.Helper()
	for range 1000 {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not %d connections", n)
}

// Guards against a drain that waits for a caller that never sends the rest of a header.
func TestDrainEndsBesideAnUnfinishedHeader(t *testing.T) {
	s := start(t, answerOK, nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "GET / HTTP/1.1\r\nHo")
	s.awaitPartOfHeader(t)
	s.drain(t)
	assertClosed(t, c, answers)
	assert.Equal(t, s.Counts().BadRequests, int64(1))
}

func (s *testServer) awaitPartOfHeader(t *testing.T) {
	t.Helper()
	for range 1000 {
		s.mu.Lock()
		for c := range s.conns {
			if c.isInHeader() {
				s.mu.Unlock()
				return
			}
		}
		s.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no part of a header was read")
}

// Guards against a drain that cuts an answer in progress, or a request whose body is still being sent.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, "be")
		_ = http.NewResponseController(w).Flush()
		<-goOn
		_, _ = w.Write(body)
	}), nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\ng")
	<-begun
	drained := make(chan struct{})
	go func() { defer close(drained); s.drain(t) }()
	sendText(t, c, "in")
	close(goOn)
	assert.Equal(t, readBody(t, answers), "begin")
	<-drained
	assertClosed(t, c, answers)
}

// Guards against a drain that drops a request which its caller sent behind another one on the same connection.
func TestDrainAnswersAPipelinedRequest(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	var once sync.Once
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(begun); <-goOn })
		_, _ = io.WriteString(w, r.URL.Path)
	}), nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	drained := make(chan struct{})
	go func() { defer close(drained); s.drain(t) }()
	close(goOn)
	assert.Equal(t, readBody(t, answers), "/1")
	assert.Equal(t, readBody(t, answers), "/2")
	<-drained
}

// Guards against a drain that doesn't end, or cuts requests, on connections of HTTP/2.
func TestDrainOfHTTP2(t *testing.T) {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	begun, goOn := make(chan struct{}), make(chan struct{})
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-goOn
		}
		_, _ = io.WriteString(w, r.Proto)
	}), &p, Options{})
	var only2 http.Protocols
	only2.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &only2}}
	get := func(path string) (string, error) {
		resp, err := client.Get("http://" + s.addr + path)
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	body, err := get("/")
	assert.NilError(t, err)
	assert.Equal(t, body, "HTTP/2.0")
	slow := make(chan string, 1)
	go func() { body, err := get("/slow"); slow <- fmt.Sprint(body, err) }()
	<-begun
	drained := make(chan struct{})
	go func() { defer close(drained); s.drain(t) }()
	close(goOn)
	assert.Equal(t, <-slow, "HTTP/2.0<nil>")
	<-drained
}

const (
	// drainRounds servers drain while drainCallers send requests on kept connections.
	drainRounds  = 60
	drainCallers = 12
	// maxRequestsBeforeDrain is reached while the callers send.
	maxRequestsBeforeDrain = 200
)

// Guards against a request that is handled and gets no answer as the server drains.
func TestDrainLosesNoHandledRequest(t *testing.T) {
	for round := range drainRounds {
		rng := rand.New(rand.NewPCG(uint64(round), 1))
		var mu sync.Mutex
		handled, answered := map[string]bool{}, map[string]bool{}
		drainAt, count, reached := rng.IntN(maxRequestsBeforeDrain), 0, make(chan struct{})
		s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handled[r.URL.Path] = true
			if count++; count == drainAt+1 {
				close(reached)
			}
			mu.Unlock()
			_, _ = io.WriteString(w, "ok")
		}), nil, Options{})
		var callers sync.WaitGroup
		for n := range drainCallers {
			callers.Go(func() {
				c, err := net.Dial("tcp4", s.addr)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				answers := bufio.NewReader(c)
				for i := 0; ; i++ {
					path := fmt.Sprintf("/%d/%d", n, i)
					if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
						return
					}
					resp, err := http.ReadResponse(answers, nil)
					if err != nil {
						return
					}
					if _, err := io.ReadAll(resp.Body); err != nil {
						return
					}
					mu.Lock()
					answered[path] = true
					mu.Unlock()
					if resp.Close {
						return
					}
				}
			})
		}
		<-reached
		s.drain(t)
		callers.Wait()
		for path := range handled {
			assert.Assert(t, answered[path], "round %d: %s was handled and not answered", round, path)
		}
	}
}

// acceptDelay is how long a closed listener may take to end Accept.
const acceptDelay = 50 * time.Millisecond

// lateListener reports that it was closed only when it is released.
type lateListener struct {
	net.Listener
	release chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.release
	}
	return c, err
}

// Guards against a drain that fails, although every connection has ended in order, while Serve hasn't returned yet.
func TestDrainBeforeServeHasReturned(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	late := &lateListener{ln, make(chan struct{})}
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout}
	s := &testServer{New(answerOK, base, Options{}), ln.Addr().String(), make(chan error, 1)}
	go func() { s.served <- s.Serve(late) }()
	c, answers := dial(t, s)
	sendText(t, c, getRequest)
	assert.Equal(t, readBody(t, answers), "ok")
	time.AfterFunc(acceptDelay, func() { close(late.release) })
	s.drain(t)
}
