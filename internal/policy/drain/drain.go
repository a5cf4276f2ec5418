// Package drain decides which requests a VM that is shutting down still takes.
//
// Load pattern: callers cache the addresses of VMs, so a VM receives requests for seconds after it
// has announced that it leaves. The process ends at a fixed time, and a stream that is still running
// then is cut off in the middle. How long an answer takes isn't known when the request arrives: the
// longest streams of a route take several times the median, callers may begin to ask for longer
// answers at any time, and engines slow down while they are full. A
// request that is refused can be run by another VM, unless its caller reaches one that is shutting
// down too, as in a rolling restart with short pauses.
//
// Approach: a request is taken if it ends before the process does: because its caller's timeout
// passes earlier, or because its answer is short enough at the speed at which its endpoint works now.
// The answer of a stream has as many events as the request's limit of output tokens at most. The
// lengths of its route's answers lower that bound only if enough of them could have been as long:
// answers end at their own limits, so that those with lower limits say nothing about higher ones.
// Its wait before that is what is predicted and what recent answers took longer, as in the queue of an endpoint.
// The time for an event is that of the endpoint's slowest recent answers, or of the streams that it
// is sending if they are slower. Any other request is refused before it is sent to an endpoint.
//
// In the later part of a shutdown a request is taken only if its caller's timeout passes before the process ends, while
// another VM accepts callers: endpoints may slow down by more than any reserve that leaves requests to take.
//
// Where the bound rests on recent answers, a share of them may take longer than the time that is
// left. Once callers must have learned new addresses, only a negligible share may. Before that, the
// share grows with the probability that no other VM takes the request.
//
// The package does no I/O and reads no clock.
package drain

import (
	"math"
	"time"
)

const (
	// deliveryMargin is subtracted from the time that is left, for the delivery of an answer's end
	// to the caller.
	deliveryMargin = 100 * time.Millisecond
	// minCutShare is the share of a route's answers that may take longer than the time that is left,
	// if another VM is certain to take the request.
	minCutShare = 0.0001
	// cutCost is the cost of an answer that is cut off, in requests that are refused in vain.
	cutCost = 4
	// retryDelay is the Retry-After delay while other VMs accept callers.
	retryDelay = 10 * time.Millisecond
	// restartTime is the assumed time from the end of a process until its VM accepts callers again.
	restartTime = time.Second
)

// Request describes a request that no endpoint has run.
type Request struct {
	TimeLeft      time.Duration         // until the process ends
	CallerTimeout time.Duration         // time left until the caller disconnects
	Wait          time.Duration         // predicted upper bound of the time until the answer starts
	Delays        Sample[time.Duration] // by which answers have started later than predicted
	Answer        Answer
	AddressesOld  bool // addresses from before the shutdown have expired at callers that respect the TTL
	PeersReady    int  // other VMs that accept callers
	PeersLeaving  int  // other VMs that are shutting down
	Late          bool // estimates aren't trusted any more, see IsLate
}

// Answer is what is known of the time from the start of a request's answer to its end.
type Answer struct {
	Limit    int                   // output tokens that the request allows, zero if it doesn't say
	Lengths  Sample[int]           // events of answers that could have been as long
	PerEvent time.Duration         // upper bound of the mean time for an event at the endpoint, zero if unknown
	Calls    Sample[time.Duration] // durations of calls, which aren't answered with events
}

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	Take   Verdict = iota
	Refuse         // the answer could be cut off
)

func (v Verdict) String() string { return [...]string{"take", "refuse"}[v] }

// Decide returns the verdict and, if it is Refuse, the Retry-After delay.
func Decide(r Request) (Verdict, time.Duration) {
	left := r.TimeLeft - deliveryMargin
	if r.CallerTimeout <= left {
		return Take, 0
	}
	if r.Late && r.PeersReady > 0 {
		return Refuse, RetryAfter(r.PeersReady, r.TimeLeft)
	}
	share := r.cutShare()
	delay, _ := r.Delays.Exceeded(share)
	if longest, known := r.Answer.longest(share); known && r.Wait+delay+longest <= left {
		return Take, 0
	}
	return Refuse, RetryAfter(r.PeersReady, r.TimeLeft)
}

// minEstimateShare is the share of a shutdown that must be left for estimates to be trusted.
const minEstimateShare = 3. / 4

// IsLate reports whether so little of a shutdown is left that answers which take longer than recent ones would be cut
// off. A refusal costs a caller some milliseconds while another VM accepts it, an answer that is cut off its request.
func IsLate(left, whole time.Duration) bool { return float64(left) < minEstimateShare*float64(whole) }

// RetryAfter returns the delay after which a caller finds a VM that accepts it.
func RetryAfter(peersReady int, timeLeft time.Duration) time.Duration {
	if peersReady > 0 {
		return retryDelay
	}
	return max(timeLeft, 0) + restartTime
}

// cutShare returns the share of the answers that may take longer than the time that is left.
func (r *Request) cutShare() float64 {
	if r.AddressesOld || r.PeersReady == 0 {
		return minCutShare
	}
	alsoLeaving := float64(r.PeersLeaving) / float64(r.PeersLeaving+r.PeersReady)
	return max(alsoLeaving/cutCost, minCutShare)
}

// minShorterLengths is the minimum number of lengths that lower the bound of the request's own limit.
const minShorterLengths = 20

// longest returns the time that a share of such answers exceeds, or false if it isn't known.
func (a *Answer) longest(share float64) (time.Duration, bool) {
	if d, known := a.Calls.Exceeded(share); known {
		return d, true
	}
	events, known := a.maxEvents(share)
	if !known || a.PerEvent <= 0 {
		return 0, false
	}
	if time.Duration(events) > maxAnswerTime/a.PerEvent {
		return maxAnswerTime, true
	}
	return time.Duration(max(events-1, 0)) * a.PerEvent, true // it starts with its first event
}

// maxAnswerTime is longer than any shutdown. It bounds the time that follows from the limit that a caller states.
const maxAnswerTime = 24 * time.Hour

// maxEvents returns the number of events that a share of such answers exceeds, or false if it isn't
// known. An event has one token at least.
func (a *Answer) maxEvents(share float64) (int, bool) {
	events, known := a.Lengths.Exceeded(share)
	switch {
	case a.Limit <= 0:
		return events, known
	case a.Lengths.Count < minShorterLengths:
		return a.Limit, true
	}
	return min(events, a.Limit), true
}

// Sample summarizes the lengths or durations of answers.
type Sample[T int | time.Duration] struct {
	Count   int
	Longest T
}

// Exceeded returns the value that a share of the answers exceeds, or false if no answer has been
// observed. The tail of the values is taken for exponential: the longest of n values is expected at
// ln(n)+γ times the tail's scale, and a share p exceeds ln(1/p) times the scale.
func (s Sample[T]) Exceeded(share float64) (T, bool) {
	const eulerGamma = 0.5772
	if s.Count == 0 {
		return 0, false
	}
	scale := float64(s.Longest) / (math.Log(float64(s.Count)) + eulerGamma)
	return T(math.Ceil(math.Log(1/share) * scale)), true
}

func (s Sample[T]) merge(other Sample[T]) Sample[T] {
	return Sample[T]{s.Count + other.Count, max(s.Longest, other.Longest)}
}
