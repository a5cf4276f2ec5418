package peer

import (
	"bytes"
	"context"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/policy/connlimit"
	"fescuestand/internal/wire"
)

// echoHandler echoes requests. On the path /wait it blocks until the call is canceled.
type echoHandler struct{ canceled chan struct{} }

func (e *echoHandler) Handle(_ context.Context, from *wire.Hello, req *wire.PeerRequest) *wire.PeerResponse {
	return &wire.PeerResponse{Detail: from.Vm, Kind: &wire.PeerResponse_Sheet{
		Sheet: &wire.SheetBody{Version: req.GetGetSheet().GetAbove()}}}
}

func (e *echoHandler) Forward(ctx context.Context, _ *wire.Hello, req *wire.Forward, send func(*wire.ForwardFrame) error) error {
	if req.Path == "/wait" {
		<-ctx.Done()
		close(e.canceled)
		return ctx.Err()
	}
	if err := send(&wire.ForwardFrame{Status: 200, Data: req.Body}); err != nil {
		return err
	}
	return send(&wire.ForwardFrame{End: true})
}

func hello(vm string) *wire.Hello {
	return &wire.Hello{Protocol: Protocol, Deployment: "d", Vm: vm}
}

func serve(t *testing.T) (addr string, h *echoHandler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h = &echoHandler{canceled: make(chan struct{})}
	done := make(chan error)
	go func() { done <- NewServer(hello("server"), h).Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return ln.Addr().String(), h
}

func TestCallAndForward(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("inner", func(t *testing.T) {
		addr, _ := serve(t)
		p := NewPool(hello("client"))
		defer func() { _ = p.Close() }()
		resp, err := p.Call(t.Context(), addr, &wire.PeerRequest{Kind: &wire.PeerRequest_GetSheet{GetSheet: &wire.GetSheet{Above: 7}}})
		assert.NilError(t, err)
		assert.Equal(t, resp.GetSheet().Version, uint64(7))
		assert.Equal(t, resp.Detail, "client")
		frames, err := p.Forward(t.Context(), addr, &wire.Forward{Path: "/x", Body: []byte("b")})
		assert.NilError(t, err)
		first, err := frames.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(first.Data), "b")
		last, err := frames.Next()
		assert.NilError(t, err)
		assert.Assert(t, last.End)
		assert.NilError(t, frames.Close())
	})
}

// Guards against an engine that goes on generating after the caller has disconnected: the caller
// closes its connection to the first entry while a second one still works on the forwarded
// request. The cancellation must reach the second entry.
func TestForwardIsCanceledWhenTheCallerDisconnects(t *testing.T) {
	addr, h := serve(t)
	p := NewPool(hello("client"))
	defer func() { _ = p.Close() }()
	frames, err := p.Forward(t.Context(), addr, &wire.Forward{Path: "/wait"})
	assert.NilError(t, err)
	assert.NilError(t, frames.Close())
	<-h.canceled
}

func TestPeerOfAnotherProtocolVersionIsRejected(t *testing.T) {
	addr, _ := serve(t)
	other := hello("client")
	other.Protocol = Protocol + 1
	_, err := NewPool(other).Call(t.Context(), addr, &wire.PeerRequest{})
	assert.Equal(t, code.Of(err).Code, code.PeerVersion)
}

func TestBackoffRefusesAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.NilError(t, ln.Close())
	p := NewPool(hello("client"))
	_, err = p.Call(t.Context(), addr, &wire.PeerRequest{})
	assert.Equal(t, code.Of(err).Code, code.PeerGone)
	_, err = p.Call(t.Context(), addr, &wire.PeerRequest{})
	assert.Assert(t, code.Of(err).RetryAfter > 0)
}

func FuzzReadMessage(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 8})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(_ *testing.T, b []byte) {
		var m wire.PeerRequest
		_ = readMessage(bytes.NewReader(b), &m, unclaimed)
	})
}

// shortListener has no descriptors for its first connections.
type shortListener struct {
	net.Listener
	failures int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends, and its process with it, as it has no descriptor for a connection.
func TestServerOutlivesAWantOfDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	s, served := NewServer(hello("server"), &echoHandler{}), make(chan error, 1)
	go func() { served <- s.Serve(ctx, &shortListener{ln, 3}) }()
	p := NewPool(hello("client"))
	defer func() { _ = p.Close() }()
	_, err = p.Call(t.Context(), ln.Addr().String(), &wire.PeerRequest{})
	assert.NilError(t, err)
	assert.Equal(t, s.Counts().AcceptErrors, int64(3))
	cancel()
	assert.NilError(t, <-served)
}

// Guards against connections that greet nobody, or are idle, and keep peers from connecting.
func TestConnectionsOfPeersAreBounded(t *testing.T) {
	const limit, crowd = 8, 30
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	s, served := NewServer(hello("server"), &echoHandler{}), make(chan error, 1)
	s.SetConnectionLimits(connlimit.Limits{Connections: limit})
	go func() { served <- s.Serve(ctx, ln) }()
	for range crowd {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	var calls []error
	for range crowd {
		p := NewPool(hello("client"))
		defer func() { _ = p.Close() }()
		_, err = p.Call(t.Context(), ln.Addr().String(), &wire.PeerRequest{})
		calls = append(calls, err)
	}
	assert.Assert(t, slices.Contains(calls, nil), "%v", calls)
	assert.Assert(t, s.Counts().Peak <= limit && s.Counts().GivenUp > 0, "%+v", s.Counts())
	cancel()
	assert.NilError(t, <-served)
}
