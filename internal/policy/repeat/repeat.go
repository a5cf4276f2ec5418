// Package repeat limits how many requests a VM sends to a second endpoint. The VMs of a deployment
// share one retry budget for each service.
//
// Load pattern: when an endpoint fails, its requests are retried at the others. Without a limit,
// the retries of all VMs add up at the remaining endpoints and overload them, so that they fail too.
//
// Approach: the budget is a share of the requests in a sliding window plus a fixed number for the
// whole deployment. Each VM may use the share of its own requests and an equal part of the fixed
// number. A VM that has just started doesn't know what earlier processes have used of the fixed number,
// so it uses none of it for the length of a window.
//
// Guarantees: the VMs exchange no messages for this. The sum of their retries stays within the
// budget as long as no VM underestimates the number of members, also when VMs are restarted. Until a
// VM has that number it assumes the largest supported deployment.
//
// A Budget is safe for concurrent use.
package repeat

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// slotsPerWindow is the resolution of the sliding window: the limit holds for any span of the
	// window's length, to within one slot.
	slotsPerWindow = 20
	// safetyFactor is the part of the budget that is used. It covers the difference between
	// counting requests when they arrive, as here, and when they were sent, as elsewhere.
	safetyFactor = 0.8
	// maxMembers is the number of VMs that is assumed until SetMembers is called.
	maxMembers = 1000
)

// Priority is a request's claim on the budget.
type Priority int

// The priorities. Begun requests may use the whole budget: a caller that has received a part of an answer
// loses it if the rest can't be had. Optional retries are those that a request can do without.
const (
	NotBegun Priority = iota
	Begun
	Optional
)

// notBegunShare is the part of the budget that requests without an answer may use.
const notBegunShare = 0.8

// optionalShare is the part of the budget that optional retries may use.
const optionalShare = 0.5

// minWindow is the shortest window, so that an unset one doesn't have a length of zero.
const minWindow = time.Second

// Config of a Budget.
type Config struct {
	Ratio  float64       // retries per request
	Extra  float64       // additional retries per window, for all VMs together
	Window time.Duration // length of the sliding window
}

// Budget is one VM's part of the retry budgets of all services.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	members int
	windows map[string]*window // by service
	// fixedFrom is when the fixed part may be used, unless it isn't known yet.
	fixedFrom      clock.Time
	knowsFixedFrom bool
}

// window is a ring of slots, each of which counts for the window's length / slotsPerWindow.
type window struct {
	requests, retries [slotsPerWindow + 1]int
	newest            int64 // number of the newest slot
}

// New returns a budget that assumes maxMembers until SetMembers is called. It has no fixed part until a window after
// its first use.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, members: maxMembers, windows: map[string]*window{}}
}

// SetUnused tells that no process has used the budget before, so that the fixed part may be used at once.
func (b *Budget) SetUnused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fixedFrom, b.knowsFixedFrom = 0, true
}

// SetConfig replaces the configuration. If the length of the window changes, all counts are reset:
// retries are then allowed as after a start until the new one has filled up.
func (b *Budget) SetConfig(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.windows)
		b.knowsFixedFrom = false
	}
	b.cfg = cfg
}

// SetMembers sets the number of VMs that share the budget.
func (b *Budget) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(n, 1)
}

// CountRequest counts a caller's request for a service.
func (b *Budget) CountRequest(now clock.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.newest%(slotsPerWindow+1)]++
}

// Take counts a retry and returns true if the budget allows it.
func (b *Budget) Take(now clock.Time, service string, p Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if !b.allows(now, w, p, 1) {
		return false
	}
	w.retries[w.newest%(slotsPerWindow+1)]++
	return true
}

// Allows reports whether the budget allows n retries now. It counts none.
func (b *Budget) Allows(now clock.Time, service string, p Priority, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(now, b.window(now, service), p, n)
}

func (b *Budget) allows(now clock.Time, w *window, p Priority, n int) bool {
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := b.cfg.Ratio * float64(requests)
	if now >= b.fixedFrom {
		allowed += b.cfg.Extra / float64(b.members)
	}
	allowed *= safetyFactor
	switch p {
	case NotBegun:
		allowed *= notBegunShare
	case Optional:
		allowed *= optionalShare
	}
	return float64(retries+n) <= allowed
}

// window returns a service's window after advancing it to now.
func (b *Budget) window(now clock.Time, service string) *window {
	if !b.knowsFixedFrom {
		b.fixedFrom, b.knowsFixedFrom = now.Add(max(b.cfg.Window, minWindow)), true
	}
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	current := int64(now) / int64(max(b.cfg.Window, minWindow)/slotsPerWindow)
	for i := max(w.newest+1, current-slotsPerWindow); i <= current; i++ {
		w.requests[i%(slotsPerWindow+1)], w.retries[i%(slotsPerWindow+1)] = 0, 0
	}
	w.newest = max(w.newest, current)
	return w
}
