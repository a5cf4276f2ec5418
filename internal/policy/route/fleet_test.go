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

// service is a plain service endpoint: it runs one call in 10 ms, and others
// wait in line.
type service struct {
	slow      float64
	fails     bool // answers an error at once
	busyUntil clock.Time
	waiting   int
	served    int
}

const (
	callTime   = 10 * time.Millisecond
	services   = 12
	entries    = 7
	reportLag  = 300 * time.Millisecond
	reportEach = 100 * time.Millisecond
)

// callers are the calls of several entries to the services, each entry with a
// router of its own and load reports that are late for all.
type callers struct {
	loop     loadtest.Loop
	rng      *rand.Rand
	services []*service
	routers  []*Router
	silent   bool
	waits    []time.Duration
	errors   int
	spread   []int // calls to each service within a window
	worst    int
}

func newCallers(off Guards) *callers {
	c := &callers{rng: rand.New(rand.NewPCG(1, 1)), spread: make([]int, services)}
	var eps []Endpoint
	for i := range services {
		c.services = append(c.services, &service{slow: 1})
		eps = append(eps, Endpoint{Name: fmt.Sprintf("service-%02d", i), Pool: "lantern", Slots: 1, Base: callTime})
	}
	for i := range entries {
		cfg := Config{Entries: entries, Disabled: off}
		cfg.Limit.Max, cfg.Limit.Start, cfg.Limit.Fixed = 64, 64, true
		cfg.Overcommit = 1000
		r := NewRouter(cfg, uint64(i))
		r.Publish(0, NewTable(cfg, eps))
		c.routers = append(c.routers, r)
	}
	return c
}

// run calls at the given part of the capacity.
func (c *callers) run(load float64, length time.Duration) {
	rate := load * services / callTime.Seconds()
	var arrive func()
	arrive = func() {
		c.call(c.routers[c.rng.IntN(entries)])
		c.loop.After(time.Duration(c.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	c.loop.Every(reportEach, c.report)
	c.loop.Every(50*time.Millisecond, c.count)
	c.loop.Every(100*time.Millisecond, func() {
		for _, r := range c.routers {
			r.EjectOutliers(c.loop.Now())
		}
	})
	c.loop.Run(clock.Time(length))
}

func (c *callers) call(r *Router) {
	now := c.loop.Now()
	d, err := r.Pick(now, &Request{Pool: "lantern"})
	if err != nil {
		c.errors++
		return
	}
	r.Sent(now, &d.Dispatch)
	i := slices.Index(c.names(r), d.Endpoint.Name)
	s := c.services[i]
	c.spread[i]++
	s.served++
	if s.fails {
		c.loop.After(time.Millisecond, func() {
			c.errors++
			r.Done(c.loop.Now(), &d.Dispatch, Failed)
		})
		return
	}
	s.waiting++
	s.busyUntil = max(s.busyUntil, now).Add(time.Duration(float64(callTime) * s.slow))
	c.loop.At(s.busyUntil, func() {
		s.waiting--
		c.waits = append(c.waits, c.loop.Now().Sub(now))
		r.Done(c.loop.Now(), &d.Dispatch, Success)
	})
}

func (c *callers) names(r *Router) []string {
	var names []string
	for _, e := range r.Table().Endpoints() {
		names = append(names, e.Name)
	}
	return names
}

func (c *callers) report() {
	if c.silent {
		return
	}
	now := c.loop.Now()
	for i, s := range c.services {
		rep := Report{TakenAt: now, Running: s.waiting}
		c.loop.After(reportLag, func() {
			for _, r := range c.routers {
				r.ObserveReport(fmt.Sprintf("service-%02d", i), rep)
			}
		})
	}
}

// count notes the most calls that one service got within 50 ms.
func (c *callers) count() {
	c.worst = max(c.worst, slices.Max(c.spread))
	clear(c.spread)
}

// over counts the calls that took longer than ms milliseconds.
func (c *callers) over(ms int) int {
	n := 0
	for _, w := range c.waits {
		if w > time.Duration(ms)*time.Millisecond {
			n++
		}
	}
	return n
}

func (c *callers) p99() time.Duration {
	slices.Sort(c.waits)
	return c.waits[len(c.waits)*99/100]
}

// Seven entries read the same reports, 0.3 s old. Sent to the least loaded by
// the report, everybody's calls meet on the service that was idle then, wait
// there, and the next report moves them all on to another. Two choices at
// random and own counts hold the herd.
func TestHerd(t *testing.T) {
	on := newCallers(Guards{})
	on.run(0.7, 20*time.Second)
	off := newCallers(Guards{NoTwoChoices: true, NoOwnCounts: true})
	off.run(0.7, 20*time.Second)
	turn := newCallers(Guards{RoundRobin: true})
	turn.run(0.7, 20*time.Second)
	t.Logf("p99 %v, most calls to one service in 50 ms %d; without the guards %v, %d; round robin %v, %d",
		on.p99(), on.worst, off.p99(), off.worst, turn.p99(), turn.worst)
	assert.Assert(t, off.p99() > 3*on.p99())
	assert.Assert(t, off.worst > 2*on.worst)
	// Turns are hard to beat among equals; they are the floor.
	assert.Assert(t, on.p99() < turn.p99()*11/10)
}

// A service answers each call with an error within a millisecond. It has never
// anything in flight, so that it looks the least loaded and draws the calls of
// the whole pool.
func TestFastErrors(t *testing.T) {
	broken := func(off Guards) *callers {
		c := newCallers(off)
		c.loop.After(5*time.Second, func() { c.services[3].fails = true })
		c.run(0.7, 20*time.Second)
		return c
	}
	on := broken(Guards{})
	off := broken(Guards{NoEjection: true, NoErrorCost: true})
	t.Logf("errors %d of %d; without the guards %d", on.errors, len(on.waits)+on.errors, off.errors)
	assert.Assert(t, on.errors*100 < len(on.waits))
	assert.Assert(t, off.errors > 10*on.errors)
}

// A service becomes ten times slower and reports stop. Its calls wait in line
// longer and longer.
func TestSlowServiceWithoutReports(t *testing.T) {
	slow := func(off Guards) *callers {
		c := newCallers(off)
		c.loop.After(5*time.Second, func() { c.services[3].slow, c.silent = 10, true })
		c.loop.After(25*time.Second, func() { c.services[3].slow, c.silent = 1, false })
		c.run(0.7, 40*time.Second)
		return c
	}
	on := slow(Guards{})
	off := slow(Guards{NoEjection: true, NoSlownessPenalty: true})
	turn := slow(Guards{NoEjection: true, RoundRobin: true})
	t.Logf("over 60 ms: %d; without the guards %d, in turn %d; the service's calls %d of %d",
		on.over(60), off.over(60), turn.over(60), on.services[3].served, len(on.waits))
	assert.Assert(t, off.over(60) > 2*on.over(60))
	assert.Assert(t, turn.over(60) > 4*on.over(60))
	// It is back in its place: a twelfth of the calls of half of the run.
	assert.Assert(t, on.services[3].served*12 > len(on.waits)/4)
}

// Something behind all services is slow: all look bad at once. Ejecting them
// all would leave nobody; at most a third is out, and no more than that.
func TestEjectionIsCapped(t *testing.T) {
	for _, off := range []bool{false, true} {
		c := newCallers(Guards{NoMaxOut: off})
		for _, s := range c.services[:8] {
			s.fails = true
		}
		most := 0
		c.loop.Every(100*time.Millisecond, func() {
			out := 0
			for _, e := range c.routers[0].Snapshot(c.loop.Now()).Endpoints {
				if e.Out {
					out++
				}
			}
			most = max(most, out)
		})
		c.run(0.2, 5*time.Second)
		assert.Equal(t, most > services/3, off, "%d out", most)
	}
}
