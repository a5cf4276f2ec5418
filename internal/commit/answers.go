package commit

import (
	"context"
	"errors"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
)

// fromTable answers r from what is already known. done is false if r has to
// write an intent.
func (c *Committer) fromTable(r *Request) (ans Answer, done bool, err error) {
	if !c.table.Ready() {
		return Answer{}, true, c.refuse(r, c.notReady())
	}
	e := c.table.Lookup(r.Key)
	if e.Winner != nil {
		if e.Winner.Hash != r.hash() || e.Winner.Issued.UnixMilli() != r.Issued.UnixMilli() {
			return Answer{}, true, code.New(code.KeyReused, "the key was first used for another request")
		}
		ans, err = c.replay(e)
		return ans, true, err
	}
	if err := c.checkAge(r); err != nil {
		return Answer{}, true, err
	}
	return Answer{}, false, nil
}

// checkAge saves the log an intent that won't run. It may err either way, since
// the log's clock is estimated: ageAt decides by the intent's own record.
func (c *Committer) checkAge(r *Request) error {
	now := c.table.LogTime()
	if now.IsZero() {
		return nil
	}
	if err := c.ageAt(r, now); err != nil {
		return err
	}
	return nil
}

// ageAt compares the key's issue time with the log's own clock, never with the
// VM's, which may be wrong.
func (c *Committer) ageAt(r *Request, now time.Time) *code.Error {
	age := now.Sub(r.Issued)
	switch {
	case c.o.off.window:
		return nil
	case age > c.Window():
		// The caller may have sent the key before, and its outcome may be
		// forgotten by now: only this sending was surely not run.
		return code.New(code.KeyTooOld, "the key is older than %v: this sending was not run, earlier ones may have been", c.Window()).WithRun(code.Unknown)
	case -age > MaxClockSkew:
		return code.New(code.BadKey, "the key's issue time lies more than %v ahead", MaxClockSkew)
	}
	return nil
}

// replay turns a key's first use into the answer of a resend.
func (c *Committer) replay(e Entry) (Answer, error) {
	o := e.Outcome
	switch {
	case o == nil && !c.lost(e):
		return Answer{}, c.running("the first use of the key has no outcome yet")
	case o == nil:
		return Answer{}, unknown("the first use of the key left no outcome")
	case o.Run == code.Unknown:
		return Answer{}, unknown("the service's answer to the first use was lost")
	case o.Code != code.OK:
		return Answer{}, code.New(o.Code, "recorded outcome of the first use: %s", o.Body).WithRun(o.Run)
	}
	return Answer{Code: code.CommitReplayed, Body: o.Body}, nil
}

// admit refuses what must not be appended.
func (c *Committer) admit(r *Request) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
		e := code.New(code.QueueFull, "%d commits wait on this VM", c.o.MaxPending)
		return c.refuse(r, e.WithRetryAfter(c.o.LogRetry))
	}
}

// refuse tells a refusal before any intent of this sending got into the log.
// A caller that has sent the key before must not be told not-run here: its
// earlier sending may have run through another VM, whose record this one
// can't read while the log is down. It would take a new key and run twice.
func (c *Committer) refuse(r *Request, e *code.Error) *code.Error {
	if r.Resend && !c.o.off.resend {
		return e.WithRun(code.Unknown)
	}
	return e
}

func (c *Committer) logDown(r *Request, err error) *code.Error {
	var numbered *code.Error
	if errors.As(err, &numbered) && numbered.Code == code.CommitLogBudget {
		return c.refuse(r, numbered)
	}
	e := code.Wrap(code.CommitLogDown, err, "the intent could not be recorded")
	return c.refuse(r, e.WithRetryAfter(c.o.LogRetry))
}

func (c *Committer) notReady() *code.Error {
	return code.New(code.NotReady, "the commits of the window are still being read").WithRetryAfter(c.o.LogRetry)
}

func (c *Committer) running(why string) *code.Error {
	return code.New(code.CommitRunning, "%s", why).WithRun(code.Unknown).WithRetryAfter(c.o.LogRetry)
}

func unknown(why string) *code.Error {
	return code.New(code.CommitUnknown, "%s", why).WithRun(code.Unknown)
}

// notSent tells that a dispatch reached no endpoint or was refused by it.
func (c *Committer) notSent(err error) bool {
	if errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused) {
		return true
	}
	return c.o.off.retryCut && errors.Is(err, driver.ErrCut)
}

// detached keeps ctx's deadline but not its cancellation.
func detached(ctx context.Context) (context.Context, context.CancelFunc) {
	out := context.WithoutCancel(ctx)
	if d, ok := ctx.Deadline(); ok {
		return context.WithDeadline(out, d)
	}
	return context.WithCancel(out)
}
