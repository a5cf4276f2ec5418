package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/network"
	"fescuestand/internal/wire"
)

const (
	// beatPeriod is the time between two beats in a small deployment. VMs then have each other's
	// outstanding work within a tenth of the time that a caller waits for a first event.
	beatPeriod = 100 * time.Millisecond
	// periodPerTarget lengthens the period with the number of targets, so that a VM sends and
	// receives at most 330 datagrams a second, 2% of a core.
	periodPerTarget = 3 * time.Millisecond
	// idlePeriodFactor lengthens the period of a VM that has nothing outstanding.
	idlePeriodFactor = 2
	// earlyBeatDivisor of the period is the delay before an early beat, which carries something
	// urgent: a long prefill that other VMs must count.
	earlyBeatDivisor = 8
	// MaxDatagramBytes is several times the usual packet size limit, and bounds the prefixes and
	// members in a beat.
	MaxDatagramBytes = 32 << 10
	// maxQueuedUpdates bounds what one beat carries in addition to the load.
	maxQueuedUpdates = 128
)

// Content fills and receives the parts of a beat that belong to other packages.
type Content interface {
	// Fill adds what this VM sends to the active set: its load and pending updates.
	Fill(b *wire.Beat)
	// FillUpdates adds the pending updates for all VMs.
	FillUpdates(b *wire.Beat)
	// DueUsage returns the usage counts that are due to be sent to a few VMs.
	DueUsage() []*wire.UsageWindow
	// Receive handles a beat of the VM with the given address.
	Receive(from string, b *wire.Beat)
}

// Unit sends and receives beats. It is a kernel unit.
type Unit struct {
	// Freshness is kept up to date by querying other VMs, unless it is nil.
	Freshness ConfigFreshness
	// ReceiveAboutStreams is called with the datagrams of other VMs that SendAboutStreams has sent, unless it
	// is nil.
	ReceiveAboutStreams func(from string, b *wire.Beat)
	// Network is that of the machine. Another one is set before Provision.
	Network network.Network

	members       *Members
	content       Content
	pc            net.PacketConn
	listenAddress string

	// Of the goroutine that sends beats:
	idle        bool      // the last beat had no outstanding request
	targetCount int       // of the last beat to all targets
	nextBeatAt  time.Time // next beat to the whole active set
	busyAt      time.Time // when a request was last outstanding, zero if never

	mu         sync.Mutex
	queued     *wire.Beat // updates to be sent once, with the next beat
	earlyToAll bool       // the early beat goes to the whole active set

	earlyBeat chan struct{} // wakes the goroutine that sends beats
	wakeProbe chan struct{} // wakes the goroutine that runs the failure detector
}

// NewUnit returns a unit that listens on the own node's datagram address.
func NewUnit(m *Members, c Content) *Unit {
	return &Unit{
		Network: network.Machine{},
		members: m, content: c, listenAddress: m.own.Peer, queued: &wire.Beat{},
		earlyBeat: make(chan struct{}, 1), wakeProbe: make(chan struct{}, 1),
	}
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "gossip" }

// Provision implements kernel.Provisioner.
func (u *Unit) Provision(ctx context.Context) error {
	var err error
	u.pc, err = u.Network.ListenPacket(ctx, "udp4", u.listenAddress)
	return err
}

// Close implements kernel.Closer.
func (u *Unit) Close() error { return u.pc.Close() }

// Run implements kernel.Runner.
func (u *Unit) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = u.pc.SetReadDeadline(time.Unix(0, 1)) })
	defer stop()
	group.Go(func() error { return u.receive(ctx) })
	group.Go(func() error { return u.sendBeats(ctx) })
	group.Go(func() error { return u.runProbes(ctx) })
	if u.Freshness != nil {
		group.Go(func() error { return u.runQueries(ctx) })
	}
	return group.Wait()
}

// Drain implements kernel.Drainer. It announces at once that this VM is shutting down.
func (u *Unit) Drain(context.Context) error {
	u.members.SetLeaving()
	u.SendEarly()
	u.PushUpdates()
	return nil
}

// QueueUpdate adds an update to the next beat, which carries it once. The update is dropped if
// maxQueuedUpdates are queued.
func (u *Unit) QueueUpdate(add func(b *wire.Beat)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queued.GetCached())+len(u.queued.GetCrashes()) < maxQueuedUpdates {
		add(u.queued)
	}
}

// SendEarly sends the next beat early, to the whole active set, as it carries an urgent update.
func (u *Unit) SendEarly() {
	u.mu.Lock()
	u.earlyToAll = true
	u.mu.Unlock()
	u.SendEarlyToBusy()
}

// SendEarlyToBusy sends the next beat early to the VMs that serve callers, as it carries load,
// which the other VMs don't need between two regular beats.
func (u *Unit) SendEarlyToBusy() {
	wake(u.earlyBeat)
}

// wake wakes the goroutine that waits for c, now or at its next wait.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (u *Unit) sendBeats(ctx context.Context) error {
	toAll := true
	for {
		u.sendBeat(toAll)
		early, ok := u.waitForBeat(ctx)
		if !ok {
			return ctx.Err()
		}
		toAll = !early || u.takeEarlyToAll()
	}
}

// takeEarlyToAll reports whether the early beat goes to the whole active set, and resets the
// request for it.
func (u *Unit) takeEarlyToAll() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	toAll := u.earlyToAll
	u.earlyToAll = false
	return toAll
}

// waitForBeat waits until the next regular beat is due, or for a part of the period if an early
// beat is requested. An early beat doesn't delay the next regular one.
func (u *Unit) waitForBeat(ctx context.Context) (early, ok bool) {
	left := time.Until(u.nextBeatAt)
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-t.C:
		return false, true
	case <-u.earlyBeat:
	}
	delay := u.period() / earlyBeatDivisor
	t.Reset(min(delay, time.Until(u.nextBeatAt)))
	select {
	case <-ctx.Done():
		return false, false
	case <-t.C:
		return time.Now().Before(u.nextBeatAt), true
	}
}

// period returns the time between two beats to the whole active set.
func (u *Unit) period() time.Duration { return beatPeriodFor(u.targetCount, u.idle) }

// beatPeriodFor returns the beat period of a VM with n targets.
func beatPeriodFor(n int, idle bool) time.Duration {
	period := max(beatPeriod, time.Duration(n)*periodPerTarget)
	if idle {
		period *= idlePeriodFactor
	}
	return period
}

// sendBeat sends this VM's load to all its targets, or only to the VMs that serve callers.
func (u *Unit) sendBeat(toAll bool) {
	own := u.members.ownRecord()
	b := encodeSender(&own)
	b.ReadAgeMs, _ = u.members.readAges()
	u.content.Fill(b)
	u.members.setRequestRate(b.GetRequests())
	b.Requests = own.Requests
	u.idle = len(b.GetOutstanding()) == 0
	if !u.idle {
		u.busyAt = time.Now()
	}
	u.addQueued(b, toAll)
	if !toAll {
		u.sendTo(u.members.busyPeers(), b)
		return
	}
	targets := u.members.beatTargets(!u.busyAt.IsZero() && time.Since(u.busyAt) < busyWindow)
	u.targetCount = len(targets)
	u.nextBeatAt = time.Now().Add(u.period())
	usage := u.content.DueUsage()
	if len(usage) == 0 {
		u.sendTo(targets, b)
		return
	}
	collectors, others := u.members.splitCollectors(targets)
	u.sendTo(others, b)
	b.Usage = usage
	u.sendTo(collectors, b)
}

// addQueued moves the queued updates to b. Updates for all VMs stay queued until a beat to all.
func (u *Unit) addQueued(b *wire.Beat, toAll bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	b.Cached = u.queued.GetCached()
	if !toAll {
		u.queued.Cached = nil
		return
	}
	b.Crashes, b.Changing = u.queued.GetCrashes(), u.queued.GetChanging()
	u.queued = &wire.Beat{}
}

func (u *Unit) sendTo(addrs []string, b *wire.Beat) {
	data, err := proto.Marshal(b)
	if err != nil || len(data) > MaxDatagramBytes {
		log.WithError(err).WithField("bytes", len(data)).Warn("beat dropped")
		return
	}
	for _, addr := range addrs {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			continue
		}
		// Errors are ignored: a lost beat is followed by the next one.
		_, _ = u.pc.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

func (u *Unit) receive(ctx context.Context) error {
	buf := make([]byte, MaxDatagramBytes)
	for {
		n, _, err := u.pc.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			log.WithError(err).Warn("datagram read failed")
			continue
		}
		var b wire.Beat
		if err := proto.Unmarshal(buf[:n], &b); err != nil || b.GetPeer() == "" {
			log.WithError(err).WithField("bytes", n).Warn("malformed datagram dropped")
			continue
		}
		if isAboutStreams(&b) {
			if u.ReceiveAboutStreams != nil {
				u.ReceiveAboutStreams(b.GetPeer(), &b)
			}
			continue
		}
		if b.GetKnowledge() != nil {
			if u.Freshness != nil {
				u.receiveFreshness(&b)
			}
			continue
		}
		u.members.mergeNewestRead(b.GetNewestReadMs())
		if b.GetProbe() != nil {
			u.sendProbes(u.members.receiveProbe(decodeProbe(&b)))
			wake(u.wakeProbe)
		} else {
			u.members.receiveLoad(loadReport{Record: decodeSender(&b), readAgeMs: b.GetReadAgeMs(), busy: len(b.GetOutstanding()) > 0})
		}
		u.content.Receive(b.GetPeer(), &b)
	}
}
