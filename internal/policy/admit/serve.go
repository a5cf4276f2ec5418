package admit

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// SetCapacity tells how many requests of this entry the pool runs at once. When
// the capacity has shrunk, it drops what is now too late at once, so that its
// callers hear while they can still ask elsewhere.
func (q *Queue) SetCapacity(now clock.Time, slots int) []Refusal {
	old := q.slots
	q.slots = max(slots, 0)
	for _, l := range q.levels {
		for i := range l.lanes {
			l.lanes[i].drain.scale(old, q.slots)
		}
	}
	if float64(q.slots) >= shrink*float64(old) {
		return nil
	}
	return q.Reassess(now)
}

// Reassess forecasts the start of all queued requests anew and drops those
// that can't be on time. Later ones of a flow are dropped before earlier ones
// of it, as they wait for them.
func (q *Queue) Reassess(now clock.Time) []Refusal {
	if q.cfg.Disabled.NoShedding {
		return nil
	}
	var late []Refusal
	for _, l := range q.levels {
		for _, leaf := range l.root.leaves(nil) {
			late = append(late, q.reassessLeaf(now, leaf)...)
		}
	}
	return late
}

func (q *Queue) reassessLeaf(now clock.Time, leaf *flow) []Refusal {
	var late []Refusal
	var ahead time.Duration
	for _, r := range append([]*Request(nil), leaf.queue...) {
		wait := q.forecast(r, ahead)
		slack := r.latestStart().Sub(now)
		if wait > slack {
			late = append(late, q.drop(r, q.tooLate(r, now, wait, slack)))
			continue
		}
		ahead += r.cost
	}
	return late
}

func (f *flow) leaves(dst []*flow) []*flow {
	if len(f.queue) > 0 {
		return append(dst, f)
	}
	for _, n := range f.active {
		dst = n.leaves(dst)
	}
	return dst
}

// FreeSlots is how many requests the endpoints take now.
type FreeSlots struct{ Normal, Urgent int }

// Next returns the request to be dispatched now, nil if there is none or no
// slot is free. Dropped are the requests that have become infeasible while
// they were queued: the work for them would be wasted.
func (q *Queue) Next(now clock.Time, room FreeSlots) (*Request, []Refusal) {
	dropped := q.Expire(now)
	for _, l := range q.levels {
		for i := range l.lanes {
			l.lanes[i].drain.look(now, l.lanes[i].cost > 0, q.running > 0)
		}
	}
	bar := closed{
		normal: room.Normal <= 0,
		urgent: room.Urgent <= 0,
		long:   float64(q.longRunning+1) > max(q.cfg.LongShare*float64(q.slots), 1),
	}
	for _, l := range q.levels {
		leaf := l.root.first(bar)
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
	q.unqueue(r, true)
	q.lane(r).drain.started(r.cost)
	r.state = running
	r.started = now
	q.running++
	q.runningCost += r.cost
	if r.long {
		q.longRunning++
	}
	r.class.stats.Waited += now.Sub(r.arrived)
	r.class.stats.Started++
}

// Expire drops the queued requests that can no longer end in time.
func (q *Queue) Expire(now clock.Time) []Refusal {
	if q.cfg.Disabled.NoShedding {
		return nil
	}
	var dropped []Refusal
	for len(q.expiry) > 0 && q.expiry[0].latestStart() < now {
		r := q.expiry[0]
		e := code.New(code.DeadlineInfeasible, "queued %s; first token needs %s, the whole %s, deadline in %s",
			now.Sub(r.arrived), r.first, r.run, r.Deadline.Sub(now))
		wait := q.forecast(r, r.leaf.cost)
		dropped = append(dropped, q.drop(r, e.WithRetryAfter(q.comeBack(now, r, wait))))
	}
	return dropped
}

// NextExpiry returns when Expire will next find something, and whether
// anything is queued.
func (q *Queue) NextExpiry() (clock.Time, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].latestStart() + 1, true
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.expiry) }

// Cancel takes a request out whose caller has gone.
func (q *Queue) Cancel(r *Request) {
	switch r.state {
	case queued:
		q.unqueue(r, false)
		q.release(r)
	case running:
		q.finish(r)
	case idle:
	}
}

// Requeue puts a request that Next returned back in front of its flow, because
// no endpoint took it or its attempt may be repeated.
func (q *Queue) Requeue(r *Request) {
	if r.state != running {
		return
	}
	q.finish(r)
	if r.Key != "" {
		q.keys[r.Key]++
	}
	q.lane(r).drain.started(-r.cost)
	r.state = queued
	r.leaf.unshift(r)
	q.enter(r)
}

func (q *Queue) finish(r *Request) {
	r.state = idle
	q.running--
	q.runningCost -= r.cost
	if r.long {
		q.longRunning--
	}
	q.release(r)
}

// SetRates takes newly measured rates of the engines.
func (q *Queue) SetRates(r Rates) { q.rates = r }

// Measurement is what a request showed about the rates.
type Measurement struct {
	OK           bool          // the answer was whole; only then do the rates learn
	FirstToken   time.Duration // from dispatch
	Step         time.Duration // mean time between tokens
	OutputTokens int           // tokens
}

// Done ends a request that Next returned and learns from it.
func (q *Queue) Done(now clock.Time, r *Request, m Measurement) {
	if r.state != running {
		return
	}
	q.finish(r)
	if !m.OK {
		return
	}
	q.learn(r, m)
	if now <= r.Deadline {
		r.class.stats.OnTime++
	}
}

func (q *Queue) learn(r *Request, m Measurement) {
	if m.FirstToken > 0 {
		learn(&r.class.delay, m.FirstToken-r.prefill)
	}
	if m.Step > 0 {
		learn(&q.rates.DecodePerToken, m.Step)
	}
	if m.OutputTokens > 0 {
		r.class.output += rateWeight * (float64(m.OutputTokens) - r.class.output)
	}
}

func learn(mean *time.Duration, x time.Duration) {
	*mean += time.Duration(rateWeight * float64(x-*mean))
}

// ClassStats are one class's figures since the start.
type ClassStats struct {
	Offered, Admitted, Refused, Started, OnTime int64
	Waited                                      time.Duration // sum over started
}

// Stats are the queue's figures for expvar.
type Stats struct {
	Queued, Running, LongRunning, Slots int
	Backlog                             time.Duration // time to drain the queue
	Rates                               Rates
	Classes                             map[string]ClassStats
	Refused                             map[string]int64 // by result code
}

// Snapshot returns the queue's figures.
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
	for c, n := range q.codes {
		s.Refused[c.String()] = n
	}
	return s
}
