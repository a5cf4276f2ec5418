package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/crash"
)

const (
	// settledRunTime is how long after its first event a stream is taken to have survived its beginning.
	settledRunTime = time.Second
	// maxReportedRequestParts bounds the prompt parts that a crash is recorded for.
	maxReportedRequestParts = 32
)

// processCheckDelays are the times before further checks whether an endpoint lives on, if the first one was
// inconclusive.
var processCheckDelays = []time.Duration{100 * time.Millisecond, 300 * time.Millisecond}

// firstProcessCheckTime bounds the first check whether an endpoint lives on that has lost a connection.
const firstProcessCheckTime = 20 * time.Millisecond

// leftCheckDelays are the times before checks whether an endpoint that was left in a silence has crashed.
var leftCheckDelays = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond}

// refuseQuarantined refuses a request that is quarantined. Evidence may have arrived since the request was
// accepted.
func (x *execution) refuseQuarantined() (result, bool) {
	err := error(nil)
	if x.g.o.Crashes.ShouldRefuse(x.now(), x.call.Fingerprint) {
		err = errQuarantined
	} else if !x.call.Trial || x.runs > 0 {
		if _, refuse := x.g.o.Crashes.RefusedPart(x.now(), x.call.SharedParts); refuse {
			err = errPartQuarantined
		}
	}
	return result{outcome: refused, code: code.Quarantined, err: err, retryAfter: quarantineRetryAfter}, err != nil
}

// reportCrash reports a possible crash of the endpoint of an attempt, whose answer ended at endedAt. A
// run that had got on for a while isn't evidence against the parts of its prompt, and an end that was announced is none
// against anything.
func (x *execution) reportCrash(a *attempt, endedAt clock.Time) {
	if e := a.request.Endpoint; x.g.o.Catalog.HasAnnouncedEnd(e.ID, e.Born) {
		return
	}
	c := crash.Crash{Request: x.call.Fingerprint, Endpoint: processOf(a.request.Endpoint), Age: x.now().Sub(endedAt)}
	if !a.hasSettled(endedAt) {
		for _, part := range x.crashParts() {
			c.Parts = append(c.Parts, crash.PartCrash{Part: part, SentAge: x.now().Sub(a.sentAt)})
		}
	}
	x.g.o.OnCrash(c)
}

// crashParts returns the parts of the prompt that a crash is recorded for.
func (x *execution) crashParts() []uint64 {
	return x.call.SharedParts[:min(len(x.call.SharedParts), maxReportedRequestParts)]
}

// hasSettled reports whether the attempt is a stream that has survived its beginning.
func (a *attempt) hasSettled(now clock.Time) bool {
	return a.eventAt != 0 && now.Sub(a.eventAt) >= settledRunTime
}

// recordSuccess records that the latest attempt was answered completely.
func (x *execution) recordSuccess() {
	x.g.o.Crashes.RecordSuccess(x.now(), x.call.Fingerprint)
	x.g.o.Crashes.RecordPartsAnswered(x.latest.sentAt, x.call.SharedParts)
}

// recordEvents records that events of an attempt arrived.
func (x *execution) recordEvents(a *attempt) {
	a.progressAt = x.now()
	a.life.Sign(a.progressAt)
	x.g.exposures.Sign(a.progressAt, a.exposure, true)
	if a.eventAt == 0 {
		a.eventAt = a.progressAt
	}
	if !a.settled && a.hasSettled(a.progressAt) {
		a.settled = true
		x.g.o.Crashes.RecordPartsAnswered(a.sentAt, x.call.SharedParts)
	}
}

// verifyEnd returns the result of an answer that has been read to its end. An answer with neither a length
// nor chunks ends with its connection, so that a crash of the endpoint looks like its end: it counts as lost
// if the endpoint's process is known to have ended, or if it is empty. Only a later answer proves that the
// endpoint lived on.
func (x *execution) verifyEnd(resp *exchange.Response, a *attempt) result {
	if resp.Framed {
		return result{outcome: answered, proven: true}
	}
	endedAt := x.now()
	e := a.request.Endpoint
	life := x.g.o.Pool.CheckProcess(x.ctx, e.Address)
	if life == exchange.Refused || life == exchange.Ended {
		return result{outcome: lost, code: code.EndpointCut, err: driver.ErrConnectionLost}
	}
	u := crash.Unproven{Request: x.call.Fingerprint, SentAt: a.sentAt, EndedAt: endedAt}
	if !a.hasSettled(endedAt) {
		u.Parts = x.crashParts()
	}
	if !x.g.o.Crashes.RecordUnproven(processOf(e), u) {
		return result{outcome: lost, code: code.EndpointCut, err: driver.ErrConnectionLost}
	}
	if life == exchange.Unknown {
		ctx := context.WithoutCancel(x.callCtx)
		x.inBackground(func() { x.verifyLater(ctx, a, endedAt) })
	}
	switch {
	case life == exchange.Unknown && x.ctx.Err() != nil:
		return result{outcome: gone, code: code.DeadlineMissed, err: x.ctx.Err()}
	case a.isEmpty() && resp.Status != http.StatusResetContent: // which has no body
		return result{outcome: lost, code: code.BadAnswer, err: errEmptyAnswer}
	}
	return result{outcome: answered}
}

// isEmpty reports whether the answer has no body. That of a stream which goes on after an event may have none.
func (a *attempt) isEmpty() bool {
	if a.body != nil {
		return a.body.size == 0
	}
	return a.eventAt == 0 && a.request.LastEventID == ""
}

// verifyLater checks again whether an endpoint lives on that ended an answer with its connection at endedAt.
func (x *execution) verifyLater(ctx context.Context, a *attempt, endedAt clock.Time) {
	if x.findLife(ctx, a) != exchange.Alive {
		x.reportCrash(a, endedAt)
	}
}

// findLife returns the first conclusive finding of checks whether the endpoint of an attempt lives, Unknown if there is
// none.
func (x *execution) findLife(ctx context.Context, a *attempt) exchange.Life {
	for _, delay := range processCheckDelays {
		if !clock.Sleep(ctx, delay) {
			break
		}
		if life := x.g.o.Pool.Check(ctx, a.request.Endpoint.Address); life != exchange.Unknown {
			return life
		}
	}
	return exchange.Unknown
}

// recordSign records that the endpoint of an attempt has sent a header. One that the address now belongs to another
// process says nothing about the endpoint.
func (x *execution) recordSign(a *attempt, ans *Answer) {
	if !ans.Misdirected {
		x.g.exposures.Sign(x.now(), a.exposure, false)
	}
}

// endExposure ends the exposure of the endpoint of an attempt to the request. If the exchange was left in a silence,
// the end of the endpoint's process still counts when it becomes known later. So it does if the connection was lost:
// another process may listen at the address already, and its answers refute a crash that was reported.
func (x *execution) endExposure(a *attempt, r *result) {
	if a.exposure == nil {
		return
	}
	how := crash.Answered
	switch {
	case errors.Is(r.err, errOtherProcess): // the process of the exposure hasn't run it
	case r.mayBeCrash(), r.outcome == lost:
		how = crash.Broken
	case r.outcome == replaced, r.outcome == gone, a.left.Load():
		how = crash.Left
	}
	if c, ended := x.g.exposures.End(x.now(), a.exposure, how); ended {
		x.g.reportSilentEnd(a.request.Endpoint, []crash.Crash{c})
	}
}

// reportEnded reports the processes that have ended between the known endpoints and a newer view without having
// announced it, as crashes of the requests that had just begun there.
func (g *Gateway) reportEnded(known []*catalog.Endpoint, v *catalog.View) {
	current := make(map[string]int64, len(v.All()))
	for _, e := range v.All() {
		current[e.ID] = e.Born
	}
	for _, e := range known {
		if born, found := current[e.ID]; found && born == e.Born {
			continue
		}
		if e.Draining || !g.o.Catalog.HasEnded(e.ID, e.Born) {
			g.exposures.Forget(processOf(e))
			continue
		}
		g.reportSilentEnd(e, g.exposures.EndProcess(g.o.Clock.Now(), processOf(e)))
	}
}

// reportSilentEnd reports the crashes of an endpoint that has ended in a silence.
func (g *Gateway) reportSilentEnd(e *catalog.Endpoint, crashes []crash.Crash) {
	if len(crashes) == 0 {
		return
	}
	log.WithField("endpoint", e.ID).WithField("born", e.Born).WithField("requests", len(crashes)).Info("endpoint ended in a silence")
	g.metrics.countSilentEnds(len(crashes))
	for _, c := range crashes {
		g.o.OnCrash(c)
	}
}

// verifyLost reports a crash if the endpoint of an attempt whose connection was lost has ended: one that lives on has
// only cut its answer. The first check is made before another endpoint is asked.
func (x *execution) verifyLost(a *attempt, reset bool) {
	endedAt := x.now()
	ctx, cancel := context.WithTimeout(x.ctx, firstProcessCheckTime)
	life := x.g.o.Pool.Check(ctx, a.request.Endpoint.Address)
	cancel()
	if life == exchange.Refused {
		x.reportCrash(a, endedAt)
		return
	}
	background := context.WithoutCancel(x.callCtx)
	x.inBackground(func() {
		if life == exchange.Unknown && !reset { // a reset may be that of a partition, and so may what follows it
			life = x.findLife(background, a)
		}
		// An endpoint that is full resets the connections by which it is checked, and goes on with others. What it had
		// sent before its end has been read by then.
		goesOn := x.g.silences.HasSignSince(endedAt.Add(processCheckDelays[0]), silenceProcess(a.request.Endpoint))
		if life == exchange.Alive || reset || life == exchange.Unknown && goesOn {
			x.verifyLeft(background, a, endedAt)
			return
		}
		x.reportCrash(a, endedAt)
	})
}

// verifyLeft checks whether the endpoint of an attempt, which was left at leftAt, has crashed: one that only pauses
// still accepts connections.
func (x *execution) verifyLeft(ctx context.Context, a *attempt, leftAt clock.Time) {
	for _, delay := range leftCheckDelays {
		if !clock.Sleep(ctx, delay) {
			return
		}
		if x.g.o.Pool.Check(ctx, a.request.Endpoint.Address) == exchange.Refused {
			x.reportCrash(a, leftAt)
			return
		}
	}
}
