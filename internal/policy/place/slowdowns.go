package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// RecordSlowdown records the slowdown that an endpoint has sent with an answer: 1 if work takes as long as
// usual, 2 if it takes twice as long. One that isn't valid is ignored and counted.
func (p *Planner) RecordSlowdown(now clock.Time, e *catalog.Endpoint, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[e.ID]; s != nil {
		p.recordSlowdown(s, now, slowdown, true)
	}
}

// recordSlowdown records the slowdown of s at the time at. own says that this VM has received it from s.
func (p *Planner) recordSlowdown(s *endpointState, at clock.Time, slowdown float64, own bool) {
	before := s.pace
	if !s.pace.Record(at, slowdown) {
		p.slowdownsIgnored++
	}
	if s.pace != before {
		s.paceOwn = own
	}
}

// Slowdown is a slowdown that a VM sends to its peers.
type Slowdown struct {
	Endpoint uint32 // its Key
	Slowdown float64
	Age      time.Duration
}

// maxSlowdownsSent is the maximum number of slowdowns in a message to other VMs. A VM that sends ten
// requests a second receives two or three figures of slowed endpoints within the time in which they count.
const maxSlowdownsSent = 12

// Slowdowns returns those that this VM has received from endpoints and that affect placement, for its peers.
func (p *Planner) Slowdowns(now clock.Time) []Slowdown {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Slowdown
	for _, c := range p.changedSlowdowns(now) {
		if c.s.paceOwn && len(out) < maxSlowdownsSent {
			out = append(out, Slowdown{c.s.key(), c.slowdown, c.age})
		}
	}
	return out
}

// ReceiveSlowdowns records what a peer has received from endpoints.
func (p *Planner) ReceiveSlowdowns(now clock.Time, list []Slowdown) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range list {
		if s := p.endpoints[p.keys[r.Endpoint]]; s != nil {
			p.recordSlowdown(s, now.Add(-r.Age), r.Slowdown, false)
		}
	}
}

// slowdownDuring returns the mean of the endpoint's slowdown when the request was sent and at now, as far
// as they are known, or else the lasting one.
func (t *Ticket) slowdownDuring(now clock.Time) float64 {
	end, _, ok := t.s.pace.Current(now)
	switch {
	case ok && t.slowdown != 0:
		return (t.slowdown + end) / 2
	case ok:
		return end
	case t.slowdown != 0:
		return t.slowdown
	}
	return t.s.pace.Lasting()
}

// Slowdown returns how much longer than usual work takes at an endpoint, as it has just said or a peer has just
// received. It returns 1 if nothing is known of this moment.
func (p *Planner) Slowdown(now clock.Time, id string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[id]
	if s == nil {
		return 1
	}
	if slowdown, _, ok := s.pace.Current(now); ok {
		return slowdown / s.pace.Lasting()
	}
	return 1
}

// SlowdownMetrics are what a planner knows of the slowdowns of this moment, for expvar.
type SlowdownMetrics struct {
	Known   int                // endpoints with a figure that says something about this moment
	Ignored int64              // figures that weren't valid
	Largest map[string]float64 // the figures that differ most from 1, by endpoint
}

// maxSlowdownsShown is the maximum number of figures in SlowdownMetrics.
const maxSlowdownsShown = 32

// SlowdownMetrics returns the current values.
func (p *Planner) SlowdownMetrics(now clock.Time) SlowdownMetrics {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := SlowdownMetrics{Ignored: p.slowdownsIgnored, Largest: map[string]float64{}}
	for _, s := range p.endpoints {
		if _, _, ok := s.pace.Current(now); ok {
			m.Known++
		}
	}
	changed := p.changedSlowdowns(now)
	for _, c := range changed[:min(len(changed), maxSlowdownsShown)] {
		m.Largest[c.s.ep.ID] = c.slowdown
	}
	return m
}

// changedSlowdown is a slowdown that differs from 1.
type changedSlowdown struct {
	s        *endpointState
	slowdown float64
	age      time.Duration
}

// minSlowdownChange is the minimum difference of a slowdown from 1 that affects placement: predictions are
// less exact than that.
const minSlowdownChange = 0.05

// changedSlowdowns returns the slowdowns that differ from 1 by minSlowdownChange or more, with the largest
// ratio first.
func (p *Planner) changedSlowdowns(now clock.Time) []changedSlowdown {
	var out []changedSlowdown
	for _, s := range p.endpoints {
		if slowdown, age, ok := s.pace.Current(now); ok && math.Abs(slowdown-1) >= minSlowdownChange {
			out = append(out, changedSlowdown{s, slowdown, age})
		}
	}
	slices.SortFunc(out, func(a, b changedSlowdown) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(b.slowdown)), math.Abs(math.Log(a.slowdown))), cmp.Compare(a.s.ep.ID, b.s.ep.ID))
	})
	return out
}
