package vm

import (
	"time"

	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/origin"
)

// initOrigins sets up what this VM records and finds of the versions at which streams began.
func (n *Node) initOrigins() {
	n.origins = originsync.New()
	n.origins.Self, n.origins.Process, n.origins.Clock = n.o.Self.Peer, seedOf(n.o.Self.Incarnation), n.clock
	n.origins.Replicas = n.members.StreamReplicas
	n.origins.Observe = func(service string, window time.Duration) origin.Observation {
		return origin.Observation{Versions: n.catalog.Versions(service, window), Fresh: n.members.HasFreshView()}
	}
}
