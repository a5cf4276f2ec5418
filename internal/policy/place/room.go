package place

import (
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// firstProbeDelay is the time after a rejection at which one request may check whether the endpoint has
	// room again. It doubles with each further rejection up to maxProbeDelay.
	firstProbeDelay = 100 * time.Millisecond
	maxProbeDelay   = 1600 * time.Millisecond
	// maxDoublings of firstProbeDelay exceed maxProbeDelay.
	maxDoublings = 8
	// rejectionMemory is the time without a rejection after which an accepted request ends the restriction.
	rejectionMemory = 500 * time.Millisecond
	// growthPerAccepted is how many more requests may be sent for each one that was accepted since the rejection.
	growthPerAccepted = 0.25
)

// room is what this VM knows of an endpoint's room since the endpoint rejected a request. The zero value is
// that of an endpoint that has rejected none.
type room struct {
	restricted bool
	rejectedAt clock.Time
	rejections int     // since the restriction began
	held       int     // requests at the endpoint when it rejected one, -1 if it didn't say
	places     float64 // that requests may take without a probe
	probeAt    clock.Time
}

// reject records a rejection by an endpoint that held the given number of requests, -1 if unknown.
func (r *room) reject(now clock.Time, held int) {
	*r = room{restricted: true, rejectedAt: now, rejections: r.rejections + 1, held: held, probeAt: now.Add(r.probeDelay())}
}

// full reports whether the endpoint is known to have no room.
func (r *room) full(now clock.Time) bool {
	return r.restricted && r.places < 1 && now < r.probeAt
}

// send records that a request is sent to the endpoint.
func (r *room) send(now clock.Time) {
	switch {
	case !r.restricted:
	case r.places >= 1:
		r.places--
	default:
		r.probeAt = now.Add(r.probeDelay())
	}
}

// probeDelay returns the time until the next probe.
func (r *room) probeDelay() time.Duration {
	return min(firstProbeDelay<<min(r.rejections, maxDoublings), maxProbeDelay)
}

// accept records that the endpoint has accepted a request that was sent at sentAt.
func (r *room) accept(now, sentAt clock.Time) {
	if !r.restricted || sentAt < r.rejectedAt {
		return
	}
	if now.Sub(r.rejectedAt) >= rejectionMemory {
		*r = room{}
		return
	}
	r.places += growthPerAccepted
}

// free records that an exchange has ended which the endpoint had accepted.
func (r *room) free() {
	if r.restricted {
		r.places++
	}
}

// report records that the endpoint, which has the given number of slots, says that it holds requests, of vms VMs.
func (r *room) report(requests, slots, vms int) {
	if r.restricted && requests < r.held {
		free := min(r.held-requests, max(slots, 1))
		r.places = max(r.places, float64(free)/float64(max(vms, 1)))
	}
}

// notFull returns the endpoints of list that aren't known to be full, or else the one whose latest rejection is the
// oldest.
func notFull(now clock.Time, list []*endpointState) []*endpointState {
	var oldest *endpointState
	open := make([]*endpointState, 0, len(list))
	for _, s := range list {
		switch {
		case !s.room.full(now):
			open = append(open, s)
		case oldest == nil || s.room.rejectedAt < oldest.room.rejectedAt:
			oldest = s
		}
	}
	if len(open) == 0 && oldest != nil {
		return []*endpointState{oldest}
	}
	return open
}

// withRoom returns the endpoints of list that have room by all that is known.
func (p *Planner) withRoom(now clock.Time, list []*endpointState) []*endpointState {
	out := make([]*endpointState, 0, len(list))
	for _, s := range list {
		if p.hasRoom(now, s) {
			out = append(out, s)
		}
	}
	return out
}

// hasRoom reports whether s isn't known to be full and has a free slot by the counts of this VM and its peers.
func (p *Planner) hasRoom(now clock.Time, s *endpointState) bool {
	if s.room.full(now) {
		return false
	}
	return s.ep.Slots <= 0 || s.running+p.peerRunning(now, s.key()) < s.ep.Slots
}

// RecordRejection records that the endpoint of an exchange hasn't run its request, and how many requests the
// endpoint says that it holds, -1 if it doesn't. It reports whether the endpoint was known to be full when the
// request was sent. A decode engine with free slots has rejected a transfer, which says nothing about its room.
func (p *Planner) RecordRejection(now clock.Time, t *Ticket, requests int) (wasKnown bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.job.HandoffTokens > 0 && requests >= 0 && requests < t.s.ep.Slots {
		return false
	}
	t.s.room.reject(now, requests)
	t.s.capacity.state(now, requests, t.s.ep.Slots)
	return t.sentToFull
}

// RecordAccepted records that the endpoint of an exchange has begun to answer, and how many requests it says
// that it holds, -1 if it doesn't.
func (p *Planner) RecordAccepted(now clock.Time, t *Ticket, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.accepted = true
	t.s.room.accept(now, t.sentAt)
	if requests >= 0 {
		t.s.room.report(requests, t.s.ep.Slots, p.vms())
	}
}

// FullEndpoint is an endpoint that is known to have no room.
type FullEndpoint struct {
	ID   string
	Age  time.Duration // of its latest rejection
	Held int           // requests that it held then, -1 if it didn't say
}

// FullEndpoints returns those of list that are known to have no room.
func (p *Planner) FullEndpoints(now clock.Time, list []*catalog.Endpoint) []FullEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []FullEndpoint
	for _, e := range list {
		if s := p.endpoints[e.ID]; s != nil && s.room.full(now) {
			out = append(out, FullEndpoint{e.ID, now.Sub(s.room.rejectedAt), s.room.held})
		}
	}
	return out
}

// usable returns the endpoints of all, which have the same work, to choose from: the healthy ones. While some are
// ejected for a silence, this VM uses at most its share of the slots of the others. If the healthy ones are full or
// used up to that share, those that were ejected for a silence are used: a silence is no evidence that they have
// ended.
func (p *Planner) usable(now clock.Time, all []*endpointState) []*endpointState {
	good := healthy(now, all)
	pausing := slices.ContainsFunc(all, func(s *endpointState) bool { return s.health.isSilent(now) })
	if !pausing {
		return good
	}
	below := slices.DeleteFunc(slices.Clone(good), func(s *endpointState) bool {
		return s.room.full(now) || s.running >= p.share(s)
	})
	if len(below) > 0 {
		return below
	}
	silent := slices.DeleteFunc(slices.Clone(all), func(s *endpointState) bool {
		return !s.health.isSilent(now) || s.room.full(now)
	})
	if len(silent) > 0 {
		return silent
	}
	return good
}

// vms returns the number of VMs that share the endpoints.
func (p *Planner) vms() int { return len(p.peers) + 1 }

// share returns this VM's share of the slots of s.
func (p *Planner) share(s *endpointState) int {
	vms := p.vms()
	return max((s.ep.Slots+vms-1)/vms, 1)
}
