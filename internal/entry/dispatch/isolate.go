package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
)

const (
	// clearFactor and clearMargin say when a suspect has outlived its
	// suspicion: it has run for longer than the run that ended in a crash.
	clearFactor = 1.5
	clearMargin = 50 * time.Millisecond
	// stateWait bounds the question whether an engine has crashed.
	stateWait = 500 * time.Millisecond
	// dyingWait is how long a crashing engine may still answer: it cuts its
	// streams a moment before its last listener closes.
	dyingWait = 60 * time.Millisecond
	// settleWait is how long a request waits after a crash for what the other
	// entries know of it: two round trips between availability zones and the
	// time in which they notice. Judged alone, a half-written draft would look
	// guilty whenever the guilty request came through another entry.
	settleWait = 100 * time.Millisecond
)

// isolate picks the engine for a suspect, nil if each holds another one: a
// crash of both would convict an innocent. All entries rank the engines of one
// request alike, so that copies of it that several entries hold meet on one
// engine and cost no more.
func (d *Dispatcher) isolate(fp uint64, pool string, exclude []*route.Endpoint) *route.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *route.Endpoint
	var top uint64
	for _, e := range d.router.Table().Endpoints() {
		if e.Pool != pool || e.State != route.Open || e.Role == route.Prefill || contains(exclude, e.Name) {
			continue
		}
		if holder, taken := d.isolated[e.Name]; taken && holder != fp {
			continue
		}
		if s := xxhash.Sum64String(e.Name) ^ fp; best == nil || mixed(s) >= top {
			best, top = e, mixed(s)
		}
	}
	if best != nil {
		d.isolated[best.Name] = fp
	}
	return best
}

// free lets other suspects onto the engine again.
func (d *Dispatcher) free(engine string, fp uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isolated[engine] == fp {
		delete(d.isolated, engine)
	}
}

// mixed spreads the bits of x.
func mixed(x uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x *= odd
	return x ^ x>>32
}

func contains(list []*route.Endpoint, name string) bool {
	for _, e := range list {
		if e != nil && e.Name == name {
			return true
		}
	}
	return false
}

// others returns every endpoint of the pool but the given one.
func (d *Dispatcher) others(pool string, but *route.Endpoint) []*route.Endpoint {
	var out []*route.Endpoint
	for _, e := range d.router.Table().Endpoints() {
		if e.Pool == pool && e.Name != but.Name {
			out = append(out, e)
		}
	}
	return out
}

// run of one attempt, as far as a crash of its engine is concerned.
type exposure struct {
	crash    suspect.Crash
	began    clock.Time
	verdict  suspect.Verdict
	progress bool
	clearAt  clock.Time // a suspect is cleared then; zero if it isn't one
}

// blame finds out whether the engine has crashed and, if so, hands in the
// evidence. The engine isn't tried again by this request.
func (s *session) blame(ctx context.Context, e *fleet.Engine, x *exposure, err error) {
	if ctx.Err() != nil || !errors.Is(err, driver.ErrCut) || errors.Is(err, errStall) {
		return
	}
	if !s.hasCrashed(ctx, e, x.crash.Incarnation) {
		return // only the connection broke
	}
	s.d.streams.crashes.Add(1)
	now := s.d.clk.Now()
	s.ran = now.Sub(x.began)
	s.d.suspects.Add(now, suspect.Evidence{Crash: x.crash, Fingerprint: s.print, Strength: strength(x)})
	s.d.settle(ctx, x.crash)
}

// hasCrashed asks the engine twice: it may still be on its way down.
func (s *session) hasCrashed(ctx context.Context, e *fleet.Engine, life string) bool {
	for try := 0; ; try++ {
		stateCtx, cancel := context.WithTimeout(ctx, stateWait)
		state, err := e.State(stateCtx)
		cancel()
		if err != nil || life != "" && state.Incarnation != life {
			e.Refresh()
			return true
		}
		if try > 0 {
			return false
		}
		wait(ctx, dyingWait)
	}
}

// settle exchanges evidence with the other entries. Requests that lost the
// same engine share one exchange.
func (d *Dispatcher) settle(ctx context.Context, c suspect.Crash) {
	until := time.Now().Add(settleWait)
	_, _, _ = d.exchanges.Do(c.Endpoint+"\x00"+c.Incarnation, func() (any, error) {
		d.exchange(ctx)
		return nil, nil
	})
	wait(ctx, time.Until(until))
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func strength(x *exposure) suspect.Strength {
	switch {
	case x.verdict == suspect.Suspect:
		return suspect.Repeated
	case x.progress:
		return suspect.Progressed
	}
	return suspect.Fresh
}

// clear ends a suspicion that the attempt has outlived.
func (s *session) clear(x *exposure) {
	now := s.d.clk.Now()
	if x.verdict != suspect.Suspect || now < x.clearAt {
		return
	}
	s.d.suspects.Clear(now, s.print)
	s.d.free(x.crash.Endpoint, s.print)
	x.verdict = suspect.NotSuspected
}
