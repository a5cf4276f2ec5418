package route

import (
	"sync"
	"sync/atomic"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
	"fescuestand/internal/splitmix"
)

// Router routes the requests of one entry. Pick, Sent, FirstToken, Progress, Done, ObserveReport
// and ApplyCacheEvents are safe for concurrent use by traffic goroutines. Publish and EjectOutliers
// must be called by a single control goroutine.
type Router struct {
	cfg            Config
	table          atomic.Pointer[Table]
	randomCalls    atomic.Uint64
	seed           uint64
	nextRoundRobin atomic.Uint64 // of the round-robin baseline
	// entries is the number of entries that share the endpoints.
	entries    atomic.Int64
	pickCounts [reasons]atomic.Int64

	sendRatesAt clock.Time // last measurement of send rates by EjectOutliers

	peerStates map[peerGroupKey]*peerState // used by Publish only

	mu       sync.Mutex                  // guards runtimes
	runtimes map[string]*endpointRuntime // by endpoint name
}

// NewRouter returns a router without endpoints. Each entry needs a different seed, so that entries
// don't make the same choices.
func NewRouter(cfg Config, seed uint64) *Router {
	r := &Router{cfg: cfg.withDefaults(), seed: splitmix.Mix(seed), runtimes: map[string]*endpointRuntime{}, peerStates: map[peerGroupKey]*peerState{}}
	r.SetEntries(r.cfg.Entries)
	r.table.Store(NewTable(cfg, nil))
	return r
}

// SetEntries sets the number of entries that share the endpoints. It replaces Config.Entries;
// prefill windows are resized at the next Publish.
func (r *Router) SetEntries(n int) { r.entries.Store(int64(max(n, 1))) }

func (r *Router) entryCount() int { return int(r.entries.Load()) }

// Table returns the current table.
func (r *Router) Table() *Table { return r.table.Load() }

// Publish makes t the current table and attaches the state of endpoints that the previous table
// had. An endpoint that was unavailable, or is new, enters slow start. Endpoints of the first table
// don't.
func (r *Router) Publish(now clock.Time, t *Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hadEndpoints := len(r.runtimes) > 0
	runtimes := make(map[string]*endpointRuntime, len(t.endpoints))
	for _, e := range t.endpoints {
		rt := r.runtimes[e.Name]
		isNew := rt == nil
		if isNew {
			rt = &endpointRuntime{limiter: limit.NewLimiter(r.limitConfig(e))}
		}
		rt.serviceNanos.Store(e.slotAdvanceNanos*e.slots + 1)
		rt.mu.Lock()
		returned := (isNew && hadEndpoints) || (!isNew && rt.state == Unavailable)
		if returned && e.State == Open {
			rt.slowStartFrom.Store(int64(now))
			rt.cacheView.clear()
			rt.resetHealth()
			rt.batchLimitBits.Store(0)
		}
		rt.state = e.State
		rt.mu.Unlock()
		e.runtime = rt
		runtimes[e.Name] = rt
	}
	r.runtimes = runtimes
	r.attachPeerStates(t)
	r.table.Store(t)
}

func (r *Router) limitConfig(e *Endpoint) limit.Config {
	lc := r.cfg.Limit
	if lc.Max == 0 {
		lc.Max = 2 * int(e.slots)
	}
	if lc.Initial == 0 {
		// Twice this entry's fair share of the slots: entries are rarely all busy at once, and the
		// limiter shrinks a limit that is too high.
		lc.Initial = max(2*int(e.slots)/r.entryCount(), 1)
	}
	return lc
}

func (r *Router) runtimeOf(name string) *endpointRuntime {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runtimes[name]
}

// ObserveReport applies a load report of the named endpoint. The load in a report that is not newer
// than the last one is dropped; its step time is still observed.
func (r *Router) ObserveReport(name string, rep Report) {
	e := r.findEndpoint(name)
	if e == nil {
		return
	}
	e.runtime.applyReport(rep, e.prefillNanosPerToken, r.cfg.Disabled.NoLocalCounts)
	if rep.StepTime > 0 && e.decodeStepNanos > 0 {
		e.runtime.stepRatio.observe(rep.TakenAt, float64(rep.StepTime)/float64(e.decodeStepNanos), 1)
		r.adaptBatchLimit(rep.TakenAt, e)
	}
}

// ApplyCacheEvents applies events of the named engine's prefix cache in order of arrival.
func (r *Router) ApplyCacheEvents(name string, events []CacheEvent) {
	rt := r.runtimeOf(name)
	if rt == nil {
		return
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, e := range events {
		rt.cacheEvents.apply(&rt.cacheView, e, r.cfg.Disabled.NoGapReset)
	}
}

func (r *Router) findEndpoint(name string) *Endpoint {
	all := r.Table().endpoints
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
