package autoscale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

var limits = Limits{Min: 1, Max: 60, SpotPrice: 0.2}

// region simulates a provider: ordered endpoints arrive after bootTime, and a zone may have
// no spot endpoints.
type region struct {
	now     clock.Time
	planner *Planner
	limits  Limits
	pools   []ZonePool
	pending []arrival
	noSpot  map[string]bool
	orders  int // orders given, including cancellations
}

type arrival struct {
	at   clock.Time
	zone int
	spot bool
	n    int
}

const (
	bootTime     = 4 * time.Second
	planInterval = 500 * time.Millisecond
)

func newRegion(regular int) *region {
	return &region{
		now: clock.Time(time.Hour), planner: NewPlanner(), limits: limits, noSpot: map[string]bool{},
		pools: []ZonePool{{"a", 1, regular, 0}, {"b", 0.8, regular, 0}, {"c", 1.25, regular, 0}},
	}
}

// run applies the plans for the given time, with a constant need.
func (r *region) run(span time.Duration, need float64) {
	for end := r.now.Add(span); r.now < end; r.now = r.now.Add(planInterval) {
		r.arrive()
		for _, t := range r.planner.Plan(r.now, r.pools, r.limits, need) {
			for i := range r.pools {
				if r.pools[i].Zone == t.Zone {
					r.apply(i, t)
				}
			}
		}
	}
}

func (r *region) arrive() {
	var pending []arrival
	for _, a := range r.pending {
		switch {
		case a.at > r.now:
			pending = append(pending, a)
		case a.spot:
			r.pools[a.zone].Spot += a.n
		default:
			r.pools[a.zone].Regular += a.n
		}
	}
	r.pending = pending
}

func (r *region) apply(i int, t Target) {
	z := &r.pools[i]
	if t.Spot > z.Spot && r.noSpot[z.Zone] {
		r.planner.RecordSpotUnavailable(r.now, z.Zone)
	} else if r.order(i, true, t.Spot, &z.Spot) {
		r.planner.RecordSpotAvailable(z.Zone)
	}
	r.order(i, false, t.Regular, &z.Regular)
}

// order sets the number of endpoints of a kind in a zone, and reports whether it was
// increased.
func (r *region) order(zone int, spot bool, n int, existing *int) bool {
	expected := *existing
	for _, a := range r.pending {
		if a.zone == zone && a.spot == spot {
			expected += a.n
		}
	}
	if n == expected {
		return false
	}
	r.orders++
	if n < expected {
		r.cancel(zone, spot, expected-max(n, *existing))
		*existing = min(*existing, n)
		return false
	}
	r.pending = append(r.pending, arrival{r.now.Add(bootTime), zone, spot, n - expected})
	return true
}

// cancel cancels endpoints that have not arrived yet.
func (r *region) cancel(zone int, spot bool, n int) {
	for i := range r.pending {
		a := &r.pending[i]
		if a.zone == zone && a.spot == spot {
			cancelled := min(n, a.n)
			a.n -= cancelled
			n -= cancelled
		}
	}
}

// reclaim removes the spot endpoints of a zone, which then has no others.
func (r *region) reclaim(zone int) {
	r.pools[zone].Spot = 0
	r.noSpot[r.pools[zone].Zone] = true
}

func (r *region) endpoints() (regular, spot int) {
	for _, z := range r.pools {
		regular += z.Regular
		spot += z.Spot
	}
	return regular, spot
}

// Guards against a fleet that shrinks while spot endpoints replace its regular ones, before
// there is any traffic.
func TestRegularFleetIsReplacedBySpot(t *testing.T) {
	r := newRegion(30)
	minSize := 90
	for range 40 {
		r.run(planInterval, 0)
		regular, spot := r.endpoints()
		minSize = min(minSize, regular+spot)
	}
	regular, spot := r.endpoints()
	assert.Equal(t, regular, 27)
	assert.Assert(t, spot == 107 || spot == 108, "%d", spot)
	assert.Assert(t, minSize >= 90, "%d", minSize)
}

// Guards against too little remaining capacity: the spot endpoints of one zone are reclaimed
// at once, and no zone has any others.
func TestOtherZonesCarryLoadOfReclaimedZone(t *testing.T) {
	for zone := range 3 {
		r := newRegion(30)
		r.run(20*time.Second, 70)
		r.noSpot = map[string]bool{"a": true, "b": true, "c": true}
		r.reclaim(zone)
		regular, spot := r.endpoints()
		assert.Assert(t, regular+spot >= 70, "%d regular, %d spot", regular, spot)
	}
}

// Guards against a lasting shortfall: two zones are reclaimed one after the other, and only
// the third has spot endpoints.
func TestShortfallOfTwoZonesIsOrderedInThird(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	r.reclaim(0)
	r.run(5*time.Second, 70)
	r.reclaim(2)
	r.run(bootTime+2*time.Second, 70)
	regular, spot := r.endpoints()
	assert.Assert(t, regular+spot >= 65, "%d regular, %d spot", regular, spot)
	r.noSpot = map[string]bool{}
	r.run(10*time.Second, 70)
	for _, z := range r.pools {
		assert.Assert(t, z.Spot >= 20, "%v", z)
	}
}

// Guards against ordering regular endpoints in a zone without spot endpoints while other
// zones have room to replace them.
func TestNoRegularEndpointsWhileOtherZonesHaveRoom(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	r.reclaim(2)
	before, _ := r.endpoints()
	r.run(8*time.Second, 70)
	regular, _ := r.endpoints()
	assert.Equal(t, regular, before)
}

// Guards against replacements that never arrive because they are cancelled each time the
// order in the zone without spot endpoints is retried.
func TestReplacementsSurviveSpotRetry(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	r.reclaim(2)
	r.run(time.Second, 70)
	r.orders = 0
	r.run(bootTime+4*time.Second, 70)
	regular, spot := r.endpoints()
	assert.Assert(t, regular+spot >= 115, "%d regular, %d spot", regular, spot)
	assert.Assert(t, r.orders <= 2, "%d orders", r.orders)
}

// Guards against a fleet that is too small for its load after all zones were reclaimed and
// none has spot endpoints.
func TestRegularEndpointsReplaceUnavailableSpot(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	for i := range r.pools {
		r.reclaim(i)
	}
	r.run(bootTime+2*time.Second, 70)
	regular, _ := r.endpoints()
	assert.Assert(t, regular >= 70, "%d", regular)
	r.noSpot = map[string]bool{}
	r.run(15*time.Second, 70)
	regular, _ = r.endpoints()
	assert.Equal(t, regular, 21)
}

// Guards against releasing endpoints that are needed soon: traffic begins with a low rate,
// and later the need falls only briefly.
func TestBriefLowNeedDoesNotShrinkFleet(t *testing.T) {
	r := newRegion(30)
	r.run(10*time.Second, 0)
	r.run(5*time.Second, 10)
	regular, spot := r.endpoints()
	assert.Assert(t, regular+spot >= 85)
	r.run(40*time.Second, 60)
	r.run(20*time.Second, 20)
	regular, spot = r.endpoints()
	assert.Assert(t, regular+spot >= 85, "%d regular, %d spot", regular, spot)
	r.run(60*time.Second, 20)
	regular, spot = r.endpoints()
	assert.Assert(t, regular+spot <= 45, "%d regular, %d spot", regular, spot)
}

// Guards against a new leader that releases endpoints during a reclaim: another VM takes over
// the ordering while a zone is reclaimed, and has no measurements yet.
func TestNewLeaderReleasesNothingDuringReclaim(t *testing.T) {
	for _, need := range []float64{0, 30} {
		r := newRegion(30)
		r.run(20*time.Second, 70)
		r.reclaim(1)
		before := [2]int{r.pools[0].Spot, r.pools[2].Spot}
		r.planner = NewPlanner()
		r.run(10*time.Second, need)
		assert.Assert(t, r.pools[0].Spot >= before[0] && r.pools[2].Spot >= before[1], "%v %v", before, r.pools)
	}
}

// Guards against an order for each endpoint while the need rises steadily.
func TestRisingNeedIsFollowedInSteps(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 50)
	r.orders = 0
	for need := 60.0; need <= 100; need++ {
		r.run(planInterval, need)
	}
	r.run(bootTime, 100)
	regular, spot := r.endpoints()
	assert.Assert(t, regular+spot >= 150, "%d regular, %d spot", regular, spot)
	assert.Assert(t, r.orders < 40, "%d orders", r.orders)
}

func TestFleetIsRegularWithoutCheapSpot(t *testing.T) {
	for _, price := range []float64{0, spotPriceLimit} {
		r := newRegion(30)
		r.limits.SpotPrice = price
		r.run(20*time.Second, 40)
		regular, spot := r.endpoints()
		assert.Equal(t, regular, 90)
		assert.Equal(t, spot, 0)
	}
}

func TestTargetsStayWithinLimits(t *testing.T) {
	r := newRegion(10)
	r.limits = Limits{Min: 2, Max: 12, SpotPrice: 0.2}
	for _, need := range []float64{0, 500, 1} {
		for range 100 {
			for _, target := range r.planner.Plan(r.now, r.pools, r.limits, need) {
				assert.Assert(t, target.Regular >= 2 && target.Regular+target.Spot <= 12, "%v", target)
			}
			r.run(planInterval, need)
		}
	}
}
