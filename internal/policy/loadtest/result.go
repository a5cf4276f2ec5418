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

// Result summarizes what the callers of one run received.
type Result struct {
	Policy      string
	Seed        uint64
	Classes     []ClassResult
	RoleChanges int

	length time.Duration
}

// ClassResult counts the requests of one class by their outcome.
type ClassResult struct {
	Class   Class
	Offered int
	// OnTime counts answers that were complete by their deadline and met the objectives for the
	// first token and the time between tokens.
	OnTime int
	// Slow counts answers that were complete by their deadline but missed an objective.
	Slow    int
	Late    int // not complete by the deadline, when the caller disconnects
	Refused []RefusalCount

	first, gap, total *hdrhistogram.Histogram // milliseconds
}

// RefusalCount is the number of requests refused with one code.
type RefusalCount struct {
	Code  code.Code
	Count int
}

// Percentiles are percentiles of a latency.
type Percentiles struct{ P50, P95, P99 time.Duration }

// maxWaitMillis is the maximum of the histograms: every request ends by its deadline, which is
// less than ten minutes.
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

// Goodput returns the on-time answers per second.
func (r Result) Goodput() float64 {
	n := 0
	for _, c := range r.Classes {
		n += c.OnTime
	}
	return float64(n) / r.length.Seconds()
}

// WeightedGoodput returns the goodput weighted by the mean engine time of each class: the number
// of engines that were kept busy with on-time answers.
func (r Result) WeightedGoodput(m EngineModel) float64 {
	w := 0.0
	for _, c := range r.Classes {
		w += float64(c.OnTime) * m.engineSeconds(c.Class)
	}
	return w / r.length.Seconds()
}

// Sum returns the sum of one figure over the classes.
func (r Result) Sum(figure func(ClassResult) int) int {
	n := 0
	for _, c := range r.Classes {
		n += figure(c)
	}
	return n
}

// RefusedTotal returns the number of refused requests over all codes.
func (c ClassResult) RefusedTotal() int {
	n := 0
	for _, x := range c.Refused {
		n += x.Count
	}
	return n
}

// FirstToken returns the times to first token of complete answers.
func (c ClassResult) FirstToken() Percentiles { return percentiles(c.first) }

// BetweenTokens returns the times between tokens of complete answers, averaged over each answer.
func (c ClassResult) BetweenTokens() Percentiles { return percentiles(c.gap) }

// Completion returns the times to the last token of complete answers.
func (c ClassResult) Completion() Percentiles { return percentiles(c.total) }

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
	}
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// String returns a one-line summary.
func (c ClassResult) String() string {
	f, g := c.FirstToken(), c.BetweenTokens()
	return fmt.Sprintf("%s: offered=%d on-time=%d slow=%d late=%d refused=%v first=%v/%v/%v gap=%v/%v/%v",
		c.Class.Name, c.Offered, c.OnTime, c.Slow, c.Late, c.Refused, f.P50, f.P95, f.P99, g.P50, g.P95, g.P99)
}

func (r *Result) recordComplete(j *job, now clock.Time) {
	q := j.req
	q.ended = true
	c := &r.Classes[q.Class]
	first := j.firstTokenAt.Sub(q.Arrive)
	gap := now.Sub(j.firstTokenAt) / time.Duration(max(q.Output-1, 1))
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

func (r *Result) recordLate(q *Request) {
	q.ended = true
	r.Classes[q.Class].Late++
}

func (r *Result) recordRefused(q *Request, by code.Code) {
	if q.ended {
		return
	}
	q.ended = true
	c := &r.Classes[q.Class]
	i, found := slices.BinarySearchFunc(c.Refused, by, func(x RefusalCount, k code.Code) int {
		return cmp.Compare(x.Code, k)
	})
	if !found {
		c.Refused = slices.Insert(c.Refused, i, RefusalCount{Code: by})
	}
	c.Refused[i].Count++
}
