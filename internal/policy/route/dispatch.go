package route

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
)

// Dispatch is one piece of work for one endpoint. It belongs to the goroutine
// that serves the request.
type Dispatch struct {
	Endpoint   *Endpoint // nil if there is no such piece of work
	work       int64
	lane       lane
	unloaded   time.Duration
	expected   time.Duration
	sentAt     clock.Time
	firstAt    clock.Time
	sent       bool
	answered   bool
	firstRatio float64
	stepRatio  float64
}

// Outcome is how a dispatch ended.
type Outcome uint8

// The outcomes.
const (
	Success  Outcome = iota
	Failed           // an error of the endpoint's own, or its connection broke
	Refused          // the endpoint refused the work without running it
	Canceled         // ended by the caller; says nothing about the endpoint
)

// Sent counts d as in flight. It follows Pick at once.
func (r *Router) Sent(now clock.Time, d *Dispatch) {
	d.sent, d.sentAt = true, now
	l := d.Endpoint.live
	if l.awaiting.Add(1) == 1 {
		l.dueAt.Store(int64(now.Add(r.patience(d.expected))))
	}
	l.change(now, 1, d.work, d.lane)
	d.Endpoint.shared.windows[d.lane].add(d.work)
}

// patience is how long an endpoint that expects to need t may show no first
// token before it counts as stuck.
func (r *Router) patience(t time.Duration) time.Duration {
	return r.cfg.StuckTimeout + time.Duration(r.cfg.SlowFactor*float64(t))
}

// progress notes that one request less awaits its first token.
func (r *Router) progress(now clock.Time, l *live) {
	l.awaiting.Add(-1)
	_, work := r.load(now, l)
	rest := time.Duration(max(work, l.ownPrefill()))
	l.dueAt.Store(int64(now.Add(r.patience(rest))))
}

// FirstToken reports the first token, the end of a prefill, or the whole
// answer of a plain service.
func (r *Router) FirstToken(now clock.Time, d *Dispatch) {
	if d.answered || !d.sent {
		return
	}
	d.answered, d.firstAt = true, now
	l := d.Endpoint.live
	l.ownWork[d.lane].Add(-d.work)
	r.prefillEnded(now, d)
	r.progress(now, l)
	took := float64(now.Sub(d.sentAt))
	l.first.add(now, took/float64(max(d.expected, minExpected)), 1)
	d.firstRatio = took / float64(max(d.unloaded, minExpected))
}

// prefillEnded lets the window follow the measured wait.
func (r *Router) prefillEnded(now clock.Time, d *Dispatch) {
	w := &d.Endpoint.shared.windows[d.lane]
	w.add(-d.work)
	if d.work > 0 {
		w.observe(now, now.Sub(d.sentAt)-d.unloaded, d.lane == normal && r.strained(d.Endpoint))
	}
}

// minExpected keeps ratios meaningful for services that answer in no time: a
// tenth of a millisecond is the resolution of a loaded VM's network.
const minExpected = 100 * time.Microsecond

// Progress reports that tokens have come so far. Calling it each few tokens
// shows an endpoint that has become slow long before its answers end.
func (r *Router) Progress(now clock.Time, d *Dispatch, tokens int) {
	n := d.Endpoint.decodeStepNanos
	if !d.answered || tokens < 2 || n == 0 {
		return
	}
	step := float64(now.Sub(d.firstAt)) / float64(tokens-1)
	d.stepRatio = step / float64(n)
	d.Endpoint.live.step.add(now, d.stepRatio, 1)
}

// Done ends d. Another call does nothing.
func (r *Router) Done(now clock.Time, d *Dispatch, o Outcome) {
	if !d.sent {
		return
	}
	l := d.Endpoint.live
	inFlight := int(l.ownRuns.Load())
	if o == Success {
		r.FirstToken(now, d)
	}
	work := -d.work
	if d.answered {
		work = 0
	}
	l.change(now, -1, work, d.lane)
	if !d.answered {
		d.answered = true
		d.Endpoint.shared.windows[d.lane].add(-d.work)
		r.progress(now, l)
	}
	d.sent = false
	switch o {
	case Canceled:
		return
	case Success:
		l.errs.add(now, 0, 0)
	case Failed:
		// The latency of an error is not a sample: an endpoint that fails
		// fast would look like the fastest of the pool and draw its traffic.
		l.errs.add(now, 1, 0)
	case Refused:
	}
	l.lim.Observe(now, limit.Sample{
		FirstToken: d.firstRatio,
		Step:       d.stepRatio,
		InFlight:   inFlight,
		Overloaded: o == Refused,
	})
}
