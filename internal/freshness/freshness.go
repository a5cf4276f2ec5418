// Package freshness bounds the age of the configuration that a VM serves by.
//
// A tracker records the latest moment up to which each published version is in force at its VM. A
// read of the store advances that moment to the one at which the read was sent. An answer of
// another VM advances it to the moment at which the query was sent, less the age that the answer
// states.
//
// Both moments are read on the VM's own boot-time clock, which counts suspension, before the call
// or the query leaves. So neither a delayed or duplicated message nor a suspended process can make
// the configuration look newer than it is.
package freshness

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// Limits are the maximum ages of the configuration for validating keys by it.
type Limits struct {
	// MaxAcceptAge is the maximum age at which a key is accepted, zero for any.
	MaxAcceptAge time.Duration
	// MaxDenyAge is the maximum age at which a key is rejected as unknown, zero for any.
	MaxDenyAge time.Duration
}

// Tracker tracks the age of one VM's configuration. It is safe for concurrent use.
type Tracker struct {
	clock  clock.Clock
	limits Limits

	mu          sync.Mutex
	version     uint64       // in force
	confirmedAt clock.Time   // versions published before it are in force, zero if unknown
	pending     confirmation // the newest one that needs a newer version
	unreadable  bool         // the newest version can't be parsed
	stale       bool         // the last verdict was Stale
}

// confirmation says that version is the newest one published before at.
type confirmation struct {
	at      clock.Time
	version uint64
}

// New returns a tracker without any confirmed configuration.
func New(c clock.Clock, l Limits) *Tracker { return &Tracker{clock: c, limits: l} }

// RecordRead records that a call sent at sentAt read all versions in the store.
func (t *Tracker) RecordRead(sentAt clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreadable {
		t.advance(sentAt)
	}
}

// MergeAnswer merges the answer of another VM to a query sent at askedAt. The answer says that age
// before it was sent that VM had all published versions, of which version was the newest. The
// answer takes effect once version is in force here.
func (t *Tracker) MergeAnswer(askedAt clock.Time, age time.Duration, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if askedAt > t.clock.Now() || age < 0 {
		return
	}
	at := askedAt.Add(-age)
	switch {
	case version <= t.version:
		t.advance(at)
	case at > t.pending.at:
		t.pending = confirmation{at, version}
	}
}

// RecordInForce records that a version is in force from now on. isNewest is unset if one that can't be parsed was
// published after it.
func (t *Tracker) RecordInForce(version uint64, isNewest bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, version)
	t.unreadable = !isNewest
	if t.pending.version <= t.version {
		t.advance(t.pending.at)
	}
}

// RecordUnreadable records that the newest version can't be parsed. Reads of the store don't count
// until another version is in force, since keys that the unreadable version revokes still work
// here.
func (t *Tracker) RecordUnreadable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreadable = true
}

func (t *Tracker) advance(at clock.Time) { t.confirmedAt = max(t.confirmedAt, at) }

// Age returns the age of the configuration and the version in force. ok is false if no read or
// answer has confirmed a version yet.
func (t *Tracker) Age() (age time.Duration, version uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now().Sub(t.confirmedAt), t.version, t.confirmedAt != 0
}

// Verdict says how far keys can be validated by the configuration in force.
type Verdict uint8

// The verdicts.
const (
	Stale        Verdict = iota // no key can be validated
	AcceptOnly                  // a known key is valid, an unknown one can't be rejected
	AcceptOrDeny                // a known key is valid, an unknown one is invalid
)

// Verdict returns how far keys can be validated now.
func (t *Tracker) Verdict() Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := t.clock.Now().Sub(t.confirmedAt)
	v := AcceptOrDeny
	switch {
	case t.limits.MaxAcceptAge > 0 && (t.confirmedAt == 0 || age > t.limits.MaxAcceptAge):
		v = Stale
	case t.limits.MaxDenyAge > 0 && (t.confirmedAt == 0 || age > t.limits.MaxDenyAge):
		v = AcceptOnly
	}
	t.logTransition(v == Stale, age)
	return v
}

// logTransition logs when the configuration becomes too old and when it is fresh enough again, once
// each.
func (t *Tracker) logTransition(stale bool, age time.Duration) {
	if stale == t.stale {
		return
	}
	t.stale = stale
	e := log.WithField("version", t.version).WithField("age_ms", age.Milliseconds())
	if stale {
		e.Warn("key validation unavailable")
		return
	}
	e.Info("key validation restored")
}
