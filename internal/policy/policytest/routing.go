package policytest

import (
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/route"
)

type routing struct{ *entry }

func (n routing) Pick(now clock.Time, q *loadtest.Request, v *loadtest.View) (int, bool) {
	n.sync(now, v)
	r := n.reqs[q.ID]
	d, err := n.router.Pick(now, &r.route)
	if err != nil {
		return 0, false
	}
	r.decoding = false
	first := d.Dispatch
	if d.Prefill.Endpoint != nil {
		first = d.Prefill
	}
	return n.send(now, r, first), true
}

// PickDecode ends the prefill and sends the rest on.
func (n routing) PickDecode(now clock.Time, q *loadtest.Request, _ int, v *loadtest.View) (int, bool) {
	n.sync(now, v)
	r := n.reqs[q.ID]
	// The loop asks again if the engine chosen before didn't take the KV cache.
	last := route.Success
	if r.decoding {
		last = route.Failed
	}
	r.decoding = true
	n.router.Done(now, &r.dispatch, last)
	moved := r.route
	moved.Prefilled = true
	d, err := n.router.Pick(now, &moved)
	if err != nil {
		return 0, false
	}
	id := n.send(now, r, d.Dispatch)
	// The loop doesn't tell the first token of this part.
	n.router.FirstToken(now.Add(d.Transfer), &r.dispatch)
	return id, true
}

func (n routing) send(now clock.Time, r *request, d route.Dispatch) int {
	r.dispatch = d
	if r.sentAt == 0 {
		r.sentAt = now
	}
	n.router.Sent(now, &r.dispatch)
	for i := range n.seen {
		if engineName(i) == d.Endpoint.Name {
			return i
		}
	}
	return -1
}

func (n routing) Done(now clock.Time, o loadtest.Outcome) {
	r := n.reqs[o.Request.ID]
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
