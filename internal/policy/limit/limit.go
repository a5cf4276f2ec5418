// Package limit implements an adaptive concurrency limit on the requests that one entry keeps in
// flight at one endpoint. It also spreads the Retry-After delays of refused requests.
//
// Load pattern: the batch size that an engine can sustain depends on the request mix, since long
// prompts slow down every stream of the batch. Several entries share an engine without
// coordinating. With a fixed limit they overload the engine as soon as the mix shifts to long
// prompts: all streams become late together and goodput collapses.
//
// Approach: additive increase with multiplicative decrease (AIMD) on measured latency. The entries
// converge to equal shares of the engine's current capacity.
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
	// defaultTarget is the tolerated ratio of measured to unloaded latency. At 2, requests
	// queue for as long as they are served, which keeps a batching engine busy; a longer queue
	// only adds latency.
	defaultTarget = 2.0
	// defaultWindow spans several engine steps at 39 ms per token, so that a single slow step
	// doesn't lower the limit.
	defaultWindow = 250 * time.Millisecond
	// defaultBackoff is gentle because it applies again in every window over the target: five
	// windows, a little over one second, halve the limit.
	defaultBackoff = 0.87
	// defaultOverloadBackoff applies when the endpoint refuses work explicitly, which is
	// stronger evidence of overload than high latency.
	defaultOverloadBackoff = 0.7
	// minSamples is the minimum number of latency samples for a decision.
	minSamples = 3
	// minUsedShare is the share of the limit that must have been in use before the limit is
	// raised: low latency below the limit doesn't show that the engine could carry more.
	minUsedShare = 0.8
)

// Config configures a Limiter. Zero fields take the defaults.
type Config struct {
	Min, Max, Initial int           // limits, in requests in flight
	Target            float64       // tolerated ratio of measured to unloaded latency
	Window            time.Duration // interval between decisions
	Backoff           float64       // factor on the limit when latency exceeds Target
	OverloadBackoff   float64       // factor on the limit when the endpoint refuses work
	Fixed             bool          // disables adaptation, for comparison
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
		c.OverloadBackoff = defaultOverloadBackoff
	}
	return c
}

// Sample is one request's observation of its endpoint's load.
type Sample struct {
	FirstTokenRatio float64 // measured over unloaded time to first token; zero if unknown
	StepRatio       float64 // measured over unloaded time between tokens; zero if unknown
	Overloaded      bool    // the endpoint refused the request
	InFlight        int     // this entry's requests at the endpoint, including this one
}

// Limiter adapts the concurrency limit of one endpoint.
type Limiter struct {
	cfg   Config
	limit atomic.Int64

	mu           sync.Mutex
	exactLimit   float64
	windowStart  clock.Time
	ratioSum     float64
	samples      int
	peakInFlight int
	overloaded   bool
}

// NewLimiter returns a limiter that starts at cfg.Initial.
func NewLimiter(cfg Config) *Limiter {
	l := &Limiter{cfg: cfg.withDefaults()}
	l.exactLimit = float64(l.cfg.Initial)
	l.limit.Store(int64(l.cfg.Initial))
	return l
}

// Limit returns the maximum number of requests in flight.
func (l *Limiter) Limit() int { return int(l.limit.Load()) }

// Observe records the sample of one request and adapts the limit once per window.
func (l *Limiter) Observe(now clock.Time, s Sample) {
	if l.cfg.Fixed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(now, s)
	if now.Sub(l.windowStart) < l.cfg.Window {
		return
	}
	if l.samples < minSamples && !l.overloaded {
		return
	}
	l.adapt()
	l.windowStart = now
	l.ratioSum, l.samples, l.peakInFlight, l.overloaded = 0, 0, 0, false
}

func (l *Limiter) record(now clock.Time, s Sample) {
	if l.samples == 0 && !l.overloaded && l.peakInFlight == 0 {
		l.windowStart = now
	}
	l.peakInFlight = max(l.peakInFlight, s.InFlight)
	l.overloaded = l.overloaded || s.Overloaded
	if worst := max(s.FirstTokenRatio, s.StepRatio); worst > 0 {
		l.ratioSum += worst
		l.samples++
	}
}

func (l *Limiter) adapt() {
	switch {
	case l.overloaded:
		l.exactLimit *= l.cfg.OverloadBackoff
	case l.ratioSum/float64(l.samples) > l.cfg.Target:
		l.exactLimit *= l.cfg.Backoff
	case float64(l.peakInFlight) >= minUsedShare*l.exactLimit:
		l.exactLimit++
	}
	l.exactLimit = min(max(l.exactLimit, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.limit.Store(int64(l.exactLimit))
}
