package scarcity

import (
	"math"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxHeld and maxHeldBytes bound a VM's queue: the callers of more requests than that leave before their turn,
	// and the requests' bodies are a few KB each.
	maxHeld      = 2000
	maxHeldBytes = 16 << 20
	// lastChance is the time before the latest start from which a request's effective priority is raised.
	lastChance = 200 * time.Millisecond
	// usageSpan is the time constant of a workspace's decaying usage.
	usageSpan = 5 * time.Second
	// overShare times the mean usage of the workspaces is what a workspace may use without being put back.
	overShare = 2
)

// Entry is a request in a queue.
type Entry struct {
	Request
	// Wake receives a value when the request should be decided again.
	Wake chan struct{}

	queued bool
	key    key
}

// Queued reports whether the entry is still in its queue; a full queue drops the last one in order.
func (e *Entry) Queued() bool { return e.queued }

// Expired reports whether the request can't be in time any more.
func (e *Entry) Expired(now clock.Time) bool { return now > e.lastStart() }

// key orders the entries of a queue; the lowest is served first.
type key struct {
	rank  int
	start clock.Time
	work  time.Duration
}

func (k key) less(o key) bool {
	if k.rank != o.rank {
		return k.rank < o.rank
	}
	if k.start != o.start {
		return k.start < o.start
	}
	return k.work < o.work
}

// The ranks within a level.
const (
	rankOnTime     = iota // can be on time
	rankLastChance        // late, and its caller leaves soon
	rankRaised            // the same, of the next less urgent level
	rankLate              // late, and can wait
	rankEarly             // has come back too early
	rankOver       = 5    // is added to that of a request whose workspace uses more than its share
	ranksPerLevel  = 10
)

// Queue holds a VM's waiting requests for one service. It isn't safe for concurrent use.
type Queue struct {
	entries []*Entry
	bytes   int
	usage   map[string]float64 // engine seconds by workspace, as of usageAt
	total   float64            // sum of usage
	usageAt clock.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{usage: map[string]float64{}} }

// Len returns the number of requests.
func (q *Queue) Len() int { return len(q.entries) }

// Bytes returns the memory that the requests take.
func (q *Queue) Bytes() int { return q.bytes }

// Add adds a request. If the queue is then too large, the last requests in order leave it.
func (q *Queue) Add(now clock.Time, r Request) *Entry {
	e := &Entry{Request: r, Wake: make(chan struct{}, 1), queued: true}
	q.entries = append(q.entries, e)
	q.bytes += r.Bytes
	for len(q.entries) > maxHeld || q.bytes > maxHeldBytes && len(q.entries) > 1 {
		q.sort(now)
		last := q.entries[len(q.entries)-1]
		q.Remove(last)
		last.wake()
	}
	return e
}

// Remove removes an entry, if it is in the queue.
func (q *Queue) Remove(e *Entry) {
	if !e.queued {
		return
	}
	e.queued = false
	q.bytes -= e.Bytes
	i := slices.Index(q.entries, e)
	q.entries = slices.Delete(q.entries, i, i+1)
}

func (e *Entry) wake() {
	select {
	case e.Wake <- struct{}{}:
	default: // it hasn't handled the previous one yet
	}
}

// WakeFirst wakes the first request, and each that can't be in time any more so that it leaves.
func (q *Queue) WakeFirst(now clock.Time) {
	if first := q.First(now); first != nil {
		first.wake()
	}
	for _, e := range q.entries {
		if e.Expired(now) {
			e.wake()
		}
	}
}

// First returns the request that is served first, or nil.
func (q *Queue) First(now clock.Time) *Entry {
	var first *Entry
	for _, e := range q.entries {
		e.key = q.key(now, &e.Request)
		if first == nil || e.key.less(first.key) {
			first = e
		}
	}
	return first
}

// Ahead returns the work of the requests that precede r.
func (q *Queue) Ahead(now clock.Time, r *Request) time.Duration {
	k := q.key(now, r)
	var sum time.Duration
	for _, e := range q.entries {
		if q.key(now, &e.Request).less(k) {
			sum += max(e.Work, 1) // a request without work precedes it as well
		}
	}
	return sum
}

// Held returns the held work and the number of requests by level. A request whose effective priority is raised counts at its
// own level: counted above it, the raised requests of several VMs hold back all others of their level.
func (q *Queue) Held(now clock.Time) Held {
	var h Held
	for _, e := range q.entries {
		l := &h[e.Level]
		l.Work += e.Work
		l.Count++
	}
	return h
}

// Served records the use of capacity by a request's workspace.
func (q *Queue) Served(now clock.Time, r *Request) {
	keep := math.Exp(-now.Sub(q.usageAt).Seconds() / usageSpan.Seconds())
	q.usageAt = now
	for w, u := range q.usage {
		if u *= keep; u < minUsage {
			delete(q.usage, w)
		} else {
			q.usage[w] = u
		}
	}
	q.usage[r.Workspace] += r.Work.Seconds()
	q.total = 0
	for _, u := range q.usage {
		q.total += u
	}
}

// minUsage is the usage, in seconds, below which a workspace is forgotten.
const minUsage = 0.001

// isOver reports whether a workspace has used more than its share.
func (q *Queue) isOver(workspace string) bool {
	if len(q.usage) < 2 {
		return false
	}
	return q.usage[workspace] > overShare*q.total/float64(len(q.usage))
}

func (q *Queue) sort(now clock.Time) {
	for _, e := range q.entries {
		e.key = q.key(now, &e.Request)
	}
	slices.SortFunc(q.entries, func(a, b *Entry) int {
		switch {
		case a.key.less(b.key):
			return -1
		case b.key.less(a.key):
			return 1
		}
		return 0
	})
}

func (q *Queue) key(now clock.Time, r *Request) key {
	k := key{rank: q.rank(now, r), work: r.Work, start: r.lastStart()}
	if r.onTime(now) {
		k.start = r.targetStart()
	}
	return k
}

// rank returns the rank of a request. A late request whose caller leaves soon precedes those of the next more
// urgent level that are late anyway and can wait.
func (q *Queue) rank(now clock.Time, r *Request) int {
	level, within := r.Level, rankLate
	switch {
	case r.Early:
		within = rankEarly
	case r.onTime(now):
		within = rankOnTime
	case r.lastStart().Sub(now) < lastChance:
		within = rankLastChance
		if level > 0 {
			level, within = level-1, rankRaised
		}
	}
	if q.isOver(r.Workspace) {
		within += rankOver
	}
	return level*ranksPerLevel + within
}
