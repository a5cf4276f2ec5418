package reconcile

import (
	"math/rand/v2"
	"time"

	"fescuestand/internal/clock"
)

// LoadPacer spaces the loads that one process orders, so that all engines together stay within the
// rate limit of the weight store.
//
// It guards against slow recovery of an availability zone: all engines of the zone restart empty
// and request their weights at the same time, the store divides its bandwidth among them, and none
// can serve until all have loaded. With sequential loads the first engine serves after a fraction
// of that time.
type LoadPacer struct {
	busyUntil clock.Time // end of the loads reserved so far
}

// Available reports whether the store has capacity for one more load.
func (p *LoadPacer) Available(now clock.Time) bool { return now >= p.busyUntil }

// Reserve accounts for a load of the given size at this process's share of the store's rate. The
// jitter of up to a tenth keeps processes from loading in step with each other.
func (p *LoadPacer) Reserve(now clock.Time, bytes, bytesPerSecond int64) {
	if bytes <= 0 || bytesPerSecond <= 0 {
		return
	}
	duration := time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
	p.busyUntil = max(now, p.busyUntil).Add(duration + rand.N(duration/10+1))
}
