package swim

import (
	"math/rand/v2"
	"time"

	"fescuestand/internal/clock"
)

const (
	// SilenceTimeout is how long a VM that is expected to send all the time may be
	// unheard until it counts as silent.
	SilenceTimeout = 1200 * time.Millisecond
	// unheard is how long a listed VM that was never heard counts as alive: it
	// starts as this one does.
	unheard = 2 * time.Second
	// forgetListed is how long a VM that was listed and never heard is
	// remembered, and forgetSilent how long a silent one is: a partition that
	// heals within it is found by the probes alone.
	forgetListed = 10 * time.Second
	forgetSilent = 60 * time.Second
	// probePeriod is the time between two probes of a VM. It is alarmPeriod for
	// alarmFor after several VMs fell silent or came back: where one power supply or
	// switch fails, many others are to be found.
	probePeriod = 500 * time.Millisecond
	alarmPeriod = 100 * time.Millisecond
	alarmFor    = 2 * time.Second
	// alarmAfter VMs within alarmFor raise the alarm, and alarmTable is about the
	// time until the whole list is asked for then.
	alarmAfter = 3
	alarmTable = 1200 * time.Millisecond
	// calmAfter is how long after an alarm everything is passed on to its end.
	calmAfter = 30 * time.Second
	// helpAfter is how long a probe waits for its answer until others are asked
	// to try, and silentAfter until the VM counts as silent.
	helpAfter   = 150 * time.Millisecond
	silentAfter = 450 * time.Millisecond
	// helpers is how many others are asked.
	helpers = 3
	// pushDelay lets urgent news that come together share messages, and pushGap
	// is the time between two rounds of them.
	pushDelay = 20 * time.Millisecond
	pushGap   = 60 * time.Millisecond
	// deafAfter is how long a VM may hear nothing and still accuse others.
	deafAfter = 500 * time.Millisecond
	// judgeAfter is how long a probe without answer waits for a sign that this VM
	// hears anybody.
	judgeAfter = 1500 * time.Millisecond
	// lateTick is the delay of a step from which this VM was stopped or starved:
	// what it waited for may have come meanwhile.
	lateTick = 300 * time.Millisecond
	// tableRetry is the time between two questions for the whole list after a
	// start, when the VM that is asked may have started too. It doubles with each
	// answer up to tablePeriod where there are tableUnit VMs or fewer, and more
	// where the list is longer.
	tableRetry  = 300 * time.Millisecond
	tablePeriod = 10 * time.Second
	tableUnit   = 200
	// tableChunk records fit a datagram of 6 kB.
	tableChunk = 60
	// newFor is how long a VM is a newcomer, who is told of others with each
	// answer.
	newFor = 2 * time.Second
)

// Detector is one VM's part of the protocol. It is not safe for concurrent use.
type Detector struct {
	// OnDeclaredFailed is told, if set, of each VM that this one finds silent, and for how
	// long it hadn't heard it.
	OnDeclaredFailed func(peer string, unheard time.Duration)

	own     Record
	rand    *rand.Rand
	entries map[string]*Entry
	order   []string // of probing, shuffled
	next    int
	rumors  rumors

	seq    uint32
	probes map[uint32]*probe
	relays map[uint32]relay

	probeAt   clock.Time
	pushAt    clock.Time // zero if nothing is to be told at once
	pushes    int        // rounds that are to go out even without a record
	tableAt   clock.Time
	tableWait time.Duration // after the next answer
	asking    bool          // for the whole list
	steppedAt clock.Time
	heardAt   clock.Time // of the last datagram of any VM
	alarm     alarm
}

// probe is a question that waits for its answer.
type probe struct {
	peer   string
	sentAt clock.Time
	helped bool
}

// relay is a probe on behalf of another VM.
type relay struct {
	asker  string
	seq    uint32 // of the asker
	sentAt clock.Time
}

// New returns the part of the VM that tells own. The version of own must be higher
// than any that an earlier process of the VM has told, or is corrected once another
// VM tells of that one.
func New(own Record, seed uint64, now clock.Time) *Detector {
	return &Detector{
		own: own, rand: rand.New(rand.NewPCG(seed, seed)), entries: map[string]*Entry{},
		rumors: rumors{all: map[string]*rumor{}}, probes: map[uint32]*probe{}, relays: map[uint32]relay{},
		probeAt: now, tableAt: now, tableWait: tableRetry, steppedAt: now,
	}
}

// Own is what this VM tells of itself.
func (d *Detector) Own() *Record { return &d.own }

// Entries are the other VMs by their address for datagrams. The caller must not
// change them.
func (d *Detector) Entries() map[string]*Entry { return d.entries }

// UpdateOwn changes what this VM tells of itself.
func (d *Detector) UpdateOwn(now clock.Time, change func(*Record)) {
	old := d.own
	change(&d.own)
	if d.own == old {
		return
	}
	d.own.Version++
	d.spread(now, d.own.Peer, d.own.urgent(&old))
}

// PushUpdates sends messages to a few VMs at once even if no record has changed: the
// caller has other news to add to them.
func (d *Detector) PushUpdates(now clock.Time) {
	d.pushes = pushRounds
	d.pushSoon(now, pushDelay)
}

// MergeListed takes VMs that the platform lists.
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
	d.forget(now)
}

// ReceiveRecord takes the record that a VM sent to this one.
func (d *Detector) ReceiveRecord(now clock.Time, r Record) {
	if r.Peer == d.own.Peer {
		return
	}
	d.listen(now)
	e := d.entries[r.Peer]
	if e != nil && !e.Alive(now) {
		d.noteAlarm(now)
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
	e.ReceivedAt, e.doubted = now, false
}

// listen notes that this VM hears others. What it believed of them while it heard
// nobody for long is dropped.
func (d *Detector) listen(now clock.Time) {
	if now.Sub(d.heardAt) > judgeAfter {
		clear(d.probes)
		for _, e := range d.entries {
			e.doubted = false
		}
	}
	d.heardAt = now
}

// deaf tells whether this VM hears nobody, so that it can't judge who is silent.
func (d *Detector) deaf(now clock.Time) bool { return now.Sub(d.heardAt) > deafAfter }

// DeclareFailed notes that a VM which should have been heard was not.
func (d *Detector) DeclareFailed(now clock.Time, peer string) {
	e := d.entries[peer]
	if e == nil || e.Silent || e.doubted {
		return
	}
	e.silentAt = now
	if d.deaf(now) {
		e.doubted = true
		return
	}
	e.Silent = true
	d.noteAlarm(now)
	d.spread(now, peer, true)
	if d.OnDeclaredFailed != nil {
		d.OnDeclaredFailed(peer, now.Sub(e.ReceivedAt))
	}
}

// noteAlarm counts a VM that fell silent or came back.
func (d *Detector) noteAlarm(now clock.Time) {
	if d.alarm.note(now) {
		d.tableSoon(now)
	}
}

func (d *Detector) add(now clock.Time, r Record) *Entry {
	e := &Entry{Record: r, FirstSeenAt: now}
	if r.Silent {
		e.silentAt = now
	}
	d.entries[r.Peer] = e
	at := d.rand.IntN(len(d.order) + 1)
	d.order = append(d.order, r.Peer)
	d.order[at], d.order[len(d.order)-1] = d.order[len(d.order)-1], d.order[at]
	return e
}

// merge takes a record that a VM tells of any other.
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
		e.silentAt = now
		d.noteAlarm(now)
	}
	e.Record, e.doubted = r, false
	d.spread(now, r.Peer, urgent)
}

// refute answers a record of this VM that isn't its own newest: an earlier process
// told it, or another VM takes this one for silent.
func (d *Detector) refute(now clock.Time, r *Record) {
	if r.Version < d.own.Version || r.Version == d.own.Version && !r.Silent && r.Incarnation == d.own.Incarnation {
		return
	}
	d.own.Version = r.Version + 1
	d.spread(now, d.own.Peer, true)
}

// spread begins to pass the record of peer on.
func (d *Detector) spread(now clock.Time, peer string, urgent bool) {
	d.rumors.add(now, peer, len(d.entries)+1, urgent)
	if urgent {
		d.pushSoon(now, pushDelay)
	}
}

func (d *Detector) pushSoon(now clock.Time, delay time.Duration) {
	if at := now.Add(delay); d.pushAt == 0 || at < d.pushAt {
		d.pushAt = at
	}
}

// forget drops VMs that are gone.
func (d *Detector) forget(now clock.Time) {
	for peer, e := range d.entries {
		if e.gone(now) {
			delete(d.entries, peer)
			delete(d.rumors.all, peer)
		}
	}
}

// gone tells whether e has been neither listed nor heard for so long that it is
// not probed any more.
func (e *Entry) gone(now clock.Time) bool {
	unlisted := now.Sub(max(e.listedAt, e.FirstSeenAt)) > forgetListed
	switch {
	case e.Version == 0:
		return unlisted && now.Sub(e.ReceivedAt) > forgetListed
	case e.Silent || e.doubted:
		return unlisted && !e.ReceivedRecently(now) && now.Sub(e.silentAt) > forgetSilent
	}
	return false
}
