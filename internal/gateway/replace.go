package gateway

import (
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/silence"
	"fescuestand/internal/stall"
)

const (
	// firstEventSlack is the time that is allowed for a first event in addition to firstEventFactor
	// times the prediction.
	firstEventSlack = 400 * time.Millisecond
	// firstEventFactor times the predicted time is allowed for a first event.
	firstEventFactor = 2
	// maxEventGap is the time without events after which another engine is asked to resume a stream.
	// Callers disconnect after two seconds.
	maxEventGap = 800 * time.Millisecond
	// maxAskedAtOnce bounds the endpoints that are asked in a row to replace one. After that, rejections
	// count as news about the pool, and the next ones are asked later.
	maxAskedAtOnce = 3
)

// replaceStream has another engine resume the stream of a, whose engine is silent.
func (x *execution) replaceStream(a *attempt) (*openStream, bool) {
	end, ok := x.beginReplacing(a)
	if !ok {
		return nil, false
	}
	defer end()
	for range maxAskedAtOnce {
		o, r := x.openStream()
		if o != nil {
			x.g.metrics.countReplacement(replacementTaken)
			return o, true
		}
		if !x.mayAskAnother(&r) {
			break
		}
	}
	x.endReplacing()
	return nil, false
}

// prefillReplacement is what takes the place of a silent prefill: a stream that another engine has begun, or
// the KV cache of another prefill.
type prefillReplacement struct {
	stream *openStream
	kv     *Handoff
}

// replacePrefill secures what takes the place of a, a silent prefill. A stream that may not be resumed gets only
// one run, which couldn't be taken back if the prefill ended meanwhile: it gets another prefill.
func (x *execution) replacePrefill(a *attempt, prompt *place.Prompt) (prefillReplacement, bool) {
	if x.route.Retryable() {
		o, taken := x.replaceStream(a)
		return prefillReplacement{stream: o}, taken
	}
	x.markSilent(a)
	end, ok := x.beginAsking(a, catalog.Prefill)
	if !ok {
		return prefillReplacement{}, false
	}
	defer end()
	if plan, _, ok := x.placePrompt(prompt); ok && plan.Prefill != nil {
		if kv, _, _ := x.prefill(&plan, prompt); kv != nil {
			x.g.metrics.countReplacement(replacementTaken)
			return prefillReplacement{kv: kv}, true
		}
	}
	x.endReplacing()
	return prefillReplacement{}, false
}

// replaceCall has another endpoint answer the call of a, whose endpoint is silent. A failure isn't taken: the
// silent endpoint may still succeed.
func (x *execution) replaceCall(a *attempt) (result, bool) {
	end, ok := x.beginReplacing(a)
	if !ok {
		return result{}, false
	}
	defer end()
	for range maxAskedAtOnce {
		r := x.callOnce()
		if r.outcome == answered {
			x.g.metrics.countReplacement(replacementTaken)
			return r, true
		}
		if !x.mayAskAnother(&r) {
			break
		}
	}
	x.endReplacing()
	return result{}, false
}

// beginReplacing records that the endpoint of a is silent, and reports whether another one may be asked. end must be
// called once it has been.
func (x *execution) beginReplacing(a *attempt) (end func(), ok bool) {
	if a.life.IsAlive(x.now()) {
		return nil, false // its header has arrived a moment ago
	}
	x.markSilent(a)
	if !x.route.Retryable() || !x.mayRunAgain() || x.ctx.Err() != nil {
		return nil, false
	}
	return x.beginAsking(a, catalog.Whole)
}

// beginAsking reports whether an endpoint that isn't silent and the retry budget allow a replacement of a. Until
// end is called, silent endpoints are excluded. stage is Prefill if a prefill engine is to be asked.
func (x *execution) beginAsking(a *attempt, stage catalog.Stage) (end func(), ok bool) {
	end, ok = x.excludeSilent(a, stage)
	if !ok {
		x.withheld++
		x.g.metrics.countReplacement(replacementWithheld)
		return nil, false
	}
	if !x.mayAfford() {
		end()
		return nil, false
	}
	x.forgetRejections()
	x.tried[a.request.Endpoint.ID] = true
	return end, true
}

// excludeSilent excludes the endpoints that are as silent as that of a until end is called. It reports whether
// others may be asked.
func (x *execution) excludeSilent(a *attempt, stage catalog.Stage) (end func(), ok bool) {
	outer := x.silent
	x.silent = nil
	now, endpoints := x.now(), x.openEndpoints()
	candidates := x.candidatesToReplace(a, now, endpoints, stage)
	verdict := x.g.silences.Decide(now, x.service, x, now.Sub(a.progressAt), candidates)
	if verdict == silence.Withhold {
		x.silent = outer
		return nil, false
	}
	x.silent = map[string]bool{}
	for i := range candidates {
		if candidates[i].Silent {
			x.silent[endpoints[i].ID] = true
		}
	}
	return func() {
		x.silent = outer
		if verdict == silence.Probe {
			x.g.silences.EndProbe(x.service, x)
		}
	}, true
}

// candidatesToReplace returns the endpoints, in their order, with what the execution and the planner know of them.
func (x *execution) candidatesToReplace(a *attempt, now clock.Time, endpoints []*catalog.Endpoint, stage catalog.Stage) []silence.Candidate {
	full := map[string]bool{}
	for _, f := range x.g.o.Planner.FullEndpoints(now, endpoints) {
		full[f.ID] = true
	}
	out := make([]silence.Candidate, len(endpoints))
	for i, e := range endpoints {
		isOther := e.ID != a.request.Endpoint.ID && (e.Stage == catalog.Prefill) == (stage == catalog.Prefill)
		mayTake := !x.tried[e.ID] || x.rejectedBy[e.ID]
		out[i] = silence.Candidate{Process: silenceProcess(e), Tried: !isOther || !mayTake, Full: full[e.ID]}
	}
	return out
}

// mayReplace reports whether an engine may be sent a stream that is to be replaced. One that has shown no sign of life
// lately is asked for one first: if it pauses, the request would stay in its socket, and it and the silent engine would
// begin or go on together.
func (x *execution) mayReplace(e *catalog.Endpoint) (result, bool) {
	if x.ctx == x.callCtx || !x.isForEngine() || x.g.silences.IsAlive(x.now(), silenceProcess(e)) || x.showsLife(e) {
		return result{}, true
	}
	if x.ctx.Err() != nil {
		return result{outcome: gone}, false
	}
	x.silentEngines++
	x.recordRejection(e) // it may be asked again
	return result{outcome: notSent, code: code.EndpointSilent, err: errEndpointSilent}, false
}

// isForEngine reports whether the request is sent to engines. Plain services may have streams, too.
func (x *execution) isForEngine() bool { return x.isStream() && x.call.PromptTokens > 0 }

// showsLife asks an engine for a sign of life. A failure to ask it is left to the request.
func (x *execution) showsLife(e *catalog.Endpoint) bool {
	ctx, cancel := stall.WithTimeout(x.ctx, lifeCheckTime)
	defer cancel()
	check := x.g.checkLife(e)
	select {
	case <-check.done:
		if check.failed {
			return true
		}
	case <-ctx.Done():
	}
	return x.ctx.Err() == nil && x.g.silences.IsAlive(x.now(), silenceProcess(e))
}

// silenceProcess identifies an endpoint's process in the register of silences.
func silenceProcess(e *catalog.Endpoint) silence.Process {
	return silence.Process{ID: e.ID, Born: e.Born}
}

// mayAfford reports whether the retry budget allows a replacement.
func (x *execution) mayAfford() bool {
	if x.g.o.Budget.Allows(x.now(), x.service, x.retryPriority(), 1) {
		return true
	}
	x.g.metrics.countReplacement(replacementUnaffordable)
	return false
}

// endReplacing counts an attempt to secure a replacement that has failed or was canceled.
func (x *execution) endReplacing() {
	if x.ctx.Err() != nil {
		x.g.metrics.countReplacement(replacementCanceled)
		return
	}
	x.g.metrics.countReplacement(replacementFailed)
}

// mayAskAnother reports whether another endpoint may take the request, after one didn't run it.
func (x *execution) mayAskAnother(r *result) bool {
	switch {
	case x.ctx.Err() != nil, r.code == code.NoEndpoint, r.code == code.RetryBudgetSpent:
		return false
	case r.outcome == notRun, r.outcome == notSent:
		return true
	}
	return r.outcome == lost && x.mayRunAgain()
}

// forgetRejections allows endpoints to be asked again that have rejected the request so far.
func (x *execution) forgetRejections() {
	for id := range x.rejectedBy {
		delete(x.tried, id)
	}
	clear(x.rejectedBy)
	x.rejections = 0
}

// recordRejection records that an endpoint hasn't run the request, but may take it later.
func (x *execution) recordRejection(e *catalog.Endpoint) {
	if x.rejectedBy == nil {
		x.rejectedBy = map[string]bool{}
	}
	x.rejectedBy[e.ID] = true
}
