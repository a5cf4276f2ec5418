package scarcity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/ontime"
)

const (
	ms       = time.Millisecond
	simTick  = 5 * ms
	simVMs   = 24
	simFixed = 30 * ms
	simLeave = 2 * time.Second
	simEnd   = 12 * time.Second
	burstAt  = 2 * time.Second
	burstEnd = 8 * time.Second
)

// kind is one kind of request of the simulated load.
type kind struct {
	name         string
	level        int
	work         time.Duration // mean
	spread       float64       // of the logarithm of the work
	target       time.Duration
	limit        time.Duration
	rate         float64 // a second
	onTime, late float64 // value to callers
}

var kinds = []kind{
	{"verdict", 0, 17 * ms, 0.3, 250 * ms, 2500 * ms, 93, 1.1, 0.34},
	{"question", 1, 7 * ms, 0.3, 250 * ms, 8 * time.Second, 38, 2.3, 0.69},
	{"summary", 2, 59 * ms, 0.8, 500 * ms, 8 * time.Second, 44, 2.4, 0.71},
}

// load is a load pattern.
type load struct {
	name      string
	factor    func(at time.Duration, kind int) float64
	largeWS   float64 // share of the requests that one workspace sends, beside twenty small ones
	retry     bool    // refused callers come back at once, several times
	giveUp    bool    // callers leave early, at a time that the VM doesn't know
	newVMs    bool    // a third of the VMs start at the burst
	reportAge time.Duration
}

func burst(k int, factor float64) func(time.Duration, int) float64 {
	return func(at time.Duration, kind int) float64 {
		if kind == k && at >= burstAt && at < burstEnd {
			return factor
		}
		return 1
	}
}

func swing(at time.Duration, kind int) float64 {
	first := int(at/(1500*ms))%2 == 0
	switch {
	case kind == 2 && first:
		return 3.5
	case kind == 0 && !first:
		return 5
	}
	return 1
}

func loads() []load {
	var out []load
	for _, age := range []time.Duration{200 * ms, time.Second} {
		out = append(
			out,
			load{name: "least urgent burst", factor: burst(2, 3.5), reportAge: age},
			load{name: "most urgent burst", factor: burst(0, 6), reportAge: age},
			load{name: "swing", factor: swing, reportAge: age},
			load{name: "large workspace", factor: burst(2, 3.5), largeWS: 0.7, reportAge: age},
			load{name: "retries at once", factor: burst(2, 3.5), retry: true, reportAge: age},
			load{name: "give up", factor: burst(2, 3.5), giveUp: true, reportAge: age},
			load{name: "new VMs", factor: burst(2, 3.5), newVMs: true, reportAge: age},
		)
	}
	return out
}

// simCall is a caller's request over all its returns.
type simCall struct {
	kind, ws, vm int
	begun        time.Duration // first arrival
	arrived      time.Duration // newest arrival
	returnAt     time.Duration
	patience     time.Duration
	work         time.Duration
	returns      int
	early        bool
	entry        *Entry
	served       time.Duration // first event, 0 for none
}

type sent struct {
	end  time.Duration
	work time.Duration
}

type simVM struct {
	queue    *Queue
	view     *View
	held     []*simCall
	heldWork time.Duration
	sent     [][]sent        // by engine
	reported []time.Duration // by engine, in the newest report
	heard    time.Duration   // from when it receives reports
}

type fleet struct {
	rng    *rand.Rand
	load   load
	before bool // without this package
	vms    []*simVM
	free   []time.Duration // by engine
	slow   []time.Duration // by engine, until when
	total  []time.Duration // sum of reports by engine
	idle   time.Duration   // of the engines during the burst
	calls  []*simCall
	back   []*simCall
}

const simEngines = 8

func runFleet(l load, before bool, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), load: l, before: before}
	f.free, f.slow, f.total = make([]time.Duration, simEngines), make([]time.Duration, simEngines), make([]time.Duration, simEngines)
	for range simVMs {
		f.vms = append(f.vms, &simVM{queue: NewQueue(), view: NewView(), sent: make([][]sent, simEngines), reported: make([]time.Duration, simEngines)})
	}
	arrivals := f.arrivals()
	for now := time.Duration(0); now < simEnd+3*time.Second; now += simTick {
		f.step(now, &arrivals)
	}
	return f
}

// arrivals returns the requests of the load in order; they are the same for all policies.
func (f *fleet) arrivals() []*simCall {
	var out []*simCall
	for now := time.Duration(0); now < simEnd; now += simTick {
		for k := range kinds {
			mean := kinds[k].rate * f.load.factor(now, k) * simTick.Seconds()
			for n := f.poisson(mean); n > 0; n-- {
				out = append(out, f.newCall(now, k))
			}
		}
	}
	f.calls = out
	return out
}

func (f *fleet) poisson(mean float64) int {
	n, p := 0, f.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= f.rng.Float64()
	}
	return n
}

func (f *fleet) newCall(now time.Duration, k int) *simCall {
	s := kinds[k].spread
	work := time.Duration(float64(kinds[k].work) * math.Exp(s*f.rng.NormFloat64()-s*s/2))
	c := &simCall{kind: k, ws: 1 + f.rng.IntN(20), vm: f.rng.IntN(simVMs), begun: now, arrived: now, patience: simLeave, work: min(work, 500*ms)}
	if f.rng.Float64() < f.load.largeWS {
		c.ws = 0
	}
	if p := 0.3 + 0.7*f.rng.Float64(); f.load.giveUp {
		c.patience = time.Duration(p * float64(simLeave))
	}
	return c
}

func (f *fleet) step(now time.Duration, arrivals *[]*simCall) {
	for e := range f.slow {
		if now > f.slow[e] && f.rng.Float64() < 0.15*simTick.Seconds()/0.6 {
			f.slow[e] = now + 600*ms
		}
	}
	if f.load.newVMs && now == burstAt {
		for i := range simVMs / 3 {
			f.vms[i].heard = now + time.Second
			f.vms[i].view = NewView()
		}
	}
	for i, vm := range f.vms {
		phase := f.load.reportAge * time.Duration(i) / simVMs
		if (now-phase.Truncate(simTick))%f.load.reportAge == 0 {
			f.report(now, i, vm)
		}
	}
	for len(*arrivals) > 0 && (*arrivals)[0].arrived <= now {
		f.arrive(now, (*arrivals)[0])
		*arrivals = (*arrivals)[1:]
	}
	back := f.back
	f.back = nil
	for _, c := range back {
		if c.returnAt > now {
			f.back = append(f.back, c)
			continue
		}
		c.arrived = now
		f.arrive(now, c)
	}
	for _, vm := range f.vms {
		f.decideHeld(now, vm)
	}
}

func (f *fleet) report(now time.Duration, i int, vm *simVM) {
	if now < vm.heard {
		return
	}
	for e := range vm.reported {
		own := vm.outstanding(now, e)
		f.total[e] += own - vm.reported[e]
		vm.reported[e] = own
	}
	held := map[uint32]Held{1: vm.queue.Held(clock.Time(now))}
	for j, other := range f.vms {
		if j != i && now >= other.heard {
			other.view.Receive(clock.Time(now), fmt.Sprint(i), held)
		}
	}
}

func (vm *simVM) outstanding(now time.Duration, e int) time.Duration {
	var sum time.Duration
	kept := vm.sent[e][:0]
	for _, s := range vm.sent[e] {
		if s.end > now {
			kept = append(kept, s)
			sum += s.work
		}
	}
	vm.sent[e] = kept
	return sum
}

// choose returns the engine with the shortest wait by what a VM knows.
func (f *fleet) choose(now time.Duration, vm *simVM) (int, time.Duration) {
	best, wait := -1, time.Duration(0)
	start := f.rng.IntN(simEngines)
	for n := range simEngines {
		e := (start + n) % simEngines
		w := vm.outstanding(now, e)
		if now >= vm.heard {
			peers := f.total[e] - vm.reported[e]
			w += peers
		}
		if best < 0 || w < wait {
			best, wait = e, w
		}
	}
	return best, wait
}

func (f *fleet) send(now time.Duration, vm *simVM, e int, c *simCall) {
	work := c.work
	if f.slow[e] > now {
		work = work * 5 / 2
	}
	if now > f.free[e] && now > burstAt && now < burstEnd {
		f.idle += now - max(f.free[e], burstAt)
	}
	f.free[e] = max(f.free[e], now) + work
	vm.sent[e] = append(vm.sent[e], sent{f.free[e], c.work})
	if first := f.free[e] + simFixed; first <= c.arrived+c.patience && first <= c.begun+kinds[c.kind].limit {
		c.served = first
	}
}

// refuse has a caller come back after the delay, or at once if it doesn't wait as told.
func (f *fleet) refuse(now time.Duration, c *simCall, after time.Duration) {
	left := c.begun + kinds[c.kind].limit - now
	switch {
	case f.load.retry && c.returns < 6 && left > 0:
		c.returnAt, c.early = now+50*ms, true
	case !f.load.retry && c.returns < 2 && after <= left/3:
		c.returnAt, c.early = now+after, false
	default:
		return
	}
	c.returns++
	f.back = append(f.back, c)
}

func (f *fleet) request(c *simCall) Request {
	k := &kinds[c.kind]
	leaves := min(simLeave, c.begun+k.limit-c.arrived)
	return Request{
		Level: k.level, Workspace: fmt.Sprint(c.ws), Arrived: clock.Time(c.arrived), Target: k.target, Leaves: leaves,
		Work: c.work, Fixed: simFixed, Early: c.early,
	}
}

func (f *fleet) arrive(now time.Duration, c *simCall) {
	vm := f.vms[c.vm]
	if f.before {
		f.decideBefore(now, vm, c, true)
		return
	}
	r := f.request(c)
	if d := f.decide(now, vm, c, &r); d.Verdict == Refuse {
		f.refuse(now, c, d.RetryAfter)
		return
	}
	c.entry = vm.queue.Add(clock.Time(now), r)
	vm.held = append(vm.held, c)
}

func (f *fleet) decide(now time.Duration, vm *simVM, c *simCall, r *Request) Decision {
	_, wait := f.choose(now, vm)
	peers := vm.view.Held(clock.Time(now), 1)
	s := Situation{
		Now: clock.Time(now), Wait: wait, Endpoints: simEngines, Ahead: vm.queue.Ahead(clock.Time(now), r), Urgent: vm.queue.Held(clock.Time(now)).Above(r.Level),
		Above: peers.Above(r.Level), Same: peers[r.Level].Work, Random: f.rng.Uint64(),
		Left: c.begun + kinds[c.kind].limit - now,
	}
	return Decide(r, &s)
}

func (f *fleet) decideHeld(now time.Duration, vm *simVM) {
	if f.before {
		if now%(20*ms) == 0 {
			held := vm.held
			vm.held = nil
			vm.heldWork = 0
			for _, c := range held {
				vm.heldWork += c.work
			}
			for _, c := range held {
				f.decideBefore(now, vm, c, false)
			}
		}
		return
	}
	vm.leave(now)
	for {
		e := vm.queue.First(clock.Time(now))
		if e == nil {
			return
		}
		c := vm.take(e)
		d := f.decide(now, vm, c, &e.Request)
		switch d.Verdict {
		case Hold:
			vm.held = append(vm.held, c)
			return
		case Refuse:
			vm.queue.Remove(e)
			f.refuse(now, c, d.RetryAfter)
		case Serve:
			vm.queue.Remove(e)
			vm.queue.Served(clock.Time(now), &e.Request)
			engine, _ := f.choose(now, vm)
			f.send(now, vm, engine, c)
		}
	}
}

// leave removes the requests whose callers have left.
func (vm *simVM) leave(now time.Duration) {
	kept := vm.held[:0]
	for _, c := range vm.held {
		if now > c.arrived+c.patience {
			vm.queue.Remove(c.entry)
			continue
		}
		kept = append(kept, c)
	}
	vm.held = kept
}

func (vm *simVM) take(e *Entry) *simCall {
	for i, c := range vm.held {
		if c.entry == e {
			vm.held = append(vm.held[:i], vm.held[i+1:]...)
			return c
		}
	}
	return nil
}

// decideBefore is the decision without this package.
func (f *fleet) decideBefore(now time.Duration, vm *simVM, c *simCall, first bool) {
	if now > c.arrived+c.patience {
		return
	}
	k := &kinds[c.kind]
	e, wait := f.choose(now, vm)
	backlog := time.Duration(0)
	if first {
		backlog = vm.heldWork * simVMs / simEngines
	}
	v, after := ontime.Decide(ontime.Request{
		Elapsed: now - c.arrived, Target: k.target, CallerTimeout: min(simLeave, c.begun+k.limit-c.arrived),
		FirstEvent: wait + c.work + simFixed, Wait: wait, Backlog: backlog, Random: f.rng.Uint64(),
	})
	switch v {
	case ontime.Serve:
		f.send(now, vm, e, c)
	case ontime.Refuse:
		f.refuse(now, c, after)
	case ontime.Hold:
		vm.held = append(vm.held, c)
	}
}

// tally counts the requests of a group.
type tally struct{ n, served, onTime int }

func (t *tally) add(c *simCall) {
	t.n++
	if c.served > 0 {
		t.served++
		if c.served <= c.begun+kinds[c.kind].target {
			t.onTime++
		}
	}
}

func (t tally) share() float64 { return float64(t.served) / float64(max(t.n, 1)) }

func (t tally) String() string {
	return fmt.Sprintf("%.3f/%.3f", t.share(), float64(t.onTime)/float64(max(t.n, 1)))
}

// result is the share served by group.
type result struct {
	byKind       [3]tally
	large, small tally // the large workspace and the others
	long, short  tally // the summaries with the most and the least work
	all          tally
	value        float64 // share of the greatest value to callers
	byKindValue  [3]float64
	idle         float64 // share of the burst in which engines had nothing to do
}

func (r *result) String() string {
	return fmt.Sprintf("value %.3f idle %.2f all %s verdict %s question %s summary %s | ws large %s others %s | long %s short %s",
		r.value, r.idle, r.all, r.byKind[0], r.byKind[1], r.byKind[2], r.large, r.small, r.long, r.short)
}

// maxInversion is how much less often a more urgent kind may be served than a less urgent one. Beyond it half of the
// less urgent kind's value is lost.
const maxInversion = 0.05

// net returns the value less what is lost because more urgent kinds are served less often.
func (r *result) net() float64 {
	net := r.value
	for less := range r.byKind {
		for more := range less {
			if r.byKind[more].share() < r.byKind[less].share()-maxInversion {
				net -= r.byKindValue[less] / 2
				break
			}
		}
	}
	return net
}

func (r *result) add(f *fleet) {
	var value [3]float64
	var most float64
	for _, c := range f.calls {
		k := &kinds[c.kind]
		r.all.add(c)
		r.byKind[c.kind].add(c)
		ws := &r.small
		if c.ws == 0 {
			ws = &r.large
		}
		ws.add(c)
		if c.kind == 2 {
			size := &r.short
			if c.work > kinds[2].work {
				size = &r.long
			}
			size.add(c)
		}
		most += k.onTime
		switch {
		case c.served > 0 && c.served <= c.begun+k.target:
			value[c.kind] += k.onTime
		case c.served > 0:
			value[c.kind] += k.late
		}
	}
	for kind, v := range value {
		r.byKindValue[kind] += v / most / simSeeds
		r.value += v / most / simSeeds
	}
	r.idle += f.idle.Seconds() / simEngines / (burstEnd - burstAt).Seconds() / simSeeds
}

const simSeeds = 1

func runSeeds(l load, before bool) *result {
	r := &result{}
	for seed := range uint64(simSeeds) {
		r.add(runFleet(l, before, seed+1))
	}
	return r
}

// Guards against overload that is served in order of arrival, so that the most urgent requests are late or
// refused while less urgent ones are served, and against holding back so much that fewer requests are served.
func TestTheMostUrgentAreServed(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name+" "+l.reportAge.String(), func(t *testing.T) {
			t.Parallel()
			before, after := runSeeds(l, true), runSeeds(l, false)
			t.Logf("before: %s", before)
			t.Logf("after:  %s", after)
			assert.Assert(t, after.all.share() > before.all.share())
			assert.Assert(t, after.byKind[0].share() > before.byKind[0].share())
			assert.Assert(t, after.byKind[0].share() > after.byKind[2].share()-0.05)
			assert.Assert(t, after.net() > before.net(), "%.3f, %.3f before", after.net(), before.net())
			if l.largeWS > 0 {
				assert.Assert(t, after.small.share() > after.large.share(), "the large workspace takes the capacity of the others")
			}
		})
	}
}
