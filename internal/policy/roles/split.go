package roles

import (
	"math"
	"time"
)

// split is the number of ready engines of each role. A mixed engine counts half
// in each.
type split struct{ prefill, decode float64 }

// withMoved returns the split with n engines moved to a role.
func (s split) withMoved(to Role, n float64) split {
	if to == Prefill {
		return split{s.prefill + n, s.decode - n}
	}
	return split{s.prefill - n, s.decode + n}
}

// without returns the split with n engines of a role unavailable.
func (s split) without(r Role, n float64) split {
	if r == Prefill {
		return split{s.prefill - n, s.decode}
	}
	return split{s.prefill, s.decode - n}
}

// demandFactors scale a forecast to the demands over which served work is
// averaged. With a handful of long prompts a second, the arrivals of ten seconds
// scatter by a sixth, and so does a forecast made from them. Without the average
// each random burst of arrivals would seem to justify a change, and the next one
// the change back.
var demandFactors = [...]float64{0.75, 1, 1.25}

// expectedServed returns the work served on time, in engines, that is expected
// for a forecast of the demand on both roles.
func (s split) expectedServed(prefill, decode float64) float64 {
	sum := 0.0
	for _, p := range demandFactors {
		for _, d := range demandFactors {
			sum += s.servedAt(prefill*p, decode*d)
		}
	}
	return sum / float64(len(demandFactors)*len(demandFactors))
}

// servedAt returns the work served on time, in engines, at a given demand. A
// request needs both roles, so the role with the smaller ratio limits both.
func (s split) servedAt(prefill, decode float64) float64 {
	return min(1, capacityRatio(MaxPrefillUtilization*s.prefill, prefill), capacityRatio(MaxDecodeUtilization*s.decode, decode)) * (prefill + decode)
}

// shortRole returns the role that can serve the smaller share of its demand.
func (s split) shortRole(prefill, decode float64) Role {
	if capacityRatio(MaxPrefillUtilization*s.prefill, prefill) > capacityRatio(MaxDecodeUtilization*s.decode, decode) {
		return Decode
	}
	return Prefill
}

func capacityRatio(capacity, demand float64) float64 {
	if demand <= 0 {
		return math.Inf(1)
	}
	return max(capacity/demand, 0)
}

// gainAndLoss returns the gain and the loss in engine seconds of moving one
// engine. The work that the engine itself would have served counts as lost in
// proportion to the utilization of the pool, even if its role has spare
// capacity: arrivals come in bursts, which use that capacity.
func (s split) gainAndLoss(to Role, prefill, decode float64, payback, duration time.Duration) (gain, loss float64) {
	current := s.expectedServed(prefill, decode)
	after := s.withMoved(to, 1).expectedServed(prefill, decode)
	during := s.without(to.other(), 1).expectedServed(prefill, decode)
	utilization := min(1, (prefill/MaxPrefillUtilization+decode/MaxDecodeUtilization)/(s.prefill+s.decode))
	gain = (after - current) * payback.Seconds()
	loss = (current-during)*duration.Seconds() + utilization*(duration+Warmup).Seconds()
	return gain, loss
}
