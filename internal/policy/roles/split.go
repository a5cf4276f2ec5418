package roles

import (
	"math"
	"time"
)

// split is the ready engines of each role. A mixed engine counts half in each.
type split struct{ prefill, decode float64 }

// after returns the split with n engines moved to a role.
func (s split) after(to Role, n float64) split {
	if to == Prefill {
		return split{s.prefill + n, s.decode - n}
	}
	return split{s.prefill - n, s.decode + n}
}

// without returns the split with n engines of a role away.
func (s split) without(r Role, n float64) split {
	if r == Prefill {
		return split{s.prefill - n, s.decode}
	}
	return split{s.prefill, s.decode - n}
}

// scatter are the factors around a forecast over which work is averaged: with
// a handful of long prompts a second, ten seconds of arrivals scatter by a
// sixth, and so does what is forecast from them. Without it each gust of
// arrivals looks worth a change, and the next one worth the change back.
var scatter = [...]float64{0.75, 1, 1.25}

// served returns the work on time, in engines, that is expected for a forecast
// of the demand on both roles.
func (s split) served(prefill, decode float64) float64 {
	sum := 0.0
	for _, p := range scatter {
		for _, d := range scatter {
			sum += s.exactly(prefill*p, decode*d)
		}
	}
	return sum / float64(len(scatter)*len(scatter))
}

// exactly returns the work on time for a known demand. A request needs both
// roles, so the shorter one sets the share.
func (s split) exactly(prefill, decode float64) float64 {
	return min(1, share(PrefillUse*s.prefill, prefill), share(DecodeUse*s.decode, decode)) * (prefill + decode)
}

// shorter returns the role that can serve the smaller share of its demand.
func (s split) shorter(prefill, decode float64) Role {
	if share(PrefillUse*s.prefill, prefill) > share(DecodeUse*s.decode, decode) {
		return Decode
	}
	return Prefill
}

func share(capacity, demand float64) float64 {
	if demand <= 0 {
		return math.Inf(1)
	}
	return max(capacity/demand, 0)
}

// weigh returns the gain and the loss in engine seconds of moving one engine.
// What the engine itself would have served is lost as far as the pool is in
// use, also where its role has some to spare: arrivals in bursts use the spare.
func (s split) weigh(to Role, prefill, decode float64, payback, away time.Duration) (gain, loss float64) {
	now := s.served(prefill, decode)
	after := s.after(to, 1).served(prefill, decode)
	during := s.without(to.other(), 1).served(prefill, decode)
	use := min(1, (prefill/PrefillUse+decode/DecodeUse)/(s.prefill+s.decode))
	gain = (after - now) * payback.Seconds()
	loss = (now-during)*away.Seconds() + use*(away+Warmup).Seconds()
	return gain, loss
}
