package exchange

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"syscall"
	"time"

	"fescuestand/internal/clock"
)

// watch waits for what arrives on an idle connection. Nothing may: the endpoint has either closed the
// connection, or sends bytes that belong to no request and could fill the kernel's buffers.
type watch struct {
	done  chan struct{} // closed when the watch has ended
	quiet bool          // nothing had arrived; valid once done is closed
}

// watchIdle closes an idle connection as soon as anything arrives on it.
func (p *Pool) watchIdle(addr string, c *conn, w *watch) {
	var surplus [1]byte
	n, err := c.Conn.Read(surplus[:])
	w.quiet = n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
	close(w.done)
	if w.quiet {
		return
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) && !c.isNew() {
		p.recordEnd(addr, c)
	}
	p.removeIdle(addr, c)
	_ = c.Close()
	if n > 0 {
		p.countSurplus(addr, n)
	}
}

// isNew reports whether the endpoint may not have accepted c yet: it resets connections beyond its bound.
func (c *conn) isNew() bool { return time.Since(c.dialedAt) < endsTogether }

// end ends the watch of c, which has been taken from the pool, and reports whether nothing had arrived.
func (w *watch) end(c *conn) bool {
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	<-w.done
	return w.quiet && c.SetReadDeadline(time.Time{}) == nil
}

// removeIdle removes c from the pool if it is there.
func (p *Pool) removeIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := slices.DeleteFunc(p.idle[addr], func(other *conn) bool { return other == c })
	if len(list) == 0 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = list
}

// recordEnd records that an endpoint has ended an idle connection which could have been used for longer.
func (p *Pool) recordEnd(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); c.witness || now.Sub(c.idleAt) < c.idleTimeout {
		p.endedAt[addr] = now
	}
}

// endsTogether is the time within which the ends of all connections of a process arrive that has ended.
const endsTogether = 50 * time.Millisecond

// hasEnded reports whether an endpoint has just ended an idle connection.
func (p *Pool) hasEnded(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.endedAt[addr]) < endsTogether
}

// CheckProcess reports whether the process lives that has just ended an exchange at addr. Idle connections from before
// show it, as they end with their process; a request with VerifyEnd sees to them. Without one it is Check, which may find
// another process.
func (p *Pool) CheckProcess(ctx context.Context, addr string) Life {
	before := p.idleTo(addr)
	if len(before) > 0 && !clock.Sleep(ctx, lifeCheckTime) {
		return Unknown
	}
	after := p.idleTo(addr)
	p.mu.Lock()
	endedAt := p.endedAt[addr]
	p.mu.Unlock()
	hasEnded := time.Since(endedAt) < endsTogether
	// A connection that was dialed after the end may lead to the next process.
	isOpen := func(c *conn) bool { return slices.Contains(before, c) && (!hasEnded || c.dialedAt.Before(endedAt)) }
	switch {
	case slices.ContainsFunc(after, isOpen):
		return Alive
	case hasEnded:
		return Ended
	}
	return p.Check(ctx, addr)
}

// idleTo returns the idle connections to addr.
func (p *Pool) idleTo(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.idle[addr])
}

// countSurplus counts bytes that belong to no request, of which n were read.
func (p *Pool) countSurplus(addr string, n int) {
	p.count(func(s *Stats) { s.Surplus++ })
	p.exceeded(addr, &BoundError{Cause: Surplus, Bytes: int64(n)})
}

func (p *Pool) exceeded(addr string, e *BoundError) {
	if p.OnExceeded != nil {
		p.OnExceeded(addr, e)
	}
}
