package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/origin"
)

// StreamOrigins records and finds where streams began. *originsync.Tracker implements it.
type StreamOrigins interface {
	// Record records the origin of a stream for ttl, here and at other VMs.
	Record(stream origin.Key, o origin.Origin, ttl time.Duration)
	// Find returns the origin of a stream that may have begun up to window ago.
	Find(ctx context.Context, stream origin.Key, service string, window time.Duration) (origin.Origin, originsync.Source)
}

const (
	// takeUpSlack is added to the time that a caller waits: its next attempt may arrive later than the
	// deadline of this one.
	takeUpSlack = 5 * time.Second
	// minStreamWindow is the minimum time that a stream which is taken up may have lasted.
	minStreamWindow = 30 * time.Second
)

var (
	errVersionGone    = errors.New("no endpoint of the version that began the stream takes work")
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

// streamKey identifies the stream of the call, which may be a new one.
func (c *Call) streamKey() origin.Key { return origin.KeyOf(cmp.Or(c.Resumes, c.ID)) }

// findOrigin restricts a call that takes up a stream to the service and version that began it. It returns
// false, with the call's result, if the stream can't go on.
func (x *execution) findOrigin() (result, bool) {
	if !x.route.Resumable || !x.call.continuesStream() || x.origin.Load() != nil {
		return result{}, true
	}
	window := max(minStreamWindow, x.route.Timeout+takeUpSlack)
	o, source := x.g.o.Origins.Find(x.ctx, x.call.resumedKey(), x.service, window)
	x.originSource = source
	x.g.metrics.countTakenUp(source)
	switch {
	case x.ctx.Err() != nil:
		return result{outcome: gone}, false
	case source == originsync.Unknown:
		return result{outcome: refused, code: code.StreamVersionUnknown, err: errVersionUnknown}, false
	case !x.route.LeadsTo(o.Service):
		return result{outcome: refused, code: code.StreamVersionGone, err: errVersionGone}, false
	}
	x.service = o.Service
	x.origin.Store(&o)
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
	x.g.o.Origins.Record(x.call.streamKey(), o, max(x.remainingTime(), x.call.CallerTimeout)+takeUpSlack)
}

// mayContinueAt reports whether the request may be sent to e: the stream has no event yet, or e is of the
// version that made them.
func (x *execution) mayContinueAt(e *catalog.Endpoint) bool {
	o := x.origin.Load()
	return o == nil || o.Version == e.Version
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
	canRun := func(e *catalog.Endpoint) bool { return e.Stage != catalog.Prefill }
	if x.origin.Load() != nil && !slices.ContainsFunc(x.openEndpoints(), canRun) {
		return result{outcome: refused, code: code.StreamVersionGone, err: errVersionGone}
	}
	return result{outcome: notSent, code: code.NoEndpoint}
}
