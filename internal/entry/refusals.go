package entry

import (
	"sync/atomic"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"fescuestand/internal/code"
	"fescuestand/internal/entry/callerapi"
)

// refusalLinesPerSecond limits the rate of log lines about refusals. At three times its capacity, a
// VM of the design size refuses some twenty requests per second. Lines above the limit are only
// counted, so that an overload does not fill the disk of the log.
const (
	refusalLinesPerSecond = 50
	refusalBurst          = 200
)

// refusalLogger logs, at a limited rate, why requests were refused or answered incompletely.
type refusalLogger struct {
	limit   *rate.Limiter
	skipped atomic.Int64 // lines suppressed since the last logged one
}

func newRefusalLogger() *refusalLogger {
	return &refusalLogger{limit: rate.NewLimiter(refusalLinesPerSecond, refusalBurst)}
}

// log writes one line with the result and the request. kind is the class of a completion or the
// operation of a service.
func (r *refusalLogger) log(c *callerapi.Caller, kind string, err error) {
	if !r.limit.Allow() {
		r.skipped.Add(1)
		return
	}
	e := code.Of(err)
	log.WithFields(log.Fields{
		"code": int(e.Code), "name": e.Code.String(), "run": string(e.Run), "detail": e.Detail,
		"retry_after_ms": e.RetryAfter.Milliseconds(), "kind": kind,
		"request": c.RequestID, "caller": c.Name, "workspace": c.Workspace, "skipped": r.skipped.Swap(0),
	}).Info("not answered whole")
}

// isCallerFault reports whether only the caller could have avoided the error. Such errors, for
// example a request for a model that the sheet does not have, don't consume the error budget.
func isCallerFault(err error) bool {
	const lastRequestCode = 1999 // the last code for faults of the request itself
	c := code.Of(err).Code
	return c > code.OK && c <= lastRequestCode && c != code.DeadlinePassed
}
