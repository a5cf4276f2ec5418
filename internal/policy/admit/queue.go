package admit

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/limit"
)

// level is the fair-queueing tree of one priority, with the speed at which it
// drains.
type level struct {
	priority int
	root     *flow
	lanes    [lanes]lane
}

// lane is the part of a level that engines serve with one priority. Urgent
// requests don't wait for the others, so each lane has its own backlog.
type lane struct {
	cost  time.Duration // queued
	drain drain
}

const lanes = 2

// lane returns the part of the queue that r waits in.
func (q *Queue) lane(r *Request) *lane {
	l := q.levels[r.class.level]
	if r.class.Urgent {
		return &l.lanes[1]
	}
	return &l.lanes[0]
}

type class struct {
	Class
	flow   *flow
	level  int
	output float64       // measured mean tokens
	delay  time.Duration // measured mean from dispatch to the first token, less the prefill
	stats  ClassStats
}

// Queue admits, orders and drops the requests of one pool. It belongs to one
// goroutine, or stands behind one mutex.
type Queue struct {
	cfg     Config
	classes map[string]*class
	levels  []*level
	expiry  expiry
	keys    map[string]int
	spread  *limit.Spreader
	rates   Rates

	slots       int
	running     int
	longRunning int
	runningCost time.Duration
	meanCost    float64
	logCost     float64 // mean logarithm: a few long requests hardly move it
	codes       map[code.Code]int64
}

// NewQueue returns an empty queue with one slot; SetCapacity tells it more.
func NewQueue(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:     cfg,
		classes: map[string]*class{},
		keys:    map[string]int{},
		spread:  limit.NewSpreader(cfg.Disabled.NoSpread),
		rates:   cfg.Rates,
		slots:   1,
		codes:   map[code.Code]int64{},
	}
	for _, c := range cfg.Classes {
		q.classes[c.Name] = &class{Class: c, output: float64(c.OutputTokens)}
		if !slices.ContainsFunc(q.levels, func(l *level) bool { return l.priority == c.Priority }) {
			q.levels = append(q.levels, &level{priority: c.Priority, root: newFlow(nil, flowKey{}, 1)})
		}
	}
	slices.SortFunc(q.levels, func(a, b *level) int { return cmp.Compare(a.priority, b.priority) })
	for _, c := range q.classes {
		c.level = slices.IndexFunc(q.levels, func(l *level) bool { return l.priority == c.Priority })
		key := flowKey{name: c.Name}
		if cfg.Disabled.NoPriority {
			key.name = ""
		}
		c.flow = q.levels[c.level].root.child(key, c.Weight)
		c.flow.urgent = c.Urgent
	}
	return q
}

// classOf returns the request's class, or the one served last.
func (q *Queue) classOf(name string) *class {
	if c := q.classes[name]; c != nil {
		return c
	}
	return q.classes[q.cfg.Classes[len(q.cfg.Classes)-1].Name]
}

// Offer takes r into the queue or refuses it at once and finally.
func (q *Queue) Offer(now clock.Time, r *Request) OfferResult {
	q.prepare(now, r)
	var v OfferResult
	v.Wait = q.forecast(r, r.leaf.cost)
	v.Err = q.check(now, r, v.Wait)
	if v.Err == nil && len(q.expiry) >= q.cfg.MaxQueued {
		v.Dropped, v.Err = q.makeRoom(now, r)
	}
	if v.Err != nil {
		q.note(r, v.Err)
		r.leaf.prune()
		return v
	}
	r.state = queued
	r.leaf.push(r)
	q.enter(r)
	if r.Key != "" {
		q.keys[r.Key]++
	}
	r.class.stats.Admitted++
	return v
}

func (q *Queue) prepare(now clock.Time, r *Request) {
	r.class = q.classOf(r.Class)
	r.arrived, r.index = now, -1
	q.estimate(r)
	if q.meanCost == 0 {
		q.meanCost = float64(r.cost)
		q.logCost = math.Log(q.meanCost)
	}
	r.long = math.Log(float64(r.cost)) > q.logCost+math.Log(q.cfg.LongFactor) && !q.cfg.Disabled.NoLongShare
	q.meanCost += rateWeight * (float64(r.cost) - q.meanCost)
	q.logCost += mixWeight * (math.Log(float64(r.cost)) - q.logCost)
	workspace, caller := r.Workspace, r.Caller
	if q.cfg.Disabled.NoFairness {
		workspace, caller = "", ""
	}
	r.leaf = r.class.flow.child(flowKey{name: workspace}, 1).child(flowKey{caller, r.long}, 1)
	r.class.stats.Offered++
}

// estimate fills in r's times at the measured rates. A step of the batch serves
// all its answers, so each takes only its part of the engine's time.
func (q *Queue) estimate(r *Request) {
	output := r.class.output
	if r.MaxOutputTokens > 0 {
		output = min(output, float64(r.MaxOutputTokens))
	}
	prefill := time.Duration(max(r.PromptTokens-r.CachedTokens, 0)) * q.rates.PrefillPerToken
	decode := time.Duration(output * float64(q.rates.DecodePerToken))
	r.prefill = q.rates.Base + prefill
	r.first = r.prefill + max(r.class.delay, 0)
	r.run = r.first + decode
	r.cost = max(prefill+decode/time.Duration(max(q.rates.Batch, 1)), q.rates.Base, 1)
}

// forecast is the time until r would start, with ahead queued before it in its
// own flow. Under fair queueing a flow waits for its own backlog at its share
// of the slots, and never longer than for the whole backlog.
func (q *Queue) forecast(r *Request, ahead time.Duration) time.Duration {
	if q.running < q.slots && len(q.expiry) == 0 {
		return 0
	}
	var before time.Duration
	for _, l := range q.levels[:r.class.level] {
		before += l.root.cost
	}
	all := q.lane(r).cost
	// Half a mean request: the other flows' heads are on average half ahead.
	own := float64(ahead) + q.meanCost/2
	same := min(float64(all), own/r.leaf.share())
	return q.drainTime(r, float64(before)+same)
}

// drainTime is the time in which r's level works off cost.
func (q *Queue) drainTime(r *Request, cost float64) time.Duration {
	return time.Duration(cost / q.drainRate(r))
}

// drainRate is the work a second that is started for r's level, in seconds.
func (q *Queue) drainRate(r *Request) float64 {
	return q.lane(r).drain.rate(q.slots, q.rates.Batch)
}

// drop takes a queued request out with its final answer.
func (q *Queue) drop(r *Request, e *code.Error) Refusal {
	q.unqueue(r, false)
	q.release(r)
	q.note(r, e)
	return Refusal{r, e}
}

func (q *Queue) enter(r *Request) {
	heap.Push(&q.expiry, r)
	q.lane(r).cost += r.cost
}

func (q *Queue) unqueue(r *Request, served bool) {
	r.leaf.remove(r, served)
	heap.Remove(&q.expiry, r.index)
	q.lane(r).cost -= r.cost
	r.state = idle
}

func (q *Queue) release(r *Request) {
	if r.Key == "" {
		return
	}
	if q.keys[r.Key]--; q.keys[r.Key] <= 0 {
		delete(q.keys, r.Key)
	}
}

func (q *Queue) note(r *Request, e *code.Error) {
	q.codes[e.Code]++
	r.class.stats.Refused++
}
