// Package autoscale decides how many endpoints of a service to order in each
// availability zone, and how many of them are spot endpoints, which the provider may
// reclaim.
//
// Load pattern: endpoints are rented by the second. Spot endpoints cost a fraction of
// regular ones, but the provider reclaims them for a whole zone at once with a few
// seconds' notice, and may have no replacements there, or anywhere, for some time. A
// fleet that just carries the load then loses a third of its answers until replacements
// have been ordered.
//
// Approach: the fleet is large enough that the other zones carry the load if one zone
// is reclaimed. It consists of spot endpoints, spread evenly over the zones, and a few
// regular ones, and the shortfall of a zone without spot endpoints is ordered in other
// zones.
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
	// needWindow is how long the peak need is kept, and for how long the need must have
	// been measured before any endpoint is released: a mix that swings shifts back
	// sooner.
	needWindow = 30 * time.Second
	// minShrinkShare is the share of the fleet that must be surplus before any of it is
	// released. growthHeadroomShare is the share of the target size that is ordered in
	// addition, so that a steadily rising need isn't followed endpoint by endpoint.
	minShrinkShare      = 0.15
	growthHeadroomShare = 0.1
	// regularShare is the share of the endpoints that are regular ones, which can't be
	// reclaimed.
	regularShare = 0.2
	// burstHeadroomFactor times the need is the size of a fleet that can serve a burst.
	burstHeadroomFactor = 1.3
	// spotPriceLimit is the price of a spot endpoint, as a share of a regular one's, from
	// which its risk outweighs its lower price.
	spotPriceLimit = 0.6
	// spotRetryDelay is the time between two attempts to order spot endpoints in a zone
	// that had none.
	spotRetryDelay = 2 * time.Second
)

// ZonePool holds the endpoints of one availability zone that accept work.
type ZonePool struct {
	Zone    string
	Price   float64 // of a regular endpoint for a second
	Regular int     // number of endpoints that can't be reclaimed
	Spot    int     // number of endpoints that may be reclaimed
}

// Limits are the limits and the spot price of a service.
type Limits struct {
	Min, Max  int     // endpoints in each zone
	SpotPrice float64 // as a share of a regular endpoint's, zero if there are none
}

// useSpot reports whether spot endpoints are cheap enough to be used.
func (l Limits) useSpot() bool { return l.SpotPrice > 0 && l.SpotPrice < spotPriceLimit }

// Target is the number of endpoints that a zone should have.
type Target struct {
	Zone    string
	Regular int
	Spot    int
}

// Planner plans one service. It isn't safe for concurrent use.
type Planner struct {
	peakNeed     float64               // of the last needWindow, zero if not measured
	peakAt       clock.Time            // when peakNeed was measured
	measuredFrom clock.Time            // when the first need was measured
	size         int                   // target size of the whole fleet, zero if not set yet
	noSpotAt     map[string]clock.Time // by zone without spot endpoints: the last attempt
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{noSpotAt: map[string]clock.Time{}} }

// RecordSpotUnavailable records that an order for spot endpoints in a zone failed because
// there were none.
func (p *Planner) RecordSpotUnavailable(now clock.Time, zone string) { p.noSpotAt[zone] = now }

// RecordSpotAvailable records that a zone has spot endpoints.
func (p *Planner) RecordSpotAvailable(zone string) { delete(p.noSpotAt, zone) }

// spotUnavailable reports whether a zone had no spot endpoints at the last attempt.
func (p *Planner) spotUnavailable(zone string) bool {
	_, ok := p.noSpotAt[zone]
	return ok
}

// Plan returns the targets of all zones. need is how many endpoints the load keeps at their
// target utilization, zero if it isn't measured; the fleet then keeps its size.
func (p *Planner) Plan(now clock.Time, pools []ZonePool, l Limits, need float64) []Target {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b ZonePool) int { return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Zone, b.Zone)) })
	p.recordNeed(now, need)
	p.resize(now, pools, l)
	if !l.useSpot() {
		return regularTargets(pools, l, p.size)
	}
	return p.mixedTargets(now, pools, l)
}

// recordNeed updates the peak need.
func (p *Planner) recordNeed(now clock.Time, need float64) {
	if need > 0 && p.measuredFrom == 0 {
		p.measuredFrom = now
	}
	if need >= p.peakNeed || now.Sub(p.peakAt) > needWindow {
		p.peakNeed, p.peakAt = need, now
	}
}

// resize sets the target size of the whole fleet. It grows immediately and shrinks late:
// until the need has been measured for long enough, it doesn't fall below the size of the
// existing fleet.
func (p *Planner) resize(now clock.Time, pools []ZonePool, l Limits) {
	measured := p.measured(now)
	if !measured {
		p.size = max(p.size, existingSize(pools, l))
	}
	targetSize := p.peakNeed * zoneLossFactor(len(pools), l)
	switch {
	case targetSize > float64(p.size):
		p.size = int(math.Ceil((1 + growthHeadroomShare) * targetSize))
	case measured && targetSize > 0 && targetSize < (1-minShrinkShare)*float64(p.size):
		p.size = int(math.Ceil(targetSize))
	}
	p.size = min(max(p.size, l.Min*len(pools)), l.Max*len(pools))
}

// measured reports whether the need has been measured for long enough to release endpoints.
func (p *Planner) measured(now clock.Time) bool {
	return p.measuredFrom != 0 && now.Sub(p.measuredFrom) > needWindow
}

// existingSize estimates the target size that led to the existing endpoints. It isn't
// their number: while spot endpoints replace regular ones both exist, and a zone may have
// been reclaimed.
func existingSize(pools []ZonePool, l Limits) int {
	regular, spot := 0, 0
	for _, z := range pools {
		regular += z.Regular
		spot += z.Spot
	}
	fromRegular := zoneLossFactor(len(pools), l) * float64(regular)
	return int(math.Ceil(max(fromRegular, float64(spot)/(1-regularShare))))
}

// zoneLossFactor returns the target size of the fleet per unit of need, so that all zones
// but one carry the load.
func zoneLossFactor(zones int, l Limits) float64 {
	if !l.useSpot() || zones < 2 {
		return 1
	}
	return float64(zones) / float64(zones-1)
}

// regularTargets divides regular endpoints evenly between the zones. The remainder goes to
// the cheapest zones.
func regularTargets(pools []ZonePool, l Limits, size int) []Target {
	out := make([]Target, len(pools))
	for i, z := range pools {
		n := (size + len(pools) - 1 - i) / len(pools)
		out[i] = Target{Zone: z.Zone, Regular: min(max(n, l.Min), l.Max)}
	}
	return out
}

// mixedTargets divides the fleet into spot endpoints, the same number in each zone, and
// regular ones, mostly in the cheapest zone. A zone that had no spot endpoints is planned
// without new ones, also when the order is retried, so that its replacements in other
// zones stay until the retry succeeds.
func (p *Planner) mixedTargets(now clock.Time, pools []ZonePool, l Limits) []Target {
	regular := p.regularCount(pools, l)
	spotPerZone := ceilDiv(max(p.size-regular, 0), len(pools))
	out := make([]Target, len(pools))
	for i, z := range pools {
		out[i] = Target{Zone: z.Zone, Regular: max(l.Min, 1), Spot: spotPerZone}
		regular -= out[i].Regular
		if p.spotUnavailable(z.Zone) {
			out[i].Spot = z.Spot
		}
		if !p.measured(now) {
			out[i].Spot = max(out[i].Spot, z.Spot)
		}
	}
	out[0].Regular += max(regular, 0)
	for i := range out {
		out[i].Spot = min(out[i].Spot, max(l.Max-out[i].Regular, 0))
	}
	p.coverShortfall(pools, l, out)
	keepUntilReplaced(pools, l, out)
	for i, z := range pools {
		if p.spotUnavailable(z.Zone) && now.Sub(p.noSpotAt[z.Zone]) >= spotRetryDelay {
			out[i].Spot = max(out[i].Spot, min(spotPerZone, l.Max-out[i].Regular))
		}
	}
	return out
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// regularCount returns how many endpoints should be regular ones.
func (p *Planner) regularCount(pools []ZonePool, l Limits) int {
	n := int(math.Ceil(regularShare * float64(p.size)))
	return max(n, max(l.Min, 1)*len(pools))
}

// coverShortfall adds spot endpoints in other zones for the shortfall of zones that have
// none or no room. They may be reclaimed next, so it then adds regular ones if the fleet is
// still too small for the load.
func (p *Planner) coverShortfall(pools []ZonePool, l Limits, out []Target) {
	shortfall := p.size - totalPlanned(out)
	for i, z := range pools {
		if !p.spotUnavailable(z.Zone) {
			out[i].Spot += allocate(&shortfall, l, out[i])
		}
	}
	shortfall = int(math.Ceil(burstHeadroomFactor*p.peakNeed)) - totalPlanned(out)
	for i := range pools {
		out[i].Regular += allocate(&shortfall, l, out[i])
	}
}

// totalPlanned returns the total number of endpoints of the targets.
func totalPlanned(targets []Target) (n int) {
	for _, t := range targets {
		n += t.Regular + t.Spot
	}
	return n
}

// allocate returns how many of the missing endpoints a zone has room for, and subtracts
// them from the shortfall.
func allocate(shortfall *int, l Limits, t Target) int {
	n := max(min(*shortfall, l.Max-t.Regular-t.Spot), 0)
	*shortfall -= n
	return n
}

// keepUntilReplaced keeps surplus endpoints of a zone until their replacements have
// arrived, and the sum of both kinds within the limits.
func keepUntilReplaced(pools []ZonePool, l Limits, out []Target) {
	awaited := 0
	for i, z := range pools {
		out[i].Spot = max(min(out[i].Spot, l.Max-max(out[i].Regular, z.Regular)), 0)
		awaited += max(out[i].Spot-z.Spot, 0)
	}
	for i, z := range pools {
		kept := min(max(z.Spot-out[i].Spot, 0), awaited)
		out[i].Spot += kept
		awaited -= kept
	}
	for i, z := range pools {
		kept := min(max(z.Regular-out[i].Regular, 0), awaited)
		out[i].Regular += kept
		awaited -= kept
	}
}
