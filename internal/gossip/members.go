// Package gossip keeps the gateways of a deployment aware of each other. The
// platform's member group names a few for the first contact; datagrams say who is
// alive and what each has outstanding. Neither is needed for the other to go on:
// the store may be away, datagrams may be lost.
//
// There are two layers. All VMs keep a list of all by probing each other now and
// then (package swim); what a VM spends on it doesn't grow with their number. The
// active set, those that serve callers and the next in turn, tell each other their load
// several times a second. Each VM works that set out from its list, so that no
// message is needed to agree on it.
package gossip

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/serving"
	"fescuestand/internal/swim"
)

const (
	// silence is how long a VM of the active set may be unheard until callers are no
	// longer sent to it: several beats in a row are missing.
	silence = swim.SilenceTimeout
	// countedFor is how long a VM that fell silent still counts as one with which
	// the others share what they may spend.
	countedFor = 10 * time.Second
	// aloneAfter is how long no other VM is heard until this one looks for others
	// in the platform's list.
	aloneAfter = 2 * time.Second
)

// Node is what a VM is, for as long as its process runs.
type Node = swim.Node

// Members is the table of VMs. It is safe for concurrent use.
type Members struct {
	clock   clock.Clock
	own     Node
	started clock.Time

	mu      sync.Mutex
	list    *swim.Detector
	links   map[string]*link // to the VMs that exchange beats with this one, by address for datagrams
	chosen  chosen
	readAt  clock.Time // last read of the endpoints' entries
	newest  clock.Time // newest read of them by any VM, as far as known
	beatAt  clock.Time // last look for missing beats
	heardAt clock.Time // last datagram of any VM

	listed bool // the platform's list has named this VM

	counted   census // last one that was logged
	countedAt clock.Time
}

// NewMembers returns a table that holds this VM only.
func NewMembers(c clock.Clock, own Node) *Members {
	now := c.Now()
	r := swim.Record{Node: own, Version: uint64(time.Now().UnixMilli())}
	m := &Members{
		clock: c, own: own, started: now, links: map[string]*link{},
		list: swim.New(r, xxhash.Sum64String(own.Incarnation+own.Peer), now),
	}
	m.list.OnDeclaredFailed = func(peer string, unheard time.Duration) {
		log.WithField("vm", peer).WithField("unheard_ms", unheard.Milliseconds()).Info("VM is silent")
	}
	return m
}

// change changes what this VM tells of itself.
func (m *Members) change(change func(r *swim.Record)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.UpdateOwn(m.clock.Now(), change)
	m.chosen.stale = true
}

// SetReady tells whether this VM takes callers.
func (m *Members) SetReady(ready bool) { m.change(func(r *swim.Record) { r.Ready = ready }) }

// SetDuty tells whether this VM has been dealt the duty of giving orders.
func (m *Members) SetDuty(duty bool) { m.change(func(r *swim.Record) { r.Leader = duty }) }

// SetInformed tells whether this VM knows what engines have cached.
func (m *Members) SetInformed(informed bool) {
	m.change(func(r *swim.Record) { r.TracksCaches = informed })
}

// Leave marks this VM as one that stops.
func (m *Members) Leave() { m.change(func(r *swim.Record) { r.Leaving = true }) }

// rateStep of the rate of requests, and rateShare of what the VM can take, is the
// least change that is told: naming VMs by it has room for several times the rate.
const (
	rateStep  = 0.25
	rateShare = 0.05
)

// setRequests takes the rate of this VM's requests. The few that come to a VM which
// isn't named are told as none: told by each of hundreds of VMs, they would wrongly add
// up to as much as the others get.
func (m *Members) setRequests(perSecond uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	told := m.list.Own().Requests
	least := rateShare * float64(m.own.Capacity)
	named := slices.ContainsFunc(m.choose(now).named, func(v serving.VM) bool { return v.Peer == m.own.Peer })
	switch change := math.Abs(float64(perSecond) - float64(told)); {
	case !named && float64(perSecond) < least:
		perSecond = 0
	case (told == 0) == (perSecond == 0) && change <= max(least, rateStep*float64(told)):
		return
	}
	if perSecond != told {
		m.list.UpdateOwn(now, func(r *swim.Record) { r.Requests = perSecond })
		m.chosen.stale = true
	}
}

// ownRecord is what this VM tells of itself.
func (m *Members) ownRecord() swim.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.list.Own()
}

// Ready tells whether this VM takes callers.
func (m *Members) Ready() bool {
	r := m.ownRecord()
	return r.Ready && !r.Leaving
}

// Leaving tells whether this VM was told to stop.
func (m *Members) Leaving() bool { return m.ownRecord().Leaving }

// Duty tells whether this VM has been dealt the duty of giving orders.
func (m *Members) Duty() bool { return m.ownRecord().Leader }

// List takes the group's members.
func (m *Members) List(nodes []Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.MergeListed(m.clock.Now(), nodes)
	m.chosen.stale = true
	m.listed = m.listed || slices.ContainsFunc(nodes, func(n Node) bool { return n.Peer == m.own.Peer })
}

// listedItself tells whether the platform's list has named this VM: an earlier process
// of it has a place there, and perhaps the duty.
func (m *Members) listedItself() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// heard is what a beat says of its sender.
type heard struct {
	swim.Record
	readAgeMs uint32
	busy      bool // it has requests in hand
}

// hear takes a beat that tells load.
func (m *Members) hear(h heard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.Peer == m.own.Peer {
		return
	}
	now := m.clock.Now()
	m.noteHeard(now, &h.Record)
	m.list.ReceiveRecord(now, h.Record)
	l := m.links[h.Peer]
	if l == nil {
		l = &link{wantedAt: now}
		m.links[h.Peer] = l
	}
	l.take(now, &h)
	if l.reads {
		m.newest = max(m.newest, l.readAt)
	}
}

// receive takes a message of the list and returns the answers.
func (m *Members) receive(msg *swim.Message) []swim.Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.noteHeard(now, &msg.From)
	m.chosen.stale = m.chosen.stale || len(msg.Updates) > 0
	return m.list.Receive(now, msg)
}

// noteHeard notes whether a datagram of a VM may change which VMs are chosen.
func (m *Members) noteHeard(now clock.Time, r *swim.Record) {
	m.heardAt = now
	e := m.list.Entries()[r.Peer]
	if e == nil || e.Record != *r || !e.Alive(now) {
		m.chosen.stale = true
	}
}

// step does what the list has due, and returns when it is due again.
func (m *Members) step() ([]swim.Outgoing, clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.list.Step(m.clock.Now())
	return out, m.list.NextStepAt()
}

// push has news told to a few VMs at once.
func (m *Members) push() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.PushUpdates(m.clock.Now())
}

// Count returns how many VMs there are: this one and those that are believed to
// live or did lately. It errs to the high side.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count(m.clock.Now())
}

func (m *Members) count(now clock.Time) int {
	n := 1
	for _, e := range m.list.Entries() {
		if !e.UnresponsiveFor(now, countedFor) {
			n++
		}
	}
	return n
}

// Known tells whether any other VM has been listed or heard.
func (m *Members) Known() bool { return m.Count() > 1 }

// Alone tells whether no other VM has been heard lately.
func (m *Members) Alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardAt == 0 || m.clock.Now().Sub(m.heardAt) > aloneAfter
}
