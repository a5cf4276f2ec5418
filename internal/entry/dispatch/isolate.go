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
	// A suspect is cleared once an attempt has run longer than the one that ended in a crash: for
	// clearFactor times that duration plus clearMargin.
	clearFactor = 1.5
	clearMargin = 50 * time.Millisecond
	// stateTimeout bounds the state request that checks whether an engine has crashed.
	stateTimeout = 500 * time.Millisecond
	// crashRecheckDelay is the wait before the second check of a crashing engine, which may still
	// answer the first: it cuts its streams a moment before it closes its last listener.
	crashRecheckDelay = 60 * time.Millisecond
	// maxStateChecks bounds the checks whose findings change each time.
	maxStateChecks = 5
	// evidenceWait is how long a request waits after a crash for the crash evidence of the other
	// entries: two round trips between availability zones and the time in which they detect the
	// crash. Without this evidence a request with partial output would be suspected whenever the
	// request that caused the crash came through another entry.
	evidenceWait = 100 * time.Millisecond
)

// reserveForSuspect chooses and reserves an engine for the suspect with fingerprint fp. It returns
// nil if every engine is reserved for another suspect, because a crash while two suspects run there
// would also be evidence against the one that didn't cause it. All entries rank the engines for a
// request in the same order, so that copies of the request in several entries run on one engine and
// crash no other.
func (d *Dispatcher) reserveForSuspect(fp uint64, pool string, exclude []*route.Endpoint) *route.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *route.Endpoint
	var bestRank uint64
	for _, e := range d.router.Table().Endpoints() {
		if e.Pool != pool || e.State != route.Open || e.Role == route.Prefill || containsName(exclude, e.Name) {
			continue
		}
		if suspectPrint, reserved := d.isolated[e.Name]; reserved && suspectPrint != fp {
			continue
		}
		if s := xxhash.Sum64String(e.Name) ^ fp; best == nil || mixBits(s) >= bestRank {
			best, bestRank = e, mixBits(s)
		}
	}
	if best != nil {
		d.isolated[best.Name] = fp
	}
	return best
}

// releaseIsolation ends the engine's reservation for the suspect with fingerprint fp.
func (d *Dispatcher) releaseIsolation(engine string, fp uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isolated[engine] == fp {
		delete(d.isolated, engine)
	}
}

// mixBits spreads the bits of x.
func mixBits(x uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x *= odd
	return x ^ x>>32
}

func containsName(list []*route.Endpoint, name string) bool {
	for _, e := range list {
		if e != nil && e.Name == name {
			return true
		}
	}
	return false
}

// endpointsExcept returns every endpoint of the pool except kept.
func (d *Dispatcher) endpointsExcept(pool string, kept *route.Endpoint) []*route.Endpoint {
	var out []*route.Endpoint
	for _, e := range d.router.Table().Endpoints() {
		if e.Pool == pool && e.Name != kept.Name {
			out = append(out, e)
		}
	}
	return out
}

// crashExposure is what crash evidence needs to know about one attempt.
type crashExposure struct {
	crash      suspect.Crash
	began      clock.Time
	verdict    suspect.Verdict
	progressed bool       // the attempt produced a token
	clearAt    clock.Time // a suspect that is still running at this time is cleared
}

// reportCrash checks whether the engine has crashed and, if so, adds evidence against the request
// and exchanges evidence with the other entries. It returns how long an attempt ran that ended in a
// crash. The caller excludes the engine from further attempts of this request.
func (s *session) reportCrash(
	ctx context.Context, e *fleet.Engine, exposure *crashExposure, err error,
) (crashedRun time.Duration) {
	if ctx.Err() != nil || !errors.Is(err, driver.ErrConnectionLost) || errors.Is(err, errStall) {
		return 0
	}
	if !s.hasCrashed(ctx, e, exposure.crash.Incarnation) {
		return 0 // only the connection broke
	}
	s.dispatcher.streams.crashes.Add(1)
	now := s.dispatcher.clk.Now()
	s.dispatcher.suspects.Add(now, suspect.Evidence{
		Crash: exposure.crash, Fingerprint: s.fingerprint, Strength: strengthOf(exposure),
	})
	s.dispatcher.exchangeEvidence(ctx, exposure.crash)
	return now.Sub(exposure.began)
}

// hasCrashed reports whether the engine has crashed: another process answers, no connection can be established, or two
// checks in a row get no answer. One that is going down may still answer the first check, and one that lives on may have
// its answer cut, so that two checks in a row must agree.
func (s *session) hasCrashed(ctx context.Context, e *fleet.Engine, incarnation string) bool {
	lost := false
	for try := range maxStateChecks {
		stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := e.State(stateCtx)
		cancel()
		switch {
		case ctx.Err() != nil:
			return false // the caller has left before the engine could answer
		case errors.Is(err, driver.ErrNotSent),
			err != nil && lost,
			err == nil && incarnation != "" && state.Incarnation != incarnation:
			e.Refresh()
			return true
		case err == nil && try > 0 && !lost:
			return false
		}
		lost = err != nil
		sleep(ctx, crashRecheckDelay)
	}
	return false
}

// exchangeEvidence exchanges evidence with the other entries. Requests affected by the same crash
// share one exchange.
func (d *Dispatcher) exchangeEvidence(ctx context.Context, c suspect.Crash) {
	deadline := time.Now().Add(evidenceWait)
	_, _, _ = d.exchanges.Do(c.Endpoint+"\x00"+c.Incarnation, func() (any, error) {
		d.shareEvidence(ctx)
		return nil, nil
	})
	sleep(ctx, time.Until(deadline))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// strengthOf returns the strength of the evidence that a crash during the attempt gives.
func strengthOf(exposure *crashExposure) suspect.Strength {
	switch {
	case exposure.verdict == suspect.Suspect:
		return suspect.Repeated
	case exposure.progressed:
		return suspect.Progressed
	}
	return suspect.Fresh
}

// clearSuspicion clears the request as a suspect once the attempt has run past clearAt.
func (s *session) clearSuspicion(exposure *crashExposure) {
	now := s.dispatcher.clk.Now()
	if exposure.verdict != suspect.Suspect || now < exposure.clearAt {
		return
	}
	s.dispatcher.suspects.Clear(now, s.fingerprint)
	s.dispatcher.releaseIsolation(exposure.crash.Endpoint, s.fingerprint)
	exposure.verdict = suspect.NotSuspected
}
