package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/place"
)

// streamAttempt starts a stream at an engine, or goes on with one that broke
// off, and passes its events on.
func (x *execution) streamAttempt() result {
	pr := &place.Prompt{Parts: x.c.Parts, Tokens: x.c.Tokens}
	plan, r, ok := x.place(pr)
	if !ok {
		return r
	}
	if plan.Prefill == nil {
		return x.stream(&Send{Endpoint: plan.Engine, Fetch: sourceOf(&plan)}, pr, &plan)
	}
	kv, r := x.prefill(&plan, pr)
	if kv == nil {
		return r
	}
	return x.decode(kv, pr, &plan)
}

// decode has a decode engine go on from a KV cache. An engine that doesn't run
// the request leaves the cache where it is, so that another one can.
func (x *execution) decode(kv *HandOver, pr *place.Prompt, plan *place.Plan) result {
	r := result{outcome: notSent, code: code.NoEndpoint}
	for range maxRefusals {
		// A prefill may wait for seconds, in which engines leave: the choice
		// of the decode engine is made after it.
		e := x.target(plan.Prefill)
		if e == nil || x.ctx.Err() != nil {
			break
		}
		r = x.stream(&Send{Endpoint: e, KV: kv}, pr, plan)
		if r.outcome != notRun && r.outcome != notSent || r.code == code.RetryBudgetSpent {
			break
		}
	}
	if r.outcome == notRun || r.outcome == notSent || r.outcome == gone || r.outcome == refused {
		go x.g.release(*kv)
	}
	return r
}

// target is the decode engine that takes the KV cache at holder over, nil if there is none.
func (x *execution) target(holder *catalog.Endpoint) *catalog.Endpoint {
	for {
		if e := x.g.o.Planner.ChooseDecodeEngine(x.now(), x.open(), holder, x.tried); e != nil {
			return e
		}
		if _, again := x.awaitRoom(); !again {
			return nil
		}
	}
}

// prefill has the plan's prefill engine read the prompt. It can be repeated at
// another engine whatever became of it.
func (x *execution) prefill(plan *place.Plan, pr *place.Prompt) (*HandOver, result) {
	e := plan.Prefill
	ctx, cancel := context.WithTimeout(x.ctx, silentFirst+firstFactor*(plan.Wait+plan.Fetch+plan.Work))
	defer cancel()
	s := &Send{Endpoint: e, Prefill: true, Fetch: sourceOf(plan)}
	t := x.g.o.Planner.Begin(x.now(), e, plan.Job())
	x.g.o.Sent(plan.Work)
	resp, _, r := x.send(ctx, s)
	var h *HandOver
	if resp != nil {
		h, r = x.readHandOver(resp, e)
	}
	if h != nil {
		x.prefillEnd = x.now().Sub(x.c.Arrived)
		x.cached(t, e, pr)
	}
	x.note(e, t, r)
	return h, r
}

// sourceOf is the address that the plan's prefilling engine fetches from, empty for
// none.
func sourceOf(plan *place.Plan) string {
	if plan.Source == nil {
		return ""
	}
	return plan.Source.Address
}

func (x *execution) readHandOver(resp *exchange.Response, e *catalog.Endpoint) (*HandOver, result) {
	defer resp.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHandOver))
	if err != nil {
		return nil, x.broke(err)
	}
	if resp.Status != http.StatusOK {
		return nil, result{outcome: failed, code: code.EndpointFailed}
	}
	handle, err := x.g.o.Codec.HandOver(body)
	if err != nil {
		return nil, result{outcome: failed, code: code.BadAnswer, err: err}
	}
	return &HandOver{e, handle}, result{outcome: answered}
}

// maxHandOver bounds the answer to a prefill, a line of JSON.
const maxHandOver = 64 << 10

// cached notes that e has the prompt cached: it has read it, or taken it over.
func (x *execution) cached(t *place.Ticket, e *catalog.Endpoint, pr *place.Prompt) {
	x.g.o.Planner.PrefillDone(x.now(), t, pr.Parts)
	if pr.SharedTokens() >= toldShared {
		x.g.o.Cached(e, pr.Parts)
	}
}

// toldShared is the shared length from which the other VMs are told that a prompt
// was read: reading less again costs less than telling sixty VMs.
const toldShared = 400

// stream does one exchange of a stream with its engine.
func (x *execution) stream(s *Send, pr *place.Prompt, plan *place.Plan) result {
	s.LastEvent = x.lastEvent
	job := plan.Job()
	if s.KV != nil {
		job = place.Job{HandoffTokens: pr.Tokens}
	}
	t := x.g.o.Planner.Begin(x.now(), s.Endpoint, job)
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	watch := x.watch(cancel, t, s, plan)
	defer watch.stop()
	resp, ans, r := x.send(ctx, s)
	if resp != nil {
		r = x.pump(resp, ans, func() {
			watch.progress()
			x.cached(t, s.Endpoint, pr)
		}, watch)
	}
	x.note(s.Endpoint, t, r)
	return r
}

// pump passes events on until the stream ends.
func (x *execution) pump(resp *exchange.Response, ans Answer, first func(), w *watchdog) result {
	defer resp.Close()
	switch {
	case resp.Status < 200 || resp.Status > 299:
		return x.streamRefused(resp)
	case resp.Header.Get("Content-Encoding") != "":
		return result{outcome: lost, code: code.BadAnswer, err: errEncoded}
	case !ans.Sealed:
		return result{outcome: lost, code: code.BadAnswer, err: errSeal}
	}
	rd := newEventReader(resp.Body)
	for begun := false; ; {
		events, err := rd.next()
		if errors.Is(err, io.EOF) {
			x.start(resp.Header)
			return result{outcome: answered}
		}
		if err != nil {
			return x.broke(err)
		}
		if !begun {
			begun = true
			x.began(x.now())
			first()
		}
		w.progress()
		x.start(resp.Header)
		if !x.pass(events) {
			return result{outcome: gone, code: code.CallerGone}
		}
	}
}

// broke says what an answer that ended early means.
func (x *execution) broke(err error) result {
	if x.ctx.Err() != nil {
		return result{outcome: gone, code: code.DeadlineMissed, err: err}
	}
	return result{outcome: lost, code: code.EndpointCut, err: err}
}

func (x *execution) streamRefused(resp *exchange.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	r := result{outcome: failed, code: code.EndpointFailed, err: err}
	if err == nil && !promises(resp.Status) {
		r.answer = &plainAnswer{resp.Status, resp.Header, body}
	}
	return r
}

// start sends the answer's header, which stays that of the first engine.
func (x *execution) start(h http.Header) {
	if x.started {
		return
	}
	x.started = true
	x.first = x.now().Sub(x.c.Arrived)
	copyHeader(x.w.Header(), h)
	x.w.WriteHeader(http.StatusOK)
}

// pass sends events to the caller at once.
func (x *execution) pass(events []byte) bool {
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	if id := lastID(events); id != "" {
		x.lastEvent = id
	}
	return http.NewResponseController(x.w).Flush() == nil
}

// releaseTimeout bounds the freeing of a KV cache, which lapses by itself.
const releaseTimeout = time.Second

// release frees a KV cache that nobody will use.
func (g *Gateway) release(h HandOver) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	method, target := g.o.Codec.Release(h.Handle)
	g.o.Pressure.RecordSend(g.o.Clock.Now(), h.Holder)
	at := h.Holder.Address
	resp, err := g.o.Pool.Do(ctx, at, &exchange.Request{Method: method, Target: target, Host: at})
	if err != nil {
		return // it lapses by itself
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHandOver))
	resp.Close()
}
