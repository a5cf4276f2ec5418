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

// Guards against connections that stay idle until their endpoints close them, as a small load is
// spread over too many VMs.
func TestASmallLoadIsServedByOneVMOfEachZone(t *testing.T) {
	vms := fleet(9, 3, 180)
	assert.DeepEqual(t, perZone(ChooseAdvertised(vms, 100)), map[string]int{"z0": 1, "z1": 1, "z2": 1})
	assert.Equal(t, len(ChooseAdvertised(vms, 200)), 5, "four times the load")
	assert.Equal(t, len(ChooseAdvertised(vms, 10_000)), 9)
	assert.Equal(t, len(ChooseAdvertised(vms, 0)), 9, "unknown load")
}

// Guards against a new set of advertised VMs, to which all callers move, when one VM is lost.
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

// Guards against small VMs that are advertised next to large ones: callers pick addresses at
// random, so that both get as many requests.
func TestSmallVMsAreNamedOnlyWhereTheyAreNeeded(t *testing.T) {
	advertisedWith := func(large int) int {
		vms := fleet(51, 51, 30)
		for i := range large {
			vms[i].Capacity = 360
		}
		return len(ChooseAdvertised(vms, 10_000))
	}
	assert.Equal(t, advertisedWith(10), 10)
	assert.Equal(t, advertisedWith(0), 51)
	assert.Equal(t, advertisedWith(2), 51, "two large VMs can't carry the load of fifty")
}

// Guards against spreading the callers of the first seconds over hundreds of VMs that have no data
// on each other's load.
func TestWhileTheLoadIsUnknownOnlyActiveVMsAreAdvertised(t *testing.T) {
	vms := fleet(95, 19, 87)
	for i := range vms {
		if i%19 < 3 {
			vms[i].Capacity = 363
		}
	}
	advertised := ChooseAdvertised(vms, 0)
	assert.Equal(t, len(advertised), maxWithUnknownRate)
	assert.Equal(t, len(perZone(advertised)), 5)
	large := 0
	for _, v := range advertised {
		if v.Capacity == 363 {
			large++
		}
	}
	assert.Equal(t, large, 15)
	assert.DeepEqual(t, ActiveSet(vms, 0), advertised)
}

// Guards against advertising a VM that hasn't got the load data for placing requests, and against an
// active set that is as large as the deployment.
func TestActiveSetIsTheAdvertisedVMsAndTheNextOnes(t *testing.T) {
	vms := fleet(95, 19, 180)
	advertised, active := ChooseAdvertised(vms, 500), ActiveSet(vms, 500)
	assert.Equal(t, len(advertised), 12)
	assert.Equal(t, len(active), activePerAdvertised*12)
	assert.DeepEqual(t, active[:12], advertised)
	assert.Equal(t, len(ActiveSet(vms, 10)), minActive)
	assert.Equal(t, len(ActiveSet(vms[:9], 10)), 9, "a small deployment is active as a whole")
}

// Guards against underestimating the rate when traffic starts.
func TestRateIsMeasuredSoonAfterTheFirstRequest(t *testing.T) {
	var m Meter
	start := clock.Time(time.Hour)
	now := start
	assert.Equal(t, m.Rate(now), 0.0)
	for range 300 {
		m.Count(now)
		now = now.Add(10 * time.Millisecond)
		if now.Sub(start) < minMeasured {
			assert.Equal(t, m.Rate(now), 0.0)
		}
	}
	assert.Assert(t, math.Abs(m.Rate(now)-100) < 5, "%f", m.Rate(now))
	assert.Assert(t, m.Rate(now.Add(time.Minute)) < 10, "the rate decays without requests")
}
