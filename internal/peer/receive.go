package peer

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/yamux"

	"fescuestand/internal/wire"
)

const (
	// requestTimeout bounds the time from the opening of a stream to the end of its request.
	requestTimeout = 10 * time.Second
	// defaultMessageBytes is the memory for requests that are being received, in bytes, of a process without a memory limit.
	defaultMessageBytes = 64 << 20
	// messageMemoryDivisor is the part of the memory limit of the process that they may take.
	messageMemoryDivisor = 4
)

// messageBudget counts the bytes of requests that are being received.
type messageBudget struct{ capacity, used int }

var errMessageBudget = errors.New("requests that are being received take the memory for them")

// SetMemory bounds the requests that are being received by the memory limit of the process in bytes, zero if it has none.
func (s *Server) SetMemory(limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received.capacity = defaultMessageBytes
	if limit > 0 {
		s.received.capacity = int(limit / messageMemoryDivisor)
	}
}

// readRequest reads the request of a stream. A session whose unfinished requests take more than it leaves free for those of
// others is closed: only that frees what its streams hold.
func (s *Server) readRequest(c *peerConn, stream *yamux.Stream) (*wire.PeerRequest, error) {
	taken := 0
	defer func() { s.giveBack(c, taken) }()
	take := func(n int) error {
		err := s.take(c, n)
		if err == nil {
			taken += n
		}
		return err
	}
	if err := stream.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return nil, err
	}
	var req wire.PeerRequest
	if err := readMessage(stream, &req, take); err != nil {
		if errors.Is(err, errMessageBudget) {
			s.closeGreedy(c)
		}
		return nil, err
	}
	return &req, stream.SetReadDeadline(time.Time{})
}

func (s *Server) take(c *peerConn, n int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.received+n > s.received.capacity-s.received.used {
		return errMessageBudget
	}
	c.received += n
	s.received.used += n
	return nil
}

func (s *Server) giveBack(c *peerConn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.received -= n
	s.received.used -= n
}

func (s *Server) closeGreedy(c *peerConn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Greedy++
	s.warn("peer sends too much", log.Fields{"remote": c.RemoteAddr(), "streams": c.streams, "bytes": c.received})
}
