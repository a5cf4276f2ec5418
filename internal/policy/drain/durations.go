package drain

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

// windowLength is the length of an observation window. A sample covers the current window and the
// one before it.
const windowLength = 30 * time.Second

// maxRoutes is the number of routes from which those without recent answers are forgotten.
const maxRoutes = 4096

// Durations tracks how long the calls of each route take, or the waits for their answers. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route holds the observations of one route.
type route struct {
	running           map[*Call]struct{}
	current, previous Sample[time.Duration] // of the answers that ended within a window
	windowStart       clock.Time
}

// Call is a call that an endpoint is running.
type Call struct {
	durations *Durations
	route     string
	start     clock.Time
}

// NewDurations returns a tracker without observations.
func NewDurations() *Durations { return &Durations{routes: map[string]*route{}} }

// Begin records that a call of a route begins. The caller must call End.
func (d *Durations) Begin(now clock.Time, name string) *Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[name]
	if r == nil {
		d.makeRoom(now)
		r = &route{running: map[*Call]struct{}{}, windowStart: now}
		d.routes[name] = r
	}
	a := &Call{durations: d, route: name, start: now}
	r.running[a] = struct{}{}
	return a
}

// makeRoom forgets the routes without recent answers once there are maxRoutes: configurations add and
// remove routes.
func (d *Durations) makeRoom(now clock.Time) {
	if len(d.routes) < maxRoutes {
		return
	}
	for name, r := range d.routes {
		r.rotate(now)
		if len(r.running) == 0 && r.current.Count+r.previous.Count == 0 {
			delete(d.routes, name)
		}
	}
}

// End records the end of the call. One that broke off isn't observed, as a complete one would have
// taken longer.
func (a *Call) End(now clock.Time, complete bool) {
	d := a.durations
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[a.route]
	delete(r.running, a)
	r.rotate(now)
	if complete {
		r.current = r.current.merge(Sample[time.Duration]{1, now.Sub(a.start)})
	}
}

// Sample returns the sample of a route's calls.
func (d *Durations) Sample(now clock.Time, name string) Sample[time.Duration] {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[name]
	if r == nil {
		return Sample[time.Duration]{}
	}
	r.rotate(now)
	s := r.current.merge(r.previous)
	// Calls that are still running show a slowdown before they end.
	for a := range r.running {
		s.Longest = max(s.Longest, now.Sub(a.start))
	}
	return s
}

// rotate starts a new window when the current one is over.
func (r *route) rotate(now clock.Time) {
	elapsed := now.Sub(r.windowStart)
	if elapsed < windowLength {
		return
	}
	r.previous = r.current
	if elapsed >= 2*windowLength {
		r.previous = Sample[time.Duration]{}
	}
	r.current, r.windowStart = Sample[time.Duration]{}, now
}
