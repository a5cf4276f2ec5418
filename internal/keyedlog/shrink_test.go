package keyedlog

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/era"
)

// shrinkingSource is a log whose second answer knows of fewer records than the first one.
type shrinkingSource struct {
	scriptedSource
	calls  int
	cancel func()
}

// maxShrunkReads is more reads than a log of three records needs.
const maxShrunkReads = 50

func (s *shrinkingSource) Read(ctx context.Context, from era.Position, _ time.Duration) (Page, error) {
	s.calls++
	if s.calls >= maxShrunkReads {
		s.cancel()
	}
	if from.Offset == 0 {
		return Page{Entries: []Entry{entry("a", "1", 0)}, Next: at(1), End: 3}, ctx.Err()
	}
	return Page{Next: from, End: 1}, ctx.Err()
}

// Guards against a follower that reads without a pause and never returns, since an answer without records is
// older than the one before it.
func TestAPageWithoutRecordsEndsARead(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := &shrinkingSource{cancel: cancel}
	f := New("test", s)
	f.Apply = func(Entry) bool { return true }
	assert.NilError(t, f.readOnce(ctx)) // the newest records
	_ = f.readOnce(ctx)                 // an error is as good
	assert.Assert(t, s.calls < maxShrunkReads, "%d reads", s.calls)
}
