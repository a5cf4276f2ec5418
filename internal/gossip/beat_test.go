package gossip

import (
	"context"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/clock"
	"fescuestand/internal/standin/loopback"
	"fescuestand/internal/swim"
	"fescuestand/internal/wire"
)

// hub collects what beats carry besides membership.
type hub struct {
	mu   sync.Mutex
	seen []*wire.Beat
}

func (h *hub) Fill(b *wire.Beat) { b.ConfigVersion = 7 }

func (h *hub) DueUsage() []*wire.UsageWindow { return nil }

func (h *hub) FillUpdates(b *wire.Beat) { b.ConfigVersion = 7 }

func (h *hub) Receive(_ string, b *wire.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, b)
}

func (h *hub) cached() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, b := range h.seen {
		n += len(b.GetCached())
	}
	return n
}

// start runs a unit on a free port of the loopback and returns its address.
func start(t *testing.T, h *hub) (*Unit, *Members) {
	t.Helper()
	return startKnowing(t, h, nil)
}

// startKnowing runs a unit that keeps knowledge new.
func startKnowing(t *testing.T, h *hub, k ConfigFreshness) (*Unit, *Members) {
	t.Helper()
	addr := loopback.FreeAddress()
	m := NewMembers(clock.Boot{}, Node{Incarnation: addr, Caller: addr, Peer: addr})
	m.SetReady(true)
	u := NewUnit(m, h)
	u.Freshness = k
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, u.Provision(ctx))
	done := make(chan struct{})
	go func() { defer close(done); _ = u.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; assert.NilError(t, u.Close()) })
	return u, m
}

func TestBeatsIntroduceAndTell(t *testing.T) {
	var ha, hb hub
	a, ma := start(t, &ha)
	_, mb := start(t, &hb)
	ma.MergeListed([]Node{mb.own})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(mb.AdvertisedAddresses("")) == 2 && len(ma.AdvertisedAddresses("")) == 2 {
			return poll.Success()
		}
		return poll.Continue("not yet")
	})
	a.QueueUpdate(func(b *wire.Beat) { b.Cached = append(b.Cached, &wire.CachedPrefix{Endpoint: 7}) })
	a.SendEarly()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hb.cached() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d told", hb.cached())
	})
	assert.NilError(t, a.Drain(t.Context()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(mb.AdvertisedAddresses("")) == 1 {
			return poll.Success()
		}
		return poll.Continue("still named")
	})
}

// Guards against load being told early to VMs that don't serve, and against a crash that
// some aren't told.
func TestEarlyLoadGoesToVMsThatServeAndNewsToAll(t *testing.T) {
	c, m := newMembers()
	m.hear(heard{Record: swim.Record{Node: node(1), Ready: true}, busy: true})
	m.hear(heard{Record: swim.Record{Node: node(2), Ready: true}})
	assert.DeepEqual(t, m.busy(), []string{"10.0.0.1:2"})
	c.T = c.T.Add(busyFor)
	assert.Equal(t, len(m.busy()), 0)

	u := NewUnit(m, &hub{})
	u.QueueUpdate(func(b *wire.Beat) {
		b.Cached = append(b.Cached, &wire.CachedPrefix{Endpoint: 7})
		b.Crashes = append(b.Crashes, &wire.Crash{Request: 1})
		b.Changing = append(b.Changing, "e")
	})
	var early, late wire.Beat
	u.take(&early, false)
	u.take(&late, true)
	assert.Equal(t, len(early.GetCached()), 1)
	assert.Equal(t, len(early.GetCrashes())+len(early.GetChanging()), 0)
	assert.Equal(t, len(late.GetCrashes())+len(late.GetChanging()), 2)
	assert.Equal(t, len(late.GetCached()), 0)

	u.SendEarlyToBusy()
	assert.Assert(t, !u.allWanted())
	u.SendEarly()
	assert.Assert(t, u.allWanted())
	assert.Assert(t, !u.allWanted(), "once")
}

// Guards against torn datagrams, or those of other programs, that stop the beats.
func TestForeignDatagramsAreDropped(t *testing.T) {
	var h hub
	u, m := start(t, &h)
	c, err := net.Dial("udp4", m.own.Peer)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	for _, junk := range []string{"", "\xff\xff\xff", "hello"} {
		_, err := c.Write([]byte(junk))
		assert.NilError(t, err)
	}
	var other hub
	_, mo := start(t, &other)
	mo.MergeListed([]Node{u.members.own})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if m.Count() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d members", m.Count())
	})
}
