package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// goAwayTimeout bounds the wait until a peer has confirmed that it opens no further streams. One that
	// is gone never does.
	goAwayTimeout = time.Second
	// drainPollInterval is the interval of the checks whether streams are open.
	drainPollInterval = 10 * time.Millisecond
)

// Drain tells the peers that this process takes no further requests, and returns when those that it has taken
// are answered. Requests that arrive later are reset, which tells their senders that they aren't handled.
func (s *Server) Drain(ctx context.Context) error {
	var told sync.WaitGroup
	for _, session := range s.beginDrain() {
		told.Go(func() { tellGoAway(session) })
	}
	told.Wait()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C: // streams that have arrived are accepted and counted by then
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.openStreams() == 0 {
			return nil
		}
	}
}

func (s *Server) beginDrain() []*yamux.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	sessions := make([]*yamux.Session, 0, len(s.sessions))
	for session := range s.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// tellGoAway returns when the peer has received that no further stream is accepted, or is gone. A failure
// means that the session has ended.
func tellGoAway(session *yamux.Session) {
	told := make(chan struct{})
	go func() {
		defer close(told)
		if session.GoAway() == nil {
			_, _ = session.Ping()
		}
	}()
	select {
	case <-told:
	case <-time.After(goAwayTimeout):
	}
}

// track records an open session until the returned function is called.
func (s *Server) track(session *yamux.Session) (untrack func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[session] = struct{}{}
	if s.draining {
		go tellGoAway(session)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, session)
	}
}

// countStream records that a stream of a connection has been opened (1) or closed (-1).
func (s *Server) countStream(c *peerConn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += n
	c.streams += n
	switch c.streams {
	case 0:
		s.table.End(c.entry)
	case n: // the first one
		s.giveUp(s.table.Begin(time.Now(), c.entry))
	}
}

func (s *Server) openStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}
