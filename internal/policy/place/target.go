package place

import (
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// ChooseDecodeEngine returns the decode engine that a KV cache at holder goes to.
func (p *Planner) ChooseDecodeEngine(now clock.Time, open []*catalog.Endpoint, holder *catalog.Endpoint, exclude map[string]bool) *catalog.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.candidates(now, open, exclude)
	if s := p.leastRunning(now, c.decode, p.known[holder.ID]); s != nil {
		return s.ep
	}
	return nil
}

// leastRunning is the decode engine with the fewest requests, within the source's
// zone where it can be.
func (p *Planner) leastRunning(now clock.Time, list []*state, source *state) *state {
	var best *state
	var least float64
	start := int(p.turn() % uint32(max(len(list), 1)))
	near, far := len(list), len(list)
	if len(list) > 2*maxChoices {
		near, far = maxChoices, farChoices
	}
	for i := range list {
		s := list[(start+i)%len(list)]
		left := &near
		if source != nil && s.ep.Zone != source.ep.Zone {
			left = &far
		}
		if *left == 0 {
			continue
		}
		*left--
		if n := p.decodeLoad(now, s, source); best == nil || n < least {
			best, least = s, n
		}
	}
	return best
}

// farChoices is how many decode engines of other zones are looked at in a large
// fleet, for the case that those of the source's zone are full.
const farChoices = 2

// decodeLoad is the load of a decode engine, in requests.
func (p *Planner) decodeLoad(now clock.Time, s, source *state) float64 {
	running := s.running + p.peerRunning(now, s.key())
	n := float64(running) + p.wait(now, s).Seconds()*decodeSharePerSecond
	if s.ep.Slots > 0 && running >= s.ep.Slots {
		n += float64(s.ep.Slots) // it would wait, or be turned away
	}
	if source != nil && s.ep.Zone != source.ep.Zone {
		n += otherZoneRequests
	}
	return n
}

// otherZoneRequests is how many requests fewer a decode engine of another zone must
// have than one in the source's: a transfer between zones holds both links for
// twice as long, and the next ones wait behind it.
const otherZoneRequests = 3

// decodeSharePerSecond weighs prefill work that waits at a decode engine against
// running requests: 100 ms of it slows the engine's streams about as much as
// three more requests in its batch.
const decodeSharePerSecond = 30.0
