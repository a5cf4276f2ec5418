package policytest

import (
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/route"
)

type routing struct{ *entry }

func (n routing) Pick(now clock.Time, q *loadtest.Request, v *loadtest.View) (int, bool) {
	n.syncView(now, v)
	r := n.requests[q.ID]
	d, err := n.router.Pick(now, &r.route)
	if err != nil {
		return 0, false
	}
	r.decoding = false
	first := d.Dispatch
	if d.Prefill.Endpoint != nil {
		first = d.Prefill
	}
	return n.recordSend(now, r, first), true
}

// PickDecode ends the dispatch for prefill and picks a decode engine.
func (n routing) PickDecode(now clock.Time, q *loadtest.Request, _ int, v *loadtest.View) (int, bool) {
	n.syncView(now, v)
	r := n.requests[q.ID]
	// If the decode engine picked before didn't accept the KV cache, the simulation calls
	// PickDecode again.
	previousOutcome := route.Success
	if r.decoding {
		previousOutcome = route.Failed
	}
	r.decoding = true
	n.router.Done(now, &r.dispatch, previousOutcome)
	decodeRequest := r.route
	decodeRequest.Prefilled = true
	d, err := n.router.Pick(now, &decodeRequest)
	if err != nil {
		return 0, false
	}
	id := n.recordSend(now, r, d.Dispatch)
	// The simulation doesn't report the first token of the decode dispatch.
	n.router.FirstToken(now.Add(d.Transfer), &r.dispatch)
	return id, true
}

// recordSend records the dispatch of r and returns the engine's number.
func (n routing) recordSend(now clock.Time, r *request, d route.Dispatch) int {
	r.dispatch = d
	if r.sentAt == 0 {
		r.sentAt = now
	}
	n.router.Sent(now, &r.dispatch)
	for i := range n.engines {
		if engineName(i) == d.Endpoint.Name {
			return i
		}
	}
	return -1
}

func (n routing) Done(now clock.Time, o loadtest.Outcome) {
	r := n.requests[o.Request.ID]
	if r == nil {
		return
	}
	outcome := route.Failed
	switch {
	case o.OK:
		outcome = route.Success
		n.router.FirstToken(o.Request.Arrive.Add(o.FirstToken), &r.dispatch)
		n.router.Progress(now, &r.dispatch, o.Request.Output)
	case now >= o.Request.Deadline:
		outcome = route.Canceled
	}
	n.router.Done(now, &r.dispatch, outcome)
}
