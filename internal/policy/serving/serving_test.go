package serving

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

func fleet(n, perZone int, capacity uint32) []VM {
	var out []VM
	for i := range n {
		out = append(out, VM{Address: fmt.Sprintf("10.0.0.%02d:1", i), Zone: fmt.Sprint("z", i/perZone), Capacity: capacity})
	}
	return out
}

func perZone(vms []VM) map[string]int {
	out := map[string]int{}
	for _, v := range vms {
		out[v.Zone]++
	}
	return out
}

// Guards against connections to endpoints that lie idle until they are closed, under a
// small load.
func TestASmallLoadIsServedByOneVMOfEachZone(t *testing.T) {
	vms := fleet(9, 3, 180)
	assert.DeepEqual(t, perZone(ChooseAdvertised(vms, 100)), map[string]int{"z0": 1, "z1": 1, "z2": 1})
	assert.Equal(t, len(ChooseAdvertised(vms, 200)), 5, "four times the load")
	assert.Equal(t, len(ChooseAdvertised(vms, 10_000)), 9)
	assert.Equal(t, len(ChooseAdvertised(vms, 0)), 9, "a load that isn't known")
}

// Guards against all callers moving when one VM is lost.
func TestALostVMIsReplacedInItsZone(t *testing.T) {
	vms := fleet(9, 3, 180)
	before := ChooseAdvertised(vms, 100)
	after := ChooseAdvertised(vms[1:], 100)
	assert.DeepEqual(t, perZone(after), perZone(before))
	assert.DeepEqual(t, after[1:], before[1:])
	assert.Assert(t, after[0] != before[0])
	assert.Equal(t, len(ChooseAdvertised(vms[:2], 100)), 2)
	assert.Equal(t, len(ChooseAdvertised(nil, 100)), 0)
}

// Guards against small VMs that get as many requests as large ones.
func TestSmallVMsAreNamedOnlyWhereTheyAreNeeded(t *testing.T) {
	named := func(large int) int {
		vms := fleet(51, 51, 30)
		for i := range large {
			vms[i].Capacity = 360
		}
		return len(ChooseAdvertised(vms, 10_000))
	}
	assert.Equal(t, named(10), 10)
	assert.Equal(t, named(0), 51)
	assert.Equal(t, named(2), 51, "two can't carry the load of fifty")
}

// Guards against the callers of the first seconds being spread over hundreds of VMs that
// know nothing of each other's load.
func TestWhileTheLoadIsUnknownOnlyActiveVMsAreNamed(t *testing.T) {
	vms := fleet(95, 19, 87)
	for i := range vms {
		if i%19 < 3 {
			vms[i].Capacity = 363
		}
	}
	named := ChooseAdvertised(vms, 0)
	assert.Equal(t, len(named), unknownNamed)
	assert.Equal(t, len(perZone(named)), 5)
	large := 0
	for _, v := range named {
		if v.Capacity == 363 {
			large++
		}
	}
	assert.Equal(t, large, 15)
	assert.DeepEqual(t, ActiveSet(vms, 0), named)
}

// Guards against a VM that is named next without the knowledge that placing needs, and
// against an active set that is as large as the deployment.
func TestActiveAreThoseWhoAreNamedAndTheNextInTurn(t *testing.T) {
	vms := fleet(95, 19, 180)
	named, active := ChooseAdvertised(vms, 500), ActiveSet(vms, 500)
	assert.Equal(t, len(named), 12)
	assert.Equal(t, len(active), activeFactor*12)
	assert.DeepEqual(t, active[:12], named)
	assert.Equal(t, len(ActiveSet(vms, 10)), leastActive)
	assert.Equal(t, len(ActiveSet(vms[:9], 10)), 9, "all of a few VMs")
}

// Guards against a rate that looks small at the start of traffic.
func TestARateIsKnownSoonAndWhole(t *testing.T) {
	var m Meter
	start := clock.Time(time.Hour)
	now := start
	assert.Equal(t, m.Rate(now), 0.0)
	for range 300 {
		m.Count(now)
		now = now.Add(10 * time.Millisecond)
		if now.Sub(start) < knownAfter {
			assert.Equal(t, m.Rate(now), 0.0)
		}
	}
	assert.Assert(t, math.Abs(m.Rate(now)-100) < 5, "%f", m.Rate(now))
	assert.Assert(t, m.Rate(now.Add(time.Minute)) < 10, "it falls with time")
}
