package vm

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/configsync"
	"fescuestand/internal/gateway"
	"fescuestand/internal/keyedlog"
)

// ConfigKey is the operators' record among the Adapter's Configs.
const ConfigKey = "config"

const (
	// configWait is how long a VM that waits at the store for configurations
	// does so in one read. A connection that has gone silent meanwhile shows by
	// the peers that have the newer one.
	configWait = 20 * time.Second
	// readerWait replaces it where the VM reads the endpoints for all: the
	// others learn from it, so that its read must end while a change can still
	// come into force in time.
	readerWait = 1200 * time.Millisecond
	// freshWait replaces it where keys are judged by how new the configuration is.
	freshWait = 600 * time.Millisecond
	// confirmedAge is the age of what is known from which a read is overdue.
	confirmedAge = 1500 * time.Millisecond
	// configPause follows each read of the configuration: of versions that come
	// in quick succession one is taken for several, a fifth of the time in which
	// a change must be in force.
	configPause = 400 * time.Millisecond
	// settlePeriod is the time between two looks for lapsed entries.
	settlePeriod = 250 * time.Millisecond
)

// followers makes what follows the platform's keyed logs.
func (n *Node) followers() {
	n.config = keyedlog.New("config", n.adapter.Configs())
	n.config.Apply, n.config.SingleKey = n.applyConfig, true
	n.config.ReadWait, n.config.ReadInterval, n.config.Clock = n.configWait, n.configPause, n.clock
	if n.fresh != nil {
		n.config.OnRead = n.fresh.RecordRead
	}
	n.puller = configsync.NewPuller(n.clock, n.version, n.config)
	n.fleet = keyedlog.New("fleet", n.adapter.Endpoints())
	n.fleet.Apply, n.fleet.BeginBatch, n.fleet.EndBatch = n.applyEndpoint, n.catalog.Hold, n.catalog.Release
	n.fleet.ReadInterval, n.fleet.OnReadError = n.members.ReadInterval, n.catalog.Unreachable
	n.fleet.OnRead = func(clock.Time) {
		n.members.RecordRead()
		n.changes.RecordRead(n.fleet.NextOffset())
	}
	n.changes = gateway.NewChanges(n.clock, n.fleet)
	n.changes.IsReader = n.members.IsReader
}

// configWait is how long a read of the configuration waits for a newer one.
func (n *Node) configWait() time.Duration {
	switch {
	case n.confirms():
		return freshWait
	case !n.members.IsConfigReader():
		return 0
	case n.members.IsReader():
		return readerWait
	}
	return configWait
}

// confirms tells whether this VM reads the store so often that others can judge keys by
// what it knows. While the store is away its reads of the endpoints show the return.
func (n *Node) confirms() bool {
	return n.fresh != nil && n.members.IsReader() && n.members.HasFreshRead()
}

// configPause is the time between two reads of the configuration.
func (n *Node) configPause() time.Duration {
	if n.members.IsConfigReader() || n.confirms() {
		return configPause
	}
	return n.members.IdleReadInterval()
}

// version is that of the configuration in force, zero if there is none.
func (n *Node) version() uint64 {
	if c := n.View().Config; c != nil {
		return c.Version
	}
	return 0
}

// follower keeps the catalog equal to the store. It is a kernel unit.
type follower struct{ n *Node }

// Name implements kernel.Unit.
func (f *follower) Name() string { return "catalog" }

// Run implements kernel.Runner.
func (f *follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	n := f.n
	group.Go(func() error { return n.config.Run(ctx) })
	group.Go(func() error { return n.fleet.Run(ctx) })
	group.Go(func() error { return n.gateway.FollowCatalog(ctx) })
	group.Go(func() error { return f.settle(ctx) })
	return group.Wait()
}

// settle does what goes with time.
func (f *follower) settle(ctx context.Context) error {
	tick := time.NewTicker(settlePeriod)
	defer tick.Stop()
	for {
		f.n.catalog.Settle()
		f.n.confirmSoon()
		f.n.members.SetReady(f.n.catalog.View().Config != nil)
		if f.n.members.HasPeers() {
			f.n.budget.SetMembers(f.n.members.Count())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// confirmSoon ends a read that waits for long at a VM that has become one on whose reads
// the others rely.
func (n *Node) confirmSoon() {
	if !n.confirms() {
		return
	}
	now := n.clock.Now()
	if age, _, ok := n.fresh.Age(); ok && age > confirmedAge && now.Sub(n.nudgedAt) > confirmedAge {
		n.nudgedAt = now
		n.config.Wake()
	}
}

func (n *Node) applyConfig(e keyedlog.Entry) {
	if e.Key != ConfigKey || e.Value == nil {
		return
	}
	c, err := n.adapter.DecodeConfig(e.Value)
	if err != nil {
		if n.fresh != nil {
			n.fresh.RecordUnreadable()
		}
		log.WithError(err).WithField("offset", e.Offset).Error("configuration not understood")
		return
	}
	if !n.catalog.SetConfig(c) {
		return
	}
	if n.fresh != nil {
		n.fresh.RecordInForce(c.Version)
	}
	n.share.Set(e)
	if !e.FromPeer {
		n.gossip.SendEarly() // those that don't read the store wait for it
	}
	n.news()
}

func (n *Node) applyEndpoint(e keyedlog.Entry) {
	if e.Value == nil {
		n.endEndpoint(e)
		return
	}
	ep, err := n.adapter.DecodeEndpoint(e.Key, e.Value)
	if err != nil {
		log.WithError(err).WithField("endpoint", e.Key).Warn("entry names no endpoint")
		return
	}
	if n.catalog.SetEndpoint(ep) {
		n.changes.RecordApplied(e)
		n.news()
	}
}

// endEndpoint takes the end of an endpoint's entry; a VM that has heard of it goes by
// what the VM that read it makes of it.
func (n *Node) endEndpoint(e keyedlog.Entry) {
	changed := false
	if e.GracePeriod > 0 {
		changed = n.catalog.Lapse(e.Key, e.GracePeriod)
	} else {
		changed, e.GracePeriod = n.catalog.RemoveEndpoint(e.Key)
	}
	if changed {
		n.changes.RecordApplied(e)
		n.news()
	}
}
