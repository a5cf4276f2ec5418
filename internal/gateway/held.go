package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/scarcity"
	"fescuestand/internal/wire"
)

const (
	// minWakeInterval is the shortest time between two wake-ups by beats: sixty VMs send some hundred beats a second.
	minWakeInterval = 20 * time.Millisecond
	// maxReportedServices bounds the services in a beat.
	maxReportedServices = 32
	// maxDelays bounds the refused requests whose Retry-After delay a VM remembers.
	maxDelays = 4096
)

// HeldRequests are the requests that wait at a VM for capacity of services with routes of different priority, and
// what other VMs report of theirs. It is safe for concurrent use.
type HeldRequests struct {
	mu      sync.Mutex
	queues  map[string]*scarcity.Queue
	view    *scarcity.View
	delays  map[uint64]clock.Time    // end of the Retry-After delay by fingerprint of the refused request
	wokeAt  clock.Time               // the latest wake-up by a beat
	times   map[string]time.Duration // of a call at an endpoint that isn't busy, by service
	granted map[string]int           // calls by service that may be sent and haven't been counted by the planner yet
	seed    uint64                   // of the rounding of shares
}

func newHeldRequests() *HeldRequests {
	return &HeldRequests{queues: map[string]*scarcity.Queue{}, view: scarcity.NewView(), delays: map[uint64]clock.Time{}, times: map[string]time.Duration{}, granted: map[string]int{}, seed: rand.Uint64()}
}

// queue returns the queue of a service. The caller holds the lock.
func (h *HeldRequests) queue(service string) *scarcity.Queue {
	q := h.queues[service]
	if q == nil {
		q = scarcity.NewQueue()
		h.queues[service] = q
	}
	return q
}

// decide decides on a request. It adds the held work to s.
func (h *HeldRequests) decide(service string, r *scarcity.Request, s scarcity.Situation) scarcity.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queue(service)
	peers := h.view.Held(s.Now, scarcity.Key(service))
	s.Ahead, s.Above, s.Same = q.Ahead(s.Now, r), peers.Above(r.Level), peers[r.Level].Work
	s.Urgent = q.Held(s.Now).Above(r.Level)
	d := scarcity.Decide(r, &s)
	if d.Verdict == scarcity.Serve {
		q.Served(s.Now, r)
	}
	return d
}

// add has a request wait.
func (h *HeldRequests) add(now clock.Time, service string, r *scarcity.Request) *scarcity.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queue(service).Add(now, *r)
}

// update replaces the description of a waiting request. It returns false if a full queue has dropped it.
func (h *HeldRequests) update(e *scarcity.Entry, r *scarcity.Request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Request = *r
	return e.Queued()
}

// isBehind reports whether a waiting request has no reason to be decided again, as others precede it and it can
// still be in time.
func (h *HeldRequests) isBehind(now clock.Time, service string, e *scarcity.Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return e.Queued() && !e.Expired(now) && h.queue(service).First(now) != e
}

// remove ends the wait of a request and wakes the next one.
func (h *HeldRequests) remove(now clock.Time, service string, e *scarcity.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queue(service)
	q.Remove(e)
	q.WakeFirst(now)
}

// wake wakes the first request that waits for a service, as capacity may be free.
func (h *HeldRequests) wake(now clock.Time, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if q := h.queues[service]; q != nil {
		q.WakeFirst(now)
	}
}

// wakeAll wakes the first request of each service.
func (h *HeldRequests) wakeAll(now clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, q := range h.queues {
		q.WakeFirst(now)
	}
}

// setDelay records the Retry-After delay of a refused request.
func (h *HeldRequests) setDelay(now clock.Time, fingerprint uint64, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.delays) >= maxDelays {
		for f, end := range h.delays {
			if end < now {
				delete(h.delays, f)
			}
		}
	}
	if len(h.delays) < maxDelays {
		h.delays[fingerprint] = now.Add(delay)
	}
}

// isEarly reports whether a request that arrived at the given time came back before the end of its delay.
func (h *HeldRequests) isEarly(arrived clock.Time, fingerprint uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	end, refused := h.delays[fingerprint]
	return refused && arrived < end
}

// fill adds what waits at this VM to a beat.
func (h *HeldRequests) fill(now clock.Time, b *wire.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, q := range h.queues {
		if q.Len() > 0 && len(b.Held) < maxReportedServices {
			b.Held = append(b.Held, encodeHeld(service, q.Held(now)))
		}
	}
}

func encodeHeld(service string, held scarcity.Held) *wire.HeldWork {
	m := &wire.HeldWork{Service: scarcity.Key(service)}
	for _, l := range held {
		m.WorkMs = append(m.WorkMs, milliseconds(l.Work))
		m.Requests = append(m.Requests, uint32(l.Count))
	}
	return m
}

// maxReportedWork bounds the work that another VM may report for a level, as its callers would leave before more
// is done.
const maxReportedWork = time.Minute

func decodeHeld(m *wire.HeldWork) scarcity.Held {
	var held scarcity.Held
	for i := range min(len(held), len(m.GetWorkMs()), len(m.GetRequests())) {
		held[i] = scarcity.Load{Work: min(fromMilliseconds(m.WorkMs[i]), maxReportedWork), Count: int(m.Requests[i])}
	}
	return held
}

// receive applies the report of another VM.
func (h *HeldRequests) receive(now clock.Time, vm string, reports []*wire.HeldWork) {
	held := make(map[uint32]scarcity.Held, len(reports))
	for _, m := range reports[:min(len(reports), maxReportedServices)] {
		held[m.GetService()] = decodeHeld(m)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.Receive(now, vm, held)
	if now.Sub(h.wokeAt) < minWakeInterval {
		return
	}
	h.wokeAt = now
	for _, q := range h.queues {
		q.WakeFirst(now)
	}
}

// Counts returns the number of requests that wait by service.
func (h *HeldRequests) Counts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int{}
	for service, q := range h.queues {
		if q.Len() > 0 {
			out[service] = q.Len()
		}
	}
	return out
}

// wait is the wait of an execution's request for capacity.
type wait struct {
	entry  *scarcity.Entry // nil while it doesn't wait
	began  clock.Time
	time   time.Duration   // that it has waited, without a wait that hasn't ended
	reason scarcity.Reason // of the first hold, or of the refusal
}

// usesPriorities reports whether routes of different priority lead to the request's service.
func (x *execution) usesPriorities() bool { return x.view.Config.HasPriorities(x.service) }

// heldRequest describes the request for the queue. work is what an endpoint must do, and fixed the rest of the time
// to the first event or the answer.
func (x *execution) heldRequest(work, fixed, leaves time.Duration) *scarcity.Request {
	r := &scarcity.Request{
		Level: x.level(), Arrived: x.call.Arrived, Target: x.route.LatencyTarget, Leaves: leaves,
		Work: work, Fixed: fixed, Bytes: len(x.call.Body), Early: x.g.held.isEarly(x.call.Arrived, x.call.Fingerprint),
		Begun: x.isTakenUp(),
	}
	if w := x.call.Workspace; w != nil {
		r.Workspace = w.Name
	}
	return r
}

// isTakenUp reports whether the caller takes up a stream that it names and whose origin is known. It precedes new
// requests: refusing it loses what was generated, and only endpoints of its version can do the work.
func (x *execution) isTakenUp() bool { return x.call.Resumes != "" && x.origin.Load() != nil }

// level returns the request's level of priority.
func (x *execution) level() int {
	if x.isTakenUp() {
		return 0
	}
	return scarcity.LevelOf(x.priority())
}

// decideByPriority decides on a request of a service with priorities.
func (x *execution) decideByPriority(plan *place.Plan) scarcity.Decision {
	work := plan.Work + plan.Fetch
	r := x.heldRequest(work, max(plan.FirstEvent-plan.Wait-work, 0), x.firstEventTimeout())
	return x.settle(r, scarcity.Situation{Now: x.now(), Wait: plan.Wait, Endpoints: plan.Candidates})
}

// settle decides on a request, which begins or ends its wait.
func (x *execution) settle(r *scarcity.Request, s scarcity.Situation) scarcity.Decision {
	s.Left = x.remainingTime()
	s.Random = x.call.Fingerprint ^ uint64(s.Now)
	isQueued := x.wait.entry == nil || x.g.held.update(x.wait.entry, r)
	d := x.g.held.decide(x.service, r, s)
	if !isQueued {
		d = scarcity.Decision{Verdict: scarcity.Refuse, Reason: scarcity.QueueFull, RetryAfter: scarcity.RetryAfter(s.Wait, s.Left, s.Random)}
	}
	switch d.Verdict {
	case scarcity.Hold:
		x.beginWait(r, d.Reason)
	case scarcity.Refuse:
		x.endWait()
		x.wait.reason = d.Reason
		x.g.held.setDelay(s.Now, x.call.Fingerprint, d.RetryAfter)
		x.g.metrics.countScarcity(d)
	case scarcity.Serve:
		x.endWait()
	}
	return d
}

func (x *execution) beginWait(r *scarcity.Request, reason scarcity.Reason) {
	if x.wait.entry != nil {
		return
	}
	now := x.now()
	x.wait.began = now
	if x.wait.reason == scarcity.None {
		x.wait.reason = reason
		x.g.metrics.countScarcity(scarcity.Decision{Verdict: scarcity.Hold, Reason: reason})
	}
	x.waited = true
	x.wait.entry = x.g.held.add(now, x.service, r)
}

// endWait ends the request's wait, if it waits.
func (x *execution) endWait() {
	if x.wait.entry != nil {
		now := x.now()
		x.g.held.remove(now, x.service, x.wait.entry)
		x.wait.time += now.Sub(x.wait.began)
		x.wait.entry = nil
	}
}

// awaitTurn waits until the request should be decided again. It returns false if the caller has left.
func (x *execution) awaitTurn(d *scarcity.Decision) bool {
	e := x.wait.entry
	t := time.NewTimer(d.Recheck)
	defer t.Stop()
	for {
		select {
		case <-e.Wake:
			return true
		case <-x.ctx.Done():
			return false
		case <-t.C:
			if !x.g.held.isBehind(x.now(), x.service, e) {
				return true
			}
			t.Reset(d.Recheck)
		}
	}
}
