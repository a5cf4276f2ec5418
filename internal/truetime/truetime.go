// Package truetime estimates the time of day from the clocks of several VMs.
//
// The time of day of a single VM may jump by seconds and back. Each VM sends its time of day to the
// others. The estimate is the median of all, kept as an offset to the monotonic clock, so that a
// jump of fewer than half of the clocks doesn't move it.
package truetime

import (
	"slices"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// sampleWindow is the length of a window of samples from one VM. A sample counts until the end
	// of the window after its own.
	sampleWindow = 3 * time.Second
	// medianInterval is the minimum time between two computations of the median.
	medianInterval = 200 * time.Millisecond
)

// sample holds the offsets received from one VM: its time of day less this VM's monotonic clock.
// Message delay makes an offset too small, so the largest one of each window counts.
type sample struct {
	windowStart       clock.Time
	maxOffset         time.Duration // of the current window
	previousMaxOffset time.Duration // of the window before, zero if none
}

// Estimator estimates the time of day for one process. It is safe for concurrent use.
type Estimator struct {
	clock clock.Clock
	wall  func() time.Time

	mu           sync.Mutex
	peers        map[string]*sample
	offset       time.Duration // of the estimate to the monotonic clock
	nextMedianAt clock.Time
}

// New returns an estimator; wall reads this VM's time of day.
func New(c clock.Clock, wall func() time.Time) *Estimator {
	return &Estimator{clock: c, wall: wall, peers: map[string]*sample{}}
}

// LocalTime returns this VM's time of day, which is sent to the other VMs.
func (e *Estimator) LocalTime() time.Time { return e.wall() }

// ReceiveTime records the time of day that the VM at peer sent.
func (e *Estimator) ReceiveTime(peer string, peerTime time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	offset := offsetOf(peerTime, now)
	s := e.peers[peer]
	switch {
	case s == nil || now.Sub(s.windowStart) > 2*sampleWindow:
		e.peers[peer] = &sample{windowStart: now, maxOffset: offset}
	case now.Sub(s.windowStart) > sampleWindow:
		*s = sample{windowStart: now, maxOffset: offset, previousMaxOffset: s.maxOffset}
	default:
		s.maxOffset = max(s.maxOffset, offset)
	}
}

func offsetOf(wall time.Time, at clock.Time) time.Duration {
	return time.Duration(wall.UnixNano() - int64(at))
}

// At returns the estimated time of day at a reading of the monotonic clock.
func (e *Estimator) At(at clock.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := e.clock.Now(); now >= e.nextMedianAt {
		e.offset, e.nextMedianAt = e.median(now), now.Add(medianInterval)
	}
	return time.Unix(0, int64(at)+int64(e.offset))
}

// median returns the median offset of this VM and its peers, and deletes the peers whose samples
// have expired. The caller holds the lock.
func (e *Estimator) median(now clock.Time) time.Duration {
	offsets := []time.Duration{offsetOf(e.wall(), now)}
	for peer, s := range e.peers {
		if now.Sub(s.windowStart) > 2*sampleWindow {
			delete(e.peers, peer)
			continue
		}
		offsets = append(offsets, max(s.maxOffset, s.previousMaxOffset))
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
