package control

import (
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/sheet"
)

// pool is one pool of the sheet.
type pool struct {
	spec         *sheet.Pool
	plannedRoles map[string]driver.Role // by the planner, of engines not fixed
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

// lostAfter is the silence after which an engine counts as lost: it is neither
// part of the pool nor away from it, so that a dead engine doesn't forbid every
// planned change.
const lostAfter = 60 * time.Second

func (s *state) lost(e *engine) bool {
	silence := s.now().Sub(max(e.readEnd, e.tokenSince))
	return e.token != 0 && e.readStart == 0 && silence > lostAfter
}

// poolCount is how a pool stands.
type poolCounts struct {
	engines     int // that count: neither withdrawn nor lost
	unavailable int
	serving     int
}

// count counts a pool's engines. Away are those that don't take work or may
// not: those in a change, those that don't answer, and those that another
// process holds and may be changing. So the share holds however the pool is
// split between holders.
func (s *state) countEngines(p *pool) {
	p.counts = poolCounts{}
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e == nil || e.spec.Withdrawn || s.lost(e) {
			continue
		}
		p.counts.engines++
		if e.token == 0 || !e.stateRead || e.readStart == 0 || e.state.Changing || !s.openEverywhere(e) {
			p.counts.unavailable++
		} else if len(e.state.Loaded) > 0 {
			p.counts.serving++
		}
	}
}

// mayLeave reports whether one more engine of a pool may go.
func (p *pool) changeAllowed() bool {
	return p.counts.unavailable < reconcile.MaxUnavailable(p.counts.engines, p.spec.MaxAwayShare)
}

// role returns the role that an engine should have. An engine that the planner
// hasn't moved keeps the role that it is in, so that a takeover moves nothing.
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

// initialPrefill is the share of engines that prefill before anything was
// measured: prefill is 43% of the work at the design size.
const initialPrefillShare = 0.43

// split gives a role to the planned engines that have none of the two, and
// keeps to the sheet's minima.
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

// raise moves engines to a role that is below its minimum.
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

// plan asks the planners of the pools that this process holds whole.
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

// unreadAfter is how long an engine may leave a new holder without an answer
// before the pool is planned without it: one dead engine must not stop the
// planner for good, and engines just taken over must not be planned unread.
const unreadTimeout = 10 * time.Second

// holdsWhole reports whether this process holds every engine of a pool and
// knows its state: two processes that plan for parts of a pool would both
// answer the same shortage.
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
