package loadtest

import (
	"time"

	"fescuestand/internal/code"
)

// kvRetryDelay is the delay before a decode engine is picked again for a prefilled request that
// no engine could take.
const kvRetryDelay = 20 * time.Millisecond

// entry is one process that receives requests from callers and dispatches them to engines.
type entry struct {
	run       *run
	view      View
	admission Admission
	routing   Routing
}

func (n *entry) arrive(q *Request) {
	n.run.loop.At(q.Deadline, func() { n.run.deadlinePassed(q) })
	if c := n.admission.Arrive(n.run.loop.Now(), q, &n.view); c != 0 {
		n.run.result.recordRefused(q, c)
		return
	}
	n.dispatchQueued()
}

// dispatchQueued dispatches queued requests until admission or routing allows no more.
func (n *entry) dispatchQueued() {
	for {
		now := n.run.loop.Now()
		q, refused := n.admission.Next(now, &n.view)
		for _, x := range refused {
			n.run.result.recordRefused(x.Request, x.Code)
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
	n.view.Engines[id].recordDispatch(n.run.loop.Now(), q)
	j := &job{req: q, entry: n, engineID: id}
	q.job = j
	n.run.loop.After(oneWayDelay, func() { n.run.deliver(j) })
}

// deliver queues j on its engine. If the engine is down or failing, the attempt fails; if it
// accepts no prefill at the moment, the job returns to its entry.
func (r *run) deliver(j *job) {
	if j.done {
		return
	}
	e := r.engines[j.engineID]
	switch {
	case e.state == Down || e.failFast:
		r.loop.After(oneWayDelay, func() { r.attemptFailed(j) })
	case e.state != Ready || e.role == Decode:
		r.returnToEntry(j)
	default:
		e.enqueuePrefill(j)
	}
}

// returnToEntry sends a job that hasn't started back to its entry, which queues it again.
func (r *run) returnToEntry(j *job) {
	r.loop.After(oneWayDelay, func() {
		if j.done {
			return
		}
		j.done = true
		j.entry.view.Engines[j.engineID].recordEnd(j.req)
		j.entry.admission.Requeue(r.loop.Now(), j.req)
		j.entry.dispatchQueued()
	})
}

// prefillDone starts the decoding of a prefilled job, on the same engine if that is mixed.
func (r *run) prefillDone(e *engine, j *job) {
	switch {
	case j.done:
	case j.outputTokens >= j.req.Output:
		r.finish(j)
	case e.role == Mixed:
		e.enqueueDecode(j)
	default:
		r.handoff(j, e)
	}
}

// handoff transfers the KV cache of a prefilled job to a decode engine. The cache stays in the
// prefill engine's host memory until a decode engine accepts it.
func (r *run) handoff(j *job, from *engine) {
	if j.done {
		return
	}
	to, ok := j.entry.routing.PickDecode(r.loop.Now(), j.req, from.id, &j.entry.view)
	if !ok {
		r.loop.After(kvRetryDelay, func() { r.handoff(j, from) })
		return
	}
	j.entry.view.Engines[j.engineID].recordEnd(j.req)
	j.engineID = to
	j.entry.view.Engines[to].recordDispatch(r.loop.Now(), j.req)
	d := r.cfg.Model.KVTransferSetup + seconds(float64(j.req.Prompt)/r.cfg.Model.KVTransferRate)
	r.loop.After(d, func() { r.receiveKV(j, from) })
}

// receiveKV queues a job on the decode engine that has received its KV cache, or retries the
// handoff if that engine no longer accepts it.
func (r *run) receiveKV(j *job, from *engine) {
	e := r.engines[j.engineID]
	switch {
	case j.done:
	case e.state != Ready || e.role == Prefill || e.failFast:
		r.loop.After(kvRetryDelay, func() { r.handoff(j, from) })
	default:
		e.enqueueDecode(j)
	}
}

// finish records a complete answer.
func (r *run) finish(j *job) {
	if j.done {
		return
	}
	r.endAttempt(j, true)
	r.result.recordComplete(j, r.loop.Now())
	r.demand.recordOutput(j.req)
	j.entry.dispatchQueued()
}

// deadlinePassed ends an unfinished request: its caller disconnects at the deadline, and the
// engine that holds it cancels it.
func (r *run) deadlinePassed(q *Request) {
	if q.ended {
		return
	}
	r.result.recordLate(q)
	j := q.job
	if j == nil || j.done {
		return
	}
	r.engines[j.engineID].removeQueued(j)
	r.endAttempt(j, false)
	j.entry.dispatchQueued()
}

// attemptFailed ends an attempt that failed with its engine, and retries the request if it has
// retries left.
func (r *run) attemptFailed(j *job) {
	if j.done {
		return
	}
	n := j.entry
	n.view.Engines[j.engineID].State = Down
	r.endAttempt(j, false)
	j.req.failures++
	if j.req.failures > r.cfg.Retries {
		r.result.recordRefused(j.req, code.EndpointFailed)
		return
	}
	n.admission.Requeue(r.loop.Now(), j.req)
	n.dispatchQueued()
}

// endAttempt reports the end of an attempt to its entry's policies.
func (r *run) endAttempt(j *job, ok bool) {
	j.done = true
	now := r.loop.Now()
	j.entry.view.Engines[j.engineID].recordEnd(j.req)
	o := Outcome{Request: j.req, Engine: j.engineID, OK: ok, Total: now.Sub(j.req.Arrive)}
	if j.firstTokenAt != 0 {
		o.FirstToken = j.firstTokenAt.Sub(j.req.Arrive)
	}
	j.entry.routing.Done(now, o)
	j.entry.admission.Done(now, o)
}
