package route

import (
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
)

// lane separates urgent requests from others. Engines honour priorities, so
// urgent requests wait only for one another and for the step under way.
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
	// windowEvery is the time between two decisions on a window.
	windowEvery = 250 * time.Millisecond
	// windowBackoff and windowGrowth let the windows of several entries
	// converge: a window that makes others wait shrinks in proportion to
	// itself, all grow by the same amount.
	windowBackoff = 0.85
	windowGrowth  = 0.2 // of the work of a full window
	// windowUsed is the share of a window that must be in use for it to grow.
	windowUsed = 0.7
)

// window bounds the prefill that this entry has outstanding at one set of
// peers, in nanoseconds.
//
// Load reports are a second or two old, in which several entries can each fill
// every queue that was last seen empty. What this entry has outstanding is
// known exactly, and how long its own prefills waited is measured at once. So
// the window follows the measured wait: the queues at the engines stay about
// Ahead long, and the rest of the backlog stays with admission, where it can
// be reordered or refused.
type window struct {
	limit       atomic.Int64
	outstanding atomic.Int64

	mu     sync.Mutex
	target time.Duration
	unit   float64 // of growth
	least  int64
	most   int64
	since  clock.Time
	waited time.Duration
	n      int
	peak   int64
}

// resize fits the window to n engines of which this entry has a share.
func (w *window) resize(n int, target time.Duration, entries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target = target
	fair := int64(n) * int64(target) / int64(entries)
	w.unit = windowGrowth * float64(fair)
	w.least = max(fair/8, 1)
	w.most = int64(n) * int64(target) * 2
	if old := w.limit.Load(); old == 0 {
		w.limit.Store(max(2*fair, 1))
	}
	w.store(float64(w.limit.Load()))
}

func (w *window) store(x float64) {
	w.limit.Store(min(max(int64(x), w.least), w.most))
}

// full says whether no more prefill may be sent. One request is always
// allowed, however long.
func (w *window) full() bool {
	out := w.outstanding.Load()
	return out > 0 && out >= w.limit.Load()
}

// add counts work sent, or ended where negative.
func (w *window) add(work int64) { w.outstanding.Add(work) }

// observe takes the time that one prefill waited at its engine, and whether
// prefills slow the engines' streams too much.
func (w *window) observe(now clock.Time, wait time.Duration, strained bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waited += max(wait, 0)
	w.n++
	w.peak = max(w.peak, w.outstanding.Load())
	if now.Sub(w.since) < windowEvery {
		return
	}
	limit := float64(w.limit.Load())
	switch {
	case strained, w.waited/time.Duration(w.n) > w.target:
		w.store(limit * windowBackoff)
	case float64(w.peak) >= windowUsed*limit:
		w.store(limit + w.unit)
	}
	w.since, w.waited, w.n, w.peak = now, 0, 0, 0
}

// shared is what peers have in common.
type shared struct {
	windows [lanes]window
	first   atomic.Uint64 // median ratio of the peers as bits, zero if unknown
	step    atomic.Uint64
}

type peersKey struct {
	pool string
	role Role
	cell int
}

// joinPeers gives each endpoint what it shares with its peers.
func (r *Router) joinPeers(t *Table) {
	for i := range t.peers {
		p := &t.peers[i]
		k := peersKey{p.pool, p.role, p.cell}
		s := r.shared[k]
		if s == nil {
			s = &shared{}
			r.shared[k] = s
		}
		open := 0
		for _, e := range p.eps {
			e.shared = s
			if e.State == Open {
				open++
			}
		}
		s.windows[normal].resize(max(open, 1), r.cfg.Ahead, r.sharers())
		s.windows[urgent].resize(max(open, 1), r.cfg.UrgentAhead, r.sharers())
	}
}
