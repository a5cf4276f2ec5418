package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// capacityMemory is how long the capacity that an endpoint stated with a rejection is used.
	capacityMemory = time.Minute
	// usedQueueShare is the share of an endpoint's queue that VMs fill: their counts of each other are some hundred
	// milliseconds old.
	usedQueueShare = 0.55
)

// statedCapacity is how many requests an endpoint held when it rejected another one.
type statedCapacity struct {
	requests int // zero if unknown
	at       clock.Time
}

// state records that an endpoint with the given number of slots has rejected a request. One that rejects requests
// while it has free slots does so for another reason.
func (c *statedCapacity) state(now clock.Time, requests, slots int) {
	if slots > 0 && requests >= slots {
		*c = statedCapacity{requests, now}
	}
}

// CallRoom is the room for calls at the endpoints of a plain service.
type CallRoom struct {
	Known  bool    // an endpoint has stated its capacity lately
	Usable float64 // calls that the endpoints can take, with a part of their queues
	Slots  int
	Own    int // calls of this VM that run or wait there
	Peers  int // the same of the other VMs, by their reports
}

// CallRoom returns the room at the open endpoints. The capacity of those that haven't stated it is taken to be like
// that of the others.
func (p *Planner) CallRoom(now clock.Time, open []*catalog.Endpoint) CallRoom {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.eligible(now, open, nil)
	known, knownSlots := 0, 0
	for _, s := range list {
		if c := s.capacity; c.requests > 0 && now.Sub(c.at) < capacityMemory {
			known += c.requests
			knownSlots += s.ep.Slots
		}
	}
	if knownSlots == 0 {
		return CallRoom{}
	}
	r := CallRoom{Known: true}
	for _, s := range list {
		r.Slots += s.ep.Slots
		r.Own += s.running
		r.Peers += p.peerRunning(now, s.key())
	}
	queue := float64(known-knownSlots) / float64(knownSlots) // per slot
	r.Usable = float64(r.Slots) * (1 + usedQueueShare*queue)
	return r
}

// ChooseByOwnCount returns the endpoint where this VM has the fewest calls per slot, or nil if there is none. While the
// endpoints are at their capacity, the VMs' counts of each other change more between two reports than the endpoints
// differ: VMs that follow them all send to the same endpoint, whose queue overflows.
func (p *Planner) ChooseByOwnCount(now clock.Time, open []*catalog.Endpoint, exclude map[string]bool) *catalog.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.usable(now, p.eligible(now, open, exclude))
	var best *endpointState
	var minLoad float64
	start := int(p.random())
	for i := range list {
		s := list[(start+i)%len(list)]
		load := float64(s.running+1) / float64(max(s.ep.Slots, 1))
		if best == nil || load < minLoad {
			best, minLoad = s, load
		}
	}
	if best == nil {
		return nil
	}
	return best.ep
}
