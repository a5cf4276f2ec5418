package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/wire"
)

const (
	// queryAge is the age of the configuration from which this VM queries other VMs, and queryPause
	// the time between two queries. urgentQueryAge and urgentQueryPause replace them when answers
	// are missing.
	queryAge         = 800 * time.Millisecond
	queryPause       = time.Second
	urgentQueryAge   = 2300 * time.Millisecond
	urgentQueryPause = 300 * time.Millisecond
	// urgentQueryFanout VMs are queried at once when answers are missing.
	urgentQueryFanout = 3
)

// ConfigFreshness tracks the age of the configuration that this VM serves by.
type ConfigFreshness interface {
	// Age returns the age of the configuration and the version in force. ok is false while the age
	// is unknown.
	Age() (age time.Duration, version uint64, ok bool)
	// MergeAnswer merges the answer of a VM to a query sent at askedAt.
	MergeAnswer(vm string, askedAt clock.Time, age time.Duration, version uint64)
}

// runQueries queries other VMs for the age of their configuration until ctx ends. An answer repeats
// the fields of its query, so that no state is kept for a query.
func (u *Unit) runQueries(ctx context.Context) error {
	for {
		if !clock.Sleep(ctx, u.queryIfDue()) {
			return ctx.Err()
		}
	}
}

// queryIfDue sends a query if the configuration is old enough, and returns the time until the next
// check.
func (u *Unit) queryIfDue() time.Duration {
	age, _, ok := u.Freshness.Age()
	switch {
	case !ok || age >= urgentQueryAge:
		u.query(urgentQueryFanout)
		return urgentQueryPause
	case age >= queryAge:
		u.query(1)
		return min(queryPause, urgentQueryAge-age)
	}
	return queryAge - age
}

func (u *Unit) query(vms int) {
	m := u.members
	u.sendTo(m.freshnessSources(vms), &wire.Beat{Peer: m.own.Peer, Knowledge: &wire.Knowledge{
		Asker: askerID(&m.own), AskedAt: int64(m.clock.Now()),
	}})
}

// askerID distinguishes the processes of a VM, whose clocks may differ.
func askerID(n *Node) uint64 { return xxhash.Sum64String(n.Incarnation) }

// receiveFreshness answers a query, or merges the answer to one of this process's queries.
func (u *Unit) receiveFreshness(b *wire.Beat) {
	k := b.GetKnowledge()
	if k.GetAnswer() {
		if k.GetAsker() == askerID(&u.members.own) {
			age := time.Duration(k.GetAgeMs()) * time.Millisecond
			u.Freshness.MergeAnswer(b.GetPeer(), clock.Time(k.GetAskedAt()), age, b.GetConfigVersion())
		}
		return
	}
	age, version, ok := u.Freshness.Age()
	if !ok {
		return
	}
	u.sendTo([]string{b.GetPeer()}, &wire.Beat{Peer: u.members.own.Peer, ConfigVersion: version, Knowledge: &wire.Knowledge{
		Asker: k.GetAsker(), AskedAt: k.GetAskedAt(), Answer: true, AgeMs: uint32(age.Milliseconds()) + 1,
	}})
}

// freshnessSources returns the addresses of up to n VMs that probably have the newest
// configuration: for a VM of the active set first those that read the store, for the others any of
// the set.
func (m *Members) freshnessSources(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	s := m.selectVMs(now)
	_, active := s.active[m.own.Peer]
	var readers, others []string
	for peer := range s.active {
		switch l := m.links[peer]; {
		case peer == m.own.Peer:
		case active && l != nil && l.isReader && m.isResponsive(now, l):
			readers = append(readers, peer)
		default:
			others = append(others, peer)
		}
	}
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	list := append(readers, others...)
	return list[:min(n, len(list))]
}
