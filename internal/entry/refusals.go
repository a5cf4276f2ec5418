package entry

import (
	"sync/atomic"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"fescuestand/internal/code"
	"fescuestand/internal/entry/callerapi"
)

// refusalLines bounds the log lines about refusals, a second. At three times
// the capacity a VM of the design size refuses some twenty requests a second;
// beyond the bound lines are only counted, so that an overload does not fill the
// log's disk with its own account.
const (
	refusalLines = 50
	refusalBurst = 200
)

// refusals logs why requests were not answered whole.
type refusals struct {
	limit   *rate.Limiter
	skipped atomic.Int64 // lines left out since the last one
}

func newRefusals() *refusals {
	return &refusals{limit: rate.NewLimiter(refusalLines, refusalBurst)}
}

// log writes one line with the reason and its figures. kind is the class of a
// completion or the operation of a service.
func (r *refusals) log(c *callerapi.Caller, kind string, err error) {
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

// callersFault tells whether nobody but the caller could have done better: a
// request for a model that the sheet does not have is no burn of our budget.
func callersFault(err error) bool {
	const requestCodes = 1999 // the last of the codes about the request itself
	c := code.Of(err).Code
	return c > code.OK && c <= requestCodes && c != code.DeadlinePassed
}
