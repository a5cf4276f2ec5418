package route

import (
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
)

// lane separates urgent requests from others. Engines honour priorities, so an urgent request waits
// only for other urgent requests and for the step in progress.
type lane uint8

const (
	normal lane = iota
	urgent
	lanes
)

func (q *Request) lane() lane {
	if q.Urgent {
		return urgent
	}
	return normal
}

const (
	// windowInterval is the time between two adjustments of a window.
	windowInterval = 250 * time.Millisecond
	// windowBackoff and windowGrowth make the windows of several entries converge. A window whose
	// requests wait too long shrinks in proportion to its size, and all windows grow by the same
	// amount.
	windowBackoff = 0.85
	windowGrowth  = 0.2 // of the fair share of the window
	// minWindowUse is the share of a window that must be in use for it to grow.
	minWindowUse = 0.7
)

// prefillWindow bounds the prefill work, in nanoseconds, that this entry has outstanding at one
// peer group.
//
// Load reports are a second or two old. In that time several entries can each fill every queue that
// was empty in the last report. By contrast, the entry has an exact count of its own outstanding
// work and measures the waits of its own prefills immediately. The window therefore follows the
// measured wait: engine queues stay about TargetPrefillWait long, and the rest of the backlog stays
// in admission, where it can be reordered or refused.
type prefillWindow struct {
	limitNanos       atomic.Int64
	outstandingNanos atomic.Int64

	mu            sync.Mutex
	targetWait    time.Duration
	growthNanos   float64 // added per adjustment
	minLimitNanos int64
	maxLimitNanos int64
	intervalStart clock.Time
	totalWait     time.Duration
	waits         int
	peakNanos     int64
}

// resize sets the window's bounds for n engines shared by the given number of entries.
func (w *prefillWindow) resize(n int, target time.Duration, entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targetWait = target
	fairShare := int64(n) * int64(target) / int64(entries)
	w.growthNanos = windowGrowth * float64(fairShare)
	w.minLimitNanos = max(fairShare/8, 1)
	w.maxLimitNanos = int64(n) * int64(target) * 2
	if old := w.limitNanos.Load(); old == 0 {
		w.limitNanos.Store(max(2*fairShare, 1))
	}
	w.setLimit(float64(w.limitNanos.Load()))
}

func (w *prefillWindow) setLimit(nanos float64) {
	w.limitNanos.Store(min(max(int64(nanos), w.minLimitNanos), w.maxLimitNanos))
}

// full reports whether no more prefill may be sent. One request is always allowed, however long.
func (w *prefillWindow) full() bool {
	out := w.outstandingNanos.Load()
	return out > 0 && out >= w.limitNanos.Load()
}

// add adds work that was sent, or removes work that ended if prefillNanos is negative.
func (w *prefillWindow) add(prefillNanos int64) { w.outstandingNanos.Add(prefillNanos) }

// observe records how long one prefill waited at its engine and adapts the window once per
// windowInterval. decodeTooSlow makes the window shrink regardless of the wait.
func (w *prefillWindow) observe(now clock.Time, wait time.Duration, decodeTooSlow bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totalWait += max(wait, 0)
	w.waits++
	w.peakNanos = max(w.peakNanos, w.outstandingNanos.Load())
	if now.Sub(w.intervalStart) < windowInterval {
		return
	}
	limit := float64(w.limitNanos.Load())
	switch {
	case decodeTooSlow, w.totalWait/time.Duration(w.waits) > w.targetWait:
		w.setLimit(limit * windowBackoff)
	case float64(w.peakNanos) >= minWindowUse*limit:
		w.setLimit(limit + w.growthNanos)
	}
	w.intervalStart, w.totalWait, w.waits, w.peakNanos = now, 0, 0, 0
}

// peerState is the state shared by the endpoints of a peer group.
type peerState struct {
	windows              [lanes]prefillWindow
	firstTokenMedianBits atomic.Uint64 // bits of the median ratio, zero if unknown
	stepMedianBits       atomic.Uint64
}

type peerGroupKey struct {
	pool string
	role Role
	cell int
}

// attachPeerStates sets the shared peer state of each endpoint and resizes its windows.
func (r *Router) attachPeerStates(t *Table) {
	for i := range t.peerGroups {
		p := &t.peerGroups[i]
		key := peerGroupKey{p.pool, p.role, p.cell}
		state := r.peerStates[key]
		if state == nil {
			state = &peerState{}
			r.peerStates[key] = state
		}
		open := 0
		for _, e := range p.endpoints {
			e.peers = state
			if e.State == Open {
				open++
			}
		}
		state.windows[normal].resize(max(open, 1), r.cfg.TargetPrefillWait, r.entryCount())
		state.windows[urgent].resize(max(open, 1), r.cfg.TargetUrgentPrefillWait, r.entryCount())
	}
}
