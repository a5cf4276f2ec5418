package gateway

import (
	"errors"
	"syscall"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
)

// result is the result of an attempt.
type result struct {
	outcome    outcome
	err        error
	code       code.Code
	retryAfter time.Duration   // Retry-After delay, zero for the default
	answer     *bufferedAnswer // an endpoint's failure that may be sent to the caller
	proven     bool            // with answered: the answer is complete for certain
}

// mayBeCrash reports whether r is what the crash of an endpoint looks like: the connection was lost
// before the answer was complete, whatever part of it had arrived.
func (r *result) mayBeCrash() bool {
	return (r.outcome == lost || r.outcome == failed) && errors.Is(r.err, driver.ErrConnectionLost)
}

// isReset reports whether r may be a crash, but the connection was reset: an endpoint that goes on after a pause
// resets connections with requests that it hasn't read, too.
func (r *result) isReset() bool {
	return r.mayBeCrash() && errors.Is(r.err, syscall.ECONNRESET)
}

// outcome is the kind of an attempt's result. It decides whether the call may be retried. The names
// are written to the log and the metrics.
type outcome uint8

const (
	answered outcome = iota // the complete answer has been sent to the caller
	notSent                 // no byte of the request was sent
	notRun                  // the endpoint says that it didn't run the request
	failed                  // the endpoint ran the request and answered with a failure
	lost                    // the request may have run, and there is no usable answer
	gone                    // the caller has disconnected or the deadline has passed
	refused                 // this VM refused the request before it was sent
	replaced                // the endpoint was silent, and another one has taken the request
	aborted                 // this VM's shutdown ended before the answer did
)

func (o outcome) String() string {
	return [...]string{"answered", "not-sent", "not-run", "failed", "lost", "gone", "refused", "replaced", "aborted"}[o]
}

var (
	errOtherRequest     = errors.New("the answer belongs to another request")
	errNotRun           = errors.New("the endpoint didn't run the request")
	errEncoded          = errors.New("the answer is encoded")
	errTooLate          = errors.New("the first event would come after the caller has left")
	errBudgetSpent      = errors.New("the budget of repeats is spent")
	errEndpointLeft     = errors.New("the endpoint left before the request was sent")
	errEndpointSilent   = errors.New("the engine is silent, too")
	errEndpointsLimited = errors.New("the endpoints have named limits that leave no room now")
	errEndpointShare    = errors.New("other bodies on their way to the endpoint take its share of the memory for them")
	errLeaving          = errors.New("the VM shuts down before the answer would be complete")
	errShutdownEnds     = errors.New("the VM's shutdown ends before the answer")
	errCutOff           = errors.New("no endpoint can be reached")
	errEmptyAnswer      = errors.New("the connection ended after the header of the answer")
	errRepeatedEvent    = errors.New("the id of an event doesn't follow that of the one before")
	errUnsigned         = errors.New("the answer lacks the endpoint's signature")
	errQuarantined      = errors.New("endpoints broke off while they ran this request")
	errPartQuarantined  = errors.New("endpoints broke off while they ran requests with a part of this prompt")
)
