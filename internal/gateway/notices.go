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

// heed takes what e said with its answer to the request id, which was sent at sentAt.
func (g *Gateway) heed(e *catalog.Endpoint, sentAt clock.Time, id string, n backpressure.Notice) {
	if n.Leaving {
		g.o.Leaves(e)
	}
	g.o.Pressure.ObserveAnswer(g.o.Clock.Now(), sentAt, e, id, n)
}

// queue lists the requests that wait for the endpoints of a service to take one, by the order
// of their arrival there.
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

// ahead is how many wait before the request with the given number.
func (q *queue) ahead(number uint64) int {
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

// queueOf returns the queue of a service.
func (g *Gateway) queueOf(service string) *queue {
	q, _ := g.queues.LoadOrStore(service, &queue{waiting: map[uint64]struct{}{}})
	return q.(*queue)
}

// queued is a request's place in a queue.
type queued struct {
	queue  *queue // nil before the first wait
	number uint64
	until  clock.Time // after which waiting is of no use
}

// leave ends the wait.
func (p *queued) leave() {
	if p.queue != nil {
		p.queue.leave(p.number)
		p.queue = nil
	}
}

// awaitRoom waits a moment for endpoints whose limits leave no room now. It returns false,
// with the result to end with, if none of them names a limit or if waiting is of no use.
func (x *execution) awaitRoom() (result, bool) {
	if x.queued.queue == nil {
		q := x.g.queueOf(x.service)
		x.queued = queued{queue: q, number: q.enter(), until: x.roomUntil()}
	}
	ahead := 0
	if !x.begun() {
		ahead = x.queued.queue.ahead(x.queued.number)
	}
	wait, limited := x.g.o.Pressure.EstimateWait(x.now(), x.untried(), ahead)
	switch {
	case !limited:
		return result{outcome: notSent, code: code.NoEndpoint}, false
	case x.now().Add(wait) > x.queued.until:
		again := ontime.RetryAfter(min(wait, longestAgain), x.c.Fingerprint^uint64(x.now()))
		return result{outcome: refused, code: code.EndpointsLimited, err: errLimited, again: again}, false
	}
	x.held = true
	if !clock.Sleep(x.ctx, holdStep) {
		return result{outcome: gone}, false
	}
	return result{}, true
}

// longestAgain bounds the time to come back: another VM may have room sooner, and another endpoint
// may come.
const longestAgain = 5 * time.Second

// untried are the endpoints that could run the request and haven't been tried.
func (x *execution) untried() []*catalog.Endpoint {
	return slices.DeleteFunc(slices.Clone(x.open()), func(e *catalog.Endpoint) bool {
		return x.tried[e.ID] || e.Stage == catalog.Prefill
	})
}

// begun tells whether an endpoint has worked for the request, in vain if it doesn't go on.
func (x *execution) begun() bool { return x.started || x.prefilled }

// roomMargin is left of what callers wait, for an event to be made and to reach them.
const roomMargin = 300 * time.Millisecond

// roomUntil is until when a request may wait for room: as long as its answer can be on time,
// or, if an endpoint has worked for it, as long as its caller waits for the next event.
func (x *execution) roomUntil() clock.Time {
	switch {
	case x.started:
		return x.now().Add(leastPatience - roomMargin)
	case x.prefilled:
		return x.c.Arrived.Add(x.firstPatience() - roomMargin)
	case x.route.Target > 0:
		return x.c.Arrived.Add(x.route.Target)
	}
	return x.deadline
}
