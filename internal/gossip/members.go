// Package gossip tracks the gateway VMs of a deployment and exchanges their load, by datagrams.
//
// Two sources find other VMs: the platform's member group lists a few for the first contact, and
// datagrams say who is alive and what each VM has outstanding. Each works without the other: the
// store may be unavailable, and datagrams may be lost.
//
// There are two layers:
//   - Membership: all VMs keep a list of all, by probing each other at intervals (package swim).
//     The cost per VM doesn't grow with the number of VMs.
//   - Load: the VMs of the active set, those that serve callers and those that do so next, send each
//     other their load several times a second in beats. Each VM computes the active set from its
//     list, so that no message is needed to agree on it.
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
	// silenceTimeout is the time since the last beat of a VM of the active set from which the VM is
	// no longer advertised to callers: several beats in a row are missing.
	silenceTimeout = swim.SilenceTimeout
	// countRetention is how long a VM that became unresponsive still counts as one that shares the
	// rate limits and budgets of the deployment.
	countRetention = 10 * time.Second
	// isolatedAfter is how long after the last datagram of any other VM this one looks for others
	// in the platform's list.
	isolatedAfter = 2 * time.Second
)

// Node is the identity and capacity of a VM, constant while its process runs.
type Node = swim.Node

// Members is the table of VMs. It is safe for concurrent use.
type Members struct {
	clock   clock.Clock
	own     Node
	started clock.Time

	mu            sync.Mutex
	detector      *swim.Detector
	links         map[string]*link // to the VMs that exchange beats with this one, by address for datagrams
	selected      selection
	readAt        clock.Time // this VM's last read of the endpoints' entries
	newestReadAt  clock.Time // newest read of them reported by any VM
	beatsCheckAt  clock.Time // last check for missing beats
	lastReceiveAt clock.Time // last datagram of any VM

	listed bool // the platform's list has contained this VM

	loggedCensus   census // last one that was logged
	censusLoggedAt clock.Time
}

// NewMembers returns a table that holds this VM only.
func NewMembers(c clock.Clock, own Node) *Members {
	now := c.Now()
	r := swim.Record{Node: own, Version: uint64(time.Now().UnixMilli())}
	m := &Members{
		clock: c, own: own, started: now, links: map[string]*link{},
		detector: swim.New(r, xxhash.Sum64String(own.Incarnation+own.Peer), now),
	}
	m.detector.OnDeclaredFailed = func(peer string, unheard time.Duration) {
		log.WithField("vm", peer).WithField("unheard_ms", unheard.Milliseconds()).Info("VM is silent")
	}
	return m
}

// updateOwn changes the record that this VM announces of itself.
func (m *Members) updateOwn(update func(r *swim.Record)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.UpdateOwn(m.clock.Now(), update)
	m.selected.stale = true
}

// SetReady announces whether this VM accepts callers.
func (m *Members) SetReady(ready bool) { m.updateOwn(func(r *swim.Record) { r.Ready = ready }) }

// SetCutOff announces whether this VM reaches no endpoint. It isn't advertised then while others are.
func (m *Members) SetCutOff(cutOff bool) { m.updateOwn(func(r *swim.Record) { r.CutOff = cutOff }) }

// SetLeader announces whether this VM is the leader, which may order engines and endpoints.
func (m *Members) SetLeader(leader bool) { m.updateOwn(func(r *swim.Record) { r.Leader = leader }) }

// SetTracksCaches announces whether this VM tracks what engines have cached.
func (m *Members) SetTracksCaches(tracks bool) {
	m.updateOwn(func(r *swim.Record) { r.TracksCaches = tracks })
}

// SetLeaving announces that this VM is shutting down.
func (m *Members) SetLeaving() { m.updateOwn(func(r *swim.Record) { r.Leaving = true }) }

// A change of the request rate is announced if it is greater than minRateChange of the announced
// rate and than minRateChangeOfCapacity of the VM's capacity. The selection of advertised VMs has
// headroom for several times the rate, so that smaller changes don't matter.
const (
	minRateChange           = 0.25
	minRateChangeOfCapacity = 0.05
)

// setRequestRate records this VM's request rate, and announces it if it has changed enough. A VM
// that isn't advertised announces a small rate as zero: the small rates of hundreds of such VMs
// would add up to as much as the load of the advertised ones.
func (m *Members) setRequestRate(perSecond uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	announced := m.detector.Own().Requests
	minChange := minRateChangeOfCapacity * float64(m.own.Capacity)
	advertised := slices.ContainsFunc(m.selectVMs(now).advertised, func(v serving.VM) bool { return v.Peer == m.own.Peer })
	switch change := math.Abs(float64(perSecond) - float64(announced)); {
	case !advertised && float64(perSecond) < minChange:
		perSecond = 0
	case (announced == 0) == (perSecond == 0) && change <= max(minChange, minRateChange*float64(announced)):
		return
	}
	if perSecond != announced {
		m.detector.UpdateOwn(now, func(r *swim.Record) { r.Requests = perSecond })
		m.selected.stale = true
	}
}

// ownRecord returns the record that this VM announces of itself.
func (m *Members) ownRecord() swim.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.detector.Own()
}

// Ready reports whether this VM accepts callers.
func (m *Members) Ready() bool {
	r := m.ownRecord()
	return r.Ready && !r.Leaving
}

// Leaving reports whether this VM is shutting down.
func (m *Members) Leaving() bool { return m.ownRecord().Leaving }

// IsLeader reports whether this VM is the leader, which may order engines and endpoints.
func (m *Members) IsLeader() bool { return m.ownRecord().Leader }

// MergeListed adds the group's members to the table.
func (m *Members) MergeListed(nodes []Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.MergeListed(m.clock.Now(), nodes)
	m.selected.stale = true
	m.listed = m.listed || slices.ContainsFunc(nodes, func(n Node) bool { return n.Peer == m.own.Peer })
}

// isListed reports whether the platform's list has contained this VM: an earlier process of it is a
// member, and may be the leader.
func (m *Members) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// loadReport is what a load beat says of its sender.
type loadReport struct {
	swim.Record
	readAgeMs uint32
	busy      bool // the sender has outstanding requests
}

// receiveLoad merges the load report of another VM.
func (m *Members) receiveLoad(report loadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.Peer == m.own.Peer {
		return
	}
	now := m.clock.Now()
	m.recordReceive(now, &report.Record)
	m.detector.ReceiveRecord(now, report.Record)
	l := m.links[report.Peer]
	if l == nil {
		l = &link{expectedSince: now}
		m.links[report.Peer] = l
	}
	l.update(now, &report)
	if l.isReader {
		m.newestReadAt = max(m.newestReadAt, l.readAt)
	}
}

// receiveProbe handles a membership message and returns the answers.
func (m *Members) receiveProbe(msg *swim.Message) []swim.Outgoing {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.recordReceive(now, &msg.From)
	m.selected.stale = m.selected.stale || len(msg.Updates) > 0
	return m.detector.Receive(now, msg)
}

// recordReceive records that a datagram from the VM of r arrived, and marks the selection stale if
// r may change it.
func (m *Members) recordReceive(now clock.Time, r *swim.Record) {
	m.lastReceiveAt = now
	e := m.detector.Entries()[r.Peer]
	if e == nil || e.Record != *r || !e.Alive(now) {
		m.selected.stale = true
	}
}

// step runs one pass of the failure detector. It returns the messages to send and the time of the
// next pass.
func (m *Members) step() ([]swim.Outgoing, clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.detector.Step(m.clock.Now())
	return out, m.detector.NextStepAt()
}

// push schedules messages to a few VMs at once, to which the caller adds its pending updates.
func (m *Members) push() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.PushUpdates(m.clock.Now())
}

// Count returns the number of VMs: this one and those that are assumed alive, or were within
// countRetention. It errs on the high side.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count(m.clock.Now())
}

func (m *Members) count(now clock.Time) int {
	n := 1
	for _, e := range m.detector.Entries() {
		if !e.UnresponsiveFor(now, countRetention) {
			n++
		}
	}
	return n
}

// HasQuorum reports whether this VM is in contact with most of the VMs that it was in contact with within countRetention.
// A VM without a quorum may be cut off from VMs that serve callers. VMs that leave in order don't count.
func (m *Members) HasQuorum() bool {
	alive, all := m.contacts()
	return 2*alive > all
}

// ReachesAll reports whether this VM is in contact with all of these VMs: one that it has lost may serve callers.
func (m *Members) ReachesAll() bool {
	alive, all := m.contacts()
	return alive == all
}

// contacts returns the number of VMs that this one was in contact with within countRetention and that haven't left in
// order, itself included, and how many of them it is in contact with.
func (m *Members) contacts() (alive, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	alive, all = 1, 1
	for _, e := range m.detector.Entries() {
		if e.Leaving || e.UnresponsiveFor(now, countRetention) {
			continue
		}
		all++
		if e.Alive(now) {
			alive++
		}
	}
	return alive, all
}

// HasPeers reports whether the table counts any other VM, from the list or from datagrams.
func (m *Members) HasPeers() bool { return m.Count() > 1 }

// Isolated reports whether no datagram of another VM has arrived for isolatedAfter.
func (m *Members) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastReceiveAt == 0 || m.clock.Now().Sub(m.lastReceiveAt) > isolatedAfter
}
