// Package authority decides whether this process may give orders to engines. At
// most one process may at a time, also where engines don't check fencing tokens.
//
// The platform's group deals a partition, which stands for the duty, to one
// member, with a generation that grows at each change. Neither end of a holding
// is known at once: a holder learns of its loss with its next renewal, or never
// if it is frozen or cut off. So a holder acts only for a while after the
// sending of its last confirmed renewal, by a clock that counts suspension, and
// a new one waits until the last holder must have stopped and all that it sent
// has arrived.
//
// The platform's store keeps a record of the VM that acted last: a holder writes it
// before it acts for the first time. A holder that finds itself there, once nobody
// else can write it any more, was the last to act and needs to wait for nobody: a VM
// that was restarted, or cut off from the store for a while, goes on where it was.
package authority

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

const (
	// hold is how long a confirmed renewal lets its sender act. Renewals come
	// each 1.5 s and take 0.7 s at most.
	hold = 2200 * time.Millisecond
	// inFlight is how long an order may be under way after it was permitted.
	inFlight = time.Second
	// firstSettle is the wait of a holder in a deployment that starts for the
	// first time: longer than hold, so that a VM which the group dealt the duty
	// while its peers were still joining has stopped.
	firstSettle = 2500 * time.Millisecond
	// startSpan is how long after its start a process that started with the
	// whole deployment takes firstSettle for enough: VMs start within 0.3 s and
	// the group has dealt the duty after two renewals at most. A holding that
	// begins later follows one whose holder may have given orders.
	startSpan = 4 * time.Second
)

// Step is what a holder has to do at the record before it may act.
type Step uint8

// The steps.
const (
	NoStep Step = iota
	ReadRecord         // see who acted last
	WriteRecord        // put this VM there
)

// Term tells a step's outcome from that of an earlier holding.
type Term uint64

// Authority is one process's. It is safe for concurrent use.
type Authority struct {
	turn       time.Duration // within which two holders must not take turns
	firstUntil clock.Time    // holdings that begin before it have no predecessor

	mu         sync.Mutex
	owned      bool
	since      clock.Time
	renewed    clock.Time // when the last confirmed renewal was sent
	generation int64
	holding    Term
	read       bool // the record has been read in this holding
	recorded   bool // it names this VM
}

// New returns an authority that isn't held, of a process that starts now. turn is
// the time within which two holders must not take turns; first tells that the
// whole deployment starts for the first time, so that nobody can have given
// orders before.
func New(turn time.Duration, first bool, now clock.Time) *Authority {
	a := &Authority{turn: turn}
	if first {
		a.firstUntil = now.Add(startSpan)
	}
	return a
}

// settle is how long a holding that began at since must last before its holder
// may act as the successor of another VM.
func (a *Authority) settle(since clock.Time) time.Duration {
	if since < a.firstUntil {
		return firstSettle
	}
	return hold + inFlight + a.turn
}

// RecordRenewal takes the outcome of a renewal that was sent at sentAt.
func (a *Authority) RecordRenewal(sentAt clock.Time, owned bool, generation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lapsed := sentAt.Sub(a.renewed) > hold
	if owned && (!a.owned || lapsed) {
		a.since, a.read, a.recorded = sentAt, false, false
		a.holding++
		log.WithField("generation", generation).WithField("settles_ms", a.settle(sentAt).Milliseconds()).Info("duty dealt")
	}
	if a.owned && !owned {
		log.WithField("generation", generation).Info("duty lost")
	}
	a.owned, a.renewed, a.generation = owned, sentAt, generation
}

// NextStep returns what has to be done at the record. An earlier holder may write it
// until hold after this one was dealt the duty; only then does it say who acted
// last.
func (a *Authority) NextStep(now clock.Time) (Step, Term) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held := now.Sub(a.since)
	switch {
	case !a.owned || a.recorded || now.Sub(a.renewed) >= hold:
	case !a.read && held >= hold:
		return ReadRecord, a.holding
	case a.read && held >= a.settle(a.since):
		return WriteRecord, a.holding
	}
	return NoStep, a.holding
}

// RecordStepResult takes a step's outcome: whether the record names this VM, or, with ok unset,
// that the step failed and begins anew with a reading.
func (a *Authority) RecordStepResult(h Term, own, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h != a.holding {
		return
	}
	a.read = ok
	a.recorded = ok && own
}

// MayAct returns the fencing token to act with, and whether the process may act.
func (a *Authority) MayAct(now clock.Time) (fence int64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok = a.owned && a.recorded && now.Sub(a.renewed) < hold
	return a.generation, ok
}
