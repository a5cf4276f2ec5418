package autoscale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

var limits = Limits{Min: 1, Max: 60, SpotPrice: 0.2}

// region rents endpoints out: what is ordered comes after boot, and a zone may have no
// spot ones to give.
type region struct {
	now     clock.Time
	planner *Planner
	limits  Limits
	pools   []ZonePool
	coming  []arrival
	dry     map[string]bool
	orders  int
}

type arrival struct {
	at   clock.Time
	zone int
	spot bool
	n    int
}

const (
	boot = 4 * time.Second
	step = 500 * time.Millisecond
)

func newRegion(regular int) *region {
	return &region{
		now: clock.Time(time.Hour), planner: NewPlanner(), limits: limits, dry: map[string]bool{},
		pools: []ZonePool{{"a", 1, regular, 0}, {"b", 0.8, regular, 0}, {"c", 1.25, regular, 0}},
	}
}

// run lets the region follow the plans for a while, under a constant need.
func (r *region) run(span time.Duration, need float64) {
	for end := r.now.Add(span); r.now < end; r.now = r.now.Add(step) {
		r.arrive()
		for _, t := range r.planner.Plan(r.now, r.pools, r.limits, need) {
			for i := range r.pools {
				if r.pools[i].Zone == t.Zone {
					r.follow(i, t)
				}
			}
		}
	}
}

func (r *region) arrive() {
	var later []arrival
	for _, a := range r.coming {
		switch {
		case a.at > r.now:
			later = append(later, a)
		case a.spot:
			r.pools[a.zone].Spot += a.n
		default:
			r.pools[a.zone].Regular += a.n
		}
	}
	r.coming = later
}

func (r *region) follow(i int, t Target) {
	z := &r.pools[i]
	if t.Spot > z.Spot && r.dry[z.Zone] {
		r.planner.RecordSpotUnavailable(r.now, z.Zone)
	} else if r.order(i, true, t.Spot, &z.Spot) {
		r.planner.RecordSpotAvailable(z.Zone)
	}
	r.order(i, false, t.Regular, &z.Regular)
}

// order replaces what was ordered of a kind, and returns whether more were.
func (r *region) order(zone int, spot bool, n int, standing *int) bool {
	due := *standing
	for _, a := range r.coming {
		if a.zone == zone && a.spot == spot {
			due += a.n
		}
	}
	if n == due {
		return false
	}
	r.orders++
	if n < due {
		r.cancel(zone, spot, due-max(n, *standing))
		*standing = min(*standing, n)
		return false
	}
	r.coming = append(r.coming, arrival{r.now.Add(boot), zone, spot, n - due})
	return true
}

// cancel calls endpoints off that are coming.
func (r *region) cancel(zone int, spot bool, n int) {
	for i := range r.coming {
		a := &r.coming[i]
		if a.zone == zone && a.spot == spot {
			off := min(n, a.n)
			a.n -= off
			n -= off
		}
	}
}

// reclaim takes the spot endpoints of a zone.
func (r *region) reclaim(zone int) {
	r.pools[zone].Spot = 0
	r.dry[r.pools[zone].Zone] = true
}

func (r *region) standing() (regular, spot int) {
	for _, z := range r.pools {
		regular += z.Regular
		spot += z.Spot
	}
	return regular, spot
}

// Pattern: a fleet of regular endpoints before there is any traffic.
func TestTheFleetBecomesACheapOneOfItsSize(t *testing.T) {
	r := newRegion(30)
	least := 90
	for range 40 {
		r.run(step, 0)
		regular, spot := r.standing()
		least = min(least, regular+spot)
	}
	regular, spot := r.standing()
	assert.Equal(t, regular, 27)
	assert.Assert(t, spot == 107 || spot == 108, "%d", spot)
	assert.Assert(t, least >= 90, "%d", least)
}

// Pattern: the spot endpoints of a zone are taken at once, and none are to be had anywhere.
func TestTheOtherZonesCarryTheLoadOfOneThatIsReclaimed(t *testing.T) {
	for zone := range 3 {
		r := newRegion(30)
		r.run(20*time.Second, 70)
		r.dry = map[string]bool{"a": true, "b": true, "c": true}
		r.reclaim(zone)
		regular, spot := r.standing()
		assert.Assert(t, regular+spot >= 70, "%d regular, %d spot", regular, spot)
	}
}

// Pattern: two zones are reclaimed in turn, and the third has endpoints to give.
func TestWhatTwoZonesLackIsOrderedInTheThird(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	r.reclaim(0)
	r.run(5*time.Second, 70)
	r.reclaim(2)
	r.run(boot+2*time.Second, 70)
	regular, spot := r.standing()
	assert.Assert(t, regular+spot >= 65, "%d regular, %d spot", regular, spot)
	r.dry = map[string]bool{}
	r.run(10*time.Second, 70)
	for _, z := range r.pools {
		assert.Assert(t, z.Spot >= 20, "%v", z)
	}
}

// Guards against regular endpoints that are ordered in a zone without spot ones while another zone makes up for it.
func TestAZoneWithoutSpotEndpointsGetsNoRegularOnesWhileOthersHaveRoom(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	r.reclaim(2)
	before, _ := r.standing()
	r.run(8*time.Second, 70)
	regular, _ := r.standing()
	assert.Equal(t, regular, before)
}

// Guards against a make-up that is called off each time the empty zone is asked again, and never comes.
func TestTheMakeUpStandsWhileTheEmptyZoneIsAskedAgain(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	r.reclaim(2)
	r.run(time.Second, 70)
	r.orders = 0
	r.run(boot+4*time.Second, 70)
	regular, spot := r.standing()
	assert.Assert(t, regular+spot >= 115, "%d regular, %d spot", regular, spot)
	assert.Assert(t, r.orders <= 2, "%d orders", r.orders)
}

// Pattern: all zones are reclaimed and dry.
func TestRegularEndpointsAreOrderedWhereThereAreNoOthers(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 70)
	for i := range r.pools {
		r.reclaim(i)
	}
	r.run(boot+2*time.Second, 70)
	regular, _ := r.standing()
	assert.Assert(t, regular >= 70, "%d", regular)
	r.dry = map[string]bool{}
	r.run(15*time.Second, 70)
	regular, _ = r.standing()
	assert.Equal(t, regular, 21)
}

// Pattern: traffic that begins with a trickle, and a need that falls for a moment only.
func TestAFleetIsNotGivenBackForAMomentOfLittleNeed(t *testing.T) {
	r := newRegion(30)
	r.run(10*time.Second, 0)
	r.run(5*time.Second, 10)
	regular, spot := r.standing()
	assert.Assert(t, regular+spot >= 85)
	r.run(40*time.Second, 60)
	r.run(20*time.Second, 20)
	regular, spot = r.standing()
	assert.Assert(t, regular+spot >= 85, "%d regular, %d spot", regular, spot)
	r.run(60*time.Second, 20)
	regular, spot = r.standing()
	assert.Assert(t, regular+spot <= 45, "%d regular, %d spot", regular, spot)
}

// Pattern: the VM that orders is replaced while a zone is reclaimed, and its successor
// has measured nothing.
func TestASuccessorGivesNothingBackWhileAZoneIsReclaimed(t *testing.T) {
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

// Pattern: a need that rises steadily.
func TestARisingNeedIsFollowedInSteps(t *testing.T) {
	r := newRegion(30)
	r.run(20*time.Second, 50)
	r.orders = 0
	for need := 60.0; need <= 100; need++ {
		r.run(step, need)
	}
	r.run(boot, 100)
	regular, spot := r.standing()
	assert.Assert(t, regular+spot >= 150, "%d regular, %d spot", regular, spot)
	assert.Assert(t, r.orders < 40, "%d orders", r.orders)
}

func TestWithoutCheapEndpointsTheFleetIsRegular(t *testing.T) {
	for _, price := range []float64{0, worthwhile} {
		r := newRegion(30)
		r.limits.SpotPrice = price
		r.run(20*time.Second, 40)
		regular, spot := r.standing()
		assert.Equal(t, regular, 90)
		assert.Equal(t, spot, 0)
	}
}

func TestTargetsKeepTheLimits(t *testing.T) {
	r := newRegion(10)
	r.limits = Limits{Min: 2, Max: 12, SpotPrice: 0.2}
	for _, need := range []float64{0, 500, 1} {
		for range 100 {
			for _, target := range r.planner.Plan(r.now, r.pools, r.limits, need) {
				assert.Assert(t, target.Regular >= 2 && target.Regular+target.Spot <= 12, "%v", target)
			}
			r.run(step, need)
		}
	}
}
