// Package ontime decides whether a stream is sent to an engine now, waits at its
// VM, or is told to come back.
//
// Load pattern: a burst brings more prompts than the engines can read. Engines
// read them in order of arrival, so that without a bound their queues grow until
// every first event is later than callers hope for, and then later than they
// wait; all that was read for those who left is lost, and it takes as long again
// until the queues are short. So a request whose first event would be late only
// because of the queue isn't sent into it: it waits here until an engine is
// about to be idle, and the queues stay so short that what comes next is on
// time. When more of them wait than can be read before their callers leave, the
// rest is refused at once with a time to come back. A request that is late by
// its own length is sent: nothing would make it earlier.
//
// The package does no I/O and reads no clock.
package ontime

import (
	"sync/atomic"
	"time"
)

const (
	// targetMargin is left of the target for what a prediction misses.
	targetMargin = 10 * time.Millisecond
	// patienceMargin is left of the callers' patience for the same, and for
	// what arrives meanwhile.
	patienceMargin = 300 * time.Millisecond
	// idleWait is the queue up to which an engine counts as about to be idle:
	// half of a usual prompt's work, so that it doesn't run dry.
	idleWait = 30 * time.Millisecond
	// leastAgain and againSpread are the shortest time to come back and the
	// span over which those who were refused together return.
	leastAgain  = 300 * time.Millisecond
	againSpread = 1200 * time.Millisecond
)

// Request is what is known of a stream that hasn't been sent.
type Request struct {
	Elapsed  time.Duration // since its arrival
	Target   time.Duration // that callers hope for, zero for none
	CallerTimeout time.Duration // after which they leave
	FirstEvent    time.Duration // predicted time to the first event
	Wait     time.Duration // the part of it that is spent in an engine's queue
	Backlog    time.Duration // time to work off what waits here for idle engines
	Random     uint64        // spreads the times to come back
}

// Verdict on a request.
type Verdict uint8

// The verdicts.
const (
	Serve  Verdict = iota
	Hold           // it waits for an engine that is about to be idle
	Refuse         // its caller would have left
)

func (v Verdict) String() string { return [...]string{"serve", "hold", "refuse"}[v] }

// Decide returns the verdict, and when to come back if it is Refuse.
func Decide(r Request) (Verdict, time.Duration) {
	total := r.Elapsed + r.FirstEvent
	onTime := r.Target == 0 || total <= r.Target-targetMargin
	long := r.FirstEvent-r.Wait > r.Target-targetMargin
	switch {
	case total > r.CallerTimeout-patienceMargin:
		return Refuse, again(r)
	case onTime, r.Wait <= idleWait, long && r.Elapsed == 0:
		return Serve, 0
	case total-r.Wait+r.Backlog > r.CallerTimeout-patienceMargin:
		return Refuse, again(r)
	}
	return Hold, 0
}

// MaxUrgencyRank is the last of the ranks that engines serve by; 0 is the first.
const MaxUrgencyRank = 9

const (
	// fixedTime of a first event is no engine's work: the exchanges and the
	// hand-over.
	fixedTime = 50 * time.Millisecond
	// urgencyStep is the slack between two ranks: ten of them cover what the
	// users' targets leave.
	urgencyStep = 40 * time.Millisecond
)

// UrgencyRank ranks a prompt by its slack, the time that it could wait and still be
// on time. By the routes' priority alone, long prompts, which have the least
// slack, wait for all short ones and are late at half the load that they could
// bear.
func UrgencyRank(left, work time.Duration) int {
	slack := left - work - fixedTime
	return min(max(int(slack/urgencyStep), 0), MaxUrgencyRank)
}

// again is when what waits now has been worked off, and a random time more.
func again(r Request) time.Duration { return RetryAfter(max(r.Wait, r.Backlog), r.Random) }

// RetryAfter is when to come back with a request that there will be room for after wait.
func RetryAfter(wait time.Duration, draw uint64) time.Duration {
	return max(wait, leastAgain) + time.Duration(draw%uint64(againSpread))
}

// HeldWork counts the work of the requests that wait at this VM. It is safe for
// concurrent use.
type HeldWork struct{ work atomic.Int64 }

// Add counts a request's work until the returned function is called.
func (h *HeldWork) Add(work time.Duration) (done func()) {
	h.work.Add(int64(work))
	return func() { h.work.Add(-int64(work)) }
}

// Backlog is the time in which the engines work off what waits at all VMs, if as
// much waits at each as here.
func (h *HeldWork) Backlog(vms, engines int) time.Duration {
	return time.Duration(h.work.Load()) * time.Duration(vms) / time.Duration(max(engines, 1))
}
