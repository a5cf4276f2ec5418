package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuestand/internal/clock"
)

const (
	// latencyDigits keeps a percentile within one in a hundred, at 8 kB for
	// each histogram.
	latencyDigits = 2
	// maxLatency bounds what is told apart: deadlines are below ten minutes.
	maxLatency = 10 * time.Minute
	// latencySlot and latencySlots keep the last hour.
	latencySlot  = 10 * time.Minute
	latencySlots = 6
)

// latencies holds the histograms, in milliseconds, of the last hour.
type latencies struct {
	held [latencySlots]*hdrhistogram.Histogram
	last int64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)
}

func (l *latencies) record(now clock.Time, d time.Duration) {
	h := l.at(now)
	ms := min(max(d.Milliseconds(), 1), maxLatency.Milliseconds())
	_ = h.RecordValue(ms) // within the bounds by the line above
}

func (l *latencies) at(now clock.Time) *hdrhistogram.Histogram {
	m := int64(now) / int64(latencySlot)
	if m-l.last >= latencySlots {
		l.last = m - latencySlots
	}
	for l.last < m {
		l.last++
		if h := l.held[l.last%latencySlots]; h != nil {
			h.Reset()
		}
	}
	h := &l.held[l.last%latencySlots]
	if *h == nil {
		*h = newHistogram()
	}
	return *h
}

func (l *latencies) merged(now clock.Time) *hdrhistogram.Histogram {
	l.at(now)
	all := newHistogram()
	for _, h := range l.held {
		if h != nil {
			all.Merge(h)
		}
	}
	return all
}
