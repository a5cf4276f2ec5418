package backpressure

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/splitmix"
)

const (
	// burst is the span of a limit that may be sent at once after a pause, and burstExtra
	// what may come beside it: of a small limit several VMs can use their parts at once.
	burst      = time.Second
	burstExtra = 2
	// turn is how long a VM may leave a request of its part unsent before it lapses: of
	// many VMs only so many then have one at the same time.
	turn = 1500 * time.Millisecond
	// overdraft is by how many requests a VM may exceed its part while the common bucket
	// has one for each VM.
	overdraft = 1.0
	// longestDebt bounds how long a VM pays for what others have sent.
	longestDebt = 4 * time.Second
	// leastLimit, in requests a second, is used of a smaller limit: without a request now
	// and then nobody would learn that it is over.
	leastLimit = 0.2
	// unheardFor is how long no VM may have heard of a limit until one VM asks whether it
	// still holds.
	unheardFor = 2 * time.Second
	// leastRequests a second are assumed of a VM that has hardly any.
	leastRequests = 0.1
	// shareFor is how long a VM's share holds before it is worked out again.
	shareFor = 100 * time.Millisecond
)

// bucket is a token bucket. A token is a request.
type bucket struct {
	level float64
	at    clock.Time
}

func (b *bucket) fill(now clock.Time, perSecond float64) {
	if dt := now.Sub(b.at); dt > 0 {
		b.level += dt.Seconds() * perSecond
		b.at = now
	}
}

// lapse removes whole tokens that are older than turn. What is left of one is kept, so that
// the turns of VMs stay apart.
func (b *bucket) lapse(perSecond float64) {
	if over := b.level - turn.Seconds()*perSecond; over > 1 {
		b.level -= math.Floor(over)
	}
}

// take removes tokens down to a debt of longestDebt.
func (b *bucket) take(n, perSecond float64) {
	b.level = max(b.level-n, -longestDebt.Seconds()*perSecond)
}

// rate is the limit in requests a second.
func (rec *record) rate() float64 { return max(rec.limit, leastLimit) }

// fill brings both buckets up to now.
func (r *Tracker) fill(now clock.Time, rec *record) {
	rate := rec.rate()
	part := rate * r.shareNow(now)
	rec.all.fill(now, rate)
	rec.all.level = min(rec.all.level, burst.Seconds()*rate+burstExtra)
	rec.own.fill(now, part)
	rec.own.lapse(part)
}

func (r *Tracker) admits(now clock.Time, life IncarnationID, rec *record) bool {
	if now < rec.until || !rec.limited {
		return now >= rec.until
	}
	if now.Sub(max(rec.saidAt, rec.usedAt)) > unheardFor && r.asks(now, life) {
		return true
	}
	r.fill(now, rec)
	switch {
	case rec.all.level < 1 && !r.guards.noDebits:
		return false
	case rec.own.level >= 1, r.guards.noParts:
		return true
	}
	return rec.all.level >= float64(max(r.vms, 2)) && rec.own.level > -overdraft
}

// asks tells whether this VM is the one that asks an endpoint whether its limit still holds: one
// of those that have callers, another one for each endpoint. A VM that hears no other leaves it to
// them.
func (r *Tracker) asks(now clock.Time, life IncarnationID) bool {
	own, heard := rankOf(r.Self, life), r.VMCount() <= 1
	for vm, p := range r.peers {
		if now.Sub(p.at) > peerStale {
			continue
		}
		heard = true
		if p.requests > leastRequests && rankOf(vm, life) > own {
			return false
		}
	}
	return heard
}

func rankOf(vm string, life IncarnationID) uint64 {
	return splitmix.Mix(xxhash.Sum64String(vm) ^ uint64(life))
}

// Admits tells whether e takes a request now.
func (r *Tracker) Admits(now clock.Time, e *catalog.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.known) == 0 {
		return true
	}
	life := IncarnationIDOf(e)
	rec := r.known[life]
	return rec == nil || r.admits(now, life, rec)
}

// TryAcquire counts a request that is about to be sent to e. It returns false if e takes none now.
func (r *Tracker) TryAcquire(now clock.Time, e *catalog.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.known) == 0 {
		return true
	}
	life := IncarnationIDOf(e)
	rec := r.known[life]
	if rec == nil {
		return true
	}
	if !r.admits(now, life, rec) {
		return false
	}
	if rec.limited {
		rec.count(now)
	}
	return true
}

// RecordSend counts a request that is sent to e whatever it takes.
func (r *Tracker) RecordSend(now clock.Time, e *catalog.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.known[IncarnationIDOf(e)]; rec != nil && rec.limited {
		r.fill(now, rec)
		rec.count(now)
	}
}

// count takes one request from both buckets.
func (rec *record) count(now clock.Time) {
	rec.all.take(1, rec.rate())
	rec.own.take(1, rec.rate())
	rec.sent++
	rec.usedAt = now
}

// EstimateWait is the time until one of list takes one more request than the queued ones: as this VM's part
// of their limits has room, or as the time is over for which one wants to be left alone. It
// returns false if none of them asks for either.
func (r *Tracker) EstimateWait(now clock.Time, list []*catalog.Endpoint, queued int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var perSecond, level float64
	soonest := longestAway
	for _, e := range list {
		rec := r.known[IncarnationIDOf(e)]
		switch {
		case rec == nil:
			continue
		case now < rec.until:
			soonest = min(soonest, rec.until.Sub(now))
			continue
		case !rec.limited:
			continue
		}
		r.fill(now, rec)
		perSecond += rec.rate() * r.shareNow(now)
		level += min(rec.own.level, rec.all.level)
	}
	if perSecond == 0 {
		return soonest, soonest < longestAway
	}
	missing := max(float64(queued)+1-level, 0)
	return min(time.Duration(missing/perSecond*float64(time.Second)), soonest), true
}

// shareNow is the part of the callers' requests that comes to this VM.
func (r *Tracker) shareNow(now clock.Time) float64 {
	if r.share > 0 && now.Sub(r.sharedAt) < shareFor {
		return r.share
	}
	own := max(r.RequestRate(), leastRequests)
	sum, n := own, 1
	for vm, p := range r.peers {
		if now.Sub(p.at) > peerStale {
			delete(r.peers, vm)
			continue
		}
		sum += max(p.requests, leastRequests)
		n++
	}
	vms := max(r.VMCount(), n)
	r.share, r.sharedAt, r.vms = own/(sum+sum/float64(n)*float64(vms-n)), now, vms
	if r.guards.equal {
		r.share = 1 / float64(vms)
	}
	return r.share
}
