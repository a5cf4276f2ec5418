package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
)

// poll asks one endpoint for its load and, if it is an engine, now and then for
// its state and cache events, until ctx ends.
//
// Polls are most of what an entry spends on control: each is a few hundred
// bytes. Reports lag by themselves and are corrected by what was sent since, so
// that one a second does: in the load test goodput stays the same up to one in
// four seconds (docs/MEASUREMENTS.md). State is asked for when a directive or a
// fault says that it changes, and rarely otherwise.
func (f *Fleet) poll(ctx context.Context, name string, ep *endpoint) {
	p := &poller{f: f, name: name, ep: ep, state: true}
	for n := 0; ctx.Err() == nil; n++ {
		p.state = p.state || n%stateShare == 0
		p.once(ctx, n%cacheShare == 0)
		every := pollEvery
		if n < learnPolls {
			every = learnEvery
		}
		// Entries that poll in step would find the endpoint busy together.
		wait := time.NewTimer(every/2 + rand.N(every))
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-ep.kick:
			p.state = true
		}
		wait.Stop()
	}
}

type poller struct {
	f       *Fleet
	name    string
	ep      *endpoint
	state   bool   // is asked for next
	cacheAt uint64 // last cache event seen
	life    string // incarnation that numbered it
}

func (p *poller) once(outer context.Context, cache bool) {
	ctx, cancel := context.WithTimeout(outer, pollTimeout)
	defer cancel()
	got := polled{name: p.name, ep: p.ep, asked: p.f.clk.Now()}
	if p.ep.engine == nil {
		got.report, got.err = p.ep.service.Report(ctx)
	} else {
		got.report, got.err = p.ep.engine.Report(ctx)
		if got.err == nil && p.state {
			got.state, got.err = p.askState(ctx)
		}
	}
	// After a fault the endpoint may be another incarnation.
	p.state = got.err != nil
	if got.err == nil {
		p.tellRouter(&got.report)
		if cache && p.ep.engine != nil {
			p.cacheEvents(ctx, p.ep.engine.Incarnation())
		}
	}
	p.f.post(outer, got)
}

func (p *poller) askState(ctx context.Context) (*driver.EngineState, error) {
	s, err := p.ep.engine.State(ctx)
	if err != nil {
		return nil, err
	}
	p.ep.engine.incarnation.Store(&s.Incarnation)
	return &s, nil
}

func (p *poller) tellRouter(r *driver.LoadReport) {
	p.f.router.ObserveReport(p.name, route.Report{
		TakenAt: p.f.clk.Now().Add(-r.Age), Running: r.Running, Waiting: r.Queued, PrefillTokens: r.QueuedTokens,
		StepTime: r.DecodeStep,
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
		p.f.router.ApplyCacheEvents(p.name, out)
	}
}

// polled is one poll's result.
type polled struct {
	name   string
	ep     *endpoint
	asked  clock.Time
	report driver.LoadReport
	state  *driver.EngineState // nil if it wasn't asked for
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
	e.ep.learnSlots(&e.report)
	if e.state != nil {
		e.ep.state, e.ep.stateAt = e.state, e.asked
	}
}

// learnSlots takes the size of a batch from reports that show requests waiting
// behind it.
//
// Failure: an engine runs fewer requests at once than assumed. Its queue, not
// the entry's, then holds the rest: they are admitted on a forecast that is
// wrong by that factor, and end late. One report may catch a batch that is just
// being filled, so that the size falls only by what two in a row show.
func (ep *endpoint) learnSlots(r *driver.LoadReport) {
	full := 0
	if r.Queued > 0 {
		full = r.Running
	}
	seen := max(full, ep.lastFull)
	both := full > 0 && ep.lastFull > 0
	ep.lastFull = full
	switch {
	case r.Running > ep.slots && full > 0:
		ep.slots = r.Running
	case both && seen < ep.slots:
		ep.slots = seen
	}
}
