package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/eventlog"
	"fescuestand/internal/gossip"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/wire"
)

const (
	// announceFor is how long a change is included in each beat, as several beats in a row may be
	// lost.
	announceFor = 1200 * time.Millisecond
	// maxChangesPerBeat bounds the changes in a beat. VMs that miss the others read them from the
	// store.
	maxChangesPerBeat = 32
	// maxChangeBytes bounds the keys and values of the changes in a beat, so that the rest of it fits into the
	// datagram as well.
	maxChangeBytes = gossip.MaxDatagramBytes / 2
	// maxRecentChanges bounds the changes that are announced within announceFor. There are more
	// when a whole fleet starts or is replaced; the other VMs then read them from the store at
	// once.
	maxRecentChanges = 4 * maxChangesPerBeat
	// forwardsPerChange is the number of messages to other VMs in which each VM that has a change
	// forwards it. On average each VM receives the change as often.
	forwardsPerChange = 10
	// forwardsPerDeletion replaces it for a deletion: VMs that miss one go on sending requests to the
	// endpoint, and don't notice it if the deletion has no place among the offsets. Of 1,000 VMs that lose
	// a tenth of their messages, one isn't reached by one deletion in a thousand.
	forwardsPerDeletion = 16
	// maxLag is the time for which a peer may have a change that this VM hasn't received, before
	// this VM reads it from the store.
	maxLag = 500 * time.Millisecond
	// maxReadsPerChange bounds the reads of the store for one missing change: a record that was
	// replaced by a newer one of its key is never found.
	maxReadsPerChange = 3
	// maxReceivedOffsets bounds the offsets of received changes that are kept.
	maxReceivedOffsets = 8 * maxChangesPerBeat
)

// Changes spreads changes of the endpoints' log entries between VMs. It announces those that this
// VM has read from the store, forwards those that it has received, and applies those that peers
// send. A VM then needs the store only to find changes that it has missed. Two VMs, the readers,
// read it for all.
//
// Missing changes are found by the offsets of those that were received. Offsets of different eras of
// the store can't be compared, so that this starts anew with each era.
type Changes struct {
	clock    clock.Clock
	eras     *era.Tracker
	follower *keyedlog.Follower
	// IsReader reports whether this VM reads the store for all VMs. A change that another VM has
	// read for itself isn't announced: the other VMs have it, or will read it too.
	IsReader func() bool

	mu           sync.Mutex
	counters     ChangeCounters
	malformed    eventlog.Limit
	recent       []announcedChange
	era          era.Era    // era in which the offsets below count
	newestOffset int64      // offset of the newest change that this VM has
	soughtOffset int64      // offset of the newest change at a peer for which this VM has read the store
	behindSince  clock.Time // since when a peer has had a newer one, zero if none has
	peerOffset   int64      // the peer's newest offset at that time

	previous map[int64]int64          // predecessor of each change being received, by offset
	readUpTo int64                    // offset up to which each change is either here or in missing
	received map[int64]struct{}       // offsets after readUpTo whose changes this VM has
	missing  map[int64]*missingChange // changes that peers have and this VM lacks, by offset
}

// missingChange is a change that other VMs have and this VM hasn't received.
type missingChange struct {
	since clock.Time // when it was found missing, or when the store was last read for it
	reads int
}

type announcedChange struct {
	change       *wire.Change
	at           clock.Time
	fromPeer     bool // received from a peer, not read from the store
	forwardsLeft int  // messages to VMs outside the active set that still carry it
}

// NewChanges returns a Changes that passes received changes to follower. eras are the eras of the store
// that this VM knows of.
func NewChanges(c clock.Clock, eras *era.Tracker, follower *keyedlog.Follower) *Changes {
	return &Changes{clock: c, eras: eras, follower: follower, previous: map[int64]int64{}, received: map[int64]struct{}{}, missing: map[int64]*missingChange{}, IsReader: func() bool { return true }}
}

// RecordApplied records a change that this VM has applied, and announces it to other VMs. Entries
// that a VM reads at its start aren't announced, as the other VMs have them.
func (x *Changes) RecordApplied(e keyedlog.Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.enterEra(e.Position.Era)
	c := &wire.Change{
		Key: e.Key, Value: e.Value, Offset: uint64(e.Position.Offset), Era: uint64(e.Position.Era),
		Previous: uint64(x.newestOffset), KeptMs: uint32(max(e.GracePeriod, 0).Milliseconds()),
		Unordered: e.Missing || e.Position.Era != x.era,
	}
	if e.FromPeer {
		c.Previous = uint64(x.previous[e.Position.Offset])
	}
	if !c.Unordered {
		x.markReceived(e.Position.Offset)
		x.newestOffset = max(x.newestOffset, e.Position.Offset)
	}
	if e.Initial {
		return
	}
	x.counters.Applied++
	if e.FromPeer || x.IsReader() {
		x.announce(c, e.FromPeer)
	}
}

// Counters returns the numbers of changes since the start of the process.
func (x *Changes) Counters() ChangeCounters {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.counters
}

// announce has a change included in this VM's beats for announceFor, unless it is too large. The caller holds mu.
func (x *Changes) announce(c *wire.Change, fromPeer bool) {
	if changeBytes(c) > maxChangeBytes {
		return
	}
	now := x.clock.Now()
	x.recent = slices.DeleteFunc(x.recent, func(t announcedChange) bool { return now.Sub(t.at) >= announceFor })
	forwards := forwardsPerChange
	if len(c.GetValue()) == 0 {
		forwards = forwardsPerDeletion
	}
	if len(x.recent) < maxRecentChanges {
		x.recent = append(x.recent, announcedChange{c, now, fromPeer, forwards})
	}
}

func changeBytes(c *wire.Change) int { return len(c.GetKey()) + len(c.GetValue()) }

// enterEra starts to track the changes of a newer era. It returns whether changes of the earlier one
// were missing. The caller holds mu.
func (x *Changes) enterEra(e era.Era) (missing bool) {
	if e <= x.era {
		return false
	}
	missing = len(x.missing) > 0 || x.behindSince != 0
	x.era = e
	x.newestOffset, x.soughtOffset, x.readUpTo, x.behindSince = 0, 0, 0, 0
	clear(x.previous)
	clear(x.received)
	clear(x.missing)
	return missing
}

// fillRead adds the recent changes that this VM has read from the store to a beat for the active
// set.
func (x *Changes) fillRead(b *wire.Beat) {
	x.appendChanges(b, func(t *announcedChange) bool { return !t.fromPeer })
}

// fillForwarded adds the recent changes that are forwarded from VM to VM, received or read.
func (x *Changes) fillForwarded(b *wire.Beat) {
	x.appendChanges(b, func(t *announcedChange) bool {
		t.forwardsLeft--
		return t.forwardsLeft >= 0
	})
}

func (x *Changes) appendChanges(b *wire.Beat, include func(t *announcedChange) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	x.recent = slices.DeleteFunc(x.recent, func(t announcedChange) bool { return now.Sub(t.at) >= announceFor })
	size := 0
	for i := len(x.recent) - 1; i >= 0 && len(b.GetChanges()) < maxChangesPerBeat; i-- {
		t := &x.recent[i]
		if n := changeBytes(t.change); size+n <= maxChangeBytes && include(t) {
			b.Changes = append(b.Changes, t.change)
			size += n
		}
	}
	slices.Reverse(b.Changes)
	x.counters.Sent += int64(len(b.Changes))
	if x.era == x.eras.Current() { // else the beat states an era in which this VM has no changes yet
		b.LastChange = uint64(x.newestOffset)
	}
}

// receive applies the changes in a peer's beat, and has the store read if changes are missing.
func (x *Changes) receive(b *wire.Beat) {
	changes := x.dropMalformed(b)
	lost := x.recordIncoming(era.Era(b.GetStoreEra()), changes)
	repeated := 0
	for _, c := range changes {
		if !x.follower.ReceiveEntry(decodeChange(c)) {
			repeated++
		}
	}
	x.countReceived(len(changes), repeated)
	gap := x.findGaps(changes) && b.GetProbe() == nil
	if lost || gap || x.lagsBehindPeer(b) || x.missingOverdue() {
		x.follower.Wake()
	}
}

func (x *Changes) countReceived(received, repeated int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counters.Received += int64(received)
	x.counters.Repeated += int64(repeated)
}

const (
	// maxOffset is an offset that no log reaches: a million records a second take nine years.
	maxOffset = 1 << 48
	// maxKept is several times as long as a VM keeps an endpoint whose entry has ended.
	maxKept = 10 * time.Second
)

// dropMalformed returns the changes in a beat that can be.
func (x *Changes) dropMalformed(b *wire.Beat) []*wire.Change {
	x.mu.Lock()
	defer x.mu.Unlock()
	newest := max(x.era, x.eras.Current(), era.Era(b.GetStoreEra()))
	valid := make([]*wire.Change, 0, len(b.GetChanges()))
	for _, c := range b.GetChanges() {
		if isMalformed(c, newest) {
			x.counters.Malformed++
			x.logMalformed(b.GetPeer(), c)
			continue
		}
		valid = append(valid, c)
	}
	return valid
}

// isMalformed reports whether c names an era after the newest one, an offset that no log reaches, or a time
// for which no VM keeps an endpoint.
func isMalformed(c *wire.Change, newest era.Era) bool {
	return era.Era(c.GetEra()) > newest || !isOffset(c.GetOffset()) || !isOffset(c.GetPrevious()) ||
		time.Duration(c.GetKeptMs())*time.Millisecond > maxKept
}

// isOffset reports whether n is the offset of a record, or that before the first one, -1: a key is missing up
// to there if the log is empty.
func isOffset(n uint64) bool { return int64(n) >= -1 && int64(n) <= maxOffset }

// logMalformed logs that c is dropped. The caller holds mu.
func (x *Changes) logMalformed(vm string, c *wire.Change) {
	if leftOut, ok := x.malformed.Allow(x.clock.Now()); ok {
		log.WithField("vm", vm).WithField("key", c.GetKey()).WithField("era", c.GetEra()).WithField("offset", c.GetOffset()).
			WithField("previous", c.GetPrevious()).WithField("kept_ms", c.GetKeptMs()).WithField("left_out", leftOut).Warn("malformed change dropped")
	}
}

func decodeChange(c *wire.Change) keyedlog.Entry {
	e := keyedlog.Entry{
		Key: c.GetKey(), Position: era.Position{Era: era.Era(c.GetEra()), Offset: int64(c.GetOffset())},
		GracePeriod: time.Duration(c.GetKeptMs()) * time.Millisecond,
	}
	if len(c.GetValue()) > 0 {
		e.Value = c.GetValue()
		return e
	}
	e.Missing = c.GetUnordered()
	e.Final = !e.Missing && c.GetKeptMs() == 0 // the sender has ended it at once
	return e
}

// isOrdered reports whether the offset and the predecessor of c can be compared with those that this
// VM tracks. The caller holds mu.
func (x *Changes) isOrdered(c *wire.Change) bool {
	return era.Era(c.GetEra()) == x.era && !c.GetUnordered()
}

// recordIncoming records changes that are being received from a VM that is in era e, before they are applied. It returns whether
// changes that are missing can't be found by their offsets, since a newer era has begun.
func (x *Changes) recordIncoming(e era.Era, changes []*wire.Change) (lost bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	previous := x.era
	lost = x.enterEra(e)
	lost = lost || (previous != era.None && previous != x.era && x.isLate())
	for _, c := range changes {
		if !x.isOrdered(c) {
			continue
		}
		x.previous[int64(c.GetOffset())] = int64(c.GetPrevious())
		x.markReceived(int64(c.GetOffset()))
		x.newestOffset = max(x.newestOffset, int64(c.GetOffset()))
	}
	return lost
}

// isLate reports whether this VM learns of the newest era when the first changes in it are no longer
// announced.
func (x *Changes) isLate() bool {
	_, since := x.eras.Since()
	return x.clock.Now().Sub(since) >= announceFor
}

// markReceived records that this VM has the change at offset.
func (x *Changes) markReceived(offset int64) {
	delete(x.missing, offset)
	if offset > x.readUpTo {
		x.received[offset] = struct{}{}
	}
}

// findGaps records the predecessors of received changes that this VM lacks, and reports whether it
// found new ones. A change is missing if a beat was lost, or if there were more changes at a time
// than a beat carries. If the missing change says that an endpoint leaves, the endpoint gets
// requests until the store is read. When changes are forwarded from VM to VM, an earlier one may
// still arrive by another path shortly after.
func (x *Changes) findGaps(changes []*wire.Change) (found bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		if !x.isOrdered(c) {
			continue
		}
		delete(x.previous, int64(c.GetOffset()))
		before := int64(c.GetPrevious())
		_, isReceived := x.received[before]
		if before <= x.readUpTo || isReceived || x.missing[before] != nil {
			continue
		}
		x.missing[before] = &missingChange{since: x.clock.Now()}
		found = true
	}
	x.evictReceived()
	return found
}

// evictReceived bounds the number of received offsets. Older changes count as received, unless they
// are in missing.
func (x *Changes) evictReceived() {
	if len(x.received) <= maxReceivedOffsets {
		return
	}
	offsets := slices.Sorted(maps.Keys(x.received))
	x.advanceRead(offsets[len(offsets)-maxReceivedOffsets/2])
}

// advanceRead sets readUpTo to at least offset and drops the received offsets up to it.
func (x *Changes) advanceRead(offset int64) {
	x.readUpTo = max(x.readUpTo, offset)
	maps.DeleteFunc(x.received, func(offset int64, _ struct{}) bool { return offset <= x.readUpTo })
}

// RecordRead records that this VM has itself read the store up to the position end, exclusive.
func (x *Changes) RecordRead(end era.Position) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.enterEra(end.Era)
	if end.Era != x.era {
		return
	}
	x.advanceRead(end.Offset - 1)
	maps.DeleteFunc(x.missing, func(offset int64, _ *missingChange) bool { return offset < end.Offset })
}

// missingOverdue reports whether the store must be read because a change has been missing for
// maxLag.
func (x *Changes) missingOverdue() (due bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	for offset, m := range x.missing {
		if now.Sub(m.since) < maxLag {
			continue
		}
		m.since, due = now, true
		if m.reads++; m.reads == maxReadsPerChange {
			delete(x.missing, offset)
		}
	}
	return due
}

// lagsBehindPeer reports whether a peer has had a change newer than this VM's newest one for
// maxLag.
func (x *Changes) lagsBehindPeer(b *wire.Beat) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, now := int64(b.GetLastChange()), x.clock.Now()
	if e := era.Era(b.GetStoreEra()); e != era.None && e != x.era {
		return false
	}
	switch {
	case last <= max(x.newestOffset, x.soughtOffset, x.readUpTo):
		return false
	case x.behindSince == 0 || x.newestOffset >= x.peerOffset:
		x.behindSince, x.peerOffset = now, last
		return false
	case now.Sub(x.behindSince) < maxLag:
		return false
	}
	x.behindSince = 0
	x.soughtOffset = last // one read of the store is enough for it
	return true
}
