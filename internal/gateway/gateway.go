package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/exchange"
	"fescuestand/internal/freshness"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/ontime"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
	"fescuestand/internal/policy/serving"
	"fescuestand/internal/workspace"
)

// Options of a Gateway.
type Options struct {
	Codec   Codec
	Catalog *catalog.Store
	Planner *place.Planner
	Budget  *repeat.Budget
	Crashes *crash.Register
	// Pressure is what endpoints say of the work that they take.
	Pressure *backpressure.Tracker
	Pool     *exchange.Pool
	Clock    clock.Clock
	// Leaving tells whether this VM was told to stop.
	Leaving func() bool
	// VMs is how many gateways share the endpoints.
	VMs func() int
	// Sent is told of each prefill that leaves for an engine.
	Sent func(work time.Duration)
	// Cached is told of each prefix that an engine has read for this VM.
	Cached func(e *catalog.Endpoint, parts []place.Part)
	// Leaves is told of each answer by which an endpoint says that it leaves.
	Leaves func(e *catalog.Endpoint)
	// Crashed is told of each endpoint that a request may have crashed.
	Crashed func(fingerprint uint64, endpoint string)
	// Keys says whether keys can be judged by what this VM knows.
	Keys func() freshness.Verdict
	// Began is told of each request that an endpoint has begun to run.
	Began func(at clock.Time, w *workspace.Workspace)
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	o       Options
	started clock.Time
	metrics *Metrics
	held    ontime.HeldWork
	rate    serving.Meter
	queues  sync.Map // of *queue, by service
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{o: o, started: o.Clock.Now(), metrics: newMetrics()}
}

// Rate returns the requests a second, zero if they are not known yet.
func (g *Gateway) Rate() float64 { return g.rate.Rate(g.o.Clock.Now()) }

// Metrics returns the counters.
func (g *Gateway) Metrics() *Metrics { return g.metrics }

// defaultPatience is assumed of a caller that doesn't say how long it waits and
// whose route has no timeout.
const defaultPatience = 10 * time.Second

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.o.Leaving() {
		// The caller's next request goes elsewhere.
		w.Header().Set("Connection", "close")
	}
	arrived := g.o.Clock.Now()
	g.rate.Count(arrived)
	view := g.o.Catalog.View()
	c, route, refused := g.accept(w, r, view)
	if refused != nil {
		refused.write(w)
		g.metrics.count(refused.code)
		logRefusal(c, view, refused)
		return
	}
	c.Arrived = arrived
	patience := c.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), patience-g.o.Clock.Now().Sub(arrived))
	defer cancel()
	x := &execution{
		g: g, ctx: ctx, c: c, route: route, view: view, w: w, caller: r.Context(),
		deadline: arrived.Add(patience), service: route.Service(rand.Uint64()),
		tried: map[string]bool{}, lastEvent: c.LastEvent,
	}
	x.run()
}

func logRefusal(c *Call, v *catalog.View, f *refusal) {
	e := log.WithField("outcome", refused).WithField("code", int(f.code)).WithField("why", f.why)
	if c != nil {
		e = e.WithField("id", c.ID).WithField("host", c.Host).WithField("path", c.Path)
	}
	if v.Config != nil {
		e = e.WithField("config", v.Config.Version)
	}
	e.Info("request refused")
}

// Follow hands each new view to the planner until ctx ends, and closes kept
// connections that nobody will use.
func (g *Gateway) Follow(ctx context.Context) error {
	for {
		changed := g.o.Catalog.Changed()
		v := g.o.Catalog.View()
		g.o.Planner.SetView(v)
		g.o.Pressure.ObserveCatalog(g.o.Clock.Now(), v)
		keep := map[string]bool{}
		for _, e := range v.All() {
			keep[e.Address] = true
		}
		g.o.Pool.Sweep(keep)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
