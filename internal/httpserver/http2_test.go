package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldConn is a connection whose next read that receives data is held back once it is armed.
type heldConn struct {
	net.Conn
	armed           atomic.Bool
	reached, opened chan struct{}
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.armed.Swap(false) {
		close(c.reached)
		<-c.opened
	}
	return n, err
}

// heldListener passes on the connection that it accepts first.
type heldListener struct {
	net.Listener
	accepted chan *heldConn
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &heldConn{Conn: nc, reached: make(chan struct{}), opened: make(chan struct{})}
	l.accepted <- c
	return c, nil
}

// holdTime is how long a request is held back beside a drain.
const holdTime = 200 * time.Millisecond

func http2Only() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// Guards against a drain that closes a connection of HTTP/2 without telling the caller that the request it has just sent isn't handled.
func TestDrainOfHTTP2TellsWhichRequestsAreNotHandled(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	held := &heldListener{ln, make(chan *heldConn, 1)}
	var handled atomic.Int64
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout, Protocols: http2Only()}
	draining := &testServer{New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		_, _ = io.WriteString(w, "first")
	}), base, Options{}), ln.Addr().String(), make(chan error, 1)}
	go func() { draining.served <- draining.Serve(held) }()
	t.Cleanup(func() { _ = draining.Close() })
	other := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "second") }), http2Only(), Options{})

	// A caller connects to another VM for a request that its first one hasn't handled.
	addresses := make(chan string, 2)
	addresses <- draining.addr
	addresses <- other.addr
	client := &http.Client{Transport: &http.Transport{
		Protocols: http2Only(),
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, <-addresses)
		},
	}}
	post := func() (string, error) {
		resp, err := client.Post("http://vms/", "text/plain", strings.NewReader("body"))
		if err != nil {
			return "", err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return string(body), err
	}
	body, err := post()
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	c := <-held.accepted
	c.armed.Store(true)
	time.AfterFunc(holdTime, func() { close(c.opened) })
	drained := make(chan struct{})
	go func() { defer close(drained); <-c.reached; draining.drain(t) }()
	body, err = post()
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
	<-drained
	assert.Equal(t, handled.Load(), int64(1))
}

const (
	connPreface      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	emptySettings    = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	frameHeaderBytes = 9
	settingsFrame    = 4
	goAwayFrame      = 7
)

// readFrameType reads a frame and returns its type.
func readFrameType(t *testing.T, rd io.Reader) byte {
	t.Helper()
	var head [frameHeaderBytes]byte
	_, err := io.ReadFull(rd, head[:])
	assert.NilError(t, err)
	_, err = io.CopyN(io.Discard, rd, int64(head[0])<<16|int64(head[1])<<8|int64(head[2]))
	assert.NilError(t, err)
	return head[3]
}

// Guards against a drain that closes a new connection of HTTP/2 without telling its caller that no request is handled.
func TestDrainOfHTTP2BeforeTheFirstRequest(t *testing.T) {
	s := start(t, answerOK, http2Only(), Options{})
	c, answers := dial(t, s)
	sendText(t, c, connPreface+emptySettings)
	for settings := 0; settings < 2; { // the server's, and the acknowledgement of the caller's
		if readFrameType(t, answers) == settingsFrame {
			settings++
		}
	}
	drained := make(chan struct{})
	go func() { defer close(drained); s.drain(t) }()
	for kind := byte(settingsFrame); kind != goAwayFrame; {
		kind = readFrameType(t, answers)
	}
	assert.NilError(t, c.Close())
	<-drained
	assert.Equal(t, s.Counts().BadRequests, int64(0))
}
