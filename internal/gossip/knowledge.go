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
	// askedAge is the age of what is known from which other VMs are asked, and
	// askPause the time between two questions. urgentAge and urgentPause replace them
	// when answers are missing.
	askedAge    = 800 * time.Millisecond
	askPause    = time.Second
	urgentAge   = 2300 * time.Millisecond
	urgentPause = 300 * time.Millisecond
	// askedAtOnce VMs are asked at once when answers are missing.
	askedAtOnce = 3
)

// ConfigFreshness is how new the configuration is that this VM serves by.
type ConfigFreshness interface {
	// Age returns the age of what is known and the version in force.
	Age() (age time.Duration, version uint64, ok bool)
	// MergeAnswer takes the answer of a VM to a question of askedAt.
	MergeAnswer(vm string, askedAt clock.Time, age time.Duration, version uint64)
}

// askAround asks other VMs for newer knowledge until ctx ends. A question comes back
// with its answer, so that nothing of it needs to be kept.
func (u *Unit) askAround(ctx context.Context) error {
	for {
		if !clock.Sleep(ctx, u.askWhenDue()) {
			return ctx.Err()
		}
	}
}

// askWhenDue asks if what is known is old enough, and returns when to look again.
func (u *Unit) askWhenDue() time.Duration {
	age, _, ok := u.Freshness.Age()
	switch {
	case !ok || age >= urgentAge:
		u.ask(askedAtOnce)
		return urgentPause
	case age >= askedAge:
		u.ask(1)
		return min(askPause, urgentAge-age)
	}
	return askedAge - age
}

func (u *Unit) ask(vms int) {
	m := u.members
	u.sendTo(m.informants(vms), &wire.Beat{Peer: m.own.Peer, Knowledge: &wire.Knowledge{
		Asker: askerOf(&m.own), AskedAt: int64(m.clock.Now()),
	}})
}

// askerOf tells the processes of a VM apart, whose clocks may not agree.
func askerOf(n *Node) uint64 { return xxhash.Sum64String(n.Incarnation) }

// takeKnowledge answers a question, or takes an answer.
func (u *Unit) takeKnowledge(b *wire.Beat) {
	k := b.GetKnowledge()
	if k.GetAnswer() {
		if k.GetAsker() == askerOf(&u.members.own) {
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

// informants returns the addresses of up to n VMs that probably know what is newest: for
// a VM of the active set those that read the store, for the others any of the set.
func (m *Members) informants(n int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	c := m.choose(now)
	_, active := c.active[m.own.Peer]
	var readers, others []string
	for peer := range c.active {
		switch l := m.links[peer]; {
		case peer == m.own.Peer:
		case active && l != nil && l.reads && m.beatsArrive(now, l):
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
