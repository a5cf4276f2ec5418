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
	// After a pause, the requests that the limit allows within burstSpan may be sent at once, and
	// burstExtraRequests on top of them: with a small limit, several VMs may use their shares
	// at the same time.
	burstSpan          = time.Second
	burstExtraRequests = 2
	// tokenLifetime is how long a VM may keep a token of its share unused before it expires. If
	// there are many VMs, this bounds how many of them have a token at the same time.
	tokenLifetime = 1500 * time.Millisecond
	// maxOverdraftRequests is by how many requests a VM may exceed its share while the shared
	// bucket has a token for each VM.
	maxOverdraftRequests = 1.0
	// maxDebt bounds how long a VM sends nothing because of requests that others have sent.
	maxDebt = 4 * time.Second
	// minLimitPerSecond replaces smaller limits, also zero: without an occasional request no VM
	// would detect that the limit has ended.
	minLimitPerSecond = 0.2
	// probeAfter is the time without a request or an answer after which one VM probes the
	// endpoint, to check whether its limit still applies.
	probeAfter = 2 * time.Second
	// minRequestsPerSecond is assumed for a VM that receives fewer requests from callers.
	minRequestsPerSecond = 0.1
	// shareTTL is how long a computed share is used before it is computed again.
	shareTTL = 100 * time.Millisecond
)

// bucket is a token bucket. A token stands for one request.
type bucket struct {
	tokens float64
	at     clock.Time
}

func (b *bucket) fill(now clock.Time, perSecond float64) {
	if dt := now.Sub(b.at); dt > 0 {
		b.tokens += dt.Seconds() * perSecond
		b.at = now
	}
}

// expireTokens removes whole tokens that are older than tokenLifetime. It keeps the fraction of a
// token, so that the VMs' tokens stay staggered.
func (b *bucket) expireTokens(perSecond float64) {
	if excess := b.tokens - tokenLifetime.Seconds()*perSecond; excess > 1 {
		b.tokens -= math.Floor(excess)
	}
}

// withdraw removes n tokens, down to a debt of maxDebt.
func (b *bucket) withdraw(n, perSecond float64) {
	b.tokens = max(b.tokens-n, -maxDebt.Seconds()*perSecond)
}

// effectiveLimit returns the limit in requests a second, at least minLimitPerSecond.
func (rec *record) effectiveLimit() float64 { return max(rec.limit, minLimitPerSecond) }

// fill refills both buckets up to now.
func (r *Tracker) fill(now clock.Time, rec *record) {
	rate := rec.effectiveLimit()
	ownRate := rate * r.currentShare(now)
	rec.shared.fill(now, rate)
	rec.shared.tokens = min(rec.shared.tokens, burstSpan.Seconds()*rate+burstExtraRequests)
	rec.own.fill(now, ownRate)
	rec.own.expireTokens(ownRate)
}

func (r *Tracker) admits(now clock.Time, id IncarnationID, rec *record) bool {
	if now < rec.retryAt || !rec.limited {
		return now >= rec.retryAt
	}
	if now.Sub(max(rec.answeredAt, rec.lastSentAt)) > probeAfter && r.isProber(now, id) {
		return true
	}
	r.fill(now, rec)
	switch {
	case rec.shared.tokens < 1 && !r.guards.noDebits:
		return false
	case rec.own.tokens >= 1, r.guards.noShares:
		return true
	}
	return rec.shared.tokens >= float64(max(r.vmCount, 2)) && rec.own.tokens > -maxOverdraftRequests
}

// isProber reports whether this VM is to probe an endpoint whose limit may have ended. The prober is
// the VM with the highest rank among those that have callers; ranks differ for each endpoint. A VM
// that receives no messages, although there are other VMs, leaves probing to them.
func (r *Tracker) isProber(now clock.Time, id IncarnationID) bool {
	ownRank, connected := probeRank(r.Self, id), r.VMCount() <= 1
	for vm, p := range r.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			continue
		}
		connected = true
		if p.requestRate > minRequestsPerSecond && probeRank(vm, id) > ownRank {
			return false
		}
	}
	return connected
}

func probeRank(vm string, id IncarnationID) uint64 {
	return splitmix.Mix(xxhash.Sum64String(vm) ^ uint64(id))
}

// Admits reports whether a request may be sent to e now.
func (r *Tracker) Admits(now clock.Time, e *catalog.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return true
	}
	id := IncarnationIDOf(e)
	rec := r.records[id]
	return rec == nil || r.admits(now, id, rec)
}

// TryAcquire records a request that is about to be sent to e. It returns false, and records nothing,
// if none may be sent now.
func (r *Tracker) TryAcquire(now clock.Time, e *catalog.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return true
	}
	id := IncarnationIDOf(e)
	rec := r.records[id]
	if rec == nil {
		return true
	}
	if !r.admits(now, id, rec) {
		return false
	}
	if rec.limited {
		rec.recordSend(now)
	}
	return true
}

// RecordSend records a request that is sent to e regardless of its limit.
func (r *Tracker) RecordSend(now clock.Time, e *catalog.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[IncarnationIDOf(e)]; rec != nil && rec.limited {
		r.fill(now, rec)
		rec.recordSend(now)
	}
}

// recordSend withdraws one request from both buckets.
func (rec *record) recordSend(now clock.Time) {
	rec.shared.withdraw(1, rec.effectiveLimit())
	rec.own.withdraw(1, rec.effectiveLimit())
	rec.sent++
	rec.lastSentAt = now
}

// EstimateWait returns the time until one of the endpoints in list accepts one more request than the
// queued ones: until this VM's share of their limits has enough tokens, or until a Retry-After delay
// ends. It returns false if none of them has a limit or a Retry-After delay.
func (r *Tracker) EstimateWait(now clock.Time, list []*catalog.Endpoint, queued int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ratePerSecond, tokens float64
	earliestRetry := maxRetryAfter
	for _, e := range list {
		rec := r.records[IncarnationIDOf(e)]
		switch {
		case rec == nil:
			continue
		case now < rec.retryAt:
			earliestRetry = min(earliestRetry, rec.retryAt.Sub(now))
			continue
		case !rec.limited:
			continue
		}
		r.fill(now, rec)
		ratePerSecond += rec.effectiveLimit() * r.currentShare(now)
		tokens += min(rec.own.tokens, rec.shared.tokens)
	}
	if ratePerSecond == 0 {
		return earliestRetry, earliestRetry < maxRetryAfter
	}
	missingTokens := max(float64(queued)+1-tokens, 0)
	return min(time.Duration(missingTokens/ratePerSecond*float64(time.Second)), earliestRetry), true
}

// currentShare returns the share of the callers' requests that this VM receives. VMs whose rate it
// hasn't received are assumed to have the mean of the known rates.
func (r *Tracker) currentShare(now clock.Time) float64 {
	if r.share > 0 && now.Sub(r.shareAt) < shareTTL {
		return r.share
	}
	own := max(r.RequestRate(), minRequestsPerSecond)
	sum, n := own, 1
	for vm, p := range r.peers {
		if now.Sub(p.receivedAt) > peerTTL {
			delete(r.peers, vm)
			continue
		}
		sum += max(p.requestRate, minRequestsPerSecond)
		n++
	}
	vms := max(r.VMCount(), n)
	r.share, r.shareAt, r.vmCount = own/(sum+sum/float64(n)*float64(vms-n)), now, vms
	if r.guards.equalShares {
		r.share = 1 / float64(vms)
	}
	return r.share
}
