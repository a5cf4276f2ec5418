package admit

import (
	"time"

	"fescuestand/internal/clock"
)

const (
	// drainWindow is the time over which the drain rate is measured: long compared with the start
	// of one request, short compared with a shift of the mix.
	drainWindow = time.Second
	// drainEWMAWeight averages the rate over about three windows.
	drainEWMAWeight = 0.3
	// drainTTL is how long a measured rate is used when there is no backlog to measure it again.
	drainTTL = 30 * time.Second
)

// drainMeter measures the drain rate, which is the work that endpoints complete per second while the queue
// has a backlog. Work that is started would show a rate of almost zero while endpoints that were given
// too much work catch up. An estimate from the number of slots alone is wrong whenever another resource
// is the bottleneck, such as prefill in a pool with split roles.
type drainMeter struct {
	windowStart  clock.Time
	backlogged   bool          // the queue has had a backlog since windowStart
	work         time.Duration // completed since windowStart
	measuredRate float64       // seconds of engine time per second; zero if not measured
	measuredAt   clock.Time
	updatedAt    clock.Time
}

// rate returns the engine time that is completed per second, in seconds: the measured rate, or an
// estimate from the slots if there is no recent measurement.
func (d *drainMeter) rate(slots, batch int) float64 {
	if d.measuredRate > 0 && d.updatedAt.Sub(d.measuredAt) < drainTTL {
		return d.measuredRate
	}
	return float64(max(slots, 1)) / float64(max(batch, 1))
}

func (d *drainMeter) addWork(cost time.Duration) { d.work += cost }

// update closes the measurement window once it is over. The first window begins with the first completed
// work, as nothing can be complete earlier. backlog says whether requests are queued, busy
// whether any are running. If requests are queued while none is running and none starts, the engines
// have stopped: they change their role, were replaced or are unreachable. Such a time is not measured
// as a rate of zero. A rate of zero would cause refusals for minutes because of a handful of queued
// requests, since only admitted requests can change the measured rate again.
func (d *drainMeter) update(now clock.Time, backlog, busy bool) {
	d.updatedAt = now
	idle := d.work == 0 && (!busy || d.measuredRate == 0)
	if !backlog || !d.backlogged || idle {
		d.windowStart, d.work, d.backlogged = now, 0, backlog
		return
	}
	span := now.Sub(d.windowStart)
	if span < drainWindow || d.work == 0 {
		return // nothing is complete that could be measured
	}
	x := max(d.work.Seconds()/span.Seconds(), minDrainRate)
	if d.measuredRate == 0 || now.Sub(d.measuredAt) >= drainTTL {
		d.measuredRate = x
	}
	d.measuredRate += drainEWMAWeight * (x - d.measuredRate)
	d.measuredAt, d.windowStart, d.work = now, now, 0
}

// convert converts the meter to costs that have changed by ratio.
func (d *drainMeter) convert(ratio float64) {
	d.measuredRate *= ratio
	d.work = time.Duration(float64(d.work) * ratio)
}

// minDrainRate keeps forecasts finite when hardly any work starts.
const minDrainRate = 0.01

// scale adapts the measured rate to a changed number of slots.
func (d *drainMeter) scale(old, slots int) {
	if old > 0 {
		d.measuredRate *= float64(slots) / float64(old)
	}
}
