package route

import (
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
)

// Router routes the requests of one entry. Pick, Sent, FirstToken, Done,
// Report and CacheEvents are safe for concurrent use by traffic goroutines;
// Publish and Sweep belong to one control goroutine.
type Router struct {
	cfg   Config
	table atomic.Pointer[Table]
	draws atomic.Uint64
	seed  uint64
	turn  atomic.Uint64
	count [reasons]atomic.Int64

	mu    sync.Mutex // guards lives
	lives map[string]*live
}

// NewRouter returns a router without endpoints. Different entries take
// different seeds, so that they don't make the same choices.
func NewRouter(cfg Config, seed uint64) *Router {
	r := &Router{cfg: cfg.withDefaults(), seed: mix(seed), lives: map[string]*live{}}
	r.table.Store(NewTable(cfg, nil))
	return r
}

// Table returns the table in force.
func (r *Router) Table() *Table { return r.table.Load() }

// Publish puts t in force and joins it to what is known of its endpoints.
// An endpoint that was away or is new returns with a growing share, except
// before the first table.
func (r *Router) Publish(now clock.Time, t *Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	started := len(r.lives) > 0
	keep := make(map[string]*live, len(t.all))
	for _, e := range t.all {
		l := r.lives[e.Name]
		isNew := l == nil
		if isNew {
			l = &live{lim: limit.NewLimiter(r.limitOf(e))}
		}
		l.mu.Lock()
		back := (isNew && started) || (!isNew && l.state == Away)
		if back && e.State == Open {
			l.rampFrom.Store(int64(now))
			l.cache.forget()
			l.first.reset()
			l.errs.reset()
		}
		l.state = e.State
		l.mu.Unlock()
		e.live = l
		keep[e.Name] = l
	}
	r.lives = keep
	r.table.Store(t)
}

func (r *Router) limitOf(e *Endpoint) limit.Config {
	c := r.cfg.Limit
	if c.Max == 0 {
		c.Max = 2 * int(e.slots)
	}
	if c.Start == 0 {
		// One entry's fair part of the slots, doubled: entries are seldom all
		// busy at once, and the limiter takes back what is too much.
		c.Start = max(2*int(e.slots)/r.cfg.Entries, 1)
	}
	return c
}

func (r *Router) liveOf(name string) *live {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lives[name]
}

// Report takes the load report of the named endpoint. Reports that are older
// than one already seen are dropped.
func (r *Router) Report(name string, rep Report) {
	e := r.find(name)
	if e == nil {
		return
	}
	e.live.report(rep, e.prefillNanos, r.cfg.Off.NoOwnCounts)
}

// CacheEvents takes events of the named engine's prefix cache in the order of
// their arrival.
func (r *Router) CacheEvents(name string, events []CacheEvent) {
	l := r.liveOf(name)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range events {
		l.seq.apply(&l.cache, e, r.cfg.Off.NoGapRebuild)
	}
}

func (r *Router) find(name string) *Endpoint {
	all := r.Table().all
	lo, hi := 0, len(all)
	for lo < hi {
		mid := (lo + hi) / 2
		if all[mid].Name < name {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(all) && all[lo].Name == name {
		return all[lo]
	}
	return nil
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
	d.sentAt = now
	l := d.Endpoint.live
	if l.awaiting.Add(1) == 1 {
		l.dueAt.Store(int64(now.Add(r.patience(d.expected))))
	}
	l.change(now, 1, d.work)
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
	rest := time.Duration(max(work, l.ownWork.Load()))
	l.dueAt.Store(int64(now.Add(r.patience(rest))))
}

// FirstToken reports the first token, or the whole answer of a plain service.
func (r *Router) FirstToken(now clock.Time, d *Dispatch) {
	if d.answered {
		return
	}
	d.answered = true
	l := d.Endpoint.live
	l.ownWork.Add(-d.work)
	r.progress(now, l)
	took := float64(now.Sub(d.sentAt))
	l.first.add(now, took/float64(max(d.expected, minExpected)), 1)
	d.firstRatio = took / float64(max(d.unloaded, minExpected))
}

// minExpected keeps ratios meaningful for services that answer in no time: a
// tenth of a millisecond is the resolution of a loaded VM's network.
const minExpected = 100 * time.Microsecond

// Done ends d. step is the mean time between tokens, zero where there is none.
func (r *Router) Done(now clock.Time, d *Dispatch, o Outcome, step time.Duration) {
	l := d.Endpoint.live
	inFlight := int(l.ownRuns.Load())
	if o == Success {
		r.FirstToken(now, d)
	}
	work := -d.work
	if d.answered {
		work = 0
	}
	l.change(now, -1, work)
	if !d.answered {
		d.answered = true
		r.progress(now, l)
	}
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
	s := limit.Sample{FirstToken: d.firstRatio, InFlight: inFlight, Overloaded: o == Refused}
	if n := d.Endpoint.decodeStepNanos; n > 0 {
		s.Step = float64(step) / float64(n)
	}
	l.lim.Observe(now, s)
}

// Capacity returns how many requests this entry may have in flight in a pool,
// and how many it has.
func (r *Router) Capacity(now clock.Time, pool string) (limit, inFlight int) {
	for _, p := range r.Table().pools {
		if p.pool != pool {
			continue
		}
		for _, e := range p.eps {
			if e.Role == Prefill {
				continue
			}
			inFlight += int(e.live.ownRuns.Load())
			if e.State == Open && int64(now) >= e.live.outUntil.Load() {
				limit += e.live.lim.Limit()
			}
		}
	}
	return limit, inFlight
}
