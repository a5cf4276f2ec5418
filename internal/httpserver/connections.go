package httpserver

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/connlimit"
)

// SetConnectionLimits bounds the open connections and the memory that they take. At a bound, connections are given up for
// new ones as package connlimit decides, and new ones are closed if none can be.
func (s *Server) SetConnectionLimits(l connlimit.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLimits(l)
}

// Connections returns the number of open connections, and the most there were.
func (s *Server) Connections() (open, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count(), s.table.Peak()
}

// GiveUpStalled resets the connection whose client has been waited for longest, if one has been waited for
// connlimit.MinStallTime.
func (s *Server) GiveUpStalled() {
	s.mu.Lock()
	up := s.table.GiveUpStalled(time.Now())
	s.mu.Unlock()
	s.giveUp(up)
}

// admit adds an accepted connection, and reports false if it can't be served.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	entry, up := s.table.Open(time.Now(), c)
	c.entry = entry
	if entry != nil {
		s.conns[c] = struct{}{}
		if s.empty != nil {
			c.end()
		}
	}
	s.mu.Unlock()
	s.giveUp(up)
	if entry == nil {
		s.counts.add(connRefused)
		s.logGivenUp(connlimit.GivenUp[*conn]{}, 1)
	}
	return entry != nil
}

// headerRead records how many bytes of a header have been read from a connection.
func (s *Server) headerRead(c *conn, bytes int) {
	s.mu.Lock()
	up := s.table.Read(time.Now(), c.entry, int64(bytes))
	s.mu.Unlock()
	s.giveUp(up)
}

func (s *Server) requestBegins(c *conn) {
	s.mu.Lock()
	up := s.table.Begin(time.Now(), c.entry)
	s.mu.Unlock()
	s.giveUp(up)
}

func (s *Server) requestEnds(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(c.entry)
}

// giveUp ends connections.
func (s *Server) giveUp(up connlimit.GivenUp[*conn]) {
	n := len(up.Waiting) + len(up.Stalled) + len(up.Busy)
	if n == 0 {
		return
	}
	for _, c := range up.Waiting {
		c.endWaiting()
	}
	for _, c := range up.Stalled {
		c.reset()
	}
	for _, c := range up.Busy {
		c.end()
	}
	for range n {
		s.counts.add(connGivenUp)
	}
	s.logGivenUp(up, 0)
}

func (s *Server) logGivenUp(up connlimit.GivenUp[*conn], refused int) {
	s.mu.Lock()
	leftOut, ok := s.giveUpLines.Allow(clock.Time(time.Since(s.created)))
	open := s.table.Count()
	s.mu.Unlock()
	if !ok {
		return
	}
	log.WithField("server", s.o.Name).WithField("open", open).WithField("waiting", len(up.Waiting)).WithField("stalled", len(up.Stalled)).
		WithField("busy", len(up.Busy)).WithField("refused", refused).WithField("left_out", leftOut).Warn("connections given up")
}

// endWaiting closes the connection unless a whole header has arrived.
func (c *conn) endWaiting() {
	c.end()
	c.giveUpHeader()
	if c.isMultiplexed() {
		_ = c.Close() // the request of another caller may be among those that arrive now
	}
}

// reset closes the connection without waiting for what has been written.
func (c *conn) reset() {
	c.dropUnsent()
	_ = c.Conn.Close()
}

// stalledSince returns since when the request waits for its client, the zero time if it doesn't.
func (c *conn) stalledSince() time.Time {
	if at := c.writingSince.Load(); at != 0 {
		return c.s.created.Add(time.Duration(at))
	}
	if c.readingBody.Load() {
		return c.s.created.Add(time.Duration(c.handledAt.Load()))
	}
	return time.Time{}
}

// writePartBytes is what a client must read in connlimit.MinStallTime to count as one that reads.
const writePartBytes = 32 << 10

// writeParts writes b in parts, so that a client that reads slowly is told from one that doesn't read.
func (c *conn) writeParts(b []byte) (written int, err error) {
	defer c.writingSince.Store(0)
	for {
		c.writingSince.Store(int64(time.Since(c.s.created)))
		n, err := c.Conn.Write(b[:min(len(b), writePartBytes)])
		written += n
		b = b[n:]
		if err != nil || len(b) == 0 {
			return written, err
		}
	}
}
