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

	"fescuestand/internal/wire"
)

const (
	// beatPeriod is the time between two beats in a small deployment: what
	// peers have outstanding is then known within a tenth of the time that a
	// caller waits for a first event.
	beatPeriod = 100 * time.Millisecond
	// perPeer lengthens the period with the number of VMs that are told, so that a
	// VM sends and takes at most 330 datagrams a second, 2% of a core.
	perPeer = 3 * time.Millisecond
	// idleFactor lengthens the period of a VM that has nothing outstanding.
	idleFactor = 2
	// urgentDivisor of the period is the pause before a beat that carries
	// something urgent: a long prefill that others must know of.
	urgentDivisor = 8
	// maxDatagram fits the usual limit of a packet several times over, and
	// bounds what a beat carries of prefixes and of members.
	maxDatagram = 32 << 10
	// maxTold bounds what one beat carries besides the load.
	maxTold = 128
)

// Content fills and takes the parts of a beat that others own.
type Content interface {
	// Fill adds what this VM tells the active set: its load, and news.
	Fill(b *wire.Beat)
	// FillUpdates adds what all VMs must know.
	FillUpdates(b *wire.Beat)
	// DueUsage returns counts that are due to be told to a few VMs.
	DueUsage() []*wire.UsageWindow
	// Receive takes what the VM with the given address told.
	Receive(from string, b *wire.Beat)
}

// Unit sends and receives beats. It is a kernel unit.
type Unit struct {
	// Freshness is kept new by asking other VMs, unless it is nil.
	Freshness ConfigFreshness

	members *Members
	content Content
	pc      net.PacketConn
	listen  string

	// Of the goroutine that sends beats:
	idle   bool      // the last beat told of no request
	told   int       // VMs that it went to
	due    time.Time // of the next beat to the whole active set
	busyAt time.Time // when there was a request in hand, zero if never

	mu    sync.Mutex
	next  *wire.Beat // what is told once, with the next beat
	toAll bool       // the early beat goes to the whole active set

	soon     chan struct{} // wakes the goroutine that sends beats
	stepSoon chan struct{} // wakes the one that does what the list has due
}

// NewUnit returns a unit that listens on the own node's datagram address.
func NewUnit(m *Members, c Content) *Unit {
	return &Unit{
		members: m, content: c, listen: m.own.Peer, next: &wire.Beat{}, soon: make(chan struct{}, 1), stepSoon: make(chan struct{}, 1),
	}
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "gossip" }

// Provision implements kernel.Provisioner.
func (u *Unit) Provision(ctx context.Context) error {
	var lc net.ListenConfig
	var err error
	u.pc, err = lc.ListenPacket(ctx, "udp4", u.listen)
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
	group.Go(func() error { return u.send(ctx) })
	group.Go(func() error { return u.probe(ctx) })
	if u.Freshness != nil {
		group.Go(func() error { return u.askAround(ctx) })
	}
	return group.Wait()
}

// Drain implements kernel.Drainer: the others hear at once that this VM leaves.
func (u *Unit) Drain(context.Context) error {
	u.members.SetLeaving()
	u.SendEarly()
	u.PushUpdates()
	return nil
}

// QueueUpdate changes what the next beat carries once.
func (u *Unit) QueueUpdate(add func(b *wire.Beat)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.next.GetCached())+len(u.next.GetCrashes()) < maxTold {
		add(u.next)
	}
}

// SendEarly sends the next beat early, to the whole active set: it carries something urgent.
func (u *Unit) SendEarly() {
	u.mu.Lock()
	u.toAll = true
	u.mu.Unlock()
	u.SendEarlyToBusy()
}

// SendEarlyToBusy sends the next beat early to the VMs that serve callers: it carries
// load, which others don't need between two beats.
func (u *Unit) SendEarlyToBusy() {
	wake(u.soon)
}

// wake has the goroutine that waits for c look again.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (u *Unit) send(ctx context.Context) error {
	toAll := true
	for {
		u.beat(toAll)
		early, ok := u.pause(ctx)
		if !ok {
			return ctx.Err()
		}
		toAll = !early || u.allWanted()
	}
}

// allWanted tells whether the early beat goes to all VMs, once.
func (u *Unit) allWanted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wanted := u.toAll
	u.toAll = false
	return wanted
}

// pause waits for the next beat's time, or a part of it if something is urgent.
// An early beat doesn't put off the next one to all.
func (u *Unit) pause(ctx context.Context) (early, ok bool) {
	left := time.Until(u.due)
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-t.C:
		return false, true
	case <-u.soon:
	}
	wait := u.period() / urgentDivisor
	t.Reset(min(wait, time.Until(u.due)))
	select {
	case <-ctx.Done():
		return false, false
	case <-t.C:
		return time.Now().Before(u.due), true
	}
}

// period is the time between two beats to the whole active set.
func (u *Unit) period() time.Duration { return beatPeriodFor(u.told, u.idle) }

// beatPeriodFor is the period of a VM that tells n others.
func beatPeriodFor(n int, idle bool) time.Duration {
	period := max(beatPeriod, time.Duration(n)*perPeer)
	if idle {
		period *= idleFactor
	}
	return period
}

// beat tells the whole active set, or only those that serve callers, how this one is.
func (u *Unit) beat(toAll bool) {
	own := u.members.ownRecord()
	b := beatOf(&own)
	b.ReadAgeMs, _ = u.members.told()
	u.content.Fill(b)
	u.members.setRequests(b.GetRequests())
	b.Requests = own.Requests
	u.idle = len(b.GetOutstanding()) == 0
	if !u.idle {
		u.busyAt = time.Now()
	}
	u.take(b, toAll)
	if !toAll {
		u.sendTo(u.members.busy(), b)
		return
	}
	targets := u.members.beatTargets(!u.busyAt.IsZero() && time.Since(u.busyAt) < busyFor)
	u.told = len(targets)
	u.due = time.Now().Add(u.period())
	totals := u.content.DueUsage()
	if len(totals) == 0 {
		u.sendTo(targets, b)
		return
	}
	collectors, others := u.members.split(targets)
	u.sendTo(others, b)
	b.Usage = totals
	u.sendTo(collectors, b)
}

// take adds what is told once. What all must hear waits for a beat to all.
func (u *Unit) take(b *wire.Beat, toAll bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	b.Cached = u.next.GetCached()
	if !toAll {
		u.next.Cached = nil
		return
	}
	b.Crashes, b.Changing = u.next.GetCrashes(), u.next.GetChanging()
	u.next = &wire.Beat{}
}

func (u *Unit) sendTo(addrs []string, b *wire.Beat) {
	data, err := proto.Marshal(b)
	if err != nil || len(data) > maxDatagram {
		log.WithError(err).WithField("bytes", len(data)).Warn("beat not sent")
		return
	}
	for _, addr := range addrs {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			continue
		}
		// A lost beat is followed by the next one.
		_, _ = u.pc.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

func (u *Unit) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := u.pc.ReadFrom(buf)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			log.WithError(err).Warn("datagram not read")
			continue
		}
		var b wire.Beat
		if err := proto.Unmarshal(buf[:n], &b); err != nil || b.GetPeer() == "" {
			log.WithError(err).WithField("bytes", n).Warn("datagram not understood")
			continue
		}
		if b.GetKnowledge() != nil {
			if u.Freshness != nil {
				u.takeKnowledge(&b)
			}
			continue
		}
		u.members.hearRead(b.GetNewestReadMs())
		if b.GetProbe() != nil {
			u.sendAll(u.members.receive(probeOf(&b)))
			wake(u.stepSoon)
		} else {
			u.members.hear(heard{Record: senderOf(&b), readAgeMs: b.GetReadAgeMs(), busy: len(b.GetOutstanding()) > 0})
		}
		u.content.Receive(b.GetPeer(), &b)
	}
}
