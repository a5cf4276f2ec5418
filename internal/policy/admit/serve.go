package admit

import (
	"container/heap"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// SetCapacity sets how many requests of this entry the pool can run at once. If the capacity falls
// below reassessCapacityRatio of its old value, it drops infeasible requests at once, so that their
// callers get the answer while they can still try elsewhere.
func (q *Queue) SetCapacity(now clock.Time, slots int) []Refusal {
	old := q.slots
	q.slots = max(slots, 0)
	for _, l := range q.levels {
		for i := range l.lanes {
			l.lanes[i].drain.scale(old, q.slots)
		}
	}
	if float64(q.slots) >= reassessCapacityRatio*float64(old) {
		return nil
	}
	return q.reassess(now)
}

// reassess forecasts the start of all queued requests again and drops those that can't meet their
// deadline. A request waits for those that are served before it and are kept, so that the last ones are
// the first to be infeasible.
func (q *Queue) reassess(now clock.Time) []Refusal {
	if q.cfg.Disabled.NoShedding {
		return nil
	}
	var dropped []Refusal
	var higher time.Duration // cost of the kept requests of higher levels
	for _, l := range q.levels {
		var ahead [laneCount]backlog
		for _, r := range serviceOrder(l.root) {
			b := &ahead[r.class.laneIndex()]
			wait := q.drainTime(r, float64(higher+b.before(r)))
			slack := r.latestStart().Sub(now)
			if float64(wait) > reassessTolerance*float64(slack) {
				dropped = append(dropped, q.drop(r, q.infeasibleError(r, now, wait, slack)))
				continue
			}
			b.add(r)
		}
		higher += l.root.cost
	}
	return dropped
}

// backlog is the cost of the requests that are served before another one.
type backlog struct{ short, long time.Duration }

func (b *backlog) add(r *Request) {
	if r.long {
		b.long += r.cost
		return
	}
	b.short += r.cost
}

// before returns the cost that r waits for. Long requests have only a part of the slots, so that short
// ones don't wait for them.
func (b *backlog) before(r *Request) time.Duration {
	if r.long {
		return b.short + b.long
	}
	return b.short
}

// reassessPeriodically updates the estimates of the queued requests and drops those that can't meet their
// deadline, so that their callers needn't wait for the deadline when requests turn out to take longer
// than they did on their admission.
func (q *Queue) reassessPeriodically(now clock.Time) []Refusal {
	if now.Sub(q.reassessedAt) < reassessInterval || len(q.expiry) == 0 {
		return nil
	}
	q.reassessedAt = now
	q.updateQueued()
	return q.reassess(now)
}

// updateQueued estimates the queued requests again. The measured drain rates are converted to the new
// costs, as the engines start as many requests a second as before.
func (q *Queue) updateQueued() {
	before := map[*lane]time.Duration{}
	for _, r := range q.expiry {
		l := q.lane(r)
		if _, seen := before[l]; !seen {
			before[l] = l.cost
		}
		old := r.cost
		q.estimate(r)
		l.cost += r.cost - old
		r.leaf.changeCost(r.cost - old)
	}
	for l, old := range before {
		l.drain.convert(float64(l.cost) / float64(old))
	}
	heap.Init(&q.expiry)
}

// FreeSlots are the numbers of requests that the endpoints accept now, by the engine's priority.
type FreeSlots struct{ Normal, Urgent int }

// Next returns the request to dispatch now, or nil if there is none or no slot is free. It also
// returns the queued requests that it dropped because they have become infeasible: work on them would
// be wasted.
func (q *Queue) Next(now clock.Time, free FreeSlots) (*Request, []Refusal) {
	dropped := q.Expire(now)
	for _, l := range q.levels {
		for i := range l.lanes {
			l.lanes[i].drain.update(now, l.lanes[i].cost > 0, q.running > 0)
		}
	}
	dropped = append(dropped, q.reassessPeriodically(now)...)
	skip := blocked{
		normal: free.Normal <= 0,
		urgent: free.Urgent <= 0,
		long:   float64(q.longRunning+1) > max(q.cfg.LongShare*float64(q.slots), 1),
	}
	for _, l := range q.levels {
		leaf := l.root.nextLeaf(skip)
		if leaf == nil {
			continue
		}
		r := leaf.queue[0]
		q.start(now, r)
		return r, dropped
	}
	return nil, dropped
}

func (q *Queue) start(now clock.Time, r *Request) {
	q.dequeue(r, true)
	r.state = running
	r.startedAt = now
	q.running++
	q.runningCost += r.cost
	if r.long {
		q.longRunning++
	}
	r.class.stats.Waited += now.Sub(r.arrivedAt)
	r.class.stats.Started++
}

// Expire drops the queued requests that can no longer meet their deadlines.
func (q *Queue) Expire(now clock.Time) []Refusal {
	if q.cfg.Disabled.NoShedding {
		return nil
	}
	var dropped []Refusal
	for len(q.expiry) > 0 && q.expiry[0].latestStart() < now {
		r := q.expiry[0]
		e := code.New(code.DeadlineInfeasible, "queued %s; first token needs %s, the whole %s, deadline in %s",
			now.Sub(r.arrivedAt), r.firstTokenTime, r.runTime, r.Deadline.Sub(now))
		wait := q.forecastWait(r, r.leaf.cost)
		dropped = append(dropped, q.drop(r, e.WithRetryAfter(q.retryAfter(now, r, wait))))
	}
	return dropped
}

// NextExpiry returns when Expire will next drop a request, and whether any request is queued.
func (q *Queue) NextExpiry() (clock.Time, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].latestStart() + 1, true
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.expiry) }

// Cancel removes a request whose caller has disconnected.
func (q *Queue) Cancel(r *Request) {
	switch r.state {
	case queued:
		q.dequeue(r, false)
		q.releaseKey(r)
	case running:
		q.finish(r)
	case idle:
	}
}

// Requeue puts a request that Next returned back at the front of its flow, because no endpoint
// accepted it or because its attempt may be retried.
func (q *Queue) Requeue(r *Request) {
	if r.state != running {
		return
	}
	q.finish(r)
	if r.Key != "" {
		q.requestsByKey[r.Key]++
	}
	r.state = queued
	r.leaf.pushFront(r)
	q.enqueue(r)
}

func (q *Queue) finish(r *Request) {
	r.state = idle
	q.running--
	q.runningCost -= r.cost
	if r.long {
		q.longRunning--
	}
	q.releaseKey(r)
}

// SetRates replaces the measured rates of the engines.
func (q *Queue) SetRates(r Rates) { q.rates = r }

// Measurement is what was measured of a request.
type Measurement struct {
	OK           bool          // the answer was complete; only then are the estimates updated
	FirstToken   time.Duration // from dispatch
	Step         time.Duration // mean time between tokens
	OutputTokens int
}

// Done ends a request that Next returned, and updates the estimates from its measurement.
func (q *Queue) Done(now clock.Time, r *Request, m Measurement) {
	if r.state != running {
		return
	}
	q.finish(r)
	if !m.OK {
		return
	}
	q.lane(r).drain.addWork(r.cost)
	q.updateEstimates(r, m)
	if now <= r.Deadline {
		r.class.stats.OnTime++
	}
}

func (q *Queue) updateEstimates(r *Request, m Measurement) {
	if m.FirstToken > 0 {
		updateMean(&r.class.meanDispatchDelay, m.FirstToken-r.prefillTime)
	}
	if m.Step > 0 {
		updateMean(&q.rates.DecodePerToken, m.Step)
	}
	if m.OutputTokens > 0 && !r.cutAtLimit(m.OutputTokens) {
		r.class.meanOutputTokens += rateEWMAWeight * (float64(m.OutputTokens) - r.class.meanOutputTokens)
	}
}

// cutAtLimit reports whether an answer of the given tokens ended at the request's limit before the class's
// mean. It doesn't show how long the answer would have been.
func (r *Request) cutAtLimit(tokens int) bool {
	return r.MaxOutputTokens > 0 && tokens >= r.MaxOutputTokens && float64(tokens) < r.class.meanOutputTokens
}

func updateMean(mean *time.Duration, x time.Duration) {
	*mean += time.Duration(rateEWMAWeight * float64(x-*mean))
}

// ClassStats are the counters of one class since the start.
type ClassStats struct {
	Offered, Admitted, Refused, Started, OnTime int64
	Waited                                      time.Duration // time in the queue, summed over started requests
}

// Stats is the state of a Queue that is exported through expvar.
type Stats struct {
	Queued, Running, LongRunning, Slots int
	Backlog                             time.Duration // time to drain the queue
	Rates                               Rates
	Classes                             map[string]ClassStats
	Refused                             map[string]int64 // by result code
}

// Snapshot returns the current Stats.
func (q *Queue) Snapshot() Stats {
	s := Stats{
		Queued: len(q.expiry), Running: q.running, LongRunning: q.longRunning, Slots: q.slots,
		Rates:   q.rates,
		Classes: map[string]ClassStats{}, Refused: map[string]int64{},
	}
	for _, l := range q.levels {
		for i := range l.lanes {
			drain := l.lanes[i].drain.rate(q.slots, q.rates.Batch)
			s.Backlog += time.Duration(float64(l.lanes[i].cost) / drain)
		}
	}
	for name, c := range q.classes {
		s.Classes[name] = c.stats
	}
	for c, n := range q.refusedByCode {
		s.Refused[c.String()] = n
	}
	return s
}
