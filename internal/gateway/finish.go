package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/policy/scarcity"
)

// finish sends the final answer if none has been sent, and logs the request.
func (x *execution) finish(last *result) {
	defer x.log(last)
	switch {
	case last.outcome == gone && x.isEndedByShutdown():
		last.outcome, last.code, last.err = aborted, code.Leaving, errShutdownEnds
		last.retryAfter = x.g.retryAfterShutdown()
	case last.outcome == gone && x.callerCtx.Err() != nil:
		last.code = code.CallerGone
	}
	switch {
	case last.outcome == answered:
		return
	case x.headerSent:
		// Closing the connection shows the caller that there is no whole answer.
		panic(http.ErrAbortHandler)
	case last.code == code.CallerGone:
		// A caller of HTTP/1.0 may have closed only its side.
		x.refuseGone()
		return
	case x.endpointFailure != nil:
		x.endpointFailure.write(x.w)
		return
	}
	f := x.refusalFor(last)
	last.code = f.code
	f.write(x.w)
}

// refuseGone refuses a call whose caller has disconnected, as far as can be seen.
func (x *execution) refuseGone() {
	f := refuse(code.CallerGone, "the connection was closed before the answer")
	if x.runs > 0 {
		f.run = code.Unknown
	}
	x.w.Header().Set("Connection", "close")
	f.write(x.w)
}

// refusalFor returns the answer to a call for which no endpoint's answer can be returned.
func (x *execution) refusalFor(last *result) *refusal {
	f := &refusal{code: last.code, run: code.NotRun, reason: "no endpoint has answered"}
	if last.err != nil {
		f.reason = last.err.Error()
	}
	if x.runs > 0 {
		f.run = code.Unknown
	}
	if last.outcome == gone {
		f.code, f.reason = code.DeadlineMissed, "the time is over"
		if x.runs == 0 {
			f.code = code.DeadlineInfeasible
		}
	}
	if f.run == code.NotRun {
		if f.code == code.BodyBudgetSpent {
			x.g.bytesRefused.record(x.g)
		}
		if f.status() == http.StatusBadGateway {
			f.code = code.EndpointRefused
		}
		f.retryAfter = last.retryAfter
		if f.retryAfter == 0 && f.code.Info().Retryable {
			f.retryAfter = x.defaultRetryAfter()
		}
	}
	return f
}

// defaultRetryAfter spreads the retries of refused callers over a second, so that they don't all
// arrive at once after the cause of the refusals has passed.
func (x *execution) defaultRetryAfter() time.Duration {
	return minRetryAfter + time.Duration(x.call.Fingerprint%uint64(retryAfterSpread))
}

const (
	// minRetryAfter is the shortest Retry-After delay: a queue that is long enough to refuse
	// requests takes some hundred milliseconds to process.
	minRetryAfter    = 250 * time.Millisecond
	retryAfterSpread = 750 * time.Millisecond
)

func (x *execution) log(last *result) {
	x.g.metrics.observe(x.route.Name, x.now().Sub(x.call.Arrived), last)
	e := log.WithField("id", x.call.ID).WithField("route", x.route.Name).WithField("config", x.view.Config.Version).
		WithField("outcome", last.outcome).WithField("ms", x.now().Sub(x.call.Arrived).Milliseconds())
	for i := range x.attempts {
		e = e.WithField(attemptField(i), x.attempts[i].String())
	}
	if x.call.continuesStream() {
		e = e.WithField("resumes", x.call.Resumes).WithField("after_event", x.call.LastEventID).WithField("origin", x.originSource).
			WithField("up_ms", x.now().Sub(x.g.startedAt).Milliseconds())
		if o := x.origin.Load(); o != nil {
			e = e.WithField("version", o.Version)
		}
	}
	if x.predictedFirstEvent > 0 {
		e = e.WithField("predicted_ms", x.predictedFirstEvent.Milliseconds()).WithField("first_ms", x.firstEventTime.Milliseconds()).
			WithField("prefill_ms", x.handoffTime.Milliseconds()).WithField("tokens", x.call.PromptTokens).WithField("shared", x.sharedTokens).
			WithField("cached", x.predictedCachedTokens).WithField("held", x.waited)
	}
	if x.wait.reason != scarcity.None {
		e = e.WithField("scarcity", x.wait.reason.String()).WithField("level", x.level())
	}
	if x.wait.time > 0 {
		e = e.WithField("held_ms", x.wait.time.Milliseconds())
	}
	if x.withheld > 0 {
		e = e.WithField("withheld", x.withheld)
	}
	if last.code != 0 {
		e = e.WithField("code", int(last.code))
	}
	if last.err != nil {
		e = e.WithField("why", last.err.Error())
	}
	if full := x.knownFull(last); full != "" {
		e = e.WithField("known_full", full)
	}
	if x.wasLost() {
		e = e.WithField("fingerprint", formatFingerprint(x.call.Fingerprint)).WithField("parts", formatParts(x.call.SharedParts))
	}
	e.Info("request ends")
}

// maxLoggedFull bounds the full endpoints in a log line.
const maxLoggedFull = 8

// knownFull returns the endpoints that are known to be full for the log line of a request that none has run.
func (x *execution) knownFull(last *result) string {
	if last.outcome != notRun && last.outcome != notSent && last.outcome != refused {
		return ""
	}
	full := x.g.o.Planner.FullEndpoints(x.now(), x.openEndpoints())
	texts := make([]string, 0, maxLoggedFull)
	for _, f := range full[:min(len(full), maxLoggedFull)] {
		texts = append(texts, fmt.Sprintf("%s:rejected=%s:held=%d", f.ID, f.Age.Round(time.Millisecond), f.Held))
	}
	return strings.Join(texts, ",")
}

// wasLost reports whether an attempt of the request was lost, so that it may have crashed an endpoint.
func (x *execution) wasLost() bool {
	return slices.ContainsFunc(x.attempts, func(t attemptTrace) bool { return t.outcome == lost.String() })
}

// formatFingerprint returns a fingerprint or the id of a prompt part as it stands in the log.
func formatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 12

// formatParts returns the ids of prompt parts as they stand in the log.
func formatParts(parts []uint64) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, formatFingerprint(p))
	}
	return strings.Join(ids, ",")
}

func attemptField(i int) string {
	return "attempt" + string(rune('1'+min(i, 8)))
}
