package swim

import (
	"math/rand/v2"
	"time"

	"fescuestand/internal/clock"
)

const (
	// SilenceTimeout is the time without a datagram after which a VM that is expected to send
	// continuously counts as unresponsive.
	SilenceTimeout = 1200 * time.Millisecond
	// listedGrace is how long a listed VM that has sent nothing yet counts as alive; it may be
	// starting at the same time as this one.
	listedGrace = 2 * time.Second
	// listedExpiry is the time after which a listed VM that never sent a datagram is evicted, and
	// silentExpiry that for an unresponsive one. Where a partition heals within silentExpiry, the
	// probes alone reconnect its sides.
	listedExpiry = 10 * time.Second
	silentExpiry = 60 * time.Second
	// probePeriod is the interval between probes of one VM. It is shortened to churnProbePeriod for
	// churnWindow after several VMs were declared failed or came back: a failed power supply or
	// switch takes down many VMs at once, and the others must be found quickly.
	probePeriod      = 500 * time.Millisecond
	churnProbePeriod = 100 * time.Millisecond
	churnWindow      = 2 * time.Second
	// churnThreshold is how many changes within churnWindow count as churn; churnTableDelay is the
	// approximate time until the full table is then requested.
	churnThreshold  = 3
	churnTableDelay = 1200 * time.Millisecond
	// churnSettleDelay is how long after churn every rumor is still sent its full number of times.
	churnSettleDelay = 30 * time.Second
	// pingReqDelay is how long a probe waits for its answer before other VMs are asked to probe the
	// target, and probeTimeout how long until the target is declared failed.
	pingReqDelay = 150 * time.Millisecond
	probeTimeout = 450 * time.Millisecond
	// pingReqFanout is the number of other VMs that are asked to probe the target.
	pingReqFanout = 3
	// pushDelay lets urgent updates that arrive close together share messages, and pushGap is the
	// interval between two push rounds.
	pushDelay = 20 * time.Millisecond
	pushGap   = 60 * time.Millisecond
	// isolatedAfter is the time without any received datagram after which this VM no longer
	// declares others failed.
	isolatedAfter = 500 * time.Millisecond
	// isolatedProbeTimeout is how long an unanswered probe waits for any datagram that shows that
	// this VM isn't isolated.
	isolatedProbeTimeout = 1500 * time.Millisecond
	// maxStepDelay is the delay of a step beyond which this process is assumed to have been
	// suspended or starved of CPU: answers to its probes may have arrived in the meantime.
	maxStepDelay = 300 * time.Millisecond
	// tableRetryDelay is the interval between two table requests after the start, when the VM that
	// is asked may be starting too. It doubles with each answer up to maxTablePeriod in clusters of
	// up to tableUnitVMs, and further in proportion to the size of larger ones.
	tableRetryDelay = 300 * time.Millisecond
	maxTablePeriod  = 10 * time.Second
	tableUnitVMs    = 200
	// tableChunkRecords is the number of records that fit a datagram of 6 kB.
	tableChunkRecords = 60
	// newcomerPeriod is how long a VM counts as new; acks to new VMs carry additional records.
	newcomerPeriod = 2 * time.Second
)

// Detector runs the protocol for one VM. It is not safe for concurrent use.
type Detector struct {
	// OnDeclaredFailed, if set, is called for each VM that this one declares failed, with the time
	// since its last datagram.
	OnDeclaredFailed func(peer string, sinceReceived time.Duration)

	own       Record
	rand      *rand.Rand
	entries   map[string]*Entry
	order     []string // probe order, shuffled
	nextIndex int
	rumors    rumors

	seq    uint32
	probes map[uint32]*probe
	relays map[uint32]relay

	probeAt        clock.Time
	pushAt         clock.Time // zero if nothing urgent is pending
	forcedPushes   int        // remaining rounds to send even without an urgent record
	tableAt        clock.Time
	tableWait      time.Duration // delay of the next table request after an answer
	tableRequested bool          // a table request is unanswered
	steppedAt      clock.Time
	receivedAt     clock.Time // of the last datagram from any VM
	churn          churnMonitor
}

// probe is a ping that waits for its ack.
type probe struct {
	peer        string
	sentAt      clock.Time
	pingReqSent bool
}

// relay is a probe on behalf of another VM.
type relay struct {
	asker  string
	seq    uint32 // of the asker's ping
	sentAt clock.Time
}

// New returns the detector of the VM that own describes. The version of own must be higher than any
// that an earlier process of the VM announced; otherwise it is raised as soon as another VM sends
// the earlier record.
func New(own Record, seed uint64, now clock.Time) *Detector {
	return &Detector{
		own: own, rand: rand.New(rand.NewPCG(seed, seed)), entries: map[string]*Entry{},
		rumors: rumors{all: map[string]*rumor{}}, probes: map[uint32]*probe{}, relays: map[uint32]relay{},
		probeAt: now, tableAt: now, tableWait: tableRetryDelay, steppedAt: now,
	}
}

// Own returns the record that this VM announces about itself.
func (d *Detector) Own() *Record { return &d.own }

// Entries returns the other VMs by their datagram address. The caller must not change them.
func (d *Detector) Entries() map[string]*Entry { return d.entries }

// UpdateOwn applies change to this VM's record and spreads it if it differs.
func (d *Detector) UpdateOwn(now clock.Time, change func(*Record)) {
	old := d.own
	change(&d.own)
	if d.own == old {
		return
	}
	d.own.Version++
	d.spread(now, d.own.Peer, d.own.urgent(&old))
}

// PushUpdates sends messages to a few VMs at once even if no record has changed, so that the caller
// can attach updates of its own.
func (d *Detector) PushUpdates(now clock.Time) {
	d.forcedPushes = pushRounds
	d.schedulePush(now, pushDelay)
}

// MergeListed adds the VMs of the platform's list and evicts expired ones.
func (d *Detector) MergeListed(now clock.Time, nodes []Node) {
	for _, n := range nodes {
		if n.Peer == d.own.Peer {
			continue
		}
		e := d.entries[n.Peer]
		if e == nil {
			e = d.add(now, Record{Node: n, Ready: true})
		}
		if e.Version == 0 && e.ReceivedAt == 0 {
			e.Node = n
		}
		e.listedAt = now
	}
	d.evictExpired(now)
}

// ReceiveRecord merges the record that its own VM sent to this one.
func (d *Detector) ReceiveRecord(now clock.Time, r Record) {
	if r.Peer == d.own.Peer {
		return
	}
	d.recordReceipt(now)
	e := d.entries[r.Peer]
	if e != nil && !e.Alive(now) {
		d.recordChurn(now)
	}
	switch {
	case e == nil:
		e = d.add(now, r)
		d.spread(now, r.Peer, true)
	case r.Version == e.Version:
		r.Silent = e.Silent
		e.Record = r
	default:
		d.merge(now, r)
	}
	e.ReceivedAt, e.suspected = now, false
}

// recordReceipt records that this VM receives datagrams. After a long isolation it discards the
// outstanding probes and the suspicions of that time.
func (d *Detector) recordReceipt(now clock.Time) {
	if now.Sub(d.receivedAt) > isolatedProbeTimeout {
		clear(d.probes)
		for _, e := range d.entries {
			e.suspected = false
		}
	}
	d.receivedAt = now
}

// isolated reports whether this VM receives no datagrams from other VMs, so that it can't
// determine which of them have failed.
func (d *Detector) isolated(now clock.Time) bool { return now.Sub(d.receivedAt) > isolatedAfter }

// DeclareFailed records that a VM which was expected to send has not. While this VM is isolated the
// VM is only suspected locally and nothing is announced.
func (d *Detector) DeclareFailed(now clock.Time, peer string) {
	e := d.entries[peer]
	if e == nil || e.Silent || e.suspected {
		return
	}
	e.silentSince = now
	if d.isolated(now) {
		e.suspected = true
		return
	}
	e.Silent = true
	d.recordChurn(now)
	d.spread(now, peer, true)
	if d.OnDeclaredFailed != nil {
		d.OnDeclaredFailed(peer, now.Sub(e.ReceivedAt))
	}
}

// recordChurn counts a VM that was declared failed or came back.
func (d *Detector) recordChurn(now clock.Time) {
	if d.churn.record(now) {
		d.expediteTable(now)
	}
}

func (d *Detector) add(now clock.Time, r Record) *Entry {
	e := &Entry{Record: r, FirstSeenAt: now}
	if r.Silent {
		e.silentSince = now
	}
	d.entries[r.Peer] = e
	at := d.rand.IntN(len(d.order) + 1)
	d.order = append(d.order, r.Peer)
	d.order[at], d.order[len(d.order)-1] = d.order[len(d.order)-1], d.order[at]
	return e
}

// merge merges a record of any VM, as passed on by another one.
func (d *Detector) merge(now clock.Time, r Record) {
	if r.Peer == d.own.Peer {
		d.refute(now, &r)
		return
	}
	e := d.entries[r.Peer]
	if e == nil {
		d.add(now, r)
		d.spread(now, r.Peer, !r.Silent)
		return
	}
	if !r.supersedes(&e.Record) {
		return
	}
	urgent := r.urgent(&e.Record)
	if r.Silent && !e.Silent {
		e.silentSince = now
		d.recordChurn(now)
	}
	e.Record, e.suspected = r, false
	d.spread(now, r.Peer, urgent)
}

// refute raises the version of this VM's record above that of a conflicting copy: one of an earlier
// process, or one that declares this VM failed.
func (d *Detector) refute(now clock.Time, r *Record) {
	if r.Version < d.own.Version || r.Version == d.own.Version && !r.Silent && r.Incarnation == d.own.Incarnation {
		return
	}
	d.own.Version = r.Version + 1
	d.spread(now, d.own.Peer, true)
}

// spread starts passing on the record of peer.
func (d *Detector) spread(now clock.Time, peer string, urgent bool) {
	d.rumors.add(now, peer, len(d.entries)+1, urgent)
	if urgent {
		d.schedulePush(now, pushDelay)
	}
}

func (d *Detector) schedulePush(now clock.Time, delay time.Duration) {
	if at := now.Add(delay); d.pushAt == 0 || at < d.pushAt {
		d.pushAt = at
	}
}

// evictExpired deletes the VMs that have expired.
func (d *Detector) evictExpired(now clock.Time) {
	for peer, e := range d.entries {
		if e.expired(now) {
			delete(d.entries, peer)
			delete(d.rumors.all, peer)
		}
	}
}

// expired reports whether e has been neither listed nor received from for so long that it is no
// longer probed.
func (e *Entry) expired(now clock.Time) bool {
	unlisted := now.Sub(max(e.listedAt, e.FirstSeenAt)) > listedExpiry
	switch {
	case e.Version == 0:
		return unlisted && now.Sub(e.ReceivedAt) > listedExpiry
	case e.Silent || e.suspected:
		return unlisted && !e.ReceivedRecently(now) && now.Sub(e.silentSince) > silentExpiry
	}
	return false
}
