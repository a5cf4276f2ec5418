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

// hub is a Content that collects the received beats.
type hub struct {
	mu       sync.Mutex
	received []*wire.Beat
}

func (h *hub) Fill(b *wire.Beat) { b.ConfigVersion = 7 }

func (h *hub) DueUsage() []*wire.UsageWindow { return nil }

func (h *hub) FillUpdates(b *wire.Beat) { b.ConfigVersion = 7 }

func (h *hub) Receive(_ string, b *wire.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, b)
}

func (h *hub) cached() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, b := range h.received {
		n += len(b.GetCached())
	}
	return n
}

// start runs a unit on a free port of the loopback and returns its address.
func start(t *testing.T, h *hub) (*Unit, *Members) {
	t.Helper()
	return startWithFreshness(t, h, nil)
}

// startWithFreshness runs a unit that keeps freshness up to date.
func startWithFreshness(t *testing.T, h *hub, freshness ConfigFreshness) (*Unit, *Members) {
	t.Helper()
	addr := loopback.FreeAddress()
	m := NewMembers(clock.Boot{}, Node{Incarnation: addr, Caller: addr, Peer: addr})
	m.SetReady(true)
	u := NewUnit(m, h)
	u.Freshness = freshness
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, u.Provision(ctx))
	done := make(chan struct{})
	go func() { defer close(done); _ = u.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; assert.NilError(t, u.Close()) })
	return u, m
}

// Guards against VMs that one list entry doesn't introduce to each other, against queued updates
// that aren't sent, and against a leaving VM that is still advertised.
func TestBeatsIntroduceVMsAndCarryUpdates(t *testing.T) {
	var ha, hb hub
	a, ma := start(t, &ha)
	_, mb := start(t, &hb)
	ma.MergeListed([]Node{mb.own})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(mb.AdvertisedAddresses("")) == 2 && len(ma.AdvertisedAddresses("")) == 2 {
			return poll.Success()
		}
		return poll.Continue("a VM is not advertised yet")
	})
	a.QueueUpdate(func(b *wire.Beat) { b.Cached = append(b.Cached, &wire.CachedPrefix{Endpoint: 7}) })
	a.SendEarly()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hb.cached() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d prefixes received", hb.cached())
	})
	assert.NilError(t, a.Drain(t.Context()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(mb.AdvertisedAddresses("")) == 1 {
			return poll.Success()
		}
		return poll.Continue("the leaving VM is still advertised")
	})
}

// Guards against early load beats to VMs that don't serve callers, and against a crash update that
// some VMs don't receive.
func TestEarlyLoadGoesToBusyVMsAndUpdatesToAll(t *testing.T) {
	c, m := newMembers()
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(1), Ready: true}, busy: true})
	m.receiveLoad(loadReport{Record: swim.Record{Node: node(2), Ready: true}})
	assert.DeepEqual(t, m.busyPeers(), []string{"10.0.0.1:2"})
	c.T = c.T.Add(busyWindow)
	assert.Equal(t, len(m.busyPeers()), 0)

	u := NewUnit(m, &hub{})
	u.QueueUpdate(func(b *wire.Beat) {
		b.Cached = append(b.Cached, &wire.CachedPrefix{Endpoint: 7})
		b.Crashes = append(b.Crashes, &wire.Crash{Request: 1})
		b.Changing = append(b.Changing, "e")
	})
	var early, late wire.Beat
	u.addQueued(&early, false)
	u.addQueued(&late, true)
	assert.Equal(t, len(early.GetCached()), 1)
	assert.Equal(t, len(early.GetCrashes())+len(early.GetChanging()), 0)
	assert.Equal(t, len(late.GetCrashes())+len(late.GetChanging()), 2)
	assert.Equal(t, len(late.GetCached()), 0)

	u.SendEarlyToBusy()
	assert.Assert(t, !u.takeEarlyToAll())
	u.SendEarly()
	assert.Assert(t, u.takeEarlyToAll())
	assert.Assert(t, !u.takeEarlyToAll(), "once")
}

// Guards against truncated datagrams, or those of other programs, that stop the receiver.
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
