package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/ontime"
)

// bufferedAnswer is an endpoint's complete answer, held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *wholeBody
}

// write sends the answer to the caller unchanged, apart from hop-by-hop headers.
func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.FormatInt(a.body.size, 10))
	w.WriteHeader(a.status)
	// A failed write means that the caller has disconnected.
	_, _ = a.body.WriteTo(w)
}

// copyHeader copies the end-to-end headers of src to dst. If src has no Content-Type, it is set to
// nil in dst, so that net/http doesn't add one of its own.
func copyHeader(dst, src http.Header) {
	maps.Copy(dst, EndToEnd(src))
	if src["Content-Type"] == nil {
		dst["Content-Type"] = nil
	}
}

// callAttempt sends a call to one endpoint of its service and forwards a complete answer to the
// caller.
func (x *execution) callAttempt() result {
	r := x.callOnce()
	if r.outcome == answered {
		x.answerClaim.CompareAndSwap(0, claimedByEndpoint) // a whole answer is sent even if the shutdown ends the request
		r.answer.write(x.w)
		r.answer = nil
	}
	return r
}

// callOnce sends a call to one endpoint of its service and reads its answer. If the endpoint is silent, the
// answer may be that of another one.
func (x *execution) callOnce() result {
	a, r, ok := x.beginCall()
	if !ok {
		return r
	}
	a.bodyLimit, a.quiet = maxBodyBytes, x.callQuiet()
	ctx, cancel, _ := x.exchangeContext()
	defer cancel()
	g := newGuard(x, x.callAllowance(), func() (result, bool) { return x.replaceCall(a) }, leaver(a, cancel))
	defer g.stop()
	var replacement *result
	resp, ans, r := x.send(ctx, a, func(op func() bool) bool {
		next, taken := g.await(op)
		if taken {
			replacement = &next
		}
		return taken
	})
	if resp != nil {
		r = x.judgeAnswer(resp, ans, a)
	}
	if ans.Requests > 0 {
		x.g.o.Planner.RecordLoad(x.now(), a.ticket, ans.Requests-1)
	}
	if r.outcome == answered {
		x.g.held.observeCall(x.service, x.now().Sub(a.sentAt))
	}
	x.recordAttempt(a, &r)
	if replacement != nil {
		return *replacement
	}
	return r
}

// callAllowance is the time without an answer after which another endpoint is asked as well: a multiple of
// the route's target, and at most half of the remaining time. A call that may not be retried has all of it.
func (x *execution) callAllowance() time.Duration {
	if !x.route.Retryable() {
		return x.remainingTime()
	}
	allowed := max(attemptTimeoutTargets*x.route.LatencyTarget, minAttemptTimeout)
	return min(allowed, x.remainingTime()/2)
}

// callQuiet is the time in which a working endpoint answers a call. A call that may not be retried may take any
// time.
func (x *execution) callQuiet() time.Duration {
	if !x.route.Retryable() {
		return x.remainingTime()
	}
	return max(x.route.LatencyTarget, minAttemptTimeout/attemptTimeoutTargets)
}

const (
	// attemptTimeoutTargets times the route's target exceeds nearly every answer time of a working
	// endpoint: the slowest one in a hundred takes five times the mean, which is a fraction of the
	// target.
	attemptTimeoutTargets = 3
	// minAttemptTimeout avoids retries while the first answer is only delayed by the network.
	minAttemptTimeout = 300 * time.Millisecond
)

// urgencyRank is the rank by which engines order the request. It follows from the time left until
// the route's target, or is the call's priority if the route has no target.
func (x *execution) urgencyRank() int {
	if x.isTakenUp() {
		return 0 // it has much slack, being sent at once, and starves behind new ones that have less
	}
	if x.route.LatencyTarget == 0 {
		return min(max(x.priority(), 0), ontime.MaxUrgencyRank)
	}
	return ontime.UrgencyRank(x.route.LatencyTarget-x.now().Sub(x.call.Arrived), x.prefillWork)
}

// priority is the priority of the call's workspace, or of its route if the workspace has none.
func (x *execution) priority() int {
	if w := x.call.Workspace; w != nil && w.Priority != nil {
		return *w.Priority
	}
	return x.route.Priority
}

// judgeAnswer returns the result of an answer, whose body has been read. It keeps the answer in the result; a
// failure is sent to the caller if the call isn't retried.
func (x *execution) judgeAnswer(resp *exchange.Response, ans Answer, a *attempt) result {
	defer resp.Close()
	switch {
	case resp.Header.Get("Content-Encoding") != "":
		return result{outcome: lost, code: code.BadAnswer, err: errEncoded}
	case a.bodyErr != nil && x.ctx.Err() != nil:
		return result{outcome: gone, err: a.bodyErr}
	case exceededBound(a.bodyErr) != nil:
		return result{outcome: lost, code: exceededCode(exceededBound(a.bodyErr)), err: a.bodyErr}
	case a.bodyErr != nil:
		return result{outcome: lost, code: code.BadAnswer, err: a.bodyErr}
	}
	answer := &bufferedAnswer{resp.Status, resp.Header, a.body}
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case success && !ans.Signed:
		return result{outcome: lost, code: code.BadAnswer, err: errUnsigned}
	case success:
		r := x.verifyEnd(resp, a)
		if r.outcome == answered {
			r.answer = answer
		}
		return r
	case promisesNotRun(resp.Status):
		// The status would tell the caller that the request hasn't run, but the endpoint didn't
		// say so.
		return result{outcome: failed, code: code.EndpointFailed}
	}
	return result{outcome: failed, code: code.EndpointFailed, answer: answer}
}
