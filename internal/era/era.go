// Package era tracks the eras of a store that may be restored from an older copy of itself.
//
// A restore undoes what the store has acknowledged since the copy was made, and begins a new era.
// Offsets, generations and the conditions of writes are given out again in the new era, so that two
// of them can be compared by their numbers only if they are of the same era.
package era

import (
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// Era numbers a period between two restores of the store. A later era has a higher number.
type Era uint64

// None is the era of a store that doesn't report any, and of a message that doesn't state one.
const None Era = 0

// First is the lowest era that a store reports.
const First Era = 1

// MaxFirst is the highest era that a store may report before its first restore: some stores number their eras from 0,
// others from 1.
const MaxFirst Era = 2

// RewriteTime is the time after a restore within which operators and endpoints write again what the
// store has lost of theirs.
const RewriteTime = 2 * time.Second

// Tracker tracks the newest era that this process knows of. It is safe for concurrent use.
type Tracker struct {
	clock     clock.Clock
	onRestore []func()

	mu      sync.Mutex
	current Era
	since   clock.Time // earliest time at which current is known to have begun already
}

// NewTracker returns a tracker that knows no era.
func NewTracker(c clock.Clock) *Tracker { return &Tracker{clock: c} }

// OnRestore has f called when a new era follows a known one. It must be called before the tracker is
// used.
func (t *Tracker) OnRestore(f func()) { t.onRestore = append(t.onRestore, f) }

// Observe records the era of an answer of the store; call names the call in the log.
func (t *Tracker) Observe(e Era, call string) {
	previous, isNew := t.merge(e, 0)
	if !isNew {
		return
	}
	log.WithField("era", uint64(e)).WithField("call", call).Info("store era observed")
	t.notify(previous)
}

// Merge records that another VM knows of an era and has done so for age.
func (t *Tracker) Merge(e Era, age time.Duration, vm string) {
	previous, isNew := t.merge(e, max(age, 0))
	if !isNew {
		return
	}
	log.WithField("era", uint64(e)).WithField("vm", vm).Info("store era received from VM")
	t.notify(previous)
}

// merge returns whether e is a new era, and the one before it.
func (t *Tracker) merge(e Era, age time.Duration) (previous Era, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.clock.Now().Add(-age)
	previous = t.current
	switch {
	case e == None:
	case e > t.current:
		t.current, t.since = e, since
		return previous, true
	case e == t.current:
		t.since = min(t.since, since)
	}
	return previous, false
}

// notify calls the functions of OnRestore, unless the process has only just learned its first era.
func (t *Tracker) notify(previous Era) {
	if previous == None {
		return
	}
	for _, f := range t.onRestore {
		f()
	}
}

// Current returns the newest era, or None.
func (t *Tracker) Current() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// SettledBy reports whether RewriteTime had passed at the time at since the newest era began, so that
// the store then had again what operators and endpoints had written before the restore.
func (t *Tracker) SettledBy(at clock.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current == None || at.Sub(t.since) >= RewriteTime
}

// Since returns the newest era and the earliest time at which it is known to have begun already. Both
// are zero if no era is known.
func (t *Tracker) Since() (Era, clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, t.since
}
