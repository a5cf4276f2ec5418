package commit

import (
	"context"
	"errors"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
)

// answerFromTable answers r from the table. done is false if r has to append an intent.
func (c *Committer) answerFromTable(r *Request) (ans Answer, done bool, err error) {
	if !c.table.Ready() {
		return Answer{}, true, c.withRefusalRun(r, c.notReadyError())
	}
	e := c.table.Lookup(r.Key)
	if e.Winner != nil {
		if e.Winner.Hash != r.hash() || e.Winner.Issued.UnixMilli() != r.Issued.UnixMilli() {
			return Answer{}, true, code.New(code.KeyReused, "the key was first used for another request")
		}
		ans, err = c.replayOutcome(e)
		return ans, true, err
	}
	if err := c.checkAge(r); err != nil {
		return Answer{}, true, err
	}
	return Answer{}, false, nil
}

// checkAge avoids appending an intent that won't run. It may be wrong either way, because the log's
// clock is estimated; checkAgeAt with the time of the intent's own record decides.
func (c *Committer) checkAge(r *Request) error {
	now := c.table.LogTime()
	if now.IsZero() {
		return nil
	}
	if err := c.checkAgeAt(r, now); err != nil {
		return err
	}
	return nil
}

// checkAgeAt compares the key's issue time with now on the log's clock. It never uses the VM's
// clock, which may be wrong.
func (c *Committer) checkAgeAt(r *Request, now time.Time) *code.Error {
	age := now.Sub(r.Issued)
	switch {
	case c.opts.disabled.window:
		return nil
	case age > c.Window():
		// The caller may have sent the key before, and its outcome may have expired: only this
		// request was certainly not run.
		return code.New(code.KeyTooOld, "the key is older than %v: this sending was not run, earlier ones may have been", c.Window()).WithRun(code.Unknown)
	case -age > MaxClockSkew:
		return code.New(code.BadKey, "the key's issue time lies more than %v ahead", MaxClockSkew)
	}
	return nil
}

// replayOutcome returns the answer of a retry from the key's first use.
func (c *Committer) replayOutcome(e KeyStatus) (Answer, error) {
	o := e.Outcome
	switch {
	case o == nil && !c.timedOut(e):
		return Answer{}, c.runningError("the first use of the key has no outcome yet")
	case o == nil:
		return Answer{}, unknownError("the first use of the key left no outcome")
	case o.Run == code.Unknown:
		return Answer{}, unknownError("the service's answer to the first use was lost")
	case o.Code != code.OK:
		return Answer{}, code.New(o.Code, "recorded outcome of the first use: %s", o.Body).WithRun(o.Run)
	}
	return Answer{Code: code.CommitReplayed, Body: o.Body}, nil
}

// acquireSlot reserves a slot for r, or refuses it if MaxPending commits are running.
func (c *Committer) acquireSlot(r *Request) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
		e := code.New(code.QueueFull, "%d commits wait on this VM", c.opts.MaxPending)
		return c.withRefusalRun(r, e.WithRetryAfter(c.opts.LogRetryAfter))
	}
}

// withRefusalRun sets the execution state of a refusal made before any intent of this request got
// into the log. A caller that has sent the key before must not be answered not-run: its earlier
// request may have run through another VM, whose record this VM can't read while the log is down.
// Otherwise the caller would retry with a new key, and the operation would run twice.
func (c *Committer) withRefusalRun(r *Request, e *code.Error) *code.Error {
	if r.Resend && !c.opts.disabled.resendIsUnknown {
		return e.WithRun(code.Unknown)
	}
	return e
}

// appendError returns the refusal for an intent that could not be appended.
func (c *Committer) appendError(r *Request, err error) *code.Error {
	var codeErr *code.Error
	if errors.As(err, &codeErr) && codeErr.Code == code.CommitLogBudget {
		return c.withRefusalRun(r, codeErr)
	}
	e := code.Wrap(code.CommitLogDown, err, "the intent could not be recorded")
	return c.withRefusalRun(r, e.WithRetryAfter(c.opts.LogRetryAfter))
}

func (c *Committer) notReadyError() *code.Error {
	return code.New(code.NotReady, "the commits of the window are still being read").WithRetryAfter(c.opts.LogRetryAfter)
}

func (c *Committer) runningError(detail string) *code.Error {
	return code.New(code.CommitRunning, "%s", detail).WithRun(code.Unknown).WithRetryAfter(c.opts.LogRetryAfter)
}

func unknownError(detail string) *code.Error {
	return code.New(code.CommitUnknown, "%s", detail).WithRun(code.Unknown)
}

// notExecuted reports whether a dispatch reached no endpoint or was refused by it.
func (c *Committer) notExecuted(err error) bool {
	if errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused) {
		return true
	}
	return c.opts.disabled.cutIsUnknown && errors.Is(err, driver.ErrConnectionLost)
}

// detachedContext returns a context with the deadline of ctx but without its cancellation.
func detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	out := context.WithoutCancel(ctx)
	if d, ok := ctx.Deadline(); ok {
		return context.WithDeadline(out, d)
	}
	return context.WithCancel(out)
}
