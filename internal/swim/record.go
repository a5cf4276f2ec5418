// Package swim maintains each VM's list of all VMs: which exist, which are alive and what each
// announces about itself. It is a state machine without sockets or clocks.
//
// The protocol is SWIM. Each VM probes one other VM at a time, in a shuffled order of all. If a VM
// doesn't answer, other VMs probe it before it is declared failed. Changed records are piggybacked
// on probes and their answers a bounded number of times, so that the messages a VM sends and
// handles don't grow with the number of VMs, apart from the updates about changes.
//
// It differs from plain SWIM in three points:
//   - Urgent changes are pushed at once to a few VMs chosen at random.
//   - A VM that receives no datagrams from other VMs declares none of them failed.
//   - A VM that starts requests the full table from another one.
package swim

import (
	"time"

	"fescuestand/internal/clock"
)

// Node describes a VM for the lifetime of its process.
type Node struct {
	Incarnation string // identifies the process
	Zone        string
	Caller      string // address that is advertised to callers
	Peer        string // datagram address
	Capacity    uint32 // requests per second that the VM can handle, zero if unknown
}

// Record is what a VM announces about itself.
type Record struct {
	Node
	// Version grows with each change that the VM makes to its record; it is zero for a VM that was
	// listed and has announced nothing yet.
	Version uint64
	// Silent means that the VM was declared failed. The VM itself refutes this with a record of a
	// higher version.
	Silent       bool
	Ready        bool   // accepts callers
	Leaving      bool   // is draining
	TracksCaches bool   // tracks what engines have cached
	Leader       bool   // has leadership: it may order engines
	CutOff       bool   // reaches no endpoint
	Requests     uint32 // requests per second that it receives, zero if unknown
}

// supersedes reports whether r is newer than old.
func (r *Record) supersedes(old *Record) bool {
	if r.Version != old.Version {
		return r.Version > old.Version
	}
	return r.Silent && !old.Silent
}

// urgent reports whether others must be sent the replacement of old by r at once, because it
// changes where callers are directed.
func (r *Record) urgent(old *Record) bool {
	return r.Silent != old.Silent || r.Ready != old.Ready || r.Leaving != old.Leaving || r.Leader != old.Leader ||
		r.CutOff != old.CutOff || r.Incarnation != old.Incarnation
}

// Entry is this VM's view of another one.
type Entry struct {
	Record
	FirstSeenAt clock.Time // when it was first listed or announced
	ReceivedAt  clock.Time // of the last datagram received from it, zero if none

	listedAt    clock.Time // of the newest platform list that contains it
	silentSince clock.Time // since when it counts as unresponsive
	suspected   bool       // suspected by this VM alone and not announced
}

// Alive reports whether e is assumed to be alive.
func (e *Entry) Alive(now clock.Time) bool {
	switch {
	case e == nil:
		return false
	case e.ReceivedRecently(now):
		return true
	case e.Version == 0:
		return e.ReceivedAt == 0 && now.Sub(e.FirstSeenAt) < listedGrace
	}
	return !e.Silent && !e.suspected
}

// ReceivedRecently reports whether a datagram from e arrived within SilenceTimeout.
func (e *Entry) ReceivedRecently(now clock.Time) bool {
	return e.ReceivedAt != 0 && now.Sub(e.ReceivedAt) < SilenceTimeout
}

// LastReceived returns when the VM's last datagram arrived, zero if none has.
func (e *Entry) LastReceived() clock.Time {
	if e == nil {
		return 0
	}
	return e.ReceivedAt
}

// UnresponsiveFor reports whether e isn't assumed to be alive and more than d has passed since its
// last datagram, since it was declared failed, and since this VM first had it in its table.
func (e *Entry) UnresponsiveFor(now clock.Time, d time.Duration) bool {
	return !e.Alive(now) && now.Sub(max(e.ReceivedAt, e.silentSince, e.FirstSeenAt)) > d
}
