package route

import (
	"math"
	"sync/atomic"

	"fescuestand/internal/clock"
)

// score estimates the time to the first token of req at e in nanoseconds, including penalties.
func (r *Router) score(now clock.Time, req *Request, e *Endpoint, reason Reason) candidate {
	c := candidate{endpoint: e, reason: reason}
	if !r.cfg.Disabled.NoAffinity && !req.Prefilled {
		c.cached = e.runtime.cacheView.cachedPrefix(req.Pieces)
	}
	if c.cached > 0 && reason == LeastWait {
		c.reason = CacheHit
	}
	wait, service := r.estimateTimes(now, req, e, c.cached)
	c.score = float64(wait + service)
	if e.Role == Decode && !req.Prefilled {
		// The prefill would delay the streams of the batch.
		c.score += float64(service) * float64(e.runtime.requests.Load()) / float64(e.slots)
	}
	if !r.cfg.Disabled.NoSlownessPenalty {
		c.score *= e.slowdown(now)
	}
	if e.crossZone {
		c.score += float64(r.cfg.CrossZoneCost)
	}
	if !r.cfg.Disabled.NoErrorCost {
		c.score += e.runtime.errorRate.value(now, 0) * float64(r.cfg.ErrorCost)
	}
	return c
}

// normalSpread is the ratio to the peers' median up to which an endpoint's score is not penalized.
// Differences in request lengths and queues cause that much spread between equal endpoints.
const normalSpread = 2

// slowdown returns the factor by which e is slower than its peers beyond the normal spread, at
// least one. It diverts traffic before e is ejected, and keeps diverting it if the pool has reached
// its limit on ejections.
func (e *Endpoint) slowdown(now clock.Time) float64 {
	factor := excessRatio(e.runtime.firstTokenRatio.value(now, 1), &e.peers.firstTokenMedianBits)
	return max(factor, excessRatio(e.runtime.stepRatio.value(now, 1), &e.peers.stepMedianBits), 1)
}

func excessRatio(ratio float64, median *atomic.Uint64) float64 {
	return ratio / (normalSpread * max(math.Float64frombits(median.Load()), 1))
}

// estimateTimes returns the time that req would wait at e and the time of its own prefill, KV cache
// transfer or fixed work there, in nanoseconds.
func (r *Router) estimateTimes(now clock.Time, req *Request, e *Endpoint, cached int) (wait, service int64) {
	requests, prefillNanos := r.estimateLoad(now, e.runtime)
	wait = prefillNanos
	if req.Urgent {
		wait = min(prefillNanos, int64(r.cfg.PieceTokens)*e.prefillNanosPerToken) + e.runtime.ownPrefillNanos[urgent].Load()
	}
	if queued := requests + 1 - e.slots; queued > 0 {
		wait += queued * e.slotAdvanceNanos
	}
	// Each running request lengthens the steps of the batch, by half a step for a full batch. This
	// also ranks endpoints that have free slots.
	wait += requests * (e.decodeStepNanos + e.baseNanos) / (2 * e.slots)
	if req.Prefilled {
		return wait, int64(r.transferTime(req.PromptTokens))
	}
	tokens := max(req.PromptTokens-cached*r.cfg.PieceTokens, 0)
	return wait, int64(tokens)*e.prefillNanosPerToken + e.baseNanos
}
