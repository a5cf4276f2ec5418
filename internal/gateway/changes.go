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
	// tellFor is how long a change is told with each beat: several beats in a
	// row may be lost.
	tellFor = 1200 * time.Millisecond
	// maxChanges is how many changes a beat carries; VMs that miss others read
	// them from the store.
	maxChanges = 32
	// mostTold changes within tellFor are told. More come when a whole fleet starts
	// or is replaced; the others then read them from the store at once.
	mostTold = 4 * maxChanges
	// passOn is how many messages to other VMs carry a change from each VM that
	// comes to know it: each VM gets it as often in the mean.
	passOn = 10
	// behindFor is how long a peer may know of a change that was not told here
	// before it is read from the store.
	behindFor = 500 * time.Millisecond
	// mostReads is how often the store is read for one missing change: a record that was
	// replaced by a newer one of its key never comes.
	mostReads = 3
	// mostHeard bounds the changes that are remembered as heard.
	mostHeard = 8 * maxChanges
)

// Changes passes the changes of the endpoints' entries on that this VM reads or
// hears of, and takes those that the others tell. With them a VM needs the store
// only to make sure that it has missed nothing: two read it for all.
type Changes struct {
	clock clock.Clock
	fleet *keyedlog.Follower
	// IsReader tells whether this VM reads the store for all. What another one has
	// read for itself the others know, or will read too.
	IsReader func() bool

	mu     sync.Mutex
	recent []told
	last   int64      // offset of the newest change known here
	behind clock.Time // since when a peer has known a newer one, zero if none
	newer  int64      // its offset

	previous map[int64]int64    // offsets of the changes before those being heard, by offset
	read     int64              // offset up to which changes are known, or missing
	heard    map[int64]struct{} // offsets after it that were told here
	missing  map[int64]*missing // offsets of changes that others know and that weren't
}

// missing is a change that other VMs know.
type missing struct {
	at    clock.Time // since when, or when the store was last read for it
	reads int
}

type told struct {
	change *wire.Change
	at     clock.Time
	heard  bool // of another VM
	left   int  // messages to VMs outside the active set that carry it
}

// NewChanges returns the exchange of fleet's changes.
func NewChanges(c clock.Clock, fleet *keyedlog.Follower) *Changes {
	return &Changes{clock: c, fleet: fleet, previous: map[int64]int64{}, heard: map[int64]struct{}{}, missing: map[int64]*missing{}, IsReader: func() bool { return true }}
}

// RecordApplied notes a change that is in force here and passes it on. What a VM reads at its
// start is no news to the others.
func (x *Changes) RecordApplied(e keyedlog.Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.note(e.Offset)
	if e.Newest || !e.Heard && !x.IsReader() {
		x.last = max(x.last, e.Offset)
		return
	}
	c := &wire.Change{Key: e.Key, Value: e.Value, Offset: uint64(e.Offset), Previous: uint64(x.last), KeptMs: uint32(max(e.Kept, 0).Milliseconds())}
	if e.Heard {
		c.Previous = uint64(x.previous[e.Offset])
	}
	now := x.clock.Now()
	x.recent = slices.DeleteFunc(x.recent, func(t told) bool { return now.Sub(t.at) >= tellFor })
	if len(x.recent) < mostTold {
		x.recent = append(x.recent, told{c, now, e.Heard, passOn})
	}
	x.last = max(x.last, e.Offset)
}

// fill adds the changes of the last moments that this VM has read from the store to a
// beat for the active set.
func (x *Changes) fill(b *wire.Beat) {
	x.add(b, func(t *told) bool { return !t.heard })
}

// pass adds those to be passed on from VM to VM, heard or read.
func (x *Changes) pass(b *wire.Beat) {
	x.add(b, func(t *told) bool {
		t.left--
		return t.left >= 0
	})
}

func (x *Changes) add(b *wire.Beat, wanted func(t *told) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	x.recent = slices.DeleteFunc(x.recent, func(t told) bool { return now.Sub(t.at) >= tellFor })
	for i := len(x.recent) - 1; i >= 0 && len(b.GetChanges()) < maxChanges; i-- {
		if wanted(&x.recent[i]) {
			b.Changes = append(b.Changes, x.recent[i].change)
		}
	}
	slices.Reverse(b.Changes)
	b.LastChange = uint64(x.last)
}

// take applies what a peer tells.
func (x *Changes) take(b *wire.Beat) {
	x.hearing(b.GetChanges())
	for _, c := range b.GetChanges() {
		e := keyedlog.Entry{
			Key: c.GetKey(), Offset: int64(c.GetOffset()), Kept: time.Duration(c.GetKeptMs()) * time.Millisecond,
		}
		if len(c.GetValue()) > 0 {
			e.Value = c.GetValue()
		}
		x.fleet.Hear(e)
	}
	gap := x.gaps(b.GetChanges()) && b.GetProbe() == nil
	if gap || x.behindPeer(int64(b.GetLastChange())) || x.overdue() {
		x.fleet.Nudge()
	}
}

// hearing notes which changes are being heard.
func (x *Changes) hearing(changes []*wire.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		x.previous[int64(c.GetOffset())] = int64(c.GetPrevious())
		x.note(int64(c.GetOffset()))
		x.last = max(x.last, int64(c.GetOffset()))
	}
}

// note notes that a change is known.
func (x *Changes) note(offset int64) {
	delete(x.missing, offset)
	if offset > x.read {
		x.heard[offset] = struct{}{}
	}
}

// gaps notes the changes that came before those that were heard and that weren't. It returns
// whether there are new ones: more changes at a time than a beat carries, or a lost beat. An
// endpoint whose leaving was missed so would get work for as long as the store isn't read. Of
// changes that are passed on from VM to VM the earlier one may come by another way a moment later.
func (x *Changes) gaps(changes []*wire.Change) (found bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		delete(x.previous, int64(c.GetOffset()))
		before := int64(c.GetPrevious())
		_, heard := x.heard[before]
		if before <= x.read || heard || x.missing[before] != nil {
			continue
		}
		x.missing[before] = &missing{at: x.clock.Now()}
		found = true
	}
	x.forget()
	return found
}

// forget keeps what is remembered as heard bounded. What is older counts as known, but for what
// is missing.
func (x *Changes) forget() {
	if len(x.heard) <= mostHeard {
		return
	}
	offsets := slices.Sorted(maps.Keys(x.heard))
	x.hadBefore(offsets[len(offsets)-mostHeard/2])
}

// hadBefore notes that changes up to an offset need not be remembered as heard.
func (x *Changes) hadBefore(offset int64) {
	x.read = max(x.read, offset)
	maps.DeleteFunc(x.heard, func(offset int64, _ struct{}) bool { return offset <= x.read })
}

// RecordRead notes that this VM has read the store up to the offset end itself.
func (x *Changes) RecordRead(end int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hadBefore(end - 1)
	maps.DeleteFunc(x.missing, func(offset int64, _ *missing) bool { return offset < end })
}

// overdue tells whether the store is to be read for a change that has been missing for too long.
func (x *Changes) overdue() (due bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	for offset, m := range x.missing {
		if now.Sub(m.at) < behindFor {
			continue
		}
		m.at, due = now, true
		if m.reads++; m.reads == mostReads {
			delete(x.missing, offset)
		}
	}
	return due
}

// behindPeer tells whether a peer has known a newer change for too long.
func (x *Changes) behindPeer(last int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	switch {
	case last <= x.last:
		return false
	case x.behind == 0 || x.last >= x.newer:
		x.behind, x.newer = now, last
		return false
	case now.Sub(x.behind) < behindFor:
		return false
	}
	x.behind = 0
	x.last = last // read once for it
	return true
}
