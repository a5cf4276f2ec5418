package loadtest

import (
	"container/heap"
	"time"

	"fescuestand/internal/clock"
)

// Loop is a discrete-event loop with a simulated clock. It runs events in order of time, and those
// with equal times in the order in which they were scheduled.
type Loop struct {
	now    clock.Time
	seq    uint64
	events eventHeap
}

// Now implements clock.Clock.
func (l *Loop) Now() clock.Time { return l.now }

// At schedules fn for time t, or for now if t is in the past.
func (l *Loop) At(t clock.Time, fn func()) {
	l.seq++
	heap.Push(&l.events, event{at: max(t, l.now), seq: l.seq, fn: fn})
}

// After schedules fn to run once d has passed.
func (l *Loop) After(d time.Duration, fn func()) { l.At(l.now.Add(d), fn) }

// Every schedules fn at intervals of d, first after d, until the loop ends.
func (l *Loop) Every(d time.Duration, fn func()) {
	l.After(d, func() {
		fn()
		l.Every(d, fn)
	})
}

// Run runs all events up to and including end.
func (l *Loop) Run(end clock.Time) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = end
}

type event struct {
	at  clock.Time
	seq uint64
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*h = old[:n]
	return e
}
