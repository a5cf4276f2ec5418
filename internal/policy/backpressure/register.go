// Package backpressure keeps to what endpoints say, with their answers, of the work that they
// take: a limit for all VMs together, and a time for which one VM is to leave them alone.
//
// Load pattern: an endpoint in need names a rate of requests that it takes from all VMs
// together, for as long as it says so. Each VM sees only its own sends. If each kept the limit
// by itself, four of them would send four times as much; with an equal part for each, the parts
// of those that have no use for them are lost, and of a small limit nobody's part is a request.
//
// So each VM keeps a replica of one token bucket for all: its own sends are taken from it at
// once and those of the others as they tell them. What a replica doesn't know yet is bounded by
// a second bucket, this VM's part by its share of the callers' requests. While the common bucket
// is well filled, a VM may exceed its part by a little. A VM that doesn't hear of the others
// assumes that they are like itself.
//
// What an endpoint says holds for its lifetime, whatever becomes of its address.
//
// The package does no I/O and reads no clock. A Register is safe for concurrent use.
package backpressure

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

// IncarnationID stands for one start of an endpoint's process, also in messages.
type IncarnationID uint64

// IncarnationIDOf returns the lifetime that e describes.
func IncarnationIDOf(e *catalog.Endpoint) IncarnationID {
	return IncarnationID(xxhash.Sum64String(e.ID) ^ splitmix.Mix(uint64(e.Born)))
}

// Tracker is what one VM knows of the endpoints' limits.
type Tracker struct {
	// Self is this VM's name among those that it hears of.
	Self string
	// RequestRate is the rate of callers' requests at this VM, and VMs is how many serve
	// callers. They are set before the first use.
	RequestRate func() float64
	VMCount     func() int
	// OnChange is called when an endpoint has said something that other VMs should know soon.
	OnChange func()

	mu       sync.Mutex
	known    map[IncarnationID]*record
	peers    map[string]peer
	seed     uint64
	share    float64 // of the callers' requests that come to this VM
	sharedAt clock.Time
	vms      int // that share the limits
	guards   guards
}

// guards are the parts of the mechanism that a simulation can switch off.
type guards struct {
	noDebits bool // sends of other VMs aren't taken from the common bucket
	noParts  bool // a VM has no part of its own
	equal    bool // parts are equal, whatever the VMs' rates
}

// record is what is known of one lifetime.
type record struct {
	limited  bool
	limit    float64    // requests a second, as last named
	saidAt   clock.Time // when an endpoint's answer last told of its limit, to any VM
	toldAt   clock.Time // the same of an answer to this VM, zero if there was none
	newsAt   clock.Time // when that last changed
	beganAt  clock.Time // when the present limit became known
	loggedAt clock.Time
	seenAt   clock.Time // when its entry was last there
	until    clock.Time // this VM is to leave it alone

	all    bucket            // of all VMs
	own    bucket            // this VM's part
	sent   uint32            // requests of this process
	usedAt clock.Time        // the last of them
	heard  map[string]uint32 // those of other processes, by VM
}

// New returns an empty register of a VM that knows of no other. Those of different processes
// take different seeds, so that their parts of a small limit fall due one after the other.
func New(seed uint64) *Tracker {
	return &Tracker{
		RequestRate: func() float64 { return 0 }, VMCount: func() int { return 1 }, OnChange: func() {},
		known: map[IncarnationID]*record{}, peers: map[string]peer{}, seed: seed,
	}
}

// LimitedCount is how many endpoints name a limit.
func (r *Tracker) LimitedCount() int {
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

// ObserveAnswer takes what e said with its answer to the request id, which was sent at sentAt.
func (r *Tracker) ObserveAnswer(now, sentAt clock.Time, e *catalog.Endpoint, id string, n Notice) {
	if r.answered(now, sentAt, e, id, n) {
		r.OnChange()
	}
}

// answered returns whether the answer says something new.
func (r *Tracker) answered(now, sentAt clock.Time, e *catalog.Endpoint, id string, n Notice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.known[IncarnationIDOf(e)]
	if rec == nil && !n.Limited && !n.Malformed && n.RetryAfter == 0 {
		return false
	}
	if rec == nil {
		rec = r.add(IncarnationIDOf(e))
	}
	line := func() *log.Entry {
		return log.WithField("endpoint", e.ID).WithField("service", e.Service).WithField("per_second", rec.limit).WithField("id", id)
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until > rec.until {
		rec.until = until
		if rec.mayLog(now) {
			line().WithField("ms", n.RetryAfter.Milliseconds()).Info("endpoint asks for time")
		}
	}
	switch {
	case n.Malformed:
		if rec.mayLog(now) {
			line().Warn("endpoint's notice not understood")
		}
		return false
	case !n.Limited && sentAt <= rec.saidAt:
		return false // under way when the limit was named
	}
	begins := n.Limited && !rec.limited
	changed := r.set(now, now, rec, n.Limited, n.Limit)
	rec.toldAt = now
	if !changed {
		return false
	}
	rec.newsAt = now
	switch {
	case !n.Limited:
		line().Info("endpoint names no limit")
	case begins || rec.mayLog(now):
		line().Info("endpoint names a limit")
	}
	return true
}

func (r *Tracker) add(life IncarnationID) *record {
	rec := &record{heard: map[string]uint32{}}
	r.known[life] = rec
	return rec
}

// set takes what the endpoint said at saidAt. It returns whether that differs from what was
// known.
func (r *Tracker) set(now, saidAt clock.Time, rec *record, limited bool, limit float64) bool {
	changed := limited != rec.limited || limited && limit != rec.limit
	if limited && !rec.limited {
		rec.all, rec.own, rec.beganAt = bucket{at: now}, bucket{level: r.draw(), at: now}, now
	}
	rec.limited, rec.saidAt = limited, saidAt
	if limited {
		rec.limit = limit
	}
	return changed
}

// draw returns a pseudo-random number of 0 to 1.
func (r *Tracker) draw() float64 {
	r.seed = splitmix.Mix(r.seed)
	return float64(r.seed>>11) / (1 << 53)
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

// forgetAfter is how long what an endpoint said is kept when its entry is missing: entries
// come back after an outage of their store.
const forgetAfter = time.Minute

// ObserveCatalog forgets the endpoints that are gone.
func (r *Tracker) ObserveCatalog(now clock.Time, v *catalog.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.known) == 0 {
		return
	}
	present := make(map[IncarnationID]bool, len(v.All()))
	for _, e := range v.All() {
		present[IncarnationIDOf(e)] = true
	}
	for life, rec := range r.known {
		if present[life] {
			rec.seenAt = now
		}
		if !present[life] && now.Sub(max(rec.saidAt, rec.seenAt)) > forgetAfter {
			delete(r.known, life)
		}
	}
}
