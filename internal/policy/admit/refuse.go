package admit

import (
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// check refuses what can't be served in time or is over a limit.
func (q *Queue) check(now clock.Time, r *Request, wait time.Duration) *code.Error {
	budget := r.Deadline.Sub(now)
	if budget <= 0 {
		return code.New(code.DeadlinePassed, "deadline passed %s ago", -budget)
	}
	if n := q.keys[r.Key]; r.Key != "" && n >= q.cfg.KeyLimit && !q.cfg.Disabled.NoKeyLimit {
		return code.New(code.HotKey, "key has %d requests queued or running, limit %d", n, q.cfg.KeyLimit).
			WithRetryAfter(q.comeBack(now, r, q.drainTime(r, q.meanCost*float64(n))))
	}
	if q.cfg.Disabled.NoFeasibility {
		return nil
	}
	slack := r.latestStart().Sub(now)
	if time.Duration(float64(wait)*q.cfg.Margin) <= slack {
		return nil
	}
	return q.tooLate(r, now, wait, slack)
}

// tooLate builds the refusal of an infeasible request. The time to come back
// is when the backlog will have drained so far that the same slack suffices;
// zero if it never will.
func (q *Queue) tooLate(r *Request, now clock.Time, wait, slack time.Duration) *code.Error {
	c := code.DeadlineInfeasible
	if q.crowds(r) {
		c = code.CallerOverShare
	}
	e := code.New(c, "must start in %s, would in %s and run %s; %d queued, %d running, drain %.1f/s",
		slack, wait, r.run, len(q.expiry), q.running, q.drainRate(r))
	if slack < 0 {
		return e
	}
	return e.WithRetryAfter(q.comeBack(now, r, wait-time.Duration(float64(slack)/q.cfg.Margin)))
}

// crowds says whether r's own flow holds more of the backlog than its share.
func (q *Queue) crowds(r *Request) bool {
	all := q.lane(r).cost
	if r.leaf.cost == all {
		return false
	}
	return float64(r.leaf.cost) > defaultCrowd*r.leaf.share()*float64(all)
}

func (q *Queue) comeBack(now clock.Time, r *Request, wait time.Duration) time.Duration {
	return q.spread.RetryAfter(now, max(wait, 0), q.drainTime(r, float64(r.cost)))
}

// makeRoom finds a queued request that has less claim to its place than r:
// one of a lower priority, else one of the flow with the largest backlog.
func (q *Queue) makeRoom(now clock.Time, r *Request) ([]Refusal, *code.Error) {
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
		leaf := l.largest()
		c := code.ShedForPriority
		if i == r.class.level {
			if leaf.cost <= r.leaf.cost+r.cost {
				break
			}
			c = code.CallerOverShare
		}
		victim := leaf.queue[len(leaf.queue)-1]
		e := code.New(c, "dropped after %s for class %s; %d queued", now.Sub(victim.arrived), r.class.Name, len(q.expiry))
		return []Refusal{q.drop(victim, e.WithRetryAfter(q.comeBack(now, victim, wait)))}, nil
	}
	return nil, code.New(code.QueueFull, "%d queued, drained in %s", len(q.expiry), wait).
		WithRetryAfter(q.comeBack(now, r, wait))
}
