// Package repeat bounds the requests that a VM sends to a second endpoint, so
// that all VMs together keep one budget for each service.
//
// Load pattern: an endpoint that fails makes each of its requests come again.
// Without a bound the repeats of all VMs add up on the endpoints that are left,
// whose answers then fail too. The budget is a share of the requests of the
// last seconds plus a fixed number for the whole deployment. Each VM takes its
// own requests' share and an equal part of the fixed number. No message is
// needed for it, and the sum stays below the budget as long as no VM believes
// in fewer members than there are; one that doesn't know them yet takes the
// part of the largest deployment.
//
// A Budget is safe for concurrent use.
package repeat

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// slots divide the window; the bound holds for any span of its length, to
	// within one slot.
	slots = 20
	// safety is the part of the budget that is used: requests are counted
	// here when they arrive, elsewhere when they were sent.
	safety = 0.8
	// mostMembers is assumed while the members aren't known.
	mostMembers = 64
)

// minWindow keeps a window from having no length.
const minWindow = time.Second

// Config of a Budget.
type Config struct {
	Ratio  float64       // repeats per request
	Extra  float64       // repeats in a window beside those, of all VMs together
	Window time.Duration // the span in which both are counted
}

// Budget is one VM's part.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	members  int
	services map[string]*window
}

// window counts in slots of the window's length / slots.
type window struct {
	requests, repeats [slots + 1]int
	at                int64 // number of the newest slot
}

// New returns a budget for an unknown number of members.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, members: mostMembers, services: map[string]*window{}}
}

// SetConfig replaces the configuration. A window of another length starts
// empty, and until it is full gives what an empty one gives.
func (b *Budget) SetConfig(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// SetMembers tells how many VMs share the budget.
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
	w.requests[w.at%(slots+1)]++
}

// Take counts a repeat if the budget has room for it.
func (b *Budget) Take(now clock.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := safety * (b.cfg.Ratio*float64(requests) + b.cfg.Extra/float64(b.members))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.at%(slots+1)]++
	return true
}

// window returns a service's window, moved on to now.
func (b *Budget) window(now clock.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	at := int64(now) / int64(max(b.cfg.Window, minWindow)/slots)
	for i := max(w.at+1, at-slots); i <= at; i++ {
		w.requests[i%(slots+1)], w.repeats[i%(slots+1)] = 0, 0
	}
	w.at = max(w.at, at)
	return w
}
