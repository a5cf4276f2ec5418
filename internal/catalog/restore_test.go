package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against an endpoint that is used again because a restored store has an older report of it: one
// from before it left, or before its entry was deleted.
func TestARestoredReportDoesNotBringBackALeavingEndpoint(t *testing.T) {
	s := NewStore(&clock.Manual{T: 1})
	s.SetEndpoint(&Endpoint{ID: "e", Born: 5, Sequence: 4, Service: "m", Draining: true})
	assert.Assert(t, !s.SetEndpoint(&Endpoint{ID: "e", Born: 5, Sequence: 3, Service: "m"}))
	assert.Equal(t, len(s.View().Available("m")), 0)
	s.RemoveEndpoint("e", false)
	assert.Assert(t, !s.SetEndpoint(&Endpoint{ID: "e", Born: 5, Sequence: 4, Service: "m"}))
	assert.Equal(t, len(s.View().All()), 0)
}

// Guards against a live endpoint that is never used again: a restore lost its entry, and it writes the
// same entry again after it was removed.
func TestAnEndpointThatARestoreLostComesBack(t *testing.T) {
	c := &clock.Manual{T: 1}
	s := NewStore(c)
	e := &Endpoint{ID: "e", Born: 5, Sequence: 4, Service: "m"}
	s.SetEndpoint(e)
	s.RecordOutage()
	_, kept := s.RemoveEndpoint("e", true)
	assert.Equal(t, kept, outageGrace)
	c.T = c.T.Add(outageGrace)
	s.RemoveExpired()
	assert.Equal(t, len(s.View().All()), 0)
	assert.Assert(t, !s.SetEndpoint(&Endpoint{ID: "e", Born: 5, Sequence: 3, Service: "m"}))
	assert.Assert(t, s.SetEndpoint(e))
	assert.Equal(t, len(s.View().Available("m")), 1)
}
