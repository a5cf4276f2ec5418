package gateway

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/ontime"
	"fescuestand/internal/policy/place"
)

// holdStep is the time between two looks for an engine that is about to be
// idle: a fraction of a usual prompt's work.
const holdStep = 20 * time.Millisecond

// place finds the engines for a prompt. A request that would be late waits here
// for an engine that is about to be idle, or is told to come back.
func (x *execution) place(pr *place.Prompt) (place.Plan, result, bool) {
	var release func()
	defer func() {
		if release != nil {
			release()
		}
	}()
	for {
		plan, ok := x.g.o.Planner.Plan(x.now(), x.open(), pr, x.tried)
		if !ok {
			if r, again := x.awaitRoom(); !again {
				return plan, r, false
			}
			continue
		}
		x.predict(&plan, pr)
		x.work = plan.Work
		v, again := x.decide(&plan)
		switch v {
		case ontime.Serve:
			return plan, result{}, true
		case ontime.Refuse:
			return plan, result{outcome: refused, code: code.DeadlineInfeasible, err: errTooLate, again: again}, false
		}
		if release == nil {
			release = x.g.held.Add(plan.Work)
			x.held = true
		}
		if !clock.Sleep(x.ctx, holdStep) {
			return plan, result{outcome: gone}, false
		}
	}
}

// predict keeps the first prediction for the log.
func (x *execution) predict(plan *place.Plan, pr *place.Prompt) {
	if x.predicted > 0 {
		return
	}
	x.predicted, x.cachedTokens = plan.FirstEvent, plan.CachedTokens
	x.sharedTokens = pr.SharedTokens()
}

// decide judges a request that no endpoint has seen; one that goes on with a
// stream is sent at once.
func (x *execution) decide(plan *place.Plan) (ontime.Verdict, time.Duration) {
	if x.arrivals > 0 || x.started {
		return ontime.Serve, 0
	}
	ahead := time.Duration(0)
	if !x.held {
		ahead = x.g.held.Backlog(x.g.o.VMs(), plan.Candidates)
	}
	return ontime.Decide(ontime.Request{
		Elapsed: x.now().Sub(x.c.Arrived), Target: x.route.Target, CallerTimeout: x.firstPatience(),
		FirstEvent: plan.FirstEvent, Wait: plan.Wait, Backlog: ahead, Random: x.c.Fingerprint ^ uint64(x.now()),
	})
}

// firstPatience is how long callers wait for a stream's first event.
func (x *execution) firstPatience() time.Duration {
	return min(max(leastPatience, patientTargets*x.route.Target, patientGaps*x.route.Gap), x.deadline.Sub(x.c.Arrived))
}

const (
	// leastPatience, and these multiples of what they hope for, is how long
	// callers wait for an event before they leave.
	leastPatience  = 2 * time.Second
	patientTargets = 4
	patientGaps    = 8
)
