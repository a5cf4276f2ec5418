package exchange

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// Cause is the part of a response that exceeded its bound. The names are written to the log and the metrics.
type Cause string

// The causes. Budget means that the VM's memory for bodies was spent, which isn't the endpoint's fault. Upload means that
// the endpoint read the request too slowly; the bytes are those of the request.
const (
	Header    Cause = "header"
	Interim   Cause = "interim"
	Body      Cause = "body"
	Event     Cause = "event"
	Rejection Cause = "rejection"
	Surplus   Cause = "surplus"
	Budget    Cause = "budget"
	Upload    Cause = "upload"
)

// Causes lists all causes.
var Causes = []Cause{Header, Interim, Body, Event, Rejection, Surplus, Budget, Upload}

// BoundError means that a response was given up as a part of it exceeded its bound. The request may have run.
type BoundError struct {
	Cause Cause
	Bytes int64 // of that part that had been read
}

// Error implements error.
func (e *BoundError) Error() string {
	return fmt.Sprintf("the response exceeds a bound: %s, %d bytes", e.Cause, e.Bytes)
}

// headerBound bounds the bytes that a connection gives while a response's header is read.
type headerBound struct {
	reading  bool
	read     int64 // of the header, with what is buffered behind it
	exceeded *BoundError
}

// begin begins to count, with the bytes of the header that have been buffered before.
func (b *headerBound) begin(buffered int) { b.reading, b.read = true, int64(buffered) }

func (b *headerBound) end() { b.reading = false }

// limit returns the part of p that may be filled.
func (b *headerBound) limit(p []byte) ([]byte, error) {
	if !b.reading {
		return p, nil
	}
	left := MaxHeaderBytes - b.read
	if left <= 0 {
		b.exceeded = &BoundError{Cause: Header, Bytes: b.read}
		return nil, b.exceeded
	}
	return p[:min(int64(len(p)), left)], nil
}

func (b *headerBound) count(n int) { b.read += int64(n) }

// Discard reads the rest of the body, so that Close can keep the connection. It fails with a *BoundError if that
// is longer than limit, and if it takes longer than wait; Close closes the connection then.
func (r *Response) Discard(limit int64, wait time.Duration) error {
	c := r.body.x.c
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	n, err := io.CopyN(io.Discard, r.Body, limit+1)
	switch {
	case err == nil:
		return &BoundError{Cause: Rejection, Bytes: n}
	case !errors.Is(err, io.EOF):
		return err
	}
	return c.SetReadDeadline(time.Time{})
}
