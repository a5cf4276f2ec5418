package dispatch

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// Estimates that the admission queue uses until it has measurements.
const (
	assumedBaseTime     = 20 * time.Millisecond
	assumedOutputTokens = 200
)

// poolQueue is the admission queue of one pool. It connects the decisions of an admit.Queue with
// the goroutines of the waiting requests.
type poolQueue struct {
	router   *route.Router
	clk      clock.Clock
	pool     string
	artifact route.Artifact // model and version that the pool serves
	classes  []sheet.Class

	mu               sync.Mutex
	queue            *admit.Queue
	unfinished       map[string]int // queued and running requests, by class
	awaitingDispatch int            // admitted requests not yet counted as in flight at an endpoint
	queuedRequests   int
	queuedTokens     int // prompt tokens of the queued requests

	noProbe bool // never admit probes, for comparison
}

// admission is one request in a poolQueue. Its answer is nil if the request is admitted.
type admission struct {
	req              admit.Request
	answer           chan *code.Error
	awaitingDispatch bool
}

func newPoolQueue(r *route.Router, clk clock.Clock, pool string, artifact route.Artifact, s *sheet.Sheet) *poolQueue {
	cfg := admit.Config{Rates: admit.Rates{
		Base: assumedBaseTime, PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 20 * time.Millisecond,
	}}
	maxPriority := 0
	for _, c := range s.Classes {
		maxPriority = max(maxPriority, c.Priority)
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, admit.Class{
			Name: c.Name, Priority: maxPriority - c.Priority, Weight: 1, OutputTokens: assumedOutputTokens,
			Urgent: isUrgent(s.Classes, &c),
		})
	}
	return &poolQueue{
		router: r, clk: clk, pool: pool, artifact: artifact, classes: s.Classes,
		queue: admit.NewQueue(cfg), unfinished: map[string]int{},
	}
}

// isUrgent reports whether requests of the class have priority over those of another class at the
// engines. That holds for every class except those of the lowest priority. Slots are reserved for
// urgent requests; if every class were urgent, long documents would occupy them.
func isUrgent(classes []sheet.Class, c *sheet.Class) bool {
	for i := range classes {
		if classes[i].Priority < c.Priority {
			return true
		}
	}
	return false
}

func (q *poolQueue) matches(artifact route.Artifact, s *sheet.Sheet) bool {
	return q.artifact == artifact && reflect.DeepEqual(q.classes, s.Classes)
}

func (q *poolQueue) length() int {
	n, _ := q.size()
	return n
}

func (q *poolQueue) size() (requests, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queuedRequests, q.queuedTokens
}

// addQueued adds n times a to the counts of waiting requests; n is 1 or -1. The caller holds q.mu.
func (q *poolQueue) addQueued(a *admission, n int) {
	q.queuedRequests += n
	q.queuedTokens += n * a.req.PromptTokens
}

// acquire waits until a may be dispatched, or returns the final refusal.
func (q *poolQueue) acquire(ctx context.Context, a *admission) *code.Error {
	a.answer = make(chan *code.Error, 1)
	a.req.Value = a
	if err := q.offer(a); err != nil {
		return err
	}
	q.admitQueued()
	select {
	case err := <-a.answer:
		return err
	case <-ctx.Done():
	}
	return q.cancel(ctx, a)
}

// offer puts a into the queue or returns its refusal.
func (q *poolQueue) offer(a *admission) *code.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.updateCapacity() == noCapacity {
		// Don't queue the request: the engines may be unavailable for a long time.
		return code.New(code.NoEndpoint, "no endpoint of %s takes work now", q.pool).WithRetryAfter(noEndpointRetryAfter)
	}
	result := q.queue.Offer(q.clk.Now(), &a.req)
	q.rejectDropped(result.Dropped)
	if result.Err != nil && q.allowProbe(a, result.Err) {
		result = q.queue.Offer(q.clk.Now(), &a.req)
		q.rejectDropped(result.Dropped)
	}
	if result.Err != nil {
		return result.Err
	}
	q.addQueued(a, 1)
	q.unfinished[a.req.Class]++
	return nil
}

// allowProbe reports whether a request that the forecast has refused is admitted as a probe,
// because no other request of its class is queued or running. It then relaxes the deadlines that
// the forecast checks.
//
// After the engines have been slow for a while, the forecast for a class is too pessimistic. It
// then refuses the whole class, gets no measurements that could correct it, and would refuse the
// class forever on idle engines. So one request at a time is admitted as a probe, whose
// measurements correct the forecast. Its context still enforces its own deadline.
func (q *poolQueue) allowProbe(a *admission, refusal *code.Error) bool {
	if q.noProbe || refusal.Code != code.DeadlineInfeasible || q.unfinished[a.req.Class] > 0 {
		return false
	}
	a.req.FirstTokenDeadline = 0
	a.req.Deadline = q.clk.Now().Add(defaultDeadline)
	return true
}

// cancel removes a request whose caller disconnected or whose deadline passed. The request may have
// been admitted or refused at the same moment.
func (q *poolQueue) cancel(ctx context.Context, a *admission) *code.Error {
	q.mu.Lock()
	select {
	case err := <-a.answer:
		if err == nil {
			q.endAwaitingDispatch(a)
			q.unfinished[a.req.Class]--
			q.queue.Cancel(&a.req)
		}
	default:
		q.addQueued(a, -1)
		q.unfinished[a.req.Class]--
		q.queue.Cancel(&a.req)
	}
	q.mu.Unlock()
	q.admitQueued()
	return contextEndError(ctx)
}

// deadlinePassedRetryAfter is the Retry-After delay of a request that was sent nowhere within its
// deadline. The caller may send it again with a new one.
const deadlinePassedRetryAfter = time.Second

// contextEndError returns the error for a request whose context ended before any of its work was
// sent.
func contextEndError(ctx context.Context) *code.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return code.New(code.DeadlinePassed, "the deadline passed before any work was sent").WithRetryAfter(deadlinePassedRetryAfter)
	}
	return cancelError(ctx, "the caller went away before any work was sent")
}

// markDispatched records that a is now counted as in flight at an endpoint.
func (q *poolQueue) markDispatched(a *admission) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endAwaitingDispatch(a)
}

func (q *poolQueue) endAwaitingDispatch(a *admission) {
	if a.awaitingDispatch {
		a.awaitingDispatch = false
		q.awaitingDispatch--
	}
}

// release ends a request that acquire admitted.
func (q *poolQueue) release(a *admission, m admit.Measurement) {
	q.mu.Lock()
	q.endAwaitingDispatch(a)
	q.unfinished[a.req.Class]--
	q.queue.Done(q.clk.Now(), &a.req, m)
	q.mu.Unlock()
	q.admitQueued()
}

// admitQueued admits waiting requests while there are free slots. A request occupies a slot from
// its admission rather than from its dispatch; otherwise a burst would be admitted between the two.
func (q *poolQueue) admitQueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.updateCapacity()
	for {
		free := admit.FreeSlots{Normal: c.Normal - q.awaitingDispatch, Urgent: c.Urgent - q.awaitingDispatch}
		r, dropped := q.queue.Next(q.clk.Now(), free)
		q.rejectDropped(dropped)
		if r == nil {
			return
		}
		a := r.Value.(*admission)
		a.awaitingDispatch = true
		q.awaitingDispatch++
		q.addQueued(a, -1)
		a.answer <- nil
	}
}

// noCapacity is the capacity of a pool in which no endpoint accepts work.
var noCapacity = route.Capacity{}

// noEndpointRetryAfter is the Retry-After delay when no endpoint accepts work: a role change or a
// restart may be over by then.
const noEndpointRetryAfter = time.Second

// updateCapacity passes the pool's current slots to the queue and returns the capacity.
func (q *poolQueue) updateCapacity() route.Capacity {
	now := q.clk.Now()
	c := q.router.Capacity(now, q.pool, q.artifact, "")
	q.rejectDropped(q.queue.SetCapacity(now, c.Slots))
	return c
}

// rejectDropped answers the requests that the queue has dropped.
func (q *poolQueue) rejectDropped(dropped []admit.Refusal) {
	for _, refusal := range dropped {
		a := refusal.Request.Value.(*admission)
		q.addQueued(a, -1)
		q.unfinished[a.req.Class]--
		a.answer <- refusal.Err
	}
}
