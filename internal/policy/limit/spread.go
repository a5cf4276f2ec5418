package limit

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// minRetryDelay is the shortest Retry-After delay: a round trip to a client takes about
	// 6 ms, and an earlier retry would find the same queue.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay caps the delay: by then the request mix may have changed, which makes the
	// forecast of the queue useless.
	maxRetryDelay = 30 * time.Second
)

// Spreader computes the Retry-After delays of refused requests.
//
// If a burst of refused requests all got the same delay, they would be retried as one burst. The
// spreader therefore gives each request the time at which the endpoints will have processed the
// queue and all requests that were given an earlier retry time.
type Spreader struct {
	mu       sync.Mutex
	nextFree clock.Time // when the last scheduled retry will have been served
	disabled bool
}

// NewSpreader returns a Spreader. If disabled, it gives every request the time at which the queue
// will have drained, for comparison.
func NewSpreader(disabled bool) *Spreader { return &Spreader{disabled: disabled} }

// RetryAfter returns the delay after which a refused request should be retried. The queue ahead
// takes wait to drain, and the request itself adds cost to it.
func (s *Spreader) RetryAfter(now clock.Time, wait, cost time.Duration) time.Duration {
	end := now.Add(wait)
	if s.disabled {
		return clampDelay(wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := max(end, s.nextFree)
	at = min(at, now.Add(maxRetryDelay))
	s.nextFree = at.Add(cost)
	return clampDelay(at.Sub(now))
}

func clampDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }
