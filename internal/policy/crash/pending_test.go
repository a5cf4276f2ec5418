package crash

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against ends of endpoints that are forgotten as this VM took itself for cut off, and against evidence from
// endpoints that were cut off with it.
func TestPendingCrashesCountOnceEndpointsAreReached(t *testing.T) {
	const now = clock.Time(time.Hour)
	var p Pending
	p.Add(now.Add(-pendingTime-1), Crash{Request: 1, Endpoint: "old"})
	p.Add(now.Add(-time.Second), Crash{Request: 1, Endpoint: "lives"})
	p.Add(now.Add(-time.Second), Crash{Request: 1, Endpoint: "ended", Age: time.Second})
	got := p.Take(now, func(process string) bool { return process == "lives" })
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Endpoint, "ended")
	assert.Equal(t, got[0].Age, 2*time.Second)
	assert.Equal(t, len(p.Take(now, func(string) bool { return false })), 0, "taken once")

	for i := range 2 * maxPending {
		p.Add(now, Crash{Endpoint: fmt.Sprint(i)})
	}
	assert.Equal(t, len(p.Take(now, func(string) bool { return false })), maxPending)
}
