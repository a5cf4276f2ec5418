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

// The simulation: a few processes renew, claim and send orders over one log, each with a clock of
// its own rate. Processes are paused for any length of time, log access is slow or cut, answers are
// lost and appends appear late.

const (
	simProcs      = 3
	simLength     = 2 * time.Minute
	renewInterval = 2 * time.Second
	scope         = "e"
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
	rnd          *rand.Rand
	now          time.Duration
	queue        simQueue
	n            int
	log          []fold.Item
	truth        *fold.Authority // fold of the whole log, without delay
	ignoresFence bool
	drift        float64
	orders       int
	violations   []string
}

type simProc struct {
	s           *sim
	id          string
	rate        float64
	pausedUntil time.Duration
	cutUntil    time.Duration // no log access until then
	fold        *fold.Authority
	tracker     *Tracker
	opt         Options
	nextItem    int
	seq         uint64
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.queue, simEvent{s.now + d, do, s.n})
}

func (s *sim) randomUpTo(d time.Duration) time.Duration { return time.Duration(s.rnd.Int64N(int64(d))) }

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

// whenAwake runs do now, or when the process's pause is over.
func (p *simProc) whenAwake(do func()) {
	if d := p.pausedUntil - p.s.now; d > 0 {
		p.s.after(d, func() { p.whenAwake(do) })
		return
	}
	do()
}

func (p *simProc) every(d time.Duration, do func()) {
	p.s.after(p.s.randomUpTo(d), func() {
		p.whenAwake(func() {
			do()
			p.every(d, do)
		})
	})
}

func (p *simProc) readLog() {
	if p.s.now < p.cutUntil || p.s.chance(10) {
		return
	}
	for ; p.nextItem < len(p.s.log); p.nextItem++ {
		it := p.s.log[p.nextItem]
		p.fold.Apply(it)
		p.tracker.Observe(p.clock(), &it)
	}
}

// appendRenewal appends a renewal, with a claim if the scope appears to be free.
func (p *simProc) appendRenewal() {
	var entries []*wire.Entry
	h, _ := p.fold.Get(scope)
	if h.Writer != p.id && p.tracker.Claimable(p.clock(), h, p.s.ignoresFence) {
		entries = append(entries, &wire.Entry{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Scopes: []*wire.ScopeClaim{
			{Scope: scope, SeenToken: h.Token, SeenRenewal: h.Renewal},
		}}}})
	}
	entries = append(entries, &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
	p.seq++
	seq, at := p.seq, p.clock()
	latency := p.s.randomUpTo(300 * time.Millisecond)
	if p.s.chance(10) {
		latency = p.s.randomUpTo(30 * time.Second)
	}
	if p.s.now >= p.cutUntil && !p.s.chance(10) {
		p.s.after(latency, func() { p.s.appendItems(p, seq, entries) })
	}
	if p.s.chance(5) {
		p.s.after(latency+p.s.randomUpTo(time.Second), func() { p.s.appendItems(p, seq, entries) })
	}
	p.s.after(p.s.randomUpTo(2*latency+1), func() { p.whenAwake(func() { p.tracker.RecordSent(seq, at) }) })
}

// sendOrder decides on an order, may be frozen, checks the permit and sends the order.
func (p *simProc) sendOrder() {
	h, _ := p.fold.Get(scope)
	until := p.tracker.LeaseEnd(h)
	if p.clock() >= until {
		return
	}
	p.s.after(p.s.randomUpTo(100*time.Millisecond), func() {
		p.whenAwake(func() {
			if p.opt.Permit(p.clock(), until) != nil {
				return
			}
			p.s.after(p.s.randomUpTo(p.opt.MaxFlight), func() { p.arrive(h) })
		})
	})
}

// arrive checks an order at an engine that ignores tokens: the sender must still hold the scope at
// that moment.
func (p *simProc) arrive(h fold.Holding) {
	p.s.orders++
	if cur, _ := p.s.truth.Get(scope); cur.Token != h.Token {
		p.s.violations = append(p.s.violations, fmt.Sprintf("%s sent an order under token %d after %s had claimed with %d", p.id, h.Token, cur.Writer, cur.Token))
	}
}

func runSim(seed uint64, opt Options, drift float64) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 1)), truth: fold.NewAuthority(1), ignoresFence: true, drift: drift}
	for i := range simProcs {
		p := &simProc{s: s, id: fmt.Sprint("p", i), rate: 1 + drift*float64(i-1), opt: opt, fold: fold.NewAuthority(1)}
		p.tracker = NewTracker(opt, p.id, p.clock())
		p.every(200*time.Millisecond, p.readLog)
		p.every(renewInterval, p.appendRenewal)
		p.every(500*time.Millisecond, p.sendOrder)
		s.freeze(p)
	}
	for s.now < simLength {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// freeze repeatedly pauses a process, or cuts it off from the log, for up to three leases.
func (s *sim) freeze(p *simProc) {
	s.after(s.randomUpTo(20*time.Second), func() {
		until := s.now + s.randomUpTo(18*time.Second)
		if s.chance(50) {
			p.cutUntil = until
		} else {
			p.pausedUntil = until
		}
		s.freeze(p)
	})
}

const seeds = 100

func countViolations(opt Options, drift float64) (failedSeeds, orders int) {
	for seed := range uint64(seeds) {
		s := runSim(seed, opt, drift)
		if len(s.violations) > 0 {
			failedSeeds++
		}
		orders += s.orders
	}
	return failedSeeds, orders
}

// Guards against an engine that ignores fencing tokens getting an order from a process whose
// authority another has taken over. Holders are frozen, slow and cut off from the log, answers are
// lost and renewals appear late.
func TestNoOrderAfterAuthorityIsLost(t *testing.T) {
	failedSeeds, orders := countViolations(simOptions(), 0.02)
	assert.Equal(t, failedSeeds, 0)
	assert.Assert(t, orders > 10*seeds, "only %d orders", orders)
	t.Logf("%d orders over %d seeds", orders, seeds)
}

// With each guard disabled alone, the simulation must find the failure that the guard prevents.
func TestGuardsAreNeeded(t *testing.T) {
	cases := map[string]struct {
		change func(*Options)
		drift  float64
	}{
		"lease counted from the read":  {func(o *Options) { o.disabled.leaseFromSend = true }, 0.02},
		"no permit at the last byte":   {func(o *Options) { o.disabled.permitCheck = true }, 0.02},
		"no wait for orders in flight": {func(o *Options) { o.disabled.flightWait = true }, 0.02},
		"no margin for clock rate":     {func(o *Options) { o.Margin = 0 }, 0.25},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			opt := simOptions()
			c.change(&opt)
			failedSeeds, _ := countViolations(opt, c.drift)
			assert.Assert(t, failedSeeds > 0, "the simulation finds no failure with the guard disabled")
			t.Logf("%d of %d seeds fail", failedSeeds, seeds)
		})
	}
	failedSeeds, _ := countViolations(simOptions(), 0.05)
	assert.Equal(t, failedSeeds, 0, "with all guards enabled, clock drift 5%% in both directions")
}
