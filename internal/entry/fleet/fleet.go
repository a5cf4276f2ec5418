// Package fleet tracks the engines and plain services that an entry can route to. It combines
// the sheet in force, the endpoints' own reports and the directives of control processes into
// routing tables, and holds the drivers of the endpoints.
//
// Concurrency: one goroutine owns the state, see Fleet.Run. It publishes immutable routing tables
// and an immutable index of drivers, which traffic goroutines read without locks.
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
	// pollInterval is the mean time between two load reports of one endpoint. The first
	// initialPolls use initialPollInterval: the number of requests that an engine runs at once is
	// estimated from its reports, and until then the entry admits bursts that the engine can't
	// serve in time.
	pollInterval        = time.Second
	initialPollInterval = 500 * time.Millisecond
	initialPolls        = 20
	// Every pollsPerStateRequest-th poll also requests the engine's state, every
	// pollsPerCacheRead-th its cache events.
	pollsPerStateRequest = 4
	pollsPerCacheRead    = 2
	// pollTimeout bounds one poll, as a frozen endpoint accepts connections but doesn't answer.
	pollTimeout = time.Second
	// maxFailedPolls is the number of consecutive failed polls from which an endpoint is suspect:
	// it then gets requests only if no other endpoint is left.
	maxFailedPolls = 3
	// directiveTimeout is how long a directive that closes an engine stays in force after it was
	// last received. Its sender repeats it several times a second. If the sender fails while the
	// log is down, no other process can take over, and the engine must not stay closed for ever.
	// The timeout is five leases, so no order of the sender can still be in flight.
	directiveTimeout = 30 * time.Second
	// sweepInterval is the time between two passes that expire directives and eject outliers.
	sweepInterval = 250 * time.Millisecond
)

// Fleet is the set of endpoints of one entry.
type Fleet struct {
	cfg    route.Config
	clk    clock.Clock
	router *route.Router
	events chan event
	index  atomic.Pointer[index]

	wg sync.WaitGroup // pollers
}

// index is the immutable lookup table of drivers by endpoint name for traffic goroutines.
type index struct {
	engines  map[string]*Engine
	services map[string]driver.Service
	sheet    *sheet.Sheet
	version  uint64
}

// Engine is one engine as traffic goroutines use it.
type Engine struct {
	driver.Engine
	Name string

	wake        chan struct{} // wakes the poller
	incarnation atomic.Pointer[string]
	inFlight    atomic.Int64
	closed      atomic.Bool                   // a directive forbids new work
	moveRequest atomic.Pointer[chan struct{}] // closed when streams have to move to other engines
}

// Incarnation returns the engine's last reported incarnation, "" if there is none yet.
func (e *Engine) Incarnation() string {
	if p := e.incarnation.Load(); p != nil {
		return *p
	}
	return ""
}

// MoveRequested returns a channel that is closed once the engine's streams have to move to
// other engines.
func (e *Engine) MoveRequested() <-chan struct{} { return *e.moveRequest.Load() }

// Refresh makes the poller request the engine's state without waiting for the next poll.
func (e *Engine) Refresh() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Acquire counts one attempt at the engine as in flight until release is called. It returns
// false if the engine is closed for new work.
//
// Acquire increments the count before it loads closed, and a directive sets closed before the
// count is read, so one of them always sees the other. Otherwise a directive that arrives between
// the choice of an engine and the increment would report nothing in flight, and the control
// process would change the engine while the request runs.
func (e *Engine) Acquire() (release func(), ok bool) {
	e.inFlight.Add(1)
	if e.closed.Load() {
		e.inFlight.Add(-1)
		return nil, false
	}
	return func() { e.inFlight.Add(-1) }, true
}

// setPhase opens or closes the engine for new work and, if the phase requires it, signals its
// streams to move. Only the fleet's owner calls it.
func (e *Engine) setPhase(p wire.Phase) {
	e.closed.Store(p != wire.Phase_PHASE_OPEN)
	mustMove := p == wire.Phase_PHASE_MOVE || p == wire.Phase_PHASE_AWAY
	requested := isClosed(e.MoveRequested())
	if mustMove && !requested {
		close(*e.moveRequest.Load())
	}
	if !mustMove && requested {
		ch := make(chan struct{})
		e.moveRequest.Store(&ch)
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

// InFlight returns the number of this entry's attempts that are in flight at the engine.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// New returns an empty fleet. Sheets and directives are applied only while Run runs.
func New(cfg route.Config, clk clock.Clock, seed uint64) *Fleet {
	f := &Fleet{cfg: cfg, clk: clk, router: route.NewRouter(cfg, seed), events: make(chan event, eventQueueSize)}
	f.index.Store(&index{})
	return f
}

// eventQueueSize is the capacity of the event queue, enough for one poll of every endpoint of a
// cell.
const eventQueueSize = 1024

// Router returns the router, which uses the newest published table.
func (f *Fleet) Router() *route.Router { return f.router }

// Sheet returns the sheet of the newest table, nil before the first one.
func (f *Fleet) Sheet() *sheet.Sheet { return f.index.Load().sheet }

// Engine returns the named engine, nil if the sheet doesn't name it.
func (f *Fleet) Engine(name string) *Engine { return f.index.Load().engines[name] }

// Service returns the driver of the named endpoint of a plain service, nil if there is none.
func (f *Fleet) Service(name string) driver.Service { return f.index.Load().services[name] }

// Engines returns all engines by name.
func (f *Fleet) Engines() map[string]*Engine { return maps.Clone(f.index.Load().engines) }

// event is a change that the owner applies to its state.
type event interface{ apply(o *owner) }

// SetSheet puts a sheet in force, unless one of a higher version already is.
func (f *Fleet) SetSheet(ctx context.Context, s *sheet.Sheet, version uint64) {
	f.post(ctx, sheetChanged{s, version})
}

// SetEntries sets the number of entries that share the endpoints.
func (f *Fleet) SetEntries(ctx context.Context, n int) { f.post(ctx, entriesChanged{n}) }

// ApplyDirective applies a directive, waits until it is in the routing table or ctx ends, and
// returns the number of this entry's attempts that are still in flight at the engine.
func (f *Fleet) ApplyDirective(ctx context.Context, d *wire.Directive) (inFlight int) {
	done := make(chan struct{})
	f.post(ctx, directiveReceived{d, done})
	select {
	case <-done:
	case <-ctx.Done():
	}
	if e := f.Engine(d.GetEngine()); e != nil {
		return e.InFlight()
	}
	return 0
}

// OfferDirective queues a directive received by gossip. It drops the directive if the queue is
// full, as the sender repeats it.
func (f *Fleet) OfferDirective(d *wire.Directive) {
	select {
	case f.events <- directiveReceived{d, nil}:
	default:
	}
}

func (f *Fleet) post(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// Run owns the fleet's state and applies events to it until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.wg.Wait()
	o := newOwner(ctx, f)
	defer o.closeAll()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-f.events:
			e.apply(o)
			o.applyPendingEvents()
			o.publish()
			o.acknowledge()
		case <-sweep.C:
			o.expireDirectives()
			for _, e := range f.router.EjectOutliers(f.clk.Now()) {
				log.WithField("endpoint", e.Endpoint).WithField("why", e.String()).Warn("endpoint ejected")
			}
		}
	}
}
