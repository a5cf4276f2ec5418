// Package reach decides whether this VM is cut off from all endpoints.
//
// Load pattern: a VM loses its links to the endpoints, while callers, the store and the other VMs still
// reach it. Callers go on choosing it, and each of their requests waits for connections that can't be
// established, although other VMs could serve it.
//
// Approach: failures to connect, connections that are lost and silence raise a suspicion, which a round of
// tests of several endpoints confirms or refutes.
//
// A Tracker doesn't know why endpoints are out of reach: if all of them have crashed, every VM finds
// itself cut off. The caller therefore acts on it only while some VM isn't.
//
// The package does no I/O and reads no clock. A Tracker is safe for concurrent use.
package reach

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// silenceLimit is the time without a byte from any endpoint, while exchanges are in progress, after
	// which endpoints are tested. Engines send the events of a stream more often.
	silenceLimit = 300 * time.Millisecond
	// minFailed is the minimum number of endpoints of which none is reached: one that fails has
	// probably crashed.
	minFailed = 2
	// roundInterval is the minimum time between two rounds of tests.
	roundInterval = 200 * time.Millisecond
	// returnRounds is the number of successful rounds in a row after which a VM is no longer cut off.
	// It doubles, up to maxReturnRounds, if the VM was cut off within flapWindow before.
	returnRounds    = 2
	maxReturnRounds = 16
	flapWindow      = 10 * time.Second
	// stallThreshold is the time between two calls of Check from which this process is assumed to have
	// been stalled, so that its silence says nothing about endpoints.
	stallThreshold = 500 * time.Millisecond
)

// Tracker tracks whether endpoints can be reached.
type Tracker struct {
	mu          sync.Mutex
	exchanges   map[string]int      // in progress, by endpoint address
	quietSince  clock.Time          // last byte from any endpoint, or when the first exchange began
	failedDials map[string]struct{} // endpoints that couldn't be connected to since the last successful dial
	lost        map[string]struct{} // endpoints whose connections were lost since the last byte from any
	lastRound   clock.Time
	received    bool // a byte has arrived since the round in progress began
	lastCheck   clock.Time
	cutOff      bool
	goodRounds  int // successful rounds in a row while cut off
	needRounds  int // successful rounds in a row until the VM is no longer cut off
	endedAt     clock.Time
}

// New returns a tracker that assumes that endpoints can be reached.
func New() *Tracker {
	return &Tracker{exchanges: map[string]int{}, failedDials: map[string]struct{}{}, lost: map[string]struct{}{}}
}

// Begin records that an exchange with an endpoint begins. It returns true if no other one is in
// progress.
func (t *Tracker) Begin(now clock.Time, endpoint string) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first = len(t.exchanges) == 0; first {
		t.quietSince = now
	}
	t.exchanges[endpoint]++
	return first
}

// End records that an exchange ended. lost means that its connection was lost before any byte of the
// response had arrived.
func (t *Tracker) End(endpoint string, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exchanges[endpoint]--; t.exchanges[endpoint] <= 0 {
		delete(t.exchanges, endpoint)
	}
	if lost {
		t.lost[endpoint] = struct{}{}
	}
}

// Received records that a byte from an endpoint has arrived.
func (t *Tracker) Received(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quietSince, t.received = now, true
	clear(t.lost)
}

// Dialed records the result of a connection attempt for an exchange.
func (t *Tracker) Dialed(endpoint string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok {
		clear(t.failedDials)
		return
	}
	t.failedDials[endpoint] = struct{}{}
}

// Check reports whether a round of tests is due. It is called several times a second while
// exchanges are in progress or the VM is cut off.
func (t *Tracker) Check(now clock.Time) (roundDue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastCheck != 0 && now.Sub(t.lastCheck) > stallThreshold {
		t.quietSince = max(t.quietSince, now)
	}
	t.lastCheck = now
	if now.Sub(t.lastRound) < roundInterval {
		return false
	}
	return t.cutOff || len(t.failedDials) > 0 || len(t.lost) >= minFailed || t.silence(now) >= silenceLimit
}

// silence returns for how long exchanges have been in progress without a byte from any endpoint.
func (t *Tracker) silence(now clock.Time) time.Duration {
	if len(t.exchanges) == 0 {
		return 0
	}
	return now.Sub(t.quietSince)
}

// BeginRound records that a round of tests begins.
func (t *Tracker) BeginRound(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRound, t.received = now, false
}

// Round is the result of a round of tests of different endpoints.
type Round struct {
	Tested   int
	Reached  int
	TimedOut int // tests that ended without any answer, neither by the endpoint nor by its network
}

// isConclusive reports whether the round shows that no endpoint can be reached. While bytes arrive over
// older connections, time-outs show only that endpoints or this VM are slow.
func (r *Round) isConclusive(received bool) bool {
	return r.Reached == 0 && r.Tested >= minFailed && (!received || r.TimedOut == 0)
}

// EndRound records the result of a round.
func (t *Tracker) EndRound(now clock.Time, r Round) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRound, t.lastCheck = now, now
	switch {
	case r.isConclusive(t.received):
		t.goodRounds = 0
		if !t.cutOff {
			t.setCutOff(now)
		}
	case r.Reached == 0:
	case !t.cutOff:
		t.quietSince = now
		clear(t.failedDials)
		clear(t.lost)
	default:
		t.countGoodRound(now)
	}
}

// countGoodRound counts a successful round while the VM is cut off.
func (t *Tracker) countGoodRound(now clock.Time) {
	t.goodRounds++
	if t.goodRounds < t.needRounds {
		return
	}
	t.cutOff, t.endedAt, t.quietSince = false, now, now
	clear(t.failedDials)
	clear(t.lost)
}

func (t *Tracker) setCutOff(now clock.Time) {
	need := returnRounds
	if t.endedAt != 0 && now.Sub(t.endedAt) < flapWindow {
		need = min(2*t.needRounds, maxReturnRounds)
	}
	t.cutOff, t.goodRounds, t.needRounds = true, 0, need
}

// Idle reports whether no check is needed until an exchange begins or fails.
func (t *Tracker) Idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutOff && len(t.exchanges) == 0 && len(t.failedDials) == 0 && len(t.lost) < minFailed
}

// CutOff reports whether this VM is cut off from all endpoints.
func (t *Tracker) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}
