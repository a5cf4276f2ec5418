package gateway

import (
	"slices"
	"sync"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/ontime"
)

// applyNotice applies the notice in e's answer to the request id, which was sent at sentAt.
func (g *Gateway) applyNotice(e *catalog.Endpoint, sentAt clock.Time, id string, n backpressure.Notice) {
	if n.Leaving {
		g.o.OnEndpointLeaving(e)
	}
	g.o.Pressure.ObserveAnswer(g.o.Clock.Now(), sentAt, e, id, n)
}

// queue tracks the requests that wait for capacity of a service's endpoints, in order of arrival.
type queue struct {
	mu      sync.Mutex
	next    uint64
	waiting map[uint64]struct{}
}

// enter adds a request and returns its number.
func (q *queue) enter() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next++
	q.waiting[q.next] = struct{}{}
	return q.next
}

func (q *queue) leave(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
}

// countAhead returns how many requests wait before the one with the given number.
func (q *queue) countAhead(number uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for other := range q.waiting {
		if other < number {
			n++
		}
	}
	return n
}

// queueFor returns the queue of a service, which it creates at the first use.
func (g *Gateway) queueFor(service string) *queue {
	q, _ := g.queues.LoadOrStore(service, &queue{waiting: map[uint64]struct{}{}})
	return q.(*queue)
}

// queueSlot is a request's position in a queue.
type queueSlot struct {
	queue    *queue // nil before the first wait
	number   uint64
	deadline clock.Time // of the wait; capacity that is free later is of no use
}

// leave removes the request from the queue if it is in one.
func (p *queueSlot) leave() {
	if p.queue != nil {
		p.queue.leave(p.number)
		p.queue = nil
	}
}

// awaitCapacity waits for one poll interval if the limits of the endpoints that can run the request allow
// none now. It returns false, with the call's result, if none of them has announced a limit or a retry
// time, or if the estimated wait exceeds the deadline of the wait.
func (x *execution) awaitCapacity() (result, bool) { return x.awaitCapacityOf(x.untriedEndpoints()) }

// awaitCapacityOf does the same for given endpoints.
func (x *execution) awaitCapacityOf(endpoints []*catalog.Endpoint) (result, bool) {
	if x.queueSlot.queue == nil {
		q := x.g.queueFor(x.service)
		x.queueSlot = queueSlot{queue: q, number: q.enter(), deadline: x.waitDeadline()}
	}
	if r, refuse := x.refuseInDrain(""); refuse {
		return r, false
	}
	if r, refuse := x.refuseQuarantined(); refuse {
		return r, false
	}
	ahead := 0
	if !x.hasProgress() {
		ahead = x.queueSlot.queue.countAhead(x.queueSlot.number)
	}
	wait, limited := x.g.o.Pressure.EstimateWait(x.now(), endpoints, ahead)
	switch {
	case !limited:
		return x.noEndpoint(), false
	case x.now().Add(wait) > x.queueSlot.deadline:
		retryAfter := ontime.RetryAfter(min(wait, maxRetryAfter), x.call.Fingerprint^uint64(x.now()))
		return result{outcome: refused, code: code.EndpointsLimited, err: errEndpointsLimited, retryAfter: retryAfter}, false
	}
	x.waited = true
	if !clock.Sleep(x.ctx, holdPollInterval) {
		return result{outcome: gone}, false
	}
	return result{}, true
}

// maxRetryAfter bounds the Retry-After delay: another VM may have capacity earlier, or a new
// endpoint may start.
const maxRetryAfter = 5 * time.Second

// untriedEndpoints returns the endpoints that can run the request and haven't been tried.
func (x *execution) untriedEndpoints() []*catalog.Endpoint {
	return slices.DeleteFunc(slices.Clone(x.openEndpoints()), func(e *catalog.Endpoint) bool {
		return x.tried[e.ID] || e.Stage == catalog.Prefill
	})
}

// hasProgress reports whether an engine has done work for the request, which would be wasted if the
// request were refused.
func (x *execution) hasProgress() bool { return x.headerSent || x.prefillDone }

// deliveryMargin is subtracted from the callers' timeout, for the time in which an event is
// generated and delivered.
const deliveryMargin = 300 * time.Millisecond

// waitDeadline is the time until which a request may wait for capacity: as long as its answer can
// be on time, or, if an endpoint has done work for it, as long as its caller waits for the next
// event.
func (x *execution) waitDeadline() clock.Time {
	switch {
	case x.headerSent:
		return x.now().Add(minCallerTimeout - deliveryMargin)
	case x.prefillDone:
		return x.call.Arrived.Add(x.firstEventTimeout() - deliveryMargin)
	case x.route.LatencyTarget > 0:
		return x.call.Arrived.Add(x.route.LatencyTarget)
	}
	return x.deadline
}
