package pace

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const ms = time.Millisecond

func at(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }

// Guards against predictions by a figure that says nothing any more.
func TestAFigureDecays(t *testing.T) {
	var f Figure
	assert.Equal(t, f.Slowdown(at(0)), 1.0)
	assert.Equal(t, f.Time(at(0), 50*ms), 50*ms)
	assert.Assert(t, f.Record(at(0), 2.5))
	assert.Equal(t, f.Slowdown(at(0)), 2.5)
	assert.Equal(t, f.Time(at(0), 50*ms), 125*ms)
	assert.Equal(t, f.Slowdown(at(300*ms)), (2.5+lastingStep)/2)
	assert.Equal(t, f.Slowdown(at(Lifetime)), lastingStep)
	assert.Equal(t, f.Time(at(Lifetime), 50*ms), 52500*time.Microsecond)
	assert.Equal(t, f.Slowdown(at(-ms)), 2.5, "a figure of another VM may seem to come from the future")
	f.Record(at(Lifetime), 1)
	assert.Equal(t, f.Slowdown(at(2*Lifetime)), 1.0)
}

// Guards against predicting that long work is slowed throughout, although a slowdown ends earlier.
func TestASlowdownEndsDuringLongWork(t *testing.T) {
	var f Figure
	f.Record(at(0), 2.5)
	assert.Equal(t, f.Time(at(0), 500*ms), 525*ms+300*ms-300*ms*105/250)
	assert.Equal(t, f.Time(at(Lifetime), 500*ms), 525*ms)
}

// Guards against taking machines that are lastingly unlike for alike ones as soon as their newest figure is old, and
// against taking a slowdown of the moment for a lasting one.
func TestALastingSlowdownIsLearned(t *testing.T) {
	var f Figure
	for i := range 20 {
		figure := 0.7
		if i%7 == 3 {
			figure = 1.75
		}
		f.Record(at(time.Duration(i)*time.Second), figure)
	}
	assert.Assert(t, f.Slowdown(at(time.Hour)) < 0.8, "%v", f.Slowdown(at(time.Hour)))
	assert.Assert(t, f.Time(at(time.Hour), 100*ms) < 80*ms)
	for i := range 40 {
		f.Record(at(time.Duration(20+i)*time.Second), 1.7)
	}
	assert.Equal(t, f.Slowdown(at(time.Hour)), 1.7)
}

// Guards against a figure that arrives late and replaces a newer one.
func TestTheNewestFigureCounts(t *testing.T) {
	var f Figure
	f.Record(at(10*ms), 1)
	f.Record(at(0), 2.5)
	assert.Equal(t, f.Slowdown(at(10*ms)), 1.0)
}

// Guards against figures that no endpoint can mean.
func TestAbsurdFiguresAreIgnored(t *testing.T) {
	var f Figure
	f.Record(at(0), 2)
	for _, bad := range []float64{0, -1, 1e7, 0.01, math.NaN(), math.Inf(1)} {
		assert.Assert(t, !f.Record(at(ms), bad), "%v", bad)
	}
	assert.Equal(t, f.Slowdown(at(0)), 2.0)
}
