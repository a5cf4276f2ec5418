package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/exchange"
	"fescuestand/internal/policy/place"
)

// exceededLogInterval is the shortest time between two log lines for one cause.
const exceededLogInterval = time.Second

// exceededLog limits the log lines for responses that exceeded a bound.
type exceededLog struct {
	mu       sync.Mutex
	loggedAt map[exchange.Cause]clock.Time
	left     map[exchange.Cause]int // since the last line
}

// admit reports whether a line may be logged now, and for how many responses there was none since the last one.
func (l *exceededLog) admit(now clock.Time, c exchange.Cause) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loggedAt == nil {
		l.loggedAt, l.left = map[exchange.Cause]clock.Time{}, map[exchange.Cause]int{}
	}
	if at, logged := l.loggedAt[c]; logged && now.Sub(at) < exceededLogInterval {
		l.left[c]++
		return 0, false
	}
	leftOut = l.left[c]
	l.loggedAt[c], l.left[c] = now, 0
	return leftOut, true
}

// recordExceeded counts and logs a response of the process at addr that exceeded a bound.
func (g *Gateway) recordExceeded(addr string, e *exchange.BoundError) {
	g.metrics.countExceeded(e.Cause)
	if leftOut, ok := g.exceeded.admit(g.o.Clock.Now(), e.Cause); ok {
		line := log.WithField("cause", e.Cause).WithField("bytes", e.Bytes).WithField("address", addr)
		line.WithField("left_out", leftOut).Warn("response exceeded a bound")
	}
}

// recordExceededAttempt records an attempt whose response exceeded one of the gateway's bounds. The pool reports
// its own.
func (x *execution) recordExceededAttempt(a *attempt, r *result) {
	e := exceededBound(r.err)
	if e == nil || e.Cause == exchange.Header || e.Cause == exchange.Interim {
		return
	}
	x.g.recordExceeded(a.request.Endpoint.Address, e)
}

// exceededBound returns the bound that a response exceeded, or nil.
func exceededBound(err error) *exchange.BoundError {
	var e *exchange.BoundError
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// exceededCode returns the code of a request that failed as its response exceeded a bound.
func exceededCode(e *exchange.BoundError) code.Code {
	if e.Cause == exchange.Budget {
		return code.BodyBudgetSpent
	}
	return code.BadAnswer
}

// exceededOutcome returns the outcome that the planner records for an endpoint whose response exceeded a bound.
func exceededOutcome(e *exchange.BoundError) place.Outcome {
	if e.Cause == exchange.Budget {
		return place.Ignored // the response may have ended in time
	}
	return place.ExchangeFailed
}

// bytesRefusedPause is the time without a refusal for lack of bytes after which the byte budget counts as having room
// again. It bounds the log lines, too.
const bytesRefusedPause = 5 * time.Second

// bytesRefusedLog logs when the byte budget begins to refuse requests and when it has stopped.
type bytesRefusedLog struct {
	log log.Interface // nil for the process's log

	mu      sync.Mutex
	timer   *time.Timer // nil while no request is refused
	began   clock.Time
	total   int // refusals since it began
	counted int // those that the timer has seen
}

// record records a refusal.
func (l *bytesRefusedLog) record(g *Gateway) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if l.timer != nil {
		return
	}
	l.began, l.counted = g.o.Clock.Now(), l.total
	l.timer = time.AfterFunc(bytesRefusedPause, func() { l.expire(g) })
	l.line(g).Warn("byte budget refuses requests")
}

func (l *bytesRefusedLog) expire(g *Gateway) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > l.counted {
		l.counted = l.total
		l.timer.Reset(bytesRefusedPause)
		return
	}
	l.line(g).WithField("refused", l.total).WithField("ms", g.o.Clock.Now().Sub(l.began).Milliseconds()).Info("byte budget has room again")
	l.timer, l.total = nil, 0
}

func (l *bytesRefusedLog) line(g *Gateway) *log.Entry {
	s := g.o.Bodies.Snapshot()
	to := l.log
	if to == nil {
		to = log.Log
	}
	return to.WithField("capacity", s.Capacity).WithField("used", s.Used).WithField("requests", s.Requests)
}
