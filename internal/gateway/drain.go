package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/drain"
)

// Name implements kernel.Unit.
func (g *Gateway) Name() string { return "gateway" }

// Drain implements kernel.Drainer. From now on the gateway takes only requests that end before ctx
// does. The server that calls the gateway waits for the requests in progress.
func (g *Gateway) Drain(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	now := g.o.Clock.Now()
	g.shutdown.Store(&shutdown{addressesOld: now.Add(g.o.AddressLifetime), end: now.Add(time.Until(end))})
	return nil
}

// shutdown is the schedule of a process that is shutting down.
type shutdown struct {
	addressesOld clock.Time // when callers have learned that this VM leaves
	end          clock.Time // of the process
}

// refuseInDrain returns the refusal of a request that could be cut off by the end of the process.
// A request that an endpoint may have run is always continued.
func (x *execution) refuseInDrain() (result, bool) {
	s := x.g.shutdown.Load()
	if s == nil || x.headerSent || x.runs > 0 {
		return result{}, false
	}
	now := x.now()
	ready, leaving := x.g.o.Peers()
	r := drain.Request{
		TimeLeft: s.end.Sub(now), CallerTimeout: x.remainingTime(), Wait: firstEventFactor * x.untilFirstEvent,
		Answers: x.g.durations.Sample(now, x.route.Name), AddressesOld: now >= s.addressesOld, PeersReady: ready, PeersLeaving: leaving,
	}
	verdict, retryAfter := drain.Decide(r)
	if verdict == drain.Take {
		return result{}, false
	}
	x.logLeft(&r)
	return result{outcome: refused, code: code.Leaving, err: errLeaving, retryAfter: retryAfter}, true
}

// logLeft logs the decision to refuse the request and what it rests on.
func (x *execution) logLeft(r *drain.Request) {
	e := log.WithField("id", x.call.ID).WithField("left_ms", r.TimeLeft.Milliseconds()).WithField("wait_ms", r.Wait.Milliseconds()).
		WithField("answers", r.Answers.Count).WithField("longest_ms", r.Answers.Longest.Milliseconds()).
		WithField("peers_ready", r.PeersReady).WithField("peers_leaving", r.PeersLeaving)
	e.Info("request left to other VMs")
}

// beginAnswer records that the request's answer begins, once for all attempts.
func (x *execution) beginAnswer() {
	if x.answer == nil {
		x.answer = x.g.durations.Begin(x.now(), x.route.Name)
	}
}

// endAnswer records the end of the request's answer. A caller that disconnects shows that the answer
// takes at least that long.
func (x *execution) endAnswer(o outcome) {
	if x.answer != nil {
		x.answer.End(x.now(), o == answered || o == gone)
	}
}
