package replica

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// inForceLimit is the users' limit for a change to be in force on all VMs.
const inForceLimit = 8 * time.Second

// Guards against slow propagation of a change. The log is healthy, unavailable to one VM, or
// unavailable to all VMs but one. A caller may be sent to any VM, so each change must be in force
// on all of them within the users' limit.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  int // VMs without the log
	}{{"log healthy", 0}, {"log unavailable to one VM", 1}, {"log unavailable to all but one VM", 7}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := propagationTimes(t, c.cut)
				p50, slowest := times[len(times)/2], times[len(times)-1]
				t.Logf("%s: p50 %s, max %s of %d publishes on 8 VMs", c.name, p50, slowest, len(times))
				assert.Assert(t, slowest < inForceLimit)
			})
		})
	}
}

func propagationTimes(t *testing.T, cut int) []time.Duration {
	const publishes = 20
	f := newFleet(t)
	defer f.close()
	f.log.SetLatency(5 * time.Millisecond)
	for i := range 8 {
		f.start(fmt.Sprint("vm", i), false)
	}
	time.Sleep(3 * time.Second)
	for i := range cut {
		f.logs[fmt.Sprint("vm", i)].setCut(true)
	}
	base := uint64(0)
	var out []time.Duration
	for i := range publishes {
		start := time.Now()
		v, err := f.publish(base, fmt.Sprint("p", i))
		assert.NilError(t, err)
		base = v.Offset
		for !f.inForce(base) {
			time.Sleep(10 * time.Millisecond)
		}
		out = append(out, time.Since(start))
		time.Sleep(time.Second)
	}
	slices.Sort(out)
	return out
}

func (f *fleet) inForce(version uint64) bool {
	for _, r := range f.reps {
		if r.View().Version < version {
			return false
		}
	}
	return true
}
