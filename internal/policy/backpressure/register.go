// Package backpressure keeps what endpoints say, with their answers, of the work that they
// take.
//
// Load pattern: an endpoint in need names a rate of requests that it takes from all VMs
// together, for as long as it says so.
//
// The package does no I/O and reads no clock. A Register is safe for concurrent use.
package backpressure

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// Lifetime is one start of an endpoint's process. What it says holds no longer.
type Lifetime struct {
	ID   string
	Born int64
}

// LifetimeOf returns the lifetime that e describes.
func LifetimeOf(e *catalog.Endpoint) Lifetime { return Lifetime{e.ID, e.Born} }

// Register is what one VM knows.
type Register struct {
	mu    sync.Mutex
	known map[Lifetime]*record
}

// record is what is known of one lifetime.
type record struct {
	limit    float64 // requests a second
	limited  bool
	saidAt   clock.Time // when the endpoint last named a limit
	loggedAt clock.Time
}

// New returns an empty register.
func New() *Register { return &Register{known: map[Lifetime]*record{}} }

// Limited is how many endpoints name a limit.
func (r *Register) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, rec := range r.known {
		if rec.limited {
			n++
		}
	}
	return n
}

// Answered takes what e said with its answer to the request id, which was sent at sentAt.
func (r *Register) Answered(now, sentAt clock.Time, e *catalog.Endpoint, id string, n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	life := LifetimeOf(e)
	rec := r.known[life]
	if rec == nil {
		if !n.Limited && !n.Unreadable {
			return
		}
		rec = &record{}
		r.known[life] = rec
	}
	switch {
	case n.Unreadable:
		if rec.mayLog(now) {
			line(e, id, rec).Warn("endpoint's limit not understood")
		}
	case n.Limited:
		changed := !rec.limited || rec.limit != n.Limit
		rec.limited, rec.limit, rec.saidAt = true, n.Limit, now
		if changed && rec.mayLog(now) {
			line(e, id, rec).Info("endpoint names a limit")
		}
	case rec.limited && sentAt > rec.saidAt:
		// An answer that was under way when the limit was named says nothing of it.
		rec.limited = false
		line(e, id, rec).Info("endpoint names no limit")
	}
}

// logPause is the least time between two lines on one endpoint's limits.
const logPause = time.Second

// mayLog tells whether another line may be written of the endpoint.
func (rec *record) mayLog(now clock.Time) bool {
	if rec.loggedAt != 0 && now.Sub(rec.loggedAt) < logPause {
		return false
	}
	rec.loggedAt = now
	return true
}

// line begins a log line on what e said with its answer to the request id.
func line(e *catalog.Endpoint, id string, rec *record) *log.Entry {
	return log.WithField("endpoint", e.ID).WithField("service", e.Service).WithField("per_second", rec.limit).WithField("id", id)
}

// forgetAfter is how long what an endpoint said is kept when its entry is missing: entries
// come back after an outage of their store.
const forgetAfter = time.Minute

// Follow forgets the endpoints that are gone.
func (r *Register) Follow(now clock.Time, v *catalog.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.known) == 0 {
		return
	}
	present := make(map[Lifetime]bool, len(v.All()))
	for _, e := range v.All() {
		present[LifetimeOf(e)] = true
	}
	for life, rec := range r.known {
		if !present[life] && now.Sub(rec.saidAt) > forgetAfter {
			delete(r.known, life)
		}
	}
}
