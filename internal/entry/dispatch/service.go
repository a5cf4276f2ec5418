package dispatch

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/commit"
	"fescuestand/internal/driver"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// callRetryDelay is the delay before trying to place a call again, about the duration of a call of
// a plain service.
const callRetryDelay = 5 * time.Millisecond

// Operation returns the named operation of the sheet in force.
func (d *Dispatcher) Operation(service, operation string) (*sheet.Operation, error) {
	sh, bad := d.sheet()
	if bad != nil {
		return nil, bad
	}
	for i := range sh.Services {
		s := &sh.Services[i]
		if s.Name != service {
			continue
		}
		for j := range s.Operations {
			if s.Operations[j].Name == operation {
				return &s.Operations[j], nil
			}
		}
		return nil, code.New(code.UnknownOperation, "service %.100q has no operation %.100q", service, operation)
	}
	return nil, code.New(code.UnknownService, "service %.100q is not in the sheet", service)
}

// Admit waits until a call of the service may be sent, or refuses it. The caller must call release
// with the call's success when it ends.
func (d *Dispatcher) Admit(ctx context.Context, c *callerapi.Call) (release func(ok bool), err error) {
	sh, bad := d.sheet()
	if bad != nil {
		return nil, bad
	}
	pool := fleet.ServicePool(c.Service)
	d.counts.add(pool, func(t *Totals) { t.Requests++ })
	q := d.queueFor(pool, route.Artifact{}, sh)
	a := &admission{req: admit.Request{
		ID: c.RequestID, Workspace: c.Workspace, Caller: c.Name, Key: c.Key,
		MaxOutputTokens: 1, Deadline: deadlineOf(ctx, d.clk),
	}}
	if err := q.acquire(ctx, a); err != nil {
		d.counts.add(pool, func(t *Totals) { t.Refused++ })
		return nil, err
	}
	// An idempotent call counts as in flight at an endpoint immediately after this; see Dispatch
	// for commits.
	q.markDispatched(a)
	return func(ok bool) {
		q.release(a, admit.Measurement{OK: ok, OutputTokens: 1})
		if ok && ctx.Err() == nil {
			d.counts.add(pool, func(t *Totals) { t.OnTime++ })
		}
	}, nil
}

// Lookup calls an idempotent operation. It retries a failed call on another endpoint if the retry
// policy allows it.
func (d *Dispatcher) Lookup(ctx context.Context, c *callerapi.Call) ([]byte, error) {
	pool := fleet.ServicePool(c.Service)
	var exclude []*route.Endpoint
	maybeExecuted := false
	for n := 1; ; n++ {
		body, ep, err := d.callAnother(ctx, pool, exclude, &driver.Call{
			Attempt: d.newAttempt(), Operation: c.Operation, Body: c.Body,
		})
		if err == nil {
			d.retries.RecordSuccess(pool, c.Name)
			return body, nil
		}
		maybeExecuted = maybeExecuted || !notExecuted(err) && ep != nil
		if ep == nil {
			return nil, codeError(ctx, err, maybeExecuted, false)
		}
		decision := d.retries.DecideRetry(d.clk.Now(), retry.Attempt{
			Pool: pool, Caller: c.Name, Idempotent: true, Tries: n,
			Deadline: deadlineOf(ctx, d.clk), Err: codeError(ctx, err, !notExecuted(err), false),
		})
		switch {
		case ctx.Err() != nil:
			return nil, codeError(ctx, err, maybeExecuted, false)
		case !decision.Retry:
			return nil, codeError(ctx, decision.Err, maybeExecuted, false)
		}
		exclude = append(exclude, ep)
		sleep(ctx, decision.Delay)
	}
}

// callAnother sends a call to an endpoint that has not failed it yet, or to any endpoint if there
// is no other. A service with only one endpoint depends on that.
func (d *Dispatcher) callAnother(
	ctx context.Context, pool string, failed []*route.Endpoint, call *driver.Call,
) (body []byte, ep *route.Endpoint, err error) {
	body, ep, err = d.callOnce(ctx, pool, failed, call)
	if ep == nil && len(failed) > 0 {
		return d.callOnce(ctx, pool, nil, call)
	}
	return body, ep, err
}

// callOnce sends a call to one endpoint; ep is nil if there was none.
func (d *Dispatcher) callOnce(
	ctx context.Context, pool string, exclude []*route.Endpoint, call *driver.Call,
) (body []byte, ep *route.Endpoint, err error) {
	now := d.clk.Now()
	picked, err := d.router.Pick(now, &route.Request{Pool: pool, Exclude: exclude})
	if err != nil {
		return nil, nil, err
	}
	d.router.Sent(now, &picked.Dispatch)
	s := d.fleet.Service(picked.Endpoint.Name)
	if s == nil {
		err = fmt.Errorf("%w: endpoint %s left the sheet", driver.ErrNotSent, picked.Endpoint.Name)
	} else {
		body, err = s.Call(ctx, call)
	}
	d.router.Done(d.clk.Now(), &picked.Dispatch, outcomeOf(ctx, err))
	return body, picked.Endpoint, err
}

// Dispatch implements commit.Dispatcher. It tries another endpoint only as long as no endpoint can
// have received the call.
//
// A burst of commits is admitted before any of them counts as in flight at an endpoint, because
// their intents are still being appended to the log. Most of them then find every endpoint full for
// the few milliseconds that a call takes. Giving up at that point would cost a void record in the
// log and a refused caller each, so Dispatch waits for a free endpoint as long as permit allows it.
func (d *Dispatcher) Dispatch(ctx context.Context, c *commit.Call, permit func() error) ([]byte, error) {
	pool := fleet.ServicePool(c.Service)
	var exclude []*route.Endpoint
	var lastErr error
	for n := 0; n < maxAttempts; {
		if err := permit(); err != nil {
			return nil, errors.Join(lastErr, err)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, ctx.Err())
		}
		body, ep, err := d.callOnce(ctx, pool, exclude, &driver.Call{
			Attempt: attemptID(c, n), Operation: c.Operation, Key: c.Key, Body: c.Body,
		})
		if err == nil || ep != nil && !notExecuted(err) {
			return body, err
		}
		lastErr = errors.Join(driver.ErrNotSent, err)
		if ep == nil {
			exclude = nil
			sleep(ctx, callRetryDelay)
			continue
		}
		exclude = append(exclude, ep)
		n++
	}
	return nil, lastErr
}

// attemptID returns the id of a commit's call after n refused ones. It tells their answers from that of the call.
func attemptID(c *commit.Call, n int) string {
	if n == 0 {
		return c.Attempt
	}
	return c.Attempt + "/" + strconv.Itoa(n)
}
