package reconcile

import (
	"fmt"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// Times of a planned change.
type Times struct {
	// MaxFlight is how long an order may be on its way.
	MaxFlight time.Duration
	// MoveAfter is how long a drain waits for streams to finish by themselves
	// before they are moved to other engines.
	MoveAfter time.Duration
	// GiveUp is how long a drain may take. A change that can't be drained by
	// then is postponed; streams are never cut for it.
	GiveUp time.Duration
	// Retry is the wait after a failed order or a postponed change.
	Retry time.Duration

	off guardsOff
}

// guardsOff switches single guards off, so that tests can show what each one
// is for.
type guardsOff struct {
	pending bool // the next order doesn't wait for the earlier one
	drained bool // an order doesn't wait for running requests
}

// DefaultTimes returns the times in use. Drafts and replies finish within
// seconds, the longest streams in under two minutes. A failed load means a
// weight store in trouble, which tries in quick succession would make worse.
func DefaultTimes() Times {
	return Times{
		MaxFlight: 2 * time.Second,
		MoveAfter: 10 * time.Second,
		GiveUp:    2 * time.Minute,
		Retry:     10 * time.Second,
	}
}

// Input is what is known about one engine now.
type Input struct {
	Now    clock.Time
	Engine string
	Token  uint64 // this process's fencing token for the engine
	Want   Want
	State  driver.EngineState
	// ReadFrom is when the read that gave State was begun, 0 if the newest
	// read failed.
	ReadFrom clock.Time
	// OrderFrom is the earliest time of an order: after a takeover the former
	// holder's last one may still be on its way.
	OrderFrom clock.Time
	// AckedFrom is since when every live entry has acknowledged the present
	// phase with nothing in flight, 0 if one has not.
	AckedFrom clock.Time
	MayLeave  bool // the pool's away share has room for one more
	MayLoad   bool // the weight store has room for one more load
}

// Pending is an order that may be on its way or under way.
type Pending struct {
	Order    driver.Order
	Answered clock.Time // when the driver returned, well or not
}

// Memory is what isn't read from the engine. The zero value is a start.
type Memory struct {
	Phase       wire.Phase
	Since       clock.Time // when the drain began
	Pending     *Pending
	Orders      int        // sent under the present token
	NotBefore   clock.Time // of the next planned change
	unloadFirst bool
}

// Step is what to do now: keep the phase in force at the entries, and send the
// order if there is one. Reason says why, for people.
type Step struct {
	Phase  wire.Phase
	Order  *driver.Order
	Reason string
}

// Next returns the next step and changes the memory accordingly. It must not
// be called while an order that it returned is with the driver; see Sent.
func (m *Memory) Next(in *Input, t *Times) Step {
	if in.ReadFrom == 0 {
		return m.keep("engine does not answer")
	}
	if wait := m.settlePending(in, t); wait != "" {
		return m.keep(wait)
	}
	if in.State.Changing {
		m.Phase = wire.Phase_PHASE_AWAY
		return m.keep("carries out an order")
	}
	if in.Want.Withdrawn {
		return m.withdraw(in, t)
	}
	orders := Diff(&in.Want, &in.State, m.unloadFirst)
	if len(orders) == 0 {
		m.unloadFirst = false
		return m.open("")
	}
	if wait := m.blocked(in, &orders[0]); wait != "" {
		return m.open(wait)
	}
	if in.Now < in.OrderFrom {
		return m.keep("the former holder's orders may be on their way")
	}
	if !m.drained(in) && !t.off.drained {
		return m.drain(in, t)
	}
	return m.order(in, orders[0])
}

func (m *Memory) keep(reason string) Step { return Step{Phase: m.Phase, Reason: reason} }

func (m *Memory) open(reason string) Step {
	m.Phase = wire.Phase_PHASE_OPEN
	return m.keep(reason)
}

// settlePending says what to wait for before the next order.
//
// Failure: an order's answer is lost; the next order goes out while the first
// is still carried out, or arrives before it. The engine then holds two
// conflicting orders. The next waits until the engine, read after the answer,
// names the order and is done with it, or until the order can't arrive any
// more and the engine doesn't know it: it was lost, or the engine crashed.
func (m *Memory) settlePending(in *Input, t *Times) string {
	p := m.Pending
	switch {
	case p == nil || t.off.pending:
		return ""
	case in.ReadFrom <= p.Answered:
		return "waits for the engine's state"
	case in.State.Changing:
		return "carries out " + describe(&p.Order)
	case in.State.LastOrder == p.Order.ID:
		if !inEffect(&p.Order, &in.State) {
			m.failed(in.Now, t, &p.Order)
		}
	case in.ReadFrom < p.Answered.Add(t.MaxFlight):
		return "an order may be on its way"
	}
	m.Pending = nil
	return ""
}

// failed spaces the tries of an order that the engine took and couldn't do.
func (m *Memory) failed(now clock.Time, t *Times, o *driver.Order) {
	m.NotBefore = now.Add(t.Retry)
	if o.Kind == driver.OrderLoad {
		m.unloadFirst = !m.unloadFirst
	}
}

// blocked says why a change may not begin; one that has begun goes on.
func (m *Memory) blocked(in *Input, first *driver.Order) string {
	switch {
	case in.Now < m.NotBefore:
		return "waits to try again"
	case m.Phase != wire.Phase_PHASE_OPEN:
		return ""
	case !in.MayLeave:
		return "the pool's away share is used up"
	case first.Kind == driver.OrderLoad && !in.MayLoad:
		return "the weight store is busy"
	}
	return ""
}

// drained reports whether nothing can run on the engine any more.
//
// Failure: a role change cuts streams off. Entries that acknowledged the drain
// with nothing in flight send no new work; the engine's own count, read after
// the last acknowledgement, covers what an entry that can't be reached still
// runs there.
func (m *Memory) drained(in *Input) bool {
	idle := in.State.Running == 0 && in.State.Queued == 0
	return m.Phase != wire.Phase_PHASE_OPEN && idle && in.AckedFrom > 0 && in.ReadFrom > in.AckedFrom
}

// drain goes on with taking the work off the engine, within its time.
func (m *Memory) drain(in *Input, t *Times) Step {
	if m.Phase == wire.Phase_PHASE_OPEN {
		m.Phase, m.Since = wire.Phase_PHASE_DRAIN, in.Now
	}
	waited := in.Now.Sub(m.Since)
	switch {
	case waited > t.GiveUp && !in.Want.Withdrawn:
		m.NotBefore = in.Now.Add(t.Retry)
		return m.open(fmt.Sprintf("change postponed: %d requests still run after %s", in.State.Running, t.GiveUp))
	case waited > t.MoveAfter:
		m.Phase = wire.Phase_PHASE_MOVE
	case m.Phase == wire.Phase_PHASE_AWAY:
		m.Phase = wire.Phase_PHASE_DRAIN
	}
	return m.keep(fmt.Sprintf("drains: %d running, %d queued", in.State.Running, in.State.Queued))
}

func (m *Memory) withdraw(in *Input, t *Times) Step {
	if m.drained(in) {
		m.Phase = wire.Phase_PHASE_WITHDRAWN
		return m.keep("withdrawn")
	}
	if m.Phase == wire.Phase_PHASE_WITHDRAWN {
		return m.keep("withdrawn")
	}
	return m.drain(in, t)
}

func (m *Memory) order(in *Input, o driver.Order) Step {
	m.Orders++
	o.ID = fmt.Sprintf("%s-%d-%d", in.Engine, in.Token, m.Orders)
	o.Fence = in.Token
	m.Phase = wire.Phase_PHASE_AWAY
	m.Pending = &Pending{Order: o}
	return Step{Phase: m.Phase, Order: &o, Reason: describe(&o)}
}

// Sent tells how the order returned by Next went: certain is true if it can't
// have reached the engine and never will.
func (m *Memory) Sent(now clock.Time, certain bool, t *Times) {
	if m.Pending == nil {
		return
	}
	m.Pending.Answered = now
	if certain {
		m.Pending = nil
		m.NotBefore = now.Add(t.Retry)
	}
}

// Idle reports whether the engine can be handed over to another process: no
// order of this one can be under way and no change has begun.
func (m *Memory) Idle() bool {
	return m.Pending == nil && (m.Phase == wire.Phase_PHASE_OPEN || m.Phase == wire.Phase_PHASE_WITHDRAWN)
}

func describe(o *driver.Order) string {
	if o.Kind == driver.OrderRole {
		return "role " + string(o.Role)
	}
	s := string(o.Kind) + " " + o.Load.Model + "@" + o.Load.Version
	if o.Load.Adapter != "" {
		s = string(o.Kind) + " " + o.Load.Adapter + "@" + o.Load.Version
	}
	return s
}
