package place

import (
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// ChooseDecodeEngine returns the decode engine to which the KV cache at holder should be
// transferred, or nil if there is none.
func (p *Planner) ChooseDecodeEngine(now clock.Time, open []*catalog.Endpoint, holder *catalog.Endpoint, exclude map[string]bool) *catalog.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.candidates(now, open, exclude)
	if s := p.leastLoadedDecode(now, c.decode, p.endpoints[holder.ID]); s != nil {
		return s.ep
	}
	return nil
}

// leastLoadedDecode returns the decode engine that is chosen by its load (choose), with a preference for the
// zone of source. In a large fleet it compares only a few engines.
func (p *Planner) leastLoadedDecode(now clock.Time, list []*endpointState, source *endpointState) *endpointState {
	list = notFull(now, list)
	if len(list) == 0 {
		return nil
	}
	var choices []choice
	start := int(p.random() % uint32(len(list)))
	sameZoneLeft, otherZonesLeft := len(list), len(list)
	if len(list) > 2*sampleSize {
		sameZoneLeft, otherZonesLeft = sampleSize, otherZonesSampleSize
	}
	for i := range list {
		s := list[(start+i)%len(list)]
		left := &sameZoneLeft
		if source != nil && s.ep.Zone != source.ep.Zone {
			left = &otherZonesLeft
		}
		if *left == 0 {
			continue
		}
		*left--
		choices = append(choices, choice{(start + i) % len(list), p.decodeLoad(now, s, source), s.pace.Slowdown(now)})
	}
	unreported := p.unreported(now, list[0]) * float64(len(choices)) / float64(len(list))
	return list[p.choose(choices, unreported)]
}

// otherZonesSampleSize is how many decode engines of other zones are compared in a large fleet, in
// case those of the source's zone are full.
const otherZonesSampleSize = 2

// decodeLoad returns the load of a decode engine with one more request, in requests at the usual speed. An engine
// with all slots taken produces tokens about half as fast as an idle one, so that the speed of its machine often
// matters more than its requests.
func (p *Planner) decodeLoad(now clock.Time, s, source *endpointState) float64 {
	running := s.running + p.peerRunning(now, s.key())
	load := float64(s.ep.Slots + running + 1)
	if s.ep.Slots > 0 && running >= s.ep.Slots {
		load += float64(s.ep.Slots) // the request would wait or be rejected
	}
	load = load*s.pace.Slowdown(now) + p.wait(now, s).Seconds()*requestsPerWaitSecond
	if source != nil && s.ep.Zone != source.ep.Zone {
		load += otherZoneRequests
	}
	return load
}

// otherZoneRequests is how many requests fewer a decode engine of another zone must have to be
// preferred over one in the source's zone: a transfer between zones occupies both links for twice
// as long, and the next transfers wait behind it.
const otherZoneRequests = 3

// requestsPerWaitSecond converts the time of the prefill work that waits at a decode engine to
// running requests: 100 ms of it slow the engine's streams about as much as three more requests in
// its batch.
const requestsPerWaitSecond = 30.0
