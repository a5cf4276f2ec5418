// Package crash recognises requests that crash the endpoints which run them.
//
// Load pattern: one request brings down each endpoint that begins to run it,
// and its caller sends it again at any VM. Without a memory of it a pool of a
// dozen engines is lost within a minute. A request is known by what its repeats
// have in common. Each time an endpoint breaks off without an answer the
// requests that it had not begun to answer are noted; one that stands behind
// crashes of several endpoints is refused for a while, by every VM that has
// heard of them.
//
// A Register is safe for concurrent use.
package crash

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// convicting is the number of endpoints whose loss makes a request
	// refused. One loss is the common fate of whatever runs there; two
	// happen to a request by chance when endpoints fail in numbers.
	convicting = 3
	// remember is how long an unrepeated loss counts.
	remember = 30 * time.Second
	// refuseFor is how long a convicted request is refused: callers' repeats
	// come for a minute or so.
	refuseFor = 2 * time.Minute
	// maxKnown bounds the memory.
	maxKnown = 4096
	// answeredSlots is how many answered requests are remembered at most, those that come
	// often the most surely.
	answeredSlots = 4096
)

// Register remembers crashes by request.
type Register struct {
	mu    sync.Mutex
	known map[uint64]*record
	// answered are requests that an endpoint has run to a good end, by their number modulo
	// the slots.
	answered [answeredSlots]success
}

type success struct {
	request uint64
	at      clock.Time
}

type record struct {
	endpoints map[string]bool
	last      clock.Time
}

// New returns an empty register.
func New() *Register { return &Register{known: map[uint64]*record{}} }

// RecordCrash takes the loss of an endpoint's process (an id that changes with each of
// its starts) while it ran the request. It returns false if that is known.
func (r *Register) RecordCrash(now clock.Time, request uint64, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.known[request]
	if rec == nil {
		r.makeRoom(now)
		rec = &record{endpoints: map[string]bool{}}
		r.known[request] = rec
	}
	if rec.endpoints[endpoint] {
		return false
	}
	if len(rec.endpoints) < convicting && now.Sub(rec.last) > remember {
		clear(rec.endpoints)
	}
	rec.endpoints[endpoint] = true
	rec.last = now
	return true
}

// CrashCount is how many endpoints the request has cost.
func (r *Register) CrashCount(now clock.Time, request uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.known[request]
	if rec == nil || now.Sub(rec.last) > refuseFor {
		return 0
	}
	return len(rec.endpoints)
}

// RecordSuccess notes that an endpoint has run the request to a good end.
func (r *Register) RecordSuccess(now clock.Time, request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[request%answeredSlots] = success{request, now}
}

// ShouldRefuse tells whether the request is to be refused. One that was also answered at the time of
// the losses isn't their cause: many callers ask for the same, and endpoints that fail together
// are running it.
func (r *Register) ShouldRefuse(now clock.Time, request uint64) bool {
	return r.CrashCount(now, request) >= convicting && !r.acquitted(request)
}

func (r *Register) acquitted(request uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, rec := r.answered[request%answeredSlots], r.known[request]
	return rec != nil && s.request == request && s.at != 0 && s.at.Add(remember) > rec.last
}

// makeRoom drops what no longer counts, and everything if that isn't enough: a
// register that is full of recent crashes says that endpoints fail, not which
// request is at fault.
func (r *Register) makeRoom(now clock.Time) {
	if len(r.known) < maxKnown {
		return
	}
	for id, rec := range r.known {
		if now.Sub(rec.last) > remember {
			delete(r.known, id)
		}
	}
	if len(r.known) >= maxKnown {
		clear(r.known)
	}
}
