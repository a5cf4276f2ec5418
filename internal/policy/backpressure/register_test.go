package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

var endpoint = &catalog.Endpoint{ID: "i-1", Born: 1, Service: "s"}

// at returns the time d after the start of a test.
func at(d time.Duration) clock.Time { return clock.Time(time.Hour).Add(d) }

// Guards against ending a limit too early: only an answer without a limit to a request that was sent
// after the last announcement ends it. Neither a malformed notice nor a late answer does.
func TestLimitHoldsUntilLaterAnswerWithoutLimit(t *testing.T) {
	r := New(1)
	limited := Notice{Limited: true, Limit: 8}
	r.ObserveAnswer(at(10), at(0), endpoint, "1", Notice{})
	assert.Equal(t, r.LimitedCount(), 0)
	r.ObserveAnswer(at(20), at(10), endpoint, "2", limited)
	assert.Equal(t, r.LimitedCount(), 1)
	r.ObserveAnswer(at(30), at(15), endpoint, "3", Notice{})
	assert.Equal(t, r.LimitedCount(), 1, "a request sent before the limit was announced doesn't end it")
	r.ObserveAnswer(at(40), at(35), endpoint, "4", Notice{Malformed: true})
	assert.Equal(t, r.LimitedCount(), 1)
	r.ObserveAnswer(at(50), at(45), endpoint, "5", Notice{})
	assert.Equal(t, r.LimitedCount(), 0)
}

// Guards against requests to an endpoint before its longest Retry-After delay is over, and against
// applying the delay to other VMs or to a restarted endpoint.
func TestRetryAfterDelayIsHonored(t *testing.T) {
	r := New(1)
	assert.Assert(t, r.TryAcquire(at(0), endpoint))
	r.ObserveAnswer(at(10), at(0), endpoint, "1", Notice{RetryAfter: 2 * time.Second})
	r.ObserveAnswer(at(20), at(0), endpoint, "2", Notice{RetryAfter: time.Second})
	r.ObserveAnswer(at(30), at(0), endpoint, "3", Notice{})
	beforeRetry := at(2*time.Second + 9)
	assert.Assert(t, !r.Admits(beforeRetry, endpoint) && !r.TryAcquire(beforeRetry, endpoint), "the longest delay applies")
	wait, ok := r.EstimateWait(at(time.Second+10), []*catalog.Endpoint{endpoint}, 3)
	assert.Assert(t, ok)
	assert.Equal(t, wait, time.Second)
	assert.Assert(t, r.Admits(at(2*time.Second+10), endpoint))
	assert.Equal(t, len(r.Reports(beforeRetry)), 0, "the delay applies to this VM only")
	restarted := *endpoint
	restarted.Born++
	assert.Assert(t, r.Admits(beforeRetry, &restarted), "the delay doesn't apply to another process")
}

// Guards against keeping the limit of an endpoint whose process has been replaced.
func TestLimitEndsWithEndpointProcess(t *testing.T) {
	r := New(1)
	r.ObserveAnswer(at(10), at(0), endpoint, "1", Notice{Limited: true, Limit: 8})
	restarted := *endpoint
	restarted.Born++
	store := catalog.NewStore(&clock.Manual{})
	store.SetEndpoint(&restarted)
	r.SetView(at(recordTTL), store.View())
	assert.Equal(t, r.LimitedCount(), 1, "an entry may reappear")
	r.SetView(at(recordTTL+time.Second), store.View())
	assert.Equal(t, r.LimitedCount(), 0)
}
