package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against a start in time quadratic in the number of endpoints: each of thousands of changes
// built a view of all endpoints.
func TestABatchPublishesOneView(t *testing.T) {
	s := NewStore(&clock.Manual{T: 1})
	before, changed := s.View(), s.Changed()
	s.BeginBatch()
	for i := range 100 {
		s.SetEndpoint(&Endpoint{ID: fmt.Sprint(i), Service: "m"})
	}
	assert.Assert(t, s.View() == before)
	s.EndBatch()
	<-changed
	assert.Equal(t, len(s.View().All()), 100)

	view := s.View()
	s.BeginBatch()
	s.EndBatch()
	assert.Assert(t, s.View() == view, "an empty batch publishes no view")
}
