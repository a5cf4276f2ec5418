package vm

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/origin"
)

// initOrigins sets up what this VM records and finds of the versions at which streams began.
func (n *Node) initOrigins() {
	n.origins = originsync.New()
	n.origins.Self, n.origins.Process, n.origins.Clock = n.o.Self.Peer, seedOf(n.o.Self.Incarnation), n.clock
	n.origins.Replicas = n.members.StreamReplicas
	n.observedSince.Store(int64(n.clock.Now()))
	n.origins.Observe = func(service string, window time.Duration) origin.Observation {
		o := origin.Observation{Fresh: n.members.HasFreshView(), Whole: n.members.ReachesAll() && n.clock.Now().Sub(clock.Time(n.observedSince.Load())) >= window}
		var ok bool
		if o.Versions, ok = n.archive.VersionsBegun(service); !ok {
			o.Versions = n.catalog.Versions(service, window)
		}
		return o
	}
	n.origins.HasQuorum, n.origins.ReachesAll, n.origins.ReadEndpoints = n.members.HasQuorum, n.members.ReachesAll, n.endpointReads.read
	n.initArchive()
}

func (n *Node) initArchive() {
	a := originsync.NewArchive()
	a.Store, a.Clock, a.Catalog = n.adapter.StreamRecords(), n.clock, n.catalog
	a.VMs, a.Spread = n.members.AdvertisedCount, seedOf(n.o.Self.Incarnation)
	a.IsReader = func() bool { return n.members.IsReader() && n.members.HasFreshRead() }
	a.Era = n.eras.Since
	a.IsSettled = func(at clock.Time) bool { return n.eras.Current() <= era.First || n.eras.SettledBy(at) }
	a.OnAmbiguous, a.OnAppendFailed, a.OnRecords = n.origins.ArchiveOwn, n.origins.HandOver, n.recordsRead
	a.AppendDelay, a.History = n.origins.AppendDelay, n.readHistory
	n.eras.OnRestore(a.Reset)
	n.eras.OnRestore(n.origins.ArchiveOwn) // the store may have lost them
	n.archive, n.origins.Archive = a, a
	n.origins.Archivers = func() []string { return n.members.Archivers(originsync.MaxArchivers) }
}
