// Package membership decides which entry VMs take part, from the platform's VM
// list, which lags, and from what the VMs themselves say, which may be late,
// crossed or absent.
//
// The list alone would keep a leaving VM in address answers for as long as it
// lags, and a dead one for ever; heartbeats alone would take a VM that a
// partition hides for one that has left. So each is believed where it can be:
// the list for which VMs there are and where, the VM for whether it leaves,
// and silence for whether it can be used.
package membership

import (
	"maps"
	"slices"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
)

// State is what a VM is good for.
type State string

// The states of a VM.
const (
	Live    State = "live"    // takes work
	Suspect State = "suspect" // silent, or not heard yet: no new work
	Leaving State = "leaving" // finishes what it has: no new work
	Gone    State = "gone"    // left the list, or silent for long
)

// Heartbeat is what a VM says of itself.
type Heartbeat struct {
	VM           string
	Incarnation  string // changes when its process restarts
	Leaving      bool
	Ready        bool
	SheetVersion uint64
}

// Member is one VM.
type Member struct {
	driver.VM
	State        State
	Incarnation  string // newest heard, empty before the first heartbeat
	Ready        bool
	SheetVersion uint64
	Listed       bool // on the newest VM list
}

// Usable reports whether callers and new work may be sent to the member.
func (m *Member) Usable() bool { return m.State == Live && m.Ready && m.Listed }

// Options of a table.
type Options struct {
	SuspectAfter time.Duration // silence after which a VM is suspect
	GoneAfter    time.Duration // silence after which a VM is gone
}

// Table holds what is known of the VMs. It isn't safe for concurrent use.
type Table struct {
	opt Options
	vms map[string]*entry
}

type entry struct {
	vm      driver.VM
	listed  bool
	unseen  clock.Time // when it left the list, or was first heard without one
	heard   bool
	at      clock.Time // of the newest heartbeat
	last    Heartbeat
	retired map[string]bool // earlier incarnations
}

// New returns an empty table.
func New(opt Options) *Table { return &Table{opt: opt, vms: map[string]*entry{}} }

// SetTimeouts changes the times of silence; they grow with the number of VMs
// that take turns in the gossip.
func (t *Table) SetTimeouts(suspect, gone time.Duration) {
	t.opt = Options{SuspectAfter: suspect, GoneAfter: gone}
}

func (t *Table) get(name string, now clock.Time) *entry {
	e := t.vms[name]
	if e == nil {
		e = &entry{vm: driver.VM{Name: name}, unseen: now, retired: map[string]bool{}}
		t.vms[name] = e
	}
	return e
}

// MergeListed takes in an answer of the VM list.
//
// Failure: a VM is replaced and its successor gets the same address. Requests
// meant for the old one would reach the new. The member is known by name and
// incarnation; a name whose address now belongs to another is gone at once,
// whatever was heard of it.
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
			e.listed, e.unseen = false, now
		}
		if by, taken := owner[e.vm.Peer]; taken && by != name && e.vm.Peer != "" || t.forgotten(now, e) {
			delete(t.vms, name)
		}
	}
}

// forgotten reports whether an unlisted VM has been silent for long.
func (t *Table) forgotten(now clock.Time, e *entry) bool {
	quiet := now.Sub(e.unseen) > t.opt.GoneAfter
	return quiet && (!e.heard || now.Sub(e.at) > t.opt.GoneAfter)
}

// ReceiveHeartbeat takes in a heartbeat.
//
// Failure: a VM's process restarts and a heartbeat of the old process, held up
// on its way, arrives after the new one's. Believed, it would mark the new
// process as leaving, or bring a dead one back. An incarnation that another
// has replaced never counts again, and one that said it leaves stays so.
func (t *Table) ReceiveHeartbeat(now clock.Time, h Heartbeat) {
	e := t.get(h.VM, now)
	if e.retired[h.Incarnation] {
		return
	}
	if e.heard && e.last.Incarnation != h.Incarnation {
		e.retired[e.last.Incarnation] = true
		e.last = Heartbeat{}
	}
	leaving := e.last.Leaving || h.Leaving
	version := max(e.last.SheetVersion, h.SheetVersion)
	e.heard, e.at, e.last = true, now, h
	e.last.Leaving, e.last.SheetVersion = leaving, version
}

// Members returns every VM by name.
func (t *Table) Members(now clock.Time) []Member {
	out := make([]Member, 0, len(t.vms))
	for _, name := range slices.Sorted(maps.Keys(t.vms)) {
		e := t.vms[name]
		out = append(out, Member{
			VM: e.vm, State: t.state(now, e), Incarnation: e.last.Incarnation,
			Ready: e.last.Ready, SheetVersion: e.last.SheetVersion, Listed: e.listed,
		})
	}
	return out
}

func (t *Table) state(now clock.Time, e *entry) State {
	silence := now.Sub(e.at)
	switch {
	case e.heard && silence > t.opt.GoneAfter, !e.heard && !e.listed:
		return Gone
	case e.vm.Leaving || e.last.Leaving:
		return Leaving
	case e.heard && !e.listed && e.vm.Peer != "":
		return Leaving // was listed once: the platform has taken it off
	case !e.heard || silence > t.opt.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}
