package turn

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that starve in an endpoint's queue, as later ones get the slots that become free.
func TestRequestsTakeTurns(t *testing.T) {
	const limit = 3
	var q Queue
	assert.Assert(t, q.IsNext(0))
	var turns []Turn
	for range limit {
		turn, ok := q.Enter(limit)
		assert.Assert(t, ok)
		turns = append(turns, turn)
	}
	_, ok := q.Enter(limit)
	assert.Assert(t, !ok)
	assert.Assert(t, !q.IsNext(0) && !q.IsNext(turns[1]) && q.IsNext(turns[0]))
	q.Leave(turns[1])
	q.Leave(turns[0])
	assert.Assert(t, !q.IsNext(0) && q.IsNext(turns[2]))
}
