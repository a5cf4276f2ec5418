package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/httpserver"
	"fescuestand/internal/network"
	"fescuestand/internal/policy/connlimit"
)

const (
	// headerTimeout bounds the time to read a request's header, and idleTimeout the time that a
	// connection may stay idle, unless the configuration says otherwise.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds a request's header. The configuration may have a lower limit.
	maxHeaderBytes = 64 << 10
)

// Server is a kernel unit that serves HTTP on one address.
type Server struct {
	// Network is that of the machine. Another one is set before Provision.
	Network network.Network

	name   string
	addr   string
	linger time.Duration
	ln     net.Listener
	http   *httpserver.Server
}

// NewServer returns a unit that serves h on addr. When it drains, it still accepts requests for the
// time linger, as callers keep using addresses that were advertised to them, and then waits until
// no request is in flight. A handler may name its requests for the log by a method RequestID.
func NewServer(name, addr string, h http.Handler, linger time.Duration) *Server {
	base := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	o := httpserver.Options{Name: name}
	if i, ok := h.(requestIdentifier); ok {
		o.RequestID = i.RequestID
	}
	return &Server{Network: network.Machine{}, name: name, addr: addr, linger: linger, http: httpserver.New(h, base, o)}
}

// requestIdentifier is a handler whose requests have ids.
type requestIdentifier interface {
	RequestID(*http.Request) string
}

// Left implements kernel.Leftover.
func (s *Server) Left() int { return s.http.InFlight() }

// SetLimits puts limits for callers in force; a zero field stands for this package's own.
func (s *Server) SetLimits(l httpserver.Limits) { s.http.SetLimits(l) }

// SetConnectionLimits bounds the open connections and the memory that they take.
func (s *Server) SetConnectionLimits(l connlimit.Limits) { s.http.SetConnectionLimits(l) }

// GiveUpStalled resets the connection whose client has been waited for longest, if that is long.
func (s *Server) GiveUpStalled() { s.http.GiveUpStalled() }

// Counts returns the server's counters.
func (s *Server) Counts() httpserver.Counts { return s.http.Counts() }

// Name implements kernel.Unit.
func (s *Server) Name() string { return s.name }

// Provision implements kernel.Provisioner.
func (s *Server) Provision(ctx context.Context) error {
	var err error
	s.ln, err = s.Network.Listen(ctx, "tcp4", s.addr)
	return err
}

// Run implements kernel.Runner.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.ln); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// Drain implements kernel.Drainer.
func (s *Server) Drain(ctx context.Context) error {
	t := time.NewTimer(s.linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	log.WithField("server", s.name).Info("server closes idle connections")
	err := s.http.Drain(ctx)
	log.WithField("server", s.name).WithField("whole", err == nil).Info("server drained")
	return err
}

// Close implements kernel.Closer.
func (s *Server) Close() error { return s.http.Close() }
