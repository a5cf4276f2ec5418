package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// ChooseEndpoint returns the endpoint of a plain service that is chosen by its requests per slot, weighted by
// its slowdown at this moment (choose), or nil if there is none.
func (p *Planner) ChooseEndpoint(now clock.Time, open []*catalog.Endpoint, exclude map[string]bool) *catalog.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := notFull(now, p.usable(now, p.eligible(now, open, exclude)))
	if len(list) == 0 {
		return nil
	}
	start := int(p.random())
	choices := make([]choice, 0, len(list))
	for i := range list {
		s := list[(start+i)%len(list)]
		load := s.pace.Slowdown(now) * (p.requests(now, s) + 1) / float64(max(s.ep.Slots, 1))
		if s.ep.Zone != p.zone {
			load += otherZoneLoad
		}
		choices = append(choices, choice{(start + i) % len(list), load, s.pace.Slowdown(now) / float64(max(s.ep.Slots, 1))})
	}
	return list[p.choose(choices, p.unreported(now, list[0]))].ep
}

// otherZoneLoad is the load, as a share of an endpoint's slots, that is added for an endpoint in
// another zone than this VM's: a round trip between zones takes 2.8 ms, a fifth of the shortest
// call.
const otherZoneLoad = 0.2

// requests estimates the number of requests at s: the sum of this VM's and its peers' counts, or the
// number that s itself reported with a recent answer, if that is larger.
func (p *Planner) requests(now clock.Time, s *endpointState) float64 {
	n := float64(s.running + p.peerRunning(now, s.key()))
	if now.Sub(s.load.at) < maxLoadAge {
		n = max(n, float64(s.load.requests))
	}
	return n
}

// maxLoadAge is how long the load that an endpoint reported is used: calls take tens of
// milliseconds.
const maxLoadAge = 100 * time.Millisecond
