package replica

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// inForceLimit is the users' bound for a change to be in force everywhere.
const inForceLimit = 8 * time.Second

// Story: the log is well, cut off for one VM, or cut off for all VMs but one.
// Every change must be in force on every VM within the users' bound, since a
// caller is sent to any of them.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  int // VMs without the log
	}{{"log well", 0}, {"log cut off for one", 1}, {"log cut off for all but one", 7}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				times := spreadTimes(t, c.cut)
				p50, slowest := times[len(times)/2], times[len(times)-1]
				t.Logf("%s: p50 %s, max %s of %d publishes on 8 VMs", c.name, p50, slowest, len(times))
				assert.Assert(t, slowest < inForceLimit)
			})
		})
	}
}

func spreadTimes(t *testing.T, cut int) []time.Duration {
	const publishes = 20
	f := newFleet(t)
	defer f.close()
	f.log.SetLatency(5 * time.Millisecond)
	for i := range 8 {
		f.start(fmt.Sprint("vm", i), false)
	}
	time.Sleep(3 * time.Second)
	for i := range cut {
		f.logs[fmt.Sprint("vm", i)].set(true)
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
