package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/fold"
	"fescuestand/internal/wire"
)

// The model: a few processes renew, claim and order over one log, each with a
// clock of its own rate, under pauses of any length, slow and cut log access,
// lost answers and appends that appear late.

const (
	simProcs  = 3
	simLength = 2 * time.Minute
	renew     = 2 * time.Second
	scope     = "e"
)

func simOptions() Options {
	return Options{TTL: 6 * time.Second, Margin: time.Second, MaxFlight: 2 * time.Second}
}

type simEvent struct {
	at time.Duration // true time
	do func()
	n  int
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type sim struct {
	rnd     *rand.Rand
	now     time.Duration
	queue   simQueue
	n       int
	log     []fold.Item
	truth   *fold.Authority // of the whole log at once
	ignores bool
	drift   float64
	orders  int
	broken  []string
}

type simProc struct {
	s      *sim
	id     string
	rate   float64
	paused time.Duration // until
	cut    time.Duration // from the log, until
	fold   *fold.Authority
	tr     *Tracker
	opt    Options
	next   int
	seq    uint64
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.queue, simEvent{s.now + d, do, s.n})
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) }

func (s *sim) chance(percent int) bool { return s.rnd.IntN(100) < percent }

func (s *sim) appendItems(p *simProc, seq uint64, entries []*wire.Entry) {
	offset := uint64(1)
	if n := len(s.log); n > 0 {
		offset = s.log[n-1].Offset + 1
	}
	for i, e := range entries {
		it := fold.Item{Offset: offset, Index: i, Writer: p.id, VM: p.id, Seq: seq, Entry: e}
		s.log = append(s.log, it)
		s.truth.Apply(it)
	}
}

func (p *simProc) clock() clock.Time { return clock.Time(float64(p.s.now)*p.rate) + 1 }

// awake runs do now, or when the process's pause is over.
func (p *simProc) awake(do func()) {
	if d := p.paused - p.s.now; d > 0 {
		p.s.after(d, func() { p.awake(do) })
		return
	}
	do()
}

func (p *simProc) every(d time.Duration, do func()) {
	p.s.after(p.s.upTo(d), func() {
		p.awake(func() {
			do()
			p.every(d, do)
		})
	})
}

func (p *simProc) read() {
	if p.s.now < p.cut || p.s.chance(10) {
		return
	}
	for ; p.next < len(p.s.log); p.next++ {
		it := p.s.log[p.next]
		p.fold.Apply(it)
		p.tr.Observe(p.clock(), &it)
	}
}

// beat appends a renewal, with a claim if the scope seems free.
func (p *simProc) beat() {
	var entries []*wire.Entry
	h, _ := p.fold.Get(scope)
	if h.Writer != p.id && p.tr.Claimable(p.clock(), h, p.s.ignores) {
		entries = append(entries, &wire.Entry{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Scopes: []*wire.ScopeClaim{
			{Scope: scope, SeenToken: h.Token, SeenRenewal: h.Renewal},
		}}}})
	}
	entries = append(entries, &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
	p.seq++
	seq, at := p.seq, p.clock()
	latency := p.s.upTo(300 * time.Millisecond)
	if p.s.chance(10) {
		latency = p.s.upTo(30 * time.Second)
	}
	if p.s.now >= p.cut && !p.s.chance(10) {
		p.s.after(latency, func() { p.s.appendItems(p, seq, entries) })
	}
	if p.s.chance(5) {
		p.s.after(latency+p.s.upTo(time.Second), func() { p.s.appendItems(p, seq, entries) })
	}
	p.s.after(p.s.upTo(2*latency+1), func() { p.awake(func() { p.tr.RecordSent(seq, at) }) })
}

// order decides, may be frozen, asks the permit and lets the order fly.
func (p *simProc) order() {
	h, _ := p.fold.Get(scope)
	until := p.tr.LeaseEnd(h)
	if p.clock() >= until {
		return
	}
	p.s.after(p.s.upTo(100*time.Millisecond), func() {
		p.awake(func() {
			if p.opt.Permit(p.clock(), until) != nil {
				return
			}
			p.s.after(p.s.upTo(p.opt.MaxFlight), func() { p.arrive(h) })
		})
	})
}

// arrive is at an engine that ignores tokens: whoever holds the scope by then
// must still be the sender.
func (p *simProc) arrive(h fold.Holding) {
	p.s.orders++
	if cur, _ := p.s.truth.Get(scope); cur.Token != h.Token {
		p.s.broken = append(p.s.broken, fmt.Sprintf("%s ordered under token %d after %s had won %d", p.id, h.Token, cur.Writer, cur.Token))
	}
}

func runSim(seed uint64, opt Options, drift float64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), truth: fold.NewAuthority(1), ignores: true, drift: drift}
	for i := range simProcs {
		p := &simProc{s: s, id: fmt.Sprint("p", i), rate: 1 + drift*float64(i-1), opt: opt, fold: fold.NewAuthority(1)}
		p.tr = NewTracker(opt, p.id, p.clock())
		p.every(200*time.Millisecond, p.read)
		p.every(renew, p.beat)
		p.every(500*time.Millisecond, p.order)
		s.freeze(p)
	}
	for s.now < simLength {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// freeze pauses a process now and then, or cuts it from the log, for up to
// three leases.
func (s *sim) freeze(p *simProc) {
	s.after(s.upTo(20*time.Second), func() {
		until := s.now + s.upTo(18*time.Second)
		if s.chance(50) {
			p.cut = until
		} else {
			p.paused = until
		}
		s.freeze(p)
	})
}

const seeds = 100

func violations(opt Options, drift float64) (broken, orders int) {
	for seed := range uint64(seeds) {
		s := runSim(seed, opt, drift)
		if len(s.broken) > 0 {
			broken++
		}
		orders += s.orders
	}
	return broken, orders
}

// Story: holders are frozen, cut off from the log and slow, answers are lost
// and renewals appear late. An engine that ignores tokens must never get an
// order from a process whose authority another has taken over.
func TestNoOrderAfterAuthorityIsLost(t *testing.T) {
	broken, orders := violations(simOptions(), 0.02)
	assert.Equal(t, broken, 0)
	assert.Assert(t, orders > 10*seeds, "only %d orders", orders)
	t.Logf("%d orders over %d seeds", orders, seeds)
}

// Each guard off in turn: the model then finds the failure that it is for.
func TestGuardsAreNeeded(t *testing.T) {
	cases := map[string]struct {
		change func(*Options)
		drift  float64
	}{
		"lease counted from the reading": {func(o *Options) { o.off.fromRead = true }, 0.02},
		"no permit at the last byte":     {func(o *Options) { o.off.permit = true }, 0.02},
		"no wait for orders in flight":   {func(o *Options) { o.off.flight = true }, 0.02},
		"no margin for clock rate":       {func(o *Options) { o.Margin = 0 }, 0.25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			opt := simOptions()
			c.change(&opt)
			broken, _ := violations(opt, c.drift)
			assert.Assert(t, broken > 0, "the model finds nothing with the guard off")
			t.Logf("%d of %d seeds fail", broken, seeds)
		})
	}
	broken, _ := violations(simOptions(), 0.05)
	assert.Equal(t, broken, 0, "with all guards on, drift 5%% to both sides")
}
