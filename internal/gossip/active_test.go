package gossip

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/clock"
	"fescuestand/internal/swim"
)

// sized is a VM that can take a hundred requests a second.
func sized(i int) Node {
	n := node(i)
	n.Capacity = 100
	return n
}

// many returns a VM among n that all have told of themselves, and whose rate is known.
func many(n, own int) (*clock.Manual, *Members) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, sized(own))
	m.SetReady(true)
	for i := range n {
		if i != own {
			m.receive(&swim.Message{From: swim.Record{Node: sized(i), Version: 1, Ready: true, Requests: 1}})
		}
	}
	return c, m
}

// standby is the number of a VM among n that isn't one of the active set.
func standby(t *testing.T, n int) int {
	t.Helper()
	for own := range n {
		if _, m := many(n, own); !m.IsActive() {
			return own
		}
	}
	t.Fatal("all are the active set")
	return 0
}

// Guards against beats from all to all: at 195 VMs they were ten times the requests.
func TestOnlyActiveVMsTellTheirLoad(t *testing.T) {
	const vms = 195
	telling := 0
	for own := range vms {
		_, m := many(vms, own)
		if n := len(m.beatTargets(false)); n > 0 {
			telling++
			assert.Equal(t, n, 15)
		}
	}
	assert.Equal(t, telling, 16)
}

// Guards against a VM that serves callers who keep an old address answer, and whose load
// nobody knows; it must be told the others' as well.
func TestAVMThatServesTellsItsLoadAlsoOutsideTheActiveSet(t *testing.T) {
	_, m := many(60, standby(t, 60))
	assert.Equal(t, len(m.beatTargets(true)), 16)

	_, f := many(60, 0)
	outside := sized(59)
	before := f.beatTargets(false)
	assert.Assert(t, !slices.Contains(before, outside.Peer))
	f.hear(heard{Record: swim.Record{Node: outside, Version: 1, Ready: true}, busy: true})
	assert.Assert(t, slices.Contains(f.beatTargets(false), outside.Peer))
}

// Guards against callers being named a VM whose beats have ended while probes that would
// find it are seconds away.
func TestActiveVMsFindASilentOneByItsBeats(t *testing.T) {
	c, m := many(60, 0)
	targets := m.beatTargets(false)
	lost := targets[0]
	for range 14 {
		c.T = c.T.Add(beatPeriod)
		for _, peer := range targets[1:] {
			r := m.list.Entries()[peer].Record
			m.hear(heard{Record: r})
		}
		m.beatTargets(false)
	}
	assert.Assert(t, m.list.Entries()[lost].Silent, "it is told to the others")
	assert.Assert(t, !m.list.Entries()[targets[1]].Silent)
	_, still := m.choose(c.T).active[lost]
	assert.Assert(t, !still)
}

// Guards against a VM that wakes from a suspension and accuses the whole active set.
func TestAVMThatWakesAccusesNobody(t *testing.T) {
	c, m := many(60, 0)
	targets := m.beatTargets(false)
	c.T = c.T.Add(5 * time.Second)
	m.receive(&swim.Message{From: m.list.Entries()[targets[0]].Record})
	m.beatTargets(false)
	for _, peer := range targets {
		assert.Assert(t, !m.list.Entries()[peer].Silent, peer)
	}
}

// Guards against calls of the store that grow with the number of VMs: each renewal of
// each VM was one.
func TestAVMOutsideTheActiveSetDoesNotJoinUnlessItHoldsTheDuty(t *testing.T) {
	g := &group{}
	c, m := many(60, standby(t, 60))
	c.T = c.T.Add(knownAfter)
	r := NewRegistration(g, m, func(clock.Time, Assignment) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	defer func() { cancel(); <-done }()
	assert.Assert(t, clock.Sleep(t.Context(), 2*outsidePeriod))
	joins := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.joins
	}
	assert.Equal(t, joins(), 0)
	m.SetLeader(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if joins() > 0 {
			return poll.Success()
		}
		return poll.Continue("not joined")
	})
}

// Guards against the duty being dealt to VMs that start with all others and don't stay in
// the group: nobody gives orders until it lapses and the next holder has waited.
func TestAVMThatStartsJoinsOnlyIfItIsToStay(t *testing.T) {
	joins := func(m *Members) bool {
		return NewRegistration(&group{}, m, func(clock.Time, Assignment) {}).wanted()
	}
	c, m := newMembers()
	assert.Assert(t, !joins(m), "others may be first")
	c.T = c.T.Add(joinSpread)
	assert.Assert(t, joins(m), "nobody else is known")

	c, m = many(60, standby(t, 60))
	c.T = c.T.Add(knownAfter)
	assert.Assert(t, !joins(m))
	m.MergeListed([]Node{m.own})
	assert.Assert(t, joins(m), "an earlier process of it may hold the duty")

	c, m = many(60, 0)
	assert.Assert(t, m.IsActive())
	assert.Assert(t, !joins(m), "it can't know yet")
	c.T = c.T.Add(knownAfter)
	assert.Assert(t, joins(m))
}

// Guards against a member that is dealt its part and makes no use of it: it leaves when
// others have taken its place in the active set for good.
func TestAVMLeavesTheGroupSomeTimeAfterTheActiveSet(t *testing.T) {
	c, m := many(60, 0)
	r := NewRegistration(&group{}, m, func(clock.Time, Assignment) {})
	assert.Assert(t, !r.superfluous())
	outside := standby(t, 60)
	c2, m2 := many(60, outside)
	r2 := NewRegistration(&group{}, m2, func(clock.Time, Assignment) {})
	assert.Assert(t, !r2.superfluous())
	c.T, c2.T = c.T.Add(leaveAfter+1), c2.T.Add(leaveAfter+1)
	assert.Assert(t, !r.superfluous())
	assert.Assert(t, r2.superfluous())
	m2.SetLeader(true)
	assert.Assert(t, !r2.superfluous())
}

// Guards against endpoints that nobody reads: the whole active set may be turned away by the
// store, or be gone.
func TestVMsOutsideTheActiveSetReadWhenNobodyElseDoes(t *testing.T) {
	c, m := many(60, standby(t, 60))
	c.T = c.T.Add(settleFor)
	m.hearRead(1)
	assert.Assert(t, m.ReadInterval() >= idlePause)
	c.T = c.T.Add(freshRead + toldLate - time.Millisecond)
	assert.Assert(t, m.ReadInterval() >= idlePause)
	c.T = c.T.Add(4 * standInStep)
	assert.Equal(t, m.ReadInterval(), leadPause)
}

// Guards against a rate that wavers being told to all VMs several times a second.
func TestSmallChangesOfTheRateAreNotTold(t *testing.T) {
	_, m := many(60, 0)
	told := func(rate uint32) uint32 {
		m.setRequests(rate)
		r := m.ownRecord()
		return r.Requests
	}
	assert.Equal(t, told(1), uint32(1))
	assert.Equal(t, told(6), uint32(1))
	assert.Equal(t, told(40), uint32(40))
	assert.Equal(t, told(49), uint32(40))
	assert.Equal(t, told(51), uint32(51))
	assert.Equal(t, told(0), uint32(0))
}

// Guards against VMs that once got a few requests and go on telling so: hundreds of them
// make the load look twice as high, and as many VMs are named.
func TestAVMThatIsNotNamedTellsNoSmallRate(t *testing.T) {
	_, m := many(60, standby(t, 60))
	m.setRequests(4)
	assert.Equal(t, m.ownRecord().Requests, uint32(0))
	m.setRequests(30)
	assert.Equal(t, m.ownRecord().Requests, uint32(30), "callers keep an old address answer")
	m.setRequests(3)
	assert.Equal(t, m.ownRecord().Requests, uint32(0))
}
