// Package code defines the numbered result codes of every answer, refusal and operator-facing error
// of the system. docs/RESULT-CODES.md contains the same table; a test compares the two.
//
// A number is never reused with another meaning. The thousands digit gives the area: 1 the request,
// 2 load, 3 endpoints, 4 commits, 5 settings and sheets, 6 the platform and the system itself.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result code.
type Code int

// Run states whether an engine or plain service executed the request.
type Run string

const (
	// Ran means that the request was executed exactly once and that the answer belongs to it.
	Ran Run = "ran"
	// NotRun means that no endpoint has executed the request or ever will.
	NotRun Run = "not-run"
	// Unknown means that the request may or may not have been executed. A non-idempotent request
	// with this answer is never dispatched again.
	Unknown Run = "unknown"
)

// Info describes one code, for answers to callers and for the documentation.
type Info struct {
	Name      string
	Status    int  // HTTP status of answers to callers
	Retryable bool // whether the same request may succeed later
	Text      string
}

// Error is an error with a result code. Detail is meant for people, Code and Run for programs.
type Error struct {
	Code       Code
	Run        Run
	Detail     string
	RetryAfter time.Duration // zero if a retry cannot succeed
	Err        error
}

// New returns an error with code c for a request that no endpoint has executed.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error like New that wraps err.
func Wrap(c Code, err error, format string, args ...any) *Error {
	e := New(c, format, args...)
	e.Err = err
	return e
}

// WithRun sets whether the request was executed and returns e.
func (e *Error) WithRun(r Run) *Error {
	e.Run = r
	return e
}

// WithRetryAfter sets the Retry-After delay and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s: %s", int(e.Code), e.Code, e.Detail)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the Error in err's chain. If there is none, it wraps err with the code Internal and
// the run state Unknown.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error").WithRun(Unknown)
}

// String returns the code's name, as used in logs and the documentation.
func (c Code) String() string { return c.Info().Name }

// Info returns the code's description.
func (c Code) Info() Info {
	if i, ok := table[c]; ok {
		return i
	}
	return Info{Name: "unlisted", Status: http.StatusInternalServerError}
}

// All returns every code with its description.
func All() map[Code]Info { return table }
