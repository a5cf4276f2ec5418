package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/origin"
)

// StreamOrigins records and finds where streams began. *originsync.Tracker implements it.
type StreamOrigins interface {
	// Record records the origin of a stream for ttl, here and at other VMs.
	Record(st *origin.Stream, o origin.Origin, ttl time.Duration)
	// Find returns the origin of a stream that may have begun up to window ago.
	Find(ctx context.Context, st *origin.Stream, service string, window time.Duration) (origin.Origin, originsync.Source)
	// RefreshEndpoints reads the endpoints' entries after the call, if they can be read in time.
	RefreshEndpoints(ctx context.Context)
}

// StreamStarts restricts where new streams begin. *originsync.Archive implements it.
type StreamStarts interface {
	// Pending reports whether MayBegin may return false.
	Pending() bool
	// MayBegin reports whether a new stream of a route may begin at an endpoint.
	MayBegin(r *catalog.Route, e *catalog.Endpoint) bool
}

// takeUpSlack is added to the time that a caller waits: its next attempt may arrive later than the deadline of
// this one.
const takeUpSlack = 5 * time.Second

// unreadRetryAfter is the Retry-After delay of a stream whose origin can't be read: an outage of the store may
// end, or affect this VM only.
const unreadRetryAfter = time.Second

var (
	errVersionUnread  = errors.New("the record of the versions at which streams began can't be read")
	errNotResumable   = errors.New("the route's streams may not be resumed")
	errVersionGone    = errors.New("no endpoint of the version that began the stream takes work")
	errOtherProcess   = errors.New("the endpoint has started again since its entry was read")
	errVersionUnknown = errors.New("the version that began the stream isn't known")
)

// continuesStream reports whether the caller takes up a stream that an earlier attempt began.
func (c *Call) continuesStream() bool { return c.Resumes != "" || c.LastEventID != "" }

// resumedKey identifies the stream that the caller takes up: all attempts that do so name its first one.
func (c *Call) resumedKey() origin.Key {
	if c.Resumes == "" {
		return origin.Unnamed
	}
	return origin.KeyOf(c.Resumes)
}

// stream describes a stream of the call.
func (x *execution) stream(key origin.Key) *origin.Stream {
	return &origin.Stream{Key: key, Host: strings.ToLower(x.route.Host), Path: x.call.Path}
}

// findOrigin restricts a call that takes up a stream to the service and version that began it. It returns
// false, with the call's result, if the stream can't go on.
func (x *execution) findOrigin() (result, bool) {
	switch {
	case !x.isStream() || !x.call.continuesStream() || x.origin.Load() != nil:
		return result{}, true
	case !x.route.Resumable: // by now; it may have been when the stream began, or the path led to another route
		return result{outcome: refused, code: code.StreamVersionGone, err: errNotResumable}, false
	}
	o, source := x.g.o.Origins.Find(x.ctx, x.stream(x.call.resumedKey()), x.service, originsync.Window(x.route.Timeout))
	x.originSource = source
	x.g.metrics.countTakenUp(source)
	switch {
	case x.ctx.Err() != nil:
		return result{outcome: gone}, false
	case source == originsync.Unread:
		return result{outcome: refused, code: code.StreamVersionUnread, err: errVersionUnread, retryAfter: unreadRetryAfter}, false
	case source == originsync.Unknown:
		return result{outcome: refused, code: code.StreamVersionUnknown, err: errVersionUnknown}, false
	case !x.route.LeadsTo(o.Service):
		return result{outcome: refused, code: code.StreamVersionGone, err: errVersionGone}, false
	}
	x.service = o.Service
	x.origin.Store(&o)
	if !slices.ContainsFunc(x.openEndpoints(), canRun) {
		x.g.o.Origins.RefreshEndpoints(x.ctx) // this VM may have been cut off while endpoints of the version joined
	}
	return result{}, true
}

// recordOrigin restricts the rest of a stream to the version of e, which has sent an event of it. It must
// be called before the caller can receive the event, so that other VMs know the version when the caller
// comes to them.
func (x *execution) recordOrigin(e *catalog.Endpoint) {
	if !x.route.Resumable || x.headerSent {
		return // it can't be continued, or was recorded before the first event of the answer
	}
	o := origin.Origin{Service: e.Service, Version: e.Version}
	x.origin.Store(&o)
	key := origin.KeyOf(cmp.Or(x.call.Resumes, x.call.ID)) // of the first attempt
	x.g.o.Origins.Record(x.stream(key), o, max(x.remainingTime(), x.call.CallerTimeout)+takeUpSlack)
}

const (
	// recordWait is how long a new stream waits for a version to be recorded, and recordPollInterval the time
	// between two looks.
	recordWait         = origin.MaxRecordTime + recordPollInterval
	recordPollInterval = 20 * time.Millisecond
)

// awaitRecord waits until a new stream may begin at enough of the endpoints, for a while.
func (x *execution) awaitRecord() {
	if !x.isStream() || x.origin.Load() != nil {
		return
	}
	for end := x.now().Add(recordWait); x.g.o.Starts.Pending() && x.now() < end; {
		open := x.g.o.Catalog.View().Available(x.service)
		if !slices.ContainsFunc(open, canRun) || x.areEnough(open, x.startable(open)) || !clock.Sleep(x.ctx, recordPollInterval) {
			return
		}
	}
}

// startable returns the endpoints at which a new stream may begin.
func (x *execution) startable(list []*catalog.Endpoint) []*catalog.Endpoint {
	if !x.isStream() || !x.g.o.Starts.Pending() {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *catalog.Endpoint) bool { return !x.g.o.Starts.MayBegin(x.route, e) })
}

// areEnough reports whether the startable ones of the endpoints are enough for new streams.
func (x *execution) areEnough(list, startable []*catalog.Endpoint) bool {
	return 2*len(startable) >= len(list) && slices.ContainsFunc(startable, canRun)
}

// canRun reports whether an endpoint runs requests to their end.
func canRun(e *catalog.Endpoint) bool { return e.Stage != catalog.Prefill }

// mayContinueAt reports whether the request may be sent to e: the stream has no event yet, or e is of the
// version that made them.
func (x *execution) mayContinueAt(e *catalog.Endpoint) bool {
	o := x.origin.Load()
	return o == nil || o.Version == e.Version
}

// isReplacedProcess reports whether an engine that is to continue a stream has started again, maybe at another version,
// since its entry was read.
func (x *execution) isReplacedProcess(e *catalog.Endpoint) bool {
	return x.origin.Load() != nil && x.isForEngine() && !x.isProcessOf(e)
}

// isKnownProcess reports whether the first event of an exchange was sent by the process of the engine's entry, whose version
// the stream gets. An engine is asked once for each connection: what it says after the event holds for all responses on it.
func (x *execution) isKnownProcess(o *openStream) bool {
	e := o.request.Endpoint
	switch {
	case !x.route.Resumable || !x.isForEngine() || o.resp.Process() == e.Born:
		return true
	case o.resp.Process() != 0 || !x.isProcessOf(e):
		return false
	}
	o.resp.SetProcess(e.Born)
	return true
}

// isProcessOf asks an engine whether its process is that of its entry. One that doesn't answer within lifeAnswerTime counts
// as that.
func (x *execution) isProcessOf(e *catalog.Endpoint) bool {
	if e.Born == 0 {
		return true
	}
	check := x.g.checkLife(e)
	select {
	case <-check.done:
		return check.born == 0 || check.born == e.Born
	case <-x.ctx.Done():
		return true
	}
}

// ofVersion returns the endpoints of a version.
func ofVersion(list []*catalog.Endpoint, version string) []*catalog.Endpoint {
	if !slices.ContainsFunc(list, func(e *catalog.Endpoint) bool { return e.Version != version }) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *catalog.Endpoint) bool { return e.Version != version })
}

// noEndpoint is the result of a request for which there is no endpoint to try.
func (x *execution) noEndpoint() result {
	if x.origin.Load() != nil && !slices.ContainsFunc(x.openEndpoints(), canRun) {
		return result{outcome: refused, code: code.StreamVersionGone, err: errVersionGone}
	}
	return result{outcome: notSent, code: code.NoEndpoint}
}
