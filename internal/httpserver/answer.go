package httpserver

import (
	"io"
	"net/http"
	"strconv"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/fault"
)

// answer is a ResponseWriter that knows whether the handler has given an answer.
type answer struct {
	http.ResponseWriter
	given bool
	conn  *conn // of HTTP/1.0, nil for others
}

// newAnswer returns the answer to r.
func newAnswer(w http.ResponseWriter, r *http.Request) *answer {
	a := &answer{ResponseWriter: w}
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && !r.ProtoAtLeast(1, 1) {
		a.conn = c
	}
	return a
}

// begin records that the answer has begun.
func (a *answer) begin() {
	if !a.given {
		a.given = true
		a.setPartial(true)
	}
}

// setPartial records whether the answer is incomplete. One of HTTP/1.0 may end with its connection, which is reset
// then: an orderly end would look like that of the answer.
func (a *answer) setPartial(partial bool) {
	if a.conn != nil {
		a.conn.setPartial(partial)
	}
}

// WriteHeader implements http.ResponseWriter. An interim response is no answer.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(b)
}

// FlushError is used by http.ResponseController.
func (a *answer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap is used by http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// LimitBody returns a reader of a request's body that fails after n bytes, as http.MaxBytesReader does. The answer to
// a longer body is then sent at once; net/http recognizes only a ResponseWriter of its own for that.
func LimitBody(w http.ResponseWriter, body io.ReadCloser, n int64) io.ReadCloser {
	if a, ok := w.(*answer); ok {
		w = a.ResponseWriter
	}
	return http.MaxBytesReader(w, body, n)
}

// ServeHTTP implements http.Handler for a request that hasn't come over one of the server's connections. It
// panics with http.ErrAbortHandler if the request ends without a whole answer.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r) }

// serve runs the handler and ensures that the request ends with its answer, a refusal or a broken connection.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if ending := s.markHandled(r); ending || s.isDraining() {
		w.Header().Set("Connection", "close")
	}
	a := newAnswer(w, r)
	defer s.endRequest(a, r)
	s.handler.ServeHTTP(a, r)
}

// endRequest is deferred around a handler. The panic with http.ErrAbortHandler makes net/http abort the connection.
func (s *Server) endRequest(a *answer, r *http.Request) {
	switch f := recover(); {
	case f == http.ErrAbortHandler: //nolint:errorlint // net/http compares it in the same way
		s.counts.add(aborted)
		panic(http.ErrAbortHandler)
	case f != nil:
		s.counts.add(faulty)
		fault.Entry(s.logRequest(r).WithField("answered", a.given), f).Error("handler failed")
		if a.given {
			panic(http.ErrAbortHandler)
		}
		s.refuse(a, r)
	case !a.given:
		s.counts.add(unanswered)
		s.logRequest(r).Error("handler gave no answer")
		panic(http.ErrAbortHandler)
	}
	a.setPartial(false)
}

func (s *Server) logRequest(r *http.Request) *log.Entry {
	e := log.WithField("server", s.o.Name).WithField("method", r.Method).WithField("path", r.URL.Path)
	if s.o.RequestID != nil {
		e = e.WithField("id", s.o.RequestID(r))
	}
	return e
}

// refuse answers a request whose handler has failed. It may have run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	clear(w.Header())
	w.Header().Set("Connection", "close")
	if s.o.Refuse != nil {
		s.o.Refuse(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusInternalServerError)
	// A failed write means that the caller has disconnected.
	_, _ = io.WriteString(w, strconv.Itoa(int(code.Internal))+" "+code.Internal.String()+": the request handler failed\n")
}
