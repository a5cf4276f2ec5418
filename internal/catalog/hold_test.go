package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against a start that takes the square of the number of endpoints: each of
// thousands made a view of all.
func TestABatchMakesOneView(t *testing.T) {
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

	at := s.View()
	s.BeginBatch()
	s.EndBatch()
	assert.Assert(t, s.View() == at, "nothing has changed")
}
