// Package connlimit decides which connections a server gives up when it has as many as its process can bear.
//
// The load pattern is clients that open connections without end, or that keep many of them busy, without or with requests
// that they send ahead, and read nothing. Without a limit they take the descriptors and the memory of the process, and
// nobody else connects.
//
// A Table counts the connections of a server and the memory that they may take. Below its limits it decides nothing. At a
// limit, connections that wait are given up for new ones: those without a request first if they take more than their
// share, then those that have been idle for longest. If none waits, one whose client doesn't send its body or read its
// answer is given up, and one that is busy ends after its answer: the one that has been busy for the shortest time, as it will be free before
// a long stream is. The last eighth of a limit is for connections that come meanwhile.
package connlimit

import (
	"container/list"
	"time"
)

const (
	// ConnBytes is the memory in bytes that a connection takes: its buffers in the process and in the kernel.
	ConnBytes = 32 << 10
	// RequestBytes is what it takes more while a request is handled, without bodies.
	RequestBytes = 16 << 10
	// headerFactor is the memory that a byte of a header takes while it is read: buffers are doubled as they grow.
	headerFactor = 2
	// reserveDivisor is the part of a limit from which connections are given up.
	reserveDivisor = 8
	// newDivisor is the part of a limit that connections without a request may take.
	newDivisor = 4
	// MinStallTime is the time from which a client that is waited for counts as stalled.
	MinStallTime = time.Second
)

// Limits bound the connections of a server. A field that is zero sets no bound.
type Limits struct {
	Connections int
	Bytes       int64 // memory that they may take
}

// state is what a connection does.
type state int

const (
	fresh  state = iota // no request has been received on it
	idle                // the answer to its latest request has been sent
	active              // a request is handled
	ending              // it has been told to end
	states              // the number of states
)

// Entry is a connection in a table.
type Entry[C any] struct {
	conn    C
	state   state
	element *list.Element // in the list of its state
	header  int64         // bytes of a header that is being read
	closed  bool
	told    bool // to end
	reset   bool
}

// bytes returns the memory that the connection may take.
func (e *Entry[C]) bytes() int64 {
	n := ConnBytes + headerFactor*e.header
	if e.state == active || e.state == ending {
		n += RequestBytes
	}
	return n
}

// Table holds the connections of a server. It isn't safe for concurrent use.
type Table[C any] struct {
	// StalledSince returns since when a request waits for its client, to send the body or to read the answer, the zero
	// time if it doesn't.
	StalledSince func(C) time.Time

	limits Limits
	lists  [states]list.List // of *Entry[C], in the order in which they got into their states
	bytes  [states]int64
	peak   int
}

// GivenUp are the connections that make room.
type GivenUp[C any] struct {
	Waiting []C // end unless a request has arrived
	Stalled []C // are reset, as their clients are waited for
	Busy    []C // end after their answers
}

// SetLimits sets the limits. Connections over them are given up for the next ones.
func (t *Table[C]) SetLimits(l Limits) { t.limits = l }

// Count returns the number of open connections, and Peak the most there were.
func (t *Table[C]) Count() int {
	n := 0
	for s := range t.lists {
		n += t.lists[s].Len()
	}
	return n
}

// Peak returns the most connections that were open at a time.
func (t *Table[C]) Peak() int { return t.peak }

// Open adds a new connection, for which others may be given up. It returns nil if it can't be accepted.
func (t *Table[C]) Open(now time.Time, c C) (*Entry[C], GivenUp[C]) {
	e := &Entry[C]{conn: c}
	t.enter(e, fresh)
	up := t.makeRoom(now, e)
	if t.exceeds(t.Count(), t.total(), t.limits) {
		t.giveUpStalled(now, ending, &up)
		t.Close(e)
		return nil, up
	}
	t.peak = max(t.peak, t.Count())
	return e, up
}

// Begin records that a request is handled on a connection.
func (t *Table[C]) Begin(now time.Time, e *Entry[C]) GivenUp[C] {
	t.move(e, active)
	return t.makeRoom(now, e)
}

// End records that a connection's answer has been sent.
func (t *Table[C]) End(e *Entry[C]) { t.move(e, idle) }

// Read records how many bytes of a header have been read.
func (t *Table[C]) Read(now time.Time, e *Entry[C], bytes int64) GivenUp[C] {
	if e.closed {
		return GivenUp[C]{}
	}
	t.bytes[e.state] -= e.bytes()
	e.header = bytes
	t.bytes[e.state] += e.bytes()
	return t.makeRoom(now, e)
}

// Close removes a connection that has been closed.
func (t *Table[C]) Close(e *Entry[C]) {
	if !e.closed {
		t.leave(e)
		e.closed = true
	}
}

// GiveUpStalled gives up the connection whose client has been waited for longest, if there is one.
func (t *Table[C]) GiveUpStalled(now time.Time) (up GivenUp[C]) {
	_ = t.giveUpStalled(now, active, &up) || t.giveUpStalled(now, ending, &up)
	return up
}

func (t *Table[C]) move(e *Entry[C], s state) {
	if e.closed {
		return
	}
	t.leave(e)
	e.header = 0
	if e.told {
		s = ending
	}
	t.enter(e, s)
}

func (t *Table[C]) enter(e *Entry[C], s state) {
	e.state = s
	e.element = t.lists[s].PushBack(e)
	t.bytes[s] += e.bytes()
}

func (t *Table[C]) leave(e *Entry[C]) {
	t.bytes[e.state] -= e.bytes()
	t.lists[e.state].Remove(e.element)
}

func (t *Table[C]) total() int64 {
	var sum int64
	for _, n := range t.bytes {
		sum += n
	}
	return sum
}

func (t *Table[C]) exceeds(n int, bytes int64, l Limits) bool {
	return l.Connections > 0 && n > l.Connections || l.Bytes > 0 && bytes > l.Bytes
}

// isShort reports whether connections have to be given up, beside those that already end.
func (t *Table[C]) isShort() bool {
	start := Limits{
		Connections: t.limits.Connections - t.limits.Connections/reserveDivisor,
		Bytes:       t.limits.Bytes - t.limits.Bytes/reserveDivisor,
	}
	return t.exceeds(t.Count()-t.lists[ending].Len(), t.total()-t.bytes[ending], start)
}

// makeRoom gives up connections other than e.
func (t *Table[C]) makeRoom(now time.Time, e *Entry[C]) (up GivenUp[C]) {
	for t.isShort() {
		if !t.giveUpOne(now, e, &up) {
			break
		}
	}
	return up
}

func (t *Table[C]) giveUpOne(now time.Time, e *Entry[C], up *GivenUp[C]) bool {
	share := Limits{Connections: t.limits.Connections / newDivisor, Bytes: t.limits.Bytes / newDivisor}
	if t.exceeds(t.lists[fresh].Len(), t.bytes[fresh], share) && t.giveUpFirst(fresh, e, &up.Waiting) {
		return true
	}
	return t.giveUpFirst(idle, e, &up.Waiting) || t.giveUpStalled(now, active, up) ||
		t.giveUpNewest(active, e, &up.Busy) || t.giveUpFirst(fresh, e, &up.Waiting)
}

// giveUpFirst gives up the connection that has been in a state for longest, unless that is e.
func (t *Table[C]) giveUpFirst(s state, e *Entry[C], up *[]C) bool {
	for element := t.lists[s].Front(); element != nil; element = element.Next() {
		if first := element.Value.(*Entry[C]); first != e {
			t.tell(first, up)
			return true
		}
	}
	return false
}

// giveUpNewest gives up the connection that has been in a state for the shortest time, other than e.
func (t *Table[C]) giveUpNewest(s state, e *Entry[C], up *[]C) bool {
	for element := t.lists[s].Back(); element != nil; element = element.Prev() {
		if newest := element.Value.(*Entry[C]); newest != e {
			t.tell(newest, up)
			return true
		}
	}
	return false
}

// giveUpStalled gives up the connection in a state whose client has been waited for longest.
func (t *Table[C]) giveUpStalled(now time.Time, s state, up *GivenUp[C]) bool {
	var longest *Entry[C]
	since := now.Add(-MinStallTime)
	for element := t.lists[s].Front(); element != nil; element = element.Next() {
		e := element.Value.(*Entry[C])
		if at := t.StalledSince(e.conn); !e.reset && !at.IsZero() && at.Before(since) {
			longest, since = e, at
		}
	}
	if longest == nil {
		return false
	}
	longest.reset = true
	t.tell(longest, &up.Stalled)
	return true
}

// tell records that a connection is told to end.
func (t *Table[C]) tell(e *Entry[C], up *[]C) {
	*up = append(*up, e.conn)
	e.told = true
	t.leave(e)
	t.enter(e, ending)
}
