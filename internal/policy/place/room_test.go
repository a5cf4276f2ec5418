package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// Guards against an endpoint that gets requests although it has just rejected one, and against one that never
// gets a request again.
func TestWhatEndsARejection(t *testing.T) {
	const held = 8
	for name, x := range map[string]struct {
		then func(r *room)
		at   time.Duration // since the rejection
		full bool
	}{
		"nothing":                               {func(*room) {}, 50 * ms, true},
		"time":                                  {func(*room) {}, firstProbeDelay, false},
		"time, and a probe is under way":        {func(r *room) { r.send(at(firstProbeDelay)) }, firstProbeDelay + 50*ms, true},
		"a probe that wasn't answered":          {func(r *room) { r.send(at(firstProbeDelay)) }, maxProbeDelay * 2, false},
		"a second rejection":                    {func(r *room) { r.reject(at(100*ms), held) }, 250 * ms, true},
		"an exchange that ended":                {func(r *room) { r.free() }, 10 * ms, false},
		"its place is taken":                    {func(r *room) { r.free(); r.send(at(5 * ms)) }, 10 * ms, true},
		"a report of fewer requests":            {func(r *room) { r.report(held-2, held, 2) }, 10 * ms, false},
		"a report of fewer, for many VMs":       {func(r *room) { r.report(held-2, held, 60) }, 10 * ms, true},
		"a report of an endpoint without slots": {func(r *room) { r.report(0, 0, 1) }, 10 * ms, false},
		"a report of as many requests":          {func(r *room) { r.report(held, held, 1) }, 10 * ms, true},
		"a request sent before is accepted":     {func(r *room) { r.accept(at(600*ms), at(-ms)) }, 90 * ms, true},
		"a request sent since is accepted":      {func(r *room) { r.accept(at(10*ms), at(5*ms)) }, 20 * ms, true},
		"several sent since are accepted":       {func(r *room) { acceptMany(r, 4) }, 20 * ms, false},
		"one that was sent later is accepted":   {func(r *room) { r.accept(at(600*ms), at(100*ms)) }, 700 * ms, false},
		"rejections in a row, after the bound":  {func(r *room) { rejectMany(r, 20) }, 2 * maxProbeDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			var r room
			r.reject(at(0), held)
			x.then(&r)
			assert.Equal(t, r.full(at(x.at)), x.full)
		})
	}
}

// at is the time d after that of the rejection.
func at(d time.Duration) clock.Time { return clock.Time(0).Add(time.Minute + d) }

func acceptMany(r *room, n int) {
	for range n {
		r.accept(at(10*ms), at(5*ms))
	}
}

func rejectMany(r *room, n int) {
	for range n {
		r.reject(at(0), 8)
	}
}

// Guards against a report that a broken endpoint sends: no number of requests opens it wider than it can be, or
// shuts it out.
func TestReportsThatCannotBe(t *testing.T) {
	for _, requests := range []int{-1, -1 << 60, 1 << 60} {
		c := newCluster(t, engine("a", catalog.Whole), engine("b", catalog.Whole))
		rejected, accepted := c.p.Begin(at(0), c.open[0], Job{}), c.p.Begin(at(0), c.open[0], Job{})
		c.p.RecordRejection(at(0), rejected, requests)
		c.p.End(at(0), rejected, Rejected)
		c.p.RecordAccepted(at(ms), accepted, requests)
		c.p.RecordAccepted(at(ms), accepted, 0)
		s := c.p.endpoints["a"]
		assert.Assert(t, s.room.places <= float64(s.ep.Slots), "%v", s.room.places)
		assert.Assert(t, !s.room.full(at(2*maxProbeDelay)))
	}
}

// Guards against requests that go to the one endpoint which has just rejected others, while alike ones may have
// room: for calls, prompts and streams whose prefill is done.
func TestAFullEndpointIsNotAsked(t *testing.T) {
	for name, choose := range map[string]func(c *cluster) string{
		"calls":   func(c *cluster) string { return c.p.ChooseEndpoint(at(ms), c.open, nil).ID },
		"prompts": func(c *cluster) string { return c.plan(t, at(ms), prompt(1, 100, 200)).Engine.ID },
		"decode":  func(c *cluster) string { return c.p.ChooseDecodeEngine(at(ms), c.open, c.open[0], nil).ID },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, split(0, 2)...)
			for range 10 {
				c.p.Begin(at(0), c.open[1], Job{Work: 50 * ms})
			}
			assert.Equal(t, choose(c), c.open[0].ID)
			rejected := c.p.Begin(at(0), c.open[0], Job{})
			c.p.RecordRejection(at(0), rejected, -1)
			c.p.End(at(0), rejected, Rejected)
			assert.Equal(t, choose(c), c.open[1].ID)
		})
	}
}

// Guards against requests that all find no endpoint once each has rejected one.
func TestIfAllAreFullTheOldestRejectionIsTried(t *testing.T) {
	c := newCluster(t, split(0, 3)...)
	for i, e := range c.open {
		ticket := c.p.Begin(at(0), e, Job{})
		c.p.RecordRejection(at(time.Duration((i+1)%3)*ms), ticket, -1)
		c.p.End(at(3*ms), ticket, Rejected)
	}
	assert.Equal(t, c.p.ChooseEndpoint(at(4*ms), c.open, nil).ID, c.open[2].ID)
	assert.Equal(t, c.plan(t, at(4*ms), prompt(1, 100, 200)).Engine.ID, c.open[2].ID)
}

// Guards against a decode engine that is taken for full because it couldn't fetch a KV cache.
func TestAFailedTransferSaysNothingAboutRoom(t *testing.T) {
	c := newCluster(t, split(1, 1)...)
	ticket := c.p.Begin(at(0), c.open[0], Job{HandoffTokens: 500})
	c.p.RecordRejection(at(0), ticket, 3)
	assert.Assert(t, !c.p.endpoints[c.open[0].ID].room.full(at(0)))
	c.p.RecordRejection(at(0), ticket, c.open[0].Slots)
	assert.Assert(t, c.p.endpoints[c.open[0].ID].room.full(at(0)))
}

// Guards against requests that all go to the one endpoint that isn't silent, once that is full.
func TestSilentEndpointsAreUsedIfTheOthersAreFull(t *testing.T) {
	c := newCluster(t, split(0, 3)...)
	silent, full := c.open[0], c.open[1:]
	for range maxConsecutiveFailures {
		c.p.MarkSilent(at(0), c.p.Begin(at(0), silent, Job{}))
	}
	assert.Assert(t, c.p.ChooseEndpoint(at(0), c.open, nil).ID != silent.ID)
	for _, e := range full {
		c.p.RecordRejection(at(0), c.p.Begin(at(0), e, Job{}), -1)
	}
	assert.Equal(t, c.p.ChooseEndpoint(at(ms), c.open, nil).ID, silent.ID)
}

// Guards against requests that all go to the few endpoints that aren't silent, from every VM at once.
func TestWhileOthersAreSilentAnEndpointIsUsedUpToAShare(t *testing.T) {
	c := newCluster(t, split(0, 4)...)
	for vm := range 7 {
		c.p.ReceiveReport(at(0), fmt.Sprint(vm), nil, Demand{})
	}
	silent, sound := c.open[0], c.open[1:]
	for range maxConsecutiveFailures {
		c.p.MarkSilent(at(0), c.p.Begin(at(0), silent, Job{}))
	}
	sent := map[string]int{}
	share := sound[0].Slots / 8
	for range len(sound)*share + 1 {
		e := c.p.ChooseEndpoint(at(ms), c.open, nil)
		c.p.Begin(at(ms), e, Job{})
		sent[e.ID]++
	}
	for _, e := range sound {
		assert.Equal(t, sent[e.ID], share)
	}
	assert.Equal(t, sent[silent.ID], 1)
}
