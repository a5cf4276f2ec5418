package route

import (
	"math"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxStepShare is the share of the time-between-tokens objective above which the batch limit of
	// an engine shrinks. A lower share gave more on-time answers at twice the capacity of a mixed
	// pool, a higher one at 0.9 times the capacity: 21.0 and 24.2 a second with 0.9, 20.1 and 25.8
	// with 1.05, 15.1 and 26.4 with 1.35.
	maxStepShare = 1.0
	// batchLimitBackoff is applied at most once per report, so that half a second of report lag
	// reduces the batch limit by at most a seventh.
	batchLimitBackoff = 0.93
	// minBatchUse is the share of the batch limit that must be in use for the limit to grow.
	minBatchUse = 0.9
	// maxBatchOverrun is the ratio of running requests to the batch limit up to which the limit may
	// shrink again. Streams end seconds after the limit has shrunk, so a higher ratio means that
	// the last decrease has not taken effect yet.
	maxBatchOverrun = 1.15
)

// adaptBatchLimit adapts the number of streams that e is sent to its measured time between tokens.
// Engines with long prompts, and engines that both prefill and decode, meet the objective with
// fewer streams than they have slots. All entries read the same reports and so reach similar limits
// without coordination.
func (r *Router) adaptBatchLimit(now clock.Time, e *Endpoint) {
	objective := float64(r.cfg.BetweenTokensObjective)
	if objective == 0 || e.decodeStepNanos == 0 || e.Role == Prefill {
		return
	}
	rt := e.runtime
	maxLimit := r.cfg.Overcommit*float64(e.slots) + 1
	limit := math.Float64frombits(rt.batchLimitBits.Load())
	if limit == 0 {
		limit = maxLimit
	}
	requests, _ := r.estimateLoad(now, rt)
	stepTime := rt.stepRatio.value(now, 1) * float64(e.decodeStepNanos)
	switch {
	case stepTime > maxStepShare*objective && float64(requests) <= maxBatchOverrun*limit:
		limit *= batchLimitBackoff
	case stepTime <= maxStepShare*objective && float64(requests) >= minBatchUse*limit:
		limit++
	}
	rt.batchLimitBits.Store(math.Float64bits(min(max(limit, 1), maxLimit)))
}

// batchLimit returns the number of streams that all entries together may run on e.
func (r *Router) batchLimit(e *Endpoint) int64 {
	if b := e.runtime.batchLimitBits.Load(); b != 0 {
		return int64(math.Float64frombits(b))
	}
	return int64(r.cfg.Overcommit*float64(e.slots) + 1)
}

// decodeTooSlow reports whether the median time between tokens of e's peers exceeds the objective,
// in which case this entry should send them less prefill work.
func (r *Router) decodeTooSlow(e *Endpoint) bool {
	if r.cfg.BetweenTokensObjective == 0 || e.Role != Mixed {
		return false
	}
	median := math.Float64frombits(e.peers.stepMedianBits.Load())
	return time.Duration(median*float64(e.decodeStepNanos)) > time.Duration(maxStepShare*float64(r.cfg.BetweenTokensObjective))
}
