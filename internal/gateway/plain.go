package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/ontime"
	"fescuestand/internal/policy/place"
)

// plainAnswer is a whole answer of an endpoint.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write passes the answer on unchanged.
func (a *plainAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(a.body)
}

// copyHeader adds the end-to-end fields of from to to. Fields that the server
// would fill in by itself are set to nothing where the endpoint sent none.
func copyHeader(to, from http.Header) {
	maps.Copy(to, EndToEnd(from))
	if from["Content-Type"] == nil {
		to["Content-Type"] = nil
	}
}

// maxAnswer bounds an answer that is kept whole before it is passed on.
const maxAnswer = 8 << 20

// callAttempt sends a call to one endpoint of its service and passes a whole
// answer on.
func (x *execution) callAttempt() result {
	ep := x.g.o.Planner.ChooseEndpoint(x.now(), x.open(), x.tried)
	for ep == nil {
		if r, again := x.awaitRoom(); !again {
			return r
		}
		ep = x.g.o.Planner.ChooseEndpoint(x.now(), x.open(), x.tried)
	}
	t := x.g.o.Planner.Begin(x.now(), ep, place.Job{})
	ctx, cancel := x.callContext()
	defer cancel()
	resp, ans, r := x.send(ctx, &Send{Endpoint: ep})
	if resp != nil {
		r = x.readAnswer(resp, ans)
	}
	if ans.Requests > 0 {
		x.g.o.Planner.RecordLoad(x.now(), t, ans.Requests-1)
	}
	x.note(ep, t, r)
	return r
}

// callContext bounds the time of an endpoint after which another one is asked:
// several times what callers hope for, and at most half of what is left. Calls
// that can't be asked of another one wait for as long as their caller does, without
// a bound of their own: it would end in the same moment as the caller's, and the
// one that is first says whether the endpoint failed or the time is over.
func (x *execution) callContext() (context.Context, context.CancelFunc) {
	if x.route.Kind != catalog.Idempotent || x.runs+1 >= x.route.MaxAttempts {
		return context.WithCancel(x.ctx)
	}
	patience := max(slowFactor*x.route.Target, minPatience)
	return context.WithTimeout(x.ctx, min(patience, x.left()/2))
}

const (
	// slowFactor times the hoped-for time is later than nearly every answer of
	// an endpoint that works: the slowest one in a hundred takes five times
	// the mean, which is a fraction of the hoped-for time.
	slowFactor = 3
	// minPatience keeps a repeat from being sent while the first answer is
	// delayed by the network only.
	minPatience = 300 * time.Millisecond
)

// urgency is the rank that engines serve the request by: what it can wait, or
// its route's priority if callers hope for no certain time.
func (x *execution) urgency() int {
	if x.route.Target == 0 {
		return min(max(x.priority(), 0), ontime.MaxUrgencyRank)
	}
	return ontime.UrgencyRank(x.route.Target-x.now().Sub(x.c.Arrived), x.work)
}

// priority is that of the call's workspace, or of its route.
func (x *execution) priority() int {
	if w := x.c.Workspace; w != nil && w.Priority != nil {
		return *w.Priority
	}
	return x.route.Priority
}

// readAnswer reads an answer to its end and passes it on if it is a success, or
// a failure that will not be repeated.
func (x *execution) readAnswer(resp *exchange.Response, ans Answer) result {
	defer resp.Close()
	if resp.Header.Get("Content-Encoding") != "" {
		return result{outcome: lost, code: code.BadAnswer, err: errEncoded}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		if x.ctx.Err() != nil {
			return result{outcome: gone, err: err}
		}
		return result{outcome: lost, code: code.BadAnswer, err: err}
	}
	a := &plainAnswer{resp.Status, resp.Header, body}
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case success && !ans.Sealed:
		return result{outcome: lost, code: code.BadAnswer, err: errSeal}
	case success:
		a.write(x.w)
		return result{outcome: answered}
	case promises(resp.Status):
		// Without the endpoint's word that it didn't run the request its
		// status would promise what isn't known.
		return result{outcome: failed, code: code.EndpointFailed}
	}
	return result{outcome: failed, code: code.EndpointFailed, answer: a}
}
