package place

import (
	"math"
	"time"

	"fescuestand/internal/clock"
)

// demandSpan is the time constant of the average demand. It is longer than fluctuations of the
// workload mix that are too short to follow by reassigning engines to another stage.
const demandSpan = 6 * time.Second

// Demand is the engine capacity that requests need.
type Demand struct {
	Prefill float64 // seconds of prefill per second, at a prefill engine
	Streams float64 // concurrent streams
}

func (d Demand) add(e Demand) Demand { return Demand{d.Prefill + e.Prefill, d.Streams + e.Streams} }

// demandMeter averages one VM's demand with weights that decay exponentially with age.
type demandMeter struct {
	at      clock.Time
	prefill float64
	streams float64
	running int // streams at the time at
}

// advance moves the averages on to now.
func (m *demandMeter) advance(now clock.Time) {
	if m.at == 0 {
		m.at = now
	}
	dt := now.Sub(m.at).Seconds()
	keep := math.Exp(-dt / demandSpan.Seconds())
	m.prefill *= keep
	m.streams = keep*m.streams + (1-keep)*float64(m.running)
	m.at = now
}

// addPrefill counts a prefill's work.
func (m *demandMeter) addPrefill(now clock.Time, work time.Duration) {
	m.advance(now)
	m.prefill += work.Seconds() / demandSpan.Seconds()
}

// addStreams changes the number of running streams.
func (m *demandMeter) addStreams(now clock.Time, change int) {
	m.advance(now)
	m.running += change
}

// Demand returns the demand of this VM's requests.
func (p *Planner) Demand(now clock.Time) Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand(now)
}

func (p *Planner) demand(now clock.Time) Demand {
	p.meter.advance(now)
	return Demand{p.meter.prefill, p.meter.streams}
}

// TotalDemand returns the demand of this VM and of all peers whose last report isn't too old.
func (p *Planner) TotalDemand(now clock.Time) Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := p.demand(now)
	for _, r := range p.peers {
		if now.Sub(r.at) <= maxPeerReportAge {
			sum = sum.add(r.demand)
		}
	}
	return sum
}
