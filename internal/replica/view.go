// Package replica keeps one process's copy of what all share: the accepted
// sheet and the VMs. It follows the config stream, talks to peers, and
// publishes an immutable View that traffic reads without a lock.
//
// A sheet comes from the log or from a peer, whichever is first, so that a
// process whose log access is slow or cut still has it within seconds. Only
// sheets that some process has folded from the log are spread. The version in
// force never falls, whatever a read or a peer says.
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

// View is one state of the copy. It and all it points to are immutable.
type View struct {
	Ready    bool   // there is an accepted sheet
	Version  uint64 // of Sheet: the offset at which it was accepted
	Sheet    *sheet.Sheet
	Body     []byte
	Hash     uint64 // of Body
	Members  []membership.Member
	Leaving  bool // this process has been told to leave
	Log      logclient.Health
	Offset   uint64 // of the config stream, next to be read
	Verdicts []*wire.Verdict
}

// Member returns the named VM, nil if it isn't known.
func (v *View) Member(vm string) *membership.Member {
	for i := range v.Members {
		if v.Members[i].Name == vm {
			return &v.Members[i]
		}
	}
	return nil
}

// state is what the owner goroutine holds.
type state struct {
	ctx     context.Context
	r       *Replica
	fold    *fold.Config
	table   *membership.Table
	best    fold.AcceptedSheet // highest ever in force here
	hash    uint64
	behind  map[string]clock.Time // peer to when it was first seen to be ahead
	pulling bool
	ckpt    pacer
}

// event is one input of the owner goroutine.
type event interface{ apply(s *state) }

// snapshot is what View and Updated read together.
type snapshot struct {
	view    *View
	changed chan struct{} // closed when a newer snapshot is there
}
