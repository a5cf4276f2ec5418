package reconcile

import (
	"fmt"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// Timeouts are the timeouts of a planned change of an engine.
type Timeouts struct {
	// MaxFlight is the longest time that an order can take to reach the engine.
	MaxFlight time.Duration
	// MoveAfter is how long a drain waits for streams to finish before they are moved to other
	// engines.
	MoveAfter time.Duration
	// DrainTimeout is the longest time that a drain may take. A change whose drain takes longer is
	// postponed; it never aborts streams.
	DrainTimeout time.Duration
	// RetryDelay is the delay after a failed order or a postponed change.
	RetryDelay time.Duration

	disabled disabledGuards
}

// disabledGuards disables individual guards, so that tests can show which fault each one prevents.
type disabledGuards struct {
	pending bool // send the next order without waiting for the previous one
	drained bool // send an order without waiting for running requests
}

// DefaultTimeouts returns the default timeouts. Short requests (drafts and replies) finish within
// seconds, the longest streams in less than two minutes. A failed load suggests that the weight
// store is overloaded; immediate retries would make that worse.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		MaxFlight:    2 * time.Second,
		MoveAfter:    10 * time.Second,
		DrainTimeout: 2 * time.Minute,
		RetryDelay:   10 * time.Second,
	}
}

// Input describes one engine as this process sees it now.
type Input struct {
	Now     clock.Time
	Engine  string
	Token   uint64 // this process's fencing token for the engine
	Desired DesiredState
	State   driver.EngineState
	// ReadStart is when the read that returned State was started, 0 if the newest read failed.
	ReadStart clock.Time
	// OrderNotBefore is the earliest time to send an order: after a takeover the last order of the
	// previous holder may still arrive.
	OrderNotBefore clock.Time
	// AckedSince is the time since which every entry has acknowledged the current phase and
	// reported no requests in flight, 0 if any entry hasn't.
	AckedSince    clock.Time
	ChangeAllowed bool // the unavailability limit of the pool and of each stage allows this engine to change
	LoadAllowed   bool // the weight store has capacity for one more load
}

// PendingOrder is an order that may still arrive or be executing.
type PendingOrder struct {
	Order      driver.Order
	ReturnedAt clock.Time // when the driver's call returned, with or without an error
}

// Reconciler drives one engine to its desired state. It holds only what can't be read from the
// engine. The zero value is ready to use.
type Reconciler struct {
	Phase           wire.Phase
	DrainStart      clock.Time // start of the drain
	Pending         *PendingOrder
	OrdersSent      int        // number of orders sent under the current token
	ChangeNotBefore clock.Time // earliest start of the next planned change
	unloadFirst     bool
}

// Step is the result of one pass: the phase that the entries should apply, and the order to send,
// if any. Reason explains the step to operators.
type Step struct {
	Phase  wire.Phase
	Order  *driver.Order
	Reason string
}

// Next returns the next step and updates the reconciler. It must not be called between returning an
// order and RecordSendResult for that order.
func (r *Reconciler) Next(in *Input, t *Timeouts) Step {
	if in.ReadStart == 0 {
		return r.keepPhase("engine does not answer")
	}
	if reason := r.resolvePending(in, t); reason != "" {
		return r.keepPhase(reason)
	}
	if in.State.Changing {
		r.Phase = wire.Phase_PHASE_AWAY
		return r.keepPhase("carries out an order")
	}
	if in.Desired.Withdrawn {
		return r.withdraw(in, t)
	}
	orders := Diff(&in.Desired, &in.State, r.unloadFirst)
	if len(orders) == 0 {
		r.unloadFirst = false
		return r.openPhase("")
	}
	if reason := r.blockedReason(in, &orders[0]); reason != "" {
		return r.openPhase(reason)
	}
	if in.Now < in.OrderNotBefore {
		return r.keepPhase("the former holder's orders may be on their way")
	}
	if !r.drained(in) && !t.disabled.drained {
		return r.drain(in, t)
	}
	return r.issueOrder(in, orders[0])
}

func (r *Reconciler) keepPhase(reason string) Step { return Step{Phase: r.Phase, Reason: reason} }

func (r *Reconciler) openPhase(reason string) Step {
	r.Phase = wire.Phase_PHASE_OPEN
	return r.keepPhase(reason)
}

// resolvePending returns the reason to wait before the next order, or "" if there is none.
//
// It guards against this failure: the answer to an order is lost, and the next order is sent while
// the first is still executing, or overtakes it. The engine then has two conflicting orders. So the
// next order waits until a state read after the driver's call returned shows that the engine has
// finished the pending order. If the engine doesn't report that order and MaxFlight has passed, the
// order was lost or the engine crashed.
func (r *Reconciler) resolvePending(in *Input, t *Timeouts) string {
	p := r.Pending
	switch {
	case p == nil || t.disabled.pending:
		return ""
	case in.ReadStart <= p.ReturnedAt:
		return "waits for the engine's state"
	case in.State.Changing:
		return "carries out " + describeOrder(&p.Order)
	case in.State.LastOrder == p.Order.ID:
		if !inEffect(&p.Order, &in.State) {
			r.recordFailure(in.Now, t, &p.Order)
		}
	case in.ReadStart < p.ReturnedAt.Add(t.MaxFlight):
		return "an order may be on its way"
	}
	r.Pending = nil
	return ""
}

// recordFailure delays the next change after the engine accepted an order but failed to execute it.
// A failed load also toggles unloadFirst: the engine may lack memory for old and new weights at the
// same time.
func (r *Reconciler) recordFailure(now clock.Time, t *Timeouts, o *driver.Order) {
	r.ChangeNotBefore = now.Add(t.RetryDelay)
	if o.Kind == driver.OrderLoad {
		r.unloadFirst = !r.unloadFirst
	}
}

// blockedReason returns why a change may not start, or "". A change that has started continues.
func (r *Reconciler) blockedReason(in *Input, first *driver.Order) string {
	switch {
	case in.Now < r.ChangeNotBefore:
		return "waits to try again"
	case r.Phase != wire.Phase_PHASE_OPEN:
		return ""
	case !in.ChangeAllowed:
		return "the away share of the pool or of a stage is used up"
	case first.Kind == driver.OrderLoad && !in.LoadAllowed:
		return "the weight store is busy"
	}
	return ""
}

// drained reports whether no request can be running on the engine any more.
//
// It keeps a role change from aborting running streams. Entries that acknowledged the drain with
// nothing in flight send no new work. The engine's own request count, read after the last
// acknowledgement, covers requests of entries that can't be reached.
func (r *Reconciler) drained(in *Input) bool {
	idle := in.State.Running == 0 && in.State.Queued == 0
	return r.Phase != wire.Phase_PHASE_OPEN && idle && in.AckedSince > 0 && in.ReadStart > in.AckedSince
}

// drain starts or continues the drain, and postpones the change when DrainTimeout has passed.
func (r *Reconciler) drain(in *Input, t *Timeouts) Step {
	if r.Phase == wire.Phase_PHASE_OPEN {
		r.Phase, r.DrainStart = wire.Phase_PHASE_DRAIN, in.Now
	}
	elapsed := in.Now.Sub(r.DrainStart)
	switch {
	case elapsed > t.DrainTimeout && !in.Desired.Withdrawn:
		r.ChangeNotBefore = in.Now.Add(t.RetryDelay)
		return r.openPhase(fmt.Sprintf("change postponed: %d requests still run after %s", in.State.Running, t.DrainTimeout))
	case elapsed > t.MoveAfter:
		r.Phase = wire.Phase_PHASE_MOVE
	case r.Phase == wire.Phase_PHASE_AWAY:
		r.Phase = wire.Phase_PHASE_DRAIN
	}
	return r.keepPhase(fmt.Sprintf("drains: %d running, %d queued", in.State.Running, in.State.Queued))
}

func (r *Reconciler) withdraw(in *Input, t *Timeouts) Step {
	if r.drained(in) {
		r.Phase = wire.Phase_PHASE_WITHDRAWN
		return r.keepPhase("withdrawn")
	}
	if r.Phase == wire.Phase_PHASE_WITHDRAWN {
		return r.keepPhase("withdrawn")
	}
	return r.drain(in, t)
}

func (r *Reconciler) issueOrder(in *Input, o driver.Order) Step {
	r.OrdersSent++
	o.ID = fmt.Sprintf("%s-%d-%d", in.Engine, in.Token, r.OrdersSent)
	o.Fence = in.Token
	r.Phase = wire.Phase_PHASE_AWAY
	r.Pending = &PendingOrder{Order: o}
	return Step{Phase: r.Phase, Order: &o, Reason: describeOrder(&o)}
}

// RecordSendResult records the outcome of sending the order that Next returned. undelivered is true
// if the order hasn't reached the engine and never will.
func (r *Reconciler) RecordSendResult(now clock.Time, undelivered bool, t *Timeouts) {
	if r.Pending == nil {
		return
	}
	r.Pending.ReturnedAt = now
	if undelivered {
		r.Pending = nil
		r.ChangeNotBefore = now.Add(t.RetryDelay)
	}
}

// Idle reports whether authority over the engine can be handed to another process: no order of this
// process can be pending and no change has started.
func (r *Reconciler) Idle() bool {
	return r.Pending == nil && (r.Phase == wire.Phase_PHASE_OPEN || r.Phase == wire.Phase_PHASE_WITHDRAWN)
}

func describeOrder(o *driver.Order) string {
	if o.Kind == driver.OrderRole {
		return "role " + string(o.Role)
	}
	s := string(o.Kind) + " " + o.Load.Model + "@" + o.Load.Version
	if o.Load.Adapter != "" {
		s = string(o.Kind) + " " + o.Load.Adapter + "@" + o.Load.Version
	}
	return s
}
