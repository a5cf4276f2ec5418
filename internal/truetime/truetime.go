// Package truetime estimates the time of day from the clocks of several VMs.
//
// The time of day of single VMs may jump by seconds and back. Each VM tells its own;
// the estimate is the median, kept as an offset to a monotone clock, so that a jump of
// fewer than half of the clocks doesn't move it.
package truetime

import (
	"slices"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// sampleLife is how long what a VM has told counts.
	sampleLife = 3 * time.Second
	// refresh is the time between two medians.
	refresh = 200 * time.Millisecond
)

// sample is what one VM has told: its time of day less this VM's monotone clock. A
// message that was delayed makes it too small, so that the largest of a span counts.
type sample struct {
	at       clock.Time // when the span began
	now      time.Duration
	previous time.Duration // largest of the span before, zero if none
}

// Estimator is one process's. It is safe for concurrent use.
type Estimator struct {
	clock clock.Clock
	wall  func() time.Time

	mu     sync.Mutex
	peers  map[string]*sample
	offset time.Duration // of the estimate to the monotone clock
	due    clock.Time    // of the next median
}

// New returns an estimator; wall reads this VM's time of day.
func New(c clock.Clock, wall func() time.Time) *Estimator {
	return &Estimator{clock: c, wall: wall, peers: map[string]*sample{}}
}

// LocalTime returns this VM's time of day, to be told to the others.
func (e *Estimator) LocalTime() time.Time { return e.wall() }

// ReceiveTime takes the time of day of the VM at peer.
func (e *Estimator) ReceiveTime(peer string, told time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	offset := offsetOf(told, now)
	s := e.peers[peer]
	switch {
	case s == nil || now.Sub(s.at) > 2*sampleLife:
		e.peers[peer] = &sample{at: now, now: offset}
	case now.Sub(s.at) > sampleLife:
		*s = sample{at: now, now: offset, previous: s.now}
	default:
		s.now = max(s.now, offset)
	}
}

func offsetOf(wall time.Time, at clock.Time) time.Duration {
	return time.Duration(wall.UnixNano() - int64(at))
}

// At returns the estimate of the time of day at a reading of the monotone clock.
func (e *Estimator) At(at clock.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.clock.Now(); now >= e.due {
		e.offset, e.due = e.median(now), now.Add(refresh)
	}
	return time.Unix(0, int64(at)+int64(e.offset))
}

// median is called with the lock held.
func (e *Estimator) median(now clock.Time) time.Duration {
	offsets := []time.Duration{offsetOf(e.wall(), now)}
	for peer, s := range e.peers {
		if now.Sub(s.at) > 2*sampleLife {
			delete(e.peers, peer)
			continue
		}
		offsets = append(offsets, max(s.now, s.previous))
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
