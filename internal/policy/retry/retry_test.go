package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

func attemptError(c code.Code, run code.Run) *code.Error { return code.New(c, "x").WithRun(run) }

func TestDecideRetry(t *testing.T) {
	const later = clock.Time(time.Minute)
	for _, x := range []struct {
		name    string
		attempt Attempt
		retry   bool
		code    code.Code
	}{
		{"idempotent, connection cut", Attempt{Idempotent: true, Deadline: later, Tries: 1, Err: attemptError(code.EndpointCut, code.Unknown)}, true, 0},
		{"commit that may have run", Attempt{Deadline: later, Tries: 1, Err: attemptError(code.EndpointCut, code.Unknown)}, false, code.EndpointCut},
		{"commit that wasn't sent", Attempt{Deadline: later, Tries: 1, Err: attemptError(code.EndpointRefused, code.NotRun)}, true, 0},
		{"answered", Attempt{Idempotent: true, Deadline: later, Tries: 1, Err: attemptError(code.EndpointCut, code.Ran)}, false, code.EndpointCut},
		{"poison", Attempt{Idempotent: true, Deadline: later, Tries: 1, Err: attemptError(code.Poison, code.Unknown)}, false, code.Poison},
		{"no time left before the deadline", Attempt{Idempotent: true, Deadline: 5, ExpectedDuration: 10, Tries: 1, Err: attemptError(code.EndpointCut, code.Unknown)}, false, code.DeadlineInfeasible},
		{"maximum number of attempts made", Attempt{Idempotent: true, Deadline: later, Tries: 3, Err: attemptError(code.EndpointCut, code.Unknown)}, false, code.EndpointCut},
	} {
		d := New(Config{}, 1).DecideRetry(1, x.attempt)
		assert.Equal(t, d.Retry, x.retry, x.name)
		if !x.retry {
			assert.Equal(t, d.Err.Code, x.code, x.name)
			assert.Equal(t, d.Err.Run, x.attempt.Err.Run, x.name)
		}
	}
}

// attemptsInOutage returns the number of attempts made for a thousand requests to a pool whose
// endpoints all fail, after a thousand requests that succeeded.
func attemptsInOutage(cfg Config) int {
	p := New(cfg, 1)
	for range 1000 {
		p.RecordSuccess("drafts", "caller")
	}
	attempts := 0
	for i := range 1000 {
		a := Attempt{Pool: "drafts", Caller: string(rune(i)), Idempotent: true, Deadline: clock.Time(time.Hour), Err: attemptError(code.EndpointCut, code.Unknown)}
		for a.Tries = 1; ; a.Tries++ {
			attempts++
			if !p.DecideRetry(1, a).Retry {
				break
			}
		}
	}
	return attempts
}

// Guards against a retry storm: all endpoints of a pool fail for some seconds. Without a budget each
// request is attempted three times, so that the recovering pool gets three times its load and fails
// again.
func TestBudgetStopsRetryStorm(t *testing.T) {
	assert.Equal(t, attemptsInOutage(Config{NoBudget: true}), 3000)
	assert.Equal(t, attemptsInOutage(Config{}), 1000+int(defaultBurst))
}

func TestCallerCantSpendPoolBudget(t *testing.T) {
	p := New(Config{}, 1)
	a := Attempt{Pool: "drafts", Caller: "hot", Idempotent: true, Tries: 1, Deadline: clock.Time(time.Hour), Err: attemptError(code.EndpointCut, code.Unknown)}
	retries := 0
	for range 100 {
		if p.DecideRetry(1, a).Retry {
			retries++
		}
	}
	assert.Equal(t, retries, int(defaultCallerBurst))
	a.Caller = "other"
	assert.Assert(t, p.DecideRetry(1, a).Retry)
}

func TestHedgeIsOffByDefault(t *testing.T) {
	a := Attempt{Pool: "p", Idempotent: true, Tries: 1}
	assert.Assert(t, !New(Config{}, 1).AllowHedge(a))
	p := New(Config{HedgeRatio: 0.5}, 1)
	p.RecordSuccess("p", "c")
	p.RecordSuccess("p", "c")
	assert.Assert(t, p.AllowHedge(a))
	assert.Assert(t, !p.AllowHedge(a))
	a.Idempotent = false
	p.RecordSuccess("p", "c")
	p.RecordSuccess("p", "c")
	assert.Assert(t, !p.AllowHedge(a))
}
