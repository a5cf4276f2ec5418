package crash

import (
	"slices"
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// leftTime is how long a request counts that was left in a silence of its endpoint: an endpoint that a request
	// has silenced ends some seconds later, and its entry in the catalog some seconds after that.
	leftTime = 30 * time.Second
	// maxLeft bounds the requests that were left, and maxLeftHere those of one process. The oldest yield.
	maxLeft     = 2048
	maxLeftHere = 64
	// minLeftSilence is the shortest silence in which a request counts as left: a caller that leaves between two
	// events says nothing about the endpoint.
	minLeftSilence = 100 * time.Millisecond
	// minOpenSilence is the silence of a request in progress from which the end of the endpoint's process counts
	// against it. Its answer may go on if only the entry has ended.
	minOpenSilence = 500 * time.Millisecond
	// settledTime is how long after its first event a request is no longer taken for the cause of a silence.
	settledTime = time.Second
	// successorTime is the time before an entry shows the end of a process in which its successor may answer at
	// its address: such an answer doesn't show that the process went on.
	successorTime = 2 * time.Second
)

// Exposures holds the requests of one VM that have just begun at endpoints: those in progress, and those that
// were left while the endpoint was silent or whose connection was lost. If the process of the endpoint turns out to
// have ended, it may have ended under them.
//
// Load pattern: a request makes each endpoint that runs it silent with its connection open, and the endpoint ends
// seconds after the caller has left and has repeated it at another one. No exchange shows the end.
//
// An endpoint that only pauses answers afterwards, which clears the requests that were left there. An Exposures is
// safe for concurrent use.
type Exposures struct {
	mu   sync.Mutex
	open map[string]map[*Exposure]struct{} // by process
	left []*Exposure                       // in the order in which they were left
	// leftHere is left by process.
	leftHere map[string][]*Exposure
}

// Exposure is a request at an endpoint's process.
type Exposure struct {
	request   uint64
	parts     []uint64
	process   string
	sentAt    clock.Time
	eventAt   clock.Time // of the first event, zero before it
	signAt    clock.Time // when the process last showed a sign of life in this exchange; sentAt before
	leftAt    clock.Time // zero while it is in progress
	resumedAt clock.Time // when the process first showed a sign of life after that, zero if it hasn't
	ended     bool       // the process has ended while the request was in progress
	reported  bool       // as a crash, while the request was in progress
}

// NewExposures returns empty exposures.
func NewExposures() *Exposures {
	return &Exposures{open: map[string]map[*Exposure]struct{}{}, leftHere: map[string][]*Exposure{}}
}

// Begin records that a request with these parts is sent to a process. The exposure must be ended with End.
func (x *Exposures) Begin(now clock.Time, process string, request uint64, parts []uint64) *Exposure {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := &Exposure{request: request, parts: parts, process: process, sentAt: now, signAt: now}
	if x.open[process] == nil {
		x.open[process] = map[*Exposure]struct{}{}
	}
	x.open[process][e] = struct{}{}
	return e
}

// Sign records a sign of life of the process in the exchange of e: a header, or an event.
func (x *Exposures) Sign(now clock.Time, e *Exposure, event bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e.signAt, e.ended = now, false
	if event && e.eventAt == 0 {
		e.eventAt = now
	}
	for _, l := range x.leftHere[e.process] {
		if l.resumedAt == 0 {
			l.resumedAt = now
		}
	}
}

// Ending is how an exchange with an endpoint has ended.
type Ending int

// The endings.
const (
	Answered Ending = iota // or rejected, or not sent
	Left                   // its caller left, or another endpoint took the request
	Broken                 // its connection was lost, or its answer was of no use
)

// End ends the exposure. If the process is known to have ended meanwhile, End returns the crash.
func (x *Exposures) End(now clock.Time, e *Exposure, how Ending) (Crash, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open[e.process], e)
	if len(x.open[e.process]) == 0 {
		delete(x.open, e.process)
	}
	isExposed := how == Broken || how == Left && now.Sub(e.signAt) >= minLeftSilence && !e.hasSettled()
	if !isExposed || e.reported {
		return Crash{}, false
	}
	if e.hasSettled() {
		e.parts = nil // a run that had got on for a while isn't evidence against the parts of its prompt
	}
	if e.ended {
		return e.report(now), true
	}
	e.leftAt = now
	x.addLeft(now, e)
	return Crash{}, false
}

// hasSettled reports whether the request had been answered for a while when the process fell silent.
func (e *Exposure) hasSettled() bool { return e.eventAt != 0 && e.signAt.Sub(e.eventAt) >= settledTime }

// report returns the exposure as a crash. The process ended before now; its crash is dated now, as requests that
// were sent before the end was known don't confirm it.
func (e *Exposure) report(now clock.Time) Crash {
	e.reported = true
	c := Crash{Request: e.request, Endpoint: e.process, Ended: true}
	for _, p := range e.parts {
		c.Parts = append(c.Parts, PartCrash{Part: p, SentAge: now.Sub(e.sentAt)})
	}
	return c
}

// addLeft adds a request that was left, and drops those that are too old or too many.
func (x *Exposures) addLeft(now clock.Time, e *Exposure) {
	x.expire(now)
	if here := x.leftHere[e.process]; len(here) >= maxLeftHere {
		x.dropLeft(here[0])
	}
	if len(x.left) >= maxLeft {
		x.dropLeft(x.left[0])
	}
	x.left = append(x.left, e)
	x.leftHere[e.process] = append(x.leftHere[e.process], e)
}

func (x *Exposures) expire(now clock.Time) {
	for len(x.left) > 0 && now.Sub(x.left[0].leftAt) > leftTime {
		x.dropLeft(x.left[0])
	}
}

func (x *Exposures) dropLeft(e *Exposure) {
	isThis := func(o *Exposure) bool { return o == e }
	x.left = slices.DeleteFunc(x.left, isThis)
	x.leftHere[e.process] = slices.DeleteFunc(x.leftHere[e.process], isThis)
	if len(x.leftHere[e.process]) == 0 {
		delete(x.leftHere, e.process)
	}
}

// EndProcess records that a process has ended without having announced it, and returns the crashes of the requests
// that were left in its silence, and of those in progress that it is silent to.
func (x *Exposures) EndProcess(now clock.Time, process string) []Crash {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.expire(now)
	var out []Crash
	for _, e := range x.leftHere[process] {
		if e.resumedAt == 0 || now.Sub(e.resumedAt) <= successorTime {
			out = append(out, e.report(now))
		}
	}
	x.forgetLeft(process)
	for e := range x.open[process] {
		e.ended = true
		if !e.reported && !e.hasSettled() && now.Sub(e.signAt) >= minOpenSilence {
			out = append(out, e.report(now))
		}
	}
	return out
}

// Forget forgets the requests that were left at a process, which has left the catalog in order.
func (x *Exposures) Forget(process string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forgetLeft(process)
}

func (x *Exposures) forgetLeft(process string) {
	if len(x.leftHere[process]) == 0 {
		return
	}
	delete(x.leftHere, process)
	x.left = slices.DeleteFunc(x.left, func(e *Exposure) bool { return e.process == process })
}

// LeftCount returns the number of requests that were left and may still count.
func (x *Exposures) LeftCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.left)
}
