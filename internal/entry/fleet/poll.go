package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
)

// poll requests load reports from one endpoint until ctx ends and, if it is an engine, less often
// its state and cache events.
//
// Polls are most of an entry's control traffic; each is a few hundred bytes. One poll a second is
// enough, because the router corrects each report by the requests sent since: in the load test
// goodput stays the same up to one poll in four seconds (docs/MEASUREMENTS.md). The state is
// requested after a directive or a failed poll, and otherwise rarely.
func (f *Fleet) poll(ctx context.Context, name string, ep *endpoint) {
	p := &poller{f: f, name: name, ep: ep, needState: true}
	for n := 0; ctx.Err() == nil; n++ {
		p.needState = p.needState || n%pollsPerStateRequest == 0
		p.pollOnce(ctx, n%pollsPerCacheRead == 0)
		interval := pollInterval
		if n < initialPolls {
			interval = initialPollInterval
		}
		// The random wait keeps entries from polling the endpoint at the same time, which would
		// make them find it busy together.
		wait := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-ep.wake:
			p.needState = true
		}
		wait.Stop()
	}
}

type poller struct {
	f                *Fleet
	name             string
	ep               *endpoint
	needState        bool   // the next poll also requests the state
	lastCacheSeq     uint64 // last cache event seen
	cacheIncarnation string // incarnation that numbered it
}

func (p *poller) pollOnce(outer context.Context, readCache bool) {
	ctx, cancel := context.WithTimeout(outer, pollTimeout)
	defer cancel()
	result := pollResult{name: p.name, ep: p.ep, requestedAt: p.f.clk.Now()}
	if p.ep.engine == nil {
		result.report, result.err = p.ep.service.Report(ctx)
	} else {
		result.report, result.err = p.ep.engine.Report(ctx)
		if result.err == nil && p.needState {
			result.state, result.err = p.requestState(ctx)
		}
	}
	// After a failed poll the endpoint may have restarted as another incarnation.
	p.needState = result.err != nil
	if result.err == nil {
		p.reportToRouter(&result.report)
		if readCache && p.ep.engine != nil {
			p.cacheEvents(ctx, p.ep.engine.Incarnation())
		}
	}
	p.f.post(outer, result)
}

func (p *poller) requestState(ctx context.Context) (*driver.EngineState, error) {
	s, err := p.ep.engine.State(ctx)
	if err != nil {
		return nil, err
	}
	p.ep.engine.incarnation.Store(&s.Incarnation)
	return &s, nil
}

func (p *poller) reportToRouter(r *driver.LoadReport) {
	p.f.router.ObserveReport(p.name, route.Report{
		TakenAt: p.f.clk.Now().Add(-r.Age), Running: r.Running, Waiting: r.Queued, PrefillTokens: r.QueuedTokens,
		StepTime: r.DecodeStep,
	})
}

func (p *poller) cacheEvents(ctx context.Context, incarnation string) {
	var out []route.CacheEvent
	if p.cacheIncarnation != incarnation {
		out = append(out, route.CacheEvent{Cleared: true})
		p.cacheIncarnation, p.lastCacheSeq = incarnation, 0
	}
	events, err := p.ep.engine.CacheEvents(ctx, p.lastCacheSeq)
	if err != nil {
		return
	}
	for _, e := range events {
		if e.Incarnation != incarnation || e.Seq <= p.lastCacheSeq {
			continue
		}
		p.lastCacheSeq = e.Seq
		out = append(out, route.CacheEvent{Seq: e.Seq, Piece: e.Piece, Evicted: e.Evicted})
	}
	if len(out) > 0 {
		p.f.router.ApplyCacheEvents(p.name, out)
	}
}

// pollResult is the event with the result of one poll.
type pollResult struct {
	name        string
	ep          *endpoint
	requestedAt clock.Time
	report      driver.LoadReport
	state       *driver.EngineState // nil if it wasn't requested
	err         error
}

func (e pollResult) apply(o *owner) {
	if o.endpoints[e.name] != e.ep {
		return // replaced since
	}
	if e.err != nil {
		e.ep.failedPolls++
		return
	}
	e.ep.failedPolls = 0
	e.ep.report = &e.report
	e.ep.estimateSlots(&e.report)
	if e.state != nil {
		e.ep.state, e.ep.stateAt = e.state, e.requestedAt
	}
}

// estimateSlots estimates how many requests the endpoint runs at once from reports that show
// queued requests, as its batch is then full.
//
// If the endpoint runs fewer requests at once than assumed, the rest wait in its queue rather than
// in the entry's. They are admitted on a prediction that is wrong by that factor and finish late.
// A report may show a batch that is still being filled, so the estimate decreases only if two
// consecutive reports show a smaller batch.
func (ep *endpoint) estimateSlots(r *driver.LoadReport) {
	fullBatch := 0
	if r.Queued > 0 {
		fullBatch = r.Running
	}
	largerBatch := max(fullBatch, ep.lastFullBatch)
	fullTwice := fullBatch > 0 && ep.lastFullBatch > 0
	ep.lastFullBatch = fullBatch
	switch {
	case r.Running > ep.slots && fullBatch > 0:
		ep.slots = r.Running
	case fullTwice && largerBatch < ep.slots:
		ep.slots = largerBatch
	}
}
