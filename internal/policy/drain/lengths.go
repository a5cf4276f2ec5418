package drain

import (
	"math"
	"sync"
	"sync/atomic"

	"fescuestand/internal/clock"
)

const (
	// lengthLifetime is how long the length of an answer counts.
	lengthLifetime = 2 * windowLength
	// maxLengths is the maximum number of lengths that are kept of a route.
	maxLengths = 1024
)

// Lengths tracks how many events the answers of each route have. It is safe for concurrent use.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]*lengths
}

// lengths holds the observations of one route.
type lengths struct {
	running map[*Events]struct{}
	ended   []length // a ring once it has maxLengths entries
	oldest  int
}

// length is that of an answer that has ended.
type length struct {
	at     clock.Time
	limit  int // of the request
	events int
	whole  bool // a longer one would have had more events
}

// Events counts the events of an answer that is being sent to a caller.
type Events struct {
	lengths *Lengths
	route   string
	limit   int
	count   atomic.Int64
}

// NewLengths returns a tracker without observations.
func NewLengths() *Lengths { return &Lengths{routes: map[string]*lengths{}} }

// Begin records that an answer of a route begins, to a request that allows limit output tokens, or any
// number if limit is zero. The caller must call End.
func (l *Lengths) Begin(now clock.Time, route string, limit int) *Events {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil {
		l.makeRoom(now)
		r = &lengths{running: map[*Events]struct{}{}}
		l.routes[route] = r
	}
	e := &Events{lengths: l, route: route, limit: limitOrNone(limit)}
	r.running[e] = struct{}{}
	return e
}

// limitOrNone returns a limit that is higher than all others for a request without one.
func limitOrNone(limit int) int {
	if limit <= 0 {
		return math.MaxInt
	}
	return limit
}

// makeRoom forgets the routes without recent answers once there are maxRoutes.
func (l *Lengths) makeRoom(now clock.Time) {
	if len(l.routes) < maxRoutes {
		return
	}
	for name, r := range l.routes {
		if len(r.running) == 0 && !r.hasRecent(now) {
			delete(l.routes, name)
		}
	}
}

// Count counts n further events.
func (e *Events) Count(n int) { e.count.Add(int64(n)) }

// End records the end of the answer. whole says that all of its events have been counted; otherwise it
// shows only that an answer may have as many.
func (e *Events) End(now clock.Time, whole bool) {
	e.lengths.mu.Lock()
	defer e.lengths.mu.Unlock()
	r := e.lengths.routes[e.route]
	delete(r.running, e)
	r.add(length{now, e.limit, int(e.count.Load()), whole})
}

func (r *lengths) add(n length) {
	if len(r.ended) < maxLengths {
		r.ended = append(r.ended, n)
		return
	}
	r.ended[r.oldest] = n
	r.oldest = (r.oldest + 1) % maxLengths
}

func (n *length) isRecent(now clock.Time) bool { return now.Sub(n.at) < lengthLifetime }

func (r *lengths) hasRecent(now clock.Time) bool {
	for i := range r.ended {
		if r.ended[i].isRecent(now) {
			return true
		}
	}
	return false
}

// Sample returns the sample of a route's answers for a request that allows limit output tokens. It
// counts those whose requests allowed as many. The longest one may be any, or be running.
func (l *Lengths) Sample(now clock.Time, route string, limit int) Sample[int] {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil {
		return Sample[int]{}
	}
	var s Sample[int]
	limit = limitOrNone(limit)
	for i := range r.ended {
		n := &r.ended[i]
		if !n.isRecent(now) {
			continue
		}
		s.Longest = max(s.Longest, n.events)
		if n.whole && n.limit >= limit {
			s.Count++
		}
	}
	for e := range r.running {
		s.Longest = max(s.Longest, int(e.count.Load()))
	}
	return s
}
