package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// heldListener accepts connections whose next read that receives data can be held back.
type heldListener struct {
	net.Listener
	mu              sync.Mutex
	armed           bool
	reached, opened chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c, l}, nil
}

func (l *heldListener) arm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.armed = true
}

func (l *heldListener) pass() {
	l.mu.Lock()
	armed := l.armed
	l.armed = false
	l.mu.Unlock()
	if armed {
		close(l.reached)
		<-l.opened
	}
}

type heldConn struct {
	net.Conn
	l *heldListener
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.l.pass()
	}
	return n, err
}

// holdTime is how long a request is held back beside a drain.
const holdTime = 100 * time.Millisecond

// Guards against a drain that closes a link on which a forwarded request has arrived, so that its outcome counts as unknown.
func TestDrainTellsWhichForwardedRequestsAreNotHandled(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	held := &heldListener{Listener: ln, reached: make(chan struct{}), opened: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	s := NewServer(hello("server"), &echoHandler{})
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, held) }()
	p := NewPool(hello("client"))
	defer func() { _ = p.Close() }()
	_, err = p.Call(t.Context(), ln.Addr().String(), &wire.PeerRequest{})
	assert.NilError(t, err)

	held.arm()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-held.reached
		time.AfterFunc(holdTime, func() { close(held.opened) })
		assert.Check(t, s.Drain(t.Context()))
		cancel()
	}()
	frames, err := p.Forward(t.Context(), ln.Addr().String(), &wire.Forward{Path: "/x"})
	if err == nil {
		_, err = frames.Next()
		assert.NilError(t, frames.Close())
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, code.Of(err).Run, code.NotRun, "%v", err)
	<-ended
	_, err = p.Forward(t.Context(), ln.Addr().String(), &wire.Forward{Path: "/x"})
	assert.Equal(t, code.Of(err).Run, code.NotRun, "%v", err)
	assert.NilError(t, <-served)
}

// faultyHandler fails on each request.
type faultyHandler struct{}

func (faultyHandler) Handle(context.Context, *wire.Hello, *wire.PeerRequest) *wire.PeerResponse {
	panic("fault")
}

func (faultyHandler) Forward(context.Context, *wire.Hello, *wire.Forward, func(*wire.ForwardFrame) error) error {
	panic("fault")
}

// Guards against a fault of a handler that ends the process, and against one that counts as an empty answer.
func TestAFaultOfAHandlerEndsOnlyItsRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- NewServer(hello("server"), faultyHandler{}).Serve(ctx, ln) }()
	p := NewPool(hello("client"))
	defer func() { _ = p.Close() }()
	for range 2 {
		_, err = p.Call(t.Context(), ln.Addr().String(), &wire.PeerRequest{})
		assert.Equal(t, code.Of(err).Code, code.PeerGone)
		frames, err := p.Forward(t.Context(), ln.Addr().String(), &wire.Forward{Path: "/x"})
		assert.NilError(t, err)
		_, err = frames.Next()
		assert.Assert(t, err != nil)
		assert.Equal(t, code.Of(err).Run, code.Unknown)
		assert.NilError(t, frames.Close())
	}
	cancel()
	assert.NilError(t, <-served)
}

// slowHandler answers a forwarded call in two frames, the second of which waits.
type slowHandler struct {
	echoHandler
	resume chan struct{}
}

func (h *slowHandler) Forward(_ context.Context, _ *wire.Hello, _ *wire.Forward, send func(*wire.ForwardFrame) error) error {
	if err := send(&wire.ForwardFrame{Status: 200}); err != nil {
		return err
	}
	<-h.resume
	return send(&wire.ForwardFrame{End: true})
}

// Guards against answers that are cut off as another request is sent to the peer, which takes no further ones and still
// answers those that it has taken.
func TestRequestToADrainingPeerCutsNoAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	h := &slowHandler{resume: make(chan struct{})}
	s := NewServer(hello("server"), h)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	p := NewPool(hello("client"))
	defer func() { _ = p.Close() }()
	frames, err := p.Forward(t.Context(), ln.Addr().String(), &wire.Forward{Path: "/x"})
	assert.NilError(t, err)
	_, err = frames.Next()
	assert.NilError(t, err)

	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	for refused := false; !refused; {
		_, err := p.Call(t.Context(), ln.Addr().String(), &wire.PeerRequest{})
		refused = err != nil
	}
	_, err = p.Forward(t.Context(), ln.Addr().String(), &wire.Forward{Path: "/x"})
	assert.Equal(t, code.Of(err).Run, code.NotRun, "%v", err)
	close(h.resume)
	last, err := frames.Next()
	assert.NilError(t, err)
	assert.Assert(t, last.End)
	assert.NilError(t, frames.Close())
	assert.NilError(t, <-drained)
	cancel()
	assert.NilError(t, <-served)
}
