// Package authority decides whether this process may send orders to engines. At most one process
// may at a time, even where engines don't check fencing tokens.
//
// The platform's group assigns leadership, in the form of a partition, to one member, with a
// generation that grows at each change. Neither the start nor the end of a term is visible at once:
// a leader detects the loss with its next renewal, or never if it is frozen or cut off. A leader
// therefore acts only for leaseDuration after it sent its last confirmed renewal, measured on a
// boot-time clock, which counts suspension. A new leader waits until the previous one must have
// stopped and everything that it sent has arrived.
//
// The platform's store keeps a record of the VM that acted last; a leader writes it before it first
// acts. A leader that finds its own VM there, at a time when no other VM can write the record any
// more, was the last to act and needn't wait. So a VM that was restarted, or cut off from the
// store for a while, resumes without the takeover wait.
//
// A restore of the store undoes changes of the group and of the record, and begins a new era. A
// record that was written in an earlier era doesn't show who acted last, since a later one may have
// been undone, and a generation may have been given to another VM before.
package authority

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

const (
	// leaseDuration is how long a confirmed renewal permits its sender to act. Renewals are sent
	// every 1.5 s and take 0.7 s at most.
	leaseDuration = 2200 * time.Millisecond
	// maxOrderFlight is how long an order may be in flight after it was permitted.
	maxOrderFlight = time.Second
	// firstStartWait is the takeover wait while a deployment starts for the first time. It is
	// longer than leaseDuration, so that a VM to which the group assigned leadership before its
	// peers had joined has stopped.
	firstStartWait = 2500 * time.Millisecond
	// firstStartWindow is how long after its start a process that started with the whole deployment
	// uses firstStartWait: VMs start within 0.3 s of each other and the group assigns leadership
	// after two renewals at most. A term that begins later may follow one whose leader has sent
	// orders.
	firstStartWindow = 4 * time.Second
)

// Step is what a leader has to do with the record before it may act.
type Step uint8

// The steps, in their order.
const (
	NoStep      Step = iota
	ReadRecord       // read which VM acted last
	WriteRecord      // record this VM as the last to act
)

// Term identifies one continuous period of leadership, so that the result of a step in an earlier
// one is ignored.
type Term uint64

// Authority tracks the leadership of one process. It is safe for concurrent use.
type Authority struct {
	minLeaderGap    time.Duration // minimum time between actions of two leaders
	firstStartUntil clock.Time    // terms that begin before it have no predecessor

	mu           sync.Mutex
	leading      bool
	leadingSince clock.Time
	renewedAt    clock.Time // when the last confirmed renewal was sent
	era          era.Era    // of that renewal
	generation   int64
	term         Term
	recordRead   bool // the record has been read in this term
	recordIsOwn  bool // the record names this VM
}

// New returns the authority of a process that starts now and isn't the leader. minLeaderGap is the
// minimum time between actions of two different leaders; first means that the whole deployment
// starts for the first time, so that nobody can have sent orders before.
func New(minLeaderGap time.Duration, first bool, now clock.Time) *Authority {
	a := &Authority{minLeaderGap: minLeaderGap}
	if first {
		a.firstStartUntil = now.Add(firstStartWindow)
	}
	return a
}

// takeoverWait returns how long a term that began at since must last before its leader may act as
// the successor of another VM.
func (a *Authority) takeoverWait(since clock.Time) time.Duration {
	if since < a.firstStartUntil {
		return firstStartWait
	}
	return leaseDuration + maxOrderFlight + a.minLeaderGap
}

// RecordRenewal records the result of a renewal that was sent at sentAt and answered in an era. An
// answer of an earlier era than the last one is ignored.
func (a *Authority) RecordRenewal(sentAt clock.Time, leading bool, e era.Era, generation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e < a.era {
		return
	}
	lapsed := sentAt.Sub(a.renewedAt) > leaseDuration
	if leading && (!a.leading || lapsed) {
		a.leadingSince, a.recordRead, a.recordIsOwn = sentAt, false, false
		a.term++
		log.WithField("generation", generation).WithField("era", uint64(e)).WithField("settles_ms", a.takeoverWait(sentAt).Milliseconds()).Info("leadership granted")
	}
	if a.leading && !leading {
		log.WithField("generation", generation).WithField("era", uint64(e)).Info("leadership lost")
	}
	a.leading, a.renewedAt, a.era, a.generation = leading, sentAt, e, generation
}

// generationBits is the number of bits of a fencing token that hold the generation. Tokens stay below
// 2^53, so that each JSON implementation reads them exactly, up to era 2^21.
const generationBits = 32

// fencingToken returns a token that grows with each change of the assignments, also when a restore of
// the store has made generations start again from a lower one. In the first era, and without eras, it
// is the generation itself, as in earlier versions.
func fencingToken(e era.Era, generation int64) int64 {
	if e == era.None {
		return generation
	}
	return int64(e-era.First)<<generationBits + generation
}

// NextStep returns what to do with the record. An earlier leader may write it until leaseDuration
// after this one became leader; only then does it show reliably who acted last.
func (a *Authority) NextStep(now clock.Time) (Step, Term) {
	a.mu.Lock()
	defer a.mu.Unlock()
	leadingFor := now.Sub(a.leadingSince)
	switch {
	case !a.leading || a.recordIsOwn || now.Sub(a.renewedAt) >= leaseDuration:
	case !a.recordRead && leadingFor >= leaseDuration:
		return ReadRecord, a.term
	case a.recordRead && leadingFor >= a.takeoverWait(a.leadingSince):
		return WriteRecord, a.term
	}
	return NoStep, a.term
}

// RecordStepResult records the result of a step in the given term: own means that the record names
// this VM; with ok unset the step failed and the record is read again.
func (a *Authority) RecordStepResult(term Term, own, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if term != a.term {
		return
	}
	a.recordRead = ok
	a.recordIsOwn = ok && own
}

// MayAct returns the fencing token to act with, and whether the process may act.
func (a *Authority) MayAct(now clock.Time) (fence int64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok = a.leading && a.recordIsOwn && now.Sub(a.renewedAt) < leaseDuration
	return fencingToken(a.era, a.generation), ok
}
