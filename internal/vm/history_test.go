package vm

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/era"
	"fescuestand/internal/keyedlog"
)

// stuckSource returns the page that it was asked for without an entry and without a next one.
type stuckSource struct {
	keyedlog.Source
	reads int
}

func (s *stuckSource) Read(ctx context.Context, from era.Position, _ time.Duration) (keyedlog.Page, error) {
	s.reads++
	if s.reads > 1 {
		return keyedlog.Page{}, context.DeadlineExceeded
	}
	return keyedlog.Page{Next: from}, ctx.Err()
}

// Guards against reads of the endpoints' history without end, for which the take-ups of streams wait, at a store whose
// pages don't advance.
func TestHistoryEndsAtAPageThatDoesNotAdvance(t *testing.T) {
	source := &stuckSource{}
	_, err := (&Node{}).readChanges(t.Context(), source, era.Position{}, era.Position{Offset: 2})
	assert.ErrorIs(t, err, errNoProgress)
	assert.Equal(t, source.reads, 1)
}
