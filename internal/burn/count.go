package burn

import (
	"time"

	"fescuestand/internal/clock"
)

// Count is good and bad events.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (c Count) total() uint64 { return c.Good + c.Bad }

func (c Count) plus(d Count) Count { return Count{Good: c.Good + d.Good, Bad: c.Bad + d.Bad} }

// Share returns the share of good events; without events it is 1.
func (c Count) Share() float64 {
	if c.total() == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.total())
}

// Rate returns the burn rate against a target.
func (c Count) Rate(target float64) float64 {
	if c.total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.total()) / (1 - target)
}

const (
	// slot is the grain of the windows.
	slot = time.Minute
	// slots hold the long window and the minute under way.
	slots = int(LongWindow/slot) + 1
	// Step is the grain of the series for plots.
	Step = 5 * time.Minute
	// Points is the length of the series.
	Points = int(LongWindow / Step)
)

// ring counts events by the minute.
type ring struct {
	counts [slots]Count
	last   int64 // the newest minute counted
}

// at returns the count of the minute of now. Minutes without events in between
// are cleared, since their places hold counts of six hours ago.
func (r *ring) at(now clock.Time) *Count {
	m := int64(now) / int64(slot)
	if m-r.last >= int64(slots) {
		r.counts = [slots]Count{}
		r.last = m
	}
	for r.last < m {
		r.last++
		r.counts[r.last%int64(slots)] = Count{}
	}
	return &r.counts[r.last%int64(slots)]
}

// sum adds n minutes that end skip minutes before the one of the last at.
func (r *ring) sum(skip, n int) Count {
	var c Count
	for i := skip; i < skip+n && i < slots; i++ {
		m := r.last - int64(i)
		if m < 0 {
			break
		}
		c = c.plus(r.counts[m%int64(slots)])
	}
	return c
}

func (r *ring) windows(now clock.Time) [3]Count {
	r.at(now)
	var out [3]Count
	for i, w := range Windows() {
		out[i] = r.sum(0, int(w/slot))
	}
	return out
}

// series returns the counts of each step, oldest first.
func (r *ring) series(now clock.Time) []Count {
	r.at(now)
	per := int(Step / slot)
	out := make([]Count, Points)
	for i := range out {
		out[Points-1-i] = r.sum(i*per, per)
	}
	return out
}
