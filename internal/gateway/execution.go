package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/drain"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
)

// execution carries one call from its arrival to its final answer, over all attempts.
type execution struct {
	g         *Gateway
	callerCtx context.Context // done when the caller disconnects
	callCtx   context.Context // done when the caller disconnects or the deadline passes
	ctx       context.Context // callCtx, or that of the replacement that is being secured
	call      *Call
	route     *catalog.Route
	view      *catalog.View
	request   *http.Request
	w         http.ResponseWriter
	deadline  clock.Time
	service   string

	arrivals              int                           // requests that have reached endpoints, except the first prefill
	runs                  int                           // arrivals in which the request may have run
	silentEngines         int                           // attempts that weren't sent as the engine was silent, too
	shareDenials          int                           // attempts that weren't sent as the endpoint held its share of bytes
	rejections            int                           // arrivals that endpoints haven't run, but for forgotten ones
	runsSent              atomic.Int32                  // requests sent that aren't prefills; a guard reads it while a replacement is secured
	avoidsPrefillEngines  bool                          // while it is placed, to save retries
	prepaidRetries        int                           // taken from the retry budget and not sent yet
	prefillDone           bool                          // an engine has accepted the prefill that is no arrival
	history               exchange.History              // connections to endpoints that have carried the request
	tried                 map[string]bool               // ids of endpoints that further attempts exclude
	rejectedBy            map[string]bool               // those of them that haven't run the request and may take it later
	silent                map[string]bool               // ids of endpoints that the replacement which is being secured excludes
	lastEventID           string                        // id of the last event that was sent to the caller
	lastEventAt           clock.Time                    // when it was sent
	origin                atomic.Pointer[origin.Origin] // of the stream, nil before its first event
	originSource          originsync.Source             // of the origin of a stream that the caller takes up
	endpointFailure       *bufferedAnswer               // the latest failure that an endpoint answered with
	headerSent            bool                          // the answer's header has been sent to the caller
	answerClaim           atomic.Int32                  // who gives the answer: claimedByEndpoint, claimedByShutdown, or zero
	workspaceCounted      bool                          // the request has been counted for its workspace
	waited                bool                          // for an idle engine or for endpoint capacity
	queueSlot             queueSlot
	wait                  wait          // where the service has priorities
	predictedCachedTokens int           // at the first placement
	sharedTokens          int           // tokens of the prompt's shared parts
	handoffTime           time.Duration // arrival to end of a separate prefill, zero without one
	prefillWork           time.Duration // predicted at the newest placement
	predictedFirstEvent   time.Duration // predicted time to the first event at the first placement
	untilFirstEvent       time.Duration // predicted at the newest placement, or once its prefill is done
	callTime              *drain.Call   // nil until an endpoint begins to run the call
	startDelay            *drain.Call   // of a stream that has been sent, nil before that and from its first event on
	events                *drain.Events // of the answer, nil before the first one
	runsAt                string        // ID of the engine that is to run the stream, by the newest placement
	firstEventTime        time.Duration // from the arrival to the first event
	latest                *attempt      // that has ended
	attempts              []attemptTrace
	held                  hold // bodies of answers
	withheld              int  // replacements that weren't sent, as the other endpoints were silent or full, too
}

func (x *execution) now() clock.Time { return x.g.o.Clock.Now() }

func (x *execution) remainingTime() time.Duration { return x.deadline.Sub(x.now()) }

// maxUnreachableEndpoints is the number of endpoints that can't be reached after which a request
// fails: each of them costs the caller a connect timeout.
const maxUnreachableEndpoints = 3

// maxRejections is the number of endpoints that reject a request after which it fails: if that many
// endpoints are full, the service is taken to be full.
const maxRejections = 2

// maxRejectionsOfBegun is the same for a stream that has events: refusing it loses what was generated.
const maxRejectionsOfBegun = 6

// maxRejectionsOfCall is the same for a call to endpoints that state their capacity, as it waits for room before each
// attempt.
const maxRejectionsOfCall = 6

func (x *execution) isStream() bool { return x.route.Kind == catalog.Stream }

// maxRejections returns how many endpoints may reject the request.
func (x *execution) maxRejections() int {
	if x.headerSent {
		return maxRejectionsOfBegun
	}
	if !x.isStream() && x.g.o.Planner.CallRoom(x.now(), x.openEndpoints()).Known {
		return maxRejectionsOfCall
	}
	return maxRejections
}

// retryPriority returns the request's claim on the retry budget.
func (x *execution) retryPriority() repeat.Priority {
	if x.headerSent {
		return repeat.Begun
	}
	return repeat.NotBegun
}

// run makes attempts until one of them succeeds or no further attempt is allowed.
func (x *execution) run() {
	defer func() { x.queueSlot.leave() }()
	defer x.held.end()
	var last result
	for tries := 0; ; tries++ {
		if relayed, r := x.relay(); relayed {
			last = r
			break
		}
		if tries > 0 && !x.mayRetry(&last) && !x.awaitRoom(&last) {
			break
		}
		if r, ok := x.findOrigin(); !ok {
			last = r
			break
		}
		if tries == 0 {
			x.awaitRecord()
			x.g.o.Budget.CountRequest(x.now(), x.service)
		}
		last = x.attempt()
		if last.answer != nil {
			x.endpointFailure = last.answer
		}
		switch last.outcome {
		case lost:
			x.forgetRejections() // they came while the endpoint was silent; there may be room now
		case failed:
			x.forgetFailure()
		}
		if last.outcome == answered && last.proven {
			x.recordSuccess()
		}
		if last.outcome == answered || last.outcome == gone || last.outcome == refused {
			break
		}
	}
	x.endAnswer(last.outcome)
	x.finish(&last)
}

func (x *execution) attempt() result {
	if x.remainingTime() <= 0 || x.ctx.Err() != nil {
		return result{outcome: gone}
	}
	if x.isStream() {
		return x.streamAttempt()
	}
	return x.callAttempt()
}

// mayRetry reports whether another attempt is allowed after last.
func (x *execution) mayRetry(last *result) bool {
	switch last.outcome {
	case notSent:
		if len(x.attempts) >= maxUnreachableEndpoints+x.arrivals+x.shareDenials+x.silentEngines {
			return false
		}
		if last.code == code.BodyBudgetSpent && len(x.untriedEndpoints()) == 0 {
			return false
		}
	case notRun:
		if x.rejections >= x.maxRejections() {
			return false
		}
	case failed, lost:
		if !x.mayRunAgain() {
			return false
		}
	default:
		return false
	}
	if last.code == code.NoEndpoint || last.code == code.RetryBudgetSpent || x.ctx.Err() != nil {
		return false
	}
	if x.arrivals == 0 {
		return true // no arrival has been counted, so the next one is the request's first
	}
	return x.mayRunAgain()
}

// forgetFailure allows the endpoint of the latest attempt to be asked again if there is no other one. It has answered
// with a failure of its own, which a second run often doesn't meet.
func (x *execution) forgetFailure() {
	if x.latest != nil && len(x.untriedEndpoints()) == 0 {
		delete(x.tried, x.latest.request.Endpoint.ID)
	}
}

// awaitRoom waits for a moment if last found no endpoint that takes the rest of a stream which has events, as
// long as its caller waits for the next one. It reports whether another attempt is allowed then.
func (x *execution) awaitRoom(last *result) bool {
	noRoom := last.outcome == notRun || last.outcome == notSent
	patience := x.lastEventAt.Add(minCallerTimeout - deliveryMargin)
	if !x.headerSent || !noRoom || !x.mayRunAgain() || x.now().Add(replaceInterval) > patience {
		return false
	}
	x.forgetRejections()
	return clock.Sleep(x.ctx, replaceInterval)
}

// mayRunAgain reports whether the route allows another run.
func (x *execution) mayRunAgain() bool {
	return x.runs == 0 || x.route.Retryable() && x.runs < max(x.route.MaxAttempts, 1)
}

// openEndpoints returns the service's endpoints that accept requests, by the catalog's newest view. For a
// stream that has an event they are those of its version.
func (x *execution) openEndpoints() []*catalog.Endpoint {
	open := x.g.o.Catalog.View().Available(x.service)
	if len(x.silent) > 0 {
		open = slices.DeleteFunc(slices.Clone(open), func(e *catalog.Endpoint) bool { return x.silent[e.ID] })
	}
	if x.avoidsPrefillEngines {
		open = slices.DeleteFunc(slices.Clone(open), func(e *catalog.Endpoint) bool { return e.Stage == catalog.Prefill })
	}
	if o := x.origin.Load(); o != nil {
		return ofVersion(open, o.Version)
	}
	return x.startable(open)
}

// send sends the request of an attempt and reads the response's header. It returns a response only
// if the endpoint may have run the request; otherwise the result says what the failure means. wait
// runs the exchange, and reports whether another endpoint has taken the request meanwhile.
func (x *execution) send(ctx context.Context, a *attempt, wait waiter) (*exchange.Response, Answer, result) {
	s := a.request
	if !s.PrefillOnly {
		x.runsAt = s.Endpoint.ID
	}
	if r, ok := x.mayReplace(s.Endpoint); !ok {
		return nil, Answer{}, r
	}
	if x.isReplacedProcess(s.Endpoint) {
		return nil, Answer{}, result{outcome: notSent, code: code.EndpointLeft, err: errEndpointLeft}
	}
	upload, r, ok := x.beginUpload(s.Endpoint.ID)
	if !ok {
		return nil, Answer{}, r
	}
	defer upload.End()
	if r, ok := x.admitSend(s.Endpoint); !ok {
		return nil, Answer{}, r
	}
	s.RemainingTime, s.UrgencyRank = x.remainingTime(), x.urgencyRank()
	req := &exchange.Request{
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host,
		Header: x.g.o.Codec.Header(x.call, s), Body: x.call.Body, ID: x.call.ID, NoRetry: !x.route.Retryable(),
		VerifyEnd: !s.PrefillOnly, ResponseID: x.g.o.Codec.ResponseID, History: &x.history,
	}
	a.sentAt = x.now()
	a.progressAt = a.sentAt
	x.beginStart()
	a.life = x.g.silences.Begin(silenceProcess(s.Endpoint), a.sentAt.Add(a.quiet))
	a.exposure = x.g.exposures.Begin(a.sentAt, processOf(s.Endpoint), x.call.Fingerprint, x.crashParts())
	if !s.PrefillOnly {
		x.runsSent.Add(1)
	}
	var resp *exchange.Response
	var ans Answer
	var err error
	taken := wait(func() bool {
		if resp, err = x.g.o.Pool.Do(ctx, s.Endpoint.Address, req); err != nil {
			a.brokeOff = ctx.Err() == nil
			return false
		}
		a.life.Sign(x.now())
		ans = x.g.o.Codec.Answer(x.call, resp.Status, resp.Header)
		ans.OtherRequest = ans.OtherRequest || resp.OtherRequest
		x.recordSlowdown(s.Endpoint, &ans)
		x.recordSign(a, &ans)
		x.readBody(a, resp, &ans)
		return mayBeUsed(s, resp, &ans) && a.bodyErr == nil
	})
	switch {
	case taken && err != nil && !a.brokeOff:
		return nil, ans, result{outcome: replaced}
	case taken && err == nil:
		resp.Close()
		if ans.NotRun && !ans.OtherRequest {
			x.uncountRun(a)
		}
		return nil, ans, result{outcome: replaced}
	case err != nil:
		return nil, ans, x.classifySendError(a, err)
	}
	x.markResumed(a)
	r = x.receive(a, ans)
	if r.outcome != answered {
		resp.Close()
		return nil, ans, r
	}
	// While a replacement is secured, the silent endpoint may still say that it hasn't run the request.
	if !s.PrefillOnly && !x.mayRunAgain() && x.ctx == x.callCtx && resp.RequestWritten() {
		x.call.releaseBody() // it isn't sent again
	}
	return resp, ans, r
}

// recordSlowdown tells the planner how fast an endpoint works at this moment, if its answer says so.
func (x *execution) recordSlowdown(e *catalog.Endpoint, ans *Answer) {
	if ans.Slowdown != 0 && !ans.OtherRequest && !ans.Misdirected {
		x.g.o.Planner.RecordSlowdown(x.now(), e, ans.Slowdown)
	}
}

// mayBeUsed reports whether an answer's header leaves it open that the answer can be used.
func mayBeUsed(s *EndpointRequest, resp *exchange.Response, ans *Answer) bool {
	if ans.NotRun || ans.OtherRequest || resp.Status < 200 || resp.Status > 299 {
		return false
	}
	return s.PrefillOnly || ans.Signed && resp.Header.Get("Content-Encoding") == ""
}

// waiter runs op, which waits for an endpoint and reports whether it goes on. It reports whether another
// endpoint has taken the request.
type waiter func(op func() (goesOn bool)) (taken bool)

// admitSend makes the checks that precede each send, and takes the arrival from the retry budget.
func (x *execution) admitSend(e *catalog.Endpoint) (result, bool) {
	if r, ok := x.reauthorize(); !ok {
		return r, false
	}
	if r, refuse := x.refuseInDrain(x.runsAt); refuse {
		return r, false
	}
	if r, refuse := x.refuseQuarantined(); refuse {
		return r, false
	}
	if !x.takeRetryBudget() {
		return result{outcome: notSent, code: code.RetryBudgetSpent, err: errBudgetSpent}, false
	}
	if r, ok := x.acquireEndpoint(e); !ok {
		x.keepRetryBudget()
		return r, false
	}
	return result{}, true
}

// receive handles the header of a response. Its result is that of an attempt which has failed, or answered
// if the endpoint may have run the request.
func (x *execution) receive(a *attempt, ans Answer) result {
	e := a.request.Endpoint
	x.countArrival(a, !ans.NotRun)
	if !ans.OtherRequest {
		x.g.applyNotice(e, a.sentAt, x.call.ID, ans.Notice)
	}
	switch {
	case ans.OtherRequest:
		x.countRun(a)
		return result{outcome: lost, code: code.BadAnswer, err: errOtherRequest}
	case ans.NotRun:
		x.uncountRun(a)
		x.rejections++
		x.recordRejection(e)
		if ans.Misdirected {
			x.g.o.Planner.MarkStale(x.now(), e)
		} else {
			x.g.metrics.countRejection(x.g.o.Planner.RecordRejection(x.now(), a.ticket, ans.Requests))
		}
		r := result{outcome: notRun, code: code.EndpointRefused, err: errNotRun}
		if a.bodyErr != nil {
			r.err = fmt.Errorf("%w: %w", errNotRun, a.bodyErr)
		}
		return r
	}
	x.g.o.Crashes.RecordAnswer(a.sentAt, processOf(e))
	x.g.o.Planner.RecordAccepted(x.now(), a.ticket, ans.Requests)
	x.countRun(a)
	return result{outcome: answered}
}

// takeRetryBudget takes the next arrival from the retry budget, unless it is the request's first.
// It returns false if the budget is exhausted.
func (x *execution) takeRetryBudget() bool {
	if x.arrivals == 0 {
		return true
	}
	if x.prepaidRetries > 0 {
		x.prepaidRetries--
		return true
	}
	return x.g.o.Budget.Take(x.now(), x.service, x.retryPriority())
}

// acquireEndpoint checks that e still accepts requests and counts the request against e's limit. The
// request then no longer waits for capacity. The catalog or the limit may have changed since e was chosen, so
// it is called before each send.
func (x *execution) acquireEndpoint(e *catalog.Endpoint) (result, bool) {
	switch {
	case !x.mayContinueAt(e):
		return result{outcome: notSent, code: code.StreamVersionGone, err: errVersionGone}, false
	case !x.g.o.Catalog.View().IsAvailable(e):
		return result{outcome: notSent, code: code.EndpointLeft, err: errEndpointLeft}, false
	case !x.g.o.Pressure.TryAcquire(x.now(), e):
		return result{outcome: notSent, code: code.EndpointsLimited, err: errEndpointsLimited}, false
	}
	x.queueSlot.leave()
	return result{}, true
}

// keepRetryBudget keeps the retry that takeRetryBudget took for the next arrival, as this one
// wasn't sent or doesn't count.
func (x *execution) keepRetryBudget() {
	if x.arrivals > 0 {
		x.prepaidRetries++
	}
}

// classifySendError returns the result of a request for which the endpoint sent no response header.
func (x *execution) classifySendError(a *attempt, err error) result {
	if errors.Is(err, driver.ErrNotSent) {
		x.uncountRun(a)
		x.uncountArrival(a)
		if x.ctx.Err() != nil {
			return result{outcome: gone, err: err}
		}
		return result{outcome: notSent, code: code.EndpointCut, err: err}
	}
	x.countArrival(a, false)
	x.countRun(a)
	if x.ctx.Err() != nil {
		return result{outcome: gone, err: err}
	}
	if exceeded := exceededBound(err); exceeded != nil {
		return result{outcome: lost, code: exceededCode(exceeded), err: err}
	}
	return result{outcome: lost, code: code.EndpointCut, err: err}
}

// processOf identifies an endpoint's process. An endpoint may keep its ID when it restarts.
func processOf(e *catalog.Endpoint) string {
	if e.Born == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.Born, 10)
}

// HasProcess reports whether an endpoint of a view is the process that a crash names.
func HasProcess(v *catalog.View, process string) bool {
	return slices.ContainsFunc(v.All(), func(e *catalog.Endpoint) bool { return processOf(e) == process })
}

// placementOutcome returns the outcome that the planner records for the endpoint of r.
func placementOutcome(r *result) place.Outcome {
	if r.outcome == notSent && r.code != code.EndpointCut {
		return place.Ignored // this VM decided not to send the request
	}
	if exceeded := exceededBound(r.err); exceeded != nil {
		return exceededOutcome(exceeded)
	}
	switch r.outcome {
	case answered:
		return place.Success
	case notRun:
		return place.Rejected
	case failed:
		return place.ErrorAnswer
	case notSent, lost, replaced:
		return place.ExchangeFailed
	}
	return place.Ignored
}
