package vm

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/policy/connlimit"
)

// Guards against servers that together take the descriptors for endpoints, the store and other VMs, or more memory than
// there is for connections.
func TestServersLeaveDescriptors(t *testing.T) {
	const memory = 144 << 20
	for _, descriptors := range []int{300, 700, 4200, maxDescriptors} {
		var sum connlimit.Limits
		for name := range connShares {
			l := connectionLimits(name, memory, descriptors)
			sum.Connections += l.Connections
			sum.Bytes += l.Bytes
		}
		assert.Assert(t, sum.Connections <= sockets(descriptors)/2, "%d of %d", sum.Connections, sockets(descriptors))
		callers := connectionLimits("front", memory, descriptors).Connections
		assert.Assert(t, sum.Connections+2*callers <= sockets(descriptors), "%d of %d", sum.Connections, sockets(descriptors))
		assert.Assert(t, sum.Bytes <= memory/connMemoryDivisor)
	}
	assert.Equal(t, connectionLimits("front", 0, 4200), connlimit.Limits{Connections: 1000})
}
