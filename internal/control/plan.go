package control

import (
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/sheet"
)

// pool is one pool of the sheet.
type pool struct {
	spec  *sheet.Pool
	roles map[string]driver.Role // by the planner, of engines not fixed
	plan  *planner
	count poolCount
}

func newPool(spec *sheet.Pool, old *pool) *pool {
	p := &pool{spec: spec, roles: map[string]driver.Role{}}
	if old != nil {
		p.roles, p.plan = old.roles, old.plan
	}
	return p
}

func (p *pool) planned() bool { return p.spec.Roles.Planned }

// lostAfter is the silence after which an engine counts as lost: it is neither
// part of the pool nor away from it, so that a dead engine doesn't forbid every
// planned change.
const lostAfter = 60 * time.Second

func (s *state) lost(e *engine) bool {
	silent := s.now().Sub(max(e.answered, e.taken))
	return e.token != 0 && e.readFrom == 0 && silent > lostAfter
}

// poolCount is how a pool stands.
type poolCount struct {
	engines int // that count: neither withdrawn nor lost
	away    int
	serving int
}

// count counts a pool's engines. Away are those that don't take work or may
// not: those in a change, those that don't answer, and those that another
// process holds and may be changing. So the share holds however the pool is
// split between holders.
func (s *state) count(p *pool) {
	p.count = poolCount{}
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e == nil || e.spec.Withdrawn || s.lost(e) {
			continue
		}
		p.count.engines++
		if e.token == 0 || !e.known || e.readFrom == 0 || e.state.Changing || !s.isOpen(e) {
			p.count.away++
		} else if len(e.state.Loaded) > 0 {
			p.count.serving++
		}
	}
}

// mayLeave reports whether one more engine of a pool may go.
func (p *pool) mayLeave() bool {
	return p.count.away < reconcile.AwayLimit(p.count.engines, p.spec.MaxAwayShare)
}

// role returns the role that an engine should have. An engine that the planner
// hasn't moved keeps the role that it is in, so that a takeover moves nothing.
func (p *pool) role(e *engine) driver.Role {
	if r, ok := p.spec.Roles.Fixed[e.name]; ok {
		return r
	}
	if !p.planned() {
		return driver.RoleMixed
	}
	if r, ok := p.roles[e.name]; ok {
		return r
	}
	return e.state.Role
}

// initialPrefill is the share of engines that prefill before anything was
// measured: prefill is 43% of the work at the design size.
const initialPrefill = 0.43

// split gives a role to the planned engines that have none of the two, and
// keeps to the sheet's minima.
func (s *state) split(p *pool) {
	var free []*engine
	count := map[driver.Role]int{}
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e.spec.Withdrawn || !e.known {
			continue
		}
		r := p.role(e)
		count[r]++
		if _, fixed := p.spec.Roles.Fixed[name]; !fixed {
			free = append(free, e)
		}
	}
	want := wantedPrefill(&p.spec.Roles, count)
	for _, e := range free {
		r := p.role(e)
		if r == driver.RolePrefill || r == driver.RoleDecode {
			continue
		}
		if count[driver.RolePrefill] < want {
			p.roles[e.name] = driver.RolePrefill
		} else {
			p.roles[e.name] = driver.RoleDecode
		}
		count[p.roles[e.name]]++
	}
	p.raise(free, count, driver.RolePrefill, driver.RoleDecode, p.spec.Roles.MinPrefill)
	p.raise(free, count, driver.RoleDecode, driver.RolePrefill, p.spec.Roles.MinDecode)
}

func wantedPrefill(r *sheet.Roles, count map[driver.Role]int) int {
	n := count[driver.RolePrefill] + count[driver.RoleDecode] + count[driver.RoleMixed] + count[""]
	return max(r.MinPrefill, min(int(initialPrefill*float64(n)+0.5), n-r.MinDecode))
}

// raise moves engines to a role that is below its minimum.
func (p *pool) raise(free []*engine, count map[driver.Role]int, to, from driver.Role, least int) {
	for _, e := range free {
		if count[to] >= least {
			return
		}
		if p.role(e) == from {
			p.roles[e.name] = to
			count[to]++
			count[from]--
		}
	}
}

// plan asks the planners of the pools that this process holds whole.
func (s *state) plan() {
	if s.ticks%idleTicks != 0 || s.c.leaving.Load() {
		return
	}
	for _, p := range s.pools {
		if p.planned() && s.holdsWhole(p) {
			s.split(p)
			s.planRoles(p)
		}
	}
}

// unreadAfter is how long an engine may leave a new holder without an answer
// before the pool is planned without it: one dead engine must not stop the
// planner for good, and engines just taken over must not be planned unread.
const unreadAfter = 10 * time.Second

// holdsWhole reports whether this process holds every engine of a pool and
// knows its state: two processes that plan for parts of a pool would both
// answer the same shortage.
func (s *state) holdsWhole(p *pool) bool {
	for _, name := range p.spec.Engines {
		e := s.engines[name]
		if e == nil || e.token == 0 || e.releasing == e.token {
			return false
		}
		if !e.known && s.now().Sub(e.taken) < unreadAfter {
			return false
		}
	}
	return true
}
