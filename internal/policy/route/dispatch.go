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
	return r.cfg.Stuck + time.Duration(r.cfg.SlowFactor*float64(t))
}

// progress notes that one request less awaits its first token.
func (r *Router) progress(now clock.Time, l *live) {
	l.awaiting.Add(-1)
	_, work := l.load(now, &r.cfg)
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
		w.observe(now, now.Sub(d.sentAt)-d.unloaded)
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

// Capacity is what a pool can take from this entry.
type Capacity struct {
	Slots  int // this entry's part of all slots, those of prefill engines too
	Normal int // requests that may be dispatched now
	Urgent int // likewise, of those sent with the engine's higher priority
}

// Capacity returns the capacity for one artifact of a pool in the cell of the
// workspace, which may be empty if there is one cell.
func (r *Router) Capacity(now clock.Time, pool string, art Artifact, workspace string) Capacity {
	t := r.table.Load()
	g := t.groups[groupKey{pool, art}]
	if g == nil {
		return Capacity{}
	}
	m := &g.cells[0]
	if t.cells > 1 {
		m = g.cellFor(hashOf(workspace))
	}
	c := Capacity{Normal: r.free(now, m, normal), Urgent: r.free(now, m, urgent)}
	slots := r.room(now, &m.decode, normal).Slots + r.room(now, &m.prefill, normal).Slots
	c.Slots = (slots + r.cfg.Entries - 1) / r.cfg.Entries
	return c
}

func (r *Router) free(now clock.Time, m *members, in lane) int {
	decode := r.room(now, &m.decode, in)
	if len(m.prefill.eps) == 0 {
		return decode.Free
	}
	prefill, whole := r.room(now, &m.prefill, in), r.room(now, &m.whole, in)
	// What is being prefilled needs its slot for decoding later.
	return max(min(prefill.Free+whole.Free, decode.Free-prefill.InFlight), 0)
}

// room is the capacity of one set of endpoints.
type room struct{ Slots, Free, InFlight int }

func (r *Router) room(now clock.Time, s *set, in lane) room {
	var sum room
	for _, e := range s.eps {
		own := int(e.live.ownRuns.Load())
		sum.InFlight += own
		if e.State != Open || int64(now) < e.live.outUntil.Load() {
			continue
		}
		sum.Slots += int(e.slots)
		if !r.full(now, e, in) {
			sum.Free += r.slotsFree(now, e, own)
		}
	}
	return sum
}

func (r *Router) slotsFree(now clock.Time, e *Endpoint, own int) int {
	free := e.live.lim.Limit() - own
	if runs, _ := e.live.load(now, &r.cfg); e.Role != Prefill && !r.cfg.Off.NoAhead {
		free = min(free, int(r.cfg.Overcommit*float64(e.slots))-int(runs))
	}
	return max(free, 1)
}

// full says whether e has as much work as it should be sent.
func (r *Router) full(now clock.Time, e *Endpoint, in lane) bool {
	l := e.live
	if l.ownRuns.Load() >= int64(l.lim.Limit()) {
		return true
	}
	if r.cfg.Off.NoAhead {
		return false
	}
	if e.Role != Decode && e.shared.windows[in].full() {
		return true
	}
	if !l.fresh(now, &r.cfg) {
		return false
	}
	runs, _ := l.load(now, &r.cfg)
	return e.Role != Prefill && float64(runs) >= r.cfg.Overcommit*float64(e.slots)
}
