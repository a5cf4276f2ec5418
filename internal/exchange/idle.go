package exchange

import (
	"errors"
	"os"
	"slices"
	"time"
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
	p.removeIdle(addr, c)
	_ = c.Close()
	if n > 0 {
		p.countSurplus(addr, n)
	}
}

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
