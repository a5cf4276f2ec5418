package control

import (
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/roles"
	"fescuestand/internal/wire"
)

// entryTotals holds the totals that one entry has counted for each pool since its start.
type entryTotals struct {
	incarnation string
	receivedAt  clock.Time
	pools       map[string]*wire.PoolLoad
}

// receiveLoad passes on the pool loads that an entry reports by gossip.
func (c *Control) receiveLoad(g *wire.Gossip) {
	if len(g.GetPools()) > 0 {
		c.tryPost(loadReport{g, c.opt.Clock.Now()})
	}
}

// loadReport carries the totals of one entry.
type loadReport struct {
	gossip     *wire.Gossip
	receivedAt clock.Time
}

func (e loadReport) apply(s *state) {
	totals := entryTotals{incarnation: e.gossip.Incarnation, receivedAt: e.receivedAt, pools: map[string]*wire.PoolLoad{}}
	for _, p := range e.gossip.Pools {
		totals.pools[p.Pool] = p
	}
	previous, ok := s.loads[e.gossip.Vm]
	s.loads[e.gossip.Vm] = totals
	if !ok || previous.incarnation != totals.incarnation || totals.receivedAt <= previous.receivedAt {
		return
	}
	for name, after := range totals.pools {
		if before, p := previous.pools[name], s.pools[name]; before != nil && p != nil && p.planner != nil {
			p.planner.updateRate(e.gossip.Vm, before, after, previous.receivedAt, totals.receivedAt)
		}
	}
}

// entryRate is the newest load rate of one entry.
type entryRate struct {
	measuredAt         clock.Time
	promptTokensPerSec float64
	outputTokensPerSec float64
	queuedPromptTokens float64
}

// poolPlanner runs the role planner of one pool.
type poolPlanner struct {
	roles      *roles.Planner
	rates      map[string]entryRate // by entry VM
	holdReason roles.HoldReason
}

// maxRateAge is the age at which the rate of an unresponsive entry is discarded: its callers have
// moved to other entries, which count them.
const maxRateAge = 5 * time.Second

func (p *poolPlanner) updateRate(vm string, before, after *wire.PoolLoad, from, to clock.Time) {
	seconds := to.Sub(from).Seconds()
	if after.PromptTokens < before.PromptTokens || after.OutputTokens < before.OutputTokens || seconds <= 0 {
		return
	}
	p.rates[vm] = entryRate{
		measuredAt:         to,
		promptTokensPerSec: float64(after.PromptTokens-before.PromptTokens) / seconds,
		outputTokensPerSec: float64(after.OutputTokens-before.OutputTokens) / seconds,
		queuedPromptTokens: float64(after.QueuedPromptTokens),
	}
}

// defaultChangeDuration is the assumed duration of a role change until one has been measured:
// several seconds each for the drain and for the change.
const defaultChangeDuration = 10 * time.Second

// planRoles runs the role planner on a pool and applies the planned changes.
func (s *state) planRoles(p *pool) {
	cfg := roles.Config{
		Self: s.opt.VM, ChangeCost: p.spec.Roles.ChangeCost, MaxChangesPerHour: p.spec.Roles.MaxChangesPerHour,
		MaxUnavailableShare: p.spec.MaxUnavailableShare, ChangeDuration: defaultChangeDuration,
	}
	if p.planner == nil {
		p.planner = &poolPlanner{roles: roles.NewPlanner(cfg), rates: map[string]entryRate{}}
	}
	p.planner.roles.SetConfig(cfg)
	now := s.now()
	p.planner.roles.Observe(now, s.snapshot(p, now))
	for _, c := range p.planner.roles.Plan(now) {
		if !s.roleChangeAllowed(p, c) {
			continue
		}
		log.WithField("engine", c.Engine).WithField("to", c.To.String()).WithField("why", c.Reason.String()).Info("role planned")
		p.plannedRoles[c.Engine] = driver.Role(c.To.String())
	}
	if h := p.planner.roles.HoldReason(); h != p.planner.holdReason {
		p.planner.holdReason = h
		log.WithField("pool", p.spec.Name).WithField("hold", h).Debug("role planner hold changed")
	}
}

// roleChangeAllowed reports whether the sheet allows a planned role change.
func (s *state) roleChangeAllowed(p *pool, c roles.Change) bool {
	if _, fixed := p.spec.Roles.Fixed[c.Engine]; fixed {
		return false
	}
	remaining := map[driver.Role]int{}
	for _, name := range p.spec.Engines {
		if e := s.engines[name]; !e.spec.Withdrawn && name != c.Engine {
			remaining[p.role(e)]++
		}
	}
	remaining[driver.Role(c.To.String())]++
	return remaining[driver.RolePrefill] >= p.spec.Roles.MinPrefill && remaining[driver.RoleDecode] >= p.spec.Roles.MinDecode
}

func (s *state) snapshot(p *pool, now clock.Time) roles.Snapshot {
	out := roles.Snapshot{Pool: p.spec.Name}
	for _, name := range p.spec.Engines {
		if e := s.engines[name]; !e.spec.Withdrawn && !s.lost(e) {
			out.Engines = append(out.Engines, s.engineSnapshot(e, now))
		}
	}
	out.Arrivals, out.Queues = p.planner.demand(now)
	out.Rates = averageRates(s, p)
	return out
}

func (s *state) engineSnapshot(e *engine, now clock.Time) roles.Engine {
	snapshot := roles.Engine{
		Name: e.name, Holder: s.opt.VM, Role: plannerRole(e.state.Role), State: s.plannerState(e),
		Running: e.state.Running, Queued: e.state.Queued, ReportAge: -1,
	}
	if e.report != nil {
		snapshot.ReportAge = now.Sub(e.reportAt) + e.report.Age
	}
	return snapshot
}

func (s *state) plannerState(e *engine) roles.State {
	changing := e.state.Role != s.pools[e.pool].role(e)
	switch {
	case e.readStart == 0:
		return roles.Down
	case changing:
		return roles.Changing
	case e.phase() != wire.Phase_PHASE_OPEN || e.state.Changing:
		return roles.Draining
	}
	return roles.Ready
}

func plannerRole(r driver.Role) roles.Role {
	switch r {
	case driver.RolePrefill:
		return roles.Prefill
	case driver.RoleDecode:
		return roles.Decode
	}
	return roles.Mixed
}

// demand sums the newest rates of all entries.
func (p *poolPlanner) demand(now clock.Time) (a roles.Arrivals, q roles.Queues) {
	oldest := clock.Time(0)
	for vm, r := range p.rates {
		if now.Sub(r.measuredAt) > maxRateAge {
			delete(p.rates, vm)
			continue
		}
		if oldest == 0 || r.measuredAt < oldest {
			oldest = r.measuredAt
		}
		a.PromptTokensPerSec += r.promptTokensPerSec
		a.OutputTokensPerSec += r.outputTokensPerSec
		q.PromptTokens += r.queuedPromptTokens
	}
	a.Age = roles.MaxReportAge + 1
	if oldest > 0 {
		a.Age = now.Sub(oldest)
	}
	return a, q
}

// defaultSlots is the assumed number of concurrent streams of a decode engine that hasn't been seen
// full.
const defaultSlots = 32

// updateSlots estimates how many streams an engine can run at once: the number running while other
// requests are queued is its capacity.
func (e *engine) updateSlots() {
	switch {
	case e.state.Queued > 0 && e.state.Running > 0:
		e.slots = e.state.Running
	case e.slots > 0:
		e.slots = max(e.slots, e.state.Running)
	}
}

// decodeRate returns the tokens per second that a full engine generates, 0 if unknown.
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

// averageRates returns the averages of the rates that the engines report.
func averageRates(s *state, p *pool) roles.Rates {
	var out roles.Rates
	var prefillEngines, decodeEngines float64
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e.report != nil && e.report.PrefillRate > 0 {
			out.PrefillTokensPerSec += e.report.PrefillRate
			prefillEngines++
		}
		if r := e.decodeRate(); r > 0 {
			out.DecodeTokensPerSec += r
			decodeEngines++
		}
	}
	out.PrefillTokensPerSec /= max(prefillEngines, 1)
	out.DecodeTokensPerSec /= max(decodeEngines, 1)
	return out
}
