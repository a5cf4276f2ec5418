package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/place"
)

// execution is one call's way through the gateway.
type execution struct {
	g        *Gateway
	ctx      context.Context // ends with the caller or the deadline
	caller   context.Context // ends with the caller
	c        *Call
	route    *catalog.Route
	view     *catalog.View
	w        http.ResponseWriter
	deadline clock.Time
	service  string

	arrivals     int             // requests that have reached endpoints
	runs         int             // those that may have run
	prepaid      atomic.Int32    // repeats that were taken from the budget and not sent yet
	prefilled    bool            // the prefill that counts as no arrival is used
	tried        map[string]bool // endpoints not to be used again
	lastEvent    string          // passed on to the caller
	failure      *plainAnswer    // newest failure that an endpoint answered
	started      bool            // the answer's header has been sent
	counted      bool            // as one that an endpoint has begun to run
	held         bool            // it has waited for an idle engine, or for room
	queued       queued
	cachedTokens int           // tokens believed to be cached, at the first placement
	sharedTokens int           // tokens of the prompt's shared parts
	prefillEnd   time.Duration // from the arrival to the hand-over, zero without one
	work         time.Duration // of the prefill, by the newest placement
	predicted    time.Duration // to the first event, at the first placement
	first        time.Duration // from the arrival to the first event
	trace        []attemptTrace
}

// attemptTrace is what the log says of an attempt.
type attemptTrace struct {
	endpoint string
	outcome  string
}

func (x *execution) now() clock.Time { return x.g.o.Clock.Now() }

func (x *execution) left() time.Duration { return x.deadline.Sub(x.now()) }

// maxDials bounds the endpoints that can't be reached before a request is given
// up: each costs the caller a connect's timeout.
const maxDials = 3

// maxRefusals bounds the endpoints that refuse the work: more full endpoints
// mean that the service is full.
const maxRefusals = 2

// run makes attempts until one decides the answer.
func (x *execution) run() {
	x.g.o.Budget.CountRequest(x.now(), x.service)
	defer func() { x.queued.leave() }()
	var last result
	for tries := 0; ; tries++ {
		if tries > 0 && !x.mayRepeat(&last) {
			break
		}
		last = x.attempt()
		if last.answer != nil {
			x.failure = last.answer
		}
		if last.outcome == answered {
			x.g.o.Crashes.RecordSuccess(x.now(), x.c.Fingerprint)
		}
		if last.outcome == answered || last.outcome == gone || last.outcome == refused {
			break
		}
	}
	x.finish(&last)
}

func (x *execution) attempt() result {
	if x.left() <= 0 || x.ctx.Err() != nil {
		return result{outcome: gone}
	}
	if x.route.Kind == catalog.Stream {
		return x.streamAttempt()
	}
	return x.callAttempt()
}

// mayRepeat tells whether another attempt is allowed after last.
func (x *execution) mayRepeat(last *result) bool {
	switch last.outcome {
	case notSent:
		if len(x.trace) >= maxDials+x.arrivals {
			return false
		}
	case notRun:
		if x.arrivals-x.runs >= maxRefusals {
			return false
		}
	case failed, lost:
		if !x.route.Repeatable() || x.runs >= max(x.route.MaxAttempts, 1) {
			return false
		}
	default:
		return false
	}
	if last.code == code.NoEndpoint || last.code == code.RetryBudgetSpent || x.ctx.Err() != nil {
		return false
	}
	if x.arrivals == 0 {
		return true // no endpoint has been bothered yet
	}
	return x.runs == 0 || x.route.Repeatable() && x.runs < max(x.route.MaxAttempts, 1)
}

// open returns the endpoints of the service in the newest view.
func (x *execution) open() []*catalog.Endpoint {
	return x.g.o.Catalog.View().Open(x.service)
}

// send does one exchange up to the response's header and says what an error
// means.
func (x *execution) send(ctx context.Context, s *Send) (*exchange.Response, Answer, result) {
	if r, ok := x.authorized(); !ok {
		return nil, Answer{}, r
	}
	if !x.permit() {
		return nil, Answer{}, result{outcome: notSent, code: code.RetryBudgetSpent, err: errBudget}
	}
	if r, ok := x.mayGo(s.Endpoint); !ok {
		x.keepPermit()
		return nil, Answer{}, r
	}
	s.Left, s.Urgency = x.left(), x.urgency()
	req := &exchange.Request{
		Method: x.c.Method, Target: x.c.Target, Host: x.c.Host,
		Header: x.g.o.Codec.Header(x.c, s), Body: x.c.Body, NoRetry: !x.route.Repeatable(),
	}
	sentAt := x.now()
	resp, err := x.g.o.Pool.Do(ctx, s.Endpoint.Address, req)
	if err != nil {
		return nil, Answer{}, x.sendFailed(s, sentAt, err)
	}
	ans := x.g.o.Codec.Answer(x.c, resp.Status, resp.Header)
	x.arrived(s, !ans.NotRun)
	if !ans.Foreign {
		x.g.heed(s.Endpoint, sentAt, x.c.ID, ans.Notice)
	}
	switch {
	case ans.Foreign:
		resp.Close()
		x.ran(s, sentAt)
		return nil, ans, result{outcome: lost, code: code.BadAnswer, err: errForeign}
	case ans.NotRun:
		resp.Close()
		if ans.Gone {
			x.g.o.Planner.MarkStale(x.now(), s.Endpoint)
		}
		return nil, ans, result{outcome: notRun, code: code.EndpointRefused, err: errRefused}
	}
	x.ran(s, sentAt)
	return resp, ans, result{}
}

// permit takes an arrival beyond the request's first from the budget.
func (x *execution) permit() bool {
	if x.arrivals == 0 {
		return true
	}
	if x.prepaid.Load() > 0 {
		x.prepaid.Add(-1)
		return true
	}
	return x.g.o.Budget.Take(x.now(), x.service)
}

// mayGo tells whether e takes the request at this moment: what a VM knew when it chose e may be
// over. No request leaves without it.
func (x *execution) mayGo(e *catalog.Endpoint) (result, bool) {
	switch {
	case !x.g.o.Catalog.View().Takes(e):
		return result{outcome: notSent, code: code.EndpointLeft, err: errLeft}, false
	case !x.g.o.Pressure.TryAcquire(x.now(), e):
		return result{outcome: notSent, code: code.EndpointsLimited, err: errLimited}, false
	}
	return result{}, true
}

// keepPermit keeps what permit took for the next arrival.
func (x *execution) keepPermit() {
	if x.arrivals > 0 {
		x.prepaid.Add(1)
	}
}

// arrived counts an arrival at an endpoint. The first call that only prefills
// is none if the engine accepts it.
func (x *execution) arrived(s *Send, accepted bool) {
	if s.Prefill && accepted && !x.prefilled {
		x.prefilled = true
		return
	}
	x.arrivals++
}

// ran counts an exchange in which the request may have run; reading a prompt
// isn't running it. A plain endpoint begins when the request reaches it, an engine
// with the first event.
func (x *execution) ran(s *Send, sentAt clock.Time) {
	if s.Prefill {
		return
	}
	x.runs++
	if x.route.Kind != catalog.Stream {
		x.began(sentAt)
	}
}

func (x *execution) sendFailed(s *Send, sentAt clock.Time, err error) result {
	if errors.Is(err, driver.ErrNotSent) {
		if x.ctx.Err() != nil {
			return result{outcome: gone, err: err}
		}
		return result{outcome: notSent, code: code.EndpointCut, err: err}
	}
	x.arrived(s, false)
	x.ran(s, sentAt)
	if x.ctx.Err() != nil {
		return result{outcome: gone, err: err}
	}
	return result{outcome: lost, code: code.EndpointCut, err: err}
}

// note remembers an attempt for the log and the endpoint's record.
func (x *execution) note(e *catalog.Endpoint, t *place.Ticket, r result) {
	x.trace = append(x.trace, attemptTrace{e.ID, r.outcome.String()})
	x.tried[e.ID] = true
	x.g.o.Planner.End(x.now(), t, judgement(&r))
	if r.outcome == lost && !x.started && errors.Is(r.err, driver.ErrCut) {
		x.g.o.Crashed(x.c.Fingerprint, e.ID)
	}
}

// judgement is what r says of its endpoint.
func judgement(r *result) place.Outcome {
	if r.outcome == notSent && r.code != code.EndpointCut {
		return place.Ignored // it wasn't asked
	}
	switch r.outcome {
	case answered:
		return place.Success
	case notRun:
		return place.Rejected
	case failed:
		return place.ErrorAnswer
	case notSent, lost:
		return place.ExchangeFailed
	}
	return place.Ignored
}
