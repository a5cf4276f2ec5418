package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

// fleet is a simulated deployment whose endpoints all name a limit.
type fleet struct {
	vms       int
	endpoints int
	limit     float64
	load      float64   // callers' requests a second at all VMs
	weights   []float64 // of the VMs' parts of the load, equal ones if nil
	idle      time.Duration
	period    time.Duration // between two messages of a VM
	loss      float64       // of messages
	alone     int           // VMs that hear nobody and aren't heard
	believed  int           // VMs that each believes there are; vms if zero
	restart   time.Duration // when every third VM starts anew
	ends      time.Duration // when the endpoints name no limit any more
	guards    guards
}

// outcome of a simulation.
type outcome struct {
	most   int           // requests at one endpoint in some 4 s
	served float64       // of what the limits allow, or of the load if that is less
	again  time.Duration // from the end of the limit to the first request at an endpoint, the longest
}

const (
	simStep   = 5 * time.Millisecond
	simLength = 25 * time.Second
	window    = 4 * time.Second
	factor    = 1.5
	extra     = 5
	urgent    = 8 // part of a period after which an early message follows
)

// allowed is the most that may come to an endpoint in a window.
func (f *fleet) allowed() int { return int(factor*window.Seconds()*f.limit) + extra }

// sim is the running state.
type sim struct {
	*fleet
	rng  *rand.Rand
	now  clock.Time
	vm   []*Tracker
	due  []clock.Time
	rate []float64
	eps  []*catalog.Endpoint
	came [][]clock.Time
}

func (f *fleet) run(seed uint64) outcome {
	s := &sim{fleet: f, rng: rand.New(rand.NewPCG(seed, 1)), now: at(0)}
	for i := range f.endpoints {
		s.eps = append(s.eps, &catalog.Endpoint{ID: fmt.Sprint("e", i), Born: 1})
	}
	s.came = make([][]clock.Time, f.endpoints)
	sum := 0.0
	for i := range f.vms {
		sum += s.weight(i)
	}
	for i := range f.vms {
		s.rate = append(s.rate, f.load*s.weight(i)/sum)
		s.due = append(s.due, s.now.Add(time.Duration(s.rng.Int64N(int64(f.period)))))
		s.vm = append(s.vm, s.newVM(i))
	}
	for ; s.now < at(simLength); s.now = s.now.Add(simStep) {
		s.step()
	}
	return s.outcome()
}

func (s *sim) weight(i int) float64 {
	if s.weights == nil {
		return 1
	}
	return s.weights[i%len(s.weights)]
}

func (s *sim) newVM(i int) *Tracker {
	r := New(s.rng.Uint64())
	r.guards = s.guards
	r.Self = fmt.Sprint(i)
	r.RequestRate = func() float64 {
		if s.now < at(s.idle) {
			return 0
		}
		return s.rate[i]
	}
	r.OnChange = func() { s.due[i] = min(s.due[i], s.now.Add(s.period/urgent)) }
	r.VMCount = func() int { return max(s.believed, 1) }
	if s.believed == 0 {
		r.VMCount = func() int { return s.vms }
	}
	// The endpoints have told each VM.
	for _, e := range s.eps {
		r.ObserveAnswer(s.now, s.now, e, "", Notice{Limited: true, Limit: s.limit})
	}
	return r
}

func (s *sim) step() {
	for i := range s.vm {
		if s.restart > 0 && s.now == at(s.restart) && i%3 == 0 {
			s.vm[i] = s.newVM(i)
		}
		if s.now >= at(s.idle) && s.rng.Float64() < s.rate[i]*simStep.Seconds() {
			s.request(i)
		}
		if s.now >= s.due[i] {
			s.due[i] = s.now.Add(s.period)
			s.tell(i)
		}
	}
}

// request sends one to an endpoint that takes it, if any does.
func (s *sim) request(i int) {
	start := s.rng.IntN(len(s.eps))
	for k := range s.eps {
		j := (start + k) % len(s.eps)
		if !s.vm[i].Admits(s.now, s.eps[j]) || !s.vm[i].TryAcquire(s.now, s.eps[j]) {
			continue
		}
		s.came[j] = append(s.came[j], s.now)
		limited := s.ends == 0 || s.now < at(s.ends)
		s.vm[i].ObserveAnswer(s.now.Add(time.Millisecond), s.now, s.eps[j], "", Notice{Limited: limited, Limit: s.limit})
		return
	}
}

func (s *sim) tell(i int) {
	told := s.vm[i].Reports(s.now)
	for j := range s.vm {
		if j == i || i < s.alone || j < s.alone || s.rng.Float64() < s.loss {
			continue
		}
		s.vm[j].MergeReports(s.now, fmt.Sprint(i), s.vm[i].RequestRate(), told)
	}
}

func (s *sim) outcome() outcome {
	var o outcome
	total := 0
	for _, came := range s.came {
		first := 0
		for k, t := range came {
			for t.Sub(came[first]) > window {
				first++
			}
			o.most = max(o.most, k-first+1)
		}
		total += len(came)
		o.again = max(o.again, s.after(came))
	}
	could := min(s.load, s.limit*float64(s.endpoints)) * (simLength - s.idle).Seconds()
	o.served = float64(total) / could
	return o
}

// fleets are the deployments and loads that the mechanism is made for.
var fleets = map[string]fleet{
	"four VMs, one with most callers":                      {vms: 4, endpoints: 9, limit: 8, load: 200, weights: []float64{67, 29, 15, 17}, period: 100 * time.Millisecond},
	"four VMs, most callers at one, load under the limits": {vms: 4, endpoints: 9, limit: 8, load: 65, weights: []float64{67, 29, 15, 17}, period: 100 * time.Millisecond},
	"eight VMs, four of them with callers":                 {vms: 8, endpoints: 9, limit: 8, load: 70, weights: []float64{40, 40, 40, 40, 1, 1, 1, 1}, period: 100 * time.Millisecond},
	"twenty VMs, most callers at few":                      {vms: 20, endpoints: 9, limit: 8, load: 70, weights: []float64{40, 1, 1, 1}, period: 160 * time.Millisecond},
	"four VMs, one endpoint":                               {vms: 4, endpoints: 1, limit: 8, load: 200, period: 100 * time.Millisecond},
	"four VMs, a small limit":                              {vms: 4, endpoints: 3, limit: 0.5, load: 60, period: 100 * time.Millisecond},
	"many VMs, load a little over":                         {vms: 54, endpoints: 3, limit: 5, load: 20, period: 330 * time.Millisecond},
	"many VMs, load far over":                              {vms: 54, endpoints: 3, limit: 5, load: 200, period: 330 * time.Millisecond},
	"many VMs, many endpoints":                             {vms: 54, endpoints: 30, limit: 8, load: 800, period: 330 * time.Millisecond},
	"many VMs after a pause":                               {vms: 54, endpoints: 10, limit: 8, load: 800, idle: 10 * time.Second, period: 330 * time.Millisecond},
	"hundreds of VMs after a pause":                        {vms: 195, endpoints: 10, limit: 4, load: 400, idle: 10 * time.Second, period: 600 * time.Millisecond},
	"hundreds of VMs, a small limit":                       {vms: 195, endpoints: 5, limit: 1, load: 100, period: 600 * time.Millisecond},
	"messages are lost":                                    {vms: 8, endpoints: 9, limit: 8, load: 200, period: 100 * time.Millisecond, loss: 0.3},
	"a VM that is cut off":                                 {vms: 4, endpoints: 9, limit: 8, load: 200, period: 100 * time.Millisecond, alone: 1},
	"no VM hears another":                                  {vms: 8, endpoints: 3, limit: 0.5, load: 60, period: 100 * time.Millisecond, alone: 8},
	"half of the VMs known":                                {vms: 8, endpoints: 9, limit: 8, load: 200, period: 100 * time.Millisecond, believed: 4},
	"VMs that start anew":                                  {vms: 9, endpoints: 9, limit: 8, load: 200, period: 100 * time.Millisecond, restart: 10 * time.Second},
	"endpoints that take nothing":                          {vms: 8, endpoints: 3, limit: 0, load: 60, period: 100 * time.Millisecond},
	"a limit over what comes":                              {vms: 4, endpoints: 3, limit: 100, load: 60, period: 100 * time.Millisecond},
}

// Guards against an endpoint that gets more than it takes from all VMs together, whatever their
// number, load and knowledge of each other.
func TestVMsTogetherKeepALimit(t *testing.T) {
	for name, f := range fleets {
		t.Run(name, func(t *testing.T) {
			most, served := 0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				o := f.run(seed)
				most = max(most, o.most)
				served += o.served / seeds
			}
			t.Logf("%d of %d allowed, %.2f served", most, f.allowed(), served)
			assert.Assert(t, most <= f.allowed(), "%d in 4 s, allowed %d", most, f.allowed())
		})
	}
}

// after is the time from the end of the limit to the first of came.
func (s *sim) after(came []clock.Time) time.Duration {
	for _, t := range came {
		if t >= at(s.ends) {
			return t.Sub(at(s.ends))
		}
	}
	return simLength
}

// Guards against an endpoint that gets nothing for many seconds after its limit is over, since no
// VM asks it.
func TestTheEndOfALimitIsNoticedSoon(t *testing.T) {
	for _, f := range []fleet{
		{vms: 4, endpoints: 1, limit: 0, load: 60, period: 100 * time.Millisecond, ends: 15 * time.Second},
		{vms: 54, endpoints: 1, limit: 0.1, load: 200, period: 330 * time.Millisecond, ends: 15 * time.Second},
		{vms: 54, endpoints: 1, limit: 0.1, load: 200, weights: []float64{9, 0, 0, 1}, period: 330 * time.Millisecond, ends: 15 * time.Second},
	} {
		for seed := range uint64(10) {
			o := f.run(seed)
			assert.Assert(t, o.again < 2*unheardFor, "%d VMs, seed %d: %s", f.vms, seed, o.again)
			until := f
			until.ends = 0
			assert.Assert(t, until.run(seed).most <= f.allowed(), "%d VMs, seed %d", f.vms, seed)
		}
	}
}
