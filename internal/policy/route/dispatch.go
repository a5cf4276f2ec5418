package route

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/limit"
)

// Dispatch is one unit of work sent to one endpoint. It is owned by the goroutine that serves the
// request and is not safe for concurrent use.
type Dispatch struct {
	Endpoint        *Endpoint // nil if the dispatch is unused
	prefillNanos    int64     // uncached prefill work
	lane            lane
	unloadedTime    time.Duration // estimated, without waiting
	expectedTime    time.Duration // estimated, including waiting
	sentAt          clock.Time
	firstTokenAt    clock.Time
	sent            bool
	firstTokenSeen  bool
	firstTokenRatio float64
	stepRatio       float64
}

// Outcome is how a dispatch ended.
type Outcome uint8

// The outcomes.
const (
	Success  Outcome = iota
	Failed           // the endpoint returned an error, or its connection broke
	Refused          // the endpoint rejected the work without running it
	Canceled         // the caller ended the request; not a sample of the endpoint
)

// Sent counts d as in flight. Call it immediately after Pick.
func (r *Router) Sent(now clock.Time, d *Dispatch) {
	d.sent, d.sentAt = true, now
	rt := d.Endpoint.runtime
	if rt.awaitingFirstToken.Add(1) == 1 {
		rt.firstTokenDueAt.Store(int64(now.Add(r.firstTokenTimeout(d.expectedTime))))
	}
	rt.recordChange(now, 1, d.prefillNanos, d.lane)
	d.Endpoint.peers.windows[d.lane].add(d.prefillNanos)
}

// firstTokenTimeout returns how long an endpoint with an expected first-token time may go without
// producing a first token before it counts as stuck.
func (r *Router) firstTokenTimeout(expected time.Duration) time.Duration {
	return r.cfg.StuckTimeout + time.Duration(r.cfg.SlowFactor*float64(expected))
}

// endAwaiting records that one request fewer is waiting for its first token.
func (r *Router) endAwaiting(now clock.Time, rt *endpointRuntime) {
	rt.awaitingFirstToken.Add(-1)
	_, prefillNanos := r.estimateLoad(now, rt)
	remaining := time.Duration(max(prefillNanos, rt.totalOwnPrefillNanos()))
	rt.firstTokenDueAt.Store(int64(now.Add(r.firstTokenTimeout(remaining))))
}

// FirstToken records the first token of d, the end of its prefill, or the whole answer of a plain
// service.
func (r *Router) FirstToken(now clock.Time, d *Dispatch) {
	if d.firstTokenSeen || !d.sent {
		return
	}
	d.firstTokenSeen, d.firstTokenAt = true, now
	rt := d.Endpoint.runtime
	rt.ownPrefillNanos[d.lane].Add(-d.prefillNanos)
	r.recordPrefillEnd(now, d)
	r.endAwaiting(now, rt)
	elapsed := float64(now.Sub(d.sentAt))
	rt.firstTokenRatio.observe(now, elapsed/float64(max(d.expectedTime, minExpectedTime)), 1)
	d.firstTokenRatio = elapsed / float64(max(d.unloadedTime, minExpectedTime))
}

// recordPrefillEnd removes the prefill of d from its window and adapts the window to the measured
// wait.
func (r *Router) recordPrefillEnd(now clock.Time, d *Dispatch) {
	win := &d.Endpoint.peers.windows[d.lane]
	win.add(-d.prefillNanos)
	if d.prefillNanos > 0 {
		win.observe(now, now.Sub(d.sentAt)-d.unloadedTime, d.lane == normal && r.decodeTooSlow(d.Endpoint))
	}
}

// minExpectedTime keeps ratios meaningful for services that answer almost immediately. A tenth of a
// millisecond is the latency resolution of the network of a loaded VM.
const minExpectedTime = 100 * time.Microsecond

// Progress records that the given number of tokens has been received so far. Calling it every few
// tokens detects an endpoint that has become slow long before its answers end.
func (r *Router) Progress(now clock.Time, d *Dispatch, tokens int) {
	stepNanos := d.Endpoint.decodeStepNanos
	if !d.firstTokenSeen || tokens < 2 || stepNanos == 0 {
		return
	}
	stepTime := float64(now.Sub(d.firstTokenAt)) / float64(tokens-1)
	d.stepRatio = stepTime / float64(stepNanos)
	d.Endpoint.runtime.stepRatio.observe(now, d.stepRatio, 1)
}

// Done ends d with the given outcome. Further calls have no effect.
func (r *Router) Done(now clock.Time, d *Dispatch, outcome Outcome) {
	if !d.sent {
		return
	}
	rt := d.Endpoint.runtime
	inFlight := int(rt.ownRequests.Load())
	if outcome == Success {
		r.FirstToken(now, d)
	}
	prefillNanos := -d.prefillNanos
	if d.firstTokenSeen {
		prefillNanos = 0
	}
	rt.recordChange(now, -1, prefillNanos, d.lane)
	if !d.firstTokenSeen {
		d.firstTokenSeen = true
		d.Endpoint.peers.windows[d.lane].add(-d.prefillNanos)
		r.endAwaiting(now, rt)
	}
	d.sent = false
	switch outcome {
	case Canceled:
		return
	case Success:
		rt.errorRate.observe(now, 0, 0)
	case Failed:
		// The latency of an error is not a sample: an endpoint that fails fast would look like the
		// fastest of the pool and attract its traffic.
		rt.errorRate.observe(now, 1, 0)
	case Refused:
	}
	rt.limiter.Observe(now, limit.Sample{
		FirstTokenRatio: d.firstTokenRatio,
		StepRatio:       d.stepRatio,
		InFlight:        inFlight,
		Overloaded:      outcome == Refused,
	})
}
