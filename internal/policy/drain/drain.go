// Package drain decides which requests a VM that is shutting down still takes.
//
// Load pattern: callers cache the addresses of VMs, so a VM receives requests for seconds after it
// has announced that it leaves. The process ends at a fixed time, and a stream that is still running
// then is cut off in the middle. How long an answer takes isn't known when the request arrives: the
// longest streams of a route take several times the median, and more while the engines are full. A
// request that is refused can be run by another VM, unless its caller reaches one that is shutting
// down too, as in a rolling restart with short pauses.
//
// Approach: a request is taken if it ends before the process does: because its caller's timeout
// passes earlier, or because the share of its route's answers that take longer than the time that is
// left is small enough. Any other request is refused before it is sent to an endpoint. Once callers
// must have learned new addresses, only a negligible share may take longer. Before that, the share
// grows with the probability that no other VM takes the request.
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
	TimeLeft      time.Duration // until the process ends
	CallerTimeout time.Duration // time left until the caller disconnects
	Wait          time.Duration // predicted time until the answer starts
	Answers       Sample        // of the time from the start of an answer to its end
	AddressesOld  bool          // addresses from before the shutdown have expired at callers that respect the TTL
	PeersReady    int           // other VMs that accept callers
	PeersLeaving  int           // other VMs that are shutting down
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
	if longest, known := r.Answers.Exceeded(r.cutShare()); known && r.Wait+longest <= left {
		return Take, 0
	}
	if r.PeersReady > 0 {
		return Refuse, retryDelay
	}
	return Refuse, max(r.TimeLeft, 0) + restartTime
}

// cutShare returns the share of the answers that may take longer than the time that is left.
func (r *Request) cutShare() float64 {
	if r.AddressesOld || r.PeersReady == 0 {
		return minCutShare
	}
	alsoLeaving := float64(r.PeersLeaving) / float64(r.PeersLeaving+r.PeersReady)
	return max(alsoLeaving/cutCost, minCutShare)
}

// Sample summarizes the durations of answers.
type Sample struct {
	Count   int
	Longest time.Duration
}

// Exceeded returns the duration that a share of the answers exceeds, or false if no answer has been
// observed. The tail of the durations is taken for exponential: the longest of n values is expected
// at ln(n)+γ times the tail's scale, and a share p exceeds ln(1/p) times the scale.
func (s Sample) Exceeded(share float64) (time.Duration, bool) {
	const eulerGamma = 0.5772
	if s.Count == 0 {
		return 0, false
	}
	scale := float64(s.Longest) / (math.Log(float64(s.Count)) + eulerGamma)
	return time.Duration(math.Log(1/share) * scale), true
}

func (s Sample) merge(other Sample) Sample {
	return Sample{s.Count + other.Count, max(s.Longest, other.Longest)}
}
