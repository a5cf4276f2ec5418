package roles

import (
	"math"
	"time"

	"fescuestand/internal/clock"
)

// demand is the smoothed work that arrives for the two roles, in engines.
type demand struct {
	measured  bool
	updatedAt clock.Time
	prefill   trend
	decode    trend
}

// trend averages a rate with two time constants. An average with time constant
// w lags a steady ramp by w, so the gap between the two gives its slope.
type trend struct{ fast, slow float64 }

func (d *demand) observe(now clock.Time, prefill, decode float64) {
	if !d.measured {
		d.measured = true
		d.prefill = trend{prefill, prefill}
		d.decode = trend{decode, decode}
		d.updatedAt = now
		return
	}
	dt := now.Sub(d.updatedAt)
	d.updatedAt = now
	d.prefill.observe(dt, prefill)
	d.decode.observe(dt, decode)
}

func (t *trend) observe(dt time.Duration, x float64) {
	t.fast += smoothingFactor(dt, fastWindow) * (x - t.fast)
	t.slow += smoothingFactor(dt, slowWindow) * (x - t.slow)
}

func smoothingFactor(dt, window time.Duration) float64 {
	return 1 - math.Exp(-float64(dt)/float64(window))
}

// forecast returns the rate expected after d, bounded to between half and one
// and a half of the present rate, so that noise in the trend isn't extrapolated
// further.
func (t *trend) forecast(d time.Duration) float64 {
	slope := (t.fast - t.slow) / (slowWindow - fastWindow).Seconds()
	f := t.fast + slope*(fastWindow+d).Seconds()
	return min(max(f, t.fast/2), t.fast*3/2)
}
