package route

import "fescuestand/internal/clock"

// Capacity is the number of requests that this entry can dispatch to a pool.
type Capacity struct {
	Slots  int // this entry's share of all slots, including those of prefill engines
	Normal int // requests that may be dispatched now
	Urgent int // the same for requests sent with the engine's higher priority
}

// Capacity returns the capacity for one artifact of a pool in the cell of the workspace. The
// workspace may be empty if there is only one cell.
func (r *Router) Capacity(now clock.Time, pool string, art Artifact, workspace string) Capacity {
	t := r.table.Load()
	g := t.groups[groupKey{pool, art}]
	if g == nil {
		return Capacity{}
	}
	m := &g.cells[0]
	if t.cells > 1 {
		m = g.cellFor(hashWorkspace(workspace))
	}
	decode := r.setCapacity(now, &m.decode)
	if len(m.prefill.endpoints) == 0 {
		return Capacity{r.ownShare(decode.slots), decode.prefillFree[normal], decode.prefillFree[urgent]}
	}
	prefill, colocated := r.setCapacity(now, &m.prefill), r.setCapacity(now, &m.colocated)
	free := func(ln lane) int {
		// Each request that is being prefilled will need a slot for decoding.
		return max(min(prefill.prefillFree[ln]+colocated.prefillFree[ln], decode.decodeFree-prefill.inFlight), 0)
	}
	return Capacity{r.ownShare(decode.slots + prefill.slots), free(normal), free(urgent)}
}

// ownShare returns this entry's share of slots, rounded up.
func (r *Router) ownShare(slots int) int {
	entries := r.entryCount()
	return (slots + entries - 1) / entries
}

// setCapacity is the capacity of one endpoint set.
type setCapacity struct {
	slots, inFlight int
	decodeFree      int        // requests that are already prefilled
	prefillFree     [lanes]int // requests that need a prefill
}

func (r *Router) setCapacity(now clock.Time, s *endpointSet) setCapacity {
	var sum setCapacity
	for _, e := range s.endpoints {
		ownRequests := e.runtime.ownRequests.Load()
		sum.inFlight += int(ownRequests)
		if e.State != Open || int64(now) < e.runtime.ejectedUntil.Load() {
			continue
		}
		sum.slots += int(e.slots)
		free := r.freeSlots(now, e, ownRequests)
		if free <= 0 {
			continue
		}
		sum.decodeFree += free
		for ln := range lanes {
			if !r.windowFull(e, ln) {
				sum.prefillFree[ln] += free
			}
		}
	}
	return sum
}

// freeSlots returns how many more requests e may be sent. It applies this entry's concurrency limit
// and, where a fresh load report exists, the batch limit shared by all entries.
func (r *Router) freeSlots(now clock.Time, e *Endpoint, ownRequests int64) int {
	free := int64(e.runtime.limiter.Limit()) - ownRequests
	if e.Role == Prefill || r.cfg.Disabled.NoPrefillWindow || !e.runtime.hasFreshReport(now, &r.cfg) {
		return int(free)
	}
	requests, _ := r.estimateLoad(now, e.runtime)
	return int(min(free, r.batchLimit(e)-requests))
}

func (r *Router) windowFull(e *Endpoint, ln lane) bool {
	return e.Role != Decode && !r.cfg.Disabled.NoPrefillWindow && e.peers.windows[ln].full()
}

// atCapacity reports whether e must not be sent more requests of lane ln.
func (r *Router) atCapacity(now clock.Time, e *Endpoint, ln lane) bool {
	return r.windowFull(e, ln) || r.freeSlots(now, e, e.runtime.ownRequests.Load()) <= 0
}
