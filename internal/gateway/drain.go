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
	s := &shutdown{addressesOld: now.Add(g.o.AddressLifetime), start: now, end: now.Add(time.Until(end))}
	g.shutdown.Store(s)
	time.AfterFunc(s.length()-s.margin(), func() {
		if ctx.Err() == nil {
			g.endRequests()
		}
	})
	return nil
}

// Requests without an answer get their last one so long before the end of the process that it reaches the caller:
// answerMargin, and a part of the shutdown at most.
const (
	answerMargin        = 300 * time.Millisecond
	answerMarginDivisor = 10
)

// Values of execution.answerClaim.
const (
	claimedByEndpoint = 1 // an endpoint's answer, or that of another VM, is being sent
	claimedByShutdown = 2
)

// endForShutdown ends a request as the process is about to end. One without an answer gets its last one; one whose
// answer has begun goes on until the connection is closed, and is logged.
func (x *execution) endForShutdown(cancel context.CancelFunc) {
	if x.answerClaim.CompareAndSwap(0, claimedByShutdown) {
		cancel()
		return
	}
	e := log.WithField("id", x.call.ID).WithField("route", x.route.Name).WithField("ms", x.now().Sub(x.call.Arrived).Milliseconds())
	e.Warn("answer in progress at the end of the shutdown")
}

// isEndedByShutdown reports whether this VM's shutdown has ended the request.
func (x *execution) isEndedByShutdown() bool {
	s := x.g.shutdown.Load()
	return s != nil && (x.answerClaim.Load() == claimedByShutdown || x.now() >= s.end)
}

// retryAfterShutdown returns the delay after which a caller that this VM's shutdown has refused finds a VM that accepts it.
func (g *Gateway) retryAfterShutdown() time.Duration {
	ready, _ := g.o.Peers()
	return drain.RetryAfter(ready, g.shutdown.Load().end.Sub(g.o.Clock.Now()))
}

// shutdown is the schedule of a process that is shutting down.
type shutdown struct {
	start        clock.Time
	addressesOld clock.Time // when callers have learned that this VM leaves
	end          clock.Time // of the process
}

func (s *shutdown) length() time.Duration { return s.end.Sub(s.start) }

// margin returns how long before the end requests without an answer are ended.
func (s *shutdown) margin() time.Duration { return min(answerMargin, s.length()/answerMarginDivisor) }

// refuseInDrain returns the refusal of a request that could be cut off by the end of the process.
// A request that an endpoint may have run is always continued. endpoint is the ID of the one that is to
// run the request, "" before it is chosen.
func (x *execution) refuseInDrain(endpoint string) (result, bool) {
	s := x.g.shutdown.Load()
	if s == nil || x.headerSent || x.runs > 0 {
		return result{}, false
	}
	now := x.now()
	ready, leaving := x.g.o.Peers()
	r := drain.Request{
		TimeLeft: s.end.Sub(now), Margin: s.margin(), CallerTimeout: x.remainingTime(), Wait: firstEventFactor * x.untilFirstEvent,
		Delays: x.g.startDelays.Sample(now, x.route.Name),
		Answer: x.expectedAnswer(now, endpoint), AddressesOld: now >= s.addressesOld, PeersReady: ready, PeersLeaving: leaving,
		Late: drain.IsLate(s.end.Sub(now), s.length()),
	}
	verdict, retryAfter := drain.Decide(r)
	if verdict == drain.Take {
		return result{}, false
	}
	x.logLeft(&r)
	return result{outcome: refused, code: code.Leaving, err: errLeaving, retryAfter: retryAfter}, true
}

// expectedAnswer returns what is known of the answer's length, and of its speed at an endpoint.
func (x *execution) expectedAnswer(now clock.Time, endpoint string) drain.Answer {
	if !x.isStream() {
		return drain.Answer{Calls: x.g.callTimes.Sample(now, x.route.Name)}
	}
	limit := x.call.MaxOutputTokens
	return drain.Answer{
		Limit: limit, Lengths: x.g.lengths.Sample(now, x.route.Name, limit),
		PerEvent: x.g.paces.PerEvent(now, x.service, endpoint, x.g.o.Planner.Slowdown(now, endpoint)),
	}
}

// logLeft logs the decision to refuse the request and what it rests on.
func (x *execution) logLeft(r *drain.Request) {
	e := log.WithField("id", x.call.ID).WithField("left_ms", r.TimeLeft.Milliseconds()).WithField("wait_ms", r.Wait.Milliseconds()).
		WithField("delay_ms", r.Delays.Longest.Milliseconds()).WithField("peers_ready", r.PeersReady).WithField("peers_leaving", r.PeersLeaving)
	a := &r.Answer
	if x.isStream() {
		e = e.WithField("limit", a.Limit).WithField("answers", a.Lengths.Count).WithField("longest", a.Lengths.Longest).
			WithField("event_ms", a.PerEvent.Milliseconds())
	} else {
		e = e.WithField("answers", a.Calls.Count).WithField("longest_ms", a.Calls.Longest.Milliseconds())
	}
	e.Info("request left to other VMs")
}

// beginCallTime records that an endpoint begins to run the call, once for all attempts.
func (x *execution) beginCallTime() {
	if x.callTime == nil {
		x.callTime = x.g.callTimes.Begin(x.now(), x.route.Name)
	}
}

// beginStart records that a stream is sent for the first time. It is to start after the predicted time.
func (x *execution) beginStart() {
	if x.isStream() && !x.headerSent && x.startDelay == nil {
		x.startDelay = x.g.startDelays.Begin(x.now().Add(x.untilFirstEvent), x.route.Name)
	}
}

// endStart records that a stream has started, or has ended before. A caller that disconnects shows that it would have
// started later.
func (x *execution) endStart(observed bool) {
	if x.startDelay != nil {
		x.startDelay.End(x.now(), observed)
		x.startDelay = nil
	}
}

// recordPace records that n events of a stream have arrived from its engine.
func (x *execution) recordPace(o *openStream, now clock.Time, n int) {
	if o.pace == nil {
		o.pace = x.g.paces.Begin(now, x.service, o.request.Endpoint.ID)
		return
	}
	o.pace.Record(now, n)
}

// countEvents counts n events of the answer, over all attempts.
func (x *execution) countEvents(n int) {
	if x.events == nil {
		x.events = x.g.lengths.Begin(x.now(), x.route.Name, x.call.MaxOutputTokens)
	}
	x.events.Count(n)
}

// endAnswer records the end of the request's answer. A caller that disconnects shows that a call takes
// at least that long. A stream that its caller has resumed lacks the events before that.
func (x *execution) endAnswer(o outcome) {
	if x.callTime != nil {
		x.callTime.End(x.now(), o == answered || o == gone)
	}
	x.endStart(o == gone)
	if x.events != nil {
		x.events.End(x.now(), o == answered && !x.call.continuesStream())
	}
}
