package gateway

import (
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
)

// Changes passes the changes of the endpoints' entries on that this VM reads or
// hears of, and takes those that the others tell. With them a VM needs the store
// only to make sure that it has missed nothing: two read it for all.
type Changes struct {
	clock clock.Clock
	fleet *keyedlog.Follower
	// Reads tells whether this VM reads the store for all. What another one has
	// read for itself the others know, or will read too.
	Reads func() bool

	mu     sync.Mutex
	recent []told
	last   int64      // offset of the newest change known here
	behind clock.Time // since when a peer has known a newer one, zero if none
	newer  int64      // its offset

	previous  map[int64]int64 // offsets of the changes before those being heard, by offset
	lacking   int64           // offset of a change that others know and that wasn't heard, zero if none
	lackingAt clock.Time
}

type told struct {
	change *wire.Change
	at     clock.Time
	heard  bool // of another VM
	left   int  // messages to VMs outside the active set that carry it
}

// NewChanges returns the exchange of fleet's changes.
func NewChanges(c clock.Clock, fleet *keyedlog.Follower) *Changes {
	return &Changes{clock: c, fleet: fleet, previous: map[int64]int64{}, Reads: func() bool { return true }}
}

// Know notes a change that is in force here and passes it on. What a VM reads at its
// start is no news to the others.
func (x *Changes) Know(e keyedlog.Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e.Newest || !e.Heard && !x.Reads() {
		x.last = max(x.last, e.Offset)
		return
	}
	c := &wire.Change{Key: e.Key, Value: e.Value, Offset: uint64(e.Offset), Previous: uint64(x.last), KeptMs: uint32(max(e.Kept, 0).Milliseconds())}
	if e.Heard {
		c.Previous = uint64(x.previous[e.Offset])
	}
	if e.Offset == x.lacking {
		x.lacking = 0
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
	for _, c := range b.GetChanges() {
		passedOn := b.GetProbe() != nil
		if x.gap(c, passedOn) {
			x.fleet.Nudge()
		}
		e := keyedlog.Entry{
			Key: c.GetKey(), Offset: int64(c.GetOffset()), Kept: time.Duration(c.GetKeptMs()) * time.Millisecond,
		}
		if len(c.GetValue()) > 0 {
			e.Value = c.GetValue()
		}
		x.fleet.Hear(e)
	}
	x.heard(b.GetChanges())
	if x.missing(int64(b.GetLastChange())) || x.lacks() {
		x.fleet.Nudge()
	}
}

// heard forgets what was noted of changes while they were being heard.
func (x *Changes) heard(changes []*wire.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range changes {
		delete(x.previous, int64(c.GetOffset()))
	}
}

// gap tells whether a change came between c and what is known here: more changes
// at a time than a beat carries, or a lost beat. An endpoint whose leaving was
// missed so would get work for as long as the store isn't read. Of changes that are
// passed on from VM to VM the earlier one may come by another way a moment later.
func (x *Changes) gap(c *wire.Change, passedOn bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, previous := x.last, int64(c.GetPrevious())
	x.previous[int64(c.GetOffset())] = previous
	x.last = max(x.last, int64(c.GetOffset()))
	if int64(c.GetOffset()) == x.lacking {
		x.lacking = 0
	}
	if passedOn && previous > known && x.lacking == 0 {
		x.lacking, x.lackingAt = previous, x.clock.Now()
	}
	return previous > known && !passedOn
}

// lacks tells, once, whether a change has been lacking for too long.
func (x *Changes) lacks() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lacking == 0 || x.clock.Now().Sub(x.lackingAt) < behindFor {
		return false
	}
	x.lacking = 0
	return true
}

// missing tells whether a peer has known a newer change for too long.
func (x *Changes) missing(last int64) bool {
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
