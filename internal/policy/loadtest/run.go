package loadtest

import (
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// pumpInterval is how often an entry checks its queue in the absence of other events.
const pumpInterval = 50 * time.Millisecond

// drainTime is how long a run continues after the last arrival, so that every request ends.
const drainTime = 2 * time.Minute

type run struct {
	cfg        Config
	loop       Loop
	rng        *rand.Rand
	engines    []*engine
	entries    []*entry
	planners   []*planner
	result     Result
	demand     demand
	reportsOff []bool // by engine: a NoReports fault is active
}

type planner struct {
	planner RolePlanner
	view    View
}

// Run simulates the workload of one seed under policy p.
func Run(cfg Config, p Policy, seed uint64) Result {
	requests := cfg.Workload.Generate(seed, cfg.Model, cfg.Engines)
	r := &run{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 2)), reportsOff: make([]bool, cfg.Engines)}
	r.result = newResult(cfg, p.Name, seed)
	r.demand = newDemand(cfg)
	r.setUp(p, seed, requests)
	for _, q := range requests {
		r.loop.At(q.Arrive, func() { r.arrive(q) })
	}
	for _, f := range cfg.Faults {
		r.loop.At(clock.Time(f.At), func() { r.setFault(f, true) })
		r.loop.At(clock.Time(f.At+f.Duration), func() { r.setFault(f, false) })
	}
	r.loop.Every(time.Second, r.publishArrivals)
	r.loop.Every(cfg.PlanInterval, r.runPlanners)
	r.loop.Run(clock.Time(cfg.Workload.Length + drainTime))
	return r.result
}

func (r *run) setUp(p Policy, seed uint64, requests []*Request) {
	for i, role := range p.Split(r.cfg.Engines) {
		e := &engine{id: i, zone: i % r.cfg.Zones, role: role, model: r.cfg.Model, slowdown: 1, run: r}
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
		r.loop.Every(pumpInterval, n.dispatchQueued)
	}
	if p.Roles == nil {
		return
	}
	for i := range r.cfg.Planners {
		s := Setup{Config: r.cfg, Index: i, Seed: seed, Requests: requests}
		r.planners = append(r.planners, &planner{planner: p.Roles(s), view: r.newView()})
	}
}

func (r *run) newView() View {
	v := View{Engines: make([]EngineView, len(r.engines))}
	for i, e := range r.engines {
		v.Engines[i] = EngineView{ID: i, Zone: e.zone, Role: e.role, State: e.state}
	}
	return v
}

// eachView calls fn on the view that each process has of engine e.
func (r *run) eachView(e int, fn func(*EngineView)) {
	for _, n := range r.entries {
		fn(&n.view.Engines[e])
	}
	for _, p := range r.planners {
		fn(&p.view.Engines[e])
	}
}

// report sends an engine's load report to every process. For each of them it is delayed by a
// random lag, or lost.
func (r *run) report(e *engine) {
	if e.state == Down || r.reportsOff[e.id] {
		return
	}
	report := Report{
		MeasuredAt:           r.loop.Now(),
		Role:                 e.role,
		State:                e.state,
		Running:              len(e.running),
		WaitingDecode:        len(e.decodeQueue),
		WaitingPrefill:       len(e.prefillQueue),
		WaitingPrefillTokens: e.waitingTokens(),
		StepTime:             e.stepTime,
		CachedPrefixes:       slices.Clone(e.cache.entries),
	}
	r.eachView(e.id, func(v *EngineView) {
		if r.rng.Float64() < r.cfg.Reports.LossRate {
			return
		}
		delay := r.cfg.Reports.MinLag
		if spread := r.cfg.Reports.MaxLag - delay; spread > 0 {
			delay += time.Duration(r.rng.Int64N(int64(spread)))
		}
		r.loop.After(delay, func() { v.applyReport(report) })
	})
}

// announceState sends an engine's ordered role and state to every process.
func (r *run) announceState(e *engine) {
	role, state := e.role, e.state
	r.loop.After(stateChangeDelay, func() {
		r.eachView(e.id, func(v *EngineView) { v.Role, v.State = role, state })
	})
}

func (r *run) arrive(q *Request) {
	r.demand.recordArrival(q)
	r.result.Classes[q.Class].Offered++
	r.entries[q.Caller%len(r.entries)].arrive(q)
}

// runPlanners carries out the role changes that the planners order.
func (r *run) runPlanners() {
	if r.loop.Now() > clock.Time(r.cfg.Workload.Length) {
		return
	}
	for _, p := range r.planners {
		for _, c := range p.planner.Plan(r.loop.Now(), &p.view) {
			r.startRoleChange(r.engines[c.Engine], c.To)
		}
	}
}

// startRoleChange drains e for a role change. An engine that is already changing its role ignores
// the order.
func (r *run) startRoleChange(e *engine, to Role) {
	if e.state != Ready || e.role == to {
		return
	}
	r.result.RoleChanges++
	e.state = Draining
	e.nextRole = to
	r.announceState(e)
	for _, j := range e.removeUnstarted() {
		r.returnToEntry(j)
	}
	e.startStep()
}

// engineIdle is called when e has no work to start. If e is draining, its role change begins.
func (r *run) engineIdle(e *engine) {
	if e.state != Draining || len(e.prefillQueue) > 0 {
		return
	}
	e.state = Changing
	r.announceState(e)
	epoch := e.epoch
	r.loop.After(e.model.RoleChangeTime, func() {
		if epoch != e.epoch {
			return
		}
		e.role = e.nextRole
		e.state = Ready
		e.cache = prefixCache{}
		r.announceState(e)
	})
}

func (r *run) setFault(f Fault, on bool) {
	for _, id := range f.Engines {
		e := r.engines[id]
		switch f.Kind {
		case Crash:
			r.setCrashed(e, on)
		case Slow:
			e.slowdown = 1
			if on {
				e.slowdown = f.Factor
			}
		case FailFast:
			e.failFast = on
		case NoReports:
			r.reportsOff[id] = on
		}
	}
}

// setCrashed starts or ends a crash of e. The entries get errors for the lost jobs.
func (r *run) setCrashed(e *engine, on bool) {
	if !on {
		e.state = Ready
		return
	}
	for _, j := range e.crash() {
		r.loop.After(oneWayDelay, func() { r.attemptFailed(j) })
	}
	r.loop.After(crashDetectionDelay, func() {
		for _, p := range r.planners {
			if e.state == Down {
				p.view.Engines[e.id].State = Down
			}
		}
	})
}

// publishArrivals takes the arrivals of the last second and delivers them to the entries and
// planners one second later.
func (r *run) publishArrivals() {
	a := r.demand.closeSecond(r.loop.Now())
	r.loop.After(time.Second, func() {
		for _, n := range r.entries {
			n.view.Arrivals = a
		}
		for _, p := range r.planners {
			p.view.Arrivals = a
		}
	})
}

func (r *run) recordPrefill(prompt, uncached int) { r.demand.recordPrefill(prompt, uncached) }
