package swim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// event is a step of a VM or the arrival of a message.
type event struct {
	at          clock.Time
	seq         uint64 // orders events of the same time by creation
	step        *simVM // nil for a message
	incarnation int    // of the VM that steps
	to          string
	m           *Message
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
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
	node          Node
	d             *Detector
	incarnation   int // counts its processes
	up            bool
	frozen        bool
	stepAt        clock.Time
	sent          int
	group         int // VMs of different groups can't reach each other
	dropsIncoming bool
}

// sim is a simulated network of VMs with a manual clock.
type sim struct {
	now      clock.Time
	rand     *rand.Rand
	queue    events
	eventSeq uint64
	vms      []*simVM
	byPeer   map[string]*simVM
	loss     float64
}

func newSim(vms int, seed uint64) *sim {
	s := &sim{now: clock.Time(time.Hour), rand: rand.New(rand.NewPCG(seed, 1)), byPeer: map[string]*simVM{}}
	for i := range vms {
		s.add(i)
	}
	return s
}

func (s *sim) add(i int) *simVM {
	peer := fmt.Sprintf("10.%d.%d.%d:7380", i%5, i/250, i%250)
	v := &simVM{node: Node{Zone: fmt.Sprint("z", i%5), Caller: peer + "0", Peer: peer, Capacity: 100}}
	s.vms = append(s.vms, v)
	s.byPeer[peer] = v
	return v
}

// start starts a process of v that reads the VMs in listed from the platform.
func (s *sim) start(v *simVM, version uint64, listed []*simVM) {
	v.incarnation++
	v.up, v.frozen, v.stepAt = true, false, 0
	n := v.node
	n.Incarnation = fmt.Sprint(v.node.Peer, "#", v.incarnation)
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
	s.eventSeq++
	e.seq = s.eventSeq
	heap.Push(&s.queue, e)
}

func (s *sim) schedule(v *simVM) {
	next := max(v.d.NextStepAt(), s.now)
	if v.stepAt != 0 && v.stepAt <= next {
		return
	}
	v.stepAt = next
	s.push(event{at: next, step: v, incarnation: v.incarnation})
}

func (s *sim) send(v *simVM, out []Outgoing) {
	for i := range out {
		v.sent++
		to := s.byPeer[out[i].To]
		if to == nil || to.group != v.group || s.rand.Float64() < s.loss {
			continue
		}
		delay := time.Millisecond/2 + time.Duration(s.rand.Int64N(int64(3*time.Millisecond)))
		s.push(event{at: s.now.Add(delay), to: out[i].To, m: &out[i].Message})
	}
}

// run advances the simulated time by d.
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
	if v.incarnation != e.incarnation || !v.up || v.frozen || e.at < v.stepAt {
		return
	}
	v.stepAt = 0
	s.send(v, v.d.Step(s.now))
	s.schedule(v)
}

func (s *sim) deliver(e event) {
	v := s.byPeer[e.to]
	if !v.up || v.frozen || v.dropsIncoming {
		return
	}
	s.send(v, v.d.Receive(s.now, e.m))
	s.schedule(v)
}

// thaw resumes a frozen VM.
func (s *sim) thaw(v *simVM) {
	v.frozen, v.stepAt = false, 0
	s.schedule(v)
}

// live returns the VMs whose processes run.
func (s *sim) live() []*simVM {
	var out []*simVM
	for _, v := range s.vms {
		if v.up && !v.frozen {
			out = append(out, v)
		}
	}
	return out
}

// wrongViews counts, over all pairs of observer and observed VM, the live VMs that are assumed dead
// and the dead ones that are assumed alive.
func (s *sim) wrongViews() (falseDead, falseAlive int) {
	for _, o := range s.live() {
		for _, v := range s.vms {
			if v == o {
				continue
			}
			e := o.d.entries[v.node.Peer]
			seenAlive := e != nil && e.Alive(s.now)
			alive := v.up && !v.frozen
			if alive && !seenAlive {
				falseDead++
			}
			if !alive && seenAlive {
				falseAlive++
			}
		}
	}
	return falseDead, falseAlive
}

// converge runs until no view is wrong and returns how long that took, or timeout if it didn't
// happen.
func (s *sim) converge(timeout time.Duration) time.Duration {
	const pollInterval = 100 * time.Millisecond
	for t := time.Duration(0); t < timeout; t += pollInterval {
		if m, g := s.wrongViews(); m+g == 0 {
			return t
		}
		s.run(pollInterval)
	}
	return timeout
}

// messageRate runs for d and returns the mean and the highest number of messages that a VM sends
// per second.
func (s *sim) messageRate(d time.Duration) (mean, highest float64) {
	for _, v := range s.vms {
		v.sent = 0
	}
	s.run(d)
	all := 0
	for _, v := range s.vms {
		all += v.sent
		highest = max(highest, float64(v.sent)/d.Seconds())
	}
	return float64(all) / d.Seconds() / float64(len(s.vms)), highest
}

func (s *sim) sample(n int) []*simVM {
	out := slices.Clone(s.vms)
	s.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:n]
}
