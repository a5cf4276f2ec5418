package gateway

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/scarcity"
	"fescuestand/internal/splitmix"
)

const (
	// priorCallTime is the assumed time of a call before the first answer.
	priorCallTime = 30 * time.Millisecond
	// The estimate of a call's time follows shorter times faster than longer ones, which include the wait in the
	// endpoint's queue.
	shorterTimeWeight = 0.5
	longerTimeWeight  = 0.0005
	// shareInterval is how long a VM's share of the endpoints is rounded alike, so that a VM whose share is below one
	// call doesn't get one each time it looks.
	shareInterval = 100 * time.Millisecond
)

// observeCall updates the time of a service's calls.
func (h *HeldRequests) observeCall(service string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, known := h.times[service]
	switch {
	case !known:
		t = took
	case took < t:
		t -= time.Duration(shorterTimeWeight * float64(t-took))
	default:
		t += time.Duration(longerTimeWeight * float64(took-t))
	}
	h.times[service] = t
}

func (h *HeldRequests) callTime(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, known := h.times[service]; known {
		return t
	}
	return priorCallTime
}

// grant reports whether a service's call may be sent by this VM's share of the calls at the endpoints, and counts it
// until endGrant is called. isNew is set for a call that isn't in the queue.
func (h *HeldRequests) grant(now clock.Time, service string, room *place.CallRoom, isNew bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := room.Own + h.granted[service]
	own := sent + h.queue(service).Len()
	if isNew {
		own++
	}
	others := room.Peers
	for _, l := range h.view.Held(now, scarcity.Key(service)) {
		others += l.Count
	}
	share := scarcity.Share(room.Usable, own, others)
	rounding := float64(splitmix.Mix(h.seed^uint64(now.Sub(0)/shareInterval))>>11) / (1 << 53)
	if sent >= int(share+rounding) {
		return false
	}
	h.granted[service]++
	return true
}

// endGrant ends a grant, as the call is counted by the planner or isn't sent.
func (h *HeldRequests) endGrant(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.granted[service]--
}

// beginCall begins an attempt at the endpoint for a call, once there is one that can take it. Where endpoints have
// stated their capacity with rejections, calls wait in the queue of their service while the VM's share of it is used.
func (x *execution) beginCall() (*attempt, result, bool) {
	defer x.endWait()
	for {
		granted, r, ok := x.awaitRoomForCall()
		if !ok {
			return nil, r, false
		}
		choose := x.g.o.Planner.ChooseEndpoint
		if granted {
			choose = x.g.o.Planner.ChooseByOwnCount
		}
		ep := choose(x.now(), x.openEndpoints(), x.tried)
		var a *attempt
		if ep != nil {
			x.beginCallTime()
			a = x.begin(&EndpointRequest{Endpoint: ep}, place.Job{})
		}
		if granted {
			x.g.held.endGrant(x.service)
		}
		switch {
		case a != nil:
			return a, result{}, true
		case granted && len(x.rejectedBy) > 0:
			x.retryRejected()
			continue
		}
		if r, retry := x.awaitCapacity(); !retry {
			return nil, r, false
		}
	}
}

// awaitRoomForCall waits until the endpoints can take the call, and reports whether it has been granted a part of their
// stated capacity. ok is false, with the call's result, if it can't be in time.
func (x *execution) awaitRoomForCall() (granted bool, r result, ok bool) {
	if x.rejections > 0 && !x.pauseAfterRejection() {
		return false, result{outcome: gone}, false
	}
	for {
		room := x.g.o.Planner.CallRoom(x.now(), x.openEndpoints())
		if !room.Known {
			return false, result{}, true
		}
		if r, refuse := x.refuseInDrain(""); refuse {
			return false, r, false
		}
		d := x.decideCall(&room)
		switch {
		case d.Verdict == scarcity.Serve:
			return true, result{}, true
		case d.Verdict == scarcity.Refuse:
			return false, tooLate(d.RetryAfter), false
		case !x.awaitTurn(&d):
			return false, result{outcome: gone}, false
		}
	}
}

// pauseAfterRejection waits for about the time of a call, as a rejection shows that the VMs' counts are too low. It
// returns false if the caller has left.
func (x *execution) pauseAfterRejection() bool {
	if room := x.g.o.Planner.CallRoom(x.now(), x.openEndpoints()); !room.Known {
		return true
	}
	took := x.g.held.callTime(x.service)
	return clock.Sleep(x.ctx, took+time.Duration(splitmix.Mix(x.call.Fingerprint^uint64(x.now()))%uint64(max(took, 1))))
}

func (x *execution) decideCall(room *place.CallRoom) scarcity.Decision {
	now, took := x.now(), x.g.held.callTime(x.service)
	waiting := max(room.Own+room.Peers-room.Slots, 0)
	queued := took * time.Duration(waiting) / time.Duration(max(room.Slots, 1))
	r := x.heldRequest(took, queued, x.deadline.Sub(x.call.Arrived))
	s := scarcity.Situation{Now: now, Endpoints: room.Slots}
	granted := x.g.held.grant(now, x.service, room, x.wait.entry == nil)
	s.Full = !granted
	if x.usesPriorities() {
		s.Wait, r.Fixed = queued, 0
	}
	d := x.settle(r, s)
	if granted && d.Verdict != scarcity.Serve {
		x.g.held.endGrant(x.service)
	}
	return d
}

// retryRejected lets the endpoints that have rejected the call take it.
func (x *execution) retryRejected() {
	for id := range x.rejectedBy {
		delete(x.tried, id)
	}
	clear(x.rejectedBy)
}
