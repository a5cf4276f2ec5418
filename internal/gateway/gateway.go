package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/exchange"
	"fescuestand/internal/freshness"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/bytebudget"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/drain"
	"fescuestand/internal/policy/ontime"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
	"fescuestand/internal/policy/serving"
	"fescuestand/internal/policy/silence"
	"fescuestand/internal/workspace"
)

// Options configures a Gateway.
type Options struct {
	Codec   Codec
	Catalog *catalog.Store
	Planner *place.Planner
	Budget  *repeat.Budget
	Crashes *crash.Register
	// Pressure tracks the limits and retry times that endpoints announce.
	Pressure *backpressure.Tracker
	Pool     *exchange.Pool
	Clock    clock.Clock
	// Leaving reports whether this VM is shutting down.
	Leaving func() bool
	// Peers returns the numbers of other VMs that accept callers and that are shutting down.
	Peers func() (ready, leaving int)
	// AddressLifetime is how long callers may use the address of a VM that shuts down.
	AddressLifetime time.Duration
	// VMs returns the number of gateways that share the endpoints.
	VMs func() int
	// OnPrefillSent is called for each prefill that is about to be sent to an engine, with its
	// predicted work.
	OnPrefillSent func(work time.Duration)
	// OnPrefixCached is called for each long shared prompt that an engine has cached while it
	// served this VM.
	OnPrefixCached func(e *catalog.Endpoint, parts []place.Part)
	// OnEndpointLeaving is called for each answer in which an endpoint announces that it leaves.
	OnEndpointLeaving func(e *catalog.Endpoint)
	// OnCrash is called for each endpoint that a request may have crashed.
	OnCrash func(c crash.Crash)
	// OnReset is called when the connection of an exchange was reset. If it is nil, nothing is called.
	OnReset func()
	// MayTryQuarantined reports whether this VM may send requests with quarantined prompt parts from time to
	// time, to see whether they still crash endpoints. At most one VM may at a time.
	MayTryQuarantined func() bool
	// KeyFreshness reports whether this VM's configuration is recent enough to accept or reject API
	// keys.
	KeyFreshness func() freshness.Verdict
	// CutOff reports whether this VM reaches no endpoint. Requests are then relayed to one of
	// RelayTargets, the addresses of other VMs that do, over the connections of RelayPool.
	CutOff       func() bool
	RelayTargets func() []string
	RelayPool    *exchange.Pool
	// Bodies is the budget of the bodies that are held in memory, one of the default capacity if it is nil.
	Bodies *bytebudget.Budget
	// OnBytesRefused is called when a request is refused as bodies take the memory for them. It may be nil.
	OnBytesRefused func()
	// Origins records and finds the software versions at which streams began.
	Origins StreamOrigins
	// Starts restricts where new streams begin.
	Starts StreamStarts
	// HasRecords reports whether this VM has read what it must know from before it started.
	HasRecords func() bool
	// OnRequestRunning is called once for each request of a workspace that an endpoint has started
	// to run.
	OnRequestRunning func(at clock.Time, w *workspace.Workspace)
}

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	o            Options
	startedAt    clock.Time
	metrics      *Metrics
	heldWork     ontime.HeldWork
	held         *HeldRequests
	requestMeter serving.Meter
	callTimes    *drain.Durations
	startDelays  *drain.Durations // by which streams start later than predicted
	lengths      *drain.Lengths
	paces        *drain.Paces
	shutdown     atomic.Pointer[shutdown] // nil if the process isn't shutting down
	lastAnswers  context.Context          // done when requests without an answer get their last one in a shutdown
	endRequests  context.CancelFunc       // ends lastAnswers
	queues       sync.Map                 // of *queue, by service
	silences     *silence.Register
	lifeChecks   lifeChecks
	exposures    *crash.Exposures
	exceeded     exceededLog
	bytesRefused bytesRefusedLog
}

// New returns a gateway.
func New(o Options) *Gateway {
	if o.Bodies == nil {
		o.Bodies = bytebudget.New()
	}
	if o.OnReset == nil {
		o.OnReset = func() {}
	}
	g := &Gateway{o: o, startedAt: o.Clock.Now(), metrics: newMetrics(), silences: silence.New(), exposures: crash.NewExposures(), held: newHeldRequests()}
	g.lastAnswers, g.endRequests = context.WithCancel(context.Background())
	g.startDelays = drain.NewDurations()
	g.callTimes, g.lengths, g.paces = drain.NewDurations(), drain.NewLengths(), drain.NewPaces()
	g.metrics.bodies = o.Bodies
	for _, p := range []*exchange.Pool{o.Pool, o.RelayPool} {
		if p != nil {
			p.OnExceeded = g.recordExceeded
		}
	}
	return g
}

// RequestRate returns the measured requests a second, zero before the first measurement.
func (g *Gateway) RequestRate() float64 { return g.requestMeter.Rate(g.o.Clock.Now()) }

// HeldRequests returns the requests that wait for capacity, for beats to other VMs.
func (g *Gateway) HeldRequests() *HeldRequests { return g.held }

// Metrics returns the counters.
func (g *Gateway) Metrics() *Metrics { return g.metrics }

// RequestID returns the id of a request for the log.
func (g *Gateway) RequestID(r *http.Request) string { return g.o.Codec.RequestID(r) }

// defaultCallerTimeout is assumed for a caller that sends no timeout and whose route has none.
const defaultCallerTimeout = 10 * time.Second

// A request with a large body ends earlier than its time by largeBodyMargin, and by a part of its time at most: an endpoint
// that reads slowly often uses all of it, and the caller would leave before it is told.
const (
	largeBodyMargin        = 500 * time.Millisecond
	largeBodyMarginDivisor = 10
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.o.Leaving() {
		// The caller then sends its next request to another VM.
		w.Header().Set("Connection", "close")
	}
	arrived := g.o.Clock.Now()
	g.requestMeter.Count(arrived)
	view := g.o.Catalog.View()
	call, route, refused := g.accept(w, r, view)
	if call != nil {
		defer call.releaseBody()
	}
	if refused != nil {
		sending := endBody(w, r)
		refused.write(w)
		g.metrics.count(refused.code)
		logRefusal(call, view, refused)
		if sending {
			if call != nil {
				call.releaseBody()
			}
			discardBody(w, r)
		}
		return
	}
	call.Arrived = arrived
	timeout := call.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	if len(call.Body) >= bytebudget.LargeBytes {
		timeout -= min(largeBodyMargin, timeout/largeBodyMarginDivisor)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout-g.o.Clock.Now().Sub(arrived))
	defer cancel()
	x := &execution{
		g: g, ctx: ctx, callCtx: ctx, call: call, route: route, view: view, w: w, callerCtx: r.Context(),
		deadline: arrived.Add(timeout), service: route.Service(rand.Uint64()), held: hold{budget: g.o.Bodies},
		tried: map[string]bool{}, lastEventID: call.LastEventID, request: r,
	}
	stop := context.AfterFunc(g.lastAnswers, func() { x.endForShutdown(cancel) })
	defer stop()
	x.run()
}

func logRefusal(c *Call, v *catalog.View, f *refusal) {
	e := log.WithField("outcome", refused).WithField("code", int(f.code)).WithField("why", f.reason)
	if c != nil {
		e = e.WithField("id", c.ID).WithField("host", c.Host).WithField("path", c.Path)
	}
	if v.Config != nil {
		e = e.WithField("config", v.Config.Version)
	}
	if f.code == code.Quarantined {
		e = e.WithField("fingerprint", formatFingerprint(c.Fingerprint)).WithField("parts", formatParts(c.SharedParts))
	}
	e.Info("request refused")
}

// FollowCatalog passes each new view of the catalog to the planner and the limit tracker until ctx
// ends, reports processes of endpoints that have ended under requests, and closes idle connections to endpoints
// that aren't in the view.
func (g *Gateway) FollowCatalog(ctx context.Context) error {
	var known []*catalog.Endpoint
	for {
		changed := g.o.Catalog.Changed()
		v := g.o.Catalog.View()
		g.reportEnded(known, v)
		known = v.All()
		g.o.Planner.SetView(v)
		g.o.Pressure.SetView(g.o.Clock.Now(), v)
		g.silences.Sweep(g.o.Clock.Now())
		g.held.wakeAll(g.o.Clock.Now())
		inUse := map[string]bool{}
		for _, e := range v.All() {
			inUse[e.Address] = true
		}
		g.o.Pool.Sweep(inUse)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
