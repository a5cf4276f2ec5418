// Package scarcity decides which requests are served, held or refused when a service's endpoints can't do all
// the work that callers ask for, so that the requests whose delay or refusal costs callers least are delayed or
// refused.
//
// Load pattern: a service has routes of different priority, and more work arrives at many VMs than the endpoints
// can do, for seconds at a time. If each VM sends what it has, the endpoints' queues fill with the least urgent
// work, and the most urgent requests, which have the shortest targets, are late or refused.
//
// Approach: a VM keeps the requests that must wait in one queue, ordered by effective priority, and tells the
// others how much work it holds at each level of priority. A less urgent request is sent only while the
// endpoint's queue is so short that a more urgent one would still be on time behind it, and while no VM holds
// more urgent work. A request is refused, at once, only if its first event can't come before its caller leaves.
//
// The package does no I/O and reads no clock.
package scarcity

import (
	"time"

	"fescuestand/internal/clock"
)

// Levels is the number of levels of priority that VMs tell apart. Less urgent priorities share the last one.
const Levels = 4

// LevelOf returns the level of a configured priority.
func LevelOf(priority int) int { return min(max(priority, 0), Levels-1) }

const (
	// targetMargin is subtracted from a target to allow for errors of the prediction.
	targetMargin = 10 * time.Millisecond
	// A caller's patience is shortened by one part in patienceParts, up to maxPatienceMargin, for errors of the
	// prediction and the delivery of the event.
	patienceParts     = 10
	maxPatienceMargin = 200 * time.Millisecond
)

// Request describes a request that hasn't been sent to an endpoint.
type Request struct {
	Level     int // 0 is the most urgent
	Workspace string
	Arrived   clock.Time
	Target    time.Duration // after the arrival, for the first event or the answer; zero for none
	Leaves    time.Duration // after the arrival: when the caller leaves
	Work      time.Duration // that an endpoint must do before the first event
	Fixed     time.Duration // the rest of the time to the first event, without waiting
	Bytes     int           // that the request takes in memory while it is held
	Early     bool          // it has come back before the end of its Retry-After delay
	Begun     bool          // endpoints have generated a part of its answer
}

// duration is the time from sending to the first event without waiting.
func (r *Request) duration() time.Duration { return r.Work + r.Fixed }

// targetStart is the latest start with which the request is on time.
func (r *Request) targetStart() clock.Time {
	if r.Target == 0 {
		return r.lastStart()
	}
	return r.Arrived.Add(r.Target - targetMargin - r.duration())
}

// lastStart is the latest start with which the first event comes before the caller leaves.
func (r *Request) lastStart() clock.Time {
	return r.Arrived.Add(r.Leaves - min(r.Leaves/patienceParts, maxPatienceMargin) - r.duration())
}

// onTime reports whether the request is on time if it starts at the given time.
func (r *Request) onTime(start clock.Time) bool { return start <= r.targetStart() }

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Serve  Verdict = iota
	Hold           // keep it at this VM
	Refuse         // it can't be in time
)

func (v Verdict) String() string { return [...]string{"serve", "hold", "refuse"}[v] }

// Reason says why a request was held or refused, for the log and the metrics.
type Reason uint8

// The reasons.
const (
	None            Reason = iota
	EndpointsBusy          // the endpoints' queues are too long for the request's target
	UrgentElsewhere        // other VMs, or they and this one, hold more urgent work
	NotFirst               // this VM holds more urgent work
	TooLate                // its first event can't come before its caller leaves
	QueueFull              // this VM's queue is full of requests that precede it
)

func (r Reason) String() string {
	return [...]string{"", "endpoints-busy", "urgent-elsewhere", "not-first", "too-late", "queue-full"}[r]
}

// almostIdleWait is the wait at which an endpoint counts as almost idle: half of a typical prompt's work, so that
// it doesn't run out of work.
const almostIdleWait = 30 * time.Millisecond

// Situation is what a decision on a request depends on apart from the request.
type Situation struct {
	Now       clock.Time
	Wait      time.Duration // at the endpoint that would take the request
	Endpoints int           // that can do the work
	Ahead     time.Duration // work that this VM holds and that precedes the request
	Urgent    time.Duration // work of more urgent levels that this VM holds
	Above     time.Duration // work of more urgent levels that other VMs hold
	Same      time.Duration // work of the same level that other VMs hold
	Full      bool          // the endpoints can't take the request now
	Left      time.Duration // that the caller has left
	Random    uint64        // spreads the Retry-After delays
}

// Decision is the result of Decide.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration // of a refusal
	Recheck    time.Duration // of a held request: when the capacity is expected to be free
}

// Decide returns the decision on a request. One that has begun isn't put behind those that VMs hold: refusing it
// loses what was generated, and few of the endpoints for which they wait may be able to continue it.
func Decide(r *Request, s *Situation) Decision {
	ahead := s.Wait
	if !r.Begun {
		ahead += (s.Ahead + s.Above + s.Same/2) / time.Duration(max(s.Endpoints, 1))
	}
	if s.Now.Add(ahead) > r.lastStart() {
		return Decision{Verdict: Refuse, Reason: TooLate, RetryAfter: RetryAfter(ahead, s.Left, s.Random)}
	}
	if r.Begun {
		return decideByWait(r, s)
	}
	// Until the endpoints have work for almostIdleWait more, a request that is held elsewhere keeps none of them busy.
	spare := time.Duration(s.Endpoints) * almostIdleWait
	switch {
	case s.Urgent > spare:
		return Decision{Verdict: Hold, Reason: NotFirst, Recheck: maxRecheck}
	case s.Urgent+s.Above > spare:
		return Decision{Verdict: Hold, Reason: UrgentElsewhere, Recheck: maxRecheck}
	}
	return decideByWait(r, s)
}

// decideByWait returns the decision on a request that none precedes.
func decideByWait(r *Request, s *Situation) Decision {
	limit := r.maxWait(s.Now)
	switch {
	case s.Full:
		return Decision{Verdict: Hold, Reason: EndpointsBusy, Recheck: min(max(r.Work, minRecheck), maxRecheck)}
	case s.Wait > limit:
		return Decision{Verdict: Hold, Reason: EndpointsBusy, Recheck: min(max(s.Wait-limit, minRecheck), maxRecheck)}
	}
	return Decision{}
}

// Share returns how many calls a VM may have at endpoints that can take usable ones of all VMs, in proportion to its
// demand: the calls that it and the others have there or hold. If they take what is free instead, all VMs send into the
// same free places.
func Share(usable float64, own, others int) float64 {
	return usable * float64(own) / float64(max(own+others, 1))
}

// maxWait returns the longest wait at an endpoint to which the request is sent: what its own target leaves.
func (r *Request) maxWait(now clock.Time) time.Duration {
	return max(r.targetStart().Sub(now), almostIdleWait)
}

const (
	// minRecheck and maxRecheck bound the time after which a held request is decided again if no event wakes it.
	minRecheck = 10 * time.Millisecond
	maxRecheck = 100 * time.Millisecond
	// minRetryAfter is the shortest Retry-After delay. retryAfterSpread is the shortest span over which the
	// retries of requests that were refused together are spread; it is as long as the delay if that is longer.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = 500 * time.Millisecond
)

// honouredParts is the part of their time that callers wait for a Retry-After delay at most: one of so many.
const honouredParts = 3

// RetryAfter returns the Retry-After delay for a request that there will be capacity for after wait and whose caller
// has the given time left. A delay that its caller wouldn't wait for is shortened: it may find capacity by then, and
// otherwise doesn't come back at all.
func RetryAfter(wait, left time.Duration, random uint64) time.Duration {
	spread := max(wait, retryAfterSpread)
	delay := max(wait, minRetryAfter) + time.Duration(random%uint64(spread))
	longest := left / honouredParts
	if delay <= longest || longest < minRetryAfter {
		return delay
	}
	return longest - time.Duration(random%uint64(longest-minRetryAfter/2))/2
}
