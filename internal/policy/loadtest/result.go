package loadtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// Result is what the callers of one run received.
type Result struct {
	Policy      string
	Seed        uint64
	Classes     []ClassResult
	RoleChanges int

	length time.Duration
}

// ClassResult counts the requests of one class by their end.
type ClassResult struct {
	Class   Class
	Offered int
	// OnTime answers came whole by their deadline and kept the objectives for
	// the first token and between tokens.
	OnTime int
	// Slow answers came whole by their deadline but missed an objective.
	Slow    int
	Late    int // not whole by the deadline: the caller hung up
	Refused []Refusals

	first, gap, total *hdrhistogram.Histogram // milliseconds
}

// Refusals counts one code.
type Refusals struct {
	Code  code.Code
	Count int
}

// Waits are percentiles of one class's waits.
type Waits struct{ P50, P95, P99 time.Duration }

// maxWaitMillis bounds the histograms: no request outlives its deadline of less
// than ten minutes.
const maxWaitMillis = 600_000

func newResult(cfg Config, policy string, seed uint64) Result {
	r := Result{Policy: policy, Seed: seed, length: cfg.Workload.Length}
	for _, c := range cfg.Workload.Classes() {
		r.Classes = append(r.Classes, ClassResult{
			Class: c,
			first: hdrhistogram.New(1, maxWaitMillis, 3),
			gap:   hdrhistogram.New(1, maxWaitMillis, 3),
			total: hdrhistogram.New(1, maxWaitMillis, 3),
		})
	}
	return r
}

// Goodput returns the complete, on-time answers a second.
func (r Result) Goodput() float64 {
	n := 0
	for _, c := range r.Classes {
		n += c.OnTime
	}
	return float64(n) / r.length.Seconds()
}

// WeightedGoodput returns the goodput weighed by the engine time that each class costs,
// in engines: short and long answers count by what they take.
func (r Result) WeightedGoodput(m EngineModel) float64 {
	w := 0.0
	for _, c := range r.Classes {
		w += float64(c.OnTime) * m.cost(c.Class)
	}
	return w / r.length.Seconds()
}

// Sum sums one number over the classes.
func (r Result) Sum(of func(ClassResult) int) int {
	n := 0
	for _, c := range r.Classes {
		n += of(c)
	}
	return n
}

// RefusedTotal counts the refusals of every code.
func (c ClassResult) RefusedTotal() int {
	n := 0
	for _, x := range c.Refused {
		n += x.Count
	}
	return n
}

// FirstToken returns the waits of complete answers for the first token.
func (c ClassResult) FirstToken() Waits { return waits(c.first) }

// BetweenTokens returns the mean gaps between tokens of complete answers.
func (c ClassResult) BetweenTokens() Waits { return waits(c.gap) }

// Whole returns the waits of complete answers for the last token.
func (c ClassResult) Whole() Waits { return waits(c.total) }

func waits(h *hdrhistogram.Histogram) Waits {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
	}
	return Waits{P50: at(50), P95: at(95), P99: at(99)}
}

// String returns one line for a class.
func (c ClassResult) String() string {
	f, g := c.FirstToken(), c.BetweenTokens()
	return fmt.Sprintf("%s: offered=%d on-time=%d slow=%d late=%d refused=%v first=%v/%v/%v gap=%v/%v/%v",
		c.Class.Name, c.Offered, c.OnTime, c.Slow, c.Late, c.Refused, f.P50, f.P95, f.P99, g.P50, g.P95, g.P99)
}

func (r *Result) complete(j *job, now clock.Time) {
	q := j.req
	q.ended = true
	c := &r.Classes[q.Class]
	first := j.first.Sub(q.Arrive)
	gap := now.Sub(j.first) / time.Duration(max(q.Output-1, 1))
	record(c.first, first)
	record(c.gap, gap)
	record(c.total, now.Sub(q.Arrive))
	if first <= c.Class.FirstToken && gap <= c.Class.BetweenToken {
		c.OnTime++
		return
	}
	c.Slow++
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxWaitMillis))
}

func (r *Result) late(q *Request) {
	q.ended = true
	r.Classes[q.Class].Late++
}

func (r *Result) refused(q *Request, by code.Code) {
	if q.ended {
		return
	}
	q.ended = true
	c := &r.Classes[q.Class]
	i, found := slices.BinarySearchFunc(c.Refused, by, func(x Refusals, k code.Code) int {
		return cmp.Compare(x.Code, k)
	})
	if !found {
		c.Refused = slices.Insert(c.Refused, i, Refusals{Code: by})
	}
	c.Refused[i].Count++
}
