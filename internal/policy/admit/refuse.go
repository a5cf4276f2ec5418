package admit

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// checkAdmission refuses requests that can't meet their deadline or exceed a limit.
func (q *Queue) checkAdmission(now clock.Time, r *Request, wait time.Duration) *code.Error {
	budget := r.Deadline.Sub(now)
	if budget <= 0 {
		return code.New(code.DeadlinePassed, "deadline passed %s ago", -budget).WithRetryAfter(q.retryAfter(now, r, wait))
	}
	if n := q.requestsByKey[r.Key]; r.Key != "" && n >= q.cfg.KeyLimit && !q.cfg.Disabled.NoKeyLimit {
		return code.New(code.HotKey, "key has %d requests queued or running, limit %d", n, q.cfg.KeyLimit).
			WithRetryAfter(q.retryAfter(now, r, q.drainTime(r, q.meanCost*float64(n))))
	}
	if q.cfg.Disabled.NoFeasibility {
		return nil
	}
	slack := r.latestStart().Sub(now)
	if time.Duration(float64(wait)*q.cfg.Margin) <= slack {
		return nil
	}
	return q.infeasibleError(r, now, wait, slack)
}

// infeasibleError returns the refusal of a request that can't meet its deadline. Its Retry-After delay
// follows from when the backlog will have drained so far that the same slack suffices, and ends before the
// slack does. There is none if that will never be the case.
func (q *Queue) infeasibleError(r *Request, now clock.Time, wait, slack time.Duration) *code.Error {
	c := code.DeadlineInfeasible
	if q.exceedsShare(r) {
		c = code.CallerOverShare
	}
	e := code.New(c, "must start in %s, would in %s and run %s; %d queued, %d running, drain %.1f/s",
		slack, wait, r.runTime, len(q.expiry), q.running, q.drainRate(r))
	if slack < 0 {
		return e
	}
	delay := q.retryAfter(now, r, wait-time.Duration(float64(slack)/q.cfg.Margin))
	return e.WithRetryAfter(withinSlack(delay, slack))
}

// withinSlack shortens a delay so that it ends before the slack does: a caller that returns later can't be
// served any more, and the forecast may be wrong. Longer delays stay longer, so that callers that were told
// different delays don't return together.
func withinSlack(delay, slack time.Duration) time.Duration {
	if slack <= 0 {
		return delay
	}
	return time.Duration(float64(delay) * float64(slack) / float64(delay+slack))
}

// exceedsShare reports whether r's flow holds clearly more of the backlog than its share.
func (q *Queue) exceedsShare(r *Request) bool {
	laneCost := q.lane(r).cost
	if r.leaf.cost == laneCost {
		return false
	}
	return float64(r.leaf.cost) > defaultOverShareFactor*r.leaf.share()*float64(laneCost)
}

func (q *Queue) retryAfter(now clock.Time, r *Request, wait time.Duration) time.Duration {
	return q.spread.RetryAfter(now, max(wait, 0), q.drainTime(r, float64(r.cost)))
}

// evictFor drops a queued request in favor of r: one of a lower priority, or otherwise one of the flow
// with the largest backlog. It returns an error if there is neither.
func (q *Queue) evictFor(now clock.Time, r *Request) ([]Refusal, *code.Error) {
	total := time.Duration(0)
	for _, l := range q.levels {
		total += l.root.cost
	}
	wait := q.drainTime(r, float64(total))
	for i := len(q.levels) - 1; i >= r.class.level; i-- {
		l := q.levels[i].root
		if l.count == 0 {
			continue
		}
		leaf := l.largestLeaf()
		c := code.ShedForPriority
		if i == r.class.level {
			if leaf.cost <= r.leaf.cost+r.cost {
				break
			}
			c = code.CallerOverShare
		}
		victim := leaf.queue[len(leaf.queue)-1]
		e := code.New(c, "dropped after %s for class %s; %d queued", now.Sub(victim.arrivedAt), r.class.Name, len(q.expiry))
		return []Refusal{q.drop(victim, e.WithRetryAfter(q.retryAfter(now, victim, wait)))}, nil
	}
	return nil, code.New(code.QueueFull, "%d queued, drained in %s", len(q.expiry), wait).
		WithRetryAfter(q.retryAfter(now, r, wait))
}
