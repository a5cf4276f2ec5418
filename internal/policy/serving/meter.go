package serving

import (
	"math"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// rateSpan is the time over which a rate is averaged: longer than bursts, so
	// that callers don't move to and fro with them.
	rateSpan = 20 * time.Second
	// knownAfter the first request a rate counts as measured.
	knownAfter = 2 * time.Second
)

// Meter measures the rate of a VM's requests. It is safe for concurrent use.
type Meter struct {
	mu    sync.Mutex
	first clock.Time // when the first request came, zero if none has
	at    clock.Time
	sum   float64 // of the requests, each weighted by its age
}

// Count counts a request.
func (m *Meter) Count(now clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.first == 0 {
		m.first = now
	}
	m.age(now)
	m.sum++
}

// Rate returns the requests a second, zero if they are not known yet.
func (m *Meter) Rate(now clock.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.first == 0 || now.Sub(m.first) < knownAfter {
		return 0
	}
	m.age(now)
	// What came before the first request isn't known to have been nothing.
	weight := 1 - math.Exp(-now.Sub(m.first).Seconds()/rateSpan.Seconds())
	return m.sum / (rateSpan.Seconds() * weight)
}

func (m *Meter) age(now clock.Time) {
	m.sum *= math.Exp(-now.Sub(m.at).Seconds() / rateSpan.Seconds())
	m.at = now
}
