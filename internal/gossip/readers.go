package gossip

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
)

const (
	// readers is how many VMs read the endpoints' entries from the store for
	// all: one may be frozen and another cut off before a third has to be
	// found.
	readers = 2
	// configReaders is how many VMs wait at the store for a newer
	// configuration. Each version costs a call for each of them; a
	// configuration must be in force 2 s after its acceptance, also where
	// several of them are lost at once.
	configReaders = 8
	// leadPause is the time between two reads of a reader. A leaving endpoint
	// must get no more work 2 s after its report was accepted, and the change
	// takes another 0.3 s to the other VMs.
	leadPause = 600 * time.Millisecond
	// idlePause is the least time between two reads of the others, which only
	// make sure that no change was missed, and idleSpread what is added by the
	// VM's address: VMs that started together would read at the same moment,
	// and all of them in vain if the store is away then.
	idlePause  = 25 * time.Second
	idleSpread = 15 * time.Second
	// idleUnit VMs or fewer read that often each; more VMs read less often.
	idleUnit = 64
	// freshRead is the age of a reader's view from which it counts as lost: two
	// reads are missing.
	freshRead = 1500 * time.Millisecond
	// standIns is how many VMs read while no reader has a fresh view: the
	// readers may be turned away by the store and others not. Their number
	// doubles with each standInStep in which that goes on, so that a store
	// which is away for all isn't called by all.
	standIns    = 8
	standInStep = time.Second
	// toldLate is how much later than in the active set it is known elsewhere that a
	// view is fresh.
	toldLate = 3 * time.Second
)

// ReadInterval is how long this VM may wait until it reads the endpoints' entries
// from the store again. The VMs of the active set agree on the readers by an order of
// all, so that no message is needed for it: the first ones read, and those after
// them while too few before them have a fresh view. The others read only when
// nobody has had one for a while.
func (m *Members) ReadInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.settling(now) {
		return m.idlePause(now) // it has read everything at its start
	}
	before := m.before(now)
	if before.rank < before.reading(now) {
		return leadPause
	}
	return m.idlePause(now)
}

// IsReader tells whether this VM reads the endpoints' entries for all.
func (m *Members) IsReader() bool { return m.ReadInterval() == leadPause }

// IdleReadInterval is how long this VM may go without a read of its own while others
// read for it.
func (m *Members) IdleReadInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.idlePause(m.clock.Now())
}

// idlePause grows with the number of VMs, so that the reads of all don't: a change
// that was missed shows by what the others tell.
func (m *Members) idlePause(now clock.Time) time.Duration {
	pause := idlePause + time.Duration(xxhash.Sum64String(m.own.Peer)%uint64(idleSpread))
	return pause * time.Duration(max(m.count(now), idleUnit)) / idleUnit
}

// maxDoublings of standIns are more VMs than there are.
const maxDoublings = 10

// IsConfigReader tells whether this VM waits at the store for configurations.
func (m *Members) IsConfigReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.settling(now) || !m.isActive(now, m.own.Peer) {
		return false
	}
	return m.before(now).rank < configReaders
}

// predecessors are the VMs that come before this one in the order by which they read
// for all.
type predecessors struct {
	rank   int           // how many they are
	fresh  int           // how many of them have a fresh view
	newest clock.Time    // when the newest view was read, zero if none is known
	active bool          // this VM is one of the active set
	limit  time.Duration // age of a view that isn't fresh any more
}

// reading is how many VMs, from the first on, should read.
func (p *predecessors) reading(now clock.Time) int {
	if p.active && p.fresh >= readers {
		return readers
	}
	age := time.Duration(math.MaxInt64)
	if p.newest != 0 {
		age = now.Sub(p.newest)
	}
	if !p.active && age < p.limit {
		return 0
	}
	return standIns << min(max(age-p.limit, 0)/standInStep, maxDoublings)
}

// before looks at the VMs that come before this one: of the active set those that are
// heard, and after them all others that live.
func (m *Members) before(now clock.Time) predecessors {
	c := m.choose(now)
	_, active := c.active[m.own.Peer]
	p := predecessors{active: active, newest: max(m.newest, m.readAt), limit: m.freshFor()}
	if active {
		m.beforeActive(now, c, &p)
		return p
	}
	p.limit += toldLate
	p.rank = len(c.active)
	for peer, e := range m.list.Entries() {
		if _, in := c.active[peer]; !in && !e.Leaving && e.Alive(now) && precedes(&e.Node, &m.own) {
			p.rank++
		}
	}
	return p
}

func (m *Members) beforeActive(now clock.Time, c *chosen, p *predecessors) {
	p.newest = 0
	for peer := range c.active {
		e, l := m.list.Entries()[peer], m.links[peer]
		if e == nil || l == nil || e.Leaving || !m.beatsArrive(now, l) || !precedes(&e.Node, &m.own) {
			continue
		}
		p.rank++
		if !l.reads {
			continue
		}
		p.newest = max(p.newest, l.readAt)
		if now.Sub(l.readAt) < p.limit {
			p.fresh++
		}
	}
}

// beatsArrive tells whether the beats of the VM at the other end of l do.
func (m *Members) beatsArrive(now clock.Time, l *link) bool {
	return l.heardAt != 0 && now.Sub(l.heardAt) < m.silenceNow()
}

// freshFor is the age from which a view counts as lost. It grows with the time between
// two beats, by which views are told.
func (m *Members) freshFor() time.Duration { return freshRead + m.silenceNow() - silence }

// precedes tells whether a reads before b: large VMs first, since what they read
// they pass on, then by a hash of the address.
func precedes(a, b *Node) bool {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(a.Peer), xxhash.Sum64String(b.Peer)),
	) < 0
}

// settling tells whether this VM has only just started: it can't know yet which
// VMs there are, and would take itself for the first of all.
func (m *Members) settling(now clock.Time) bool { return now.Sub(m.started) < settleFor }

// settleFor is the time in which VMs that start together hear each other: a first
// answer of the group and two beats. Others take a VM that has just read for one
// that goes on reading, so that it must not be longer than the pause of a reader
// by much.
const settleFor = 700 * time.Millisecond

// HasFreshRead tells whether this VM's last read of the entries is a fresh one.
func (m *Members) HasFreshRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readAt != 0 && m.clock.Now().Sub(m.readAt) < freshRead
}

// RecordRead notes that this VM has read the entries.
func (m *Members) RecordRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readAt = m.clock.Now()
}

// told is what a beat tells of the endpoints' entries: the age of this VM's view, and
// of the newest view of any.
func (m *Members) told() (own, newest uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return ageMs(now, m.readAt), ageMs(now, max(m.newest, m.readAt))
}

// hearRead takes the age of the newest view that another VM knows of.
func (m *Members) hearRead(newestMs uint32) {
	if newestMs == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newest = max(m.newest, m.clock.Now().Add(-time.Duration(newestMs)*time.Millisecond))
}

// ageMs is the wire's form of the age of a view: zero if there is none.
func ageMs(now, at clock.Time) uint32 {
	if at == 0 {
		return 0
	}
	return uint32(min(now.Sub(at), time.Hour).Milliseconds()) + 1
}
