// Package orders carries out changes of engines' stages. It runs in every
// process; the one that holds the authority acts.
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
	// period is the time between two looks, and ordersAtOnce how many engines are
	// ordered at a look at most.
	period       = 500 * time.Millisecond
	ordersAtOnce = 4
	// callTimeout bounds each call to an engine. An order must have left
	// within the time that authority counts it as under way.
	callTimeout = 800 * time.Millisecond
)

// Engine takes orders.
type Engine interface {
	// Report returns the engine's own word on its state.
	Report(ctx context.Context, e *catalog.Endpoint) (Report, error)
	// Order asks the engine to change. The engine carries it out only if the
	// number of orders that it has accepted is still r.Accepted.
	Order(ctx context.Context, e *catalog.Endpoint, to catalog.Stage, r Report, fence int64) error
}

// Report is what an engine says of itself.
type Report struct {
	Stage    catalog.Stage
	Busy     bool  // an order is being carried out
	Accepted int64 // orders accepted since its start
	Leaving  bool  // it takes no new work
}

// ErrRefused means that the engine didn't take the order.
var ErrRefused = errors.New("order refused")

// Unit is the kernel unit.
type Unit struct {
	Catalog   *catalog.Store
	Authority *authority.Authority
	Engine    Engine
	Clock     clock.Clock
	// Load tells how many requests are at an engine, as far as known.
	Load func(id string) int
	// Demand tells what the traffic needs.
	Demand func() stages.Demand
	// Ordered is told of each engine that was ordered to change.
	Ordered func(id string)
	// Leaves is told of each engine whose report says that it leaves.
	Leaves func(e *catalog.Endpoint)

	planners map[string]*stages.Planner

	mu    sync.Mutex
	heard map[string]clock.Time // engines that another VM has ordered to change
}

// Heard notes that another VM has ordered an engine to change.
func (u *Unit) Heard(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.heard == nil {
		u.heard = map[string]clock.Time{}
	}
	u.heard[id] = u.Clock.Now()
}

// takeHeard hands what was heard to the planner of a service's engines.
func (u *Unit) takeHeard(p *stages.Planner, open []*catalog.Endpoint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range open {
		at, ok := u.heard[e.ID]
		if !ok {
			continue
		}
		delete(u.heard, e.ID)
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
	return clock.Every(ctx, period, func() { u.look(ctx) })
}

// look plans also where another VM gives the orders: how long a split has been off
// is known then by whichever VM has to act next.
func (u *Unit) look(ctx context.Context) {
	v := u.Catalog.View()
	if v.Config == nil {
		return
	}
	for name, s := range v.Config.Services {
		if s.Engine != nil {
			u.lookAt(ctx, name, s.Engine.Slots, v.Available(name))
		}
	}
}

func (u *Unit) lookAt(ctx context.Context, service string, slots int, open []*catalog.Endpoint) {
	p := u.planners[service]
	if p == nil {
		p = stages.NewPlanner()
		u.planners[service] = p
	}
	engines := make([]stages.Engine, len(open))
	for i, e := range open {
		engines[i] = stages.Engine{ID: e.ID, Stage: e.Stage, Load: u.Load(e.ID)}
	}
	d := u.Demand()
	d.SlotsPerEngine = slots
	u.takeHeard(p, open)
	for range ordersAtOnce {
		c, wanted := p.Plan(u.Clock.Now(), slices.Clone(engines), d)
		if _, may := u.Authority.May(u.Clock.Now()); !wanted || !may {
			return
		}
		for _, e := range open {
			if e.ID == c.ID {
				u.order(ctx, p, e, c)
			}
		}
	}
}

// order asks for the engine's state first: an engine that is busy, or has
// changed already, is left alone, and the number of its orders guards against
// an order that is carried out late, after others.
func (u *Unit) order(ctx context.Context, p *stages.Planner, e *catalog.Endpoint, c stages.Change) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	entry := log.WithField("endpoint", e.ID).WithField("to", c.To)
	r, err := u.Engine.Report(ctx, e)
	if r.Leaving {
		u.Leaves(e)
	}
	if err != nil || r.Busy || r.Leaving || r.Stage == c.To {
		p.RecordOrder(u.Clock.Now(), c) // left alone for a while
		entry.WithError(err).WithField("busy", r.Busy).WithField("leaving", r.Leaving).WithField("stage", r.Stage).Info("engine not ordered")
		return
	}
	fence, ok := u.Authority.May(u.Clock.Now())
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err = u.Engine.Order(ctx, e, c.To, r, fence)
	p.RecordOrder(u.Clock.Now(), c)
	if err == nil {
		u.Ordered(e.ID)
	}
	entry.WithError(err).WithField("fence", fence).WithField("accepted", r.Accepted).Info("engine ordered")
}
