// Package scaling orders endpoints for services whose endpoints are rented by the second. It runs
// in every process; only the leader acts.
package scaling

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/autoscale"
)

const (
	// planInterval is the interval between passes.
	planInterval = 500 * time.Millisecond
	// callTimeout bounds a call to the provider. An order must have been sent within the time for
	// which package authority counts it as in flight.
	callTimeout = 800 * time.Millisecond
	// retryMargin is added to the boot time of an endpoint to give the time after which an order
	// without effect is retried.
	retryMargin = 4 * time.Second
)

// ErrNoneAvailable means that a zone currently has no endpoints of the requested kind.
var ErrNoneAvailable = errors.New("none available")

// Order requests a number of endpoints of one kind in one zone.
type Order struct {
	Service string
	Zone    string
	Count   int
	Spot    bool
}

// orderKey identifies the orders that replace each other's count.
type orderKey struct {
	service, zone string
	spot          bool
}

// Provider rents out endpoints.
type Provider interface {
	// Scale orders endpoints. The count replaces that of earlier orders of the same kind, service
	// and zone. It fails with ErrNoneAvailable if there are none.
	Scale(ctx context.Context, o Order, fence int64) error
}

// Unit plans and sends orders for endpoints. It is a kernel unit.
type Unit struct {
	Catalog  *catalog.Store
	Provider Provider
	Clock    clock.Clock
	// RequiredEndpoints returns the number of endpoints of a service that the load keeps well
	// utilized, zero if unknown.
	RequiredEndpoints func(service string) float64
	// MayAct returns the fencing token to act with, and whether this process may act.
	MayAct func() (fence int64, ok bool)

	services map[string]*serviceState
	answered map[orderKey]answeredOrder
}

// serviceState is the recorded state of one service.
type serviceState struct {
	planner *autoscale.Planner
	zones   []string // where it has had endpoints
}

// answeredOrder is the last order that the provider accepted.
type answeredOrder struct {
	count int
	at    clock.Time
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "scaling" }

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	u.resetOrders()
	return clock.Every(ctx, planInterval, func() { u.runPass(ctx) })
}

// resetOrders discards the orders of an earlier term: another VM may have sent others since.
func (u *Unit) resetOrders() { u.answered = map[orderKey]answeredOrder{} }

// runPass plans also on VMs that may not send orders, so that whichever VM has to act next has
// already tracked the recent demand.
func (u *Unit) runPass(ctx context.Context) {
	v := u.Catalog.View()
	if v.Config == nil {
		return
	}
	_, mayAct := u.MayAct()
	if !mayAct {
		u.resetOrders()
	}
	for _, s := range v.Config.Services {
		if s.Scaling != nil {
			u.planService(ctx, v, s, mayAct)
		}
	}
}

func (u *Unit) planService(ctx context.Context, v *catalog.View, s *catalog.Service, mayAct bool) {
	if u.services == nil {
		u.services = map[string]*serviceState{}
	}
	state := u.services[s.Name]
	if state == nil {
		state = &serviceState{planner: autoscale.NewPlanner()}
		u.services[s.Name] = state
	}
	pools := state.pools(v, s)
	if len(pools) == 0 {
		return
	}
	l := autoscale.Limits{Min: s.Scaling.Min, Max: s.Scaling.Max, SpotPrice: s.Scaling.SpotPrice}
	required := u.RequiredEndpoints(s.Name)
	for _, t := range state.planner.Plan(u.Clock.Now(), pools, l, required) {
		if !mayAct {
			continue
		}
		i := slices.IndexFunc(pools, func(p autoscale.ZonePool) bool { return p.Zone == t.Zone })
		u.order(ctx, s, Order{s.Name, t.Zone, t.Spot, true}, pools[i].Spot, required)
		u.order(ctx, s, Order{s.Name, t.Zone, t.Regular, false}, pools[i].Regular, required)
	}
}

// pools returns the zones in which the service has had endpoints, with the number of endpoints that
// accept work now.
func (k *serviceState) pools(v *catalog.View, s *catalog.Service) []autoscale.ZonePool {
	for _, e := range v.All() {
		if e.Service == s.Name && !slices.Contains(k.zones, e.Zone) {
			k.zones = append(k.zones, e.Zone)
		}
	}
	pools := make([]autoscale.ZonePool, len(k.zones))
	for i, zone := range k.zones {
		pools[i] = autoscale.ZonePool{Zone: zone, Price: cmp.Or(s.Scaling.ZonePrices[zone], 1)}
	}
	for _, e := range v.Available(s.Name) {
		i := slices.Index(k.zones, e.Zone)
		if e.Spot {
			pools[i].Spot++
		} else {
			pools[i].Regular++
		}
	}
	return pools
}

// order sends an order if it differs from the last one or if that had no effect.
func (u *Unit) order(ctx context.Context, s *catalog.Service, o Order, serving int, required float64) {
	now := u.Clock.Now()
	key := orderKey{o.Service, o.Zone, o.Spot}
	last, known := u.answered[key]
	switch {
	case !known && serving == o.Count:
		return
	case known && last.count == o.Count && (serving >= o.Count || now.Sub(last.at) < s.Scaling.BootTime+retryMargin):
		return
	}
	fence, ok := u.MayAct()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := u.Provider.Scale(ctx, o, fence)
	log.WithError(err).WithField("service", o.Service).WithField("zone", o.Zone).WithField("spot", o.Spot).
		WithField("count", o.Count).WithField("standing", serving).WithField("need", math.Round(required)).WithField("fence", fence).Info("endpoints ordered")
	switch {
	case err == nil:
		u.answered[key] = answeredOrder{o.Count, now}
		if o.Spot && o.Count > serving {
			u.services[o.Service].planner.RecordSpotAvailable(o.Zone)
		}
	case errors.Is(err, ErrNoneAvailable):
		u.services[o.Service].planner.RecordSpotUnavailable(now, o.Zone)
		delete(u.answered, key)
	}
}
