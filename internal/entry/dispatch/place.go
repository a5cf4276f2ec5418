package dispatch

import (
	"context"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
)

// place chooses the endpoint for the next attempt and counts the attempt as in flight there.
func (s *session) place(ctx context.Context) (*placement, error) {
	deadline := s.dispatcher.clk.Now().Add(placementTimeout)
	exclude := s.exclude
	for {
		now := s.dispatcher.clk.Now()
		verdict := s.dispatcher.suspects.Judge(now, s.fingerprint)
		if verdict == suspect.Quarantined {
			return nil, errQuarantined
		}
		decision, err := s.pickEndpoint(now, verdict, exclude, s.kv != nil)
		if err == nil {
			return s.occupy(now, verdict, decision), nil
		}
		if now >= deadline && verdict != suspect.Suspect && s.search == nil {
			return nil, err
		}
		// Every other engine may be excluded or unavailable. A short wait is better than a refusal,
		// and an excluded engine is better than none. A suspect waits until an engine is free of
		// other suspects, and a search until its time is over.
		exclude = nil
		if sleep(ctx, placementRetryDelay); ctx.Err() != nil {
			return nil, contextEndError(ctx)
		}
	}
}

// occupy counts an attempt as in flight at the endpoint.
func (s *session) occupy(now clock.Time, verdict suspect.Verdict, decision *route.Decision) *placement {
	s.dispatcher.router.Sent(now, &decision.Dispatch)
	s.onDispatched()
	return &placement{decision: decision, exposure: s.newExposure(now, verdict, decision)}
}

// pickEndpoint asks the router for an endpoint; a suspect runs isolated on a reserved engine. cached
// says that the KV cache need not be computed.
func (s *session) pickEndpoint(
	now clock.Time, verdict suspect.Verdict, exclude []*route.Endpoint, cached bool,
) (*route.Decision, error) {
	req := &route.Request{
		Pool:      s.pool.Name,
		Artifact:  route.Artifact{Model: s.req.Model, Version: s.req.Version, Adapter: s.req.Adapter},
		Workspace: s.req.Workspace, Pieces: s.cacheBlocks, PromptTokens: len(s.req.Prompt) / bytesPerToken,
		Exclude: exclude, Urgent: s.urgent, Prefilled: cached,
	}
	if verdict == suspect.Suspect {
		reserved := s.dispatcher.reserveForSuspect(s.fingerprint, s.pool.Name, exclude)
		if reserved == nil {
			return nil, code.New(code.NoEndpoint, "every engine holds another suspect")
		}
		req.Isolate, req.Exclude, req.Prefilled = true, s.dispatcher.endpointsExcept(s.pool.Name, reserved), true
	}
	decision, err := s.dispatcher.router.Pick(now, req)
	if err != nil {
		return nil, err
	}
	return &decision, nil
}

// newExposure records what the evidence will need if the engine crashes during the attempt.
func (s *session) newExposure(now clock.Time, verdict suspect.Verdict, decision *route.Decision) *crashExposure {
	exposure := &crashExposure{crash: suspect.Crash{Endpoint: decision.Endpoint.Name}, began: now, verdict: verdict}
	if e := s.engine(decision); e != nil {
		exposure.crash.Incarnation = e.Incarnation()
	}
	exposure.clearAt = now.Add(time.Duration(clearFactor*float64(s.crashedRun)) + clearMargin)
	return exposure
}
