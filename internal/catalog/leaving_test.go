package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// report returns a report of endpoint i-1.
func report(born, sequence int64) *Endpoint {
	return &Endpoint{ID: "i-1", Service: "s", Address: "a:1", Born: born, Sequence: sequence}
}

// Guards against an entry that still says ready making an endpoint available again, when it is read
// after an answer in which the endpoint announced that it leaves.
func TestReportsDoNotRestoreALeavingEndpoint(t *testing.T) {
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
	assert.Equal(t, len(s.View().All()), 1, "the endpoint still runs")
	drained := report(1, 4)
	drained.Draining = true
	assert.Assert(t, s.SetEndpoint(drained), "other VMs may learn of it from the entry only")
}

func TestNewProcessOfALeavingEndpointIsAvailable(t *testing.T) {
	s := NewStore(&clock.Manual{})
	s.SetEndpoint(report(1, 9))
	s.SetLeaving("i-1", 1)
	s.SetEndpoint(report(2, 1))
	assert.Equal(t, len(s.View().Available("s")), 1)
	assert.Assert(t, !s.SetLeaving("i-1", 1), "late notice of the previous process")
	assert.Equal(t, len(s.View().Available("s")), 1)
}

// Guards against the loss of a leaving notice that arrives before the endpoint's first report.
func TestLeavingNoticeIsKeptForAnUnreportedEndpoint(t *testing.T) {
	c := &clock.Manual{}
	s := NewStore(c)
	s.SetLeaving("i-1", 1)
	s.RemoveExpired()
	s.SetEndpoint(report(1, 1))
	assert.Equal(t, len(s.View().Available("s")), 0)
	s.RemoveEndpoint("i-1", false)
	c.T = c.T.Add(tombstoneTTL + time.Second)
	s.RemoveExpired()
	assert.Equal(t, len(s.leaving), 0)
}
