package httpserver

import (
	"cmp"
	"net/http"
	"time"
)

// Limits bound how long a caller of HTTP/1 may take. A zero field stands for the server's own timeout.
type Limits struct {
	// Header is the time from the first byte of a request's header to its end.
	Header time.Duration
	// Idle is the time until the first byte of a request, from an answer or the beginning of the connection.
	Idle time.Duration
}

// SetLimits puts limits in force, for open connections as well. A shorter limit counts from now on for a connection
// that is waiting already: its caller may rely on the limit that was in force so far.
func (s *Server) SetLimits(l Limits) {
	l = l.or(ownLimits(s.http))
	s.mu.Lock()
	defer s.mu.Unlock()
	if *s.limits.Load() == l {
		return
	}
	s.limits.Store(&l)
	now := time.Now()
	for c := range s.conns {
		c.applyLimits(now)
	}
}

// ownLimits returns the timeouts of an HTTP server.
func ownLimits(s *http.Server) Limits {
	return Limits{Header: cmp.Or(s.ReadHeaderTimeout, s.ReadTimeout), Idle: cmp.Or(s.IdleTimeout, s.ReadTimeout)}
}

// or returns l with the fields of other in place of those that are zero.
func (l Limits) or(other Limits) Limits {
	return Limits{Header: cmp.Or(l.Header, other.Header), Idle: cmp.Or(l.Idle, other.Idle)}
}

// wait is a wait for a caller's next byte. The zero value is none.
type wait struct {
	since    time.Time
	deadline time.Time
}

// waitLimit returns the limit of a connection's wait: for a request, or for the rest of a header. c.mu is held.
func (c *conn) waitLimit() time.Duration {
	if c.unread {
		return c.s.limits.Load().Idle
	}
	return c.s.limits.Load().Header
}

// beginWait returns the deadline of a wait which net/http bounds by its own timeout. c.mu is held.
func (c *conn) beginWait(now, own time.Time) time.Time {
	c.wait = wait{since: now, deadline: own}
	if !c.unread {
		c.wait.since = c.headerSince
	}
	if limit := c.waitLimit(); limit > 0 {
		c.wait.deadline = c.wait.since.Add(limit)
	}
	return c.wait.deadline
}

// beginHeader records that a request's header begins. c.mu is held.
func (c *conn) beginHeader(now time.Time) {
	c.headerSince = now
	if c.wait.deadline.IsZero() {
		return
	}
	// The first bytes of a header are still read by the deadline of the wait for them.
	if limit := c.waitLimit(); limit > 0 {
		c.wait = wait{since: now, deadline: now.Add(limit)}
		_ = c.Conn.SetReadDeadline(c.wait.deadline)
	}
}

// applyLimits moves the deadline of a connection's wait, as the limits have changed.
func (c *conn) applyLimits(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.deadline.IsZero() || c.active || c.multiplexed || c.ending || c.gaveUp {
		return
	}
	limit := c.waitLimit()
	if limit <= 0 {
		return
	}
	deadline := c.wait.since.Add(limit)
	if earliest := earlier(c.wait.deadline, now.Add(limit)); deadline.Before(earliest) {
		deadline = earliest
	}
	c.wait.deadline = deadline
	_ = c.Conn.SetReadDeadline(deadline)
}

// countExpiredWait counts a wait that has ended by its deadline, once.
func (c *conn) countExpiredWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.deadline.IsZero() || c.ending || c.gaveUp {
		return
	}
	c.wait = wait{}
	if c.unread {
		c.s.counts.add(idleClosed)
	} else {
		c.s.counts.add(headerLate)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

const (
	// maxWriteTime is how long a caller may take to read what a write sends. The kernel may take a part of it from its
	// buffer only, so that slow links need most of it.
	maxWriteTime = time.Minute
	// writeDeadlineStep is the time after which a write moves the deadline: it is kept for the frequent small ones.
	writeDeadlineStep = time.Second
)

// boundWrite sets the deadline of a write, unless the handler or net/http has set one.
func (c *conn) boundWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownWriteDeadline || now.Sub(c.writeBoundAt) < writeDeadlineStep {
		return
	}
	c.writeBoundAt = now
	// A failure means that the connection has been closed, as the write finds out.
	_ = c.Conn.SetWriteDeadline(now.Add(maxWriteTime))
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownWriteDeadline, c.writeBoundAt = !t.IsZero(), time.Time{}
	return c.Conn.SetWriteDeadline(t)
}
