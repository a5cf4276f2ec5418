package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against a live endpoint that other VMs remove: its entry expired during an outage of the
// store, and the report that it wrote again was not announced to them.
func TestAReportThatCancelsARemovalIsAChange(t *testing.T) {
	c := &clock.Manual{T: 1}
	s := NewStore(c)
	s.SetEndpoint(&Endpoint{ID: "e", Sequence: 4, Service: "m"})
	s.RecordOutage()
	changed, kept := s.RemoveEndpoint("e", false)
	assert.Assert(t, changed && kept > 0)
	assert.Assert(t, s.SetEndpoint(&Endpoint{ID: "e", Sequence: 5, Service: "m"}))
	assert.Assert(t, !s.SetEndpoint(&Endpoint{ID: "e", Sequence: 6, Service: "m"}))
	c.T = c.T.Add(2 * outageGrace)
	s.RemoveExpired()
	assert.Equal(t, len(s.View().All()), 1)
}
