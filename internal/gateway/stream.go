package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/drain"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
)

// openStream is a stream that an engine has begun to answer.
type openStream struct {
	*attempt
	prompt *place.Prompt
	resp   *exchange.Response
	guard  *guard[*openStream]
	ctx    context.Context    // of the exchange
	cancel context.CancelFunc // ends the exchange
	pace   *drain.Stream      // nil before the first event
}

// close ends the exchange and records it with its result.
func (o *openStream) close(x *execution, r *result) {
	o.guard.stop()
	o.resp.Close()
	o.cancel()
	if o.pace != nil {
		o.pace.End(x.now())
	}
	x.recordAttempt(o.attempt, r)
}

// streamAttempt starts a stream at an engine, or resumes an interrupted one, and forwards its
// events to the caller.
func (x *execution) streamAttempt() result {
	o, r := x.openStream()
	for o != nil {
		o, r = x.forwardStream(o)
	}
	return r
}

// openStream has an engine begin the stream, or resume an interrupted one. It returns nil and the reason if
// none has.
func (x *execution) openStream() (*openStream, result) {
	prompt := &place.Prompt{Parts: x.call.Parts, Tokens: x.call.PromptTokens}
	x.avoidsPrefillEngines = !x.mayPrefillAgain()
	plan, r, ok := x.placePrompt(prompt)
	x.avoidsPrefillEngines = false
	if !ok {
		return nil, r
	}
	if plan.Prefill == nil {
		return x.beginStream(&EndpointRequest{Endpoint: plan.Engine, FetchFrom: fetchAddress(&plan)}, prompt, &plan)
	}
	kv, replacement, r := x.prefill(&plan, prompt)
	if kv == nil {
		return replacement, r
	}
	plan.Prefill = kv.Holder
	if !x.mayRunAgain() { // a replacement has run and was lost
		x.inBackground(func() { x.g.releaseKVCache(*kv) })
		return nil, result{outcome: lost, code: code.EndpointCut}
	}
	return x.decode(kv, prompt, &plan)
}

// retriesToResume is the number of retries that resume a stream by a further prefill: the prefill and the stream.
const retriesToResume = 2

// mayPrefillAgain reports whether a prefill engine may be asked. A stream whose prompt one has prefilled before takes
// half as many retries at an engine that both prefills and decodes.
func (x *execution) mayPrefillAgain() bool {
	return !x.prefillDone || x.g.o.Budget.Allows(x.now(), x.service, repeat.Optional, retriesToResume)
}

// decode has a decode engine fetch the KV cache of a prefill and begin the stream. An engine that
// doesn't run the request leaves the cache at the prefill engine, so that another engine can be
// tried. A cache that no engine has used is released.
func (x *execution) decode(kv *Handoff, prompt *place.Prompt, plan *place.Plan) (*openStream, result) {
	r := x.noDecodeEngine(plan.Prefill)
	for range x.maxRejections() {
		// A prefill may be queued for seconds, and engines may leave in that time. The decode
		// engine is therefore chosen after the prefill.
		e := x.chooseDecodeEngine(plan.Prefill)
		if e == nil || x.ctx.Err() != nil {
			break
		}
		var o *openStream
		o, r = x.beginStream(&EndpointRequest{Endpoint: e, Handoff: kv}, prompt, plan)
		if o != nil {
			return o, result{}
		}
		if r.outcome != notRun && r.outcome != notSent || r.code == code.RetryBudgetSpent {
			break
		}
	}
	if r.outcome == notRun || r.outcome == notSent || r.outcome == gone || r.outcome == refused {
		x.inBackground(func() { x.g.releaseKVCache(*kv) })
	}
	return nil, r
}

// noDecodeEngine is the result of a stream that no decode engine of holder's version can continue from the
// KV cache there. It may be placed again if engines of another version can run it.
func (x *execution) noDecodeEngine(holder *catalog.Endpoint) result {
	otherVersion := func(e *catalog.Endpoint) bool { return e.Version != holder.Version }
	if x.origin.Load() == nil && slices.ContainsFunc(x.untriedEndpoints(), otherVersion) {
		return result{outcome: notSent, code: code.EndpointLeft, err: errEndpointLeft}
	}
	return x.noEndpoint()
}

// chooseDecodeEngine returns the decode engine to which the KV cache at holder should be
// transferred, waiting for endpoint capacity if necessary. It returns nil if there is none of holder's
// software version, as another version may not read the cache.
func (x *execution) chooseDecodeEngine(holder *catalog.Endpoint) *catalog.Endpoint {
	for {
		if e := x.g.o.Planner.ChooseDecodeEngine(x.now(), ofVersion(x.openEndpoints(), holder.Version), holder, x.tried); e != nil {
			return e
		}
		if _, retry := x.awaitCapacityOf(ofVersion(x.untriedEndpoints(), holder.Version)); !retry {
			return nil
		}
	}
}

// prefill has the plan's prefill engine compute the prompt's KV cache. It can always be retried at
// another engine, whatever its result. If the engine is silent, the KV cache may be that of another one, or
// another one may have begun the stream meanwhile, which prefill returns then.
func (x *execution) prefill(plan *place.Plan, prompt *place.Prompt) (*Handoff, *openStream, result) {
	a := x.begin(&EndpointRequest{Endpoint: plan.Prefill, PrefillOnly: true, FetchFrom: fetchAddress(plan)}, plan.Job())
	a.bodyLimit, a.quiet = maxHandoffBytes, plan.FirstEvent
	ctx, cancel, _ := x.exchangeContext()
	defer cancel()
	g := newGuard(x, firstEventAllowance(plan), func() (prefillReplacement, bool) { return x.replacePrefill(a, prompt) }, leaver(a, cancel))
	g.keepRun = true
	defer g.stop()
	x.g.o.OnPrefillSent(plan.Work)
	var replacement prefillReplacement
	resp, ans, r := x.send(ctx, a, func(op func() bool) (taken bool) {
		replacement, taken = g.await(op)
		return taken
	})
	switch {
	case resp != nil:
		defer resp.Close()
		replacement.kv, r = x.parseHandoff(resp, a)
	case !ans.OtherRequest:
		x.releaseUnused(a)
	}
	if resp != nil && replacement.kv != nil {
		x.handoffTime = x.now().Sub(x.call.Arrived)
		x.untilFirstEvent = max(plan.FirstEvent-plan.Wait-plan.Fetch-plan.Work, 0)
		x.recordCachedPrompt(a, prompt)
	}
	x.recordAttempt(a, &r)
	return replacement.kv, replacement.stream, r
}

// releaseUnused releases the KV cache of a prefill that was answered after another engine had replaced it.
func (x *execution) releaseUnused(a *attempt) {
	if handle, err := x.g.o.Codec.ParseHandoff(a.body.bytes()); err == nil && a.bodyErr == nil && handle != "" {
		x.inBackground(func() { x.g.releaseKVCache(Handoff{a.request.Endpoint, handle}) })
	}
}

// firstEventAllowance is the time that an engine may be silent before its first event.
func firstEventAllowance(plan *place.Plan) time.Duration {
	return firstEventSlack + firstEventFactor*(plan.Wait+plan.Fetch+plan.Work)
}

// fetchAddress returns the address of the engine from which the plan's prefilling engine fetches
// cached prompt parts, or "" if it fetches none.
func fetchAddress(plan *place.Plan) string {
	if plan.Source == nil {
		return ""
	}
	return plan.Source.Address
}

// parseHandoff returns the KV cache that the answer to a prefill names.
func (x *execution) parseHandoff(resp *exchange.Response, a *attempt) (*Handoff, result) {
	if a.bodyErr != nil {
		return nil, x.classifyReadError(a.bodyErr)
	}
	if resp.Status != http.StatusOK {
		return nil, result{outcome: failed, code: code.EndpointFailed}
	}
	handle, err := x.g.o.Codec.ParseHandoff(a.body.bytes())
	if err != nil {
		return nil, result{outcome: failed, code: code.BadAnswer, err: err}
	}
	return &Handoff{a.request.Endpoint, handle}, result{outcome: answered}
}

// maxHandoffBytes bounds the answer to a prefill, which is a line of JSON.
const maxHandoffBytes = 64 << 10

// recordCachedPrompt records that the endpoint of an attempt has the prompt in its cache, by its own
// prefill or a KV cache transfer, and announces long shared prompts to the other VMs.
func (x *execution) recordCachedPrompt(a *attempt, prompt *place.Prompt) {
	x.g.o.Planner.PrefillDone(x.now(), a.ticket, prompt.Parts)
	x.g.held.wake(x.now(), x.service)
	if prompt.SharedTokens() >= minAnnouncedTokens {
		x.g.o.OnPrefixCached(a.request.Endpoint, prompt.Parts)
	}
}

// minAnnouncedTokens is the number of shared tokens from which a cached prompt is announced to the
// other VMs: prefilling a shorter one again costs less than a message to sixty VMs.
const minAnnouncedTokens = 400

// beginStream sends a stream request to an engine. It returns the stream once the engine has begun to
// answer, or one that has replaced it as the engine was silent.
func (x *execution) beginStream(s *EndpointRequest, prompt *place.Prompt, plan *place.Plan) (*openStream, result) {
	s.LastEventID = x.lastEventID
	job := plan.Job()
	if s.Handoff != nil {
		job = place.Job{HandoffTokens: prompt.Tokens}
	}
	o := &openStream{attempt: x.begin(s, job), prompt: prompt}
	ctx, cancel, accept := x.exchangeContext()
	o.ctx, o.cancel, o.quiet = ctx, cancel, plan.FirstEvent
	o.guard = newGuard(x, firstEventAllowance(plan), func() (*openStream, bool) { return x.replaceStream(o.attempt) }, leaver(o.attempt, cancel))
	var replacement *openStream
	resp, ans, r := x.send(ctx, o.attempt, func(op func() bool) (taken bool) {
		replacement, taken = o.guard.await(op)
		return taken
	})
	if resp != nil {
		o.resp = resp
		if r = x.checkStream(resp, ans); r.outcome == answered {
			if accept() {
				return o, result{}
			}
			r = result{outcome: gone}
		}
		resp.Close()
	}
	o.guard.stop()
	cancel()
	x.recordAttempt(o.attempt, &r)
	return replacement, r
}

// checkStream returns why an answer can't be forwarded as a stream, or answered if it can.
func (x *execution) checkStream(resp *exchange.Response, ans Answer) result {
	switch {
	case resp.Status < 200 || resp.Status > 299:
		return x.readStreamFailure(resp)
	case resp.Header.Get("Content-Encoding") != "":
		return result{outcome: lost, code: code.BadAnswer, err: errEncoded}
	case !ans.Signed:
		return result{outcome: lost, code: code.BadAnswer, err: errUnsigned}
	}
	return result{outcome: answered}
}

// forwardStream forwards events to the caller until the stream ends, or until another engine has taken it
// as this one was silent. It returns the stream there, or the result.
func (x *execution) forwardStream(o *openStream) (*openStream, result) {
	rd := newEventReader(o.resp.Body)
	rd.held = &x.held
	defer rd.release()
	o.life.Await(x.now())
	for {
		var events []byte
		var err error
		replacement, taken := o.guard.await(func() bool {
			events, err = rd.next()
			goesOn := err == nil || errors.Is(err, io.EOF)
			o.brokeOff = !goesOn && o.ctx.Err() == nil
			return goesOn
		})
		if taken {
			r := result{outcome: replaced}
			if o.brokeOff {
				r = x.classifyReadError(err)
			}
			o.close(x, &r)
			return replacement, result{}
		}
		if err != nil {
			r := x.endOfStream(o, err)
			o.close(x, &r)
			return nil, r
		}
		id, increasing := followingID(x.lastEventID, events)
		if !increasing {
			r := result{outcome: lost, code: code.BadAnswer, err: errRepeatedEvent}
			o.close(x, &r)
			return nil, r
		}
		if o.eventAt == 0 && !x.isKnownProcess(o) {
			r := result{outcome: lost, code: code.EndpointLeft, err: errOtherProcess}
			o.close(x, &r)
			return nil, r
		}
		x.markResumed(o.attempt)
		if !x.forwardEvents(o, events, id) {
			r := result{outcome: gone, code: code.CallerGone}
			o.close(x, &r)
			return nil, r
		}
		o.guard.reset(maxEventGap)
		o.life.Await(x.lastEventAt)
	}
}

// forwardEvents forwards events of a stream up to the one with an id. It returns false if the caller doesn't take them.
func (x *execution) forwardEvents(o *openStream, events []byte, id string) bool {
	if o.eventAt == 0 {
		x.countForWorkspace(x.now())
		x.recordOrigin(o.request.Endpoint)
		x.recordCachedPrompt(o.attempt, o.prompt)
	}
	x.recordEvents(o.attempt)
	if !x.sendHeader(o.resp) {
		return false
	}
	n := bytes.Count(events, eventEnd)
	x.recordPace(o, o.progressAt, n)
	x.countEvents(n)
	return x.sendEvents(events, id)
}

// endOfStream returns the result of a stream that has ended, with err if not in order.
func (x *execution) endOfStream(o *openStream, err error) result {
	if !errors.Is(err, io.EOF) {
		return x.classifyReadError(err)
	}
	r := x.verifyEnd(o.resp, o.attempt)
	if r.outcome == answered && !x.sendHeader(o.resp) {
		return result{outcome: gone}
	}
	return r
}

// classifyReadError returns the result of an answer that ended early with err.
func (x *execution) classifyReadError(err error) result {
	if exceeded := exceededBound(err); exceeded != nil {
		return result{outcome: lost, code: exceededCode(exceeded), err: err}
	}
	if x.ctx.Err() != nil {
		return result{outcome: gone, code: code.DeadlineMissed, err: err}
	}
	if errors.Is(err, driver.ErrBadAnswer) {
		return result{outcome: lost, code: code.BadAnswer, err: err}
	}
	return result{outcome: lost, code: code.EndpointCut, err: err}
}

func (x *execution) readStreamFailure(resp *exchange.Response) result {
	body, err := x.readWholeAnswer(resp, maxBodyBytes)
	r := result{outcome: failed, code: code.EndpointFailed, err: err}
	if exceeded := exceededBound(err); exceeded != nil {
		r.code = exceededCode(exceeded)
	}
	if err == nil && !promisesNotRun(resp.Status) {
		r.answer = &bufferedAnswer{resp.Status, resp.Header, body}
	}
	return r
}

// sendHeader sends the answer's header to the caller, once: a stream that is resumed at another
// engine keeps the header of the first engine. It returns false if the shutdown has ended the request.
func (x *execution) sendHeader(resp *exchange.Response) bool {
	if x.headerSent {
		return true
	}
	if !x.answerClaim.CompareAndSwap(0, claimedByEndpoint) {
		return false
	}
	x.headerSent = true
	x.firstEventTime = x.now().Sub(x.call.Arrived)
	x.endStart(true)
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.Status)
	return true
}

// sendEvents writes events up to the one with an id to the caller and flushes them. It returns false if that fails.
func (x *execution) sendEvents(events []byte, id string) bool {
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	x.lastEventAt = x.now()
	x.lastEventID = id
	return http.NewResponseController(x.w).Flush() == nil
}

// releaseTimeout bounds the request that releases a KV cache. The cache expires by itself if it
// fails.
const releaseTimeout = time.Second

// releaseKVCache releases a KV cache that no engine will use.
func (g *Gateway) releaseKVCache(handoff Handoff) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	method, target := g.o.Codec.Release(handoff.Handle)
	g.o.Pressure.RecordSend(g.o.Clock.Now(), handoff.Holder)
	address := handoff.Holder.Address
	resp, err := g.o.Pool.Do(ctx, address, &exchange.Request{Method: method, Target: target, Host: address})
	if err != nil {
		return // the KV cache expires by itself
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHandoffBytes))
	resp.Close()
}
