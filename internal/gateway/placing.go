package gateway

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/ontime"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/scarcity"
)

// holdPollInterval is the time between two checks of whether a waiting request can be sent: a
// fraction of the prefill work of a typical prompt.
const holdPollInterval = 20 * time.Millisecond

// placePrompt chooses the engines for a prompt. A request that would miss its target only because
// of the engines' queues is held here until an engine is almost idle, or is refused with a
// Retry-After delay if its caller would time out. Where a service has routes of different priority, requests wait in
// the order of package scarcity.
func (x *execution) placePrompt(prompt *place.Prompt) (place.Plan, result, bool) {
	var release func()
	defer func() {
		if release != nil {
			release()
		}
		x.endWait()
	}()
	for {
		if r, refuse := x.refuseQuarantined(); refuse {
			return place.Plan{}, r, false
		}
		plan, ok := x.g.o.Planner.Plan(x.now(), x.openEndpoints(), prompt, x.tried)
		if !ok {
			x.endWait() // others may be placed
			if r, retry := x.awaitCapacity(); !retry {
				return plan, r, false
			}
			continue
		}
		x.recordPrediction(&plan, prompt)
		x.prefillWork, x.untilFirstEvent, x.runsAt = plan.Work, plan.FirstEvent, plan.Engine.ID
		if r, refuse := x.refuseInDrain(x.runsAt); refuse {
			return plan, r, false
		}
		if x.usesPriorities() && !x.isBegun() {
			d := x.decideByPriority(&plan)
			switch {
			case d.Verdict == scarcity.Serve:
				return plan, result{}, true
			case d.Verdict == scarcity.Refuse:
				return plan, tooLate(d.RetryAfter), false
			case !x.awaitTurn(&d):
				return plan, result{outcome: gone}, false
			}
			continue
		}
		verdict, retryAfter := x.decide(&plan)
		switch verdict {
		case ontime.Serve:
			return plan, result{}, true
		case ontime.Refuse:
			return plan, tooLate(retryAfter), false
		}
		if release == nil {
			release = x.g.heldWork.Add(plan.Work)
			x.waited = true
		}
		if !clock.Sleep(x.ctx, holdPollInterval) {
			return plan, result{outcome: gone}, false
		}
	}
}

// tooLate is the result of a request that is refused as it can't be in time.
func tooLate(retryAfter time.Duration) result {
	return result{outcome: refused, code: code.DeadlineInfeasible, err: errTooLate, retryAfter: retryAfter}
}

// isBegun reports whether the request has reached an endpoint or resumes a stream within its answer. It is then sent
// at once.
func (x *execution) isBegun() bool { return x.arrivals > 0 || x.headerSent }

// recordPrediction keeps the prediction of the first placement for the log.
func (x *execution) recordPrediction(plan *place.Plan, prompt *place.Prompt) {
	if x.predictedFirstEvent > 0 {
		return
	}
	x.predictedFirstEvent, x.predictedCachedTokens = plan.FirstEvent, plan.CachedTokens
	x.sharedTokens = prompt.SharedTokens()
}

// decide returns whether to send, hold or refuse a request, and the Retry-After delay of a refusal.
func (x *execution) decide(plan *place.Plan) (ontime.Verdict, time.Duration) {
	if x.isBegun() {
		return ontime.Serve, 0
	}
	backlog := time.Duration(0)
	if !x.waited && !x.isTakenUp() {
		backlog = x.g.heldWork.Backlog(x.g.o.VMs(), plan.Candidates)
	}
	return ontime.Decide(ontime.Request{
		Elapsed: x.now().Sub(x.call.Arrived), Target: x.route.LatencyTarget, CallerTimeout: x.firstEventTimeout(),
		FirstEvent: plan.FirstEvent, Wait: plan.Wait, Backlog: backlog, Random: x.call.Fingerprint ^ uint64(x.now()),
	})
}

// firstEventTimeout is the time after the call's arrival at which its caller is assumed to
// disconnect if it has received no event.
func (x *execution) firstEventTimeout() time.Duration {
	return min(max(minCallerTimeout, callerTimeoutTargets*x.route.LatencyTarget, callerTimeoutGaps*x.route.EventGapTarget), x.deadline.Sub(x.call.Arrived))
}

const (
	// Callers disconnect if they wait longer for an event than the largest of minCallerTimeout, and
	// these multiples of their route's targets for the first event and for the gap between events.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
)
