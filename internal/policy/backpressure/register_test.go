package backpressure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

var endpoint = &catalog.Endpoint{ID: "i-1", Born: 1, Service: "s"}

// at is a moment of a test.
func at(d time.Duration) clock.Time { return clock.Time(time.Hour).Add(d) }

func TestALimitHoldsWhileTheEndpointNamesIt(t *testing.T) {
	r := New(1)
	named := Notice{Limited: true, Limit: 8}
	r.ObserveAnswer(at(10), at(0), endpoint, "1", Notice{})
	assert.Equal(t, r.LimitedCount(), 0)
	r.ObserveAnswer(at(20), at(10), endpoint, "2", named)
	assert.Equal(t, r.LimitedCount(), 1)
	r.ObserveAnswer(at(30), at(15), endpoint, "3", Notice{})
	assert.Equal(t, r.LimitedCount(), 1, "the answer to a request from before the limit says nothing of it")
	r.ObserveAnswer(at(40), at(35), endpoint, "4", Notice{Malformed: true})
	assert.Equal(t, r.LimitedCount(), 1)
	r.ObserveAnswer(at(50), at(45), endpoint, "5", Notice{})
	assert.Equal(t, r.LimitedCount(), 0)
}

func TestAnEndpointIsLeftAloneForAsLongAsItAsks(t *testing.T) {
	r := New(1)
	assert.Assert(t, r.TryAcquire(at(0), endpoint))
	r.ObserveAnswer(at(10), at(0), endpoint, "1", Notice{RetryAfter: 2 * time.Second})
	r.ObserveAnswer(at(20), at(0), endpoint, "2", Notice{RetryAfter: time.Second})
	r.ObserveAnswer(at(30), at(0), endpoint, "3", Notice{})
	late := at(2*time.Second + 9)
	assert.Assert(t, !r.Admits(late, endpoint) && !r.TryAcquire(late, endpoint), "the longest time holds")
	wait, asked := r.EstimateWait(at(time.Second+10), []*catalog.Endpoint{endpoint}, 3)
	assert.Assert(t, asked)
	assert.Equal(t, wait, time.Second)
	assert.Assert(t, r.Admits(at(2*time.Second+10), endpoint))
	assert.Equal(t, len(r.Reports(late)), 0, "it concerns this VM only")
	again := *endpoint
	again.Born++
	assert.Assert(t, r.Admits(late, &again), "another process has asked for nothing")
}

func TestANewProcessOfAnEndpointHasNamedNothing(t *testing.T) {
	r := New(1)
	r.ObserveAnswer(at(10), at(0), endpoint, "1", Notice{Limited: true, Limit: 8})
	again := *endpoint
	again.Born++
	store := catalog.NewStore(&clock.Manual{})
	store.SetEndpoint(&again)
	r.ObserveCatalog(at(forgetAfter), store.View())
	assert.Equal(t, r.LimitedCount(), 1, "an entry may come back")
	r.ObserveCatalog(at(forgetAfter+time.Second), store.View())
	assert.Equal(t, r.LimitedCount(), 0)
}
