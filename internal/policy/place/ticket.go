package place

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// Ticket counts one exchange at an endpoint from its sending to its end.
type Ticket struct {
	s        *state
	work     time.Duration // of the prefill, zero if there is none
	expected time.Duration // wait and work at the sending
	fetches  bool          // the engine fetches a part of the prompt first
	sentAt   clock.Time
	ended    bool
}

// Outcome is how an exchange ended.
type Outcome uint8

// The outcomes.
const (
	Good     Outcome = iota
	Erred            // answered with a failure of its own
	Bad              // was cut, didn't answer, or answered wrongly
	Full             // the endpoint refused without running it
	Unjudged         // ended by the caller; says nothing about the endpoint
)

// Send counts an exchange that is about to start at e with the given prefill
// work.
func (p *Planner) Send(now clock.Time, e *catalog.Endpoint, work time.Duration) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.known[e.ID]
	if s == nil {
		s = newState(e)
	}
	t := &Ticket{s: s, work: work, sentAt: now}
	t.expected = p.wait(now, s) + work
	s.running++
	p.count(now, t, work)
	if work > 0 {
		s.jobs[t] = struct{}{}
	}
	return t
}

// Fetches notes that the engine of t fetches a part of the prompt before it reads
// the rest.
func (p *Planner) Fetches(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.fetches = true
}

// count adds an exchange to the demand. A prefill at a decode engine is counted
// as the time that it would take at a prefill engine.
func (p *Planner) count(now clock.Time, t *Ticket, work time.Duration) {
	if t.s.ep.Stage == catalog.Decode {
		work = time.Duration(float64(work) * decodeRate / prefillRate)
		p.meter.stream(now, 1)
	}
	p.meter.sent(now, work)
}

// Prefilled notes that the exchange's prefill is over: its first event came, or
// its KV cache is ready. parts are in the engine's cache now.
func (p *Planner) Prefilled(now clock.Time, t *Ticket, parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, pending := t.s.jobs[t]; pending {
		t.s.learn(now.Sub(t.sentAt)-firstTime, t)
		delete(t.s.jobs, t)
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

// minLearned is the least work that says something of an engine's speed, and
// maxWaitShare the most of its time that may have been spent waiting: a wait
// measures the other VMs' work, not the engine's speed.
const (
	minLearned   = 8 * time.Millisecond
	maxWaitShare = 0.25
)

// learn corrects the predicted speed by a measurement. A fetch takes its own time,
// which says nothing of the engine's.
func (s *state) learn(took time.Duration, t *Ticket) {
	if t.fetches || t.work < minLearned || float64(t.expected-t.work) > maxWaitShare*float64(t.work) {
		return
	}
	ratio := float64(max(took, 0)) / float64(t.expected)
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

// Load takes what an endpoint said of its own load: running and waiting
// requests.
func (p *Planner) Load(now clock.Time, t *Ticket, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.s.load = reportedLoad{requests, now}
}

// Gone notes that the endpoint is no longer what it is known as: it has
// restarted, or changed its stage, and its entry doesn't show it yet.
func (p *Planner) Gone(now clock.Time, e *catalog.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.known[e.ID]; s != nil {
		s.health.leave(now)
	}
}

// usualChange is assumed for a change of an engine's stage where the configuration
// doesn't say.
const usualChange = 3 * time.Second

// Changing notes that an engine was ordered to another stage: it takes no work
// until it has changed.
func (p *Planner) Changing(now clock.Time, id string) {
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

// Stuck notes that e shows no sign of life for an exchange.
func (p *Planner) Stuck(now clock.Time, t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.s.health.note(now, Bad)
}
