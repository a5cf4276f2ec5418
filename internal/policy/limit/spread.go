package limit

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// minReturn is the shortest time to come back: a round trip to a client
	// takes about 6 ms, and an earlier return would find the same queue.
	minReturn = 50 * time.Millisecond
	// maxReturn caps the promise, since a queue's forecast is worth nothing
	// after the mix has had time to swing.
	maxReturn = 30 * time.Second
)

// Spreader computes the time to come back of refused requests.
//
// A burst of refused callers that were all told the same time would return
// as one burst. The spreader gives each the moment at which the endpoints
// will have worked off the queue and everyone who was told to come before.
type Spreader struct {
	mu   sync.Mutex
	next clock.Time // when the last promise will have been served
	off  bool
}

// NewSpreader returns a spreader; off makes it name the end of the queue to
// everybody, for comparison.
func NewSpreader(off bool) *Spreader { return &Spreader{off: off} }

// RetryAfter returns how long a refused request should stay away, when the queue
// ahead takes wait to drain and the request itself adds cost to it.
func (s *Spreader) RetryAfter(now clock.Time, wait, cost time.Duration) time.Duration {
	end := now.Add(wait)
	if s.off {
		return clamp(wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := max(end, s.next)
	at = min(at, now.Add(maxReturn))
	s.next = at.Add(cost)
	return clamp(at.Sub(now))
}

func clamp(d time.Duration) time.Duration { return min(max(d, minReturn), maxReturn) }
