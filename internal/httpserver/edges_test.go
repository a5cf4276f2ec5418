package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// arrivedConns connections have a request in their buffer when the drain begins.
const arrivedConns = 50

// Guards against a drain that drops a request which has arrived and which the process hasn't come to read yet.
func TestDrainReadsWhatHasArrived(t *testing.T) {
	s := start(t, answerOK, nil, Options{})
	conns := make([]net.Conn, arrivedConns)
	answers := make([]*bufio.Reader, arrivedConns)
	for i := range conns {
		conns[i], answers[i] = dial(t, s)
		sendText(t, conns[i], getRequest)
		assert.Equal(t, readBody(t, answers[i]), "ok")
	}
	s.awaitIdle(t)
	for i := range conns {
		sendText(t, conns[i], getRequest)
	}
	s.drain(t)
	for i := range conns {
		assert.Equal(t, readBody(t, answers[i]), "ok")
	}
}

// awaitIdle waits until no request is in progress.
func (s *testServer) awaitIdle(t *testing.T) {
	t.Helper()
	s.awaitCount(t, func(Counts) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			idle := c.unread
			c.mu.Unlock()
			if !idle {
				return false
			}
		}
		return true
	})
}

// holdingListener accepts connections whose reads call hold with what they have received.
type holdingListener struct {
	net.Listener
	hold func(received []byte)
}

func (l *holdingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &holdingConn{c, l.hold}, nil
}

type holdingConn struct {
	net.Conn
	hold func([]byte)
}

func (c *holdingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.hold(b[:n])
	}
	return n, err
}

// Guards against a request that is cut because its header had been read, but not parsed, when the drain gave up waiting for headers.
func TestHeaderReadAtTheEndOfItsGraceIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	read, goOn := make(chan struct{}), make(chan struct{})
	var once sync.Once
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout}
	s := startOn(t, &holdingListener{ln, func(received []byte) {
		if strings.HasSuffix(string(received), "\r\n\r\n") {
			once.Do(func() { close(read); <-goOn })
		}
	}}, answerOK, base, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "GET / HTTP/1.1\r\nHost")
	s.awaitPartOfHeader(t)
	sendText(t, c, ": h\r\n\r\n")
	<-read
	s.beginDrain()
	s.giveUpHeaders()
	close(goOn)
	assert.Equal(t, readBody(t, answers), "ok")
	s.drain(t)
}

// Guards against a drain that waits for a caller that has sent a stray byte behind its request.
func TestDrainEndsBesideAStrayByte(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(begun)
		<-goOn
		_, _ = io.WriteString(w, "ok")
	}), nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	<-begun
	sendText(t, c, "\r")
	s.awaitReadAhead(t)
	s.beginDrain()
	s.giveUpHeaders() // the grace ends before the answer
	close(goOn)
	assert.Equal(t, readBody(t, answers), "ok")
	s.drain(t)
}

func (s *testServer) awaitReadAhead(t *testing.T) {
	t.Helper()
	s.awaitCount(t, func(Counts) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.mu.Lock()
			ahead := c.readAhead
			c.mu.Unlock()
			if ahead {
				return true
			}
		}
		return false
	})
}

// Guards against a first call of Drain that waits for ever as a second one begins.
func TestDrainTwice(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-goOn
		_, _ = io.WriteString(w, "ok")
	}), nil, Options{})
	c, answers := dial(t, s)
	sendText(t, c, getRequest)
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), maxDrainTime)
	defer cancel()
	ended := make(chan error, 2)
	s.beginDrain()
	for range cap(ended) {
		go func() { ended <- s.Drain(ctx) }()
	}
	close(goOn)
	assert.Equal(t, readBody(t, answers), "ok")
	for range cap(ended) {
		assert.NilError(t, <-ended)
	}
}

// Guards against a refusal that a caller can't read as its connection is reset while it sends.
func TestRefusedCallerSeesTheEndOfItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout, MaxHeaderBytes: 1 << 10}
	s := startOn(t, ln, answerOK, base, Options{})
	c, answers := dial(t, s)
	sendText(t, c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 16<<10))
	resp, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_, err = answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
