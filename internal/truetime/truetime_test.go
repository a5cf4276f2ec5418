package truetime

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// trueStart is the true time at the monotone clock's zero.
var trueStart = time.Unix(1_800_000_000, 0)

// deployment is one VM and nine others, whose clocks are off by skew.
type deployment struct {
	clock *clock.Manual
	own   time.Duration
	skew  [9]time.Duration
	e     *Estimator
}

func newDeployment() *deployment {
	d := &deployment{clock: &clock.Manual{T: clock.Time(time.Minute)}}
	d.e = New(d.clock, func() time.Time { return d.now().Add(d.own) })
	return d
}

func (d *deployment) now() time.Time { return trueStart.Add(time.Duration(d.clock.T)) }

// run has the others tell their time ten times a second, each message late by delay.
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

const exact = 5 * time.Millisecond

// Guards against a jump of some clocks that moves requests into other windows.
func TestAJumpOfSomeClocksDoesNotMoveTheEstimate(t *testing.T) {
	d := newDeployment()
	d.run(t, time.Second, time.Millisecond)
	d.own = 2 * time.Second
	d.skew[1], d.skew[5] = 2*time.Second, -2*time.Second
	assert.Assert(t, d.run(t, 10*time.Second, time.Millisecond) <= exact)
	d.own, d.skew[1], d.skew[5] = 0, 0, 0
	assert.Assert(t, d.run(t, 10*time.Second, time.Millisecond) <= exact)
}

// Guards against messages that waited while this process was suspended.
func TestDelayedMessagesDoNotMoveTheEstimate(t *testing.T) {
	d := newDeployment()
	d.run(t, 2*time.Second, time.Millisecond)
	assert.Assert(t, d.run(t, 500*time.Millisecond, 4*time.Second) <= exact)
	assert.Assert(t, d.run(t, time.Second, time.Millisecond) <= exact)
}

func TestAVMAloneGoesByItsOwnClock(t *testing.T) {
	d := newDeployment()
	d.own = 300 * time.Millisecond
	assert.Equal(t, d.e.At(d.clock.T), d.now().Add(d.own))
}
