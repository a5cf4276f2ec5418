package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	simEndpoints = 8
	simSlots     = 8
	simStream    = 2 * time.Second // mean length of a stream
	simLatency   = time.Millisecond
	simBeat      = 200 * time.Millisecond // between two reports of a VM
	simWarmUp    = 3 * time.Second
	// simRejections is how many endpoints may reject a request before it is refused.
	simRejections = 2
)

// poolSim simulates VMs that send streams to alike endpoints. An endpoint rejects what exceeds its slots.
type poolSim struct {
	random   *rand.Rand
	now      clock.Time
	events   simEvents
	sequence int
	planners []*Planner
	open     []*catalog.Endpoint
	running  map[string]int
	load     float64 // share of all slots that callers need
	whole    bool    // streams are placed as prompts, else as plain calls

	requests, refused, attempts, rejected int
	streams                               map[string]int
}

type simEvent struct {
	at    clock.Time
	order int
	run   func()
}

type simEvents []simEvent

func (q simEvents) Len() int { return len(q) }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newPoolSim(vms int, load float64, whole bool, seed uint64) *poolSim {
	s := &poolSim{
		random: rand.New(rand.NewPCG(seed, 1)), load: load, whole: whole,
		running: map[string]int{}, streams: map[string]int{},
	}
	manual := clock.Manual{}
	store := catalog.NewStore(&manual)
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "labels", Engine: &catalog.Engine{CacheTokens: 900_000}}}))
	for i := range simEndpoints {
		e := engine(fmt.Sprintf("e%02d", i), catalog.Whole)
		e.Slots = simSlots
		store.SetEndpoint(e)
	}
	s.open = store.View().Available("labels")
	for i := range vms {
		p := New("z", seed*1000+uint64(i))
		p.SetView(store.View())
		s.planners = append(s.planners, p)
	}
	return s
}

func (s *poolSim) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.sequence, run})
}

func (s *poolSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-s.random.Float64()) * float64(mean))
}

func (s *poolSim) measured() bool { return s.now >= clock.Time(0).Add(simWarmUp) }

// run simulates the warm-up and then length, which is measured.
func (s *poolSim) run(length time.Duration) {
	for i, p := range s.planners {
		s.after(time.Duration(i)*simBeat/time.Duration(len(s.planners)), func() { s.beat(i, p) })
	}
	s.arrive()
	for s.now < clock.Time(0).Add(simWarmUp+length) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// beat sends the reports of a VM to the others.
func (s *poolSim) beat(vm int, p *Planner) {
	reports := p.Outstanding()
	s.after(simLatency, func() {
		for i, other := range s.planners {
			if i != vm {
				other.ReceiveReport(s.now, fmt.Sprint(vm), reports, Demand{})
			}
		}
	})
	s.after(simBeat, func() { s.beat(vm, p) })
}

// arrive has a caller send a request to a random VM, and the next one later.
func (s *poolSim) arrive() {
	perSecond := s.load * simEndpoints * simSlots / simStream.Seconds()
	s.after(s.exponential(time.Duration(float64(time.Second)/perSecond)), s.arrive)
	if s.measured() {
		s.requests++
	}
	s.send(s.planners[s.random.IntN(len(s.planners))], map[string]bool{}, s.random.Uint64())
}

// choose returns the endpoint for a request.
func (s *poolSim) choose(p *Planner, tried map[string]bool, id uint64) (*catalog.Endpoint, Job) {
	if !s.whole {
		return p.ChooseEndpoint(s.now, s.open, tried), Job{}
	}
	plan, _ := p.Plan(s.now, s.open, &Prompt{Parts: []Part{{id, 200}}, Tokens: 200}, tried)
	return plan.Engine, plan.Job()
}

// send sends a request to an endpoint.
func (s *poolSim) send(p *Planner, tried map[string]bool, id uint64) {
	e, job := s.choose(p, tried, id)
	if e == nil || len(tried) >= simRejections {
		if s.measured() {
			s.refused++
		}
		return
	}
	if s.measured() {
		s.attempts++
	}
	t := p.Begin(s.now, e, job)
	s.after(simLatency, func() {
		accepted := s.running[e.ID] < simSlots
		if accepted {
			s.running[e.ID]++
		}
		held := s.running[e.ID]
		s.after(simLatency, func() { s.answer(p, t, tried, id, accepted, held) })
	})
}

// answer handles the header of an endpoint's answer.
func (s *poolSim) answer(p *Planner, t *Ticket, tried map[string]bool, id uint64, accepted bool, held int) {
	e := t.s.ep
	if !accepted {
		if s.measured() {
			s.rejected++
		}
		p.RecordRejection(s.now, t, held)
		p.End(s.now, t, Rejected)
		tried[e.ID] = true
		s.send(p, tried, id)
		return
	}
	if s.measured() {
		s.streams[e.ID]++
	}
	p.RecordAccepted(s.now, t, held-1)
	p.PrefillDone(s.now, t, nil)
	s.after(s.exponential(simStream), func() {
		s.running[e.ID]--
		s.after(simLatency, func() { p.End(s.now, t, Success) })
	})
}

// busiest returns the ratio of the streams at the busiest endpoint to the mean.
func (s *poolSim) busiest() float64 {
	total, most := 0, 0
	for _, n := range s.streams {
		total, most = total+n, max(most, n)
	}
	return float64(most*simEndpoints) / float64(max(total, 1))
}

// simSize returns the seeds and the measured time of a simulation. The reports that many VMs send each other take most
// of the time that it needs.
func simSize(vms int) (seeds []uint64, length time.Duration) {
	if vms > 10 {
		return []uint64{1, 2}, 30 * time.Second
	}
	return []uint64{1, 2, 3}, time.Minute
}

// Guards against requests that are sent to endpoints which have just rejected others, or to one or two of many
// alike endpoints: they are refused while other endpoints have free slots.
func TestAlikeEndpointsShareTheLoad(t *testing.T) {
	for _, vms := range []int{1, 6, 60} {
		for kind, whole := range map[string]bool{"calls": false, "prompts": true} {
			for share, load := range map[string]float64{"a_third": 1.0 / 3, "two_thirds": 2.0 / 3} {
				t.Run(fmt.Sprintf("%s_of_%d_vms_at_%s", kind, vms, share), func(t *testing.T) {
					seeds, length := simSize(vms)
					for _, seed := range seeds {
						s := newPoolSim(vms, load, whole, seed)
						s.run(length)
						s.check(t, seed)
					}
				})
			}
		}
	}
}

// check checks what is asked of alike endpoints without faults.
func (s *poolSim) check(t *testing.T, seed uint64) {
	const (
		maxBusiest       = 1.5
		maxRefusedShare  = 0.01
		maxRejectedShare = 0.05
	)
	refused, rejected := float64(s.refused)/float64(s.requests), float64(s.rejected)/float64(s.attempts)
	t.Logf("seed %d: %d requests, refused %.4f, rejected attempts %.4f, busiest %.2f times the mean", seed, s.requests, refused, rejected, s.busiest())
	assert.Check(t, s.busiest() <= maxBusiest)
	assert.Check(t, refused < maxRefusedShare)
	assert.Check(t, rejected < maxRejectedShare)
}
