package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/loadtest"
)

// stream is one source of requests.
type stream struct {
	name         string
	class        string
	caller       string
	key          string
	prompt       int
	meanInterval time.Duration // between arrivals, which are a Poisson process
	budget       time.Duration // from arrival to deadline
	from         time.Duration
	until        time.Duration
}

// tally counts the results of one stream.
type tally struct {
	offered, onTime, late int
	codes                 map[code.Code]int
	waited                time.Duration // longest wait of a served request
}

func (t tally) share() float64 { return float64(t.onTime) / float64(t.offered) }

// pool simulates engines that run requests for their estimated time, plus or minus a fifth.
type pool struct {
	loop    loadtest.Loop
	q       *Queue
	rng     *rand.Rand
	slots   int
	running int
	tallies map[string]*tally
	origin  map[*Request]string
}

func run(cfg Config, length time.Duration, streams []stream, events ...func(*pool)) map[string]*tally {
	p := &pool{q: NewQueue(cfg), rng: rand.New(rand.NewPCG(1, 1)), slots: slots, tallies: map[string]*tally{}, origin: map[*Request]string{}}
	p.q.SetCapacity(0, slots)
	for _, s := range streams {
		p.tallies[s.name] = &tally{codes: map[code.Code]int{}}
		p.arrivals(s, length)
	}
	for _, e := range events {
		e(p)
	}
	p.loop.Every(20*time.Millisecond, p.pump)
	p.loop.Run(clock.Time(length + time.Minute))
	return p.tallies
}

func (p *pool) arrivals(s stream, length time.Duration) {
	end := min(s.until, length)
	if s.until == 0 {
		end = length
	}
	for at := s.from; at < end; at += time.Duration(p.rng.ExpFloat64() * float64(s.meanInterval)) {
		p.loop.At(clock.Time(at), func() { p.offer(s) })
	}
}

func (p *pool) offer(s stream) {
	now := p.loop.Now()
	r := &Request{Class: s.class, Workspace: s.caller, Caller: s.caller, Key: s.key, PromptTokens: s.prompt, Deadline: now.Add(s.budget)}
	p.origin[r] = s.name
	p.tallies[s.name].offered++
	v := p.q.Offer(now, r)
	p.refused(v.Dropped)
	if v.Err != nil {
		p.refused([]Refusal{{r, v.Err}})
		return
	}
	p.pump()
}

func (p *pool) refused(all []Refusal) {
	for _, x := range all {
		p.tallies[p.origin[x.Request]].codes[x.Err.Code]++
	}
}

func (p *pool) pump() {
	for {
		now := p.loop.Now()
		free := p.slots - p.running
		r, dropped := p.q.Next(now, FreeSlots{Normal: free, Urgent: free})
		p.refused(dropped)
		if r == nil {
			return
		}
		p.running++
		t := p.tallies[p.origin[r]]
		t.waited = max(t.waited, now.Sub(r.arrivedAt))
		took := time.Duration(float64(r.Cost()) * (0.8 + 0.4*p.rng.Float64()))
		p.loop.After(took, func() { p.done(r, t) })
	}
}

func (p *pool) done(r *Request, t *tally) {
	p.running--
	now := p.loop.Now()
	if now <= r.Deadline {
		t.onTime++
	} else {
		t.late++
	}
	p.q.Done(now, r, Measurement{OK: true, OutputTokens: 10})
	p.pump()
}

// Guards against measuring a stop of the engines as a drain rate: during a role change no engine accepts
// requests for three seconds while six are queued. A rate of almost zero was measured and used for
// half a minute after the engines were back, so that all new requests were refused with a Retry-After
// delay of three and a half minutes because of a handful of queued requests.
func TestEngineStopIsNotMeasuredAsRate(t *testing.T) {
	q := NewQueue(testConfig(Guards{}))
	q.SetCapacity(0, slots)
	now := clock.Time(0)
	offer := func() *code.Error {
		return q.Offer(now, &Request{Class: "question", Workspace: "a", Caller: "a", PromptTokens: questionTokens, Deadline: now.Add(6 * time.Second)}).Err
	}
	for range 6 {
		assert.Assert(t, offer() == nil)
	}
	for ; now < clock.Time(3*time.Second); now = now.Add(20 * time.Millisecond) {
		r, dropped := q.Next(now, FreeSlots{})
		assert.Assert(t, r == nil && len(dropped) == 0)
	}
	err := offer()
	assert.Assert(t, err == nil, "%v", err)
}
