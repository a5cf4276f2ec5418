package truetime

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// trueStart is the true time at the monotonic clock's zero.
var trueStart = time.Unix(1_800_000_000, 0)

// deployment is one VM, whose clock is off by ownSkew, and nine others, whose clocks are off by
// skew.
type deployment struct {
	clock   *clock.Manual
	ownSkew time.Duration
	skew    [9]time.Duration
	e       *Estimator
}

func newDeployment() *deployment {
	d := &deployment{clock: &clock.Manual{T: clock.Time(time.Minute)}}
	d.e = New(d.clock, func() time.Time { return d.now().Add(d.ownSkew) })
	return d
}

func (d *deployment) now() time.Time { return trueStart.Add(time.Duration(d.clock.T)) }

// run has the others send their time ten times a second, each message delayed by delay. It returns
// the largest error of the estimate.
func (d *deployment) run(t *testing.T, span, delay time.Duration) (worst time.Duration) {
	t.Helper()
	for end := d.clock.T.Add(span); d.clock.T < end; d.clock.T = d.clock.T.Add(100 * time.Millisecond) {
		for i, skew := range d.skew {
			d.e.ReceiveTime(fmt.Sprint(i), d.now().Add(skew-delay))
		}
		worst = max(worst, d.e.At(d.clock.T).Sub(d.now()).Abs())
	}
	return worst
}

const maxError = 5 * time.Millisecond

// Guards against requests being counted in a wrong window because the clocks of some VMs jump.
func TestClockJumpsOfMinorityDoNotMoveEstimate(t *testing.T) {
	d := newDeployment()
	d.run(t, time.Second, time.Millisecond)
	d.ownSkew = 2 * time.Second
	d.skew[1], d.skew[5] = 2*time.Second, -2*time.Second
	assert.Assert(t, d.run(t, 10*time.Second, time.Millisecond) <= maxError)
	d.ownSkew, d.skew[1], d.skew[5] = 0, 0, 0
	assert.Assert(t, d.run(t, 10*time.Second, time.Millisecond) <= maxError)
}

// Guards against a wrong estimate from messages that waited while this process was suspended.
func TestDelayedMessagesDoNotMoveEstimate(t *testing.T) {
	d := newDeployment()
	d.run(t, 2*time.Second, time.Millisecond)
	assert.Assert(t, d.run(t, 500*time.Millisecond, 4*time.Second) <= maxError)
	assert.Assert(t, d.run(t, time.Second, time.Millisecond) <= maxError)
}

func TestSingleVMUsesItsOwnClock(t *testing.T) {
	d := newDeployment()
	d.ownSkew = 300 * time.Millisecond
	assert.Equal(t, d.e.At(d.clock.T), d.now().Add(d.ownSkew))
}
