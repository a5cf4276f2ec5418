package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fescuestand/internal/clock"
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
	// maxRecentChanges bounds the changes that are announced within announceFor. There are more
	// when a whole fleet starts or is replaced; the other VMs then read them from the store at
	// once.
	maxRecentChanges = 4 * maxChangesPerBeat
	// forwardsPerChange is the number of messages to other VMs in which each VM that has a change
	// forwards it. On average each VM receives the change as often.
	forwardsPerChange = 10
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
type Changes struct {
	clock    clock.Clock
	follower *keyedlog.Follower
	// IsReader reports whether this VM reads the store for all VMs. A change that another VM has
	// read for itself isn't announced: the other VMs have it, or will read it too.
	IsReader func() bool

	mu           sync.Mutex
	recent       []announcedChange
	newestOffset int64      // offset of the newest change that this VM has
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

// NewChanges returns a Changes that passes received changes to follower.
func NewChanges(c clock.Clock, follower *keyedlog.Follower) *Changes {
	return &Changes{clock: c, follower: follower, previous: map[int64]int64{}, received: map[int64]struct{}{}, missing: map[int64]*missingChange{}, IsReader: func() bool { return true }}
}

// RecordApplied records a change that this VM has applied, and announces it to other VMs. Entries
// that a VM reads at its start aren't announced, as the other VMs have them.
func (x *Changes) RecordApplied(e keyedlog.Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.markReceived(e.Offset)
	if e.Initial || !e.FromPeer && !x.IsReader() {
		x.newestOffset = max(x.newestOffset, e.Offset)
		return
	}
	c := &wire.Change{Key: e.Key, Value: e.Value, Offset: uint64(e.Offset), Previous: uint64(x.newestOffset), KeptMs: uint32(max(e.GracePeriod, 0).Milliseconds())}
	if e.FromPeer {
		c.Previous = uint64(x.previous[e.Offset])
	}
	now := x.clock.Now()
	x.recent = slices.DeleteFunc(x.recent, func(t announcedChange) bool { return now.Sub(t.at) >= announceFor })
	if len(x.recent) < maxRecentChanges {
		x.recent = append(x.recent, announcedChange{c, now, e.FromPeer, forwardsPerChange})
	}
	x.newestOffset = max(x.newestOffset, e.Offset)
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
	for i := len(x.recent) - 1; i >= 0 && len(b.GetChanges()) < maxChangesPerBeat; i-- {
		if include(&x.recent[i]) {
			b.Changes = append(b.Changes, x.recent[i].change)
		}
	}
	slices.Reverse(b.Changes)
	b.LastChange = uint64(x.newestOffset)
}

// receive applies the changes in a peer's beat, and has the store read if changes are missing.
func (x *Changes) receive(b *wire.Beat) {
	x.recordIncoming(b.GetChanges())
	for _, c := range b.GetChanges() {
		e := keyedlog.Entry{
			Key: c.GetKey(), Offset: int64(c.GetOffset()), GracePeriod: time.Duration(c.GetKeptMs()) * time.Millisecond,
		}
		if len(c.GetValue()) > 0 {
			e.Value = c.GetValue()
		}
		x.follower.ReceiveEntry(e)
	}
	gap := x.findGaps(b.GetChanges()) && b.GetProbe() == nil
	if gap || x.lagsBehindPeer(int64(b.GetLastChange())) || x.missingOverdue() {
		x.follower.Wake()
	}
}

// recordIncoming records changes that are being received, before they are applied.
func (x *Changes) recordIncoming(changes []*wire.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		x.previous[int64(c.GetOffset())] = int64(c.GetPrevious())
		x.markReceived(int64(c.GetOffset()))
		x.newestOffset = max(x.newestOffset, int64(c.GetOffset()))
	}
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

// RecordRead records that this VM has itself read the store up to the offset end, exclusive.
func (x *Changes) RecordRead(end int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.advanceRead(end - 1)
	maps.DeleteFunc(x.missing, func(offset int64, _ *missingChange) bool { return offset < end })
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
func (x *Changes) lagsBehindPeer(last int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	switch {
	case last <= x.newestOffset:
		return false
	case x.behindSince == 0 || x.newestOffset >= x.peerOffset:
		x.behindSince, x.peerOffset = now, last
		return false
	case now.Sub(x.behindSince) < maxLag:
		return false
	}
	x.behindSince = 0
	x.newestOffset = last // one read of the store is enough for it
	return true
}
