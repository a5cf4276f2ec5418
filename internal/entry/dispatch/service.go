package dispatch

import (
	"context"
	"errors"
	"fmt"
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

// callStep is the pause between two looks for a place: about what a call of a
// plain service takes.
const callStep = 5 * time.Millisecond

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

// Admit waits until a call of the service may be sent, or refuses it.
func (d *Dispatcher) Admit(ctx context.Context, c *callerapi.Call) (leave func(ok bool), err error) {
	sh, bad := d.sheet()
	if bad != nil {
		return nil, bad
	}
	pool := fleet.ServicePool(c.Service)
	d.counts.add(pool, func(t *Totals) { t.Requests++ })
	g := d.gate(pool, route.Artifact{}, sh)
	t := &turn{req: admit.Request{
		ID: c.RequestID, Workspace: c.Workspace, Caller: c.Name, Key: c.Key,
		MaxOutputTokens: 1, Deadline: deadlineOf(ctx, d.clk),
	}}
	if err := g.enter(ctx, t); err != nil {
		d.counts.add(pool, func(t *Totals) { t.Refused++ })
		return nil, err
	}
	// The endpoint counts it at once: nothing comes between here and there.
	g.placed(t)
	return func(ok bool) {
		g.leave(t, admit.Measurement{OK: ok, OutputTokens: 1})
		if ok && ctx.Err() == nil {
			d.counts.add(pool, func(t *Totals) { t.OnTime++ })
		}
	}, nil
}

// Lookup calls an idempotent operation, again on another endpoint if the first
// fails and the retry policy allows it.
func (d *Dispatcher) Lookup(ctx context.Context, c *callerapi.Call) ([]byte, error) {
	pool := fleet.ServicePool(c.Service)
	var exclude []*route.Endpoint
	touched := false
	for n := 1; ; n++ {
		body, ep, err := d.callAnother(ctx, pool, exclude, &driver.Call{
			Attempt: d.newAttempt(), Operation: c.Operation, Body: c.Body,
		})
		if err == nil {
			d.retries.RecordSuccess(pool, c.Name)
			return body, nil
		}
		touched = touched || !untouched(err) && ep != nil
		if ep == nil {
			return nil, numbered(ctx, err, touched, false)
		}
		next := d.retries.DecideRetry(d.clk.Now(), retry.Attempt{
			Pool: pool, Caller: c.Name, Idempotent: true, Tries: n,
			Deadline: deadlineOf(ctx, d.clk), Err: numbered(ctx, err, !untouched(err), false),
		})
		if !next.Retry || ctx.Err() != nil {
			return nil, numbered(ctx, next.Err, touched, false)
		}
		exclude = append(exclude, ep)
		wait(ctx, next.Delay)
	}
}

// callAnother sends one call to an endpoint that has not failed it yet, or to
// one that has if there is no other: a service with one endpoint depends on
// that.
func (d *Dispatcher) callAnother(ctx context.Context, pool string, failed []*route.Endpoint, call *driver.Call) (body []byte, ep *route.Endpoint, err error) {
	body, ep, err = d.callOnce(ctx, pool, failed, call)
	if ep == nil && len(failed) > 0 {
		return d.callOnce(ctx, pool, nil, call)
	}
	return body, ep, err
}

// callOnce sends one call to one endpoint; ep is nil if there was none.
func (d *Dispatcher) callOnce(ctx context.Context, pool string, exclude []*route.Endpoint, call *driver.Call) (body []byte, ep *route.Endpoint, err error) {
	now := d.clk.Now()
	p, err := d.router.Pick(now, &route.Request{Pool: pool, Exclude: exclude})
	if err != nil {
		return nil, nil, err
	}
	d.router.Sent(now, &p.Dispatch)
	s := d.fleet.Service(p.Endpoint.Name)
	if s == nil {
		err = fmt.Errorf("%w: endpoint %s left the sheet", driver.ErrNotSent, p.Endpoint.Name)
	} else {
		body, err = s.Call(ctx, call)
	}
	d.router.Done(d.clk.Now(), &p.Dispatch, outcomeOf(ctx, err))
	return body, p.Endpoint, err
}

// Dispatch implements commit.Dispatcher. Another endpoint is tried only while
// it is sure that no endpoint has the call.
//
// Failure: a burst of commits is let through before any of them counts at an
// endpoint, since its intent is on its way to the log. Most then find every
// endpoint full for the few milliseconds that a call takes. Given up there,
// each would cost the log a void and its caller a refusal; so it waits for a
// place, as long as permit lets it.
func (d *Dispatcher) Dispatch(ctx context.Context, c *commit.Call, permit func() error) ([]byte, error) {
	pool := fleet.ServicePool(c.Service)
	var exclude []*route.Endpoint
	var last error
	for n := 0; n < maxAttempts; {
		if err := permit(); err != nil {
			return nil, errors.Join(last, err)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", driver.ErrNotSent, ctx.Err())
		}
		body, ep, err := d.callOnce(ctx, pool, exclude, &driver.Call{
			Attempt: c.Attempt, Operation: c.Operation, Key: c.Key, Body: c.Body,
		})
		if err == nil || ep != nil && !untouched(err) {
			return body, err
		}
		last = errors.Join(driver.ErrNotSent, err)
		if ep == nil {
			exclude = nil
			wait(ctx, callStep)
			continue
		}
		exclude = append(exclude, ep)
		n++
	}
	return nil, last
}
