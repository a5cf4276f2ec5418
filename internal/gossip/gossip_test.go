package gossip

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/clock"
	"fescuestand/internal/swim"
)

func node(i int) Node {
	return Node{
		Incarnation: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%2),
		Caller: fmt.Sprintf("10.0.0.%d:1", i), Peer: fmt.Sprintf("10.0.0.%d:2", i),
	}
}

func newMembers() (*clock.Manual, *Members) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	m := NewMembers(c, node(0))
	m.SetReady(true)
	return c, m
}

func TestCallersAreSentToTheirZoneFirst(t *testing.T) {
	_, m := newMembers()
	for i := 1; i < 4; i++ {
		m.receiveLoad(loadReport{Record: swim.Record{Node: node(i), Ready: true}})
	}
	assert.DeepEqual(t, m.AdvertisedAddresses("z1"), []string{"10.0.0.1:1", "10.0.0.3:1", "10.0.0.0:1", "10.0.0.2:1"})
}

// Guards against a low load being spread over all VMs, and against an unresponsive VM among the
// advertised ones.
func TestLowLoadAdvertisesFewVMs(t *testing.T) {
	c, m := newMembers()
	m.own.Capacity = 100
	beat := func(from int) {
		for i := from; i < 8; i++ {
			n := node(i)
			n.Capacity = 100
			m.receiveLoad(loadReport{Record: swim.Record{Node: n, Ready: true, Requests: 2}})
		}
	}
	beat(1)
	assert.DeepEqual(t, m.AdvertisedAddresses("z0"), []string{"10.0.0.0:1", "10.0.0.2:1", "10.0.0.1:1"})
	c.T = c.T.Add(silenceTimeout)
	beat(2)
	assert.DeepEqual(t, m.AdvertisedAddresses("z0"), []string{"10.0.0.0:1", "10.0.0.2:1", "10.0.0.3:1"})
}

// Guards against callers being sent to a VM that shuts down before it can finish their requests.
func TestLeavingVMIsNotAdvertised(t *testing.T) {
	_, m := newMembers()
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true}})
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true, Leaving: true}})
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(2)}})
	assert.DeepEqual(t, m.AdvertisedAddresses(""), []string{"10.0.0.0:1"})
	m.SetLeaving()
	assert.Equal(t, len(m.AdvertisedAddresses("")), 0)
	assert.Assert(t, !m.Ready())
}

// Guards against callers being sent to a frozen VM for as long as the group lists it.
func TestUnresponsiveVMIsNotAdvertised(t *testing.T) {
	c, m := newMembers()
	m.MergeListed([]Node{node(1)})
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true}})
	c.T = c.T.Add(silenceTimeout)
	m.MergeListed([]Node{node(1)})
	assert.DeepEqual(t, m.AdvertisedAddresses(""), []string{"10.0.0.0:1"})
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true}})
	assert.Equal(t, len(m.AdvertisedAddresses("")), 2)
}

// How long a listed VM that never sent a datagram counts as alive, and until it is then evicted.
const (
	unheardTimeout = 2 * time.Second
	evictAfter     = 10 * time.Second
)

// Guards against all callers being sent to one VM while all VMs start at once.
func TestListedVMCountsUntilUnheardTimeout(t *testing.T) {
	c, m := newMembers()
	m.MergeListed([]Node{node(0), node(1)})
	assert.Equal(t, len(m.AdvertisedAddresses("")), 2)
	assert.Equal(t, m.Count(), 2)
	c.T = c.T.Add(unheardTimeout)
	assert.Equal(t, len(m.AdvertisedAddresses("")), 1)
	c.T = c.T.Add(evictAfter)
	m.MergeListed([]Node{node(0)})
	assert.Equal(t, m.Count(), 1)
	assert.Assert(t, !m.HasPeers())
}

// group is a Group that can be unavailable.
type group struct {
	mu    sync.Mutex
	list  []Node
	down  bool
	joins int
}

var errDown = errors.New("down")

func (g *group) Join(_ context.Context, n Node, _ time.Duration) (Assignment, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joins++
	if g.down {
		return Assignment{}, errDown
	}
	g.list = append(g.list, n)
	return Assignment{Leader: true, Generation: 3}, nil
}

func (g *group) Members(context.Context) ([]Node, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return nil, errDown
	}
	return append([]Node(nil), g.list...), nil
}

func (g *group) Leave(context.Context, Node) error { return errDown }

// Guards against a VM that never joins the group because the store was unavailable at its start.
func TestRegistrationSurvivesStoreOutage(t *testing.T) {
	g := &group{down: true, list: []Node{node(5)}}
	c, m := newMembers()
	c.T = c.T.Add(joinJitter)
	renewed := make(chan Assignment, 8)
	r := NewRegistration(g, m, func(_ clock.Time, a Assignment) { renewed <- a })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	defer func() { cancel(); <-done }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.joins < 2 {
			return poll.Continue("%d tries", g.joins)
		}
		g.down = false
		return poll.Success()
	})
	assert.DeepEqual(t, <-renewed, Assignment{Leader: true, Generation: 3})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m.HasPeers() {
			return poll.Success()
		}
		return poll.Continue("not listed")
	})
	assert.NilError(t, r.Drain(t.Context()), "a failed leave call doesn't fail the drain")
}

// Guards against callers being sent to a VM that reaches no endpoint while others do, and against
// advertising no VM at all if none does.
func TestVMsThatReachNoEndpointAreAdvertisedLast(t *testing.T) {
	_, m := newMembers()
	own, other := "10.0.0.0:1", "10.0.0.1:1"
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true, CutOff: true}})
	assert.DeepEqual(t, m.AdvertisedAddresses("z0"), []string{own})
	assert.Equal(t, len(m.RelayTargets()), 0)
	m.SetCutOff(true)
	assert.DeepEqual(t, m.AdvertisedAddresses("z0"), []string{own, other})
	assert.Equal(t, len(m.RelayTargets()), 0)
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true}})
	assert.DeepEqual(t, m.AdvertisedAddresses("z0"), []string{other})
	assert.DeepEqual(t, m.RelayTargets(), []string{other})
	m.SetCutOff(false)
	assert.DeepEqual(t, m.AdvertisedAddresses("z0"), []string{own, other})
}
