package forward

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"fescuestand/internal/code"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/wire"
)

// Serve answers a request that a peer has forwarded, as if the caller had sent it to this VM. It
// refuses a request that would have to be forwarded again: two VMs that leave together would
// otherwise pass it back and forth until its deadline.
func (f *Handler) Serve(ctx context.Context, fwd *wire.Forward, send func(*wire.ForwardFrame) error) error {
	w := &frameWriter{send: send, header: http.Header{}}
	r, err := decodeRequest(ctx, fwd)
	switch {
	case err != nil:
		f.Refuse(w, &http.Request{URL: &url.URL{}, Header: http.Header{}}, code.Wrap(code.BadField, err, "forwarded request"))
	case (f.Leaving() || fwd.GetHops() > 1) && !f.hopLimitDisabled:
		f.Refuse(w, r, callerapi.MarkResendUnknown(r, code.Wrap(code.ForwardLoop, ErrLoop, "this VM is leaving too")))
	default:
		if !f.serveForwarded(w, r) {
			return errAborted
		}
	}
	return w.end()
}

// errAborted means that a request ended without a whole answer. The peer notices it by the missing end.
var errAborted = errors.New("forwarded request ended without a whole answer")

// serveForwarded reports whether the request got a whole answer.
func (f *Handler) serveForwarded(w http.ResponseWriter, r *http.Request) (whole bool) {
	defer func() {
		if fault := recover(); fault != nil && fault != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way
			panic(fault)
		}
	}()
	if f.Forwarded != nil {
		f.Forwarded.ServeHTTP(w, r)
	} else {
		f.Next.ServeHTTP(w, r)
	}
	return true
}

func decodeRequest(ctx context.Context, fwd *wire.Forward) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, fwd.GetMethod(), fwd.GetPath(), bytes.NewReader(fwd.GetBody()))
	if err != nil {
		return nil, err
	}
	for _, h := range fwd.GetHeaders() {
		r.Header.Add(h.GetName(), h.GetValue())
	}
	if fwd.GetDeadlineMs() > 0 {
		r.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(fwd.GetDeadlineMs(), 10))
	}
	return r, nil
}

// frameWriter is an http.ResponseWriter that sends the answer to a peer in frames.
type frameWriter struct {
	send    func(*wire.ForwardFrame) error
	header  http.Header
	status  int
	started bool
	data    []byte
	err     error
}

// Header implements http.ResponseWriter.
func (w *frameWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *frameWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *frameWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.data = append(w.data, b...)
	if len(w.data) >= flushThresholdBytes {
		return len(b), w.sendFrame(false)
	}
	return len(b), w.err
}

// flushThresholdBytes is the number of buffered bytes that are sent without a call of Flush. It is
// far below the longest message between peers.
const flushThresholdBytes = 256 << 10

// FlushError is called by http.ResponseController.Flush.
func (w *frameWriter) FlushError() error {
	if len(w.data) == 0 {
		return w.err
	}
	return w.sendFrame(false)
}

func (w *frameWriter) end() error {
	if w.status == 0 {
		return errAborted
	}
	return w.sendFrame(true)
}

func (w *frameWriter) sendFrame(end bool) error {
	if w.err != nil {
		return w.err
	}
	f := &wire.ForwardFrame{Data: w.data, End: end}
	if !w.started {
		w.started = true
		f.Status = uint32(w.status)
		for name, values := range w.header {
			for _, v := range values {
				f.Headers = append(f.Headers, &wire.Header{Name: name, Value: v})
			}
		}
	}
	w.err = w.send(f)
	w.data = nil
	return w.err
}
