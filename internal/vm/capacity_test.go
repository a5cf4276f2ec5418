package vm

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCapacityFollowsTheTighterLimit(t *testing.T) {
	assert.Equal(t, Capacity(0.192, 10), uint32(33), "the link")
	assert.Equal(t, Capacity(0.11, 200), uint32(50), "the processor")
	assert.Equal(t, Capacity(0.0001, 10), uint32(1))
	assert.Equal(t, Capacity(0, 10), uint32(defaultCapacity))
}
