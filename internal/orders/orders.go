// Package orders sends orders that change the stages of engines. It runs in every process; only the
// one that has the authority acts.
package orders

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/authority"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/stages"
)

const (
	// planInterval is the interval between passes, and maxOrdersPerPass the maximum number of
	// engines that one pass sends an order.
	planInterval     = 500 * time.Millisecond
	maxOrdersPerPass = 4
	// callTimeout bounds each call to an engine. An order must have been sent within the time for
	// which package authority counts it as in flight.
	callTimeout = 800 * time.Millisecond
)

// Engine requests the reports of engines and sends them orders.
type Engine interface {
	// Report returns the state that the engine itself reports.
	Report(ctx context.Context, e *catalog.Endpoint) (Report, error)
	// Order sends the engine an order to change its stage. The engine carries it out only if the
	// number of orders that it has accepted is still r.Accepted.
	Order(ctx context.Context, e *catalog.Endpoint, to catalog.Stage, r Report, fence int64) error
}

// Report is the state that an engine reports.
type Report struct {
	Stage    catalog.Stage
	Busy     bool  // an order is being carried out
	Accepted int64 // orders accepted since its start
	Leaving  bool  // accepts no new work
}

// ErrRefused means that the engine didn't accept the order.
var ErrRefused = errors.New("order refused")

// Unit plans and sends orders. It is a kernel unit.
type Unit struct {
	Catalog   *catalog.Store
	Authority *authority.Authority
	Engine    Engine
	Clock     clock.Clock
	// Load returns the recorded number of requests at an engine.
	Load func(id string) int
	// Demand returns the engines and streams that the current traffic needs.
	Demand func() stages.Demand
	// OnOrder is called for each engine that accepted an order.
	OnOrder func(id string)
	// OnEndpointLeaving is called for each engine whose report says that it is leaving.
	OnEndpointLeaving func(e *catalog.Endpoint)

	planners map[string]*stages.Planner

	mu         sync.Mutex
	peerOrders map[string]clock.Time // when other VMs ordered these engines to change, by endpoint ID
}

// RecordPeerOrder records that another VM has ordered an engine to change.
func (u *Unit) RecordPeerOrder(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peerOrders == nil {
		u.peerOrders = map[string]clock.Time{}
	}
	u.peerOrders[id] = u.Clock.Now()
}

// applyPeerOrders passes the recorded orders of other VMs to the planner of a service's engines.
func (u *Unit) applyPeerOrders(p *stages.Planner, open []*catalog.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range open {
		at, ok := u.peerOrders[e.ID]
		if !ok {
			continue
		}
		delete(u.peerOrders, e.ID)
		p.RecordOrder(at, stages.Change{ID: e.ID, To: otherStage(e.Stage)})
	}
}

func otherStage(s catalog.Stage) catalog.Stage {
	if s == catalog.Prefill {
		return catalog.Decode
	}
	return catalog.Prefill
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "orders" }

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	u.planners = map[string]*stages.Planner{}
	return clock.Every(ctx, planInterval, func() { u.runPass(ctx) })
}

// runPass plans also on VMs that may not send orders, so that whichever VM has to act next has
// already tracked for how long a split has been off target.
func (u *Unit) runPass(ctx context.Context) {
	v := u.Catalog.View()
	if v.Config == nil {
		return
	}
	for name, s := range v.Config.Services {
		if s.Engine != nil {
			u.planService(ctx, name, s.Engine.Slots, v.Available(name))
		}
	}
}

func (u *Unit) planService(ctx context.Context, service string, slots int, open []*catalog.Endpoint) {
	p := u.planners[service]
	if p == nil {
		p = stages.NewPlanner()
		u.planners[service] = p
	}
	engines := make([]stages.Engine, len(open))
	for i, e := range open {
		engines[i] = stages.Engine{ID: e.ID, Version: e.Version, Stage: e.Stage, Load: u.Load(e.ID)}
	}
	d := u.Demand()
	d.SlotsPerEngine = slots
	u.applyPeerOrders(p, open)
	for range maxOrdersPerPass {
		c, wanted := p.Plan(u.Clock.Now(), slices.Clone(engines), d)
		if _, mayAct := u.Authority.MayAct(u.Clock.Now()); !wanted || !mayAct {
			return
		}
		for _, e := range open {
			if e.ID == c.ID {
				u.order(ctx, p, e, c)
			}
		}
	}
}

// order first requests the engine's state. An engine that is busy, or has changed already, gets no
// order; the number of accepted orders guards against an order that is carried out late, after
// others.
func (u *Unit) order(ctx context.Context, p *stages.Planner, e *catalog.Endpoint, c stages.Change) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	entry := log.WithField("endpoint", e.ID).WithField("to", c.To)
	r, err := u.Engine.Report(ctx, e)
	if r.Leaving {
		u.OnEndpointLeaving(e)
	}
	if err != nil || r.Busy || r.Leaving || r.Stage == c.To {
		p.RecordOrder(u.Clock.Now(), c) // no order to this engine for a while
		entry.WithError(err).WithField("busy", r.Busy).WithField("leaving", r.Leaving).WithField("stage", r.Stage).Info("engine order skipped")
		return
	}
	fence, ok := u.Authority.MayAct(u.Clock.Now())
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err = u.Engine.Order(ctx, e, c.To, r, fence)
	p.RecordOrder(u.Clock.Now(), c)
	if err == nil {
		u.OnOrder(e.ID)
	}
	entry.WithError(err).WithField("fence", fence).WithField("accepted", r.Accepted).Info("engine ordered")
}
