// Package turn orders the requests that wait for a slot of a fake endpoint.
package turn

import "slices"

// Turn identifies a request that waits. The zero value stands for one that doesn't.
type Turn int

// Queue is a first-in, first-out queue of bounded length. Its user locks it.
type Queue struct {
	waiting []Turn
	last    Turn
}

// Enter appends a request, unless limit requests wait already.
func (q *Queue) Enter(limit int) (t Turn, ok bool) {
	if len(q.waiting) >= limit {
		return 0, false
	}
	q.last++
	q.waiting = append(q.waiting, q.last)
	return q.last, true
}

// Leave removes a request, whether it got a slot or not.
func (q *Queue) Leave(t Turn) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w Turn) bool { return w == t })
}

// IsNext reports whether the next free slot belongs to a request: to the first one that waits, or to any if none does.
func (q *Queue) IsNext(t Turn) bool {
	return len(q.waiting) == 0 || q.waiting[0] == t
}
