package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// event is a step of a VM, or a message that arrives.
type event struct {
	at   clock.Time
	n    uint64 // breaks ties in the order of making
	step *simVM // nil for a message
	life int    // of the VM that steps
	to   string
	m    *Message
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) } //nolint:forcetypeassert // the heap holds nothing else
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simVM is a VM of the simulation.
type simVM struct {
	node   Node
	d      *Detector
	life   int // counts its processes
	up     bool
	frozen bool
	stepAt clock.Time
	sent   int
	group  int // VMs of different groups don't reach each other
	deafen bool
}

// sim is a network of VMs in fake time.
type sim struct {
	now   clock.Time
	rand  *rand.Rand
	queue events
	n     uint64
	vms   []*simVM
	by    map[string]*simVM
	loss  float64
}

func newSim(vms int, seed uint64) *sim {
	s := &sim{now: clock.Time(time.Hour), rand: rand.New(rand.NewPCG(seed, 1)), by: map[string]*simVM{}}
	for i := range vms {
		s.add(i)
	}
	return s
}

func (s *sim) add(i int) *simVM {
	peer := fmt.Sprintf("10.%d.%d.%d:7380", i%5, i/250, i%250)
	v := &simVM{node: Node{Zone: fmt.Sprint("z", i%5), Caller: peer + "0", Peer: peer, Capacity: 100}}
	s.vms = append(s.vms, v)
	s.by[peer] = v
	return v
}

// start starts a process of v that reads listed from the platform.
func (s *sim) start(v *simVM, version uint64, listed []*simVM) {
	v.life++
	v.up, v.frozen, v.stepAt = true, false, 0
	n := v.node
	n.Incarnation = fmt.Sprint(v.node.Peer, "#", v.life)
	v.d = New(Record{Node: n, Version: version, Ready: true}, s.rand.Uint64(), s.now)
	nodes := make([]Node, len(listed))
	for i, l := range listed {
		nodes[i] = l.node
	}
	v.d.MergeListed(s.now, nodes)
	s.schedule(v)
}

// startAll starts every VM within 0.3 s; the platform lists the first few.
func (s *sim) startAll(listed int) {
	for _, v := range s.vms {
		s.run(300 * time.Millisecond / time.Duration(len(s.vms)))
		s.start(v, 1000, s.vms[:min(listed, len(s.vms))])
	}
}

func (s *sim) push(e event) {
	s.n++
	e.n = s.n
	heap.Push(&s.queue, e)
}

func (s *sim) schedule(v *simVM) {
	next := max(v.d.NextStepAt(), s.now)
	if v.stepAt != 0 && v.stepAt <= next {
		return
	}
	v.stepAt = next
	s.push(event{at: next, step: v, life: v.life})
}

func (s *sim) send(v *simVM, out []Outgoing) {
	for i := range out {
		v.sent++
		to := s.by[out[i].To]
		if to == nil || to.group != v.group || s.rand.Float64() < s.loss {
			continue
		}
		delay := time.Millisecond/2 + time.Duration(s.rand.Int64N(int64(3*time.Millisecond)))
		s.push(event{at: s.now.Add(delay), to: out[i].To, m: &out[i].Message})
	}
}

// run lets d of simulated time go by.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e, _ := heap.Pop(&s.queue).(event)
		s.now = e.at
		if e.step != nil {
			s.step(e)
		} else {
			s.deliver(e)
		}
	}
	s.now = end
}

func (s *sim) step(e event) {
	v := e.step
	if v.life != e.life || !v.up || v.frozen || e.at < v.stepAt {
		return
	}
	v.stepAt = 0
	s.send(v, v.d.Step(s.now))
	s.schedule(v)
}

func (s *sim) deliver(e event) {
	v := s.by[e.to]
	if !v.up || v.frozen || v.deafen {
		return
	}
	s.send(v, v.d.Receive(s.now, e.m))
	s.schedule(v)
}

// thaw wakes a frozen VM.
func (s *sim) thaw(v *simVM) {
	v.frozen, v.stepAt = false, 0
	s.schedule(v)
}

// live are the VMs whose processes run.
func (s *sim) live() []*simVM {
	var out []*simVM
	for _, v := range s.vms {
		if v.up && !v.frozen {
			out = append(out, v)
		}
	}
	return out
}

// wrong counts, over all pairs of observer and observed, those in which a VM that
// lives isn't believed to, and those in which a dead one is.
func (s *sim) wrong() (missed, ghosts int) {
	for _, o := range s.live() {
		for _, v := range s.vms {
			if v == o {
				continue
			}
			e := o.d.entries[v.node.Peer]
			believed := e != nil && e.Alive(s.now)
			lives := v.up && !v.frozen
			if lives && !believed {
				missed++
			}
			if !lives && believed {
				ghosts++
			}
		}
	}
	return missed, ghosts
}

// until runs until wrong is zero for both, and returns how long it took; most if
// it didn't come.
func (s *sim) until(most time.Duration) time.Duration {
	const look = 100 * time.Millisecond
	for t := time.Duration(0); t < most; t += look {
		if m, g := s.wrong(); m+g == 0 {
			return t
		}
		s.run(look)
	}
	return most
}

// rate runs for d and returns the messages that a VM sends in a second: in the mean
// and at most.
func (s *sim) rate(d time.Duration) (mean, most float64) {
	for _, v := range s.vms {
		v.sent = 0
	}
	s.run(d)
	all := 0
	for _, v := range s.vms {
		all += v.sent
		most = max(most, float64(v.sent)/d.Seconds())
	}
	return float64(all) / d.Seconds() / float64(len(s.vms)), most
}

func (s *sim) some(n int) []*simVM {
	out := slices.Clone(s.vms)
	s.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:n]
}
