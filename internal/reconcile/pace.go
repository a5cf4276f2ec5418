package reconcile

import (
	"math/rand/v2"
	"time"

	"fescuestand/internal/clock"
)

// LoadPacer spaces the loads that one process orders, so that the engines
// together ask the rate-limited weight store for no more than it gives.
//
// Failure: an availability zone returns, all its engines come back empty and
// all ask for their weights at once. The store splits its rate among them and
// none serves until all do. One after the other, the first serves after a
// fraction of that time.
type LoadPacer struct {
	until clock.Time // the store is busy with what was ordered before
}

// Free reports whether the store has room for one more load.
func (p *LoadPacer) Free(now clock.Time) bool { return now >= p.until }

// Took notes a load of so many bytes at this process's share of the store's
// rate. The jitter of up to a tenth keeps processes from meeting at the store
// again and again.
func (p *LoadPacer) Took(now clock.Time, bytes, bytesPerSecond int64) {
	if bytes <= 0 || bytesPerSecond <= 0 {
		return
	}
	d := time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
	p.until = max(now, p.until).Add(d + rand.N(d/10+1))
}
