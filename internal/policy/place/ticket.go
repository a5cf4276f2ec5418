package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// Job is the work that an exchange requires of its engine before the first event. The zero value is
// an exchange without a prompt.
type Job struct {
	Work          time.Duration // of the prefill, at the engine's usual speed
	Fetch         time.Duration // of the fetch before it
	HandoffTokens int           // tokens of a KV cache that is transferred to the engine

	fresh  int // tokens that are prefilled
	cached int // tokens that are cached before them
}

// Ticket represents one exchange at an endpoint between Begin and End.
type Ticket struct {
	s          *endpointState
	job        Job
	expected   time.Duration // wait and work, as predicted by Begin for the engine's usual speed
	slowdown   float64       // of the endpoint when the request was sent, 0 if unknown
	sentAt     clock.Time
	silent     bool // the endpoint has been silent for too long, so that times say nothing about its speed
	accepted   bool // the endpoint has begun to answer
	sentToFull bool // the endpoint was known to be full when the request was sent
	ended      bool
}

// Outcome is how an exchange ended, as far as the endpoint's health is concerned.
type Outcome uint8

// The outcomes.
const (
	Success        Outcome = iota
	ErrorAnswer            // the endpoint answered with an error of its own
	ExchangeFailed         // the connection was cut, or the answer is missing or invalid
	Rejected               // the endpoint refused the request without running it
	Ignored                // says nothing about the endpoint, for example as the caller ended the exchange
)

// Begin counts an exchange that is about to start at e. The returned ticket must be passed to End.
func (p *Planner) Begin(now clock.Time, e *catalog.Endpoint, job Job) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[e.ID]
	if s == nil {
		s = newEndpointState(e)
	}
	t := &Ticket{s: s, job: job, sentAt: now, sentToFull: s.room.full(now)}
	t.expected = p.usualWait(now, s) + job.Work
	if slowdown, _, ok := s.pace.Current(now); ok {
		t.slowdown = slowdown
	}
	s.running++
	s.room.send(now)
	p.countDemand(now, t)
	p.countSend(now, s)
	if job.Work > 0 {
		s.prefills[t] = struct{}{}
	}
	return t
}

// countDemand adds an exchange to the demand. A prefill at a decode engine counts as the time that
// it would take at a prefill engine.
func (p *Planner) countDemand(now clock.Time, t *Ticket) {
	if t.s.ep.Stage == catalog.Decode {
		p.meter.addStreams(now, 1)
	}
	p.meter.addPrefill(now, p.speeds.atPrefill(t.s.ep, t.job.Work))
}

// PrefillDone records that the exchange's prefill is over, because its first event has arrived or
// its KV cache is ready. The engine has parts in its cache now.
func (p *Planner) PrefillDone(now clock.Time, t *Ticket, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	took := now.Sub(t.sentAt)
	if _, pending := t.s.prefills[t]; pending {
		if !t.silent {
			p.observePrefill(now, took, t)
		}
		delete(t.s.prefills, t)
	}
	if t.job.HandoffTokens > 0 && !t.silent {
		p.speeds.of(t.s.ep.Service).handoff.Add(took - time.Duration(t.job.HandoffTokens)*p.transferPerToken(t.s.ep))
	}
	t.s.cache.add(parts)
}

// slownessWeight is the weight of one prefill in an engine's slowness: an engine that becomes slow
// is detected within ten prompts.
const slownessWeight = 0.1

// The bounds of an engine's slowness, the ratio of measured to predicted time.
const (
	minSlowness = 0.5
	maxSlowness = 2.5
)

const (
	// minObservedWork is the minimum work of a prefill from which an engine's slowness is estimated.
	minObservedWork = 8 * time.Millisecond
	// maxWaitShare limits the predicted wait of a prefill that is used for the estimates, as a
	// share of its work; waits up to negligibleWait are always accepted. A longer wait would
	// measure the other VMs' work instead of the engine's speed.
	maxWaitShare   = 0.25
	negligibleWait = 2 * time.Millisecond
)

// observePrefill updates the estimated speed of the service's engines, and the slowness of this
// engine, with the time of a prefill. A prefill after a fetch is ignored, as its time includes the
// transfer. The speeds are the lasting ones: the slowdown of the moment is divided out.
func (p *Planner) observePrefill(now clock.Time, took time.Duration, t *Ticket) {
	waited := t.expected - t.job.Work
	if t.job.Fetch > 0 || waited > max(time.Duration(maxWaitShare*float64(t.job.Work)), negligibleWait) {
		return
	}
	fixed := p.fixed(t.s)
	usual := time.Duration(float64(took-fixed) / t.slowdownDuring(now))
	if t.job.Work >= minObservedWork {
		t.s.observeSlowness(usual, t.expected)
	}
	if t.job.fresh > 0 {
		normalized := time.Duration(float64(usual) / t.s.slowness)
		p.speeds.model(t.s.ep).Observe(t.job.fresh, t.job.cached, fixed+normalized)
	}
}

// observeSlowness updates the engine's slowness with the measured and the predicted time of a
// prefill at its usual speed.
func (s *endpointState) observeSlowness(took, expected time.Duration) {
	ratio := float64(max(took, 0)) / float64(expected)
	ratio = min(max(ratio, 0.5), 2) // one outlier moves the estimate by a tenth at most
	s.slowness = min(max(s.slowness*(1+slownessWeight*(ratio-1)), minSlowness), maxSlowness)
}

// End ends the exchange. Further calls have no effect.
func (p *Planner) End(now clock.Time, t *Ticket, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.s.prefills, t)
	t.s.running--
	if t.s.ep.Stage == catalog.Decode {
		p.meter.addStreams(now, -1)
	}
	t.s.health.record(now, o)
	if t.accepted {
		t.s.room.free()
	}
}

// RecordLoad records the number of running and waiting requests that an endpoint has reported.
func (p *Planner) RecordLoad(now clock.Time, t *Ticket, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.s.load = reportedLoad{requests, now}
}

// MarkStale ejects an endpoint for a while whose catalog entry is outdated: the endpoint has
// restarted or changed its stage, and the entry doesn't show it yet.
func (p *Planner) MarkStale(now clock.Time, e *catalog.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.endpoints[e.ID]; s != nil {
		s.health.eject(now)
	}
}

// defaultStageChange is the assumed time of a change of an engine's stage if the configuration
// doesn't specify it.
const defaultStageChange = 3 * time.Second

// MarkChangingStage ejects an engine that was ordered to change its stage until the change is
// expected to be complete.
func (p *Planner) MarkChangingStage(now clock.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.endpoints[id]
	if s == nil {
		return
	}
	duration := p.engines[s.ep.Service].StageChangeTime
	if duration == 0 {
		duration = defaultStageChange
	}
	s.health.ejectedUntil = max(s.health.ejectedUntil, now.Add(duration))
}

// MarkSilent records that the endpoint of an exchange has sent nothing for too long. Several such
// exchanges eject it.
func (p *Planner) MarkSilent(now clock.Time, t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.silent = true
	t.s.health.recordSilence(now)
}

// MarkResumed records that an endpoint goes on after a silence of an exchange.
func (p *Planner) MarkResumed(now clock.Time, t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.s.health.recordResumed(now)
}
