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

// PeerClient sends one request to a peer process; peer.Pool is one.
type PeerClient interface {
	Call(ctx context.Context, addr string, req *wire.PeerRequest) (*wire.PeerResponse, error)
}

// Options of a replica. Log, VMs, Peers, VM, Process, Incarnation and Stream
// are required.
type Options struct {
	Log    *logclient.Client
	VMs    driver.VMList
	Peers  PeerClient
	Clock  clock.Clock
	Stream string // the config stream

	VM          string
	Process     string // "entry" or "control"; only entries count as members
	Incarnation string

	GossipInterval   time.Duration // between rounds of gossip
	SuspectTimeout time.Duration
	GoneTimeout    time.Duration
	// Fanout is how many peers one round asks. The others have their turn in
	// the next rounds, and silence is counted in proportion.
	Fanout int
	// WriteCheckpoints makes this process write checkpoints of the config stream.
	WriteCheckpoints bool
	// CheckpointInterval is the longest age of the newest checkpoint. It must be
	// well below half of the log's retention.
	CheckpointInterval time.Duration

	anyVersion bool // tests only: switches off the guard in adopt
}

// Grounds for the defaults: at four peers a round of half a second, eight VMs
// hear each other at least twice in the two seconds that make a VM suspect,
// and the bytes don't grow with the number of VMs. The VM list lags by seconds
// anyway. A checkpoint every ten minutes is far ahead of any retention that
// keeps a day's commits.
const (
	defaultEvery           = 500 * time.Millisecond
	defaultSuspect         = 2 * time.Second
	defaultGone            = 10 * time.Second
	defaultFanout          = 4
	defaultCheckpointEvery = 10 * time.Minute
	listEvery              = time.Second
	listTimeout            = 2 * time.Second
	// pullAfter is how long a peer may be ahead before its sheet is asked for.
	// A healthy log brings the sheet within milliseconds, and a pull by every
	// process of every change would cost more bytes than all else.
	pullAfter = 300 * time.Millisecond
	// controlTurns is how much less often a control process takes its turns: it
	// needs the entries' totals every second or two, and nobody waits for its
	// heartbeat.
	controlTurns = 2
	// eventQueue holds a few rounds of heartbeats while the owner validates a
	// large sheet.
	eventQueue = 256
)

func (o *Options) defaults() {
	o.GossipInterval = cmp.Or(o.GossipInterval, defaultEvery)
	if o.Process != processEntry {
		o.GossipInterval *= controlTurns
	}
	o.SuspectTimeout = cmp.Or(o.SuspectTimeout, defaultSuspect)
	o.GoneTimeout = cmp.Or(o.GoneTimeout, defaultGone)
	o.Fanout = cmp.Or(o.Fanout, defaultFanout)
	o.CheckpointInterval = cmp.Or(o.CheckpointInterval, defaultCheckpointEvery)
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
}

// Replica is the copy of one process. One goroutine owns it.
type Replica struct {
	opt    Options
	events chan event
	snap   atomic.Pointer[snapshot]
	wg     sync.WaitGroup
	// leaving stands beside the owner's state, so that the urgent round says
	// it even if the owner is busy with a large sheet.
	leaving atomic.Bool
	urgent  chan struct{} // asks for a round of gossip to everyone

	mu           sync.Mutex
	contributors []func(*wire.Gossip)
	listeners    []func(*wire.Gossip)
}

// New returns a replica; it does nothing before Run.
func New(opt Options) *Replica {
	opt.defaults()
	r := &Replica{opt: opt, events: make(chan event, eventQueue), urgent: make(chan struct{}, 1)}
	r.snap.Store(&snapshot{view: &View{}, changed: make(chan struct{})})
	return r
}

// Name implements kernel.Unit.
func (r *Replica) Name() string { return "replica" }

// View returns the present state.
func (r *Replica) View() *View { return r.snap.Load().view }

// Updated returns a channel that is closed once View returns something newer
// than it does now. Take it before the View.
func (r *Replica) Updated() <-chan struct{} { return r.snap.Load().changed }

// Contribute adds f to those that fill in this process's gossip. f must not
// block. Call it before Run.
func (r *Replica) Contribute(f func(*wire.Gossip)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contributors = append(r.contributors, f)
}

// OnGossip adds f to those that read what peers say. f must not block and is
// called from several goroutines. Call it before Run.
func (r *Replica) OnGossip(f func(*wire.Gossip)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// SetLeaving makes this process say at once and to all that its VM leaves.
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
	group.Go(func() error { return r.own(ctx) })
	group.Go(func() error {
		return r.opt.Log.Tail(ctx, r.opt.Stream, 1, func(items []logclient.Item) error {
			return r.postWait(ctx, folded{items})
		})
	})
	group.Go(func() error { return r.followList(ctx) })
	group.Go(func() error { return r.gossip(ctx) })
	return group.Wait()
}

// own is the loop of the owner goroutine.
func (r *Replica) own(ctx context.Context) error {
	s := &state{
		ctx: ctx, r: r, fold: fold.NewConfig(1), behind: map[string]clock.Time{},
		table: membership.New(membership.Options{Suspect: r.opt.SuspectTimeout, Gone: r.opt.GoneTimeout}),
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
			s.checkpoint(ctx)
		}
		s.publish()
	}
}

// post hands an event over unless the owner is far behind; gossip comes again.
func (r *Replica) post(e event) {
	select {
	case r.events <- e:
	default:
		log.WithField("unit", "replica").Warn("event dropped, owner is behind")
	}
}

// postWait hands over an event that must not be lost.
func (r *Replica) postWait(ctx context.Context, e event) error {
	select {
	case r.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// publish makes the owner's state visible if it has changed.
func (s *state) publish() {
	old := s.r.snap.Load()
	next := &View{
		Ready: s.best.Sheet != nil, Version: s.best.Version, Sheet: s.best.Sheet, Body: s.best.Body, Hash: s.hash,
		Members: s.table.Members(s.now()), Leaving: s.r.leaving.Load(), Log: s.r.opt.Log.Health(),
		Offset: s.fold.LastApplied() + 1, Verdicts: old.view.Verdicts,
	}
	if next.Offset != old.view.Offset {
		next.Verdicts = s.fold.Verdicts()
	}
	if same(old.view, next) {
		return
	}
	s.r.snap.Store(&snapshot{view: next, changed: make(chan struct{})})
	close(old.changed)
}

func same(a, b *View) bool {
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

// adopt puts a sheet in force if it is newer than every one before.
//
// Failure: a process shows a new sheet and then an older one again, because a
// peer or a fold that had to start again is behind. The version in force is
// the highest ever seen and never falls.
func (s *state) adopt(a fold.AcceptedSheet, from string) {
	if a.Sheet == nil || a.Version <= s.best.Version && !s.r.opt.anyVersion {
		return
	}
	s.best, s.hash = a, xxhash.Sum64(a.Body)
	clear(s.behind)
	log.WithField("version", a.Version).WithField("from", from).Info("sheet in force")
}
