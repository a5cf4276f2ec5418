package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/yamux"

	"fescuestand/internal/clock"
	"fescuestand/internal/eventlog"
	"fescuestand/internal/fault"
	"fescuestand/internal/policy/connlimit"
	"fescuestand/internal/wire"
)

// MaxStreams bounds the concurrent streams of a session; further streams are closed at once. A
// peer forwards only requests that it has admitted itself, which bounds its streams too.
const MaxStreams = 1024

// Handler serves the requests of peers.
type Handler interface {
	// Handle answers one request.
	Handle(ctx context.Context, from *wire.Hello, req *wire.PeerRequest) *wire.PeerResponse
	// Forward serves a caller's request that a peer forwarded. It calls send for each frame of
	// the answer. An error of send means that the peer has disconnected.
	Forward(ctx context.Context, from *wire.Hello, req *wire.Forward, send func(*wire.ForwardFrame) error) error
}

// Server accepts sessions from peers.
type Server struct {
	hello   *wire.Hello
	handler Handler
	wg      sync.WaitGroup
	created time.Time

	mu       sync.Mutex
	table    connlimit.Table[*peerConn]
	received messageBudget
	counts   Counts         // without Open and Peak
	lines    eventlog.Limit // about connections that aren't served
	ln       net.Listener
	sessions map[*yamux.Session]struct{}
	streams  int // that are open
	draining bool
}

// NewServer returns a server that introduces itself with hello.
func NewServer(hello *wire.Hello, h Handler) *Server {
	s := &Server{hello: hello, handler: h, created: time.Now(), sessions: map[*yamux.Session]struct{}{}}
	s.table.StalledSince = func(*peerConn) time.Time { return time.Time{} }
	s.received.capacity = defaultMessageBytes
	return s
}

// Serve accepts sessions on ln until ctx ends. It then closes ln and all sessions, and waits for
// their handlers. While connections can't be accepted for want of descriptors or memory, it tries again.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	draining := s.draining
	s.mu.Unlock()
	if draining {
		return ln.Close()
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer s.wg.Wait()
	var pause time.Duration
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			pause = 0
			s.accept(ctx, conn)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case !isShortage(err):
			return err
		default:
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			s.acceptFailed(err)
			clock.Sleep(ctx, pause)
		}
	}
}

// accept serves a connection if there is room for it.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	c := &peerConn{Conn: conn}
	if !s.admit(c) {
		_ = conn.Close()
		return
	}
	s.wg.Go(func() {
		defer s.remove(c)
		s.serveConn(ctx, c)
	})
}

func (s *Server) serveConn(ctx context.Context, conn *peerConn) {
	from, err := handshake(conn, s.hello)
	if err != nil {
		s.handshakeFailed(conn, err)
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	s.setSession(conn, session)
	defer func() { _ = session.Close() }()
	defer s.track(session)()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	sessionCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	slots := make(chan struct{}, MaxStreams)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = stream.Close()
			continue
		}
		s.countStream(conn, 1)
		s.wg.Go(func() {
			defer s.countStream(conn, -1)
			defer func() { <-slots }()
			s.serveStream(sessionCtx, conn, from, stream)
		})
	}
}

func (s *Server) serveStream(ctx context.Context, conn *peerConn, from *wire.Hello, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	defer logFault(from)
	req, err := s.readRequest(conn, stream)
	if err != nil {
		return
	}
	fwd := req.GetForward()
	if fwd == nil {
		_ = writeMessage(stream, s.handler.Handle(ctx, from, req))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchPeer(stream, cancel)
	send := func(f *wire.ForwardFrame) error { return writeMessage(stream, f) }
	if err := s.handler.Forward(ctx, from, fwd, send); err != nil {
		log.WithError(err).WithField("peer", from.Vm).Debug("forward ended")
	}
}

// logFault is deferred around a handler. The stream of a handler that fails is closed without an answer.
func logFault(from *wire.Hello) {
	if f := recover(); f != nil {
		fault.Entry(log.WithField("peer", from.GetVm()), f).Error("handler of a peer's request failed")
	}
}

// watchPeer cancels a forwarded call when the peer closes its side of the stream, which it does
// when its caller has disconnected.
func watchPeer(stream *yamux.Stream, cancel context.CancelFunc) {
	var b [1]byte
	_, _ = stream.Read(b[:])
	cancel()
}
