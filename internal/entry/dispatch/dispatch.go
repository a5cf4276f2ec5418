// Package dispatch takes decoded requests through admission, routing, attempts and retries, to
// engines and plain services.
//
// A completion may need several attempts: an attempt on another engine continues the stream after
// the last token that the caller received. Calls of plain services are idempotent (Lookup) or
// commits (Dispatch); a commit is sent to another endpoint only if no endpoint can have executed
// it.
//
// A Dispatcher is safe for concurrent use.
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
	fleet         *fleet.Fleet
	router        *route.Router
	clk           clock.Clock
	writer        string // incarnation of this process, part of attempt IDs
	retries       *retry.Policy
	suspects      *suspect.Register
	shareEvidence func(ctx context.Context)
	exchanges     singleflight.Group
	attempts      atomic.Uint64
	counts        *Counts
	streams       streamCounts

	mu       sync.Mutex
	queues   map[string]*poolQueue
	retired  []*poolQueue      // of earlier sheets, kept until they are empty
	isolated map[string]uint64 // fingerprint of the suspect reserved for an engine, by engine
}

// Options of a Dispatcher.
type Options struct {
	Fleet    *fleet.Fleet
	Clock    clock.Clock
	Writer   string
	Retries  *retry.Policy
	Suspects *suspect.Register
	// ExchangeEvidence sends the crash evidence in Suspects to all other entries and merges theirs.
	// It must return within a bounded time.
	ExchangeEvidence func(ctx context.Context)
}

// New returns a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		fleet: o.Fleet, router: o.Fleet.Router(), clk: o.Clock, writer: o.Writer,
		retries: o.Retries, suspects: o.Suspects, shareEvidence: o.ExchangeEvidence,
		counts: newCounts(), queues: map[string]*poolQueue{}, isolated: map[string]uint64{},
	}
}

// Counts returns the running totals by pool.
func (d *Dispatcher) Counts() *Counts { return d.counts }

func (d *Dispatcher) newAttempt() string {
	return fmt.Sprintf("%s/%d", d.writer, d.attempts.Add(1))
}

// admitInterval is how often the queues check for free slots and for requests that can no longer
// meet their deadline. Slots freed by this entry are reused at once; this check finds those that
// other entries freed.
const admitInterval = 20 * time.Millisecond

// Run admits queued requests periodically until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	return clock.Every(ctx, admitInterval, func() {
		for _, q := range d.allQueues() {
			q.admitQueued()
		}
	})
}

// allQueues returns the current queues and the retired ones that still hold requests, and drops the
// empty retired ones.
func (d *Dispatcher) allQueues() []*poolQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*poolQueue, 0, len(d.queues)+len(d.retired))
	for _, q := range d.queues {
		all = append(all, q)
	}
	nonEmpty := d.retired[:0]
	for _, q := range d.retired {
		if q.length() > 0 {
			nonEmpty = append(nonEmpty, q)
		}
	}
	d.retired = nonEmpty
	return append(all, nonEmpty...)
}

// queueFor returns the pool's queue for the classes of sh. A change of the classes creates a new
// queue; requests waiting in the old one are still served.
func (d *Dispatcher) queueFor(pool string, artifact route.Artifact, sh *sheet.Sheet) *poolQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queues[pool]
	if q != nil && q.matches(artifact, sh) {
		return q
	}
	if q != nil {
		d.retired = append(d.retired, q)
	}
	q = newPoolQueue(d.router, d.clk, pool, artifact, sh)
	d.queues[pool] = q
	return q
}

func (d *Dispatcher) sheet() (*sheet.Sheet, *code.Error) {
	if s := d.fleet.Sheet(); s != nil {
		return s, nil
	}
	return nil, code.New(code.NotReady, "no sheet is in force here yet").WithRetryAfter(time.Second)
}

// Queued is the work waiting in one pool's queue.
type Queued struct {
	Requests     int
	PromptTokens int
}

// Queues returns the waiting work by pool.
func (d *Dispatcher) Queues() map[string]Queued {
	out := map[string]Queued{}
	for _, q := range d.allQueues() {
		total := out[q.pool]
		requests, tokens := q.size()
		total.Requests += requests
		total.PromptTokens += tokens
		out[q.pool] = total
	}
	return out
}
