package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
)

// finish gives the final answer if none has been passed on, and logs.
func (x *execution) finish(last *result) {
	defer x.log(last)
	if last.outcome == gone && x.caller.Err() != nil {
		last.code = code.CallerGone
	}
	switch {
	case last.outcome == answered:
		return
	case x.started:
		// The caller must see that the stream isn't whole.
		panic(http.ErrAbortHandler)
	case last.code == code.CallerGone:
		return
	case x.failure != nil:
		x.failure.write(x.w)
		return
	}
	f := x.refusalFor(last)
	last.code = f.code
	f.write(x.w)
}

func (x *execution) refusalFor(last *result) *refusal {
	f := &refusal{code: last.code, run: code.NotRun, why: "no endpoint has answered"}
	if last.err != nil {
		f.why = last.err.Error()
	}
	if x.runs > 0 {
		f.run = code.Unknown
	}
	if last.outcome == gone {
		f.code, f.why = code.DeadlineMissed, "the time is over"
		if x.runs == 0 {
			f.code = code.DeadlineInfeasible
		}
	}
	if f.run == code.NotRun {
		if f.status() == http.StatusBadGateway {
			f.code = code.EndpointRefused
		}
		f.again = last.again
		if f.again == 0 {
			f.again = x.comeBack()
		}
	}
	return f
}

// comeBack spreads the return of refused callers over a second, so that they
// don't come as one wave when what refused them has passed.
func (x *execution) comeBack() time.Duration {
	return againAfter + time.Duration(x.c.Fingerprint%uint64(againSpread))
}

const (
	// againAfter is the shortest time to come back: a queue that refuses is
	// some hundred milliseconds long.
	againAfter  = 250 * time.Millisecond
	againSpread = 750 * time.Millisecond
)

func (x *execution) log(last *result) {
	x.g.metrics.observe(x.route.Name, x.now().Sub(x.c.Arrived), last)
	e := log.WithField("id", x.c.ID).WithField("route", x.route.Name).WithField("config", x.view.Config.Version).
		WithField("outcome", last.outcome).WithField("ms", x.now().Sub(x.c.Arrived).Milliseconds())
	for i, t := range x.trace {
		e = e.WithField(attemptField(i), t.endpoint+":"+t.outcome)
	}
	if x.predicted > 0 {
		e = e.WithField("predicted_ms", x.predicted.Milliseconds()).WithField("first_ms", x.first.Milliseconds()).
			WithField("prefill_ms", x.prefillEnd.Milliseconds()).WithField("tokens", x.c.PromptTokens).WithField("shared", x.sharedTokens).
			WithField("cached", x.cachedTokens).WithField("held", x.held)
	}
	if last.code != 0 {
		e = e.WithField("code", int(last.code))
	}
	if last.err != nil {
		e = e.WithField("why", last.err.Error())
	}
	e.Info("request ends")
}

func attemptField(i int) string {
	return "attempt" + string(rune('1'+min(i, 8)))
}
