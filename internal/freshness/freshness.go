// Package freshness bounds the age of what a VM knows of the configuration.
//
// A VM knows a moment up to which each published version is in force at it. A read
// of the store raises that moment to the one at which the read was sent, and an
// answer of another VM to the moment of the question, less the age that the answer
// states. Both moments are the VM's own, taken before the question left, on a clock
// that counts suspension: neither a delayed or repeated message nor a suspended
// process can make knowledge look newer than it is.
package freshness

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// Limits say how old the knowledge may be by which keys are judged.
type Limits struct {
	// MaxAcceptAge is the greatest age by which a key is accepted, zero for any.
	MaxAcceptAge time.Duration
	// MaxDenyAge is the greatest age by which a key is called unknown, zero for any.
	MaxDenyAge time.Duration
}

// Tracker keeps the age of one VM's knowledge. It is safe for concurrent use.
type Tracker struct {
	clock  clock.Clock
	limits Limits

	mu      sync.Mutex
	version uint64     // in force
	known   clock.Time // versions published before it are in force, zero if unknown
	pending claim      // the newest one that needs a newer version
	blocked bool       // the newest version isn't understood
	stale   bool       // the last judgement found the knowledge too old
}

// claim says that version is the newest one published before at.
type claim struct {
	at      clock.Time
	version uint64
}

// New returns a tracker that knows nothing.
func New(c clock.Clock, l Limits) *Tracker { return &Tracker{clock: c, limits: l} }

// RecordRead notes that the store was read to its end by a call that was sent at sentAt.
func (t *Tracker) RecordRead(sentAt clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.blocked {
		t.raise(sentAt)
	}
}

// MergeAnswer takes the answer of another VM to a question of askedAt: up to age before
// the answer it knew all versions, of which version was the newest.
func (t *Tracker) MergeAnswer(askedAt clock.Time, age time.Duration, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if askedAt > t.clock.Now() || age < 0 {
		return
	}
	at := askedAt.Add(-age)
	switch {
	case version <= t.version:
		t.raise(at)
	case at > t.pending.at:
		t.pending = claim{at, version}
	}
}

// RecordInForce notes that a version is in force from now on.
func (t *Tracker) RecordInForce(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, version)
	t.blocked = false
	if t.pending.version <= t.version {
		t.raise(t.pending.at)
	}
}

// RecordUnreadable notes that the newest version can't be understood: keys that it takes away
// are still in force here.
func (t *Tracker) RecordUnreadable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = true
}

func (t *Tracker) raise(at clock.Time) { t.known = max(t.known, at) }

// Age returns the age of the knowledge and the version in force. It is not ok if
// nothing is known.
func (t *Tracker) Age() (age time.Duration, version uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now().Sub(t.known), t.version, t.known != 0
}

// Verdict on the knowledge by which a key is judged.
type Verdict uint8

// The verdicts.
const (
	Stale  Verdict = iota // neither can be said
	AcceptOnly                // a key that is known is valid
	AcceptOrDeny                 // and one that isn't known is invalid
)

// Verdict returns what the knowledge as it is now can say of keys.
func (t *Tracker) Verdict() Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := t.clock.Now().Sub(t.known)
	v := AcceptOrDeny
	switch {
	case t.limits.MaxAcceptAge > 0 && (t.known == 0 || age > t.limits.MaxAcceptAge):
		v = Stale
	case t.limits.MaxDenyAge > 0 && (t.known == 0 || age > t.limits.MaxDenyAge):
		v = AcceptOnly
	}
	t.note(v == Stale, age)
	return v
}

// note logs the loss and the return of knowledge that is fresh enough, once each.
func (t *Tracker) note(stale bool, age time.Duration) {
	if stale == t.stale {
		return
	}
	t.stale = stale
	e := log.WithField("version", t.version).WithField("age_ms", age.Milliseconds())
	if stale {
		e.Warn("keys can't be judged")
		return
	}
	e.Info("keys are judged again")
}
