package admit

import (
	"container/heap"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// Request is one request at the door of a pool. The caller fills the exported
// fields and leaves the rest to the queue.
type Request struct {
	ID                 string
	Class              string
	Workspace          string
	Caller             string
	Key                string     // of the thing asked about, for the hot-key limit; may be empty
	PromptTokens       int        // tokens
	CachedTokens       int        // tokens of the prompt expected in a cache
	MaxOutputTokens    int        // tokens; zero if the caller set none
	Deadline           clock.Time // of the whole answer
	FirstTokenDeadline clock.Time // of the first token; zero if it has none
	Value              any        // the caller's own

	class   *class
	arrived clock.Time
	started clock.Time
	cost    time.Duration // estimated time of an engine that it takes
	run     time.Duration // estimated time from its start to its end
	first   time.Duration // the part of run up to the first token
	prefill time.Duration // the part of first without the wait at the engine
	long    bool
	leaf    *flow
	index   int // in the expiry heap, -1 outside
	state   state
}

type state uint8

const (
	idle state = iota
	queued
	running
)

// Cost returns the estimated time of an engine that the request takes.
func (r *Request) Cost() time.Duration { return r.cost }

// latestStart is the last moment at which r can begin and end in time.
func (r *Request) latestStart() clock.Time {
	t := r.Deadline.Add(-r.run)
	if r.FirstTokenDeadline != 0 {
		t = min(t, r.FirstTokenDeadline.Add(-r.first))
	}
	return t
}

// Refusal is a request's final answer: it was not run and won't be.
type Refusal struct {
	Request *Request
	Err     *code.Error
}

// OfferResult answers an offer. Err is nil if the request was taken; Dropped are
// queued requests that had to make room for it.
type OfferResult struct {
	Err     *code.Error
	Wait    time.Duration // forecast
	Dropped []Refusal
}

// expiry orders queued requests by their latest start.
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
