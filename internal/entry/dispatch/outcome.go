package dispatch

import (
	"context"
	"errors"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
)

// notExecuted reports whether err means that no engine or service has executed the work.
func notExecuted(err error) bool {
	return errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused)
}

// outcomeOf returns the outcome that the router records for the endpoint.
func outcomeOf(ctx context.Context, err error) route.Outcome {
	switch {
	case err == nil:
		return route.Success
	case errors.Is(err, driver.ErrRefused):
		return route.Refused
	case ctx.Err() != nil:
		return route.Canceled
	}
	return route.Failed
}

// codeError converts the last error of a request into the caller's answer. maybeExecuted says
// whether any of its attempts may have been executed, hasOutput whether one has produced output.
func codeError(ctx context.Context, err error, maybeExecuted, hasOutput bool) *code.Error {
	var e *code.Error
	switch {
	case errors.As(err, &e):
	case errors.Is(err, errQuarantined):
		e = code.Wrap(code.Poison, err, "given up")
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		e = code.Wrap(code.DeadlineMissed, err, "the deadline passed while the work ran")
		if !maybeExecuted {
			e.Code, e.RetryAfter = code.DeadlinePassed, deadlinePassedRetryAfter
		}
	case ctx.Err() != nil:
		e = cancelError(ctx, "the caller went away")
		e.Err = err
	case errors.Is(err, driver.ErrRefused), errors.Is(err, driver.ErrNotSent):
		e = code.Wrap(code.EndpointRefused, err, "no endpoint took the work")
	case errors.Is(err, driver.ErrFailed):
		e = code.Wrap(code.EndpointFailed, err, "the endpoint failed")
	case errors.Is(err, driver.ErrBadAnswer):
		e = code.Wrap(code.BadAnswer, err, "the answer fails its check")
	default:
		e = code.Wrap(code.EndpointCut, err, "the endpoint's answer broke off")
	}
	switch {
	case hasOutput || errors.Is(err, driver.ErrFailed):
		return e.WithRun(code.Ran)
	case maybeExecuted:
		return e.WithRun(code.Unknown)
	}
	return e.WithRun(code.NotRun)
}

// cancelError returns the refusal of a request whose context was canceled: the cause if it is one, else the caller has
// gone.
func cancelError(ctx context.Context, gone string) *code.Error {
	if e, ok := errors.AsType[*code.Error](context.Cause(ctx)); ok {
		refusal := *e
		return &refusal
	}
	return code.New(code.CallerGone, "%s", gone)
}
