package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// exposed adds a request that was sent to process "e@1" 4 s ago, had an event after each given time and was left 3 s
// ago.
func exposed(x *Exposures, now clock.Time, events ...time.Duration) {
	sentAt := now.Add(-4 * time.Second)
	e := x.Begin(sentAt, "e@1", 1, []uint64{7})
	for _, after := range events {
		x.Sign(sentAt.Add(after), e, true)
	}
	x.End(now.Add(-3*time.Second), e, Left)
}

// Guards against an end that is known after the request was left and gives no evidence, and against evidence from
// endpoints that went on, requests that didn't just begin there and callers that leave for their own reasons.
func TestEndOfAProcessCountsForRequestsLeftInItsSilence(t *testing.T) {
	const now = clock.Time(time.Hour)
	answerAt := func(x *Exposures, at clock.Time) {
		e := x.Begin(at, "e@1", 2, nil)
		x.Sign(at, e, false)
		x.End(at, e, Answered)
	}
	for name, tc := range map[string]struct {
		prepare func(x *Exposures)
		crashes int
	}{
		"left in a silence": {func(x *Exposures) { exposed(x, now) }, 1},
		"after one event":   {func(x *Exposures) { exposed(x, now, 100*time.Millisecond) }, 1},
		"settled": {func(x *Exposures) {
			e := x.Begin(now.Add(-4*time.Second), "e@1", 1, nil)
			x.Sign(now.Add(-4*time.Second), e, true)
			x.Sign(now.Add(-3*time.Second), e, true)
			x.End(now, e, Left)
		}, 0},
		"between two events": {func(x *Exposures) {
			exposed(x, now, 950*time.Millisecond)
		}, 0},
		"paused, went on": {func(x *Exposures) { exposed(x, now); answerAt(x, now.Add(-successorTime-time.Millisecond)) }, 0},
		"a successor answers": {func(x *Exposures) {
			exposed(x, now)
			answerAt(x, now.Add(-successorTime))
		}, 1},
		"left in order":   {func(x *Exposures) { exposed(x, now); x.Forget("e@1") }, 0},
		"another process": {func(x *Exposures) { x.End(now, x.Begin(now.Add(-time.Second), "e@2", 1, nil), Left) }, 0},
		"too old":         {func(x *Exposures) { exposed(x, now.Add(-leftTime)) }, 0},
		"answered":        {func(x *Exposures) { x.End(now, x.Begin(now.Add(-time.Second), "e@1", 1, nil), Answered) }, 0},
		"connection lost": {func(x *Exposures) { x.End(now, x.Begin(now, "e@1", 1, nil), Broken) }, 1},
		"connection of a settled one lost": {func(x *Exposures) {
			e := x.Begin(now.Add(-4*time.Second), "e@1", 1, []uint64{7})
			x.Sign(now.Add(-4*time.Second), e, true)
			x.Sign(now.Add(-3*time.Second), e, true)
			x.End(now, e, Broken)
		}, 1},
		"in progress, silent":  {func(x *Exposures) { x.Begin(now.Add(-minOpenSilence), "e@1", 1, nil) }, 1},
		"in progress, working": {func(x *Exposures) { x.Begin(now.Add(-minOpenSilence/2), "e@1", 1, nil) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := NewExposures()
			tc.prepare(x)
			crashes := x.EndProcess(now, "e@1")
			assert.Equal(t, len(crashes), tc.crashes)
			for _, c := range crashes {
				assert.Equal(t, c.Endpoint, "e@1")
				assert.Equal(t, c.Request, uint64(1))
			}
			assert.Equal(t, len(x.EndProcess(now, "e@1")), 0, "reported once")
		})
	}
}

// Guards against a request that is still in progress when the end of its endpoint becomes known and is left later.
func TestEndOfAProcessCountsForARequestLeftLater(t *testing.T) {
	const now = clock.Time(time.Hour)
	x := NewExposures()
	silent, working := x.Begin(now, "e@1", 1, nil), x.Begin(now, "e@1", 2, nil)
	assert.Equal(t, len(x.EndProcess(now, "e@1")), 0)
	x.Sign(now.Add(time.Second), working, true)
	_, ended := x.End(now.Add(2*time.Second), working, Left)
	assert.Assert(t, !ended, "it went on, so that only the entry has ended")
	c, ended := x.End(now.Add(2*time.Second), silent, Left)
	assert.Assert(t, ended)
	assert.Equal(t, c.Request, uint64(1))
}

// Guards against memory that grows with the requests that callers leave.
func TestLeftRequestsAreBounded(t *testing.T) {
	x := NewExposures()
	now := clock.Time(time.Hour)
	leave := func(process string) {
		x.End(now.Add(time.Second), x.Begin(now, process, 1, nil), Left)
	}
	for range 2 * maxLeftHere {
		leave("e@1")
	}
	assert.Equal(t, x.LeftCount(), maxLeftHere)
	for i := range 2 * maxLeft {
		leave(fmt.Sprint(i))
	}
	assert.Equal(t, x.LeftCount(), maxLeft)
	now = now.Add(leftTime + time.Second)
	leave("last")
	assert.Equal(t, x.LeftCount(), 1)
	assert.Equal(t, len(x.leftHere), 1)
	assert.Equal(t, len(x.open), 0)
}
