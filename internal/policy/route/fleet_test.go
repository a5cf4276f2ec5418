package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
)

// service simulates a plain service endpoint. It runs one call at a time, each for 10 ms; other
// calls queue.
type service struct {
	slowdown    float64
	fails       bool // returns an error within a millisecond
	busyUntil   clock.Time
	outstanding int
	served      int
}

const (
	callTime       = 10 * time.Millisecond
	serviceCount   = 12
	entryCount     = 7
	reportLag      = 300 * time.Millisecond
	reportInterval = 100 * time.Millisecond
)

// callSimulation simulates the calls of several entries to the services. Each entry has its own
// router, and all receive the same late load reports.
type callSimulation struct {
	loop           loadtest.Loop
	rng            *rand.Rand
	services       []*service
	routers        []*Router
	reportsStopped bool
	latencies      []time.Duration
	errors         int
	recentCalls    []int // calls to each service since the last recordBurst
	maxBurst       int   // most calls to one service between two recordBursts
}

func newCallSimulation(disabled Guards) *callSimulation {
	c := &callSimulation{rng: rand.New(rand.NewPCG(1, 1)), recentCalls: make([]int, serviceCount)}
	var eps []Endpoint
	for i := range serviceCount {
		c.services = append(c.services, &service{slowdown: 1})
		eps = append(eps, Endpoint{Name: fmt.Sprintf("service-%02d", i), Pool: "lantern", Slots: 1, Base: callTime})
	}
	for i := range entryCount {
		cfg := Config{Entries: entryCount, Disabled: disabled}
		cfg.Limit.Max, cfg.Limit.Initial, cfg.Limit.Fixed = 64, 64, true
		cfg.Overcommit = 1000
		r := NewRouter(cfg, uint64(i))
		r.Publish(0, NewTable(cfg, eps))
		c.routers = append(c.routers, r)
	}
	return c
}

// simulate sends calls at the given share of the services' capacity.
func (c *callSimulation) simulate(load float64, duration time.Duration) {
	rate := load * serviceCount / callTime.Seconds()
	var arrive func()
	arrive = func() {
		c.call(c.routers[c.rng.IntN(entryCount)])
		c.loop.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	c.loop.Every(reportInterval, c.report)
	c.loop.Every(50*time.Millisecond, c.recordBurst)
	c.loop.Every(100*time.Millisecond, func() {
		for _, r := range c.routers {
			r.EjectOutliers(c.loop.Now())
		}
	})
	c.loop.Run(clock.Time(duration))
}

func (c *callSimulation) call(r *Router) {
	now := c.loop.Now()
	d, err := r.Pick(now, &Request{Pool: "lantern"})
	if err != nil {
		c.errors++
		return
	}
	r.Sent(now, &d.Dispatch)
	i := slices.Index(c.names(r), d.Endpoint.Name)
	s := c.services[i]
	c.recentCalls[i]++
	s.served++
	if s.fails {
		c.loop.After(time.Millisecond, func() {
			c.errors++
			r.Done(c.loop.Now(), &d.Dispatch, Failed)
		})
		return
	}
	s.outstanding++
	s.busyUntil = max(s.busyUntil, now).Add(time.Duration(float64(callTime) * s.slowdown))
	c.loop.At(s.busyUntil, func() {
		s.outstanding--
		c.latencies = append(c.latencies, c.loop.Now().Sub(now))
		r.Done(c.loop.Now(), &d.Dispatch, Success)
	})
}

func (c *callSimulation) names(r *Router) []string {
	var names []string
	for _, e := range r.Table().Endpoints() {
		names = append(names, e.Name)
	}
	return names
}

func (c *callSimulation) report() {
	if c.reportsStopped {
		return
	}
	now := c.loop.Now()
	for i, s := range c.services {
		rep := Report{TakenAt: now, Running: s.outstanding}
		c.loop.After(reportLag, func() {
			for _, r := range c.routers {
				r.ObserveReport(fmt.Sprintf("service-%02d", i), rep)
			}
		})
	}
}

// recordBurst records the maximum number of calls that one service got within 50 ms.
func (c *callSimulation) recordBurst() {
	c.maxBurst = max(c.maxBurst, slices.Max(c.recentCalls))
	clear(c.recentCalls)
}

// slowerThan counts the calls that took longer than ms milliseconds.
func (c *callSimulation) slowerThan(ms int) int {
	n := 0
	for _, latency := range c.latencies {
		if latency > time.Duration(ms)*time.Millisecond {
			n++
		}
	}
	return n
}

func (c *callSimulation) p99() time.Duration {
	slices.Sort(c.latencies)
	return c.latencies[len(c.latencies)*99/100]
}

// Guards against herding. Seven entries read the same reports, 0.3 s old. If each sends its calls
// to the service with the lowest reported load, all calls meet on one service and queue there, and
// the next report moves them all to another. Two choices and own counts prevent this.
func TestTwoChoicesPreventHerding(t *testing.T) {
	guarded := newCallSimulation(Guards{})
	guarded.simulate(0.7, 20*time.Second)
	unguarded := newCallSimulation(Guards{NoTwoChoices: true, NoLocalCounts: true})
	unguarded.simulate(0.7, 20*time.Second)
	roundRobin := newCallSimulation(Guards{RoundRobin: true})
	roundRobin.simulate(0.7, 20*time.Second)
	t.Logf("p99 %v, most calls to one service in 50 ms %d; guards disabled %v, %d; round robin %v, %d",
		guarded.p99(), guarded.maxBurst, unguarded.p99(), unguarded.maxBurst, roundRobin.p99(), roundRobin.maxBurst)
	assert.Assert(t, unguarded.p99() > 3*guarded.p99())
	assert.Assert(t, unguarded.maxBurst > 2*guarded.maxBurst)
	// Round robin is close to optimal among equal services, so its p99 is the reference.
	assert.Assert(t, guarded.p99() < roundRobin.p99()*11/10)
}

// Guards against a service that answers each call with an error within a millisecond. It never has
// a call in flight for long, so it looks least loaded and attracts the calls of the whole pool.
func TestFastErrorsDoNotAttractTraffic(t *testing.T) {
	withBrokenService := func(disabled Guards) *callSimulation {
		c := newCallSimulation(disabled)
		c.loop.After(5*time.Second, func() { c.services[3].fails = true })
		c.simulate(0.7, 20*time.Second)
		return c
	}
	guarded := withBrokenService(Guards{})
	unguarded := withBrokenService(Guards{NoEjection: true, NoErrorCost: true})
	t.Logf("errors %d of %d; guards disabled %d", guarded.errors, len(guarded.latencies)+guarded.errors, unguarded.errors)
	assert.Assert(t, guarded.errors*100 < len(guarded.latencies))
	assert.Assert(t, unguarded.errors > 10*guarded.errors)
}

// Guards against calls queueing at a service that becomes ten times slower while load reports stop.
// Only measured latencies show the slowness.
func TestSlowServiceWithoutReports(t *testing.T) {
	withSlowService := func(disabled Guards) *callSimulation {
		c := newCallSimulation(disabled)
		c.loop.After(5*time.Second, func() { c.services[3].slowdown, c.reportsStopped = 10, true })
		c.loop.After(25*time.Second, func() { c.services[3].slowdown, c.reportsStopped = 1, false })
		c.simulate(0.7, 40*time.Second)
		return c
	}
	guarded := withSlowService(Guards{})
	unguarded := withSlowService(Guards{NoEjection: true, NoSlownessPenalty: true})
	roundRobin := withSlowService(Guards{NoEjection: true, RoundRobin: true})
	t.Logf("over 60 ms: %d; guards disabled %d, round robin %d; the service's calls %d of %d",
		guarded.slowerThan(60), unguarded.slowerThan(60), roundRobin.slowerThan(60), guarded.services[3].served, len(guarded.latencies))
	assert.Assert(t, unguarded.slowerThan(60) > 2*guarded.slowerThan(60))
	assert.Assert(t, roundRobin.slowerThan(60) > 4*guarded.slowerThan(60))
	// The service is healthy for half of the run, so its fair share is a twelfth of half of the calls.
	// It must get at least half of that.
	assert.Assert(t, guarded.services[3].served*12 > len(guarded.latencies)/4)
}

// Guards against ejecting a whole pool when a common dependency makes many services fail at once.
// At most a third may be ejected.
func TestEjectionIsCapped(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		c := newCallSimulation(Guards{NoMaxEjectedShare: disabled})
		for _, s := range c.services[:8] {
			s.fails = true
		}
		maxEjected := 0
		c.loop.Every(100*time.Millisecond, func() {
			ejected := 0
			for _, e := range c.routers[0].Snapshot(c.loop.Now()).Endpoints {
				if e.Out {
					ejected++
				}
			}
			maxEjected = max(maxEjected, ejected)
		})
		c.simulate(0.2, 5*time.Second)
		assert.Equal(t, maxEjected > serviceCount/3, disabled, "%d ejected", maxEjected)
	}
}
