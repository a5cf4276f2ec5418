package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// Job is what an exchange asks of its engine before the first event. The zero value is
// an exchange without a prompt.
type Job struct {
	Work  time.Duration // of the prefill
	Fetch time.Duration // of the fetch before it
	HandoffTokens int           // tokens of a KV cache that the engine takes over

	fresh  int // tokens that are read
	cached int // tokens that are cached before them
}

// Ticket counts one exchange at an endpoint from its sending to its end.
type Ticket struct {
	s        *state
	job      Job
	expected time.Duration // wait and work at the sending
	sentAt   clock.Time
	ended    bool
}

// Outcome is how an exchange ended.
type Outcome uint8

// The outcomes.
const (
	Success     Outcome = iota
	ErrorAnswer            // answered with a failure of its own
	ExchangeFailed              // was cut, didn't answer, or answered wrongly
	Rejected             // the endpoint refused without running it
	Ignored         // ended by the caller; says nothing about the endpoint
)

// Begin counts an exchange that is about to start at e.
func (p *Planner) Begin(now clock.Time, e *catalog.Endpoint, job Job) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[e.ID]
	if s == nil {
		s = newState(e)
	}
	t := &Ticket{s: s, job: job, sentAt: now}
	t.expected = p.wait(now, s) + job.Work
	s.running++
	p.count(now, t)
	if job.Work > 0 {
		s.jobs[t] = struct{}{}
	}
	return t
}

// count adds an exchange to the demand. A prefill at a decode engine is counted
// as the time that it would take at a prefill engine.
func (p *Planner) count(now clock.Time, t *Ticket) {
	if t.s.ep.Stage == catalog.Decode {
		p.meter.stream(now, 1)
	}
	p.meter.sent(now, p.speeds.atPrefill(t.s.ep, t.job.Work))
}

// PrefillDone notes that the exchange's prefill is over: its first event came, or
// its KV cache is ready. parts are in the engine's cache now.
func (p *Planner) PrefillDone(now clock.Time, t *Ticket, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	took := now.Sub(t.sentAt)
	if _, pending := t.s.jobs[t]; pending {
		p.learn(took, t)
		delete(t.s.jobs, t)
	}
	if t.job.HandoffTokens > 0 {
		p.speeds.of(t.s.ep.Service).handOver.Add(took - time.Duration(t.job.HandoffTokens)*p.perToken(t.s.ep))
	}
	t.s.cache.add(parts)
}

// speedWeight is the weight of one measurement of an engine's speed: an engine
// that turned slow shows within ten prompts.
const speedWeight = 0.1

// The bounds of a learned speed, measured over predicted time.
const (
	minSpeed = 0.8
	maxSpeed = 2.0
)

const (
	// minLearned is the least work that says something of an engine's speed
	// against others.
	minLearned = 8 * time.Millisecond
	// maxWaitShare is the most of a prefill's time that may have been spent
	// waiting, beside a little, for it to say something: a wait measures the
	// other VMs' work, not the engine's speed.
	maxWaitShare = 0.25
	littleWait   = 2 * time.Millisecond
)

// learn takes the time of a prefill: it corrects what is known of the service's
// engines, and of this one against them. A fetch takes its own time, which says
// nothing of either.
func (p *Planner) learn(took time.Duration, t *Ticket) {
	waited := t.expected - t.job.Work
	if t.job.Fetch > 0 || waited > max(time.Duration(maxWaitShare*float64(t.job.Work)), littleWait) {
		return
	}
	fixed := p.fixed(t.s)
	if t.job.Work >= minLearned {
		t.s.learn(took-fixed, t.expected)
	}
	if t.job.fresh > 0 {
		usual := time.Duration(float64(took-fixed) / t.s.speed)
		p.speeds.model(t.s.ep).Observe(t.job.fresh, t.job.cached, fixed+usual)
	}
}

// learn corrects the engine's speed by a measurement.
func (s *state) learn(took, expected time.Duration) {
	ratio := float64(max(took, 0)) / float64(expected)
	ratio = min(max(ratio, 0.5), 2) // one outlier moves the estimate by a tenth at most
	s.speed = min(max(s.speed*(1+speedWeight*(ratio-1)), minSpeed), maxSpeed)
}

// End ends the exchange. Another call does nothing.
func (p *Planner) End(now clock.Time, t *Ticket, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.s.jobs, t)
	t.s.running--
	if t.s.ep.Stage == catalog.Decode {
		p.meter.stream(now, -1)
	}
	t.s.health.note(now, o)
}

// RecordLoad takes what an endpoint said of its own load: running and waiting
// requests.
func (p *Planner) RecordLoad(now clock.Time, t *Ticket, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.s.load = reportedLoad{requests, now}
}

// MarkStale notes that the endpoint is no longer what it is known as: it has
// restarted, or changed its stage, and its entry doesn't show it yet.
func (p *Planner) MarkStale(now clock.Time, e *catalog.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[e.ID]; s != nil {
		s.health.leave(now)
	}
}

// usualChange is assumed for a change of an engine's stage where the configuration
// doesn't say.
const usualChange = 3 * time.Second

// MarkChangingStage notes that an engine was ordered to another stage: it takes no work
// until it has changed.
func (p *Planner) MarkChangingStage(now clock.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[id]
	if s == nil {
		return
	}
	away := p.engines[s.ep.Service].StageChange
	if away == 0 {
		away = usualChange
	}
	s.health.outUntil = max(s.health.outUntil, now.Add(away))
}

// MarkUnresponsive notes that e shows no sign of life for an exchange.
func (p *Planner) MarkUnresponsive(now clock.Time, t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.s.health.note(now, ExchangeFailed)
}
