package burn

import (
	"time"

	"fescuestand/internal/clock"
)

// Count is the number of good and of bad events.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (c Count) total() uint64 { return c.Good + c.Bad }

func (c Count) add(d Count) Count { return Count{Good: c.Good + d.Good, Bad: c.Bad + d.Bad} }

// GoodShare returns the share of good events, or 1 without events.
func (c Count) GoodShare() float64 {
	if c.total() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.total())
}

// BurnRate returns the burn rate for a target share of good events, or 0 without events.
func (c Count) BurnRate(target float64) float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.total()) / (1 - target)
}

const (
	// ringStep is the resolution of the windows.
	ringStep = time.Minute
	// ringMinutes covers the long window and the current minute.
	ringMinutes = int(LongWindow/ringStep) + 1
	// SeriesStep is the resolution of the series for plots.
	SeriesStep = 5 * time.Minute
	// SeriesPoints is the number of steps in a series.
	SeriesPoints = int(LongWindow / SeriesStep)
)

// ring is a ring buffer of event counts by the minute.
type ring struct {
	counts [ringMinutes]Count
	last   int64 // the newest minute, counted from clock time 0
}

// at returns the count of the current minute. It clears the minutes since the last call, whose places
// in the ring hold counts from six hours before.
func (r *ring) at(now clock.Time) *Count {
	m := int64(now) / int64(ringStep)
	if m-r.last >= int64(ringMinutes) {
		r.counts = [ringMinutes]Count{}
		r.last = m
	}
	for r.last < m {
		r.last++
		r.counts[r.last%int64(ringMinutes)] = Count{}
	}
	return &r.counts[r.last%int64(ringMinutes)]
}

// sum adds up n minutes, of which the newest is skip minutes before the newest one of the ring.
func (r *ring) sum(skip, n int) Count {
	var c Count
	for i := skip; i < skip+n && i < ringMinutes; i++ {
		m := r.last - int64(i)
		if m < 0 {
			break
		}
		c = c.add(r.counts[m%int64(ringMinutes)])
	}
	return c
}

// windows returns the counts of the windows, in the order of Windows.
func (r *ring) windows(now clock.Time) [3]Count {
	r.at(now)
	var out [3]Count
	for i, w := range Windows() {
		out[i] = r.sum(0, int(w/ringStep))
	}
	return out
}

// series returns the counts of the last SeriesPoints steps, oldest first.
func (r *ring) series(now clock.Time) []Count {
	r.at(now)
	minutesPerStep := int(SeriesStep / ringStep)
	out := make([]Count, SeriesPoints)
	for i := range out {
		out[SeriesPoints-1-i] = r.sum(i*minutesPerStep, minutesPerStep)
	}
	return out
}
