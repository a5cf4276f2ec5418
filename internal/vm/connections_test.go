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
	for _, sockets := range []int{150, 500, 4000, 65336} {
		var sum connlimit.Limits
		for _, share := range connShares {
			l := share.Limits(sockets, memory)
			sum.Connections += l.Connections
			sum.Bytes += l.Bytes
		}
		callers := connShares["front"].Limits(sockets, memory).Connections
		assert.Assert(t, sum.Connections <= sockets/2 && sum.Connections+2*callers <= sockets, "%d of %d", sum.Connections, sockets)
		assert.Assert(t, sum.Bytes <= memory/4)
	}
	assert.Equal(t, connShares["front"].Limits(4000, 0), connlimit.Limits{Connections: 1000})
}
