package gateway

import (
	"context"
	"sync"
	"time"

	"fescuestand/internal/stall"
)

// guard watches an exchange with an endpoint. If the endpoint is silent for too long, the guard has a
// replacement secured while the exchange stays open, as the endpoint may only be pausing: the exchange is
// left only once another endpoint has taken the request. What a replacement consists of is of type T.
//
// The goroutine of the call waits for the endpoint in await. In that time, and only then, the guard's own
// goroutine uses the execution to secure a replacement. If the endpoint goes on meanwhile, the replacement
// is canceled, unless it is further along, and await returns after it has ended. If the endpoint ends the
// exchange without use, await waits for the replacement.
type guard[T any] struct {
	x       *execution
	keepRun bool             // a replacement that an endpoint may run is never canceled
	replace func() (T, bool) // secures a replacement
	leave   func()           // ends the exchange
	timer   *stall.Timer

	mu      sync.Mutex
	waiting bool // the execution waits for the exchange
	expired bool // the timer has expired without being restarted; the next wait restarts it
	pending *replacement[T]
}

// replacement is an attempt to have another endpoint take a request.
type replacement[T any] struct {
	cancel     context.CancelFunc
	done       chan struct{}
	runsBefore int32 // runsSent of the execution when it began
	next       T
	taken      bool // another endpoint has taken the request
}

// replaceInterval is the time after a failed attempt to secure a replacement until the next one.
const replaceInterval = 300 * time.Millisecond

// newGuard returns a running guard that allows the endpoint to be silent for the given time at first.
func newGuard[T any](x *execution, allowed time.Duration, replace func() (T, bool), leave func()) *guard[T] {
	g := &guard[T]{x: x, replace: replace, leave: leave}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = stall.AfterFunc(allowed, g.expire)
	return g
}

// await runs op, which waits for the endpoint and reports whether it goes on. It returns the replacement
// that has taken the request, if there is one; what op has received is then void.
func (g *guard[T]) await(op func() (goesOn bool)) (next T, taken bool) {
	g.beginWait()
	goesOn := op()
	r := g.endWait()
	if r == nil {
		return next, false
	}
	mayRun := g.x.runsSent.Load() > r.runsBefore
	if goesOn && (!g.keepRun || !mayRun) {
		r.cancel()
	}
	<-r.done
	return r.next, r.taken
}

func (g *guard[T]) beginWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = true
	if g.expired {
		g.expired = false
		g.timer.Reset(replaceInterval)
	}
}

// endWait returns the pending replacement.
func (g *guard[T]) endWait() *replacement[T] {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = false
	r := g.pending
	g.pending = nil
	g.expired = g.expired || r != nil
	return r
}

// expire handles the end of the time for which the endpoint may be silent.
func (g *guard[T]) expire() {
	r, end := g.beginReplacement()
	if r == nil {
		return
	}
	defer close(r.done)
	g.secure(r)
	end()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case r.taken && g.waiting:
		g.leave()
	case g.pending == r && !r.taken:
		g.pending = nil
		g.timer.Reset(replaceInterval)
	}
}

// secure secures a replacement. A fault meanwhile leaves the exchange as it is.
func (g *guard[T]) secure(r *replacement[T]) {
	defer g.x.containFault()
	r.next, r.taken = g.replace()
}

// beginReplacement returns a new replacement and a function that ends it, until which the execution's
// context is that of the replacement. It returns nil if the execution doesn't wait for the exchange, or if
// a replacement is pending: a timer that expired before it was reset may begin one as well.
func (g *guard[T]) beginReplacement() (r *replacement[T], end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.waiting {
		g.expired = true
		return nil, nil
	}
	if g.pending != nil {
		return nil, nil
	}
	outer := g.x.ctx
	ctx, cancel := context.WithCancel(outer)
	r = &replacement[T]{cancel: cancel, done: make(chan struct{}), runsBefore: g.x.runsSent.Load()}
	g.pending = r
	g.x.ctx = ctx
	return r, func() {
		cancel()
		g.x.ctx = outer
	}
}

// reset allows the endpoint to be silent for the given time from now on.
func (g *guard[T]) reset(allowed time.Duration) {
	g.mu.Lock()
	g.expired = false
	g.mu.Unlock()
	g.timer.Reset(allowed)
}

func (g *guard[T]) stop() { g.timer.Stop() }
