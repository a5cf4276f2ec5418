// Package control holds the authority over engines and uses it: it claims
// engines through the control stream, reads their state, drains them at the
// entries and orders what the sheet and the role planner want.
//
// One goroutine owns all of it and takes typed events. Reads of engines,
// orders, appends and calls to entries run beside it and answer with events.
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

// Replica is the process's copy of sheet and VMs; replica.Replica is one.
type Replica interface {
	View() *replica.View
	Updated() <-chan struct{}
	Contribute(f func(*wire.Gossip))
	OnGossip(f func(*wire.Gossip))
}

// Options of the control process. Replica, Log, Peers, Stream, VM and
// Incarnation are required.
type Options struct {
	Replica     Replica
	Log         *logclient.Client
	Peers       replica.Caller
	Weights     driver.WeightStore // nil paces no loads
	Clock       clock.Clock
	Stream      string // the control stream
	VM          string
	Incarnation string

	Lease          lease.Options
	RenewInterval  time.Duration
	ChangeTimeouts reconcile.Timeouts
	// CheckpointInterval is the longest age of the stream's newest checkpoint.
	CheckpointInterval time.Duration
	// OpenEngine replaces the registry of engine drivers in tests.
	OpenEngine func(name string, t driver.Target) (driver.Engine, error)

	skipPermit bool // tests only: orders go out whatever the lease says
}

const (
	defaultTTL           = 6 * time.Second
	defaultMargin        = time.Second
	defaultMaxFlight     = 2 * time.Second
	defaultRenewInterval = 2 * time.Second
	// defaultCheckpoint is far ahead of any retention that keeps a day's
	// records.
	defaultCheckpointInterval = 10 * time.Minute
	// tickEvery paces the decisions. An engine's state is read at this pace
	// while it changes, and every restTicks otherwise: ten engines read each
	// second took 9.9 KB/s of the 6 KB/s that control may use.
	tickInterval     = 250 * time.Millisecond
	ticksPerIdleRead = 10
	// idleTicks paces the role planner and the status report.
	ticksPerPlan = 4
	// callTimeout bounds a read of an engine and a call to an entry.
	callTimeout = time.Second
	// orderTimeout bounds an order beside the driver's own bound.
	orderTimeout = 3 * time.Second
	// eventQueue holds the answers of a tick's reads and calls.
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

// Control is the control part of one process.
type Control struct {
	opt        Options
	events     chan event
	wg         sync.WaitGroup
	scopes     atomic.Pointer[[]status.Scope]
	directives atomic.Pointer[[]*wire.Directive]
	leaving    atomic.Bool
	heldScopes atomic.Int64 // scopes still held
}

// New returns the control of a process; it does nothing before Run.
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

// Scopes returns the authority over engines as this process knows it.
func (c *Control) Scopes() []status.Scope { return *c.scopes.Load() }

// Left implements kernel.Leftover.
func (c *Control) Left() int { return int(c.heldScopes.Load()) }

// Drain implements kernel.Drainer: it begins no change, finishes those that
// have begun, and hands every engine over.
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

// own is the loop of the owner goroutine.
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

// post hands over an event that comes again; it is dropped if the owner is
// far behind.
func (c *Control) tryPost(e event) {
	select {
	case c.events <- e:
	default:
	}
}

// postWait hands over an event that must not be lost.
func (c *Control) postBlocking(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// state is what the owner goroutine holds.
type state struct {
	ctx          context.Context
	c            *Control
	opt          *Options
	authority    *fold.Authority
	tracker      *lease.Tracker
	sheetVersion uint64 // version of the sheet that engines and pools follow
	engines      map[string]*engine
	pools        map[string]*pool
	// departed is when engines that are still held left the sheet.
	removedAt map[string]clock.Time
	renewal   renewalState
	ckpt      checkpointState
	loads     map[string]entryTotals // entry VM to what it measured
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

// tick makes every decision anew from what is known.
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
