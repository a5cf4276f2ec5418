// Package scaling orders endpoints of services that are rented by the second. It runs in
// every process; the one that holds the duty acts.
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
	// period is the time between two looks.
	period = 500 * time.Millisecond
	// callTimeout bounds a call; an order must have left within the time that the
	// authority counts a call as under way.
	callTimeout = 800 * time.Millisecond
	// againAfter is how much longer than an endpoint takes to come an order is given
	// before it is repeated.
	againAfter = 4 * time.Second
)

// ErrNoneAvailable means that a zone has no endpoints of the kind to give now.
var ErrNoneAvailable = errors.New("none available")

// Order asks for a number of endpoints of one kind in one zone.
type Order struct {
	Service string
	Zone    string
	Count   int
	Spot    bool
}

// subject is what an order replaces the count of.
type subject struct {
	service, zone string
	spot          bool
}

// Provider rents endpoints out.
type Provider interface {
	// Scale orders endpoints. The count replaces that of earlier orders of the same
	// kind, service and zone. It fails with ErrNoneAvailable if there are none.
	Scale(ctx context.Context, o Order, fence int64) error
}

// Unit is the kernel unit.
type Unit struct {
	Catalog  *catalog.Store
	Provider Provider
	Clock    clock.Clock
	// Need is how many endpoints of a service the load keeps well busy, zero if it
	// isn't known.
	Need func(service string) float64
	// May returns the fencing token to act with, and whether this process may act.
	May func() (fence int64, ok bool)

	services map[string]*service
	given    map[subject]given
}

// service is what is remembered of a service.
type service struct {
	planner *autoscale.Planner
	zones   []string // in which it has had endpoints
}

// given is the last order that was answered.
type given struct {
	count int
	at    clock.Time
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "scaling" }

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	u.forget()
	return clock.Every(ctx, period, func() { u.look(ctx) })
}

// forget drops the orders of an earlier holding: another VM may have given others since.
func (u *Unit) forget() { u.given = map[subject]given{} }

// look plans also where another VM gives the orders, so that the need of the last while
// is known then by whichever VM has to act next.
func (u *Unit) look(ctx context.Context) {
	v := u.Catalog.View()
	if v.Config == nil {
		return
	}
	_, may := u.May()
	if !may {
		u.forget()
	}
	for _, s := range v.Config.Services {
		if s.Scaling != nil {
			u.lookAt(ctx, v, s, may)
		}
	}
}

func (u *Unit) lookAt(ctx context.Context, v *catalog.View, s *catalog.Service, may bool) {
	if u.services == nil {
		u.services = map[string]*service{}
	}
	known := u.services[s.Name]
	if known == nil {
		known = &service{planner: autoscale.NewPlanner()}
		u.services[s.Name] = known
	}
	pools := known.pools(v, s)
	if len(pools) == 0 {
		return
	}
	l := autoscale.Limits{Min: s.Scaling.Min, Max: s.Scaling.Max, SpotPrice: s.Scaling.SpotPrice}
	need := u.Need(s.Name)
	for _, t := range known.planner.Plan(u.Clock.Now(), pools, l, need) {
		if !may {
			continue
		}
		i := slices.IndexFunc(pools, func(p autoscale.ZonePool) bool { return p.Zone == t.Zone })
		u.order(ctx, s, Order{s.Name, t.Zone, t.Spot, true}, pools[i].Spot, need)
		u.order(ctx, s, Order{s.Name, t.Zone, t.Regular, false}, pools[i].Regular, need)
	}
}

// pools returns the zones in which the service has had endpoints, with those that take
// work now.
func (k *service) pools(v *catalog.View, s *catalog.Service) []autoscale.ZonePool {
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

// order gives an order if the last one was another, or has had no effect.
func (u *Unit) order(ctx context.Context, s *catalog.Service, o Order, standing int, need float64) {
	now := u.Clock.Now()
	sub := subject{o.Service, o.Zone, o.Spot}
	last, known := u.given[sub]
	switch {
	case !known && standing == o.Count:
		return
	case known && last.count == o.Count && (standing >= o.Count || now.Sub(last.at) < s.Scaling.BootTime+againAfter):
		return
	}
	fence, ok := u.May()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := u.Provider.Scale(ctx, o, fence)
	log.WithError(err).WithField("service", o.Service).WithField("zone", o.Zone).WithField("spot", o.Spot).
		WithField("count", o.Count).WithField("standing", standing).WithField("need", math.Round(need)).WithField("fence", fence).Info("endpoints ordered")
	switch {
	case err == nil:
		u.given[sub] = given{o.Count, now}
		if o.Spot && o.Count > standing {
			u.services[o.Service].planner.RecordSpotAvailable(o.Zone)
		}
	case errors.Is(err, ErrNoneAvailable):
		u.services[o.Service].planner.RecordSpotUnavailable(now, o.Zone)
		delete(u.given, sub)
	}
}
