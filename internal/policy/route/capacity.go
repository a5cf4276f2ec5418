package route

import "fescuestand/internal/clock"

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
	decode := r.room(now, &m.decode)
	if len(m.prefill.eps) == 0 {
		return Capacity{r.part(decode.slots), decode.free[normal], decode.free[urgent]}
	}
	prefill, whole := r.room(now, &m.prefill), r.room(now, &m.whole)
	free := func(in lane) int {
		// What is being prefilled needs its slot for decoding later.
		return max(min(prefill.free[in]+whole.free[in], decode.any-prefill.inFlight), 0)
	}
	return Capacity{r.part(decode.slots + prefill.slots), free(normal), free(urgent)}
}

// part is this entry's share of n slots, rounded up.
func (r *Router) part(n int) int {
	entries := r.sharers()
	return (n + entries - 1) / entries
}

// room is the capacity of one set of endpoints.
type room struct {
	slots, inFlight int
	any             int        // requests that need no more prefill
	free            [lanes]int // requests that do
}

func (r *Router) room(now clock.Time, s *set) room {
	var sum room
	for _, e := range s.eps {
		own := e.live.ownRuns.Load()
		sum.inFlight += int(own)
		if e.State != Open || int64(now) < e.live.outUntil.Load() {
			continue
		}
		sum.slots += int(e.slots)
		n := r.slotsFree(now, e, own)
		if n <= 0 {
			continue
		}
		sum.any += n
		for in := range lanes {
			if !r.windowFull(e, in) {
				sum.free[in] += n
			}
		}
	}
	return sum
}

// slotsFree is how many more requests e may be sent, by its limit and slots.
func (r *Router) slotsFree(now clock.Time, e *Endpoint, own int64) int {
	free := int64(e.live.lim.Limit()) - own
	if e.Role == Prefill || r.cfg.Disabled.NoPrefillWindow || !e.live.fresh(now, &r.cfg) {
		return int(free)
	}
	runs, _ := r.load(now, e.live)
	return int(min(free, r.batchOf(e)-runs))
}

func (r *Router) windowFull(e *Endpoint, in lane) bool {
	return e.Role != Decode && !r.cfg.Disabled.NoPrefillWindow && e.shared.windows[in].full()
}

// full says whether e has as much work as it should be sent.
func (r *Router) full(now clock.Time, e *Endpoint, in lane) bool {
	return r.windowFull(e, in) || r.slotsFree(now, e, e.live.ownRuns.Load()) <= 0
}
