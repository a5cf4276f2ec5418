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

// fleet is a simulated deployment whose endpoints all announce the same limit.
type fleet struct {
	vms           int
	endpoints     int
	limit         float64
	load          float64       // callers' requests a second, at all VMs together
	weights       []float64     // of the VMs' shares of the load; equal if nil
	idle          time.Duration // time without requests at the start
	messagePeriod time.Duration // between two messages of a VM
	loss          float64       // share of messages that are lost
	isolated      int           // number of VMs that neither send nor receive messages
	assumedVMs    int           // number of VMs that each VM assumes; vms if zero
	restart       time.Duration // when every third VM restarts; never if zero
	limitEnds     time.Duration // when the endpoints stop announcing a limit; never if zero
	guards        guards
}

// outcome is the result of a simulation.
type outcome struct {
	maxInWindow  int           // requests at one endpoint within 4 s
	served       float64       // share of the requests that the limits allow, or of the load if that is less
	resumedAfter time.Duration // longest time from the end of the limit to the first request at an endpoint
}

const (
	simStep              = 5 * time.Millisecond
	simLength            = 25 * time.Second
	checkWindow          = 4 * time.Second
	allowedFactor        = 1.5
	allowedExtraRequests = 5
	earlyFraction        = 8 // an early message is sent after this fraction (1/n) of messagePeriod
)

// allowed returns the maximum number of requests to an endpoint within checkWindow.
func (f *fleet) allowed() int {
	return int(allowedFactor*checkWindow.Seconds()*f.limit) + allowedExtraRequests
}

// sim is the state of a running simulation.
type sim struct {
	*fleet
	rng         *rand.Rand
	now         clock.Time
	vm          []*Tracker
	nextMessage []clock.Time
	rate        []float64
	eps         []*catalog.Endpoint
	arrivals    [][]clock.Time
}

func (f *fleet) run(seed uint64) outcome {
	s := &sim{fleet: f, rng: rand.New(rand.NewPCG(seed, 1)), now: at(0)}
	for i := range f.endpoints {
		s.eps = append(s.eps, &catalog.Endpoint{ID: fmt.Sprint("e", i), Born: 1})
	}
	s.arrivals = make([][]clock.Time, f.endpoints)
	sum := 0.0
	for i := range f.vms {
		sum += s.weight(i)
	}
	for i := range f.vms {
		s.rate = append(s.rate, f.load*s.weight(i)/sum)
		s.nextMessage = append(s.nextMessage, s.now.Add(time.Duration(s.rng.Int64N(int64(f.messagePeriod)))))
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
	r.OnChange = func() { s.nextMessage[i] = min(s.nextMessage[i], s.now.Add(s.messagePeriod/earlyFraction)) }
	r.VMCount = func() int { return max(s.assumedVMs, 1) }
	if s.assumedVMs == 0 {
		r.VMCount = func() int { return s.vms }
	}
	// Each VM has received the limits from the endpoints.
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
		if s.now >= s.nextMessage[i] {
			s.nextMessage[i] = s.now.Add(s.messagePeriod)
			s.sendReports(i)
		}
	}
}

// request sends a request of VM i to an endpoint that accepts it, if any does.
func (s *sim) request(i int) {
	start := s.rng.IntN(len(s.eps))
	for k := range s.eps {
		j := (start + k) % len(s.eps)
		if !s.vm[i].Admits(s.now, s.eps[j]) || !s.vm[i].TryAcquire(s.now, s.eps[j]) {
			continue
		}
		s.arrivals[j] = append(s.arrivals[j], s.now)
		limited := s.limitEnds == 0 || s.now < at(s.limitEnds)
		s.vm[i].ObserveAnswer(s.now.Add(time.Millisecond), s.now, s.eps[j], "", Notice{Limited: limited, Limit: s.limit})
		return
	}
}

func (s *sim) sendReports(i int) {
	reports := s.vm[i].Reports(s.now)
	for j := range s.vm {
		if j == i || i < s.isolated || j < s.isolated || s.rng.Float64() < s.loss {
			continue
		}
		s.vm[j].MergeReports(s.now, fmt.Sprint(i), s.vm[i].RequestRate(), reports)
	}
}

func (s *sim) outcome() outcome {
	var o outcome
	total := 0
	for _, arrivals := range s.arrivals {
		first := 0
		for k, t := range arrivals {
			for t.Sub(arrivals[first]) > checkWindow {
				first++
			}
			o.maxInWindow = max(o.maxInWindow, k-first+1)
		}
		total += len(arrivals)
		o.resumedAfter = max(o.resumedAfter, s.timeToResume(arrivals))
	}
	achievable := min(s.load, s.limit*float64(s.endpoints)) * (simLength - s.idle).Seconds()
	o.served = float64(total) / achievable
	return o
}

// fleets are the deployments and loads that the mechanism has to handle.
var fleets = map[string]fleet{
	"four VMs, one with most callers":                        {vms: 4, endpoints: 9, limit: 8, load: 200, weights: []float64{67, 29, 15, 17}, messagePeriod: 100 * time.Millisecond},
	"four VMs, one with most callers, load below the limits": {vms: 4, endpoints: 9, limit: 8, load: 65, weights: []float64{67, 29, 15, 17}, messagePeriod: 100 * time.Millisecond},
	"eight VMs, four of them with callers":                   {vms: 8, endpoints: 9, limit: 8, load: 70, weights: []float64{40, 40, 40, 40, 1, 1, 1, 1}, messagePeriod: 100 * time.Millisecond},
	"twenty VMs, most callers at few of them":                {vms: 20, endpoints: 9, limit: 8, load: 70, weights: []float64{40, 1, 1, 1}, messagePeriod: 160 * time.Millisecond},
	"four VMs, one endpoint":                                 {vms: 4, endpoints: 1, limit: 8, load: 200, messagePeriod: 100 * time.Millisecond},
	"four VMs, a small limit":                                {vms: 4, endpoints: 3, limit: 0.5, load: 60, messagePeriod: 100 * time.Millisecond},
	"many VMs, load slightly above the limits":               {vms: 54, endpoints: 3, limit: 5, load: 20, messagePeriod: 330 * time.Millisecond},
	"many VMs, load far above the limits":                    {vms: 54, endpoints: 3, limit: 5, load: 200, messagePeriod: 330 * time.Millisecond},
	"many VMs, many endpoints":                               {vms: 54, endpoints: 30, limit: 8, load: 800, messagePeriod: 330 * time.Millisecond},
	"many VMs after a pause":                                 {vms: 54, endpoints: 10, limit: 8, load: 800, idle: 10 * time.Second, messagePeriod: 330 * time.Millisecond},
	"hundreds of VMs after a pause":                          {vms: 195, endpoints: 10, limit: 4, load: 400, idle: 10 * time.Second, messagePeriod: 600 * time.Millisecond},
	"hundreds of VMs, a small limit":                         {vms: 195, endpoints: 5, limit: 1, load: 100, messagePeriod: 600 * time.Millisecond},
	"lost messages":                                          {vms: 8, endpoints: 9, limit: 8, load: 200, messagePeriod: 100 * time.Millisecond, loss: 0.3},
	"one isolated VM":                                        {vms: 4, endpoints: 9, limit: 8, load: 200, messagePeriod: 100 * time.Millisecond, isolated: 1},
	"all VMs isolated":                                       {vms: 8, endpoints: 3, limit: 0.5, load: 60, messagePeriod: 100 * time.Millisecond, isolated: 8},
	"VMs that assume half of their number":                   {vms: 8, endpoints: 9, limit: 8, load: 200, messagePeriod: 100 * time.Millisecond, assumedVMs: 4},
	"VMs that restart":                                       {vms: 9, endpoints: 9, limit: 8, load: 200, messagePeriod: 100 * time.Millisecond, restart: 10 * time.Second},
	"endpoints that accept no requests":                      {vms: 8, endpoints: 3, limit: 0, load: 60, messagePeriod: 100 * time.Millisecond},
	"a limit above the load":                                 {vms: 4, endpoints: 3, limit: 100, load: 60, messagePeriod: 100 * time.Millisecond},
}

// Guards against an endpoint that gets more requests than it accepts from all VMs together, regardless
// of their number, their load and what they have received from each other.
func TestVMsTogetherStayWithinLimit(t *testing.T) {
	for name, f := range fleets {
		t.Run(name, func(t *testing.T) {
			maxInWindow, served := 0, 0.0
			const seeds = 3
			for seed := range uint64(seeds) {
				o := f.run(seed)
				maxInWindow = max(maxInWindow, o.maxInWindow)
				served += o.served / seeds
			}
			t.Logf("%d of %d allowed, %.2f served", maxInWindow, f.allowed(), served)
			assert.Assert(t, maxInWindow <= f.allowed(), "%d in 4 s, allowed %d", maxInWindow, f.allowed())
		})
	}
}

// timeToResume returns the time from the end of the limit to the first arrival after it.
func (s *sim) timeToResume(arrivals []clock.Time) time.Duration {
	for _, t := range arrivals {
		if t >= at(s.limitEnds) {
			return t.Sub(at(s.limitEnds))
		}
	}
	return simLength
}

// Guards against an endpoint that gets no requests for many seconds after its limit has ended, because
// no VM probes it.
func TestEndOfLimitIsDetectedSoon(t *testing.T) {
	for _, f := range []fleet{
		{vms: 4, endpoints: 1, limit: 0, load: 60, messagePeriod: 100 * time.Millisecond, limitEnds: 15 * time.Second},
		{vms: 54, endpoints: 1, limit: 0.1, load: 200, messagePeriod: 330 * time.Millisecond, limitEnds: 15 * time.Second},
		{vms: 54, endpoints: 1, limit: 0.1, load: 200, weights: []float64{9, 0, 0, 1}, messagePeriod: 330 * time.Millisecond, limitEnds: 15 * time.Second},
	} {
		for seed := range uint64(10) {
			o := f.run(seed)
			assert.Assert(t, o.resumedAfter < 2*probeAfter, "%d VMs, seed %d: %s", f.vms, seed, o.resumedAfter)
			neverEnds := f
			neverEnds.limitEnds = 0
			assert.Assert(t, neverEnds.run(seed).maxInWindow <= f.allowed(), "%d VMs, seed %d", f.vms, seed)
		}
	}
}
