// Package autoscale decides how many endpoints of a service are ordered, in which
// availability zone, and which of them may be reclaimed.
//
// Load pattern: a fleet is rented by the second, and spot endpoints, which cost a
// fraction of the others, are taken back a whole zone at once with a few seconds'
// notice, while no others are to be had there, or anywhere, for a while. A fleet that
// just carries the load then loses a third of its answers until it is ordered anew. So
// as many spot endpoints stand in each zone that the other zones carry the load
// without it, beside a few that can't be reclaimed, and a zone that is empty is made
// up for elsewhere.
//
// The package does no I/O and reads no clock.
package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// needSpan is how long the greatest need is remembered, and how long a need must
	// have been measured until any endpoint is given back: a mix that swings comes
	// back sooner.
	needSpan = 30 * time.Second
	// shrinkShare of the fleet must be too much before any of it is given back, and
	// growShare of what is wanted is ordered beyond it, so that a need that rises
	// steadily isn't followed endpoint by endpoint.
	shrinkShare = 0.15
	growShare   = 0.1
	// regularShare of the endpoints can't be reclaimed.
	regularShare = 0.2
	// comfort times the need is the fleet that bears a burst.
	comfort = 1.3
	// worthwhile is the price of a spot endpoint, as a share of another's, from which
	// it isn't worth its risk.
	worthwhile = 0.6
	// askAgain is the time between two questions to a zone that had no spot endpoints.
	askAgain = 2 * time.Second
)

// ZonePool is what takes work in one availability zone.
type ZonePool struct {
	Zone    string
	Price   float64 // of a regular endpoint's second
	Regular int     // endpoints that can't be reclaimed
	Spot    int
}

// Limits of a service.
type Limits struct {
	Min, Max  int     // endpoints of a zone
	SpotPrice float64 // as a share of a regular endpoint's, zero if there are none
}

// spot tells whether spot endpoints are worth having.
func (l Limits) spot() bool { return l.SpotPrice > 0 && l.SpotPrice < worthwhile }

// Target is how many endpoints a zone is to have.
type Target struct {
	Zone    string
	Regular int
	Spot    int
}

// Planner plans one service. It isn't safe for concurrent use.
type Planner struct {
	need    float64    // greatest need of the last needSpan, zero if not measured
	needAt  clock.Time // when it was measured
	since   clock.Time // when the first need was measured
	size    int        // endpoints that are wanted in all, zero if not known
	emptyAt map[string]clock.Time
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{emptyAt: map[string]clock.Time{}} }

// RecordSpotUnavailable notes that a zone had no spot endpoints to give.
func (p *Planner) RecordSpotUnavailable(now clock.Time, zone string) { p.emptyAt[zone] = now }

// RecordSpotAvailable notes that a zone gives spot endpoints.
func (p *Planner) RecordSpotAvailable(zone string) { delete(p.emptyAt, zone) }

// empty tells whether a zone had none when it was asked last.
func (p *Planner) empty(zone string) bool {
	_, ok := p.emptyAt[zone]
	return ok
}

// Plan returns the targets of all zones. need is how many endpoints the load keeps well
// busy, zero if it isn't measured; the fleet then keeps the size that it has.
func (p *Planner) Plan(now clock.Time, pools []ZonePool, l Limits, need float64) []Target {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b ZonePool) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Zone, b.Zone)) })
	p.note(now, need)
	p.resize(now, pools, l)
	if !l.spot() {
		return spread(pools, l, p.size)
	}
	return p.mixed(now, pools, l)
}

// note remembers the greatest need.
func (p *Planner) note(now clock.Time, need float64) {
	if need > 0 && p.since == 0 {
		p.since = now
	}
	if need >= p.need || now.Sub(p.needAt) > needSpan {
		p.need, p.needAt = need, now
	}
}

// resize decides the size of the whole fleet. It grows at once and shrinks late: until
// the need has been measured for long enough, the fleet that stands is taken for it.
func (p *Planner) resize(now clock.Time, pools []ZonePool, l Limits) {
	known := p.known(now)
	if !known {
		p.size = max(p.size, standing(pools, l))
	}
	wanted := p.need * margin(len(pools), l)
	switch {
	case wanted > float64(p.size):
		p.size = int(math.Ceil((1 + growShare) * wanted))
	case known && wanted > 0 && wanted < (1-shrinkShare)*float64(p.size):
		p.size = int(math.Ceil(wanted))
	}
	p.size = min(max(p.size, l.Min*len(pools)), l.Max*len(pools))
}

// known tells whether the need has been measured for long enough to give endpoints back.
func (p *Planner) known(now clock.Time) bool { return p.since != 0 && now.Sub(p.since) > needSpan }

// standing is the size of the fleet of which the pools are a part: while spot endpoints
// replace the regular ones, both stand, and a zone may have been reclaimed.
func standing(pools []ZonePool, l Limits) int {
	regular, spot := 0, 0
	for _, z := range pools {
		regular += z.Regular
		spot += z.Spot
	}
	before := margin(len(pools), l) * float64(regular)
	return int(math.Ceil(max(before, float64(spot)/(1-regularShare))))
}

// margin is the size of the fleet over the need: all zones but one are to carry it.
func margin(zones int, l Limits) float64 {
	if !l.spot() || zones < 2 {
		return 1
	}
	return float64(zones) / float64(zones-1)
}

// spread divides regular endpoints evenly, the cheapest zones first.
func spread(pools []ZonePool, l Limits, size int) []Target {
	out := make([]Target, len(pools))
	for i, z := range pools {
		n := (size + len(pools) - 1 - i) / len(pools)
		out[i] = Target{Zone: z.Zone, Regular: min(max(n, l.Min), l.Max)}
	}
	return out
}

// mixed divides the fleet into spot endpoints, as many in each zone, and regular ones in
// the cheapest. A zone that had no spot ones is expected to have none also when it is
// asked again: what makes up for it stands meanwhile.
func (p *Planner) mixed(now clock.Time, pools []ZonePool, l Limits) []Target {
	regular := p.regular(pools, l)
	share := ceilDiv(max(p.size-regular, 0), len(pools))
	out := make([]Target, len(pools))
	for i, z := range pools {
		out[i] = Target{Zone: z.Zone, Regular: max(l.Min, 1), Spot: share}
		regular -= out[i].Regular
		if p.empty(z.Zone) {
			out[i].Spot = z.Spot
		}
		if !p.known(now) {
			out[i].Spot = max(out[i].Spot, z.Spot)
		}
	}
	out[0].Regular += max(regular, 0)
	for i := range out {
		out[i].Spot = min(out[i].Spot, max(l.Max-out[i].Regular, 0))
	}
	p.makeUp(pools, l, out)
	keepUntilReplaced(pools, l, out)
	for i, z := range pools {
		if p.empty(z.Zone) && now.Sub(p.emptyAt[z.Zone]) >= askAgain {
			out[i].Spot = max(out[i].Spot, min(share, l.Max-out[i].Regular))
		}
	}
	return out
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// regular is how many endpoints are to be regular ones.
func (p *Planner) regular(pools []ZonePool, l Limits) int {
	n := int(math.Ceil(regularShare * float64(p.size)))
	return max(n, max(l.Min, 1)*len(pools))
}

// makeUp orders spot endpoints, which may be reclaimed next, for what the fleet lacks in
// zones that give none or have no room, and regular ones for what the load needs then.
func (p *Planner) makeUp(pools []ZonePool, l Limits, out []Target) {
	lacking := p.size - planned(out)
	for i, z := range pools {
		if !p.empty(z.Zone) {
			out[i].Spot += add(&lacking, l, out[i])
		}
	}
	lacking = int(math.Ceil(comfort*p.need)) - planned(out)
	for i := range pools {
		out[i].Regular += add(&lacking, l, out[i])
	}
}

// planned is how many endpoints the targets are.
func planned(out []Target) (n int) {
	for _, t := range out {
		n += t.Regular + t.Spot
	}
	return n
}

// add returns how many of the lacking endpoints a zone has room for.
func add(lacking *int, l Limits, t Target) int {
	n := max(min(*lacking, l.Max-t.Regular-t.Spot), 0)
	*lacking -= n
	return n
}

// keepUntilReplaced keeps endpoints of which a zone has too many until those that
// replace them have come, and the two kinds together within the limits.
func keepUntilReplaced(pools []ZonePool, l Limits, out []Target) {
	lacking := 0
	for i, z := range pools {
		out[i].Spot = max(min(out[i].Spot, l.Max-max(out[i].Regular, z.Regular)), 0)
		lacking += max(out[i].Spot-z.Spot, 0)
	}
	for i, z := range pools {
		kept := min(max(z.Spot-out[i].Spot, 0), lacking)
		out[i].Spot += kept
		lacking -= kept
	}
	for i, z := range pools {
		kept := min(max(z.Regular-out[i].Regular, 0), lacking)
		out[i].Regular += kept
		lacking -= kept
	}
}
