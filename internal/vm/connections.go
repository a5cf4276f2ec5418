package vm

import (
	"fescuestand/internal/gateway"
	"fescuestand/internal/limits"
	"fescuestand/internal/policy/connlimit"
)

// connShares are the shares of the servers by name. What is left of the sockets is for connections to endpoints, the store
// and other VMs: a caller's request takes up to two.
var connShares = map[string]connlimit.Share{
	"front":     {Sockets: 8, Memory: 20},
	"directory": {Sockets: 2, Memory: 4},
	"peers":     {Sockets: 2, Memory: 4},
	"ready":     {Sockets: 1, Memory: 2},
	"metrics":   {Sockets: 1, Memory: 2},
}

// idleDivisor is the part of the sockets that idle connections to endpoints may take.
const idleDivisor = 8

// limitConnections puts the limits of connections in force.
func (n *Node) limitConnections(servers []*gateway.Server) {
	t := n.tunables.Load()
	if t == nil {
		return
	}
	sockets := limits.Sockets(t.Descriptors)
	for _, s := range servers {
		s.SetConnectionLimits(connShares[s.Name()].Limits(sockets, t.MemoryBytes))
	}
	n.pool.SetMaxIdle(sockets / idleDivisor)
}

// bytesRefused makes room for bodies: a client that is waited for holds those of its request and of its answer.
func (n *Node) bytesRefused() { n.callers.GiveUpStalled() }
