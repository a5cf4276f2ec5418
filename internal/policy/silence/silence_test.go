package silence

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const (
	start  = clock.Time(time.Hour)
	silent = 800 * time.Millisecond // of the exchange that is to be replaced
)

// state is what an endpoint has shown when a decision is due.
type state int

const (
	idle     state = iota // no exchange
	alive                 // its last event is 50 ms old
	paused                // its last event is as old as that of the exchange that is to be replaced, or 90 ms younger
	begun                 // sent a request 100 ms ago
	working               // sent a request that may take two seconds
	commits               // sent a request that may take any time
	slow                  // its caller doesn't take what it sent
	done                  // its last answer ended 50 ms ago
	tried                 // alive, but excluded
	left                  // an exchange with it was ended as it was silent
	leftOnce              // the same, but it has shown a sign of life since
	canceled              // an exchange with it was ended 100 ms after its last event
)

// set has an endpoint be in the state at start.
func (s state) set(r *Register, p Process) {
	switch s {
	case idle:
	case alive, tried:
		streams(r, p, 50*time.Millisecond)
	case paused:
		streams(r, p, silent)
		streams(r, p, silent-90*time.Millisecond)
	case begun:
		r.Begin(p, start.Add(-100*time.Millisecond))
	case working:
		r.Begin(p, start.Add(time.Second))
	case commits:
		r.Begin(p, never)
	case slow:
		r.Begin(p, start.Add(-2*silent)).Sign(start.Add(-silent))
	case left, leftOnce:
		x := r.Begin(p, start.Add(-2*silent))
		x.End(start.Add(-silent))
		if s == leftOnce {
			x.Sign(start.Add(-silent + time.Millisecond))
		}
	case canceled:
		x := r.Begin(p, start.Add(-2*silent))
		x.Await(start.Add(-silent))
		x.End(start.Add(-silent + 100*time.Millisecond))
	case done:
		x := r.Begin(p, start.Add(-silent))
		x.Sign(start.Add(-50 * time.Millisecond))
		x.End(start)
	}
}

// streams opens a stream whose last event has the given age.
func streams(r *Register, p Process, age time.Duration) {
	x := r.Begin(p, start.Add(-2*silent))
	x.Sign(start.Add(-age))
	x.Await(start.Add(-age))
}

func process(i int) Process { return Process{ID: fmt.Sprint(i), Born: 1} }

func candidates(r *Register, states []state) []Candidate {
	var out []Candidate
	for i, s := range states {
		p := process(i)
		s.set(r, p)
		out = append(out, Candidate{Process: p, Tried: s == tried})
	}
	return out
}

// Guards against asking endpoints that are as silent as the one to be left, and against waiting for a silent
// endpoint while others are alive.
func TestDecide(t *testing.T) {
	for name, tc := range map[string]struct {
		states []state
		want   Verdict
		silent string // indexes
	}{
		"no candidate":                  {nil, Ask, ""},
		"all were tried":                {[]state{tried, tried}, Ask, ""},
		"all silent":                    {[]state{paused, paused, paused}, Withhold, "012"},
		"all but one silent":            {[]state{paused, alive, paused}, Ask, "02"},
		"none silent":                   {[]state{alive, alive}, Ask, ""},
		"an answer has just ended":      {[]state{paused, done}, Ask, "0"},
		"one unknown, others silent":    {[]state{paused, idle}, Probe, "0"},
		"all unknown":                   {[]state{idle, idle}, Probe, ""},
		"one just begun":                {[]state{begun, paused}, Probe, "1"},
		"one works":                     {[]state{working, paused}, Probe, "1"},
		"a commit says nothing":         {[]state{commits, paused}, Probe, "1"},
		"a slow caller says nothing":    {[]state{slow, paused}, Probe, "1"},
		"one was left":                  {[]state{left, paused}, Withhold, "01"},
		"one went on after it was left": {[]state{leftOnce, paused}, Probe, "1"},
		"a caller left":                 {[]state{canceled, paused}, Probe, "1"},
		"unknown beside one alive":      {[]state{idle, tried}, Ask, ""},
		"the only one alive was tried":  {[]state{paused, tried}, Withhold, "0"},
		"all unknown ones silent later": {[]state{paused, tried, idle}, Ask, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			list := candidates(r, tc.states)
			assert.Equal(t, r.Decide(start, "s", 1, silent, list), tc.want)
			got := ""
			for i, c := range list {
				if c.Silent {
					got += fmt.Sprint(i)
				}
			}
			assert.Equal(t, got, tc.silent)
		})
	}
}

// Guards against all requests of a VM asking unknown endpoints at once, and against a probe that blocks others for
// good.
func TestOneRequestProbes(t *testing.T) {
	r := New()
	list := candidates(r, []state{paused, idle, idle})
	assert.Equal(t, r.Decide(start, "s", 1, silent, list), Probe)
	assert.Equal(t, r.Decide(start, "s", 2, silent, list), Withhold)
	assert.Equal(t, r.Decide(start, "s", 1, silent, list), Withhold, "the probe is silent, too")
	assert.Equal(t, r.Decide(start, "other", 2, silent, list), Probe)
	r.EndProbe("s", 2)
	assert.Equal(t, r.Decide(start, "s", 2, silent, list), Withhold)
	r.EndProbe("s", 1)
	assert.Equal(t, r.Decide(start, "s", 2, silent, list), Probe)
	assert.Equal(t, r.Decide(start.Add(probeInterval), "s", 3, silent, list), Probe)
	r.Begin(process(1), start).Sign(start)
	assert.Equal(t, r.Decide(start, "s", 3, silent, list), Ask, "the probe was answered")
}

// Guards against requests that wait until their callers leave, as the others are taken to be silent or full, and against
// many requests that ask such endpoints at once.
func TestSilentAndFullEndpointsAreTheLastResort(t *testing.T) {
	r := New()
	list := append(candidates(r, []state{paused, paused}), Candidate{Process: process(2), Full: true})
	assert.Equal(t, r.Decide(start, "s", 1, lastResort-1, list), Withhold)
	assert.Assert(t, list[0].Silent && list[1].Silent)
	assert.Equal(t, r.Decide(start, "s", 1, lastResort, list), Probe)
	assert.Assert(t, !list[0].Silent && !list[1].Silent, "none is excluded")
	assert.Equal(t, r.Decide(start, "s", 2, lastResort, list), Withhold)
	assert.Equal(t, r.Decide(start.Add(probeInterval), "s", 2, lastResort, list), Probe)
}

// Guards against a short silence that is judged by endpoints' signs of life before it began.
func TestWindowFollowsTheSilence(t *testing.T) {
	r := New()
	list := candidates(r, []state{idle})
	streams(r, process(0), 200*time.Millisecond)
	assert.Equal(t, r.Decide(start, "s", 1, 300*time.Millisecond, list), Withhold)
	assert.Equal(t, r.Decide(start, "s", 1, silent, list), Ask)
}

// Guards against a register that grows with the endpoints that were ever used.
func TestSweepForgetsIdleEndpoints(t *testing.T) {
	r := New()
	candidates(r, []state{alive, paused, done})
	x := r.Begin(process(3), start)
	x.End(start)
	x.End(start)
	r.Sweep(start)
	assert.Equal(t, len(r.endpoints), 3)
	r.Sweep(start.Add(maxWindow))
	assert.Equal(t, len(r.endpoints), 2, "those with open exchanges")
}

// Guards against an exchange that can't be ended as others of its endpoint were ended before.
func TestExchangesEndInAnyOrder(t *testing.T) {
	r := New()
	var list []*Exchange
	for range 5 {
		list = append(list, r.Begin(process(0), start))
	}
	for _, i := range []int{0, 3, 4, 1, 2} {
		list[i].End(start)
	}
	assert.Equal(t, len(r.endpoints[process(0)].open), 0)
}

func BenchmarkSignAndAwait(b *testing.B) {
	x := New().Begin(process(0), start)
	for i := range b.N {
		x.Sign(clock.Time(i))
		x.Await(clock.Time(i))
	}
}

func BenchmarkBeginAndEnd(b *testing.B) {
	r := New()
	for range b.N {
		r.Begin(process(0), start).End(start)
	}
}

func BenchmarkDecide(b *testing.B) {
	const endpoints, exchanges = 4300, 400
	r := New()
	list := make([]Candidate, endpoints)
	for i := range list {
		list[i].Process = process(i)
	}
	for i := range exchanges {
		streams(r, list[i*10].Process, silent)
	}
	for range b.N {
		r.Decide(start, "s", 1, silent, list)
	}
}
