package admit

import (
	"container/heap"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// Request is one request that is offered to the queue of a pool. The caller sets the exported fields;
// the queue owns the others.
type Request struct {
	ID                 string
	Class              string
	Workspace          string
	Caller             string
	Key                string // of the requested object, for the hot-key limit; may be empty
	PromptTokens       int
	CachedTokens       int        // prompt tokens expected in a cache
	MaxOutputTokens    int        // zero if the caller set none
	Deadline           clock.Time // of the whole answer
	FirstTokenDeadline clock.Time // zero if there is none
	Value              any        // not used by the queue

	class          *class
	arrivedAt      clock.Time
	startedAt      clock.Time
	cost           time.Duration // estimated engine time
	runTime        time.Duration // estimated time from start to end
	firstTokenTime time.Duration // the part of runTime up to the first token
	prefillTime    time.Duration // the part of firstTokenTime without the wait at the engine
	long           bool
	leaf           *flow
	index          int // in the expiry heap; -1 if not in it
	state          state
}

type state uint8

const (
	idle state = iota
	queued
	running
)

// Cost returns the estimated engine time of the request.
func (r *Request) Cost() time.Duration { return r.cost }

// latestStart returns the latest time at which r can start and still meet its deadlines.
func (r *Request) latestStart() clock.Time {
	t := r.Deadline.Add(-r.runTime)
	if r.FirstTokenDeadline != 0 {
		t = min(t, r.FirstTokenDeadline.Add(-r.firstTokenTime))
	}
	return t
}

// Refusal is the final answer to a request that has not run and won't run.
type Refusal struct {
	Request *Request
	Err     *code.Error
}

// OfferResult is the result of Queue.Offer. Err is nil if the request was queued. Dropped are the
// queued requests that were evicted for it.
type OfferResult struct {
	Err     *code.Error
	Wait    time.Duration // forecast time in the queue
	Dropped []Refusal
}

// expiry is a heap of the queued requests, ordered by their latest start.
type expiry []*Request

func (h expiry) Len() int           { return len(h) }
func (h expiry) Less(i, j int) bool { return h[i].latestStart() < h[j].latestStart() }

func (h expiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiry) Push(x any) {
	r := x.(*Request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *expiry) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}

var _ heap.Interface = (*expiry)(nil)
