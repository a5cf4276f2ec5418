// Package dispatch takes decoded requests through admission, routing, attempts
// and retries, to engines and plain services.
package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
	"fescuestand/internal/sheet"
)

// Dispatcher serves the requests of one entry.
type Dispatcher struct {
	fleet     *fleet.Fleet
	router    *route.Router
	clk       clock.Clock
	writer    string // incarnation of this process, part of attempt ids
	retries   *retry.Policy
	suspects  *suspect.Register
	exchange  func(ctx context.Context)
	exchanges singleflight.Group
	attempts  atomic.Uint64
	counts    *Counts
	streams   streamCounts

	mu       sync.Mutex
	gates    map[string]*gate
	old      []*gate           // of earlier sheets, until their queues are empty
	isolated map[string]uint64 // suspect that an engine holds, by engine
}

// Options of a Dispatcher.
type Options struct {
	Fleet    *fleet.Fleet
	Clock    clock.Clock
	Writer   string
	Retries  *retry.Policy
	Suspects *suspect.Register
	// ExchangeEvidence tells all other entries what Suspects holds and takes in what
	// they know. It is bounded in time.
	ExchangeEvidence func(ctx context.Context)
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		fleet: o.Fleet, router: o.Fleet.Router(), clk: o.Clock, writer: o.Writer,
		retries: o.Retries, suspects: o.Suspects, exchange: o.ExchangeEvidence, counts: newCounts(), gates: map[string]*gate{},
		isolated: map[string]uint64{},
	}
}

// Counts returns the running totals by pool.
func (d *Dispatcher) Counts() *Counts { return d.counts }

func (d *Dispatcher) newAttempt() string {
	return fmt.Sprintf("%s.%d", d.writer, d.attempts.Add(1))
}

// tickEvery is how often the gates look for slots that have become free and
// for requests that can no longer be on time. Freed slots of this entry are
// seen at once; the tick sees what others freed.
const tickEvery = 20 * time.Millisecond

// Run keeps the gates moving until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	return clock.Every(ctx, tickEvery, func() {
		for _, g := range d.allGates() {
			g.pump()
		}
	})
}

func (d *Dispatcher) allGates() []*gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*gate, 0, len(d.gates)+len(d.old))
	for _, g := range d.gates {
		all = append(all, g)
	}
	keep := d.old[:0]
	for _, g := range d.old {
		if g.waiting() > 0 {
			keep = append(keep, g)
		}
	}
	d.old = keep
	return append(all, keep...)
}

// gate returns the pool's gate for the classes of sh. A change of the classes
// makes a new gate; who waits at the old one is still served.
func (d *Dispatcher) gate(pool string, serves route.Artifact, sh *sheet.Sheet) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[pool]
	if g != nil && g.fits(serves, sh) {
		return g
	}
	if g != nil {
		d.old = append(d.old, g)
	}
	g = newGate(d.router, d.clk, pool, serves, sh)
	d.gates[pool] = g
	return g
}

func (d *Dispatcher) sheet() (*sheet.Sheet, *code.Error) {
	if s := d.fleet.Sheet(); s != nil {
		return s, nil
	}
	return nil, code.New(code.NotReady, "no sheet is in force here yet").WithRetryAfter(time.Second)
}

// Queued is what waits at one pool's gate.
type Queued struct {
	Requests     int
	PromptTokens int
}

// Queues returns what waits, by pool.
func (d *Dispatcher) Queues() map[string]Queued {
	out := map[string]Queued{}
	for _, g := range d.allGates() {
		q := out[g.pool]
		n, tokens := g.queuedNow()
		q.Requests += n
		q.PromptTokens += tokens
		out[g.pool] = q
	}
	return out
}
