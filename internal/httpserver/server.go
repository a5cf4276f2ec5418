// Package httpserver serves HTTP for every process of the product.
//
// It adds to net/http what a server in front of other processes needs:
//   - A drain closes no connection on which a request has been read. net/http's Shutdown takes a connection for
//     idle until the header of its next request has been parsed, and closes it unanswered.
//   - Nothing is answered implicitly. net/http sends an empty success if a handler returns without an answer;
//     here the connection is aborted instead.
//   - A panic of a handler is logged with the request's id and its stack, and the caller gets a refusal, or sees
//     the connection break if a part of the answer has been sent.
//   - Errors of connections are counted by kind.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/eventlog"
	"fescuestand/internal/policy/connlimit"
	"fescuestand/internal/stall"
)

// headerGrace is how long a drain waits for the rest of a request's header. Callers send a header at once.
const headerGrace = time.Second

// Options configure a Server.
type Options struct {
	// Name identifies the server in the log.
	Name string
	// RequestID returns the id of a request for the log. Nil means that requests have none.
	RequestID func(*http.Request) string
	// Refuse answers a request whose handler has panicked before it answered. It must not say that the request
	// hasn't run. Nil means a plain 500.
	Refuse func(http.ResponseWriter, *http.Request)
}

// Server is an HTTP server on one listener. It is used once.
type Server struct {
	o        Options
	http     *http.Server
	handler  http.Handler
	inFlight atomic.Int64 // requests
	counts   counters
	limits   atomic.Pointer[Limits]
	created  time.Time

	mu          sync.Mutex
	ln          net.Listener
	conns       map[*conn]struct{}
	table       connlimit.Table[*conn]
	giveUpLines eventlog.Limit
	empty       chan struct{} // closed when no connection of HTTP/1 is open; nil before the drain
}

// New returns a server that serves h. The timeouts, protocols and limits are those of base, whose IdleTimeout and
// ReadHeaderTimeout (or ReadTimeout) must be set.
func New(h http.Handler, base *http.Server, o Options) *Server {
	s := &Server{o: o, http: base, handler: h, created: time.Now(), conns: map[*conn]struct{}{}}
	s.table.StalledSince = (*conn).stalledSince
	own := ownLimits(base)
	s.limits.Store(&own)
	base.Handler = http.HandlerFunc(s.serve)
	base.ErrorLog = s.errorLog()
	base.ConnState = s.connState
	base.ConnContext = withConn
	return s
}

// Serve accepts connections until the server drains or closes, and returns nil then.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	draining := s.empty != nil
	s.mu.Unlock()
	if draining {
		return ln.Close()
	}
	if err := boundBuffers(ln); err != nil {
		return err
	}
	err := s.http.Serve(&listener{ln, s})
	if errors.Is(err, http.ErrServerClosed) || s.isDraining() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// InFlight returns the number of requests that are being handled.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Drain closes the listener and each connection on which no request has been read, and returns when all others
// have been closed after their answers, or when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	empty := s.beginDrain()
	late := stall.AfterFunc(headerGrace, s.giveUpHeaders)
	defer late.Stop()
	select {
	case <-empty:
	case <-ctx.Done():
		return ctx.Err()
	}
	// Connections of HTTP/2 are left. Shutdown tells their callers that no further request is accepted.
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // the listener had been closed before
}

func (s *Server) beginDrain() (empty <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.empty != nil {
		return s.empty
	}
	s.empty = make(chan struct{})
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		c.end()
	}
	s.signalIfEmpty()
	return s.empty
}

// giveUpHeaders ends the wait for headers of which a part has been read.
func (s *Server) giveUpHeaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.giveUpHeader()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.empty != nil
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.table.Close(c.entry)
	s.signalIfEmpty()
}

// signalIfEmpty closes s.empty if no connection of HTTP/1 is open. s.mu is held.
func (s *Server) signalIfEmpty() {
	if s.empty == nil {
		return
	}
	for c := range s.conns {
		if !c.isMultiplexed() {
			return
		}
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// connState implements the ConnState callback of net/http.
func (s *Server) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setActive()
		s.requestBegins(c)
	case http.StateIdle:
		c.setIdle()
		s.requestEnds(c)
	case http.StateClosed, http.StateHijacked:
		if c.wasRejected() {
			s.counts.add(badRequest)
		}
		s.remove(c)
	}
}

// listener wraps the accepted connections.
type listener struct {
	net.Listener
	s *Server
}

// Accept implements net.Listener. It closes connections that can't be served.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, s: l.s, unread: true, bufferBytes: receiveBufferBytes}
		if l.s.admit(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}
