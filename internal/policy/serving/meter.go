package serving

import (
	"math"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// rateSpan is the time constant of the moving average. It is longer than bursts, so that these
	// don't change the set of advertised VMs and make callers move back and forth.
	rateSpan = 20 * time.Second
	// minMeasured is the time after the first request from which the rate counts as measured.
	minMeasured = 2 * time.Second
)

// Meter measures the rate of a VM's requests. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	first clock.Time // arrival of the first request, zero before it
	aged  clock.Time // when sum was last decayed
	sum   float64    // of the requests, with weights that decay exponentially with age
}

// Count counts a request.
func (m *Meter) Count(now clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.first == 0 {
		m.first = now
	}
	m.decay(now)
	m.sum++
}

// Rate returns the requests per second, or zero while too little has been measured.
func (m *Meter) Rate(now clock.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.first == 0 || now.Sub(m.first) < minMeasured {
		return 0
	}
	m.decay(now)
	// The average covers only the time since the first request, as the rate before it is unknown.
	weight := 1 - math.Exp(-now.Sub(m.first).Seconds()/rateSpan.Seconds())
	return m.sum / (rateSpan.Seconds() * weight)
}

// decay reduces the weights of the counted requests to their age at now.
func (m *Meter) decay(now clock.Time) {
	m.sum *= math.Exp(-now.Sub(m.aged).Seconds() / rateSpan.Seconds())
	m.aged = now
}
