package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// report is an endpoint's report of itself.
func report(born, sequence int64) *Endpoint {
	return &Endpoint{ID: "i-1", Service: "s", Address: "a:1", Born: born, Sequence: sequence}
}

// Guards against an entry that still says ready, read after an answer that says that the
// endpoint leaves, and taken for newer.
func TestAReportDoesNotBringBackAnEndpointThatSaidItLeaves(t *testing.T) {
	s := NewStore(&clock.Manual{})
	s.SetEndpoint(report(1, 1))
	e := s.View().Available("s")[0]
	assert.Assert(t, s.View().IsAvailable(e))
	assert.Assert(t, s.SetLeaving("i-1", 1))
	assert.Assert(t, !s.SetLeaving("i-1", 1), "known")
	assert.Equal(t, len(s.View().Available("s")), 0)
	assert.Assert(t, !s.View().IsAvailable(e))
	s.SetEndpoint(report(1, 2))
	moved := report(1, 3)
	moved.Stage = Decode
	assert.Assert(t, s.SetEndpoint(moved))
	assert.Equal(t, len(s.View().Available("s")), 0)
	assert.Equal(t, len(s.View().All()), 1, "it still runs")
	drained := report(1, 4)
	drained.Draining = true
	assert.Assert(t, s.SetEndpoint(drained), "others may know by the entry only")
}

func TestANewProcessOfAnEndpointThatLeftTakesWork(t *testing.T) {
	s := NewStore(&clock.Manual{})
	s.SetEndpoint(report(1, 9))
	s.SetLeaving("i-1", 1)
	s.SetEndpoint(report(2, 1))
	assert.Equal(t, len(s.View().Available("s")), 1)
	assert.Assert(t, !s.SetLeaving("i-1", 1), "late news of the process before it")
	assert.Equal(t, len(s.View().Available("s")), 1)
}

// Guards against a VM that hears of an endpoint's leaving before it knows the endpoint.
func TestALeavingIsKeptForAnEndpointThatIsNotKnownYet(t *testing.T) {
	c := &clock.Manual{}
	s := NewStore(c)
	s.SetLeaving("i-1", 1)
	s.RemoveExpired()
	s.SetEndpoint(report(1, 1))
	assert.Equal(t, len(s.View().Available("s")), 0)
	s.RemoveEndpoint("i-1")
	c.T = c.T.Add(forgetAfter + time.Second)
	s.RemoveExpired()
	assert.Equal(t, len(s.leaving), 0)
}
