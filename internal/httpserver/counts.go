package httpserver

import (
	stdlog "log"
	"strings"
	"sync/atomic"

	"github.com/apex/log"
)

// event is what a server counts.
type event int

const (
	faulty       event = iota // a handler panicked
	unanswered                // a handler returned without an answer
	aborted                   // a handler broke the connection off
	badRequest                // a connection ended in the header of a request
	halfClosed                // a caller closed its side while its request was handled
	callerLeft                // it turned out to have left, or couldn't be asked
	headerLate                // a header wasn't whole in time
	idleClosed                // a connection without a request was closed after its time
	connReset                 // a caller reset its connection
	connFailed                // another error of a connection
	connGivenUp               // a connection made room for others
	connRefused               // a connection was closed as it was accepted, as there was no room
	acceptFailed              // a connection couldn't be accepted
	misused                   // a handler used its ResponseWriter wrongly
	otherError                // another error that net/http reports
	events                    // the number of events
)

type counters [events]atomic.Int64

func (n *counters) add(e event) { n[e].Add(1) }

// Counts are the events of a server since its start.
type Counts struct {
	Faults       int64 // handlers that panicked
	Unanswered   int64 // handlers that returned without an answer
	Aborted      int64 // answers that were broken off
	BadRequests  int64 // connections that ended in the header of a request
	HeadersLate  int64 // connections closed as a request's header wasn't whole in time
	IdleClosed   int64 // connections closed as no request came in time
	HalfClosed   int64 // requests whose callers closed their side for writing before the answer was sent
	CallersLeft  int64 // those of them whose callers had left, or couldn't be asked
	Resets       int64 // connections that their callers reset
	ConnErrors   int64 // other errors of connections
	GivenUp      int64 // connections that made room for others
	Refused      int64 // connections closed as they were accepted, as there was no room
	Open         int64 // connections that are open now
	Peak         int64 // the most that were open at a time
	AcceptErrors int64
	Misused      int64 // wrong uses of a ResponseWriter
	Other        int64 // other errors that net/http reports
}

// Counts returns the current values.
func (s *Server) Counts() Counts {
	n := &s.counts
	open, peak := s.Connections()
	return Counts{
		GivenUp: n[connGivenUp].Load(), Refused: n[connRefused].Load(), Open: int64(open), Peak: int64(peak),
		Faults: n[faulty].Load(), Unanswered: n[unanswered].Load(), Aborted: n[aborted].Load(),
		BadRequests: n[badRequest].Load(), HeadersLate: n[headerLate].Load(), IdleClosed: n[idleClosed].Load(), HalfClosed: n[halfClosed].Load(), CallersLeft: n[callerLeft].Load(), Resets: n[connReset].Load(), ConnErrors: n[connFailed].Load(),
		AcceptErrors: n[acceptFailed].Load(), Misused: n[misused].Load(), Other: n[otherError].Load(),
	}
}

// maxErrorBytes bounds an error message of net/http in the log.
const maxErrorBytes = 500

// errorLog returns the logger to which net/http reports errors that no handler sees.
func (s *Server) errorLog() *stdlog.Logger { return stdlog.New(errorWriter{s}, "", 0) }

type errorWriter struct{ s *Server }

// Write counts and logs one message.
func (w errorWriter) Write(b []byte) (int, error) {
	message := strings.TrimSpace(string(b))
	w.s.counts.add(classify(message))
	log.WithField("server", w.s.o.Name).WithField("why", message[:min(len(message), maxErrorBytes)]).Warn("server error")
	return len(b), nil
}

func classify(message string) event {
	switch {
	case strings.HasPrefix(message, "http: Accept error"):
		return acceptFailed
	case strings.Contains(message, "WriteHeader") || strings.Contains(message, "response.Write"):
		return misused
	}
	return otherError
}
