package loadtest

import (
	"time"

	"fescuestand/internal/code"
)

// kvRetry is the wait before a prefilled request looks for a decode engine
// again when none could take it.
const kvRetry = 20 * time.Millisecond

// entry is one process that faces callers.
type entry struct {
	run       *run
	view      View
	admission Admission
	routing   Routing
}

func (n *entry) arrive(q *Request) {
	n.run.loop.At(q.Deadline, func() { n.run.hangUp(q) })
	if c := n.admission.Arrive(n.run.loop.Now(), q, &n.view); c != 0 {
		n.run.result.refused(q, c)
		return
	}
	n.pump()
}

// pump dispatches until the queue holds nothing that may leave now.
func (n *entry) pump() {
	for {
		now := n.run.loop.Now()
		q, refused := n.admission.Next(now, &n.view)
		for _, x := range refused {
			n.run.result.refused(x.Request, x.Code)
		}
		if q == nil {
			return
		}
		if q.ended {
			continue
		}
		id, ok := n.routing.Pick(now, q, &n.view)
		if !ok {
			n.admission.Requeue(now, q)
			return
		}
		n.dispatch(q, id)
	}
}

func (n *entry) dispatch(q *Request, id int) {
	n.view.Engines[id].dispatched(n.run.loop.Now(), q)
	j := &job{req: q, entry: n, at: id}
	q.job = j
	n.run.loop.After(netDelay, func() { n.run.deliver(j) })
}

// deliver hands a job to the engine that it was sent to.
func (r *run) deliver(j *job) {
	if j.done {
		return
	}
	e := r.engines[j.at]
	switch {
	case e.state == Down || e.fails:
		r.loop.After(netDelay, func() { r.failed(j) })
	case e.state != Ready || e.role == Decode:
		r.giveBack(j)
	default:
		e.prefill(j)
	}
}

// giveBack returns a job that has not begun to its entry.
func (r *run) giveBack(j *job) {
	r.loop.After(netDelay, func() {
		if j.done {
			return
		}
		j.done = true
		j.entry.view.Engines[j.at].ended(j.req)
		j.entry.admission.Requeue(r.loop.Now(), j.req)
		j.entry.pump()
	})
}

// prefilled moves a job on to where it is decoded.
func (r *run) prefilled(e *engine, j *job) {
	switch {
	case j.done:
	case j.tokens >= j.req.Output:
		r.finish(j)
	case e.role == Mixed:
		e.decode(j)
	default:
		r.handOver(j, e)
	}
}

// handOver moves the KV cache of a prefilled job. It stays with the prefill
// engine's host memory until a decode engine takes it.
func (r *run) handOver(j *job, from *engine) {
	if j.done {
		return
	}
	to, ok := j.entry.routing.PickDecode(r.loop.Now(), j.req, from.id, &j.entry.view)
	if !ok {
		r.loop.After(kvRetry, func() { r.handOver(j, from) })
		return
	}
	j.entry.view.Engines[j.at].ended(j.req)
	j.at = to
	j.entry.view.Engines[to].dispatched(r.loop.Now(), j.req)
	d := r.cfg.Model.KVTransferSetup + seconds(float64(j.req.Prompt)/r.cfg.Model.KVTransferRate)
	r.loop.After(d, func() { r.receive(j, from) })
}

func (r *run) receive(j *job, from *engine) {
	e := r.engines[j.at]
	switch {
	case j.done:
	case e.state != Ready || e.role == Prefill || e.fails:
		r.loop.After(kvRetry, func() { r.handOver(j, from) })
	default:
		e.decode(j)
	}
}

// finish ends a complete answer.
func (r *run) finish(j *job) {
	if j.done {
		return
	}
	r.end(j, true)
	r.result.complete(j, r.loop.Now())
	r.demand.finished(j.req)
	j.entry.pump()
}

// hangUp ends a request whose caller has gone at its deadline. An engine that
// holds it is told to cancel.
func (r *run) hangUp(q *Request) {
	if q.ended {
		return
	}
	r.result.late(q)
	j := q.job
	if j == nil || j.done {
		return
	}
	r.engines[j.at].forget(j)
	r.end(j, false)
	j.entry.pump()
}

// failed ends an attempt that its engine lost.
func (r *run) failed(j *job) {
	if j.done {
		return
	}
	n := j.entry
	n.view.Engines[j.at].State = Down
	r.end(j, false)
	j.req.attempts++
	if j.req.attempts > r.cfg.Retries {
		r.result.refused(j.req, code.EndpointFailed)
		return
	}
	n.admission.Requeue(r.loop.Now(), j.req)
	n.pump()
}

func (r *run) end(j *job, ok bool) {
	j.done = true
	now := r.loop.Now()
	j.entry.view.Engines[j.at].ended(j.req)
	o := Outcome{Request: j.req, Engine: j.at, OK: ok, Total: now.Sub(j.req.Arrive)}
	if j.first != 0 {
		o.FirstToken = j.first.Sub(j.req.Arrive)
	}
	j.entry.routing.Done(now, o)
	j.entry.admission.Done(now, o)
}
