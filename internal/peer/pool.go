package peer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"fescuestand/internal/code"
	"fescuestand/internal/stall"
	"fescuestand/internal/wire"
)

const (
	dialTimeout = 2 * time.Second
	// Reconnects after failures back off exponentially from backoffMin to backoffMax. Each wait is
	// random between half and the whole of the backoff, so that the peers of a restarted VM don't
	// all dial it at the same time.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// Pool keeps one session to each peer address that it calls. It is safe for concurrent use.
type Pool struct {
	hello *wire.Hello
	mu    sync.Mutex
	links map[string]*peerLink
}

type peerLink struct {
	mu         sync.Mutex
	session    *yamux.Session
	failures   int
	nextDialAt time.Time
}

// NewPool returns a pool that introduces itself with hello.
func NewPool(hello *wire.Hello) *Pool {
	return &Pool{hello: hello, links: map[string]*peerLink{}}
}

// Call sends one request to the peer at addr and returns its answer. Transport errors have the
// code PeerGone or PeerVersion.
func (p *Pool) Call(ctx context.Context, addr string, req *wire.PeerRequest) (*wire.PeerResponse, error) {
	stream, err := p.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := closeWhenDone(ctx, stream)
	defer stop()
	if err := writeMessage(stream, req); err != nil {
		return nil, code.Wrap(code.PeerGone, err, "request to %s", addr)
	}
	var resp wire.PeerResponse
	if err := readMessage(stream, &resp, unclaimed); err != nil {
		return nil, code.Wrap(code.PeerGone, err, "answer of %s", addr)
	}
	return &resp, nil
}

// Frames is the answer to a forwarded call.
type Frames struct {
	stream *yamux.Stream
	stop   func() bool
	begun  bool // a frame has been read
}

// Next returns the next frame. If the stream is closed instead, it returns io.ErrUnexpectedEOF, or an
// error that says that the request hasn't run if the peer hasn't taken it.
func (f *Frames) Next() (*wire.ForwardFrame, error) {
	var frame wire.ForwardFrame
	if err := readMessage(f.stream, &frame, unclaimed); err != nil {
		if !f.begun && errors.Is(err, yamux.ErrConnectionReset) {
			return nil, notTaken(err)
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // a complete answer ends with an End frame
		}
		return nil, err
	}
	f.begun = true
	return &frame, nil
}

// notTaken returns the error for a stream that the peer has reset before its first frame: it resets only
// streams that it doesn't accept.
func notTaken(err error) error {
	return code.Wrap(code.PeerGone, err, "the peer takes no further requests").WithRun(code.NotRun)
}

// Close closes the stream, which cancels the call at the peer if it still runs.
func (f *Frames) Close() error {
	f.stop()
	return f.stream.Close()
}

// Forward forwards a caller's request to the peer at addr.
func (p *Pool) Forward(ctx context.Context, addr string, fwd *wire.Forward) (*Frames, error) {
	stream, err := p.openStream(ctx, addr)
	if err != nil {
		return nil, err
	}
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_Forward{Forward: fwd}}
	if err := writeMessage(stream, req); err != nil {
		_ = stream.Close()
		if errors.Is(err, yamux.ErrConnectionReset) {
			return nil, notTaken(err)
		}
		return nil, code.Wrap(code.PeerGone, err, "forward to %s", addr).WithRun(code.Unknown)
	}
	return &Frames{stream: stream, stop: closeWhenDone(ctx, stream)}, nil
}

// closeWhenDone closes the stream and aborts its blocked reads and writes when ctx ends. The
// returned function stops it.
func closeWhenDone(ctx context.Context, stream *yamux.Stream) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})
}

// Close closes all sessions.
func (p *Pool) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		if l.session != nil {
			_ = l.session.Close()
		}
		l.mu.Unlock()
	}
	return nil
}

func (p *Pool) link(addr string) *peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[addr]
	if !ok {
		l = &peerLink{}
		p.links[addr] = l
	}
	return l
}

// CloseSession removes the link to an address that is no longer in the list of VMs, and closes its
// session.
func (p *Pool) CloseSession(addr string) {
	p.mu.Lock()
	l, ok := p.links[addr]
	delete(p.links, addr)
	p.mu.Unlock()
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
}

func (p *Pool) openStream(ctx context.Context, addr string) (*yamux.Stream, error) {
	session, err := p.link(addr).connect(ctx, addr, p.hello)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if errors.Is(err, yamux.ErrRemoteGoAway) {
		// The peer still answers the requests that it has taken.
		return nil, code.Wrap(code.PeerGone, err, "%s takes no further requests", addr)
	}
	if err != nil {
		_ = session.Close()
		return nil, code.Wrap(code.PeerGone, err, "stream to %s", addr)
	}
	return stream, nil
}

// connect returns the open session or dials a new one. During a backoff it fails at once, so that
// its callers choose another peer instead of waiting here.
func (l *peerLink) connect(ctx context.Context, addr string, hello *wire.Hello) (*yamux.Session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil && !l.session.IsClosed() {
		return l.session, nil
	}
	if wait := time.Until(l.nextDialAt); wait > 0 {
		return nil, code.New(code.PeerGone, "%s failed %d times; next try in %s", addr, l.failures, wait.Round(time.Millisecond)).WithRetryAfter(wait)
	}
	session, err := dial(ctx, addr, hello)
	if err != nil {
		l.failures++
		l.nextDialAt = time.Now().Add(backoff(l.failures))
		return nil, err
	}
	l.session, l.failures = session, 0
	return session, nil
}

func dial(ctx context.Context, addr string, hello *wire.Hello) (*yamux.Session, error) {
	conn, err := stall.DialContext(ctx, &net.Dialer{}, dialTimeout, "tcp", addr)
	if err != nil {
		return nil, code.Wrap(code.PeerGone, err, "dial")
	}
	if _, err := handshake(conn, hello); err != nil {
		_ = conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, code.Wrap(code.PeerGone, err, "session with %s", addr)
	}
	return session, nil
}

func backoff(failures int) time.Duration {
	d := backoffMax
	if shift := failures - 1; shift < 6 {
		d = min(backoffMin<<shift, backoffMax)
	}
	return d/2 + rand.N(d/2)
}
