package gossip

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/swim"
)

// settled returns a VM that has run for a while.
func settled(own Node) *Members {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, own)
	c.T = c.T.Add(settleFor)
	return m
}

// pauses gives each of n VMs the same beats and returns how many of them read
// often. Those in lost are not heard, and their own views don't count.
func pauses(n int, lost map[int]bool, age time.Duration) int {
	often := 0
	for own := range n {
		if lost[own] {
			continue
		}
		m := settled(node(own))
		for i := range n {
			if i != own && !lost[i] {
				m.hear(heard{Record: swim.Record{Node: node(i), Ready: true}, readAgeMs: uint32(age.Milliseconds()) + 1})
			}
		}
		if m.ReadInterval() == leadPause {
			often++
		}
	}
	return often
}

// Guards against all VMs reading the store, and against nobody reading it after the readers
// are lost.
func TestAFewVMsReadForAll(t *testing.T) {
	assert.Equal(t, pauses(60, nil, 0), readers)
	assert.Equal(t, pauses(60, map[int]bool{1: true, 2: true, 3: true, 4: true, 5: true}, 0), readers)
	assert.Equal(t, pauses(1, nil, 0), 1)
	assert.Equal(t, pauses(8, nil, freshRead), 8)
}

// Guards against a thousand calls that do nothing while the store is away.
func TestAStoreThatIsAwayIsCalledByFew(t *testing.T) {
	assert.Equal(t, pauses(60, nil, freshRead), standIns)
	assert.Equal(t, pauses(60, nil, freshRead+2*standInStep), 4*standIns)
	assert.Equal(t, pauses(60, nil, freshRead+3*standInStep), 32, "the active set")
	assert.Equal(t, pauses(60, nil, freshRead+toldLate+3*standInStep), 60, "all")
}

// Guards against leaving endpoints that get work because the store turns the two readers
// away.
func TestReadersThatTheStoreTurnsAwayAreReplaced(t *testing.T) {
	const vms = 10
	order := make([]Node, vms)
	for i := range order {
		order[i] = node(i)
	}
	slices.SortFunc(order, func(a, b Node) int {
		if precedes(&a, &b) {
			return -1
		}
		return 1
	})
	lead := func(own int, stale map[int]bool) bool {
		m := settled(order[own])
		for i, n := range order {
			age := uint32(1)
			if stale[i] {
				age = uint32(freshRead.Milliseconds()) + 1
			}
			if i != own {
				m.hear(heard{Record: swim.Record{Node: n, Ready: true}, readAgeMs: age})
			}
		}
		return m.ReadInterval() == leadPause
	}
	for own := range vms {
		assert.Equal(t, lead(own, nil), own < readers, "at rest, %d", own)
		assert.Equal(t, lead(own, map[int]bool{0: true, 1: true}), own < 2*readers, "readers turned away, %d", own)
	}
}

// Guards against a small VM that passes a large configuration on for seconds.
func TestLargeVMsReadForTheSmallOnes(t *testing.T) {
	m := settled(node(0))
	m.own.Capacity = 30
	for i := 1; i <= configReaders; i++ {
		n := node(i)
		n.Capacity = 360
		m.hear(heard{Record: swim.Record{Node: n, Ready: true}, readAgeMs: 1})
	}
	assert.Assert(t, !m.IsConfigReader())
	assert.Assert(t, m.ReadInterval() >= idlePause)
	m.own.Capacity = 400
	assert.Assert(t, m.IsConfigReader())
	assert.Equal(t, m.ReadInterval(), leadPause)
}

// Guards against each VM taking itself for the first of all when it starts.
func TestAVMThatHasJustStartedDoesNotReadForAll(t *testing.T) {
	c, m := newMembers()
	assert.Assert(t, m.ReadInterval() >= idlePause)
	assert.Assert(t, !m.IsConfigReader())
	c.T = c.T.Add(settleFor)
	assert.Equal(t, m.ReadInterval(), leadPause)
	assert.Assert(t, m.IsConfigReader())
}

// Guards against an active set so large that its beats come seconds apart: each VM of it
// would hear nobody, and read for all.
func TestALargeActiveSetKeepsItsReaders(t *testing.T) {
	const vms = 300
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, sized(0))
	m.SetReady(true)
	beat := func() {
		for i := 1; i < vms; i++ {
			r := swim.Record{Node: sized(i), Version: 1, Ready: true, Requests: 50}
			m.hear(heard{Record: r, readAgeMs: 1})
		}
	}
	beat()
	c.T = c.T.Add(settleFor)
	beat()
	assert.Assert(t, len(m.choose(c.T).active) > 100)
	period := beatPeriodFor(vms, true)
	assert.Assert(t, period > silence)
	c.T = c.T.Add(period)
	assert.Assert(t, m.ReadInterval() >= idlePause)
	assert.Assert(t, !m.IsConfigReader())
}
