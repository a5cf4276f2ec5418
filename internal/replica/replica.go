package replica

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

// PeerClient sends one request to a peer process; peer.Pool implements it.
type PeerClient interface {
	Call(ctx context.Context, addr string, req *wire.PeerRequest) (*wire.PeerResponse, error)
}

// Options of a replica. Log, VMs, Peers, VM, Process, Incarnation and Stream are required.
type Options struct {
	Log    *logclient.Client
	VMs    driver.VMList
	Peers  PeerClient
	Clock  clock.Clock
	Stream string // name of the config stream

	VM          string
	Process     string // "entry" or "control"; only entry processes count as members
	Incarnation string

	GossipInterval time.Duration // time between gossip rounds
	SuspectTimeout time.Duration // time without a heartbeat after which a VM is suspect
	GoneTimeout    time.Duration // time without a heartbeat after which a VM is gone
	// Fanout is how many peers one gossip round calls. The other peers follow in the next rounds,
	// and the timeouts for missing heartbeats are extended in proportion.
	Fanout int
	// WriteCheckpoints makes this process write checkpoints of the config stream.
	WriteCheckpoints bool
	// CheckpointInterval is the maximum age of the newest checkpoint. It must be well below half of
	// the log's retention.
	CheckpointInterval time.Duration

	allowOlderVersion bool // tests only: disables the guard in adopt
}

// Reasons for the defaults: with four peers per round and a round every half second, each of eight
// VMs exchanges gossip with every other at least twice in the two seconds after which a VM is
// suspect, and the traffic per VM doesn't grow with the number of VMs. The VM list lags by seconds
// anyway. A checkpoint every ten minutes is frequent enough for any retention that keeps a day's
// commits.
const (
	defaultGossipInterval     = 500 * time.Millisecond
	defaultSuspectTimeout     = 2 * time.Second
	defaultGoneTimeout        = 10 * time.Second
	defaultFanout             = 4
	defaultCheckpointInterval = 10 * time.Minute
	listInterval              = time.Second
	listTimeout               = 2 * time.Second
	// pullDelay is how long a peer may be ahead before its sheet is requested. A healthy log
	// delivers the sheet within milliseconds, and a pull by every process for every change would
	// transfer more bytes than everything else.
	pullDelay = 300 * time.Millisecond
	// controlIntervalFactor is how much longer the gossip interval of a control process is: it
	// needs the totals of the entries only every second or two, and no process waits for its
	// heartbeat.
	controlIntervalFactor = 2
	// eventQueueLength is enough for a few rounds of heartbeats while the owner validates a large
	// sheet.
	eventQueueLength = 256
)

func (o *Options) defaults() {
	o.GossipInterval = cmp.Or(o.GossipInterval, defaultGossipInterval)
	if o.Process != processEntry {
		o.GossipInterval *= controlIntervalFactor
	}
	o.SuspectTimeout = cmp.Or(o.SuspectTimeout, defaultSuspectTimeout)
	o.GoneTimeout = cmp.Or(o.GoneTimeout, defaultGoneTimeout)
	o.Fanout = cmp.Or(o.Fanout, defaultFanout)
	o.CheckpointInterval = cmp.Or(o.CheckpointInterval, defaultCheckpointInterval)
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}

// Replica is the copy of one process. One goroutine owns its state.
type Replica struct {
	opt    Options
	events chan event
	snap   atomic.Pointer[snapshot]
	wg     sync.WaitGroup
	// leaving is not part of the owner's state, so that the urgent round announces it even while
	// the owner is busy with a large sheet.
	leaving atomic.Bool
	urgent  chan struct{} // requests an immediate gossip round to all peers

	mu           sync.Mutex
	composeFuncs []func(*wire.Gossip)
	listeners    []func(*wire.Gossip)
}

// New returns a replica; it is inactive until Run.
func New(opt Options) *Replica {
	opt.defaults()
	r := &Replica{opt: opt, events: make(chan event, eventQueueLength), urgent: make(chan struct{}, 1)}
	r.snap.Store(&snapshot{view: &View{}, changed: make(chan struct{})})
	return r
}

// Name implements kernel.Unit.
func (r *Replica) Name() string { return "replica" }

// View returns the current state.
func (r *Replica) View() *View { return r.snap.Load().view }

// Updated returns a channel that is closed when View returns a newer state than it does now. Call
// it before View.
func (r *Replica) Updated() <-chan struct{} { return r.snap.Load().changed }

// Contribute registers a function that fills in the gossip messages of this process. f must not
// block. Call Contribute before Run.
func (r *Replica) Contribute(f func(*wire.Gossip)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.composeFuncs = append(r.composeFuncs, f)
}

// OnGossip registers a function that receives the gossip of peers. f must not block and is called
// from several goroutines. Call OnGossip before Run.
func (r *Replica) OnGossip(f func(*wire.Gossip)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// SetLeaving announces immediately to all peers that this VM is leaving.
func (r *Replica) SetLeaving() {
	r.leaving.Store(true)
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// Run implements kernel.Runner.
func (r *Replica) Run(ctx context.Context) error {
	defer r.wg.Wait()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runOwner(ctx) })
	group.Go(func() error {
		return r.opt.Log.Tail(ctx, r.opt.Stream, 1, func(items []logclient.Item) error {
			return r.postWait(ctx, itemsRead{items})
		})
	})
	group.Go(func() error { return r.pollVMList(ctx) })
	group.Go(func() error { return r.gossip(ctx) })
	return group.Wait()
}

// runOwner is the loop of the owner goroutine.
func (r *Replica) runOwner(ctx context.Context) error {
	s := &state{
		ctx: ctx, r: r, fold: fold.NewConfig(1), aheadSince: map[string]clock.Time{},
		table: membership.New(membership.Options{SuspectAfter: r.opt.SuspectTimeout, GoneAfter: r.opt.GoneTimeout}),
	}
	tick := time.NewTicker(r.opt.GossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-r.events:
			e.apply(s)
		case <-tick.C:
			s.maybeCheckpoint(ctx)
		}
		s.publishView()
	}
}

// tryPost queues an event, or drops it if the queue is full; gossip is sent again in a later round.
func (r *Replica) tryPost(e event) {
	select {
	case r.events <- e:
	default:
		log.WithField("unit", "replica").Warn("event dropped, queue is full")
	}
}

// postWait queues an event that must not be dropped.
func (r *Replica) postWait(ctx context.Context, e event) error {
	select {
	case r.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publishView publishes a new View if the state has changed.
func (s *state) publishView() {
	old := s.r.snap.Load()
	next := &View{
		Ready: s.inForce.Sheet != nil, Version: s.inForce.Version, Sheet: s.inForce.Sheet, Body: s.inForce.Body, Hash: s.hash,
		Members: s.table.Members(s.now()), Leaving: s.r.leaving.Load(), Log: s.r.opt.Log.Health(),
		Offset: s.fold.LastApplied() + 1, Verdicts: old.view.Verdicts,
	}
	if next.Offset != old.view.Offset {
		next.Verdicts = s.fold.Verdicts()
	}
	if equalViews(old.view, next) {
		return
	}
	s.r.snap.Store(&snapshot{view: next, changed: make(chan struct{})})
	close(old.changed)
}

func equalViews(a, b *View) bool {
	if a.Version != b.Version || a.Leaving != b.Leaving || a.Log != b.Log || a.Offset != b.Offset {
		return false
	}
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

func (s *state) now() clock.Time { return s.r.opt.Clock.Now() }

// adopt puts a sheet in force if its version is higher than the one in force.
//
// Failure: a process returns from a new sheet to an older one, because a peer lags or its own read
// of the stream starts over. Therefore the version in force is the highest that it ever had, and
// never decreases.
func (s *state) adopt(a fold.AcceptedSheet, from string) {
	if a.Sheet == nil || a.Version <= s.inForce.Version && !s.r.opt.allowOlderVersion {
		return
	}
	s.inForce, s.hash = a, xxhash.Sum64(a.Body)
	clear(s.aheadSince)
	log.WithField("version", a.Version).WithField("from", from).Info("sheet in force")
}
