package control

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/roles"
	"fescuestand/internal/wire"
)

// poolLoads is what one entry measured of every pool since its start.
type poolLoads struct {
	incarnation string
	at          clock.Time
	pools       map[string]*wire.PoolLoad
}

// hear takes what an entry says of its load. It is called by the gossip.
func (c *Control) hear(g *wire.Gossip) {
	if len(g.GetPools()) > 0 {
		c.post(loadHeard{g, c.opt.Clock.Now()})
	}
}

// loadHeard carries an entry's totals.
type loadHeard struct {
	g  *wire.Gossip
	at clock.Time
}

func (e loadHeard) apply(s *state) {
	n := poolLoads{incarnation: e.g.Incarnation, at: e.at, pools: map[string]*wire.PoolLoad{}}
	for _, p := range e.g.Pools {
		n.pools[p.Pool] = p
	}
	old, ok := s.loads[e.g.Vm]
	s.loads[e.g.Vm] = n
	if !ok || old.incarnation != n.incarnation || n.at <= old.at {
		return
	}
	for name, now := range n.pools {
		if was, p := old.pools[name], s.pools[name]; was != nil && p != nil && p.plan != nil {
			p.plan.add(e.g.Vm, was, now, old.at, n.at)
		}
	}
}

// entryRate is the newest rate of one entry.
type entryRate struct {
	at      clock.Time
	prompt  float64 // tokens a second
	output  float64
	waiting float64 // prompt tokens queued
}

// planner drives the role planner of one pool.
type planner struct {
	roles *roles.Planner
	rates map[string]entryRate // by entry VM
	hold  roles.HoldReason
}

// rateTimeout drops the rate of an entry that has gone silent: its callers
// have gone to others, which count them.
const rateTimeout = 5 * time.Second

func (p *planner) add(vm string, was, now *wire.PoolLoad, from, to clock.Time) {
	seconds := to.Sub(from).Seconds()
	if now.PromptTokens < was.PromptTokens || now.OutputTokens < was.OutputTokens || seconds <= 0 {
		return
	}
	p.rates[vm] = entryRate{
		at:      to,
		prompt:  float64(now.PromptTokens-was.PromptTokens) / seconds,
		output:  float64(now.OutputTokens-was.OutputTokens) / seconds,
		waiting: float64(now.QueuedPromptTokens),
	}
}

// expectedAway is how long a role change takes until one was measured: some
// seconds of drain and some of the change.
const expectedAway = 10 * time.Second

// planRoles lets the planner look at a pool and act.
func (s *state) planRoles(p *pool) {
	cfg := roles.Config{
		Self: s.opt.VM, ChangeCost: p.spec.Roles.ChangePrice, MaxChangesPerHour: p.spec.Roles.MaxChangesPerHour,
		MaxUnavailableShare: p.spec.MaxAwayShare, ChangeDuration: expectedAway,
	}
	if p.plan == nil {
		p.plan = &planner{roles: roles.NewPlanner(cfg), rates: map[string]entryRate{}}
	}
	p.plan.roles.SetConfig(cfg)
	now := s.now()
	p.plan.roles.Observe(now, s.snapshot(p, now))
	for _, c := range p.plan.roles.Plan(now) {
		if !s.mayMove(p, c) {
			continue
		}
		log.WithField("engine", c.Engine).WithField("to", c.To.String()).WithField("why", c.Reason.String()).Info("role planned")
		p.roles[c.Engine] = driver.Role(c.To.String())
	}
	if h := p.plan.roles.HoldReason(); h != p.plan.hold {
		p.plan.hold = h
		log.WithField("pool", p.spec.Name).WithField("hold", h).Debug("role planner")
	}
}

// mayMove keeps the sheet's word over the planner's.
func (s *state) mayMove(p *pool, c roles.Change) bool {
	if _, fixed := p.spec.Roles.Fixed[c.Engine]; fixed {
		return false
	}
	left := map[driver.Role]int{}
	for _, name := range p.spec.Engines {
		if e := s.engines[name]; !e.spec.Withdrawn && name != c.Engine {
			left[p.role(e)]++
		}
	}
	left[driver.Role(c.To.String())]++
	return left[driver.RolePrefill] >= p.spec.Roles.MinPrefill && left[driver.RoleDecode] >= p.spec.Roles.MinDecode
}

func (s *state) snapshot(p *pool, now clock.Time) roles.Snapshot {
	out := roles.Snapshot{Pool: p.spec.Name}
	for _, name := range p.spec.Engines {
		if e := s.engines[name]; !e.spec.Withdrawn && !s.lost(e) {
			out.Engines = append(out.Engines, s.engineSnapshot(e, now))
		}
	}
	out.Arrivals, out.Queues = p.plan.demand(now)
	out.Rates = ratesOf(s, p)
	return out
}

func (s *state) engineSnapshot(e *engine, now clock.Time) roles.Engine {
	one := roles.Engine{
		Name: e.name, Holder: s.opt.VM, Role: roleOf(e.state.Role), State: s.stateOf(e),
		Running: e.state.Running, Queued: e.state.Queued, ReportAge: -1,
	}
	if e.report != nil {
		one.ReportAge = now.Sub(e.reportAt) + e.report.Age
	}
	return one
}

func (s *state) stateOf(e *engine) roles.State {
	changing := e.state.Role != s.pools[e.pool].role(e)
	switch {
	case e.readFrom == 0:
		return roles.Down
	case changing:
		return roles.Changing
	case e.phase() != wire.Phase_PHASE_OPEN || e.state.Changing:
		return roles.Draining
	}
	return roles.Ready
}

func roleOf(r driver.Role) roles.Role {
	switch r {
	case driver.RolePrefill:
		return roles.Prefill
	case driver.RoleDecode:
		return roles.Decode
	}
	return roles.Mixed
}

// demand adds up the entries' newest rates.
func (p *planner) demand(now clock.Time) (a roles.Arrivals, q roles.Queues) {
	oldest := clock.Time(0)
	for vm, r := range p.rates {
		if now.Sub(r.at) > rateTimeout {
			delete(p.rates, vm)
			continue
		}
		if oldest == 0 || r.at < oldest {
			oldest = r.at
		}
		a.PromptTokensPerSec += r.prompt
		a.OutputTokensPerSec += r.output
		q.PromptTokens += r.waiting
	}
	a.Age = roles.MaxReportAge + 1
	if oldest > 0 {
		a.Age = now.Sub(oldest)
	}
	return a, q
}

// defaultSlots is how many streams a decode engine is taken to carry at once
// until it was seen full.
const defaultSlots = 32

// noteSlots learns how many streams an engine carries: what runs while others
// wait is all that it takes.
func (e *engine) noteSlots() {
	switch {
	case e.state.Queued > 0 && e.state.Running > 0:
		e.slots = e.state.Running
	case e.slots > 0:
		e.slots = max(e.slots, e.state.Running)
	}
}

// decodeRate is what an engine generates a second when it is full, 0 if that
// isn't known.
func (e *engine) decodeRate() float64 {
	if e.report == nil || e.report.DecodeStep <= 0 || e.state.Role == driver.RolePrefill {
		return 0
	}
	slots := defaultSlots
	if e.slots > 0 {
		slots = e.slots
	}
	return float64(slots) / e.report.DecodeStep.Seconds()
}

// ratesOf averages what the engines measured of themselves.
func ratesOf(s *state, p *pool) roles.Rates {
	var out roles.Rates
	var prefill, decode float64
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e.report != nil && e.report.PrefillRate > 0 {
			out.PrefillTokensPerSec += e.report.PrefillRate
			prefill++
		}
		if r := e.decodeRate(); r > 0 {
			out.DecodeTokensPerSec += r
			decode++
		}
	}
	out.PrefillTokensPerSec /= max(prefill, 1)
	out.DecodeTokensPerSec /= max(decode, 1)
	return out
}
