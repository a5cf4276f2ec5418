// Package membership decides which entry VMs take part, from the platform's VM list, which lags,
// and from the VMs' own heartbeats, which may be late, out of order or missing.
//
// With the list alone a leaving VM would stay in address answers for as long as the list lags, and
// a dead one forever. With heartbeats alone a VM behind a partition would be taken for one that has
// left. Each source is therefore used for what it is reliable for: the list for which VMs exist and
// where, a VM's heartbeats for whether it is leaving, and their absence for whether it can be used.
package membership

import (
	"maps"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
)

// State says which work a VM can take.
type State string

// The states of a VM.
const (
	Live    State = "live"    // takes new work
	Suspect State = "suspect" // no recent heartbeat, or none yet: no new work
	Leaving State = "leaving" // finishes its current work: no new work
	Gone    State = "gone"    // off the list, or without a heartbeat for long
)

// Heartbeat is what a VM announces about itself.
type Heartbeat struct {
	VM           string
	Incarnation  string // changes when its process restarts
	Leaving      bool
	Ready        bool
	SheetVersion uint64
}

// Member is the state of one VM.
type Member struct {
	driver.VM
	State        State
	Incarnation  string // newest one received, empty before the first heartbeat
	Ready        bool
	SheetVersion uint64
	Listed       bool // on the newest VM list
}

// Usable reports whether callers and new work may be sent to the member.
func (m *Member) Usable() bool { return m.State == Live && m.Ready && m.Listed }

// Options are the timeouts of a Table.
type Options struct {
	SuspectAfter time.Duration // time without a heartbeat after which a VM is suspect
	GoneAfter    time.Duration // time without a heartbeat after which a VM is gone
}

// Table holds the recorded state of the VMs. It isn't safe for concurrent use.
type Table struct {
	opt Options
	vms map[string]*entry
}

type entry struct {
	vm            driver.VM
	listed        bool
	unlistedSince clock.Time // when it left the list, or sent its first heartbeat without being listed
	received      bool
	receivedAt    clock.Time // of the newest heartbeat
	newest        Heartbeat
	retired       map[string]bool // earlier incarnations
}

// New returns an empty table.
func New(opt Options) *Table { return &Table{opt: opt, vms: map[string]*entry{}} }

// SetTimeouts changes the heartbeat timeouts; they grow with the number of VMs, to which heartbeats
// are sent round robin.
func (t *Table) SetTimeouts(suspect, gone time.Duration) {
	t.opt = Options{SuspectAfter: suspect, GoneAfter: gone}
}

func (t *Table) get(name string, now clock.Time) *entry {
	e := t.vms[name]
	if e == nil {
		e = &entry{vm: driver.VM{Name: name}, unlistedSince: now, retired: map[string]bool{}}
		t.vms[name] = e
	}
	return e
}

// MergeListed merges an answer of the VM list.
//
// Failure: a VM is replaced and its successor gets the same address, so that requests meant for the
// old VM would reach the new one. Members are therefore identified by name and incarnation, and a
// name whose address now belongs to another one is deleted at once, whatever heartbeats were
// received from it.
func (t *Table) MergeListed(now clock.Time, vms []driver.VM) {
	listed, owner := map[string]bool{}, map[string]string{}
	for _, vm := range vms {
		e := t.get(vm.Name, now)
		e.vm, e.listed = vm, true
		listed[vm.Name] = true
		owner[vm.Peer] = vm.Name
	}
	for name, e := range t.vms {
		if listed[name] {
			continue
		}
		if e.listed {
			e.listed, e.unlistedSince = false, now
		}
		if by, taken := owner[e.vm.Peer]; taken && by != name && e.vm.Peer != "" || t.expired(now, e) {
			delete(t.vms, name)
		}
	}
}

// expired reports whether an unlisted VM has been without heartbeats for longer than GoneAfter.
func (t *Table) expired(now clock.Time, e *entry) bool {
	unlistedLong := now.Sub(e.unlistedSince) > t.opt.GoneAfter
	return unlistedLong && (!e.received || now.Sub(e.receivedAt) > t.opt.GoneAfter)
}

// ReceiveHeartbeat merges a heartbeat.
//
// Failure: a VM's process restarts and a delayed heartbeat of the old process arrives after the new
// one's. Merged, it would mark the new process as leaving, or revive a dead one. A replaced
// incarnation therefore never counts again, and one that announced that it is leaving stays
// leaving.
func (t *Table) ReceiveHeartbeat(now clock.Time, h Heartbeat) {
	e := t.get(h.VM, now)
	if e.retired[h.Incarnation] {
		return
	}
	if e.received && e.newest.Incarnation != h.Incarnation {
		e.retired[e.newest.Incarnation] = true
		e.newest = Heartbeat{}
	}
	leaving := e.newest.Leaving || h.Leaving
	version := max(e.newest.SheetVersion, h.SheetVersion)
	e.received, e.receivedAt, e.newest = true, now, h
	e.newest.Leaving, e.newest.SheetVersion = leaving, version
}

// Members returns every VM, sorted by name.
func (t *Table) Members(now clock.Time) []Member {
	out := make([]Member, 0, len(t.vms))
	for _, name := range slices.Sorted(maps.Keys(t.vms)) {
		e := t.vms[name]
		out = append(out, Member{
			VM: e.vm, State: t.state(now, e), Incarnation: e.newest.Incarnation,
			Ready: e.newest.Ready, SheetVersion: e.newest.SheetVersion, Listed: e.listed,
		})
	}
	return out
}

func (t *Table) state(now clock.Time, e *entry) State {
	silence := now.Sub(e.receivedAt)
	switch {
	case e.received && silence > t.opt.GoneAfter, !e.received && !e.listed:
		return Gone
	case e.vm.Leaving || e.newest.Leaving:
		return Leaving
	case e.received && !e.listed && e.vm.Peer != "":
		return Leaving // was listed before: the platform has removed it
	case !e.received || silence > t.opt.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}
