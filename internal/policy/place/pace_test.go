package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/pace"
)

// Guards against prompts, streams and calls that go to endpoints which say that they are slowed.
func TestSlowedEndpointsGetLess(t *testing.T) {
	for _, stage := range []catalog.Stage{catalog.Whole, catalog.Decode} {
		c := newCluster(t, engine("a", stage), engine("b", stage))
		a, b := c.open[0], c.open[1]
		for range 10 {
			c.p.RecordSlowdown(0, a, 2.5)
			assert.Equal(t, c.plan(t, 0, prompt(1, 100, 900)).Engine.ID, b.ID)
			assert.Equal(t, c.p.ChooseDecodeEngine(0, c.open, b, nil).ID, b.ID)
			assert.Equal(t, c.p.ChooseEndpoint(0, c.open, nil).ID, b.ID)
			c.p.RecordSlowdown(0, a, 1e7)
		}
		assert.Equal(t, c.p.slowdownsIgnored, int64(10))
		c.p.RecordSlowdown(0, a, 1)
		used := map[string]bool{}
		for range 100 {
			used[c.p.ChooseEndpoint(clock.Time(time.Second), c.open, nil).ID] = true
		}
		assert.Equal(t, len(used), 2, "the slowdown has ended")
	}
}

// Guards against predictions that count the work which waits at a slowed engine as if it worked as usual.
func TestPredictionsFollowTheSlowdown(t *testing.T) {
	c := newCluster(t, engine("a", catalog.Whole))
	usual := c.plan(t, 0, prompt(1, 100, 900))
	c.p.ReceiveReport(0, "peer", []Report{{Endpoint: Key("a"), PendingWork: 50*ms + priorPrefill.Fixed}}, Demand{})
	c.p.RecordSlowdown(0, c.open[0], 2.5)
	slowed := c.plan(t, 0, prompt(1, 100, 900))
	assert.Equal(t, slowed.Wait, 125*ms)
	assert.Equal(t, slowed.Work, usual.Work*5/2)
	assert.Equal(t, slowed.Job(), usual.Job(), "others apply the newest figure to the usual work")
}

// Guards against an estimate of the lasting speed that follows the slowdowns of the moment, and against bounds
// that don't cover engines of 0.7 and 1.7 times the usual speed.
func TestTheLastingSpeedIsLearnedWithoutSlowdowns(t *testing.T) {
	for _, speed := range []float64{0.7, 1, 1.7} {
		c := newCluster(t, engine("a", catalog.Whole))
		s := c.p.endpoints["a"]
		now := clock.Time(0)
		for i := range 200 {
			now = now.Add(time.Second)
			slowdown := 1 + 1.5*float64(i%2)
			pr := prompt(uint64(i)*10, 100, 3000)
			plan := c.plan(t, now, pr)
			c.p.RecordSlowdown(now, c.open[0], slowdown)
			tk := c.p.Begin(now, c.open[0], plan.Job())
			now = now.Add(priorPrefill.Fixed + time.Duration(float64(tk.expected)/s.slowness/speed*slowdown))
			c.p.RecordSlowdown(now, c.open[0], slowdown)
			tk.job.fresh = 0 // the model of the service's engines stays
			c.p.PrefillDone(now, tk, nil)
			c.p.End(now, tk, Success)
		}
		assert.Assert(t, s.slowness > 0.95/speed && s.slowness < 1.05/speed, fmt.Sprintf("%f at speed %f", s.slowness, speed))
	}
}

// Guards against a VM that sends to a slowed endpoint though another VM knows its figure, and against messages
// that say nothing or what their sender has only heard.
func TestVMsShareSlowdowns(t *testing.T) {
	c, other := newCluster(t, split(20, 2)...), newCluster(t, split(20, 2)...)
	a, b := c.open[0], c.open[1]
	c.p.RecordSlowdown(0, a, 1.02)
	assert.Equal(t, len(c.p.Slowdowns(0)), 0)
	c.p.RecordSlowdown(0, a, 2.5)
	sent := c.p.Slowdowns(clock.Time(100 * ms))
	assert.DeepEqual(t, sent, []Slowdown{{Key(a.ID), 2.5, 100 * ms}})
	assert.Equal(t, len(c.p.Slowdowns(clock.Time(pace.Lifetime))), 0, "too old")
	other.p.ReceiveSlowdowns(clock.Time(100*ms), append(sent, Slowdown{Key(b.ID), 1e7, 0}))
	received := other.p.endpoints[a.ID].pace.Slowdown(clock.Time(100 * ms))
	assert.Assert(t, received > 2.25 && received < 2.3, "%v", received)
	assert.Equal(t, other.p.SlowdownMetrics(clock.Time(100*ms)).Ignored, int64(1))
	assert.Equal(t, len(other.p.Slowdowns(clock.Time(100*ms))), 0, "it hasn't received the figure itself")
	for _, e := range c.open {
		c.p.RecordSlowdown(clock.Time(ms), e, 3)
	}
	assert.Equal(t, len(c.p.Slowdowns(clock.Time(ms))), maxSlowdownsSent)
}

// Guards against taking an endpoint that is always slow for one that has just become slower.
func TestSlowdownOfTheMoment(t *testing.T) {
	c := newCluster(t, engine("a", catalog.Whole))
	a := c.open[0]
	assert.Equal(t, c.p.Slowdown(0, a.ID), 1.0)
	assert.Equal(t, c.p.Slowdown(0, "other"), 1.0)
	c.p.RecordSlowdown(0, a, 4)
	assert.Assert(t, c.p.Slowdown(clock.Time(500*time.Millisecond), a.ID) > 3.5)
	assert.Equal(t, c.p.Slowdown(clock.Time(700*time.Millisecond), a.ID), 1.0)
	for i := range 100 {
		c.p.RecordSlowdown(clock.Time(time.Second*time.Duration(i+1)), a, 4)
	}
	assert.Equal(t, c.p.Slowdown(clock.Time(100*time.Second), a.ID), 1.0)
}
