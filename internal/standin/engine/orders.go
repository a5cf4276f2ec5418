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

// Effect is what became of an order.
type Effect string

// The effects.
const (
	EffectRunning  Effect = "running"
	EffectDone     Effect = "done"
	EffectNoChange     Effect = "same"     // the engine was that way already
	EffectStale    Effect = "stale"    // refused for its fencing token
	EffectDuplicate   Effect = "repeat"   // same id as an earlier order: not run again
	EffectConflict Effect = "conflict" // began while another order was carried out
	EffectCrashed  Effect = "crashed"  // the engine crashed before it was done
	EffectFailed   Effect = "failed"   // the weight store did not give the weights
)

// HistoryEntry is one order that the engine got whole.
type HistoryEntry struct {
	driver.Order
	Incarnation string    `json:"incarnation"`
	StartedAt       time.Time `json:"begun"`
	EndedAt       time.Time `json:"ended"`
	Effect      Effect    `json:"effect"`
	// Overlap says that it began while another order was being carried out.
	Overlap bool `json:"overlap"`
	// StreamsCut is how many running or queued requests it cut off.
	StreamsCut int `json:"streams_cut"`
}

// History lists the orders that an engine got, over its crashes.
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

// has tells whether an order with this id was taken and not lost.
func (h *History) has(id string) bool {
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

// order takes an order that has arrived whole. It answers once the order is
// accepted and carries it out afterwards.
func (r *run) order(w http.ResponseWriter, req *http.Request) {
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

// accept decides on an order and starts it.
func (r *run) accept(o driver.Order) HistoryEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &HistoryEntry{Order: o, Incarnation: r.incarnation, StartedAt: time.Now(), Overlap: r.changing > 0}
	switch {
	case r.cfg.ChecksFence && o.Fence < r.fence:
		e.Effect = EffectStale
	case r.history.has(o.ID):
		e.Effect = EffectDuplicate
	case r.already(o):
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
		r.changing++
		if o.Kind == driver.OrderRole {
			r.away++
			e.StreamsCut = len(r.queue) + len(r.batch)
			r.cutAllLocked()
		}
		go r.carryOut(o, e)
	} else {
		e.EndedAt = e.StartedAt
	}
	r.history.add(e)
	return *e
}

// already tells whether the order changes nothing.
func (r *run) already(o driver.Order) bool {
	if r.changing > 0 {
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

// carryOut takes the order's time, then puts it into effect.
func (r *run) carryOut(o driver.Order, e *HistoryEntry) {
	effect := r.spend(o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changing--
	if o.Kind == driver.OrderRole {
		r.away--
	}
	if effect == EffectDone {
		r.take(o)
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

func (r *run) take(o driver.Order) {
	switch o.Kind {
	case driver.OrderRole:
		r.role = o.Role
	case driver.OrderLoad:
		r.loaded = append(r.loaded, o.Load)
	case driver.OrderUnload:
		r.loaded = slices.DeleteFunc(r.loaded, func(l driver.Loaded) bool { return l == o.Load })
	}
}

// spend waits for what the order costs.
func (r *run) spend(o driver.Order) Effect {
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

// fetchWeights gets a model version or adapter at the weight store's rate.
func (r *run) fetchWeights(ctx context.Context, l driver.Loaded) error {
	if r.cfg.WeightStore == "" {
		return nil
	}
	q := url.Values{"model": {l.Model}, "version": {l.Version}}
	if l.Adapter != "" {
		q.Set("model", l.Adapter)
	}
	return postOK(ctx, "http://"+r.cfg.WeightStore+httpapi.PathFetch+"?"+q.Encode())
}
