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

// sized returns a VM that can take a hundred requests a second.
func sized(i int) Node {
	n := node(i)
	n.Capacity = 100
	return n
}

// many returns the table of VM own among n VMs that have all announced themselves and their rate.
func many(n, own int) (*clock.Manual, *Members) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, sized(own))
	m.SetReady(true)
	for i := range n {
		if i != own {
			m.receiveProbe(&swim.Message{From: swim.Record{Node: sized(i), Version: 1, Ready: true, Requests: 1}})
		}
	}
	return c, m
}

// standby returns the number of a VM among n that isn't in the active set.
func standby(t *testing.T, n int) int {
	t.Helper()
	for own := range n {
		if _, m := many(n, own); !m.IsActive() {
			return own
		}
	}
	t.Fatal("all VMs are in the active set")
	return 0
}

// Guards against beats from all VMs to all: at 195 VMs they were ten times the requests.
func TestOnlyActiveVMsSendLoad(t *testing.T) {
	const vms = 195
	senders := 0
	for own := range vms {
		_, m := many(vms, own)
		if n := len(m.beatTargets(false)); n > 0 {
			senders++
			assert.Equal(t, n, 15)
		}
	}
	assert.Equal(t, senders, 16)
}

// Guards against uncounted load: a VM outside the active set serves callers that still use an old
// address answer. It must send its load, and receive that of the others.
func TestServingVMOutsideActiveSetSendsLoad(t *testing.T) {
	_, m := many(60, standby(t, 60))
	assert.Equal(t, len(m.beatTargets(true)), 16)

	_, f := many(60, 0)
	outside := sized(59)
	before := f.beatTargets(false)
	assert.Assert(t, !slices.Contains(before, outside.Peer))
	f.receiveLoad(loadReport{Record: swim.Record{Node: outside, Version: 1, Ready: true}, busy: true})
	assert.Assert(t, slices.Contains(f.beatTargets(false), outside.Peer))
}

// Guards against a failed VM being advertised to callers for seconds, until a probe reaches it: the
// active set must detect the failure by missing beats.
func TestMissingBeatsMarkActiveVMFailed(t *testing.T) {
	c, m := many(60, 0)
	targets := m.beatTargets(false)
	lost := targets[0]
	for range 14 {
		c.T = c.T.Add(beatPeriod)
		for _, peer := range targets[1:] {
			r := m.detector.Entries()[peer].Record
			m.receiveLoad(loadReport{Record: r})
		}
		m.beatTargets(false)
	}
	assert.Assert(t, m.detector.Entries()[lost].Silent, "the failure is announced to the others")
	assert.Assert(t, !m.detector.Entries()[targets[1]].Silent)
	_, still := m.selectVMs(c.T).active[lost]
	assert.Assert(t, !still)
}

// Guards against a VM that resumes from a suspension and declares the whole active set failed,
// whose beats still wait in its socket.
func TestResumedVMAccusesNobody(t *testing.T) {
	c, m := many(60, 0)
	targets := m.beatTargets(false)
	c.T = c.T.Add(5 * time.Second)
	m.receiveProbe(&swim.Message{From: m.detector.Entries()[targets[0]].Record})
	m.beatTargets(false)
	for _, peer := range targets {
		assert.Assert(t, !m.detector.Entries()[peer].Silent, peer)
	}
}

// Guards against calls of the store that grow with the number of VMs, as each renewal of each
// member is one.
func TestStandbyVMJoinsGroupOnlyAsLeader(t *testing.T) {
	g := &group{}
	c, m := many(60, standby(t, 60))
	c.T = c.T.Add(discoveryTime)
	r := NewRegistration(g, m, func(clock.Time, Assignment) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	defer func() { cancel(); <-done }()
	assert.Assert(t, clock.Sleep(t.Context(), 2*joinCheckPeriod))
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

// Guards against leadership being assigned to a VM that starts with all others and doesn't stay in
// the group: there is no leader until the assignment expires and the next leader has waited.
func TestStartingVMJoinsGroupOnlyIfItWillStay(t *testing.T) {
	joins := func(m *Members) bool {
		return NewRegistration(&group{}, m, func(clock.Time, Assignment) {}).shouldJoin()
	}
	c, m := newMembers()
	assert.Assert(t, !joins(m), "others may be first")
	c.T = c.T.Add(joinJitter)
	assert.Assert(t, joins(m), "it has no peers")

	c, m = many(60, standby(t, 60))
	c.T = c.T.Add(discoveryTime)
	assert.Assert(t, !joins(m))
	m.MergeListed([]Node{m.own})
	assert.Assert(t, joins(m), "an earlier process of it may be the leader")

	c, m = many(60, 0)
	assert.Assert(t, m.IsActive())
	assert.Assert(t, !joins(m), "its table may be incomplete")
	c.T = c.T.Add(discoveryTime)
	assert.Assert(t, joins(m))
}

// Guards against a member that doesn't use its assignment: it must leave the group when other VMs
// have replaced it in the active set for longer than leaveDelay.
func TestVMLeavesGroupAfterLeavingActiveSet(t *testing.T) {
	c, m := many(60, 0)
	r := NewRegistration(&group{}, m, func(clock.Time, Assignment) {})
	assert.Assert(t, !r.shouldLeave())
	outside := standby(t, 60)
	c2, m2 := many(60, outside)
	r2 := NewRegistration(&group{}, m2, func(clock.Time, Assignment) {})
	assert.Assert(t, !r2.shouldLeave())
	c.T, c2.T = c.T.Add(leaveDelay+1), c2.T.Add(leaveDelay+1)
	assert.Assert(t, !r.shouldLeave())
	assert.Assert(t, r2.shouldLeave())
	m2.SetLeader(true)
	assert.Assert(t, !r2.shouldLeave())
}

// Guards against endpoints' entries that nobody reads, because the store rejects the whole active
// set or the set has failed.
func TestStandbyVMsReadWhenNoViewIsFresh(t *testing.T) {
	c, m := many(60, standby(t, 60))
	c.T = c.T.Add(settleTime)
	m.mergeNewestRead(1)
	assert.Assert(t, m.ReadInterval() >= minIdleReadPause)
	c.T = c.T.Add(maxFreshAge + standbyReportDelay - time.Millisecond)
	assert.Assert(t, m.ReadInterval() >= minIdleReadPause)
	c.T = c.T.Add(4 * fallbackDoublingTime)
	assert.Equal(t, m.ReadInterval(), readerPause)
}

// Guards against a fluctuating request rate being announced to all VMs several times a second.
func TestSmallRateChangesAreNotAnnounced(t *testing.T) {
	_, m := many(60, 0)
	announced := func(rate uint32) uint32 {
		m.setRequestRate(rate)
		r := m.ownRecord()
		return r.Requests
	}
	assert.Equal(t, announced(1), uint32(1))
	assert.Equal(t, announced(6), uint32(1))
	assert.Equal(t, announced(40), uint32(40))
	assert.Equal(t, announced(49), uint32(40))
	assert.Equal(t, announced(51), uint32(51))
	assert.Equal(t, announced(0), uint32(0))
}

// Guards against VMs that once got a few requests and still announce that rate: with hundreds of
// them the load looks twice as high, and more VMs are advertised than needed.
func TestUnadvertisedVMAnnouncesNoSmallRate(t *testing.T) {
	_, m := many(60, standby(t, 60))
	m.setRequestRate(4)
	assert.Equal(t, m.ownRecord().Requests, uint32(0))
	m.setRequestRate(30)
	assert.Equal(t, m.ownRecord().Requests, uint32(30), "callers still use an old address answer")
	m.setRequestRate(3)
	assert.Equal(t, m.ownRecord().Requests, uint32(0))
}
