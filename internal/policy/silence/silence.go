// Package silence decides whether another endpoint is asked in place of one that is silent.
//
// Load pattern: all or nearly all endpoints of a service pause at the same moment for a second and go on, for
// example as their hosts are migrated or a network device restarts. Each exchange with them falls silent, and for
// each one another endpoint is asked that is just as silent. Without evidence about the others, engines get the
// work of a multiple of the requests when they go on, exchanges that would have gone on are left, and the retry
// budget is spent, so that later requests are refused.
//
// Approach: a Register keeps when each endpoint last showed a sign of life to this VM (a header, an event, a
// rejection or the end of a body) and until when its open exchanges may be expected to be quiet. At the time of a
// decision an endpoint is
//   - alive, if it has shown a sign of life within the window,
//   - silent, if it has an exchange that should have shown one for longer than the window, or had one lately, or
//   - unknown otherwise.
//
// Unknown endpoints may be asked if another endpoint of the service is alive. If none is, one request of the VM asks
// one of them as a probe, and what it learns holds for the others. The next probe is sent after probeInterval, or once
// the first one's request has ended without an answer. Silent endpoints, and those that are known to be full, aren't
// asked, but by a probe of a request whose own endpoint has been silent for lastResort.
//
// The package does no I/O and reads no clock. A Register is safe for concurrent use. Its size is bounded by the
// number of open exchanges and by the number of endpoints in use between two calls of Sweep.
package silence

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxWindow is the longest time without a sign of life in which an endpoint is still taken to be alive:
	// several times the interval between the events of a stream.
	maxWindow = 400 * time.Millisecond
	// windowShare is the window as a share of the silence of the exchange that is to be replaced. Endpoints that
	// pause together have sent their last events at slightly different times.
	windowShare = 0.5
	// probeInterval is the time from a probe that isn't answered to the next one. Callers leave a stream after two
	// seconds without an event, and ask for a replacement in the first one.
	probeInterval = 800 * time.Millisecond
	// lastResort is the silence after which a silent or full endpoint is asked if there are no others: longer than a
	// pause, and early enough for callers who leave after two seconds.
	lastResort = 1300 * time.Millisecond
	// minLeftSilence is the silence of an exchange that still says something about its endpoint after its end,
	// for leftMemory.
	minLeftSilence = 200 * time.Millisecond
	leftMemory     = 2 * time.Second
)

// never is the time up to which an endpoint may be quiet that isn't waited for.
const never = clock.Time(math.MaxInt64)

// Register keeps the signs of life of one VM's endpoints.
type Register struct {
	mu        sync.Mutex
	endpoints map[Process]*endpoint
	probes    map[string]probe // by service
}

// Process identifies one process of an endpoint, which may restart under its ID.
type Process struct {
	ID   string
	Born int64 // Unix milliseconds of its start
}

// probe is a request that asks an unknown endpoint.
type probe struct {
	request any
	at      clock.Time
}

// endpoint is what is known about one process.
type endpoint struct {
	lastSign  atomic.Int64 // clock.Time
	open      []*Exchange
	leftAt    clock.Time // when the latest silent exchange was ended, zero for never
	leftQuiet clock.Time // up to when the endpoint might have been quiet in it
}

// Exchange is an open exchange with an endpoint.
type Exchange struct {
	r       *Register
	e       *endpoint
	index   int          // in e.open, negative after End
	quietTo atomic.Int64 // clock.Time up to which the endpoint may be quiet

	lastSign atomic.Int64 // clock.Time, zero before the first one
}

// New returns an empty register.
func New() *Register {
	return &Register{endpoints: map[Process]*endpoint{}, probes: map[string]probe{}}
}

// Begin records that a request is sent to a process, which may be quiet until quietTo.
func (r *Register) Begin(p Process, quietTo clock.Time) *Exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[p]
	if e == nil {
		e = &endpoint{}
		e.lastSign.Store(math.MinInt64)
		r.endpoints[p] = e
	}
	x := &Exchange{r: r, e: e, index: len(e.open)}
	x.quietTo.Store(int64(quietTo))
	e.open = append(e.open, x)
	return x
}

// Sign records a sign of life. Until Await is called, nothing is expected of the endpoint.
func (x *Exchange) Sign(now clock.Time) {
	x.e.lastSign.Store(int64(now))
	x.lastSign.Store(int64(now))
	x.quietTo.Store(int64(never))
}

// Await records that the next sign of life is waited for from now on.
func (x *Exchange) Await(now clock.Time) { x.quietTo.Store(int64(now)) }

// IsAlive reports whether the exchange has shown a sign of life within the window.
func (x *Exchange) IsAlive(now clock.Time) bool {
	last := x.lastSign.Load()
	return last != 0 && clock.Time(last) > now.Add(-maxWindow)
}

// IsAlive reports whether a process has shown a sign of life within the window.
func (r *Register) IsAlive(now clock.Time, p Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[p]
	return e != nil && e.isAlive(now, maxWindow)
}

// HasSignSince reports whether a process has shown a sign of life after a time, as far as that is kept.
func (r *Register) HasSignSince(at clock.Time, p Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[p]
	return e != nil && clock.Time(e.lastSign.Load()) > at
}

// End ends the exchange. Further calls have no effect.
func (x *Exchange) End(now clock.Time) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if x.index < 0 {
		return
	}
	last := len(x.e.open) - 1
	x.e.open[x.index] = x.e.open[last]
	x.e.open[x.index].index = x.index
	x.e.open[last] = nil
	x.e.open = x.e.open[:last]
	x.index = -1
	if quietTo := clock.Time(x.quietTo.Load()); quietTo <= now.Add(-minLeftSilence) {
		x.e.leftAt, x.e.leftQuiet = now, quietTo
	}
}

// Sweep forgets endpoints without open exchanges whose latest sign of life says nothing any more.
func (r *Register) Sweep(now clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, e := range r.endpoints {
		if len(e.open) == 0 && !e.isAlive(now, maxWindow) && !e.wasLeft(now) {
			delete(r.endpoints, p)
		}
	}
}

// Candidate is an endpoint that may be able to take the request.
type Candidate struct {
	Process Process
	Tried   bool // it isn't asked, but shows whether endpoints are alive
	Full    bool // it is known to have no room
	Silent  bool // set by Decide
}

// Verdict says whether another endpoint is asked in place of a silent one.
type Verdict int

// The verdicts.
const (
	Ask      Verdict = iota // one that isn't silent; also if all have been tried, which the caller finds out
	Probe                   // one that Decide hasn't set as silent; EndProbe must be called afterwards
	Withhold                // none
)

// Decide returns whether one of the candidates is asked for a request whose endpoint has been silent for the given
// time, and sets which of them are silent. The request is identified by a comparable value.
func (r *Register) Decide(now clock.Time, service string, request any, silent time.Duration, candidates []Candidate) Verdict {
	window := min(time.Duration(windowShare*float64(silent)), maxWindow)
	r.mu.Lock()
	defer r.mu.Unlock()
	alive, left, asked := false, false, false
	for i := range candidates {
		c := &candidates[i]
		e := r.endpoints[c.Process]
		isAlive := e != nil && e.isAlive(now, window)
		c.Silent = e != nil && !isAlive && e.isOverdue(now, window)
		alive = alive || isAlive
		left = left || !c.Tried
		asked = asked || !c.Silent && !c.Full && !c.Tried
	}
	p, probed := r.probes[service]
	switch {
	case !left:
		return Ask
	case !asked && silent < lastResort:
		return Withhold
	case asked && alive:
		return Ask
	case probed && now.Sub(p.at) < probeInterval:
		return Withhold
	}
	if !asked {
		allowAll(candidates)
	}
	r.probes[service] = probe{request, now}
	return Probe
}

// allowAll has no candidate excluded as silent.
func allowAll(candidates []Candidate) {
	for i := range candidates {
		candidates[i].Silent = false
	}
}

// EndProbe records that a request no longer waits for the answer to its probe.
func (r *Register) EndProbe(service string, request any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probes[service].request == request {
		delete(r.probes, service)
	}
}

func (e *endpoint) isAlive(now clock.Time, window time.Duration) bool {
	return clock.Time(e.lastSign.Load()) > now.Add(-window)
}

// wasLeft reports whether a silent exchange was ended lately and the endpoint hasn't shown a sign of life since.
func (e *endpoint) wasLeft(now clock.Time) bool {
	return e.leftAt != 0 && now.Sub(e.leftAt) < leftMemory && clock.Time(e.lastSign.Load()) <= e.leftQuiet
}

// isOverdue reports whether an exchange should have shown a sign of life for longer than the window.
func (e *endpoint) isOverdue(now clock.Time, window time.Duration) bool {
	if e.wasLeft(now) {
		return true
	}
	for _, x := range e.open {
		if clock.Time(x.quietTo.Load()) <= now.Add(-window) {
			return true
		}
	}
	return false
}
