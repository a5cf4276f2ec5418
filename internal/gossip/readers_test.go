package gossip

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/swim"
)

// settled returns the table of a VM that has run for settleTime.
func settled(own Node) *Members {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, own)
	c.T = c.T.Add(settleTime)
	return m
}

// countReaders gives each of n VMs the same beats, with views of the given age, and returns how
// many of them read for all. The VMs in lost send no beats and aren't counted.
func countReaders(n int, lost map[int]bool, age time.Duration) int {
	count := 0
	for own := range n {
		if lost[own] {
			continue
		}
		m := settled(node(own))
		for i := range n {
			if i != own && !lost[i] {
				m.receiveLoad(loadReport{Record: swim.Record{Node: node(i), Ready: true}, readAgeMs: uint32(age.Milliseconds()) + 1})
			}
		}
		if m.ReadInterval() == readerPause {
			count++
		}
	}
	return count
}

// Guards against all VMs reading the store, and against nobody reading it after the readers have
// failed.
func TestFewVMsReadForAll(t *testing.T) {
	assert.Equal(t, countReaders(60, nil, 0), entryReaders)
	assert.Equal(t, countReaders(60, map[int]bool{1: true, 2: true, 3: true, 4: true, 5: true}, 0), entryReaders)
	assert.Equal(t, countReaders(1, nil, 0), 1)
	assert.Equal(t, countReaders(8, nil, maxFreshAge), 8)
}

// Guards against a VM that was suspended in a read and takes its answer, or has others take it, for a view of now.
func TestAnswerThatWaitedIsNoFreshView(t *testing.T) {
	for took, want := range map[time.Duration]bool{time.Millisecond: true, maxFreshAge - 1: true, maxFreshAge: false, maxViewAge: false} {
		m := settled(node(1))
		m.RecordRead(m.clock.Now().Add(-took))
		assert.Equal(t, m.HasFreshRead(), want, took)
		own, _ := m.readAges()
		assert.Equal(t, own <= encodeAgeMs(m.clock.Now(), m.clock.Now()), want, took)
	}
}

// Guards against a thousand calls without effect while the store is unavailable.
func TestFewVMsCallUnavailableStore(t *testing.T) {
	assert.Equal(t, countReaders(60, nil, maxFreshAge), fallbackReaders)
	assert.Equal(t, countReaders(60, nil, maxFreshAge+2*fallbackDoublingTime), 4*fallbackReaders)
	assert.Equal(t, countReaders(60, nil, maxFreshAge+3*fallbackDoublingTime), 32, "the active set")
	assert.Equal(t, countReaders(60, nil, maxFreshAge+standbyReportDelay+3*fallbackDoublingTime), 60, "all")
}

// Guards against leaving endpoints that get work because the store rejects both readers.
func TestReadersRejectedByStoreAreReplaced(t *testing.T) {
	const vms = 10
	order := make([]Node, vms)
	for i := range order {
		order[i] = node(i)
	}
	slices.SortFunc(order, func(a, b Node) int {
		if readsBefore(&a, &b) {
			return -1
		}
		return 1
	})
	isReader := func(own int, stale map[int]bool) bool {
		m := settled(order[own])
		for i, n := range order {
			age := uint32(1)
			if stale[i] {
				age = uint32(maxFreshAge.Milliseconds()) + 1
			}
			if i != own {
				m.receiveLoad(loadReport{Record: swim.Record{Node: n, Ready: true}, readAgeMs: age})
			}
		}
		return m.ReadInterval() == readerPause
	}
	for own := range vms {
		assert.Equal(t, isReader(own, nil), own < entryReaders, "readers accepted, VM %d", own)
		assert.Equal(t, isReader(own, map[int]bool{0: true, 1: true}), own < 2*entryReaders, "readers rejected, VM %d", own)
	}
}

// Guards against a small VM as a reader, which takes seconds to forward a large configuration.
func TestLargeVMsReadForSmallOnes(t *testing.T) {
	m := settled(node(0))
	m.own.Capacity = 30
	for i := 1; i <= configReaders; i++ {
		n := node(i)
		n.Capacity = 360
		m.receiveLoad(loadReport{Record: swim.Record{Node: n, Ready: true}, readAgeMs: 1})
	}
	assert.Assert(t, !m.IsConfigReader())
	assert.Assert(t, m.ReadInterval() >= minIdleReadPause)
	m.own.Capacity = 400
	assert.Assert(t, m.IsConfigReader())
	assert.Equal(t, m.ReadInterval(), readerPause)
}

// Guards against each VM taking itself for the first in the reading order when it starts, with an
// incomplete table.
func TestStartingVMDoesNotReadForAll(t *testing.T) {
	c, m := newMembers()
	assert.Assert(t, m.ReadInterval() >= minIdleReadPause)
	assert.Assert(t, !m.IsConfigReader())
	c.T = c.T.Add(settleTime)
	assert.Equal(t, m.ReadInterval(), readerPause)
	assert.Assert(t, m.IsConfigReader())
}

// Guards against an active set so large that its beats are seconds apart: each VM of it would take
// all others for unresponsive, and read for all.
func TestLargeActiveSetKeepsItsReaders(t *testing.T) {
	const vms = 300
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, sized(0))
	m.SetReady(true)
	beat := func() {
		for i := 1; i < vms; i++ {
			r := swim.Record{Node: sized(i), Version: 1, Ready: true, Requests: 50}
			m.receiveLoad(loadReport{Record: r, readAgeMs: 1})
		}
	}
	beat()
	c.T = c.T.Add(settleTime)
	beat()
	assert.Assert(t, len(m.selectVMs(c.T).active) > 100)
	period := beatPeriodFor(vms, true)
	assert.Assert(t, period > silenceTimeout)
	c.T = c.T.Add(period)
	assert.Assert(t, m.ReadInterval() >= minIdleReadPause)
	assert.Assert(t, !m.IsConfigReader())
}
