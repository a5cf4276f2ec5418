package loadtest

import (
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// tick is how often an entry looks at its queue when nothing happens.
const tick = 50 * time.Millisecond

// tail is how long a run goes on after the last arrival, so that every request
// ends.
const tail = 2 * time.Minute

type run struct {
	cfg     Config
	loop    Loop
	rng     *rand.Rand
	engines []*engine
	entries []*entry
	plans   []*planner
	result  Result
	demand  demand
	silent  []bool // whose reports are lost
}

type planner struct {
	plan RolePlanner
	view View
}

// Run plays the workload of one seed against the policy.
func Run(cfg Config, p Policy, seed uint64) Result {
	requests := cfg.Workload.Generate(seed, cfg.Model, cfg.Engines)
	r := &run{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), silent: make([]bool, cfg.Engines)}
	r.result = newResult(cfg, p.Name, seed)
	r.demand = newDemand(cfg)
	r.start(p, seed, requests)
	for _, q := range requests {
		r.loop.At(q.Arrive, func() { r.arrive(q) })
	}
	for _, f := range cfg.Faults {
		r.loop.At(clock.Time(f.At), func() { r.fault(f, true) })
		r.loop.At(clock.Time(f.At+f.Duration), func() { r.fault(f, false) })
	}
	r.loop.Every(time.Second, r.measure)
	r.loop.Every(cfg.PlanInterval, r.plan)
	r.loop.Run(clock.Time(cfg.Workload.Length + tail))
	return r.result
}

func (r *run) start(p Policy, seed uint64, requests []*Request) {
	for i, role := range p.Split(r.cfg.Engines) {
		e := &engine{id: i, zone: i % r.cfg.Zones, role: role, model: r.cfg.Model, slow: 1, run: r}
		r.engines = append(r.engines, e)
		phase := time.Duration(r.rng.Int64N(int64(r.cfg.Reports.Interval)))
		r.loop.After(phase, func() {
			r.report(e)
			r.loop.Every(r.cfg.Reports.Interval, func() { r.report(e) })
		})
	}
	for i := range r.cfg.Entries {
		s := Setup{Config: r.cfg, Index: i, Seed: seed, Requests: requests}
		n := &entry{run: r, view: r.newView(), admission: p.Admission(s), routing: p.Routing(s)}
		r.entries = append(r.entries, n)
		r.loop.Every(tick, n.pump)
	}
	if p.Roles == nil {
		return
	}
	for i := range r.cfg.Planners {
		s := Setup{Config: r.cfg, Index: i, Seed: seed, Requests: requests}
		r.plans = append(r.plans, &planner{plan: p.Roles(s), view: r.newView()})
	}
}

func (r *run) newView() View {
	v := View{Engines: make([]EngineView, len(r.engines))}
	for i, e := range r.engines {
		v.Engines[i] = EngineView{ID: i, Zone: e.zone, Role: e.role, State: e.state}
	}
	return v
}

// views calls fn on every process's view of engine e.
func (r *run) views(e int, fn func(*EngineView)) {
	for _, n := range r.entries {
		fn(&n.view.Engines[e])
	}
	for _, p := range r.plans {
		fn(&p.view.Engines[e])
	}
}

// report sends an engine's load to every process, each with a lag of its own.
func (r *run) report(e *engine) {
	if e.state == Down || r.silent[e.id] {
		return
	}
	rep := Report{
		MeasuredAt:    r.loop.Now(),
		Role:          e.role,
		State:         e.state,
		Running:       len(e.running),
		WaitingDecode:         len(e.ready),
		WaitingPrefill:       len(e.waiting),
		WaitingPrefillTokens: e.waitingTokens(),
		StepTime:      e.stepTime,
		CachedPrefixes:        slices.Clone(e.cache.held),
	}
	r.views(e.id, func(v *EngineView) {
		if r.rng.Float64() < r.cfg.Reports.LossRate {
			return
		}
		lag := r.cfg.Reports.MinLag
		if spread := r.cfg.Reports.MaxLag - lag; spread > 0 {
			lag += time.Duration(r.rng.Int64N(int64(spread)))
		}
		r.loop.After(lag, func() { v.received(rep) })
	})
}

// told spreads an engine's ordered role and state.
func (r *run) told(e *engine) {
	role, state := e.role, e.state
	r.loop.After(orderDelay, func() {
		r.views(e.id, func(v *EngineView) { v.Role, v.State = role, state })
	})
}

func (r *run) arrive(q *Request) {
	r.demand.arrived(q)
	r.result.Classes[q.Class].Offered++
	r.entries[q.Caller%len(r.entries)].arrive(q)
}

// plan lets each planner act. An engine takes one order at a time.
func (r *run) plan() {
	if r.loop.Now() > clock.Time(r.cfg.Workload.Length) {
		return
	}
	for _, p := range r.plans {
		for _, c := range p.plan.Plan(r.loop.Now(), &p.view) {
			r.change(r.engines[c.Engine], c.To)
		}
	}
}

func (r *run) change(e *engine, to Role) {
	if e.state != Ready || e.role == to {
		return
	}
	r.result.RoleChanges++
	e.state = Draining
	e.to = to
	r.told(e)
	for _, j := range e.takeWaiting() {
		r.giveBack(j)
	}
	e.step()
}

// drained begins the change itself once a draining engine has no work left.
func (r *run) drained(e *engine) {
	if e.state != Draining || len(e.waiting) > 0 {
		return
	}
	e.state = Changing
	r.told(e)
	epoch := e.epoch
	r.loop.After(e.model.RoleChangeTime, func() {
		if epoch != e.epoch {
			return
		}
		e.role = e.to
		e.state = Ready
		e.cache = prefixCache{}
		r.told(e)
	})
}

func (r *run) fault(f Fault, on bool) {
	for _, id := range f.Engines {
		e := r.engines[id]
		switch f.Kind {
		case Crash:
			r.crash(e, on)
		case Slow:
			e.slow = 1
			if on {
				e.slow = f.Factor
			}
		case FailFast:
			e.fails = on
		case NoReports:
			r.silent[id] = on
		}
	}
}

func (r *run) crash(e *engine, on bool) {
	if !on {
		e.state = Ready
		return
	}
	for _, j := range e.crash() {
		r.loop.After(netDelay, func() { r.failed(j) })
	}
	r.loop.After(detectDelay, func() {
		for _, p := range r.plans {
			if e.state == Down {
				p.view.Engines[e.id].State = Down
			}
		}
	})
}

// measure closes one second of the arrival counts and tells the planners a
// second later.
func (r *run) measure() {
	a := r.demand.close(r.loop.Now())
	r.loop.After(time.Second, func() {
		for _, n := range r.entries {
			n.view.Arrivals = a
		}
		for _, p := range r.plans {
			p.view.Arrivals = a
		}
	})
}

func (r *run) counted(prompt, computed int) { r.demand.prefilled(prompt, computed) }
