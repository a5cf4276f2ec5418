package vm

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/configsync"
	"fescuestand/internal/gateway"
	"fescuestand/internal/httpserver"
	"fescuestand/internal/keyedlog"
)

// ConfigKey is the key of the operators' configuration in the Adapter's Configs.
const ConfigKey = "config"

const (
	// configReadWait is how long one read of the store waits for a newer configuration. If its
	// connection fails silently meanwhile, peers report the newer version.
	configReadWait = 20 * time.Second
	// readerReadWait replaces configReadWait at a VM that reads the endpoints for all VMs: the
	// others get changes from it, so its read must end while a change can still come into force in
	// time.
	readerReadWait = 1200 * time.Millisecond
	// freshReadWait replaces configReadWait at such a VM where API keys are accepted or denied by the
	// age of the configuration.
	freshReadWait = 600 * time.Millisecond
	// maxConfirmedAge is the age of the configuration from which a read of the store is overdue.
	maxConfirmedAge = 1500 * time.Millisecond
	// configReadInterval is the pause after each read of the configuration, so that one read covers
	// several versions published in quick succession. It is a fifth of the time in which a change
	// must be in force.
	configReadInterval = 400 * time.Millisecond
	// periodicInterval is the time between two runs of runPeriodic's tasks.
	periodicInterval = 250 * time.Millisecond
)

// initFollowers sets up the followers of the platform's keyed logs.
func (n *Node) initFollowers() {
	n.configFollower = keyedlog.New("config", n.adapter.Configs())
	n.configFollower.Apply, n.configFollower.SingleKey = n.applyConfig, true
	n.configFollower.ReadWait, n.configFollower.ReadInterval, n.configFollower.Clock = n.configReadWait, n.configReadInterval, n.clock
	n.configFollower.Eras, n.configFollower.OnRead = n.eras, n.recordConfigRead
	n.configPuller = configsync.NewPuller(n.o.Network, n.clock, n.version, n.configFollower)
	n.endpointFollower = keyedlog.New("fleet", n.adapter.Endpoints())
	n.endpointFollower.Eras, n.endpointFollower.Clock = n.eras, n.clock
	n.endpointFollower.Apply, n.endpointFollower.BeginBatch, n.endpointFollower.EndBatch = n.applyEndpoint, n.catalog.BeginBatch, n.catalog.EndBatch
	n.endpointFollower.ReadInterval, n.endpointFollower.OnReadError = n.members.ReadInterval, n.catalog.RecordOutage
	n.endpointReads.wake = n.endpointFollower.Wake
	n.endpointFollower.OnRead = func(sentAt clock.Time) {
		n.endpointReads.record(sentAt)
		n.members.RecordRead(sentAt)
		n.recordEndpointsRead()
		n.endpointChanges.RecordRead(n.endpointFollower.Next())
	}
	n.endpointChanges = gateway.NewChanges(n.clock, n.eras, n.endpointFollower)
	n.endpointChanges.IsReader = n.members.IsReader
	n.eras.OnRestore(n.storeRestored)
}

// recordEndpointsRead records that this VM knows the endpoints.
func (n *Node) recordEndpointsRead() {
	if !n.hasReadEndpoints.Swap(true) {
		n.announceCutOff()
	}
}

// storeRestored handles a restore of the platform's store. Entries that the store has lost are kept as
// after an outage, and a wait for a record ends: it may be for an offset that was given out again.
func (n *Node) storeRestored() {
	n.catalog.RecordOutage()
	if n.configReadWait() > 0 {
		n.configFollower.Wake()
	}
}

// recordConfigRead records that a call sent at sentAt has read the newest configuration. Shortly after a
// restore the store may lack it: the operators may not have written it again yet.
func (n *Node) recordConfigRead(sentAt clock.Time) {
	if n.freshness != nil && n.eras.SettledBy(sentAt) {
		n.freshness.RecordRead(sentAt)
	}
}

// configReadWait returns how long a read of the configuration waits for a newer one.
func (n *Node) configReadWait() time.Duration {
	switch {
	case n.isFreshReader():
		return freshReadWait
	case !n.members.IsConfigReader():
		return 0
	case n.members.IsReader():
		return readerReadWait
	}
	return configReadWait
}

// isFreshReader reports whether this VM reads the store so often that other VMs rely on its age of
// the configuration to accept or deny keys. During an outage of the store it is false, and its reads
// of the endpoints detect the end of the outage.
func (n *Node) isFreshReader() bool {
	return n.freshness != nil && n.members.IsReader() && n.members.HasFreshRead()
}

// configReadInterval returns the time between two reads of the configuration.
func (n *Node) configReadInterval() time.Duration {
	if n.members.IsConfigReader() || n.isFreshReader() {
		return configReadInterval
	}
	return n.members.IdleReadInterval()
}

// version returns the version of the configuration in force, zero if there is none.
func (n *Node) version() uint64 {
	if c := n.View().Config; c != nil {
		return c.Version
	}
	return 0
}

// catalogUnit keeps the catalog up to date with the platform's store. It is a kernel unit.
type catalogUnit struct{ n *Node }

// Name implements kernel.Unit.
func (u *catalogUnit) Name() string { return "catalog" }

// Run implements kernel.Runner.
func (u *catalogUnit) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n := u.n
	group.Go(func() error { return n.configFollower.Run(ctx) })
	group.Go(func() error { return n.endpointFollower.Run(ctx) })
	group.Go(func() error { return n.gateway.FollowCatalog(ctx) })
	group.Go(func() error { return u.runPeriodic(ctx) })
	return group.Wait()
}

// runPeriodic runs periodic tasks until ctx ends: it removes expired endpoints, refreshes the
// configuration, and updates whether this VM is ready or cut off and the number of VMs that share the
// retry budget.
func (u *catalogUnit) runPeriodic(ctx context.Context) error {
	tick := time.NewTicker(periodicInterval)
	defer tick.Stop()
	for {
		u.n.catalog.RemoveExpired()
		if !u.n.members.HasFreshView() {
			u.n.observedSince.Store(int64(u.n.clock.Now()))
		}
		u.n.refreshConfig()
		u.n.members.SetReady(u.n.catalog.View().Config != nil && u.n.archive.Loaded())
		u.n.announceCutOff() // two changes at the same moment may have been announced in the wrong order
		if u.n.members.HasPeers() {
			u.n.retryBudget.SetMembers(u.n.members.Count())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// refreshConfig ends a long wait in a read of the configuration at a VM that has become one on whose
// reads the others rely.
func (n *Node) refreshConfig() {
	if !n.isFreshReader() {
		return
	}
	now := n.clock.Now()
	if age, _, ok := n.freshness.Age(); ok && age > maxConfirmedAge && now.Sub(n.lastNudge) > maxConfirmedAge {
		n.lastNudge = now
		n.configFollower.Wake()
	}
}

func (n *Node) applyConfig(e keyedlog.Entry) (isReadable bool) {
	if e.Key != ConfigKey || e.Value == nil {
		return true
	}
	c, err := n.adapter.DecodeConfig(e.Value)
	if err != nil {
		n.unreadableConfig = e.Position
		if n.freshness != nil {
			n.freshness.RecordUnreadable()
		}
		logEntry(&e).WithError(err).Error("configuration decode failed")
		return false
	}
	if !n.catalog.SetConfig(c) {
		return true
	}
	logEntry(&e).WithField("version", c.Version).Info("configuration applied")
	n.callers.SetLimits(httpserver.Limits{Header: c.Limits.HeaderTime, Idle: c.Limits.IdleTime})
	if n.freshness != nil {
		n.freshness.RecordInForce(c.Version, !e.Position.Before(n.unreadableConfig))
	}
	n.configHandler.Set(e)
	if !e.FromPeer {
		n.gossip.SendEarly() // VMs that don't read the store wait for the version
	}
	n.pushUpdates()
	return true
}

// logEntry returns a log entry that says where e was read.
func logEntry(e *keyedlog.Entry) *log.Entry {
	return log.WithField("key", e.Key).WithField("era", uint64(e.Position.Era)).WithField("offset", e.Position.Offset).WithField("from_peer", e.FromPeer)
}

func (n *Node) applyEndpoint(e keyedlog.Entry) (isReadable bool) {
	if e.Value == nil {
		n.applyRemoval(e)
		return true
	}
	ep, err := n.adapter.DecodeEndpoint(e.Key, e.Value)
	if err != nil {
		if leftOut, ok := n.unreadableEntries.Allow(n.clock.Now()); ok {
			logEntry(&e).WithError(err).WithField("left_out", leftOut).Warn("endpoint entry decode failed")
		}
		n.catalog.RecordUnreadable(e.Key)
		return false
	}
	if n.catalog.SetEndpoint(ep) {
		if !e.Initial { // a fleet's entries are logged by the catalog already
			logEntry(&e).Info("endpoint entry applied")
		}
		n.endpointChanges.RecordApplied(e)
		n.pushUpdates()
	}
	return true
}

// applyRemoval handles the end of an endpoint's entry. If another VM read it from the store and keeps
// the endpoint for a while, this VM keeps it for as long.
func (n *Node) applyRemoval(e keyedlog.Entry) {
	changed := false
	switch {
	case e.Final:
		changed = n.catalog.EndEndpoint(e.Key)
	case e.GracePeriod > 0:
		changed = n.catalog.ExpireAfter(e.Key, e.Missing, e.GracePeriod)
	default:
		changed, e.GracePeriod = n.catalog.RemoveEndpoint(e.Key, e.Missing)
	}
	if changed {
		logEntry(&e).WithField("missing", e.Missing).WithField("kept_ms", e.GracePeriod.Milliseconds()).Info("endpoint entry ended")
		n.endpointChanges.RecordApplied(e)
		n.pushUpdates()
	}
}
