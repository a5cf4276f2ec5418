// Package dispatch takes decoded requests through admission, routing, attempts
// and retries, to engines and plain services.
package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// Dispatcher serves the requests of one entry.
type Dispatcher struct {
	fleet    *fleet.Fleet
	router   *route.Router
	clk      clock.Clock
	writer   string // incarnation of this process, part of attempt ids
	budget   Budget
	suspects Suspects
	attempts atomic.Uint64
	counts   *Counts

	mu    sync.Mutex
	gates map[string]*gate
	old   []*gate // of earlier sheets, until their queues are empty
}

// Budget limits retries.
type Budget interface {
	// Request notes a first try; retries are a share of those.
	Request(now clock.Time, pool, caller string)
	// Retry tells whether one more try may be made.
	Retry(now clock.Time, pool, caller string) bool
}

// Suspects knows which requests crashed their engines.
type Suspects interface {
	// Judge says what is known of a request.
	Judge(now clock.Time, fingerprint uint64) Judgement
	// Crashed tells that an engine crashed while it ran the request.
	Crashed(now clock.Time, c Crash)
	// Survived tells that the request ended without a crash.
	Survived(now clock.Time, fingerprint uint64)
}

// Judgement of a request.
type Judgement int

// The judgements.
const (
	Innocent Judgement = iota
	Suspect            // it ran on one engine that crashed: runs where it hurts fewest
	Guilty             // it is given up
)

// Crash is the evidence that one engine's end gives.
type Crash struct {
	Fingerprint uint64
	Endpoint    string
	Incarnation string // of the engine that crashed
	Attempt     string
	Neighbours  int // other requests of this entry on the engine
}

// Options of a Dispatcher.
type Options struct {
	Fleet    *fleet.Fleet
	Clock    clock.Clock
	Writer   string
	Budget   Budget
	Suspects Suspects
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		fleet: o.Fleet, router: o.Fleet.Router(), clk: o.Clock, writer: o.Writer,
		budget: o.Budget, suspects: o.Suspects, counts: newCounts(), gates: map[string]*gate{},
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
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			for _, g := range d.allGates() {
				g.pump()
			}
		}
	}
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
func (d *Dispatcher) gate(pool string, sh *sheet.Sheet) *gate {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.gates[pool]
	if g != nil && g.fits(sh) {
		return g
	}
	if g != nil {
		d.old = append(d.old, g)
	}
	g = newGate(d.router, d.clk, pool, sh)
	d.gates[pool] = g
	return g
}

func (d *Dispatcher) sheet() (*sheet.Sheet, *code.Error) {
	if s := d.fleet.Sheet(); s != nil {
		return s, nil
	}
	return nil, code.New(code.NotReady, "no sheet is in force here yet").WithRetryAfter(time.Second)
}
