package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
)

// poll asks one endpoint for its load and, if it is an engine, for its state
// and cache events, until ctx ends.
func (f *Fleet) poll(ctx context.Context, name string, ep *endpoint) {
	p := &poller{f: f, name: name, ep: ep}
	for ctx.Err() == nil {
		p.once(ctx)
		// Entries that poll in step would find the endpoint busy together.
		wait := time.NewTimer(pollEvery/2 + rand.N(pollEvery))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Stop()
	}
}

type poller struct {
	f       *Fleet
	name    string
	ep      *endpoint
	cacheAt uint64 // last cache event seen
	life    string // incarnation that numbered it
}

func (p *poller) once(outer context.Context) {
	ctx, cancel := context.WithTimeout(outer, pollTimeout)
	defer cancel()
	got := polled{name: p.name, ep: p.ep}
	if p.ep.engine != nil {
		got.report, got.err = p.ep.engine.Report(ctx)
		if got.err == nil {
			got.state, got.err = p.ep.engine.State(ctx)
		}
	} else {
		got.report, got.err = p.ep.service.Report(ctx)
	}
	if got.err == nil {
		p.tellRouter(&got.report)
	}
	if got.err == nil && p.ep.engine != nil {
		p.ep.engine.incarnation.Store(&got.state.Incarnation)
		p.cacheEvents(ctx, got.state.Incarnation)
	}
	p.f.post(outer, got)
}

func (p *poller) tellRouter(r *driver.LoadReport) {
	p.f.router.Report(p.name, route.Report{
		TakenAt: p.f.clk.Now().Add(-r.Age), Running: r.Running, Waiting: r.Queued, PrefillTokens: r.QueuedTokens,
		Step: r.DecodeStep,
	})
}

func (p *poller) cacheEvents(ctx context.Context, life string) {
	var out []route.CacheEvent
	if p.life != life {
		out = append(out, route.CacheEvent{Cleared: true})
		p.life, p.cacheAt = life, 0
	}
	events, err := p.ep.engine.CacheEvents(ctx, p.cacheAt)
	if err != nil {
		return
	}
	for _, e := range events {
		if e.Incarnation != life || e.Seq <= p.cacheAt {
			continue
		}
		p.cacheAt = e.Seq
		out = append(out, route.CacheEvent{Seq: e.Seq, Piece: e.Piece, Evicted: e.Evicted})
	}
	if len(out) > 0 {
		p.f.router.CacheEvents(p.name, out)
	}
}

// polled is one poll's result.
type polled struct {
	name   string
	ep     *endpoint
	report driver.LoadReport
	state  driver.EngineState
	err    error
}

func (e polled) apply(o *owner) {
	if o.endpoints[e.name] != e.ep {
		return // replaced since
	}
	if e.err != nil {
		e.ep.failed++
		return
	}
	e.ep.failed = 0
	e.ep.report = &e.report
	if e.ep.engine != nil {
		e.ep.state = &e.state
	}
}
