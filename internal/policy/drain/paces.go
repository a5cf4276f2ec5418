package drain

import (
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
)

const (
	// minSpan is the minimum time over which the pace of a stream that is being sent is measured: shorter
	// ones would show single delays.
	minSpan = 250 * time.Millisecond
	// minPaceEvents is the minimum number of events over which the pace of ended streams is measured.
	minPaceEvents = 8
	// paceReserve is the factor by which a stream may be slower than the slowest recent one.
	paceReserve = 1.05
	// maxEndpoints is the number of a service's endpoints from which those without recent streams are
	// forgotten.
	maxEndpoints = 4096
)

// Paces tracks how much time endpoints take for an event of a stream. It is safe for concurrent use.
// Recording an event takes no lock.
type Paces struct {
	mu       sync.Mutex
	services map[string]*servicePaces
}

// servicePaces holds the observations of a service's endpoints.
type servicePaces struct {
	endpoints map[string]*endpointPace // by ID
	sending   map[*endpointPace]struct{}
}

// endpointPace holds the observations of one endpoint.
type endpointPace struct {
	running           map[*Stream]struct{}
	current, previous Sample[time.Duration] // of the time for an event, of streams that ended within a window
	windowStart       clock.Time
	pending           pendingPace

	// The present pace at the end of the latest stream, and that of the slowest other endpoint at that time.
	latest, latestOthers time.Duration
}

// pendingPace is that of ended streams that haven't minPaceEvents together.
type pendingPace struct {
	streams, events int
	time            time.Duration
}

// Stream measures the pace of a stream that an endpoint is sending.
type Stream struct {
	paces             *Paces
	service, endpoint string

	start  clock.Time
	events int // after the first ones

	// The pace is measured from a mark that is between one and two spans old.
	mark, previousMark mark
	chunks             int

	perEvent atomic.Int64 // nanoseconds, zero before the first span is over
	perChunk atomic.Int64 // nanoseconds between two arrivals, which may have several events
	last     atomic.Int64 // clock.Time of the latest arrival
}

// mark is the position of a stream at a time.
type mark struct {
	at             clock.Time
	events, chunks int
}

// NewPaces returns a tracker without observations.
func NewPaces() *Paces { return &Paces{services: map[string]*servicePaces{}} }

// Begin records that the first events of a stream have arrived. The caller must call End.
func (p *Paces) Begin(now clock.Time, service, endpoint string) *Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &Stream{paces: p, service: service, endpoint: endpoint, start: now}
	s.mark.at, s.previousMark.at = now, now
	s.last.Store(int64(now))
	of, e := p.endpoint(now, service, endpoint)
	e.running[s] = struct{}{}
	of.sending[e] = struct{}{}
	return s
}

// endpoint returns the observations of an endpoint and of its service, which it creates at the first use.
func (p *Paces) endpoint(now clock.Time, service, id string) (*servicePaces, *endpointPace) {
	of := p.services[service]
	if of == nil {
		p.makeRoom(now)
		of = &servicePaces{map[string]*endpointPace{}, map[*endpointPace]struct{}{}}
		p.services[service] = of
	}
	e := of.endpoints[id]
	if e == nil {
		of.makeRoom(now)
		e = &endpointPace{running: map[*Stream]struct{}{}, windowStart: now}
		of.endpoints[id] = e
	}
	return of, e
}

// makeRoom forgets the services without recent streams once there are maxRoutes.
func (p *Paces) makeRoom(now clock.Time) {
	if len(p.services) < maxRoutes {
		return
	}
	for name, of := range p.services {
		if of.forget(now); len(of.endpoints) == 0 {
			delete(p.services, name)
		}
	}
}

// makeRoom forgets the endpoints without recent streams once there are maxEndpoints.
func (of *servicePaces) makeRoom(now clock.Time) {
	if len(of.endpoints) >= maxEndpoints {
		of.forget(now)
	}
}

// forget forgets the endpoints without recent streams.
func (of *servicePaces) forget(now clock.Time) {
	for id, e := range of.endpoints {
		if len(e.running) == 0 && e.ended(now) == 0 {
			delete(of.endpoints, id)
		}
	}
}

// Record records that n further events have arrived together.
func (s *Stream) Record(now clock.Time, n int) {
	s.events += n
	s.chunks++
	span, events, chunks := now.Sub(s.previousMark.at), s.events-s.previousMark.events, s.chunks-s.previousMark.chunks
	if span >= minSpan && events > 0 {
		s.perEvent.Store(int64(span) / int64(events))
		s.perChunk.Store(int64(span) / int64(chunks))
	}
	s.last.Store(int64(now))
	if now.Sub(s.mark.at) >= minSpan {
		s.previousMark = s.mark
		s.mark = mark{now, s.events, s.chunks}
	}
}

// pace returns the time for an event at the present speed of the stream, or false if it isn't known yet. A
// stream that is late is slower than it was.
func (s *Stream) pace(now clock.Time) (time.Duration, bool) {
	perEvent, perChunk := s.perEvent.Load(), s.perChunk.Load()
	if perEvent == 0 {
		return 0, false
	}
	late := float64(now.Sub(clock.Time(s.last.Load()))) / float64(perChunk)
	return time.Duration(float64(perEvent) * max(late, 1)), true
}

// End records the end of the stream.
func (s *Stream) End(now clock.Time) {
	p := s.paces
	p.mu.Lock()
	defer p.mu.Unlock()
	of, e := p.endpoint(now, s.service, s.endpoint)
	delete(e.running, s)
	if len(e.running) == 0 {
		delete(of.sending, e)
	}
	e.rotate(now)
	if pace, known := s.pace(now); known {
		e.latest, e.latestOthers = pace, of.slowestPresent(now, e)
	}
	e.pending.streams++
	e.pending.events += s.events
	e.pending.time += now.Sub(s.start)
	if e.pending.events >= minPaceEvents {
		e.current = e.current.merge(Sample[time.Duration]{1, e.pending.mean()})
		e.pending = pendingPace{}
	}
}

// mean returns the time for an event, zero without any stream.
func (p *pendingPace) mean() time.Duration {
	if p.streams == 0 {
		return 0
	}
	return max(p.time/time.Duration(max(p.events, 1)), 1)
}

// rotate starts a new window when the current one is over.
func (e *endpointPace) rotate(now clock.Time) {
	elapsed := now.Sub(e.windowStart)
	if elapsed < windowLength {
		return
	}
	e.previous = e.current
	if elapsed >= 2*windowLength {
		e.previous, e.pending = Sample[time.Duration]{}, pendingPace{}
		e.latest, e.latestOthers = 0, 0
	}
	e.current, e.windowStart = Sample[time.Duration]{}, now
}

// ended returns the time for an event of the slowest recent streams that have ended, zero without any.
func (e *endpointPace) ended(now clock.Time) time.Duration {
	e.rotate(now)
	if s := e.current.merge(e.previous); s.Count > 0 {
		return s.Longest
	}
	return e.pending.mean()
}

// present returns the mean time for an event of the streams that the endpoint is sending, zero without any.
func (e *endpointPace) present(now clock.Time) time.Duration {
	var sum time.Duration
	n := 0
	for s := range e.running {
		if pace, known := s.pace(now); known {
			sum += pace
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// newsFactor is by how much the slowest other endpoint must have slowed down since an endpoint's latest
// stream for the endpoint to be taken for as slow.
const newsFactor = 1.25

// presentWithout returns the time for an event that is assumed of an endpoint which sends no stream: that of
// its latest one, unless others have slowed down since.
func (of *servicePaces) presentWithout(now clock.Time, e *endpointPace) time.Duration {
	others := of.slowestPresent(now, e)
	if e.latest > 0 && float64(others) <= newsFactor*float64(e.latestOthers) {
		return e.latest
	}
	return max(e.latest, others)
}

// slowestPresent returns the longest time for an event at the endpoints but one that are sending streams.
func (of *servicePaces) slowestPresent(now clock.Time, but *endpointPace) time.Duration {
	var longest time.Duration
	for e := range of.sending {
		if e != but {
			longest = max(longest, e.present(now))
		}
	}
	return longest
}

// slowestEnded returns the longest time for an event of streams of the service that have ended.
func (of *servicePaces) slowestEnded(now clock.Time) time.Duration {
	var longest time.Duration
	for _, e := range of.endpoints {
		longest = max(longest, e.ended(now))
	}
	return longest
}

// PerEvent returns an upper bound of the mean time for an event of a stream that begins now at an endpoint,
// or zero if it isn't known. Without recent streams of the endpoint, or if it is "", the slowest of its
// service's endpoints counts. slowdown is by how much the endpoint says that it is slower than usual, 1 if
// it isn't or says nothing. It doesn't count beside streams that the endpoint is sending.
func (p *Paces) PerEvent(now clock.Time, service, endpoint string, slowdown float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	of := p.services[service]
	if of == nil {
		return 0
	}
	e := of.endpoints[endpoint]
	if e == nil {
		e = &endpointPace{windowStart: now}
	}
	ended, present := e.ended(now), e.present(now)
	if ended == 0 {
		ended = of.slowestEnded(now)
	}
	if present == 0 {
		present = of.presentWithout(now, e)
		ended = time.Duration(float64(ended) * max(slowdown, 1))
	}
	return time.Duration(paceReserve * float64(max(ended, present)))
}
