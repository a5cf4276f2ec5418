// Package ontime decides whether a stream request is sent to an engine now, is held at its VM, or is
// refused with a Retry-After delay.
//
// Load pattern: a burst brings more prompts than the engines can prefill. Engines prefill in order
// of arrival. Without a limit their queues grow until each first event misses the callers' target,
// and then until callers time out. The prefills for callers that have disconnected are wasted, and
// it takes as long again until the queues are short.
//
// Approach: a request whose first event would be late only because of the queue isn't sent. It is
// held at its VM until an engine is almost idle, so that the queues stay short enough for the next
// requests to be on time. When the held requests are more than the engines can prefill before the
// callers time out, the rest is refused at once with a Retry-After delay. A request that is late
// because its own prompt is long is sent, as waiting wouldn't make it any earlier.
//
// The package does no I/O and reads no clock.
package ontime

import (
	"sync/atomic"
	"time"
)

const (
	// targetMargin is subtracted from the target to allow for errors of the prediction.
	targetMargin = 10 * time.Millisecond
	// minCallerTimeoutMargin and maxCallerTimeoutMargin bound what is subtracted from the callers' timeout for
	// the same reason, and for requests that arrive in the meantime. Between them it is the time that is still
	// predicted: a short prediction can't be far off.
	minCallerTimeoutMargin = 30 * time.Millisecond
	maxCallerTimeoutMargin = 300 * time.Millisecond
	// almostIdleWait is the maximum queueing time at which an engine counts as almost idle: half of
	// a typical prompt's work, so that the engine doesn't run out of work.
	almostIdleWait = 30 * time.Millisecond
	// minRetryAfter is the shortest Retry-After delay, and retryAfterSpread the span over which the
	// retries of requests that were refused together are spread.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = 1200 * time.Millisecond
)

// Request describes a stream request that hasn't been sent to an engine.
type Request struct {
	Elapsed       time.Duration // since its arrival
	Target        time.Duration // for the time to the first event, zero for none
	CallerTimeout time.Duration // time to the first event after which callers disconnect
	FirstEvent    time.Duration // predicted time from now to the first event
	Wait          time.Duration // the part of FirstEvent that is spent in an engine's queue
	Backlog       time.Duration // time that the engines need for the requests that are held
	Random        uint64        // spreads the Retry-After delays
}

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Serve  Verdict = iota
	Hold           // keep it at this VM until an engine is almost idle
	Refuse         // its caller would time out
)

func (v Verdict) String() string { return [...]string{"serve", "hold", "refuse"}[v] }

// Decide returns the verdict and, if it is Refuse, the Retry-After delay.
func Decide(r Request) (Verdict, time.Duration) {
	total := r.Elapsed + r.FirstEvent
	onTime := r.Target == 0 || total <= r.Target-targetMargin
	longPrompt := r.FirstEvent-r.Wait > r.Target-targetMargin
	latest := r.CallerTimeout - min(max(r.FirstEvent, minCallerTimeoutMargin), maxCallerTimeoutMargin)
	switch {
	case total > latest:
		return Refuse, retryAfter(r)
	case onTime, r.Wait <= almostIdleWait, longPrompt && r.Elapsed == 0:
		return Serve, 0
	case total-r.Wait+r.Backlog > latest:
		return Refuse, retryAfter(r)
	}
	return Hold, 0
}

// MaxUrgencyRank is the rank of the least urgent requests. Engines serve requests of rank 0 first.
const MaxUrgencyRank = 9

const (
	// fixedOverhead is the part of the time to a first event in which no engine works on the
	// prompt: the exchanges and the KV cache transfer.
	fixedOverhead = 50 * time.Millisecond
	// slackPerRank is the difference in slack between two ranks: ten ranks cover the slack that
	// users' targets leave.
	slackPerRank = 40 * time.Millisecond
)

// UrgencyRank returns a prompt's rank by its slack, which is the time that it can wait and still be
// on time: left is the rest of its target and work its prefill. If engines served by the routes'
// priority alone, long prompts, which have the least slack, would wait for all short ones and be
// late at half of the sustainable load.
func UrgencyRank(left, work time.Duration) int {
	slack := left - work - fixedOverhead
	return min(max(int(slack/slackPerRank), 0), MaxUrgencyRank)
}

// retryAfter returns the time in which the queued or held requests are processed, plus a random
// time.
func retryAfter(r Request) time.Duration { return RetryAfter(max(r.Wait, r.Backlog), r.Random) }

// RetryAfter returns the Retry-After delay for a request that there will be capacity for after wait.
func RetryAfter(wait time.Duration, random uint64) time.Duration {
	return max(wait, minRetryAfter) + time.Duration(random%uint64(retryAfterSpread))
}

// HeldWork counts the prefill work of the requests that are held at this VM. It is safe for
// concurrent use.
type HeldWork struct{ work atomic.Int64 }

// Add counts a request's work until done is called.
func (h *HeldWork) Add(work time.Duration) (done func()) {
	h.work.Add(int64(work))
	return func() { h.work.Add(-int64(work)) }
}

// Backlog returns the time that the engines need for the requests held at all VMs, assuming that
// each VM holds as much work as this one.
func (h *HeldWork) Backlog(vms, engines int) time.Duration {
	return time.Duration(h.work.Load()) * time.Duration(vms) / time.Duration(max(engines, 1))
}
