package engine

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/standin/httpjson"
)

// Effect is the result of an order.
type Effect string

// Results of an order.
const (
	EffectRunning   Effect = "running"
	EffectDone      Effect = "done"
	EffectNoChange  Effect = "same"     // the engine was in the ordered state already
	EffectStale     Effect = "stale"    // refused because of an old fencing token
	EffectDuplicate Effect = "repeat"   // same id as an earlier order; not executed again
	EffectConflict  Effect = "conflict" // started while another order was being executed
	EffectCrashed   Effect = "crashed"  // the engine crashed before completing it
	EffectFailed    Effect = "failed"   // the weights could not be fetched from the weight store
)

// HistoryEntry is one order that the engine received completely.
type HistoryEntry struct {
	driver.Order
	Incarnation string    `json:"incarnation"`
	StartedAt   time.Time `json:"begun"`
	EndedAt     time.Time `json:"ended"`
	Effect      Effect    `json:"effect"`
	// Overlap is true if the order started while another one was being executed.
	Overlap bool `json:"overlap"`
	// StreamsCut is how many running or queued requests the order aborted.
	StreamsCut int `json:"streams_cut"`
}

// History records the orders that an engine received. It survives the engine's crashes.
type History struct {
	mu      sync.Mutex
	entries []*HistoryEntry
}

func (h *History) add(e *HistoryEntry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, e)
}

func (h *History) update(e *HistoryEntry, change func(e *HistoryEntry)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(e)
}

// hasAccepted reports whether an order with this id was accepted and neither failed nor was lost in a
// crash.
func (h *History) hasAccepted(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.entries, func(e *HistoryEntry) bool {
		return e.ID == id && e.Effect != EffectStale && e.Effect != EffectCrashed && e.Effect != EffectFailed
	})
}

// Entries returns a copy of the history.
func (h *History) Entries() []HistoryEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]HistoryEntry, len(h.entries))
	for i, e := range h.entries {
		all[i] = *e
	}
	return all
}

// serveOrder accepts or refuses an order. It answers when the order is accepted, before it is
// executed.
func (r *run) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o driver.Order
	if !httpjson.Read(w, req, &o) {
		return
	}
	e := r.accept(o)
	log.WithFields(log.Fields{
		"event": "order", "engine": r.cfg.Address, "order": o.ID, "kind": o.Kind, "role": o.Role,
		"fence": o.Fence, "effect": e.Effect, "overlap": e.Overlap, "streams_cut": e.StreamsCut,
	}).Info("engine")
	if e.Effect == EffectStale {
		httpjson.Refuse(w, http.StatusConflict, httpapi.StaleFence, "a higher fencing token was seen")
		return
	}
	if _, on := r.faults.Consume(FaultLostOrder, ""); on {
		httpjson.Abort()
	}
	w.WriteHeader(http.StatusAccepted)
}

// accept decides whether to execute an order, records it in the history and starts its execution.
func (r *run) accept(o driver.Order) HistoryEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &HistoryEntry{Order: o, Incarnation: r.incarnation, StartedAt: time.Now(), Overlap: r.activeOrders > 0}
	switch {
	case r.cfg.ChecksFence && o.Fence < r.fence:
		e.Effect = EffectStale
	case r.history.hasAccepted(o.ID):
		e.Effect = EffectDuplicate
	case r.isNoChange(o):
		e.Effect = EffectNoChange
	default:
		e.Effect = EffectRunning
	}
	if e.Effect != EffectStale {
		r.lastOrder = o.ID
		if r.cfg.ChecksFence {
			r.fence = o.Fence
		}
	}
	if e.Effect == EffectRunning {
		r.activeOrders++
		if o.Kind == driver.OrderRole {
			r.roleChanges++
			e.StreamsCut = len(r.queue) + len(r.batch)
			r.abortAllLocked()
		}
		go r.execute(o, e)
	} else {
		e.EndedAt = e.StartedAt
	}
	r.history.add(e)
	return *e
}

// isNoChange reports whether the engine already is in the ordered state. While another order is being
// executed, it returns false.
func (r *run) isNoChange(o driver.Order) bool {
	if r.activeOrders > 0 {
		return false
	}
	switch o.Kind {
	case driver.OrderRole:
		return r.role == o.Role
	case driver.OrderLoad:
		return slices.Contains(r.loaded, o.Load)
	default:
		return !slices.Contains(r.loaded, o.Load)
	}
}

// execute waits for the order's duration, then applies it.
func (r *run) execute(o driver.Order, e *HistoryEntry) {
	effect := r.simulateChange(o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeOrders--
	if o.Kind == driver.OrderRole {
		r.roleChanges--
	}
	if effect == EffectDone {
		r.applyOrder(o)
	}
	if e.Overlap && effect == EffectDone {
		effect = EffectConflict
	}
	r.history.update(e, func(e *HistoryEntry) {
		e.Effect = effect
		e.EndedAt = time.Now()
	})
	r.wakeLoop()
}

func (r *run) applyOrder(o driver.Order) {
	switch o.Kind {
	case driver.OrderRole:
		r.role = o.Role
	case driver.OrderLoad:
		r.loaded = append(r.loaded, o.Load)
	case driver.OrderUnload:
		r.loaded = slices.DeleteFunc(r.loaded, func(l driver.Loaded) bool { return l == o.Load })
	}
}

// simulateChange takes the time that the order takes on a real engine.
func (r *run) simulateChange(o driver.Order) Effect {
	if o.Kind == driver.OrderUnload {
		return EffectDone
	}
	if _, on := r.faults.Consume(FaultCrashInChange, ""); on {
		clock.Sleep(r.ctx, r.cfg.RoleChange/2)
		r.crash()
		return EffectCrashed
	}
	if o.Kind == driver.OrderRole {
		if !clock.Sleep(r.ctx, r.cfg.RoleChange) {
			return EffectCrashed
		}
		return EffectDone
	}
	if err := r.fetchWeights(r.ctx, o.Load); err != nil {
		if r.ctx.Err() != nil {
			return EffectCrashed
		}
		log.WithFields(log.Fields{"event": "fetch-failed", "engine": r.cfg.Address}).WithError(err).Warn("engine")
		return EffectFailed
	}
	return EffectDone
}

// fetchWeights fetches a model version or adapter. The weight store's rate limit determines how long
// that takes.
func (r *run) fetchWeights(ctx context.Context, l driver.Loaded) error {
	if r.cfg.WeightStore == "" {
		return nil
	}
	q := url.Values{"model": {l.Model}, "version": {l.Version}}
	if l.Adapter != "" {
		q.Set("model", l.Adapter)
	}
	return postExpectOK(ctx, "http://"+r.cfg.WeightStore+httpapi.PathFetch+"?"+q.Encode())
}
