package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuestand/internal/clock"
)

const (
	// latencyDigits is the number of significant digits. With 2, a percentile is accurate to one in
	// a hundred and a histogram takes 8 kB.
	latencyDigits = 2
	// maxLatency is the highest latency that is distinguished. Deadlines are below ten minutes.
	maxLatency = 10 * time.Minute
	// latencySlot is the period of one histogram; latencySlotCount of them cover the last hour.
	latencySlot      = 10 * time.Minute
	latencySlotCount = 6
)

// latencyHistograms is a ring buffer of the last hour's histograms, in milliseconds.
type latencyHistograms struct {
	slots [latencySlotCount]*hdrhistogram.Histogram
	last  int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)
}

func (l *latencyHistograms) record(now clock.Time, d time.Duration) {
	h := l.at(now)
	ms := min(max(d.Milliseconds(), 1), maxLatency.Milliseconds())
	_ = h.RecordValue(ms) // the line above keeps ms within the bounds
}

// at returns the histogram of the current slot. It resets those of the slots since the last call.
func (l *latencyHistograms) at(now clock.Time) *hdrhistogram.Histogram {
	m := int64(now) / int64(latencySlot)
	if m-l.last >= latencySlotCount {
		l.last = m - latencySlotCount
	}
	for l.last < m {
		l.last++
		if h := l.slots[l.last%latencySlotCount]; h != nil {
			h.Reset()
		}
	}
	h := &l.slots[l.last%latencySlotCount]
	if *h == nil {
		*h = newHistogram()
	}
	return *h
}

// merged returns one histogram of the last hour.
func (l *latencyHistograms) merged(now clock.Time) *hdrhistogram.Histogram {
	l.at(now)
	all := newHistogram()
	for _, h := range l.slots {
		if h != nil {
			all.Merge(h)
		}
	}
	return all
}
