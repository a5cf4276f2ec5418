package bytebudget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against bodies that take more than their share of a VM's memory, and against new requests that take the
// reserve of those that are being read.
func TestBudgetIsKept(t *testing.T) {
	b := New()
	assert.Equal(t, b.MaxBody(), int64(DefaultCapacity/2))
	b.SetMemory(400)
	assert.Assert(t, b.Take(74, 0))
	assert.Assert(t, b.Admit())
	assert.Assert(t, b.Take(1, 0))
	assert.Assert(t, !b.Admit())
	assert.Assert(t, !b.Take(26, 0))
	assert.Assert(t, b.Take(25, LargeBytes-1))
	assert.Equal(t, b.Snapshot(), Snapshot{Capacity: 100, Used: 100, Peak: 100, Denied: 1, Refused: 1})
	b.Give(100)
	assert.Assert(t, b.Admit())
}

// Guards against settings without a memory limit, and against a limit that is lowered while bodies are held.
func TestCapacityFollowsTheSettings(t *testing.T) {
	b := New()
	b.SetMemory(4000)
	assert.Assert(t, b.Take(900, 0))
	b.SetMemory(400)
	assert.Assert(t, !b.Take(1, 0))
	assert.Assert(t, !b.Admit())
	b.SetMemory(0)
	assert.Equal(t, b.Snapshot().Capacity, int64(DefaultCapacity))
	assert.Assert(t, b.Take(1, 0))
}

// Guards against bodies without end that have new requests refused, or small answers given up.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	b := New()
	b.SetMemory(400)
	assert.Assert(t, b.Take(50, LargeBytes))
	assert.Assert(t, !b.Take(1, LargeBytes))
	assert.Assert(t, b.Admit())
	assert.Assert(t, b.Take(50, 0))
}
