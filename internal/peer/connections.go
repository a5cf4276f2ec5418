package peer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/yamux"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/connlimit"
)

const (
	// Pauses before another attempt to accept a connection double from minAcceptPause to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// peerConn is a connection of a peer. Its server's mutex guards it.
type peerConn struct {
	net.Conn
	entry   *connlimit.Entry[*peerConn]
	session *yamux.Session // nil before the handshake
	streams int            // that are open

	received int // bytes of requests that are being received
}

// Counts are events of a server since its start.
type Counts struct {
	AcceptErrors     int64 // connections that couldn't be accepted for want of descriptors or memory
	FailedHandshakes int64
	GivenUp          int64 // connections that made room for others
	Refused          int64 // connections closed as they were accepted, as there was no room
	Greedy           int64 // connections closed as their unfinished requests took too much memory
	Open             int64 // connections that are open now
	Peak             int64 // the most that were open at a time
}

// Counts returns the current values.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.counts
	n.Open, n.Peak = int64(s.table.Count()), int64(s.table.Peak())
	return n
}

// SetConnectionLimits bounds the open connections and the memory that they take. At a bound, those without a handshake and
// sessions without a stream are closed for new ones.
func (s *Server) SetConnectionLimits(l connlimit.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLimits(l)
}

// isShortage reports whether an error of Accept says that descriptors or memory are short, or is about one connection.
func isShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// admit adds a connection, and reports false if there is no room for it.
func (s *Server) admit(c *peerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var up connlimit.GivenUp[*peerConn]
	c.entry, up = s.table.Open(time.Now(), c)
	s.giveUp(up)
	if c.entry == nil {
		s.counts.Refused++
		s.warn("peer connections given up", log.Fields{"given_up": 0, "refused": 1})
	}
	return c.entry != nil
}

func (s *Server) remove(c *peerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Close(c.entry)
}

func (s *Server) setSession(c *peerConn, session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.session = session
	s.table.End(c.entry)
}

// giveUp ends connections. s.mu is held.
func (s *Server) giveUp(up connlimit.GivenUp[*peerConn]) {
	n := len(up.Waiting) + len(up.Busy)
	if n == 0 {
		return
	}
	for _, c := range up.Waiting {
		_ = c.Close() // its session ends
	}
	for _, c := range up.Busy {
		go tellGoAway(c.session)
	}
	s.counts.GivenUp += int64(n)
	s.warn("peer connections given up", log.Fields{"given_up": n, "refused": 0})
}

func (s *Server) acceptFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.AcceptErrors++
	s.warn("peer connection not accepted", log.Fields{"error": err})
}

func (s *Server) handshakeFailed(c *peerConn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.FailedHandshakes++
	s.warn("peer handshake failed", log.Fields{"error": err, "remote": c.RemoteAddr()})
}

// warn logs an event that clients may cause as often as they connect. s.mu is held.
func (s *Server) warn(message string, fields log.Fields) {
	if leftOut, ok := s.lines.Allow(clock.Time(time.Since(s.created))); ok {
		log.WithFields(fields).WithField("left_out", leftOut).Warn(message)
	}
}
