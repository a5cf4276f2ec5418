// Package reachability detects that this VM is cut off from all endpoints: it observes the exchanges with
// endpoints and tests some of them when package reach asks for it.
package reachability

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/reach"
	"fescuestand/internal/stall"
)

const (
	// checkInterval is the time between two checks while exchanges are in progress.
	checkInterval = 100 * time.Millisecond
	// testTimeout bounds a test. Round trips within a region take less than 10 ms.
	testTimeout = 250 * time.Millisecond
	// maxTests is the number of endpoints that a round tests if the first one isn't reached.
	maxTests = 4
)

// Unit is a kernel unit that keeps a reach.Tracker up to date. It implements exchange.Observer.
type Unit struct {
	Clock   clock.Clock
	Catalog *catalog.Store
	// Test returns nil if an endpoint was reached over a new connection. Engines must answer on it.
	Test func(ctx context.Context, e *catalog.Endpoint) error
	// OnChange is called when this VM has been cut off from all endpoints, or no longer is.
	OnChange func(cutOff bool)

	tracker *reach.Tracker
	wake    chan struct{}
	known   bool // the state that OnChange was last called with

	mu      sync.Mutex
	pending []func(reached bool) // waiting for the next round
}

var _ exchange.Observer = (*Unit)(nil)

// New returns a unit whose exported fields are to be set.
func New() *Unit { return &Unit{tracker: reach.New(), wake: make(chan struct{}, 1)} }

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "reachability" }

// CutOff reports whether this VM is cut off from all endpoints.
func (u *Unit) CutOff() bool { return u.tracker.CutOff() }

// Dialed implements exchange.Observer.
func (u *Unit) Dialed(addr string, ok bool) {
	u.tracker.Dialed(addr, ok)
	if !ok {
		u.wakeUp()
	}
}

// Begin implements exchange.Observer.
func (u *Unit) Begin(addr string) {
	if u.tracker.Begin(u.Clock.Now(), addr) {
		u.wakeUp()
	}
}

// End implements exchange.Observer.
func (u *Unit) End(addr string, lost bool) {
	u.tracker.End(addr, lost)
	if lost {
		u.wakeUp()
	}
}

// Received implements exchange.Observer.
func (u *Unit) Received() { u.tracker.Received(u.Clock.Now()) }

// Verify calls f after the next round of tests. reached is false if the round has shown that no endpoint
// can be reached, so that a connection may have been lost by a partition of this VM.
func (u *Unit) Verify(f func(reached bool)) {
	u.mu.Lock()
	u.pending = append(u.pending, f)
	u.mu.Unlock()
	u.wakeUp()
}

func (u *Unit) takePending() []func(bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := u.pending
	u.pending = nil
	return out
}

func (u *Unit) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	for {
		if !u.await(ctx) {
			return ctx.Err()
		}
		pending := u.takePending()
		if u.tracker.Check(u.Clock.Now()) || len(pending) > 0 {
			u.runRound(ctx)
		}
		for _, f := range pending {
			f(!u.tracker.CutOff())
		}
		u.report()
	}
}

// await waits until the next check is due. It returns false when ctx has ended.
func (u *Unit) await(ctx context.Context) bool {
	var tick <-chan time.Time // none if only an event can make a check due
	if !u.tracker.Idle() {
		t := time.NewTimer(checkInterval)
		defer t.Stop()
		tick = t.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-u.wake:
	case <-tick:
	}
	return true
}

// report calls OnChange if the state has changed.
func (u *Unit) report() {
	cutOff := u.tracker.CutOff()
	if cutOff == u.known {
		return
	}
	u.known = cutOff
	if cutOff {
		log.Warn("no endpoint can be reached")
	} else {
		log.Info("endpoints can be reached again")
	}
	u.OnChange(cutOff)
}

// runRound tests one endpoint, and several others if it isn't reached.
func (u *Unit) runRound(ctx context.Context) {
	u.tracker.BeginRound(u.Clock.Now())
	list := sample(testable(u.Catalog.View().All()), maxTests)
	if len(list) == 0 {
		return
	}
	var r reach.Round
	u.test(ctx, list[:1], &r)
	if r.Reached == 0 {
		u.test(ctx, list[1:], &r)
	}
	if ctx.Err() == nil {
		u.tracker.EndRound(u.Clock.Now(), r)
	}
}

// test tests endpoints at the same time and adds the results to r.
func (u *Unit) test(ctx context.Context, list []*catalog.Endpoint, r *reach.Round) {
	ctx, cancel := stall.WithTimeout(ctx, testTimeout)
	defer cancel()
	errs := make([]error, len(list))
	var group errgroup.Group
	for i, e := range list {
		group.Go(func() error {
			errs[i] = u.Test(ctx, e)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	for _, err := range errs {
		r.Tested++
		switch {
		case err == nil:
			r.Reached++
		case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
			r.TimedOut++
		}
	}
}

// testable returns the engines if there are several, else all endpoints. An engine answers a test, while
// a plain endpoint shows only that something has accepted the connection.
func testable(all []*catalog.Endpoint) []*catalog.Endpoint {
	var engines []*catalog.Endpoint
	for _, e := range all {
		if e.Stage != catalog.Whole {
			engines = append(engines, e)
		}
	}
	if len(engines) < 2 {
		return all
	}
	return engines
}

// sample returns up to n endpoints in random order, of different services and zones as far as possible:
// endpoints that are alike fail together.
func sample(all []*catalog.Endpoint, n int) []*catalog.Endpoint {
	type group struct{ service, zone string }
	var first, rest []*catalog.Endpoint
	seen := map[group]bool{}
	for _, i := range rand.Perm(len(all)) {
		e := all[i]
		g := group{e.Service, e.Zone}
		if seen[g] {
			rest = append(rest, e)
			continue
		}
		seen[g] = true
		first = append(first, e)
	}
	out := append(first, rest...)
	return out[:min(n, len(out))]
}
