package route

import (
	"math"
	"sync/atomic"

	"fescuestand/internal/clock"
)

// score estimates e's time to the first token of req in nanoseconds.
func (r *Router) score(now clock.Time, req *Request, e *Endpoint, reason Reason) candidate {
	c := candidate{ep: e, reason: reason}
	if !r.cfg.Disabled.NoAffinity && !req.Prefilled {
		c.cached = e.live.cache.depth(req.Pieces)
	}
	if c.cached > 0 && reason == LeastWait {
		c.reason = CacheHit
	}
	wait, run := r.estimate(now, req, e, c.cached)
	c.score = float64(wait + run)
	if e.Role == Decode && !req.Prefilled {
		// The prefill would hold up the streams of the batch.
		c.score += float64(run) * float64(e.live.runs.Load()) / float64(e.slots)
	}
	if !r.cfg.Disabled.NoSlownessPenalty {
		c.score *= e.slowness(now)
	}
	if e.far {
		c.score += float64(r.cfg.ZoneCost)
	}
	if !r.cfg.Disabled.NoErrorCost {
		c.score += e.live.errs.value(now, 0) * float64(r.cfg.ErrorCost)
	}
	return c
}

// usualSpread is how far an endpoint may lie over its peers' median before its
// scores suffer: lengths and queues make that much difference between equals.
const usualSpread = 2

// slowness is the factor by which e is slower than its peers beyond the usual
// spread, at least one. It turns traffic away before e's ejection, and for good
// if the pool has no room for one more ejection.
func (e *Endpoint) slowness(now clock.Time) float64 {
	f := excess(e.live.first.value(now, 1), &e.shared.first)
	return max(f, excess(e.live.step.value(now, 1), &e.shared.step), 1)
}

func excess(ratio float64, median *atomic.Uint64) float64 {
	return ratio / (usualSpread * max(math.Float64frombits(median.Load()), 1))
}

// estimate returns the time that req would wait at e, and the time that its
// own prefill or fixed work takes there.
func (r *Router) estimate(now clock.Time, req *Request, e *Endpoint, cached int) (wait, run int64) {
	runs, work := r.load(now, e.live)
	wait = work
	if req.Urgent {
		wait = min(work, int64(r.cfg.PieceTokens)*e.prefillNanos) + e.live.ownWork[urgent].Load()
	}
	if over := runs + 1 - e.slots; over > 0 {
		wait += over * e.slotNanos
	}
	// Each running request lengthens the steps of the batch: half a step for
	// a full batch, by which endpoints below their slots still differ.
	wait += runs * (e.decodeStepNanos + e.baseNanos) / (2 * e.slots)
	if req.Prefilled {
		return wait, int64(r.transferTime(req.PromptTokens))
	}
	tokens := max(req.PromptTokens-cached*r.cfg.PieceTokens, 0)
	return wait, int64(tokens)*e.prefillNanos + e.baseNanos
}
