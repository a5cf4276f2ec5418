package gossip

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
)

const (
	// entryReaders is how many VMs read the endpoints' entries from the store for all: one may be
	// frozen and another disconnected before a third has to be found.
	entryReaders = 2
	// configReaders is how many VMs wait at the store for a newer configuration. Each version costs
	// a call for each of them. A configuration must be in force 2 s after its acceptance, also
	// where several of them are lost at once.
	configReaders = 8
	// readerPause is the time between two reads of a reader. A leaving endpoint must get no more
	// work 2 s after its report was accepted, and the change takes another 0.3 s to reach the other
	// VMs.
	readerPause = 600 * time.Millisecond
	// minIdleReadPause is the minimum time between two reads of the other VMs, which only make sure
	// that no change was missed. idleReadJitter is the maximum that is added by a hash of the VM's
	// address: VMs that started together would otherwise read at the same moment, and all of them
	// without effect if the store is unavailable then.
	minIdleReadPause = 25 * time.Second
	idleReadJitter   = 15 * time.Second
	// idleReadUnitVMs is the number of VMs up to which each VM reads that often; with more VMs,
	// each reads less often.
	idleReadUnitVMs = 64
	// maxFreshAge is the age of a reader's view from which the view counts as lost: two reads are
	// missing.
	maxFreshAge = 1500 * time.Millisecond
	// fallbackReaders is how many VMs read while no reader has a fresh view: the store may reject
	// the readers and accept others. Their number doubles with each fallbackDoublingTime in which
	// that goes on, so that a store that is unavailable to all isn't called by all at once.
	fallbackReaders      = 8
	fallbackDoublingTime = time.Second
	// standbyReportDelay is how much later than in the active set a fresh view becomes visible to
	// the other VMs.
	standbyReportDelay = 3 * time.Second
)

// ReadInterval returns how long this VM may wait before it reads the endpoints' entries from the
// store again.
//
// The VMs of the active set agree on the readers by a common order, so that no message is needed
// for it: the first ones read, and so do those after them while too few before them have a fresh
// view. The other VMs read often only when no VM has had a fresh view for a while.
func (m *Members) ReadInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.isSettling(now) {
		return m.idleReadInterval(now) // it has read everything at its start
	}
	p := m.predecessors(now)
	if p.rank < p.readerCount(now) {
		return readerPause
	}
	return m.idleReadInterval(now)
}

// IsReader reports whether this VM reads the endpoints' entries for all.
func (m *Members) IsReader() bool { return m.ReadInterval() == readerPause }

// IdleReadInterval returns how long this VM may go without a read of its own while others read for
// it.
func (m *Members) IdleReadInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.idleReadInterval(m.clock.Now())
}

// idleReadInterval grows with the number of VMs, so that the total read rate doesn't. A change that
// was missed is detected by what other VMs report.
func (m *Members) idleReadInterval(now clock.Time) time.Duration {
	pause := minIdleReadPause + time.Duration(xxhash.Sum64String(m.own.Peer)%uint64(idleReadJitter))
	return pause * time.Duration(max(m.count(now), idleReadUnitVMs)) / idleReadUnitVMs
}

// maxFallbackDoublings bounds the doublings of fallbackReaders; the result exceeds the number of
// VMs in any deployment.
const maxFallbackDoublings = 10

// IsConfigReader reports whether this VM waits at the store for configurations.
func (m *Members) IsConfigReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.isSettling(now) || !m.isActive(now, m.own.Peer) {
		return false
	}
	return m.predecessors(now).rank < configReaders
}

// predecessors describes the VMs before this one in the order by which VMs read for all.
type predecessors struct {
	rank   int           // number of VMs before this one
	fresh  int           // number of those that have a fresh view
	newest clock.Time    // when the newest view was read, zero if unknown
	active bool          // this VM is in the active set
	maxAge time.Duration // age from which a view isn't fresh
}

// readerCount returns how many VMs, from the first in the order, should read.
func (p *predecessors) readerCount(now clock.Time) int {
	if p.active && p.fresh >= entryReaders {
		return entryReaders
	}
	age := time.Duration(math.MaxInt64)
	if p.newest != 0 {
		age = now.Sub(p.newest)
	}
	if !p.active && age < p.maxAge {
		return 0
	}
	return fallbackReaders << min(max(age-p.maxAge, 0)/fallbackDoublingTime, maxFallbackDoublings)
}

// predecessors returns the VMs before this one in the reading order: first the responsive ones of
// the active set, then all others that are alive.
func (m *Members) predecessors(now clock.Time) predecessors {
	s := m.selectVMs(now)
	_, active := s.active[m.own.Peer]
	p := predecessors{active: active, newest: max(m.newestReadAt, m.readAt), maxAge: m.currentMaxFreshAge()}
	if active {
		m.addActivePredecessors(now, s, &p)
		return p
	}
	p.maxAge += standbyReportDelay
	p.rank = len(s.active)
	for peer, e := range m.detector.Entries() {
		if _, in := s.active[peer]; !in && !e.Leaving && e.Alive(now) && readsBefore(&e.Node, &m.own) {
			p.rank++
		}
	}
	return p
}

func (m *Members) addActivePredecessors(now clock.Time, s *selection, p *predecessors) {
	p.newest = 0
	for peer := range s.active {
		e, l := m.detector.Entries()[peer], m.links[peer]
		if e == nil || l == nil || e.Leaving || !m.isResponsive(now, l) || !readsBefore(&e.Node, &m.own) {
			continue
		}
		p.rank++
		if !l.isReader {
			continue
		}
		p.newest = max(p.newest, l.readAt)
		if now.Sub(l.readAt) < p.maxAge {
			p.fresh++
		}
	}
}

// isResponsive reports whether beats of the VM at the other end of l arrive.
func (m *Members) isResponsive(now clock.Time, l *link) bool {
	return l.receivedAt != 0 && now.Sub(l.receivedAt) < m.currentSilenceTimeout()
}

// currentMaxFreshAge returns the age from which a view counts as lost. It grows with the beat
// period, as beats carry the age of views.
func (m *Members) currentMaxFreshAge() time.Duration {
	return maxFreshAge + m.currentSilenceTimeout() - silenceTimeout
}

// readsBefore reports whether a comes before b in the reading order: large VMs first, since readers
// forward what they read, then by a hash of the address.
func readsBefore(a, b *Node) bool {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(xxhash.Sum64String(a.Peer), xxhash.Sum64String(b.Peer)),
	) < 0
}

// isSettling reports whether this VM has only just started. Its table is incomplete then, and it
// would take itself for the first in the reading order.
func (m *Members) isSettling(now clock.Time) bool { return now.Sub(m.started) < settleTime }

// settleTime is the time in which VMs that start together receive each other's datagrams: a first
// answer of the group and two beats. Other VMs take a VM that has just read for a reader, so
// settleTime must not exceed readerPause by much.
const settleTime = 700 * time.Millisecond

// HasFreshRead reports whether this VM's last read of the entries is fresh.
func (m *Members) HasFreshRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readAt != 0 && m.clock.Now().Sub(m.readAt) < maxFreshAge
}

// RecordRead records that this VM has read the entries with a call sent at sentAt. The answer counts as a view of now,
// so that a slow store doesn't make more VMs read, unless it has taken so long that this VM may have been suspended
// since.
func (m *Members) RecordRead(sentAt clock.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if now.Sub(sentAt) >= maxFreshAge {
		now = sentAt
	}
	m.readAt = max(m.readAt, now)
}

// readAges returns what a beat carries about views of the endpoints' entries: the encoded ages of
// this VM's view and of the newest view of any VM.
func (m *Members) readAges() (own, newest uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	return encodeAgeMs(now, m.readAt), encodeAgeMs(now, max(m.newestReadAt, m.readAt))
}

// mergeNewestRead merges the age of the newest view that another VM reports.
func (m *Members) mergeNewestRead(newestMs uint32) {
	if newestMs == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.newestReadAt = max(m.newestReadAt, m.clock.Now().Add(-time.Duration(newestMs)*time.Millisecond))
}

// encodeAgeMs returns the age of a view as beats carry it: zero if there is none, else one more
// than its milliseconds.
func encodeAgeMs(now, at clock.Time) uint32 {
	if at == 0 {
		return 0
	}
	return uint32(min(now.Sub(at), time.Hour).Milliseconds()) + 1
}
