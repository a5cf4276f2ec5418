// Package fleet is an entry's view of the engines and plain services: which
// there are by the sheet in force, what each serves and in which role, what
// planned changes forbid, and the drivers that reach them.
//
// One goroutine owns it and publishes routing tables; traffic goroutines read
// those and an index of drivers, both immutable.
package fleet

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

const (
	// pollEvery is the time between two load reports of one endpoint, and
	// learnEvery that between the first learnPolls: what an engine can do at once
	// is learned from its reports, and until then a burst is let through to it
	// that it can't serve in time.
	pollEvery  = time.Second
	learnEvery = 500 * time.Millisecond
	learnPolls = 20
	// stateShare and cacheShare are how many polls go by between two questions
	// for the state and for cache events.
	stateShare = 4
	cacheShare = 2
	// pollTimeout bounds one poll: a frozen endpoint accepts and says nothing.
	pollTimeout = time.Second
	// suspectAfter is how many polls in a row may fail before an endpoint is
	// used only when nothing else is left.
	suspectAfter = 3
	// directiveKept is how long a directive that closes an engine counts after
	// it was last heard. Its sender repeats it several times a second; one
	// that has died, with nobody to follow it while the log is down, must not
	// keep the engine away for ever. It is five leases long, so that no order of
	// the sender can still be on its way.
	directiveKept = 30 * time.Second
	// sweepEvery is the time between two looks for slow endpoints.
	sweepEvery = 250 * time.Millisecond
)

// Fleet is one entry's endpoints.
type Fleet struct {
	cfg    route.Config
	clk    clock.Clock
	router *route.Router
	events chan event
	index  atomic.Pointer[index]

	wg sync.WaitGroup // pollers
}

// index is what traffic goroutines look up by an endpoint's name.
type index struct {
	engines  map[string]*Engine
	services map[string]driver.Service
	sheet    *sheet.Sheet
	version  uint64
}

// Engine is one engine as traffic uses it.
type Engine struct {
	driver.Engine
	Name string

	kick        chan struct{} // wakes the poller
	incarnation atomic.Pointer[string]
	inFlight    atomic.Int64
	closed      atomic.Bool                   // a directive forbids new work
	moved       atomic.Pointer[chan struct{}] // closed when streams have to move
}

// Incarnation returns the engine's last known incarnation, "" if unknown.
func (e *Engine) Incarnation() string {
	if p := e.incarnation.Load(); p != nil {
		return *p
	}
	return ""
}

// MoveRequested returns a channel that is closed once the engine's streams have to
// move elsewhere.
func (e *Engine) MoveRequested() <-chan struct{} { return *e.moved.Load() }

// Refresh asks for the engine's state soon.
func (e *Engine) Refresh() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// Acquire counts one attempt at the engine until release is called, or returns
// false if the engine takes no new work.
//
// Failure: a request is on its way between the choice of its engine and its
// count there while a directive comes; the control process is told that nothing
// is in flight and changes the engine under the request. The count comes before
// the look at closed, and the directive closes before it reads the count: one
// of the two sees the other.
func (e *Engine) Acquire() (release func(), ok bool) {
	e.inFlight.Add(1)
	if e.closed.Load() {
		e.inFlight.Add(-1)
		return nil, false
	}
	return func() { e.inFlight.Add(-1) }, true
}

// setPhase lets the engine take work, or not, and tells its streams to move.
// Only the fleet's owner calls it.
func (e *Engine) setPhase(p wire.Phase) {
	e.closed.Store(p != wire.Phase_PHASE_OPEN)
	leaves := p == wire.Phase_PHASE_MOVE || p == wire.Phase_PHASE_AWAY
	moving := isClosed(e.MoveRequested())
	if leaves && !moving {
		close(*e.moved.Load())
	}
	if !leaves && moving {
		moved := make(chan struct{})
		e.moved.Store(&moved)
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// InFlight returns this entry's attempts at the engine.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// New returns an empty fleet. It follows the sheet once Run runs.
func New(cfg route.Config, clk clock.Clock, seed uint64) *Fleet {
	f := &Fleet{cfg: cfg, clk: clk, router: route.NewRouter(cfg, seed), events: make(chan event, eventBacklog)}
	f.index.Store(&index{})
	return f
}

// eventBacklog is enough for one poll of every endpoint of a cell.
const eventBacklog = 1024

// Router returns the router, which routes by the newest table.
func (f *Fleet) Router() *route.Router { return f.router }

// Sheet returns the sheet that the newest table follows, nil before the first.
func (f *Fleet) Sheet() *sheet.Sheet { return f.index.Load().sheet }

// Engine returns the named engine, nil if the sheet doesn't name it.
func (f *Fleet) Engine(name string) *Engine { return f.index.Load().engines[name] }

// Service returns the named endpoint of a plain service.
func (f *Fleet) Service(name string) driver.Service { return f.index.Load().services[name] }

// Engines returns all engines by name.
func (f *Fleet) Engines() map[string]*Engine { return maps.Clone(f.index.Load().engines) }

// event is an input of the owner.
type event interface{ apply(o *owner) }

// SetSheet puts a sheet in force.
func (f *Fleet) SetSheet(ctx context.Context, s *sheet.Sheet, version uint64) {
	f.post(ctx, sheetChanged{s, version})
}

// SetEntries tells how many entries share the endpoints.
func (f *Fleet) SetEntries(ctx context.Context, n int) { f.post(ctx, entriesChanged{n}) }

// ApplyDirective takes a directive. The returned in-flight count is this entry's work
// still on the engine.
func (f *Fleet) ApplyDirective(ctx context.Context, d *wire.Directive) (inFlight int) {
	done := make(chan struct{})
	f.post(ctx, directed{d, done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	if e := f.Engine(d.GetEngine()); e != nil {
		return e.InFlight()
	}
	return 0
}

// OfferDirective takes a directive that came by gossip, and drops it when the owner is
// behind: it comes again.
func (f *Fleet) OfferDirective(d *wire.Directive) {
	select {
	case f.events <- directed{d, nil}:
	default:
	}
}

func (f *Fleet) post(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// Run owns the fleet until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.wg.Wait()
	o := newOwner(ctx, f)
	defer o.closeAll()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-f.events:
			e.apply(o)
			o.drainEvents()
			o.publish()
			o.acknowledge()
		case <-sweep.C:
			o.lapseDirectives()
			for _, e := range f.router.EjectOutliers(f.clk.Now()) {
				log.WithField("endpoint", e.Endpoint).WithField("why", e.String()).Warn("endpoint ejected")
			}
		}
	}
}
