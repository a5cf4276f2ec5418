// Package code lists the numbered result codes that every answer, refusal and
// operator-facing error of the system carries. docs/RESULT-CODES.md holds the
// same table and a test keeps the two equal.
//
// A number is never reused for another meaning. The thousands digit tells the
// reader whose matter it is: 1 the request, 2 load, 3 endpoints, 4 commits,
// 5 settings and sheets, 6 the platform and the system itself.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is one numbered result.
type Code int

// Run says whether the request was executed by an engine or plain service.
type Run string

const (
	// Ran means executed exactly once; the answer is this request's own.
	Ran Run = "ran"
	// NotRun means no endpoint has executed the request or ever will.
	NotRun Run = "not-run"
	// Unknown means the request may or may not have been executed. A
	// non-idempotent request with this answer is never dispatched again.
	Unknown Run = "unknown"
)

// Info describes one code for the answer encoder and the documentation.
type Info struct {
	Name      string
	Status    int  // HTTP status towards callers
	Retryable bool // whether the same request may succeed later
	Text      string
}

// Error is a numbered error. Detail is for people, Code and Run for programs.
type Error struct {
	Code       Code
	Run        Run
	Detail     string
	RetryAfter time.Duration // zero when asking again cannot help
	Err        error
}

// New returns a numbered error for a request that no endpoint has executed.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a numbered error around err, which stays visible to errors.Is.
func Wrap(c Code, err error, format string, args ...any) *Error {
	e := New(c, format, args...)
	e.Err = err
	return e
}

// WithRun sets what is known about the execution and returns e.
func (e *Error) WithRun(r Run) *Error {
	e.Run = r
	return e
}

// WithRetryAfter sets the time to come back and returns e.
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

// Of returns the numbered error in err's chain, or err as an Internal error
// whose execution is unknown.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error").WithRun(Unknown)
}

// String returns the code's name as used in logs and the docs.
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
