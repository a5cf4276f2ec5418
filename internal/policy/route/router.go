package route

import (
	"sync"
	"sync/atomic"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
	"fescuestand/internal/splitmix"
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
	// entries is how many entries share the endpoints.
	entries atomic.Int64
	count   [reasons]atomic.Int64

	sendingAt clock.Time // of the last measurement by Sweep

	shared map[peersKey]*shared // Publish's own

	mu    sync.Mutex // guards lives
	lives map[string]*live
}

// NewRouter returns a router without endpoints. Different entries take
// different seeds, so that they don't make the same choices.
func NewRouter(cfg Config, seed uint64) *Router {
	r := &Router{cfg: cfg.withDefaults(), seed: splitmix.Mix(seed), lives: map[string]*live{}, shared: map[peersKey]*shared{}}
	r.SetEntries(r.cfg.Entries)
	r.table.Store(NewTable(cfg, nil))
	return r
}

// SetEntries tells how many entries share the endpoints from now on; before, it
// is what the configuration says. Windows follow with the next table.
func (r *Router) SetEntries(n int) { r.entries.Store(int64(max(n, 1))) }

// sharers is how many entries share the endpoints.
func (r *Router) sharers() int { return int(r.entries.Load()) }

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
		l.stay.Store(e.slotNanos*e.slots + 1)
		l.mu.Lock()
		back := (isNew && started) || (!isNew && l.state == Unavailable)
		if back && e.State == Open {
			l.rampFrom.Store(int64(now))
			l.cache.forget()
			l.clean()
			l.batch.Store(0)
		}
		l.state = e.State
		l.mu.Unlock()
		e.live = l
		keep[e.Name] = l
	}
	r.lives = keep
	r.joinPeers(t)
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
		c.Start = max(2*int(e.slots)/r.sharers(), 1)
	}
	return c
}

func (r *Router) liveOf(name string) *live {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lives[name]
}

// ObserveReport takes the load report of the named endpoint. Reports that are older
// than one already seen are dropped.
func (r *Router) ObserveReport(name string, rep Report) {
	e := r.find(name)
	if e == nil {
		return
	}
	e.live.report(rep, e.prefillNanos, r.cfg.Disabled.NoOwnCounts)
	if rep.StepTime > 0 && e.decodeStepNanos > 0 {
		e.live.step.add(rep.TakenAt, float64(rep.StepTime)/float64(e.decodeStepNanos), 1)
		r.adaptBatch(rep.TakenAt, e)
	}
}

// ApplyCacheEvents takes events of the named engine's prefix cache in the order of
// their arrival.
func (r *Router) ApplyCacheEvents(name string, events []CacheEvent) {
	l := r.liveOf(name)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range events {
		l.seq.apply(&l.cache, e, r.cfg.Disabled.NoGapRebuild)
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
