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
	r.Answered(at(10), at(0), endpoint, "1", Notice{})
	assert.Equal(t, r.Limited(), 0)
	r.Answered(at(20), at(10), endpoint, "2", named)
	assert.Equal(t, r.Limited(), 1)
	r.Answered(at(30), at(15), endpoint, "3", Notice{})
	assert.Equal(t, r.Limited(), 1, "the answer to a request from before the limit says nothing of it")
	r.Answered(at(40), at(35), endpoint, "4", Notice{Unreadable: true})
	assert.Equal(t, r.Limited(), 1)
	r.Answered(at(50), at(45), endpoint, "5", Notice{})
	assert.Equal(t, r.Limited(), 0)
}

func TestANewProcessOfAnEndpointHasNamedNothing(t *testing.T) {
	r := New(1)
	r.Answered(at(10), at(0), endpoint, "1", Notice{Limited: true, Limit: 8})
	again := *endpoint
	again.Born++
	store := catalog.NewStore(&clock.Manual{})
	store.SetEndpoint(&again)
	r.Follow(at(forgetAfter), store.View())
	assert.Equal(t, r.Limited(), 1, "an entry may come back")
	r.Follow(at(forgetAfter+time.Second), store.View())
	assert.Equal(t, r.Limited(), 0)
}
