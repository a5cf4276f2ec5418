package commit

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// dispatchWinner dispatches the winner p once and records its outcome.
func (c *Committer) dispatchWinner(ctx context.Context, p *proposal) (Answer, error) {
	if err := c.checkRecordedAge(ctx, p); err != nil {
		return Answer{}, err
	}
	close(p.dispatched)
	dispatchCtx, cancel := detachedContext(ctx)
	defer cancel()
	// When Close stops waiting, cancel the dispatch instead of waiting for its deadline.
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	body, err := c.dispatcher.Dispatch(dispatchCtx, &Call{
		Service: p.req.Service, Operation: p.req.Operation,
		Key: p.req.Key, Attempt: p.attempt, Body: p.req.Body,
	}, func() error { return c.checkDispatchTime(p) })

	switch {
	case err == nil:
		c.recordOutcome(p, &Outcome{Attempt: p.attempt, Code: code.OK, Run: code.Ran, Body: body})
		return Answer{Body: body}, nil
	case c.notExecuted(err):
		return Answer{}, c.abandon(ctx, p, err)
	case errors.Is(err, driver.ErrFailed):
		detail := err.Error()
		c.recordOutcome(p, &Outcome{Attempt: p.attempt, Code: code.EndpointFailed, Run: code.Ran, Body: []byte(detail)})
		return Answer{}, code.Wrap(code.EndpointFailed, err, "the service ran the commit and failed").WithRun(code.Ran)
	}
	// The connection was cut, the answer was late or belonged to another attempt. Bytes may have
	// been sent, so the service may have run the commit. It is never sent again.
	c.recordOutcome(p, &Outcome{Attempt: p.attempt, Code: code.CommitUnknown, Run: code.Unknown})
	unknown := unknownError("the service's answer was lost")
	unknown.Err = err
	return Answer{}, unknown
}

// checkRecordedAge abandons p if its key was too old, or too far ahead, when the log accepted the
// intent. The fold deletes a key some time after the window; if the key were dispatched later, an
// older retry that isn't recognized would run it again.
func (c *Committer) checkRecordedAge(ctx context.Context, p *proposal) error {
	e := c.table.Lookup(p.req.Key)
	if e.Winner == nil {
		return nil
	}
	ageErr := c.checkAgeAt(p.req, e.Winner.Time)
	if ageErr == nil {
		return nil
	}
	if abandonErr := c.abandon(ctx, p, ageErr); abandonErr.Run == code.Unknown {
		return abandonErr
	}
	return ageErr
}

// recordOutcome makes an outcome visible in this process at once and appends it to the log as soon
// as the log accepts it. The caller's answer doesn't wait for the log: it is already final, and a
// retry in the meantime is answered running.
func (c *Committer) recordOutcome(p *proposal, o *Outcome) {
	if len(o.Body) > c.opts.MaxOutcomeBytes {
		o.Body, o.Run, o.Code = nil, code.Ran, code.CommitUnknown
	}
	c.table.SetOutcome(p.req.Key, o)
	c.appendRecord(c.opts.OutcomeDelay, &wire.Entry{Kind: &wire.Entry_Outcome{Outcome: &wire.Outcome{
		Key: p.req.Key, Attempt: p.attempt, Code: uint32(o.Code), Run: string(o.Run), Body: o.Body,
	}}})
}

// abandon appends a void for p before its caller is answered not-run. The intent is in the log or
// may still appear there, and without the void a retry would find it as a winner that nobody
// dispatches. If the log doesn't confirm the void in time, the caller is answered unknown.
func (c *Committer) abandon(ctx context.Context, p *proposal, cause error) *code.Error {
	recorded := c.appendRecord(0, &wire.Entry{Kind: &wire.Entry_Void{Void: &wire.Void{
		Key: p.req.Key, Attempt: p.attempt,
	}}})
	abandoned := code.Wrap(code.CommitAbandoned, cause, "given up before dispatch").WithRetryAfter(c.opts.LogRetryAfter)
	if c.opts.disabled.voidFirst {
		return abandoned
	}
	wait, cancel := context.WithTimeout(ctx, c.opts.VoidTimeout)
	defer cancel()
	select {
	case <-recorded:
		return abandoned
	case <-wait.Done():
		unknown := unknownError("given up before dispatch, but the log has not confirmed it")
		unknown.Err = cause
		return unknown.WithRetryAfter(c.opts.LogRetryAfter)
	}
}

// appendRecord appends e after a delay and retries until the log has confirmed it or Close stops
// waiting. Both kinds of record may be in the log twice without harm. recorded is closed once e is
// confirmed.
func (c *Committer) appendRecord(delay time.Duration, e *wire.Entry) (recorded <-chan struct{}) {
	done := make(chan struct{})
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		if delay > 0 {
			c.pause(delay)
		}
		for {
			_, err := c.journal.Append(c.ctx, e)
			if err == nil {
				close(done)
				return
			}
			if !c.pause(c.opts.LogBackoff) {
				log.WithError(err).Warn("commit record lost")
				return
			}
		}
	}()
	return done
}

// pause waits for d and returns false if Close has stopped waiting meanwhile.
func (c *Committer) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}
