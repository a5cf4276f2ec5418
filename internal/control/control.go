// Package control holds leases on engines and changes the engines under them. It claims engines
// through the control stream, reads their state, drains them at the entries (the processes that
// route the requests of callers) and sends them the orders that the sheet and the role planner ask
// for.
//
// Each engine has at most one holder at a time, and only the holder may send it orders. An order
// carries the fencing token of the lease, and the lease is checked again just before the last byte
// of the order. Engines that ignore tokens are protected by longer waits before a takeover. Planned
// changes drain an engine before the order and keep the number of unavailable engines of a pool
// within its limit.
//
// One goroutine owns all state and processes typed events. Reads of engines, orders, appends to the
// log and calls to entries run in other goroutines, which report their results as events.
package control

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/lease"
	"fescuestand/internal/logclient"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/replica"
	"fescuestand/internal/status"
	"fescuestand/internal/wire"
)

// Replica is the process's copy of the sheet and the VM list; replica.Replica implements it.
type Replica interface {
	View() *replica.View
	Updated() <-chan struct{}
	Contribute(f func(*wire.Gossip))
	OnGossip(f func(*wire.Gossip))
}

// Options configure Control. Replica, Log, Peers, Stream, VM and Incarnation are required.
type Options struct {
	Replica     Replica
	Log         *logclient.Client
	Peers       replica.PeerClient
	Weights     driver.WeightStore // nil disables the pacing of loads
	Clock       clock.Clock
	Stream      string // the control stream
	VM          string
	Incarnation string

	Lease          lease.Options
	RenewInterval  time.Duration
	ChangeTimeouts reconcile.Timeouts
	// CheckpointInterval is the maximum age of the stream's newest checkpoint.
	CheckpointInterval time.Duration
	// OpenEngine replaces the registry of engine drivers in tests.
	OpenEngine func(name string, t driver.Target) (driver.Engine, error)

	skipPermit bool // tests only: send orders without checking the lease
}

const (
	defaultTTL           = 6 * time.Second
	defaultMargin        = time.Second
	defaultMaxFlight     = 2 * time.Second
	defaultRenewInterval = 2 * time.Second
	// defaultCheckpointInterval is far below any retention that keeps records for a day.
	defaultCheckpointInterval = 10 * time.Minute
	// tickInterval is the interval between decisions. While an engine is changing, its state is
	// read every tick, otherwise every ticksPerIdleRead ticks: reading ten engines every second
	// took 9.9 KB/s, more than the 6 KB/s that control traffic may use.
	tickInterval     = 250 * time.Millisecond
	ticksPerIdleRead = 10
	// ticksPerPlan is the number of ticks between runs of the role planner and between status
	// reports.
	ticksPerPlan = 4
	// callTimeout bounds one read of an engine and one call to an entry.
	callTimeout = time.Second
	// orderTimeout bounds an order, in addition to the driver's own timeout.
	orderTimeout = 3 * time.Second
	// maxQueuedEvents has room for the results of all reads and calls of one tick.
	maxQueuedEvents = 1024
)

func (o *Options) defaults() {
	o.Lease.TTL = cmp.Or(o.Lease.TTL, defaultTTL)
	o.Lease.Margin = cmp.Or(o.Lease.Margin, defaultMargin)
	o.Lease.MaxFlight = cmp.Or(o.Lease.MaxFlight, defaultMaxFlight)
	o.RenewInterval = cmp.Or(o.RenewInterval, defaultRenewInterval)
	o.CheckpointInterval = cmp.Or(o.CheckpointInterval, defaultCheckpointInterval)
	if o.ChangeTimeouts == (reconcile.Timeouts{}) {
		o.ChangeTimeouts = reconcile.DefaultTimeouts()
	}
	o.ChangeTimeouts.MaxFlight = o.Lease.MaxFlight
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.OpenEngine == nil {
		o.OpenEngine = openRegistered
	}
}

func openRegistered(_ string, t driver.Target) (driver.Engine, error) {
	open, err := driver.Engines.Get(t.Driver)
	if err != nil {
		return nil, err
	}
	return open(t)
}

// Control is the control unit of one process.
type Control struct {
	opt        Options
	events     chan event
	wg         sync.WaitGroup
	scopes     atomic.Pointer[[]status.Scope]
	directives atomic.Pointer[[]*wire.Directive]
	leaving    atomic.Bool
	heldScopes atomic.Int64 // number of scopes that this process holds
}

// New returns a Control; it does nothing before Run is called.
func New(opt Options) *Control {
	opt.defaults()
	c := &Control{opt: opt, events: make(chan event, maxQueuedEvents)}
	c.scopes.Store(&[]status.Scope{})
	c.directives.Store(&[]*wire.Directive{})
	opt.Replica.Contribute(func(g *wire.Gossip) { g.Directives = append(g.Directives, *c.directives.Load()...) })
	opt.Replica.OnGossip(c.receiveLoad)
	return c
}

// Name implements kernel.Unit.
func (c *Control) Name() string { return "control" }

// Scopes returns the holders of all engines as this process sees them.
func (c *Control) Scopes() []status.Scope { return *c.scopes.Load() }

// Left implements kernel.Leftover.
func (c *Control) Left() int { return int(c.heldScopes.Load()) }

// Drain implements kernel.Drainer: it starts no more changes, finishes those that have started and
// releases every engine.
func (c *Control) Drain(ctx context.Context) error {
	c.leaving.Store(true)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	quietTicks := 0
	for quietTicks < ticksPerPlan {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		quietTicks++
		if c.heldScopes.Load() > 0 {
			quietTicks = 0
		}
	}
	return nil
}

// Run implements kernel.Runner.
func (c *Control) Run(ctx context.Context) error {
	defer c.wg.Wait()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runOwner(ctx) })
	group.Go(func() error {
		return c.opt.Log.Tail(ctx, c.opt.Stream, 1, func(items []logclient.Item) error {
			return c.postBlocking(ctx, streamItems{items, c.opt.Clock.Now()})
		})
	})
	return group.Wait()
}

// runOwner is the event loop of the owner goroutine.
func (c *Control) runOwner(ctx context.Context) error {
	s := newState(ctx, c)
	defer s.closeEngines()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		updated := c.opt.Replica.Updated()
		s.applySheet()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			e.apply(s)
		case <-updated:
		case <-tick.C:
			s.tick()
		}
	}
}

// tryPost sends an event whose content will be sent again; the event is dropped if the queue is
// full.
func (c *Control) tryPost(e event) {
	select {
	case c.events <- e:
	default:
	}
}

// postBlocking sends an event that must not be lost.
func (c *Control) postBlocking(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// state is the state of the owner goroutine.
type state struct {
	ctx          context.Context
	c            *Control
	opt          *Options
	authority    *fold.Authority
	tracker      *lease.Tracker
	sheetVersion uint64 // version of the sheet that engines and pools were built from
	engines      map[string]*engine
	pools        map[string]*pool
	// removedAt is when engines that are still held were removed from the sheet.
	removedAt map[string]clock.Time
	renewal   renewalState
	ckpt      checkpointState
	loads     map[string]entryTotals // by entry VM
	loadPacer reconcile.LoadPacer
	weights   weightStoreState
	ticks     int
}

func newState(ctx context.Context, c *Control) *state {
	now := c.opt.Clock.Now()
	return &state{
		ctx: ctx, c: c, opt: &c.opt, authority: fold.NewAuthority(1),
		tracker: lease.NewTracker(c.opt.Lease, c.opt.Incarnation, now),
		engines: map[string]*engine{}, pools: map[string]*pool{}, loads: map[string]entryTotals{},
		removedAt: map[string]clock.Time{}, renewal: renewalState{preferences: map[string]preference{}},
	}
}

func (s *state) now() clock.Time { return s.opt.Clock.Now() }

// tick makes all decisions from the current state.
func (s *state) tick() {
	s.ticks++
	s.renewLeases()
	s.planPools()
	s.reconcileAll()
	s.readEngines()
	s.sendDirectives()
	s.checkpoint()
	s.updateHeldCount()
	if s.ticks%ticksPerPlan == 0 {
		s.publishStatus()
	}
}
