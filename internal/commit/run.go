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

// run dispatches the winner p, once, and records its outcome.
func (c *Committer) run(ctx context.Context, p *proposal) (Answer, error) {
	if err := c.recordedAge(ctx, p); err != nil {
		return Answer{}, err
	}
	work, cancel := detached(ctx)
	defer cancel()
	// A process that has given up its drain must not wait for the deadline.
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	body, err := c.disp.Dispatch(work, &Call{
		Service: p.req.Service, Operation: p.req.Operation,
		Key: p.req.Key, Attempt: p.attempt, Body: p.req.Body,
	}, func() error { return c.inTime(p) })

	switch {
	case err == nil:
		c.conclude(p, &Outcome{Attempt: p.attempt, Code: code.OK, Run: code.Ran, Body: body})
		return Answer{Body: body}, nil
	case c.notSent(err):
		return Answer{}, c.giveUp(ctx, p, err)
	case errors.Is(err, driver.ErrFailed):
		detail := err.Error()
		c.conclude(p, &Outcome{Attempt: p.attempt, Code: code.EndpointFailed, Run: code.Ran, Body: []byte(detail)})
		return Answer{}, code.Wrap(code.EndpointFailed, err, "the service ran the commit and failed").WithRun(code.Ran)
	}
	// Cut, late, or another attempt's answer: a byte may have left, so the
	// service may have run it. It is never sent again.
	c.conclude(p, &Outcome{Attempt: p.attempt, Code: code.CommitUnknown, Run: code.Unknown})
	u := unknown("the service's answer was lost")
	u.Err = err
	return Answer{}, u
}

// recordedAge gives p up if its key was too old, or too far ahead, when the log
// took the intent. The fold forgets a key some time after the window:
// dispatched later, an older resend that nobody recognises would run it again.
func (c *Committer) recordedAge(ctx context.Context, p *proposal) error {
	e := c.table.Lookup(p.req.Key)
	if e.Winner == nil {
		return nil
	}
	bad := c.ageAt(p.req, e.Winner.Time)
	if bad == nil {
		return nil
	}
	if void := c.giveUp(ctx, p, bad); void.Run == code.Unknown {
		return void
	}
	return bad
}

// conclude makes an outcome known here at once and in the log as soon as the
// log takes it. The caller's answer doesn't wait for the log: it is already
// true, and a resend meanwhile is told running.
func (c *Committer) conclude(p *proposal, o *Outcome) {
	if len(o.Body) > c.o.MaxOutcome {
		o.Body, o.Run, o.Code = nil, code.Ran, code.CommitUnknown
	}
	c.table.SetOutcome(p.req.Key, o)
	c.record(c.o.OutcomeDelay, &wire.Entry{Kind: &wire.Entry_Outcome{Outcome: &wire.Outcome{
		Key: p.req.Key, Attempt: p.attempt, Code: uint32(o.Code), Run: string(o.Run), Body: o.Body,
	}}})
}

// giveUp makes p harmless in the log before its caller is told not-run: the
// intent may still appear, or is there, and a resend would find it as a winner
// that nobody dispatches. While the void isn't known to be in the log, the
// caller is told unknown.
func (c *Committer) giveUp(ctx context.Context, p *proposal, cause error) *code.Error {
	recorded := c.record(0, &wire.Entry{Kind: &wire.Entry_Void{Void: &wire.Void{
		Key: p.req.Key, Attempt: p.attempt,
	}}})
	abandoned := code.Wrap(code.CommitAbandoned, cause, "given up before dispatch").WithRetryAfter(c.o.LogRetry)
	if c.o.off.voidFirst {
		return abandoned
	}
	wait, cancel := context.WithTimeout(ctx, c.o.VoidWait)
	defer cancel()
	select {
	case <-recorded:
		return abandoned
	case <-wait.Done():
		u := unknown("given up before dispatch, but the log has not confirmed it")
		u.Err = cause
		return u.WithRetryAfter(c.o.LogRetry)
	}
}

// record appends e, after a delay, until the log has surely taken it or Close
// gives up. Both kinds of record may stand in the log twice without harm.
func (c *Committer) record(delay time.Duration, e *wire.Entry) (recorded <-chan struct{}) {
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
			if !c.pause(c.o.LogBackoff) {
				log.WithError(err).Warn("commit record lost")
				return
			}
		}
	}()
	return done
}

// pause waits for d and returns false if Close has given up meanwhile.
func (c *Committer) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.ctx.Done():
		return false
	}
}
