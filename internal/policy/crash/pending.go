package crash

import (
	"slices"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxPending bounds the crashes that wait. The oldest yield.
	maxPending = 256
	// pendingTime is how long a crash waits. A VM that has been cut off for longer was so for another reason than
	// the ends of endpoints.
	pendingTime = 30 * time.Second
)

// Pending holds crashes of processes that are known to have ended while this VM reached no endpoint. It is cut off, or
// all endpoints have ended: that shows once it reaches some again.
//
// Load pattern: a request ends all endpoints of a pool within the time in which the first end becomes known. Each VM
// then takes itself for cut off, and drops the evidence of each such wave.
//
// A Pending is safe for concurrent use.
type Pending struct {
	mu      sync.Mutex
	crashes []pendingCrash
}

type pendingCrash struct {
	crash Crash
	at    clock.Time // when its age was taken
}

// Add adds a crash.
func (p *Pending) Add(now clock.Time, c Crash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) >= maxPending {
		p.crashes = slices.Delete(p.crashes, 0, 1)
	}
	p.crashes = append(p.crashes, pendingCrash{c, now})
}

// Take removes all crashes, and returns those that count, with their age now: the others have waited for too long, or
// their processes live, as their entries had ended with a partition.
func (p *Pending) Take(now clock.Time, lives func(process string) bool) []Crash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Crash
	for _, c := range p.crashes {
		if waited := now.Sub(c.at); waited <= pendingTime && !lives(c.crash.Endpoint) {
			out = append(out, c.crash.Later(waited))
		}
	}
	p.crashes = nil
	return out
}
