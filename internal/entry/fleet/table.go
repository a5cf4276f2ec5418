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

// Assumed values of an endpoint before its first load report. They matter only for the first
// seconds.
const (
	defaultSlots       = 32
	defaultPrefillRate = 10_000 // tokens a second
	defaultDecodeStep  = 20 * time.Millisecond
	serviceSlots       = 32
	serviceBase        = 10 * time.Millisecond
	// engineBase is the time that a request takes at an idle engine besides processing its
	// tokens: it waits for the running decode step and then takes one itself. Without it the
	// concurrency limit would compare a short prompt with its prefill time alone, take an idle
	// engine for an overloaded one, and shrink.
	engineBase = 2 * defaultDecodeStep
)

// ServicePool returns the name of the pool of a plain service's endpoints.
func ServicePool(service string) string { return "service/" + service }

// publish publishes the index if it has changed, and a new routing table if any endpoint in it
// has changed.
func (o *owner) publish() {
	if o.sheet == nil {
		return
	}
	if o.indexDirty {
		o.indexDirty = false
		o.publishIndex()
	}
	endpoints := o.tableEndpoints()
	if reflect.DeepEqual(endpoints, o.published) {
		return
	}
	o.published = endpoints
	o.f.router.Publish(o.f.clk.Now(), route.NewTable(o.f.cfg, endpoints))
}

func (o *owner) publishIndex() {
	idx := &index{
		engines: map[string]*Engine{}, services: map[string]driver.Service{},
		sheet: o.sheet, version: o.version,
	}
	for name, ep := range o.endpoints {
		if ep.engine != nil {
			idx.engines[name] = ep.engine
		} else {
			idx.services[name] = ep.service
		}
	}
	o.f.index.Store(idx)
}

func (o *owner) tableEndpoints() []route.Endpoint {
	engines := map[string]*sheet.Engine{}
	for i := range o.sheet.Engines {
		engines[o.sheet.Engines[i].Name] = &o.sheet.Engines[i]
	}
	var endpoints []route.Endpoint
	for i := range o.sheet.Pools {
		p := &o.sheet.Pools[i]
		for _, name := range p.Engines {
			if e, ep := engines[name], o.endpoints[name]; e != nil && ep != nil {
				endpoints = append(endpoints, o.engineEndpoint(p, e, ep))
			}
		}
	}
	for i := range o.sheet.Services {
		s := &o.sheet.Services[i]
		for j := range s.Endpoints {
			if ep := o.endpoints[s.Endpoints[j].Name]; ep != nil {
				endpoints = append(endpoints, serviceEndpoint(s, &s.Endpoints[j], ep))
			}
		}
	}
	slices.SortFunc(endpoints, func(a, b route.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return endpoints
}

func serviceEndpoint(s *sheet.Service, e *sheet.ServiceEndpoint, ep *endpoint) route.Endpoint {
	r := route.Endpoint{
		Name: e.Name, Pool: ServicePool(s.Name), Zone: e.Zone, Slots: ep.slots, Base: serviceBase,
	}
	if ep.failedPolls >= maxFailedPolls {
		r.State = route.Suspect
	}
	return r
}

func (o *owner) engineEndpoint(p *sheet.Pool, e *sheet.Engine, ep *endpoint) route.Endpoint {
	d, state := o.directiveOf(e.Name), o.freshState(e.Name, ep)
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

// roundRate rounds a measured rate down to two significant digits, which is precise enough for
// routing, so that small changes don't publish new tables.
func roundRate(rate float64) float64 {
	scale := 1.0
	for rate/scale >= 100 {
		scale *= 10
	}
	return max(1, float64(int(rate/scale))*scale)
}

// stateOf combines the sheet, the directive and the engine's own report. A directive takes
// precedence over polls: an engine that is about to change must get no new work although it still
// answers as before.
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
	case ep.failedPolls >= maxFailedPolls:
		return route.Suspect
	case state != nil && state.Changing:
		return route.Unavailable
	}
	return route.Open
}

// roleOf returns the role that the engine reports. If it has reported none, roleOf returns the role
// that the directive, or else the sheet, assigns to it.
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

// servesOf lists the artifacts that the engine reports as loaded. If it reports none, it is
// assumed to serve those of the sheet.
func servesOf(p *sheet.Pool, ep *endpoint) []route.Artifact {
	var artifacts []route.Artifact
	if ep.state != nil && len(ep.state.Loaded) > 0 {
		for _, l := range ep.state.Loaded {
			artifacts = append(artifacts, artifactOf(p, l))
		}
		return artifacts
	}
	artifacts = append(artifacts, route.Artifact{Model: p.Model, Version: p.Version})
	for _, a := range p.Adapters {
		artifacts = append(artifacts, route.Artifact{Model: p.Model, Version: p.Version, Adapter: a.Name})
	}
	return artifacts
}

// artifactOf returns the artifact by which requests address l. Requests name an adapter without
// its version, on the model version that the sheet has for the pool.
func artifactOf(p *sheet.Pool, l driver.Loaded) route.Artifact {
	if l.Adapter == "" {
		return route.Artifact{Model: l.Model, Version: l.Version}
	}
	return route.Artifact{Model: l.Model, Version: p.Version, Adapter: l.Adapter}
}
