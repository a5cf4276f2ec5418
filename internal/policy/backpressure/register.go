// Package backpressure applies the limits that endpoints announce in their answers: a rate limit for
// all VMs together, and a Retry-After delay for the VM that receives the answer.
//
// Load pattern: an overloaded endpoint announces the rate of requests that it accepts from all VMs
// together, as long as it needs the limit. Each VM sees only its own requests. If each applied the
// limit by itself, four VMs would send four times the limit. With equal shares, VMs with few requests
// would leave theirs unused, and with a small limit no VM's share would amount to one request.
//
// Approach: each VM keeps a replica of one token bucket that all VMs share. It withdraws its own
// requests at once, and those of the other VMs when they report them. A second bucket bounds the
// requests that are not reported yet. It holds this VM's share of the limit, which is its share of the
// callers' requests. While the shared bucket is well filled, a VM may exceed its share by a little. A
// VM that receives no messages from the other VMs assumes that they have the same rate as itself.
//
// A notice applies to the incarnation of the endpoint that sent it, even if another process uses the
// address later.
//
// The package does no I/O and reads no clock. A Tracker is safe for concurrent use.
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

// IncarnationID identifies one process start of an endpoint, also in messages between VMs.
type IncarnationID uint64

// IncarnationIDOf returns the ID of the incarnation that e describes.
func IncarnationIDOf(e *catalog.Endpoint) IncarnationID {
	return IncarnationID(xxhash.Sum64String(e.ID) ^ splitmix.Mix(uint64(e.Born)))
}

// Tracker tracks the limits and Retry-After delays of all endpoints for one VM.
type Tracker struct {
	// Self is the name of this VM, as its peers use it.
	Self string
	// RequestRate returns the callers' requests a second at this VM, and VMCount the number of VMs
	// that serve callers. Both must be set before the first use.
	RequestRate func() float64
	VMCount     func() int
	// OnChange is called when the other VMs should soon receive a change of an endpoint's limit.
	OnChange func()

	mu      sync.Mutex
	records map[IncarnationID]*record
	peers   map[string]peer
	seed    uint64
	share   float64 // of the callers' requests that this VM receives
	shareAt clock.Time
	vmCount int // VMs that share the limits
	guards  guards
}

// guards are the parts of the mechanism that a simulation can disable.
type guards struct {
	noDebits    bool // requests of other VMs aren't withdrawn from the shared bucket
	noShares    bool // a VM isn't limited to its share
	equalShares bool // shares are equal, regardless of the VMs' rates
}

// record is the state of one incarnation of an endpoint.
type record struct {
	limited      bool
	limit        float64    // requests a second, as last announced
	answeredAt   clock.Time // time of the newest recorded answer to any VM
	ownAnswerAt  clock.Time // the same of answers to this VM; zero if there was none
	changedAt    clock.Time // when an answer to this VM last changed the limit
	limitedSince clock.Time // when this VM recorded the start of the present limit
	loggedAt     clock.Time
	inCatalogAt  clock.Time // when the catalog last listed the endpoint
	retryAt      clock.Time // end of the Retry-After delay for this VM

	shared     bucket            // of all VMs
	own        bucket            // this VM's share
	sent       uint32            // requests that this process has sent
	lastSentAt clock.Time        // of the last of them
	sentByPeer map[string]uint32 // requests that the processes of other VMs have sent, by VM
}

// New returns an empty Tracker of a VM without peers. Trackers of different processes need different
// seeds: the seed sets the initial fill of the own buckets, so that the VMs' tokens of a small limit
// become due one after the other.
func New(seed uint64) *Tracker {
	return &Tracker{
		RequestRate: func() float64 { return 0 }, VMCount: func() int { return 1 }, OnChange: func() {},
		records: map[IncarnationID]*record{}, peers: map[string]peer{}, seed: seed,
	}
}

// LimitedCount returns the number of endpoints that announce a limit.
func (r *Tracker) LimitedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, rec := range r.records {
		if rec.limited {
			n++
		}
	}
	return n
}

// ObserveAnswer records the notice in e's answer to the request id, which was sent at sentAt.
func (r *Tracker) ObserveAnswer(now, sentAt clock.Time, e *catalog.Endpoint, id string, n Notice) {
	if r.applyAnswer(now, sentAt, e, id, n) {
		r.OnChange()
	}
}

// applyAnswer records a notice. It reports whether the endpoint's limit has changed.
func (r *Tracker) applyAnswer(now, sentAt clock.Time, e *catalog.Endpoint, id string, n Notice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[IncarnationIDOf(e)]
	if rec == nil && !n.Limited && !n.Malformed && n.RetryAfter == 0 {
		return false
	}
	if rec == nil {
		rec = r.addRecord(IncarnationIDOf(e))
	}
	entry := func() *log.Entry {
		return log.WithField("endpoint", e.ID).WithField("service", e.Service).WithField("per_second", rec.limit).WithField("id", id)
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until > rec.retryAt {
		rec.retryAt = until
		if rec.mayLog(now) {
			entry().WithField("ms", n.RetryAfter.Milliseconds()).Info("endpoint requested retry delay")
		}
	}
	switch {
	case n.Malformed:
		if rec.mayLog(now) {
			entry().Warn("endpoint notice malformed")
		}
		return false
	case !n.Limited && sentAt <= rec.answeredAt:
		return false // the request was sent before the limit was announced
	}
	newlyLimited := n.Limited && !rec.limited
	changed := r.setLimit(now, now, rec, n.Limited, n.Limit)
	rec.ownAnswerAt = now
	if !changed {
		return false
	}
	rec.changedAt = now
	switch {
	case !n.Limited:
		entry().Info("endpoint limit ended")
	case newlyLimited || rec.mayLog(now):
		entry().Info("endpoint limit announced")
	}
	return true
}

func (r *Tracker) addRecord(id IncarnationID) *record {
	rec := &record{sentByPeer: map[string]uint32{}}
	r.records[id] = rec
	return rec
}

// setLimit records the limit that the endpoint announced at answeredAt. It reports whether the limit
// has changed.
func (r *Tracker) setLimit(now, answeredAt clock.Time, rec *record, limited bool, limit float64) bool {
	changed := limited != rec.limited || limited && limit != rec.limit
	if limited && !rec.limited {
		rec.shared, rec.own, rec.limitedSince = bucket{at: now}, bucket{tokens: r.random(), at: now}, now
	}
	rec.limited, rec.answeredAt = limited, answeredAt
	if limited {
		rec.limit = limit
	}
	return changed
}

// random returns a pseudo-random number in [0, 1).
func (r *Tracker) random() float64 {
	r.seed = splitmix.Mix(r.seed)
	return float64(r.seed>>11) / (1 << 53)
}

// minLogInterval is the minimum time between two log lines on the limits of one endpoint.
const minLogInterval = time.Second

// mayLog reports whether minLogInterval has passed since the last log line on the endpoint.
func (rec *record) mayLog(now clock.Time) bool {
	if rec.loggedAt != 0 && now.Sub(rec.loggedAt) < minLogInterval {
		return false
	}
	rec.loggedAt = now
	return true
}

// recordTTL is how long a record is kept while the catalog doesn't list its endpoint: entries
// reappear after an outage of the store that holds them.
const recordTTL = time.Minute

// SetView records which endpoints the catalog lists, and deletes the records of those that it
// hasn't listed for recordTTL.
func (r *Tracker) SetView(now clock.Time, v *catalog.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return
	}
	present := make(map[IncarnationID]bool, len(v.All()))
	for _, e := range v.All() {
		present[IncarnationIDOf(e)] = true
	}
	for id, rec := range r.records {
		if present[id] {
			rec.inCatalogAt = now
		}
		if !present[id] && now.Sub(max(rec.answeredAt, rec.inCatalogAt)) > recordTTL {
			delete(r.records, id)
		}
	}
}
