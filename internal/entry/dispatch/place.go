package dispatch

import (
	"context"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
)

// place chooses where the next attempt goes, and counts it there.
func (s *session) place(ctx context.Context) (*route.Decision, *exposure, error) {
	giveUp := s.d.clk.Now().Add(placeWait)
	exclude := s.exclude
	for {
		now := s.d.clk.Now()
		verdict := s.d.suspects.Judge(now, s.print)
		if verdict == suspect.Quarantined {
			return nil, nil, errGuilty
		}
		d, err := s.pick(now, verdict, exclude)
		if err == nil {
			s.d.router.Sent(now, &d.Dispatch)
			s.placed()
			return d, s.expose(now, verdict, d), nil
		}
		if now >= giveUp && verdict != suspect.Suspect {
			return nil, nil, err
		}
		// Every other engine may be excluded or away; a short wait beats a
		// refusal, and an excluded one is better than none. A suspect waits
		// until an engine is free of others.
		exclude = nil
		if wait(ctx, placeStep); ctx.Err() != nil {
			return nil, nil, endOf(ctx)
		}
	}
}

func (s *session) pick(now clock.Time, verdict suspect.Verdict, exclude []*route.Endpoint) (*route.Decision, error) {
	req := &route.Request{
		Pool:      s.pool.Name,
		Artifact:  route.Artifact{Model: s.g.Model, Version: s.g.Version, Adapter: s.g.Adapter},
		Workspace: s.g.Workspace, Pieces: s.pieces, PromptTokens: len(s.g.Prompt) / bytesPerToken,
		Exclude: exclude, Urgent: s.urgent, Prefilled: s.kv != nil,
	}
	if verdict == suspect.Suspect {
		ep := s.d.isolate(s.print, s.pool.Name, exclude)
		if ep == nil {
			return nil, code.New(code.NoEndpoint, "every engine holds another suspect")
		}
		req.Isolate, req.Exclude, req.Prefilled = true, s.d.others(s.pool.Name, ep), true
	}
	d, err := s.d.router.Pick(now, req)
	if err != nil {
		return nil, err
	}
	return &d, nil
}

// expose notes what a crash during the attempt would say of the request.
func (s *session) expose(now clock.Time, verdict suspect.Verdict, d *route.Decision) *exposure {
	x := &exposure{crash: suspect.Crash{Endpoint: d.Endpoint.Name}, began: now, verdict: verdict}
	if e := s.engine(d); e != nil {
		x.crash.Incarnation = e.Incarnation()
	}
	x.clearAt = now.Add(time.Duration(clearFactor*float64(s.ran)) + clearMargin)
	return x
}
