package gateway

import (
	"errors"
	"time"

	"fescuestand/internal/code"
)

// result is what became of an attempt.
type result struct {
	outcome outcome
	err     error
	code    code.Code
	again   time.Duration // when to come back, zero for a time of no grounds
	answer  *plainAnswer  // an endpoint's failure that may be passed on
}

// outcome of an attempt. It decides what may follow.
type outcome uint8

const (
	answered outcome = iota // the whole answer has been passed on
	notSent                 // no byte left this process
	notRun                  // the endpoint says that it didn't run the request
	failed                  // the endpoint ran the request and answered a failure
	lost                    // it may have run; there is no answer
	gone                    // the caller has left or the time is over
	refused                 // this VM gave the request up before it was sent
)

func (o outcome) String() string {
	return [...]string{"answered", "not-sent", "not-run", "failed", "lost", "gone", "refused"}[o]
}

var (
	errForeign = errors.New("the answer belongs to another request")
	errRefused = errors.New("the endpoint didn't run the request")
	errEncoded = errors.New("the answer is encoded")
	errTooLate = errors.New("the first event would come after the caller has left")
	errBudget  = errors.New("the budget of repeats is spent")
	errLeft    = errors.New("the endpoint left before the request was sent")
	errLimited = errors.New("the endpoints have named limits that leave no room now")
	errSeal    = errors.New("the answer lacks the endpoint's signature")
)
