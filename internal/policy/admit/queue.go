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

// level is the fair-queueing tree of one priority, with its lanes.
type level struct {
	priority int
	root     *flow
	lanes    [laneCount]lane
}

// lane is the part of a level that engines serve with one priority. Urgent requests don't wait for
// the others, so that each lane has its own backlog.
type lane struct {
	cost  time.Duration // of the queued requests
	drain drainMeter
}

const laneCount = 2

// lane returns the lane in which r is queued.
func (q *Queue) lane(r *Request) *lane {
	return &q.levels[r.class.level].lanes[r.class.laneIndex()]
}

func (c *class) laneIndex() int {
	if c.Urgent {
		return 1
	}
	return 0
}

type class struct {
	Class
	flow              *flow
	level             int
	meanOutputTokens  float64       // measured
	meanDispatchDelay time.Duration // measured, from dispatch to the first token without the prefill
	stats             ClassStats
}

// Queue admits, orders and drops the requests of one pool. It is not safe for concurrent use; the
// caller serializes access.
type Queue struct {
	cfg           Config
	classes       map[string]*class
	levels        []*level
	expiry        expiry
	requestsByKey map[string]int
	spread        *limit.Spreader
	rates         Rates

	slots         int
	running       int
	longRunning   int
	runningCost   time.Duration
	meanCost      float64
	meanLogCost   float64 // mean of the logarithm of the cost: a few long requests hardly change it
	refusedByCode map[code.Code]int64
	reassessedAt  clock.Time
}

// NewQueue returns an empty queue with one slot; SetCapacity sets their number.
func NewQueue(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:           cfg,
		classes:       map[string]*class{},
		requestsByKey: map[string]int{},
		spread:        limit.NewSpreader(cfg.Disabled.NoSpread),
		rates:         cfg.Rates,
		slots:         1,
		refusedByCode: map[code.Code]int64{},
	}
	for _, c := range cfg.Classes {
		q.classes[c.Name] = &class{Class: c, meanOutputTokens: float64(c.OutputTokens)}
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

// classOf returns the class with the given name, or the last configured one if there is none.
func (q *Queue) classOf(name string) *class {
	if c := q.classes[name]; c != nil {
		return c
	}
	return q.classes[q.cfg.Classes[len(q.cfg.Classes)-1].Name]
}

// Offer queues r, or refuses it at once. A refusal is final.
func (q *Queue) Offer(now clock.Time, r *Request) OfferResult {
	q.prepare(now, r)
	var res OfferResult
	res.Wait = q.forecastWait(r, r.leaf.cost)
	res.Err = q.checkAdmission(now, r, res.Wait)
	if res.Err == nil && len(q.expiry) >= q.cfg.MaxQueued {
		res.Dropped, res.Err = q.evictFor(now, r)
	}
	if res.Err != nil {
		q.recordRefusal(r, res.Err)
		r.leaf.prune()
		return res
	}
	r.state = queued
	r.leaf.push(r)
	q.enqueue(r)
	if r.Key != "" {
		q.requestsByKey[r.Key]++
	}
	r.class.stats.Admitted++
	return res
}

func (q *Queue) prepare(now clock.Time, r *Request) {
	r.class = q.classOf(r.Class)
	r.arrivedAt, r.index = now, -1
	q.estimate(r)
	if q.meanCost == 0 {
		q.meanCost = float64(r.cost)
		q.meanLogCost = math.Log(q.meanCost)
	}
	r.long = math.Log(float64(r.cost)) > q.meanLogCost+math.Log(q.cfg.LongFactor) && !q.cfg.Disabled.NoLongShare
	q.meanCost += rateEWMAWeight * (float64(r.cost) - q.meanCost)
	q.meanLogCost += costEWMAWeight * (math.Log(float64(r.cost)) - q.meanLogCost)
	workspace, caller := r.Workspace, r.Caller
	if q.cfg.Disabled.NoFairness {
		workspace, caller = "", ""
	}
	r.leaf = r.class.flow.child(flowKey{name: workspace}, 1).child(flowKey{caller, r.long}, 1)
	r.class.stats.Offered++
}

// estimate sets r's times from the measured rates. A decode step serves all sequences of the batch,
// so that each takes only its share of the engine's time.
func (q *Queue) estimate(r *Request) {
	output := r.class.meanOutputTokens
	if r.MaxOutputTokens > 0 {
		output = min(output, float64(r.MaxOutputTokens))
	}
	prefill := time.Duration(max(r.PromptTokens-r.CachedTokens, 0)) * q.rates.PrefillPerToken
	decode := time.Duration(output * float64(q.rates.DecodePerToken))
	r.prefillTime = q.rates.Base + prefill
	r.firstTokenTime = r.prefillTime + max(r.class.meanDispatchDelay, 0)
	r.runTime = r.firstTokenTime + decode
	r.cost = max(prefill+decode/time.Duration(max(q.rates.Batch, 1)), q.rates.Base, 1)
}

// forecastWait estimates the time until r starts if ahead is queued before it in its own flow. Under
// fair queueing a flow waits for its own backlog at its share of the slots, but never longer than for
// the whole backlog.
func (q *Queue) forecastWait(r *Request, ahead time.Duration) time.Duration {
	if q.running < q.slots && len(q.expiry) == 0 {
		return 0
	}
	var higherCost time.Duration
	for _, l := range q.levels[:r.class.level] {
		higherCost += l.root.cost
	}
	laneCost := q.lane(r).cost
	// Half the mean cost is added, since the head requests of the other flows are half a request
	// ahead on average.
	ownCost := float64(ahead) + q.meanCost/2
	levelCost := min(float64(laneCost), ownCost/r.leaf.share())
	return q.drainTime(r, float64(higherCost)+levelCost)
}

// drainTime returns the time in which r's lane starts work of the given cost.
func (q *Queue) drainTime(r *Request, cost float64) time.Duration {
	return time.Duration(cost / q.drainRate(r))
}

// drainRate returns the engine time that r's lane starts per second, in seconds.
func (q *Queue) drainRate(r *Request) float64 {
	return q.lane(r).drain.rate(q.slots, q.rates.Batch)
}

// drop removes a queued request, with e as its final answer.
func (q *Queue) drop(r *Request, e *code.Error) Refusal {
	q.dequeue(r, false)
	q.releaseKey(r)
	q.recordRefusal(r, e)
	return Refusal{r, e}
}

func (q *Queue) enqueue(r *Request) {
	heap.Push(&q.expiry, r)
	q.lane(r).cost += r.cost
}

func (q *Queue) dequeue(r *Request, served bool) {
	r.leaf.remove(r, served)
	heap.Remove(&q.expiry, r.index)
	q.lane(r).cost -= r.cost
	r.state = idle
}

func (q *Queue) releaseKey(r *Request) {
	if r.Key == "" {
		return
	}
	if q.requestsByKey[r.Key]--; q.requestsByKey[r.Key] <= 0 {
		delete(q.requestsByKey, r.Key)
	}
}

func (q *Queue) recordRefusal(r *Request, e *code.Error) {
	q.refusedByCode[e.Code]++
	r.class.stats.Refused++
}
