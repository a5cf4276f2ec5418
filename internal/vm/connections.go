package vm

import (
	"golang.org/x/sys/unix"

	"fescuestand/internal/gateway"
	"fescuestand/internal/policy/connlimit"
)

const (
	// reservedDescriptors are for files and for what the runtime opens.
	reservedDescriptors = 200
	// minConnections is the least that a server may have open.
	minConnections = 8
	// maxDescriptors bounds what a process without a limit is taken to have.
	maxDescriptors = 1 << 16
	// connMemoryDivisor is the part of the memory limit that the connections of all servers may take. Bodies have a
	// part of their own (package bytebudget).
	connMemoryDivisor = 4
	// connParts is the number of parts of which a connShare is a share.
	connParts = 32
	// idleDivisor is the part of the descriptors that idle connections to endpoints may take.
	idleDivisor = 8
)

// connShare is the share of a server in the descriptors and in the memory for connections, in 32nds. What is left of the
// descriptors is for connections to endpoints, the store and other VMs: a caller's request takes up to two.
type connShare struct{ descriptors, memory int64 }

// connShares are the shares of the servers by name.
var connShares = map[string]connShare{
	"front":     {8, 20},
	"directory": {2, 4},
	"peers":     {2, 4},
	"ready":     {1, 2},
	"metrics":   {1, 2},
}

// connectionLimits returns the limits of a server for a process that may take so much memory and open so many
// descriptors, each zero if it isn't known.
func connectionLimits(server string, memory int64, descriptors int) connlimit.Limits {
	share := connShares[server]
	return connlimit.Limits{
		Connections: int(max(int64(sockets(descriptors))*share.descriptors/connParts, minConnections)),
		Bytes:       memory / connMemoryDivisor * share.memory / connParts,
	}
}

// sockets returns how many descriptors are for sockets.
func sockets(descriptors int) int { return max(descriptors-reservedDescriptors, descriptors/2) }

// openableDescriptors returns how many descriptors the process may open: as many as the settings say, if they do, and the
// kernel allows.
func openableDescriptors(configured int) int {
	n := maxDescriptors
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < uint64(n) {
		n = int(r.Cur)
	}
	if configured > 0 {
		n = min(n, configured)
	}
	return n
}

// limitConnections puts the limits of connections in force.
func (n *Node) limitConnections(servers []*gateway.Server) {
	t := n.tunables.Load()
	if t == nil {
		return
	}
	descriptors := openableDescriptors(t.Descriptors)
	for _, s := range servers {
		s.SetConnectionLimits(connectionLimits(s.Name(), t.MemoryBytes, descriptors))
	}
	n.pool.SetMaxIdle(sockets(descriptors) / idleDivisor)
}

// bytesRefused makes room for bodies: a client that is waited for holds those of its request and of its answer.
func (n *Node) bytesRefused() { n.callers.GiveUpStalled() }
