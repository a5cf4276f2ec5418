package route

import (
	"math"
	"time"

	"fescuestand/internal/clock"
)

const (
	// stepHigh is the share of the objective between tokens from which an
	// engine gets fewer streams. At twice the capacity of a mixed pool a lower
	// one gave more answers on time, at 0.9 of it a higher one: 21.0 and 24.2
	// a second with 0.9, 20.1 and 25.8 with 1.05, 15.1 and 26.4 with 1.35.
	stepHigh = 1.0
	// batchBackoff is applied once a report, so that half a second of lag
	// costs a seventh of the batch at most.
	batchBackoff = 0.93
	// batchUsed is the share of the batch that must be taken for it to grow.
	batchUsed = 0.9
	// batchDrained is how far over the batch the streams may still be for it
	// to shrink again: streams end seconds after the batch has shrunk.
	batchDrained = 1.15
)

// adaptBatch lets the number of streams that e is sent follow its measured
// time between tokens. Engines whose prompts are long or that prefill as well
// as answer run fewer streams in time than they have slots. All entries read
// the same reports, so they agree without talking.
func (r *Router) adaptBatch(now clock.Time, e *Endpoint) {
	objective := float64(r.cfg.BetweenTokensObjective)
	if objective == 0 || e.decodeStepNanos == 0 || e.Role == Prefill {
		return
	}
	l := e.live
	most := r.cfg.Overcommit*float64(e.slots) + 1
	batch := math.Float64frombits(l.batch.Load())
	if batch == 0 {
		batch = most
	}
	runs, _ := r.load(now, l)
	step := l.step.value(now, 1) * float64(e.decodeStepNanos)
	switch {
	case step > stepHigh*objective && float64(runs) <= batchDrained*batch:
		batch *= batchBackoff
	case step <= stepHigh*objective && float64(runs) >= batchUsed*batch:
		batch++
	}
	l.batch.Store(math.Float64bits(min(max(batch, 1), most)))
}

// batchOf is the number of streams that e may run for all entries.
func (r *Router) batchOf(e *Endpoint) int64 {
	if b := e.live.batch.Load(); b != 0 {
		return int64(math.Float64frombits(b))
	}
	return int64(r.cfg.Overcommit*float64(e.slots) + 1)
}

// strained says whether the peers' streams are slower than the objective, so
// that they should prefill less.
func (r *Router) strained(e *Endpoint) bool {
	if r.cfg.BetweenTokensObjective == 0 || e.Role != Mixed {
		return false
	}
	median := math.Float64frombits(e.shared.step.Load())
	return time.Duration(median*float64(e.decodeStepNanos)) > time.Duration(stepHigh*float64(r.cfg.BetweenTokensObjective))
}
