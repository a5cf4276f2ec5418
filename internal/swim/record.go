// Package swim keeps each VM's list of all VMs: who there is, who is alive and
// what each tells of itself. It is a state machine without sockets or clocks.
//
// The protocol is that of SWIM: each VM probes one other at a time, in a shuffled
// order of all; one that doesn't answer is probed by others before it counts as
// silent; what changes is carried by the probes and their answers, a bounded
// number of times. What a VM sends and handles doesn't grow with the number of
// VMs, but for the news of changes. Three things are added: what is urgent is
// passed on at once to a few VMs chosen at random; a VM that hears nobody accuses
// nobody; and a VM that starts asks another one for the whole list.
package swim

import (
	"time"

	"fescuestand/internal/clock"
)

// Node is what a VM is, for as long as its process runs.
type Node struct {
	Incarnation string // of its process
	Zone        string
	Caller      string // address for callers
	Peer        string // address for datagrams
	Capacity    uint32 // requests a second that the VM can take, zero if not known
}

// Record is what a VM tells of itself.
type Record struct {
	Node
	// Version grows with each change that the VM makes to its record; zero stands
	// for a VM that was listed and has told nothing yet.
	Version uint64
	// Silent tells that the VM doesn't answer. The VM itself refutes it by a
	// record with a higher version.
	Silent   bool
	Ready    bool   // it takes callers
	Leaving  bool   // it was told to stop
	TracksCaches bool   // it knows what engines have cached
	Leader     bool   // it has been dealt the duty of giving orders
	Requests uint32 // a second that it gets, zero if not known
}

// supersedes tells whether r is newer than old.
func (r *Record) supersedes(old *Record) bool {
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.Silent && !old.Silent
}

// urgent tells whether others must know at once that r has replaced old: callers
// are sent elsewhere by it.
func (r *Record) urgent(old *Record) bool {
	return r.Silent != old.Silent || r.Ready != old.Ready || r.Leaving != old.Leaving || r.Leader != old.Leader ||
		r.Incarnation != old.Incarnation
}

// Entry is a VM as this one sees it.
type Entry struct {
	Record
	FirstSeenAt clock.Time // when it was first listed or told of
	ReceivedAt clock.Time // of its last datagram to this VM, zero if none

	listedAt clock.Time // newest list of the platform that names it
	silentAt clock.Time // since when it counts as silent
	doubted  bool       // this VM alone believes it silent, and has told nobody
}

// Alive tells whether e is believed to live.
func (e *Entry) Alive(now clock.Time) bool {
	switch {
	case e == nil:
		return false
	case e.ReceivedRecently(now):
		return true
	case e.Version == 0:
		return e.ReceivedAt == 0 && now.Sub(e.FirstSeenAt) < unheard
	}
	return !e.Silent && !e.doubted
}

// ReceivedRecently tells whether e has sent a datagram to this VM lately.
func (e *Entry) ReceivedRecently(now clock.Time) bool {
	return e.ReceivedAt != 0 && now.Sub(e.ReceivedAt) < SilenceTimeout
}

// LastReceived is when the VM's last datagram came, zero if never.
func (e *Entry) LastReceived() clock.Time {
	if e == nil {
		return 0
	}
	return e.ReceivedAt
}

// UnresponsiveFor tells whether e has given no sign of life, directly or by others, for
// longer than d.
func (e *Entry) UnresponsiveFor(now clock.Time, d time.Duration) bool {
	return !e.Alive(now) && now.Sub(max(e.ReceivedAt, e.silentAt, e.FirstSeenAt)) > d
}
