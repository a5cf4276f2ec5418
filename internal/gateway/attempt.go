package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/silence"
)

// attempt is one exchange of an execution with an endpoint.
type attempt struct {
	request    *EndpointRequest
	ticket     *place.Ticket
	sentAt     clock.Time
	progressAt clock.Time  // sentAt, or when the latest event arrived
	eventAt    clock.Time  // the first event, zero before it
	settled    bool        // it has been recorded as having survived its beginning
	arrived    bool        // it has been counted as an arrival
	run        bool        // it has been counted as a run
	silent     bool        // the endpoint has been silent for too long and hasn't gone on since
	brokeOff   bool        // the exchange was lost, and not ended by this VM
	left       atomic.Bool // this VM has ended the exchange, as the endpoint was silent

	quiet time.Duration     // for which a working endpoint may be silent at first
	life  *silence.Exchange // nil until the request is sent

	exposure *crash.Exposure // the same

	bodyLimit int64 // bytes of the body that are read with the header, zero for none
	body      *wholeBody
	bodyErr   error
}

// attemptTrace is the record of one attempt for the request's log line.
type attemptTrace struct {
	endpoint string
	version  string // of the endpoint's software
	outcome  string
	silence  time.Duration // of an exchange that ended early: since its latest event, or since it was sent
}

func (t *attemptTrace) String() string {
	out := t.endpoint
	if t.version != "" {
		out += "/" + t.version
	}
	out += ":" + t.outcome
	if t.silence > 0 {
		out += ":silent=" + t.silence.Round(time.Millisecond).String()
	}
	return out
}

// readBody reads the body of an answer to its end, if it is to be read with the header.
func (x *execution) readBody(a *attempt, resp *exchange.Response, ans *Answer) {
	switch {
	case a.bodyLimit == 0:
		return
	case ans.NotRun:
		a.bodyErr = readRejection(resp)
		return
	}
	a.life.Await(x.now())
	a.body, a.bodyErr = x.readWholeAnswer(resp, a.bodyLimit)
	if a.bodyErr == nil {
		a.life.Sign(x.now())
	}
}

// begin begins an attempt, which must be ended with recordAttempt.
func (x *execution) begin(s *EndpointRequest, job place.Job) *attempt {
	return &attempt{request: s, ticket: x.g.o.Planner.Begin(x.now(), s.Endpoint, job)}
}

// leaver returns a function that ends the exchange of an attempt as its endpoint is silent.
func leaver(a *attempt, cancel context.CancelFunc) func() {
	return func() {
		a.left.Store(true)
		cancel()
	}
}

// exchangeContext returns a context for an exchange, which ends with the call. Until accept is called, it
// ends with the execution's context as well; accept returns false if it has ended already.
func (x *execution) exchangeContext() (ctx context.Context, cancel context.CancelFunc, accept func() bool) {
	ctx, cancel = context.WithCancel(x.callCtx)
	if x.ctx == x.callCtx {
		return ctx, cancel, func() bool { return true }
	}
	return ctx, cancel, context.AfterFunc(x.ctx, cancel)
}

// markSilent records that the endpoint of an attempt has been silent for too long. The request is assumed
// to have arrived there.
func (x *execution) markSilent(a *attempt) {
	x.g.o.Planner.MarkSilent(x.now(), a.ticket)
	a.silent = true
	if !a.arrived {
		x.countArrival(a, false)
		x.countRun(a)
	}
}

// markResumed records that the endpoint of an attempt has answered, after a silence or not.
func (x *execution) markResumed(a *attempt) {
	if a.silent {
		a.silent = false
		x.g.o.Planner.MarkResumed(x.now(), a.ticket)
	}
}

// countArrival counts a request that has reached an endpoint. The first prefill that an engine accepts
// isn't counted.
func (x *execution) countArrival(a *attempt, accepted bool) {
	if a.request.PrefillOnly && accepted && !x.prefillDone {
		x.prefillDone = true
		x.uncountArrival(a)
		x.keepRetryBudget() // it has taken a retry unless it was the first to be sent
		return
	}
	if !a.arrived {
		a.arrived = true
		x.arrivals++
	}
}

// uncountArrival takes back the arrival of an attempt that was assumed to have arrived while it was silent.
func (x *execution) uncountArrival(a *attempt) {
	if a.arrived {
		a.arrived = false
		x.arrivals--
	}
}

// countRun counts an exchange in which the request may have run. A prefill doesn't count as a run.
// For the workspace's count, a plain endpoint starts to run the request when it arrives, and an
// engine when it sends the first event.
func (x *execution) countRun(a *attempt) {
	if a.request.PrefillOnly || a.run {
		return
	}
	a.run = true
	x.runs++
	if !x.isStream() {
		x.countForWorkspace(a.sentAt)
	}
}

// uncountRun takes back the run of an attempt whose endpoint says that it didn't run the request.
func (x *execution) uncountRun(a *attempt) {
	if a.run {
		a.run = false
		x.runs--
	}
}

// recordAttempt records an attempt for the log and reports its outcome to the planner, and a
// possible crash of the endpoint to the crash register.
func (x *execution) recordAttempt(a *attempt, r *result) {
	e := a.request.Endpoint
	trace := attemptTrace{endpoint: e.ID, version: e.Version, outcome: r.outcome.String()}
	if r.outcome == lost || r.outcome == replaced {
		trace.silence = x.now().Sub(a.progressAt)
	}
	x.attempts = append(x.attempts, trace)
	x.recordExceededAttempt(a, r)
	x.tried[e.ID] = true
	if a.life != nil {
		a.life.End(x.now())
	}
	if r.outcome != replaced {
		x.latest = a
	}
	x.g.o.Planner.End(x.now(), a.ticket, placementOutcome(r))
	x.endExposure(a, r)
	x.g.held.wake(x.now(), x.service)
	isLeft := r.outcome == replaced || a.left.Load() || r.outcome == gone && a.silent
	switch {
	case r.mayBeCrash() && !isLeft:
		if r.isReset() {
			x.g.o.OnReset()
		}
		x.verifyLost(a, r.isReset())
	case isLeft, r.outcome == lost: // the VM has broken off a silent exchange, or an answer that it can't use
		ctx, now := context.WithoutCancel(x.callCtx), x.now()
		x.inBackground(func() { x.verifyLeft(ctx, a, now) })
	}
}
