// Package limit adapts how many requests one entry keeps in flight at one
// endpoint, and spreads the times at which refused callers come back.
//
// Load pattern: an engine's useful batch size moves with the mix, since long
// prompts slow every stream of the batch, and several entries share an engine
// without talking to each other. With a fixed limit the entries overfill the
// engine as soon as the mix turns long: all streams get late together and the
// goodput collapses. Additive increase with multiplicative decrease makes the
// entries converge to equal shares of whatever the engine can carry now.
//
// A Limiter and a Spreader are safe for concurrent use.
package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
)

const (
	// defaultTarget is the tolerated ratio of a measured time to the unloaded
	// one. A queue as long as the work itself is what keeps a batching engine
	// busy; beyond it waiting only adds lateness.
	defaultTarget = 2.0
	// defaultWindow holds several engine steps at 39 ms a token, so that one
	// slow step doesn't shrink the limit.
	defaultWindow = 250 * time.Millisecond
	// defaultBackoff is gentle because every window over target repeats it:
	// five windows, a little over a second, halve the limit.
	defaultBackoff = 0.87
	// defaultOverload answers an explicit refusal by the endpoint, which is
	// surer evidence than a latency.
	defaultOverload = 0.7
	// minSamples is the fewest latencies that a window is judged by.
	minSamples = 3
	// usedShare is how much of the limit must have been in use for it to
	// grow: an unused limit proves nothing.
	usedShare = 0.8
)

// Config sets one limiter. Zero fields take the defaults.
type Config struct {
	Min, Max, Initial int
	Target          float64       // tolerated ratio of measured to unloaded time
	Window          time.Duration // one decision each
	Backoff         float64       // factor when over Target
	OverloadBackoff float64       // factor when the endpoint refuses work
	Fixed           bool          // turns adaptation off, for comparison
}

func (c Config) withDefaults() Config {
	c.Min = max(c.Min, 1)
	if c.Max == 0 {
		c.Max = 64
	}
	if c.Initial == 0 {
		c.Initial = c.Max / 2
	}
	c.Initial = min(max(c.Initial, c.Min), c.Max)
	if c.Target == 0 {
		c.Target = defaultTarget
	}
	if c.Window == 0 {
		c.Window = defaultWindow
	}
	if c.Backoff == 0 {
		c.Backoff = defaultBackoff
	}
	if c.OverloadBackoff == 0 {
		c.OverloadBackoff = defaultOverload
	}
	return c
}

// Sample is what one request showed about its endpoint's load.
type Sample struct {
	FirstTokenRatio float64 // measured time to the first token over the unloaded one; zero if unknown
	StepRatio       float64 // measured time between tokens over the unloaded one; zero if unknown
	Overloaded bool    // the endpoint refused the work
	InFlight   int     // requests of this entry at the endpoint, this one included
}

// Limiter holds the limit of one endpoint.
type Limiter struct {
	cfg   Config
	limit atomic.Int64

	mu      sync.Mutex
	exact   float64
	since   clock.Time
	sum     float64
	n       int
	peak    int
	refused bool
}

// NewLimiter returns a limiter at cfg.Start.
func NewLimiter(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg.withDefaults()}
	l.exact = float64(l.cfg.Initial)
	l.limit.Store(int64(l.cfg.Initial))
	return l
}

// Limit returns how many requests may be in flight.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

// Observe takes one request's sample and adapts the limit once a window.
func (l *Limiter) Observe(now clock.Time, s Sample) {
	if l.cfg.Fixed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(now, s)
	if now.Sub(l.since) < l.cfg.Window {
		return
	}
	if l.n < minSamples && !l.refused {
		return
	}
	l.adapt()
	l.since = now
	l.sum, l.n, l.peak, l.refused = 0, 0, 0, false
}

func (l *Limiter) add(now clock.Time, s Sample) {
	if l.n == 0 && !l.refused && l.peak == 0 {
		l.since = now
	}
	l.peak = max(l.peak, s.InFlight)
	l.refused = l.refused || s.Overloaded
	if worst := max(s.FirstTokenRatio, s.StepRatio); worst > 0 {
		l.sum += worst
		l.n++
	}
}

func (l *Limiter) adapt() {
	switch {
	case l.refused:
		l.exact *= l.cfg.OverloadBackoff
	case l.sum/float64(l.n) > l.cfg.Target:
		l.exact *= l.cfg.Backoff
	case float64(l.peak) >= usedShare*l.exact:
		l.exact++
	}
	l.exact = min(max(l.exact, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.limit.Store(int64(l.exact))
}
