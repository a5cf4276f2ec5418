package control

import (
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/sheet"
)

// pool is the state of one pool of the sheet.
type pool struct {
	spec         *sheet.Pool
	plannedRoles map[string]driver.Role // set by the planner, for engines without a fixed role
	planner      *poolPlanner
	counts       poolCounts
}

func newPool(spec *sheet.Pool, old *pool) *pool {
	p := &pool{spec: spec, plannedRoles: map[string]driver.Role{}}
	if old != nil {
		p.plannedRoles, p.planner = old.plannedRoles, old.planner
	}
	return p
}

func (p *pool) rolesPlanned() bool { return p.spec.Roles.Planned }

// lostAfter is how long an engine must be unresponsive to count as lost. A lost engine is neither
// part of the pool nor unavailable, so that a failed engine doesn't block every planned change.
const lostAfter = 60 * time.Second

func (s *state) lost(e *engine) bool {
	silence := s.now().Sub(max(e.readEnd, e.tokenSince))
	return e.token != 0 && e.readStart == 0 && silence > lostAfter
}

// poolCounts holds the numbers of engines of a pool.
type poolCounts struct {
	all     engineCounts
	prefill engineCounts // those that can prefill in their current role
	decode  engineCounts // those that can decode in their current role
	serving int
}

// engineCounts holds the numbers of engines that are neither withdrawn nor lost.
type engineCounts struct{ engines, unavailable int }

func (c *engineCounts) add(unavailable bool) {
	c.engines++
	if unavailable {
		c.unavailable++
	}
}

// changeAllowed reports whether one more engine may become unavailable.
func (c *engineCounts) changeAllowed(share float64) bool {
	return c.unavailable < reconcile.MaxUnavailable(c.engines, share)
}

// countEngines counts the engines of a pool. Unavailable are those that don't accept work or might
// not: engines in a change, engines that don't answer, and engines that another process holds and
// may be changing. So the limit of unavailable engines holds no matter how the pool is split
// between holders.
func (s *state) countEngines(p *pool) {
	p.counts = poolCounts{}
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e == nil || e.spec.Withdrawn || s.lost(e) {
			continue
		}
		unavailable := e.token == 0 || !e.stateRead || e.readStart == 0 || e.state.Changing || !s.openEverywhere(e)
		for _, c := range p.countsOf(e) {
			c.add(unavailable)
		}
		if !unavailable && len(e.state.Loaded) > 0 {
			p.counts.serving++
		}
	}
}

// countsOf returns the counts that include an engine: those of the pool and of each stage that the engine
// can run in its current role.
func (p *pool) countsOf(e *engine) []*engineCounts {
	switch e.state.Role {
	case driver.RolePrefill:
		return []*engineCounts{&p.counts.all, &p.counts.prefill}
	case driver.RoleDecode:
		return []*engineCounts{&p.counts.all, &p.counts.decode}
	}
	return []*engineCounts{&p.counts.all, &p.counts.prefill, &p.counts.decode}
}

// changeAllowed reports whether an engine may become unavailable. The limit holds for the pool and for each
// stage: engines that are a small part of the pool may be all that can decode.
func (p *pool) changeAllowed(e *engine) bool {
	for _, c := range p.countsOf(e) {
		if !c.changeAllowed(p.spec.MaxUnavailableShare) {
			return false
		}
	}
	return true
}

// role returns the desired role of an engine. An engine without a planned role keeps its current
// one, so that a takeover changes no roles.
func (p *pool) role(e *engine) driver.Role {
	if r, ok := p.spec.Roles.Fixed[e.name]; ok {
		return r
	}
	if !p.rolesPlanned() {
		return driver.RoleMixed
	}
	if r, ok := p.plannedRoles[e.name]; ok {
		return r
	}
	return e.state.Role
}

// initialPrefillShare is the share of engines that start in the prefill role before any load has
// been measured: prefill is 43% of the work at the design load.
const initialPrefillShare = 0.43

// assignInitialRoles gives a role to planned engines that have neither prefill nor decode, and
// enforces the minimums of the sheet.
func (s *state) assignInitialRoles(p *pool) {
	var movable []*engine
	count := map[driver.Role]int{}
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e.spec.Withdrawn || !e.stateRead {
			continue
		}
		r := p.role(e)
		count[r]++
		if _, fixed := p.spec.Roles.Fixed[name]; !fixed {
			movable = append(movable, e)
		}
	}
	targetPrefill := initialPrefillCount(&p.spec.Roles, count)
	for _, e := range movable {
		r := p.role(e)
		if r == driver.RolePrefill || r == driver.RoleDecode {
			continue
		}
		if count[driver.RolePrefill] < targetPrefill {
			p.plannedRoles[e.name] = driver.RolePrefill
		} else {
			p.plannedRoles[e.name] = driver.RoleDecode
		}
		count[p.plannedRoles[e.name]]++
	}
	p.enforceMinimum(movable, count, driver.RolePrefill, driver.RoleDecode, p.spec.Roles.MinPrefill)
	p.enforceMinimum(movable, count, driver.RoleDecode, driver.RolePrefill, p.spec.Roles.MinDecode)
}

func initialPrefillCount(r *sheet.Roles, count map[driver.Role]int) int {
	n := count[driver.RolePrefill] + count[driver.RoleDecode] + count[driver.RoleMixed] + count[""]
	return max(r.MinPrefill, min(int(initialPrefillShare*float64(n)+0.5), n-r.MinDecode))
}

// enforceMinimum moves engines to a role that has fewer engines than its minimum.
func (p *pool) enforceMinimum(movable []*engine, count map[driver.Role]int, to, from driver.Role, minimum int) {
	for _, e := range movable {
		if count[to] >= minimum {
			return
		}
		if p.role(e) == from {
			p.plannedRoles[e.name] = to
			count[to]++
			count[from]--
		}
	}
}

// planPools runs the planners of the pools of which this process holds every engine.
func (s *state) planPools() {
	if s.ticks%ticksPerPlan != 0 || s.c.leaving.Load() {
		return
	}
	for _, p := range s.pools {
		if p.rolesPlanned() && s.holdsWholePool(p) {
			s.assignInitialRoles(p)
			s.planRoles(p)
		}
	}
}

// unreadTimeout is how long a new holder waits for the first answer of an engine before it plans
// the pool without that engine: one failed engine must not stop the planner for good, and engines
// that were just taken over must not be planned before they are read.
const unreadTimeout = 10 * time.Second

// holdsWholePool reports whether this process holds every engine of a pool and has read the state of
// each, or waited unreadTimeout for it: two processes that plan parts of one pool would both react to
// the same shortage.
func (s *state) holdsWholePool(p *pool) bool {
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e == nil || e.token == 0 || e.releasingToken == e.token {
			return false
		}
		if !e.stateRead && s.now().Sub(e.tokenSince) < unreadTimeout {
			return false
		}
	}
	return true
}
