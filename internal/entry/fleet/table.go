package fleet

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// Figures of an engine before its first load report. They matter only for the
// first seconds.
const (
	defaultSlots       = 32
	defaultPrefillRate = 10_000 // tokens a second
	defaultDecodeStep  = 20 * time.Millisecond
	serviceSlots       = 32
	serviceBase        = 10 * time.Millisecond
	// engineBase is what a request takes at an idle engine besides its tokens:
	// it waits for the decode step under way and takes one itself. Without it
	// the concurrency limit compares a short question with its prefill alone,
	// takes the idle engine for an overloaded one, and shrinks.
	engineBase = 2 * defaultDecodeStep
)

// ServicePool is the name of the pool that a plain service's endpoints form.
func ServicePool(service string) string { return "service/" + service }

// publish makes a new routing table if anything in it has changed.
func (o *owner) publish() {
	if o.sheet == nil {
		return
	}
	if o.dirty {
		o.dirty = false
		o.publishIndex()
	}
	eps := o.tableOf()
	if reflect.DeepEqual(eps, o.published) {
		return
	}
	o.published = eps
	o.f.router.Publish(o.f.clk.Now(), route.NewTable(o.f.cfg, eps))
}

func (o *owner) publishIndex() {
	x := &index{
		engines: map[string]*Engine{}, services: map[string]driver.Service{},
		sheet: o.sheet, version: o.version,
	}
	for name, ep := range o.endpoints {
		if ep.engine != nil {
			x.engines[name] = ep.engine
		} else {
			x.services[name] = ep.service
		}
	}
	o.f.index.Store(x)
}

func (o *owner) tableOf() []route.Endpoint {
	engines := map[string]*sheet.Engine{}
	for i := range o.sheet.Engines {
		engines[o.sheet.Engines[i].Name] = &o.sheet.Engines[i]
	}
	var eps []route.Endpoint
	for i := range o.sheet.Pools {
		p := &o.sheet.Pools[i]
		for _, name := range p.Engines {
			if e, ep := engines[name], o.endpoints[name]; e != nil && ep != nil {
				eps = append(eps, o.engineOf(p, e, ep))
			}
		}
	}
	for i := range o.sheet.Services {
		s := &o.sheet.Services[i]
		for j := range s.Endpoints {
			if ep := o.endpoints[s.Endpoints[j].Name]; ep != nil {
				eps = append(eps, serviceOf(s, &s.Endpoints[j], ep))
			}
		}
	}
	slices.SortFunc(eps, func(a, b route.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return eps
}

func serviceOf(s *sheet.Service, e *sheet.ServiceEndpoint, ep *endpoint) route.Endpoint {
	r := route.Endpoint{
		Name: e.Name, Pool: ServicePool(s.Name), Zone: e.Zone, Slots: ep.slots, Base: serviceBase,
	}
	if ep.failed >= suspectAfter {
		r.State = route.Suspect
	}
	return r
}

func (o *owner) engineOf(p *sheet.Pool, e *sheet.Engine, ep *endpoint) route.Endpoint {
	d, state := o.directiveOf(e.Name), o.newState(e.Name, ep)
	r := route.Endpoint{
		Name: e.Name, Pool: p.Name, Zone: e.Zone, Slots: ep.slots,
		Role: roleOf(p, e, state, d), State: stateOf(e, ep, state, d), Serves: servesOf(p, ep),
		PrefillPerToken: perToken(defaultPrefillRate), DecodePerToken: defaultDecodeStep, Base: engineBase,
	}
	if ep.report != nil && ep.report.PrefillRate > 0 {
		r.PrefillPerToken = perToken(roundRate(ep.report.PrefillRate))
	}
	return r
}

func perToken(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// roundRate keeps small changes of a measured rate from making new tables: two
// significant digits are more than routing can use.
func roundRate(rate float64) float64 {
	scale := 1.0
	for rate/scale >= 100 {
		scale *= 10
	}
	return max(1, float64(int(rate/scale))*scale)
}

// stateOf combines the sheet, the holder's directive and what the engine says.
// A directive is newer than any poll: an engine that is about to change must
// get no new work although it still answers as before.
func stateOf(e *sheet.Engine, ep *endpoint, state *driver.EngineState, d *wire.Directive) route.State {
	if e.Withdrawn {
		return route.Draining
	}
	switch d.GetPhase() {
	case wire.Phase_PHASE_DRAIN, wire.Phase_PHASE_MOVE, wire.Phase_PHASE_WITHDRAWN:
		return route.Draining
	case wire.Phase_PHASE_AWAY:
		return route.Unavailable
	}
	switch {
	case ep.failed >= suspectAfter:
		return route.Suspect
	case state != nil && state.Changing:
		return route.Unavailable
	}
	return route.Open
}

// roleOf takes the engine's own word once it was asked: the sheet and the
// planner say what its role shall be, the engine what it is.
func roleOf(p *sheet.Pool, e *sheet.Engine, state *driver.EngineState, d *wire.Directive) route.Role {
	role := p.Roles.Fixed[e.Name]
	if d.GetRole() != "" {
		role = driver.Role(d.GetRole())
	}
	if state != nil && state.Role != "" {
		role = state.Role
	}
	switch role {
	case driver.RolePrefill:
		return route.Prefill
	case driver.RoleDecode:
		return route.Decode
	}
	return route.Mixed
}

// servesOf lists what the engine has loaded; an engine that names nothing
// serves what the sheet says.
func servesOf(p *sheet.Pool, ep *endpoint) []route.Artifact {
	var arts []route.Artifact
	if ep.state != nil && len(ep.state.Loaded) > 0 {
		for _, l := range ep.state.Loaded {
			arts = append(arts, artifactOf(p, l))
		}
		return arts
	}
	arts = append(arts, route.Artifact{Model: p.Model, Version: p.Version})
	for _, a := range p.Adapters {
		arts = append(arts, route.Artifact{Model: p.Model, Version: p.Version, Adapter: a.Name})
	}
	return arts
}

// artifactOf is what requests ask for to get l. They name an adapter without
// its version, on the model version that the sheet has for the pool.
func artifactOf(p *sheet.Pool, l driver.Loaded) route.Artifact {
	if l.Adapter == "" {
		return route.Artifact{Model: l.Model, Version: l.Version}
	}
	return route.Artifact{Model: l.Model, Version: p.Version, Adapter: l.Adapter}
}
