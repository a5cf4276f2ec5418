// Package replica maintains one process's copy of the shared state: the accepted sheet and the list
// of VMs. It follows the config stream, exchanges gossip with peers, and publishes an immutable
// View that request handling reads without a lock.
//
// A sheet is taken from the log or from a peer, whichever has it first, so that a process with slow
// or no log access still gets it within seconds. Peers serve only sheets that some process has read
// from the log.
//
// Guarantee: the version in force never decreases, whatever a read or a peer returns.
package replica

import (
	"context"

	"fescuestand/internal/clock"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/membership"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// View is one state of the copy. It and everything that it points to are immutable.
type View struct {
	Ready    bool   // an accepted sheet is in force
	Version  uint64 // of Sheet: the offset at which it was accepted
	Sheet    *sheet.Sheet
	Body     []byte
	Hash     uint64 // of Body
	Members  []membership.Member
	Leaving  bool // this process is leaving
	Log      logclient.Health
	Offset   uint64 // of the config stream, to be read next
	Verdicts []*wire.Verdict
}

// Member returns the VM of that name, or nil if it isn't in the view.
func (v *View) Member(vm string) *membership.Member {
	for i := range v.Members {
		if v.Members[i].Name == vm {
			return &v.Members[i]
		}
	}
	return nil
}

// state is the state that the owner goroutine owns.
type state struct {
	ctx          context.Context
	r            *Replica
	fold         *fold.Config
	table        *membership.Table
	inForce      fold.AcceptedSheet // highest version that was ever in force here
	hash         uint64
	aheadSince   map[string]clock.Time // by peer: when its newer sheet was first observed
	pullInFlight bool
	ckpt         checkpointSchedule
}

// event is one input of the owner goroutine.
type event interface{ apply(s *state) }

// snapshot holds what View and Updated return, so that both are replaced together.
type snapshot struct {
	view    *View
	changed chan struct{} // closed when a newer snapshot is stored
}
