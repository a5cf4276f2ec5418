package admit

import (
	"slices"
	"time"
)

// flow is a node of the fair-queueing tree: the root, a class, a workspace, or
// a caller's short or long requests. Start-time fair queueing serves the child
// with the earliest start tag; a child's tag advances by the estimated cost of
// what it was served over its weight. So each backlogged child gets its share
// of the slots' time, however many requests it sends.
type flow struct {
	parent *flow
	key    flowKey
	weight float64
	urgent bool    // of a class
	start  float64 // tag among its siblings
	now    float64 // virtual time of its children
	queue  []*Request
	cost   time.Duration // queued below
	count  int
	active []*flow
	kids   map[flowKey]*flow
}

type flowKey struct {
	name string
	long bool
}

func newFlow(parent *flow, k flowKey, weight float64) *flow {
	return &flow{parent: parent, key: k, weight: weight, kids: map[flowKey]*flow{}}
}

// child returns the named child and makes it when absent.
func (f *flow) child(k flowKey, weight float64) *flow {
	c := f.kids[k]
	if c == nil {
		c = newFlow(f, k, weight)
		c.start = f.now
		f.kids[k] = c
	}
	return c
}

// push queues r in the leaf f and activates the way to the root. A child that
// was idle starts at the present: it has saved up no claim.
func (f *flow) push(r *Request) {
	f.queue = append(f.queue, r)
	f.account(r)
}

// unshift puts r, which was served but not run, back in front.
func (f *flow) unshift(r *Request) {
	f.queue = slices.Insert(f.queue, 0, r)
	f.account(r)
	for n := f; n.parent != nil; n = n.parent {
		n.start -= float64(r.cost) / n.weight
	}
}

func (f *flow) account(r *Request) {
	for n := f; n != nil; n = n.parent {
		n.cost += r.cost
		n.count++
		if p := n.parent; p != nil && n.count == 1 {
			n.start = max(n.start, p.now)
			p.active = append(p.active, n)
		}
	}
}

// remove takes r out of the leaf f. served charges its cost.
func (f *flow) remove(r *Request, served bool) {
	if f.queue[0] == r {
		f.queue[0] = nil
		f.queue = f.queue[1:]
	} else {
		i := slices.Index(f.queue, r)
		f.queue = slices.Delete(f.queue, i, i+1)
	}
	for n := f; n != nil; n = n.parent {
		n.cost -= r.cost
		n.count--
		p := n.parent
		if p == nil {
			continue
		}
		if served {
			p.now = max(p.now, n.start)
			n.start += float64(r.cost) / n.weight
		}
		if n.count == 0 {
			p.deactivate(n)
		}
	}
}

// maxIdleKids bounds the idle children that a node remembers. They are kept
// for their start tags, so that a flow which empties its queue for a moment
// doesn't begin anew; those behind the virtual time have nothing to remember.
const maxIdleKids = 1024

func (f *flow) deactivate(n *flow) {
	i := slices.Index(f.active, n)
	last := len(f.active) - 1
	f.active[i] = f.active[last]
	f.active[last] = nil
	f.active = f.active[:last]
	if len(f.active) == 0 {
		// Nobody is left to be fair to: all start anew together.
		for _, k := range f.kids {
			f.now = max(f.now, k.start)
		}
		clear(f.kids)
		return
	}
	if n.start <= f.now || len(f.kids) > maxIdleKids {
		delete(f.kids, n.key)
	}
}

// prune forgets the leaf f and its parents as far as nothing was ever queued
// there, or refused requests of many names would fill the memory.
func (f *flow) prune() {
	for n := f; n.parent != nil && n.count == 0 && n.start <= n.parent.now; n = n.parent {
		delete(n.parent.kids, n.key)
	}
}

// closed says what may not be served now.
type closed struct{ normal, urgent, long bool }

func (c closed) bars(r *Request) bool {
	if c.long && r.long {
		return true
	}
	if r.class.Urgent {
		return c.urgent
	}
	return c.normal
}

// first returns the leaf to be served next, nil if none may be.
func (f *flow) first(bar closed) *flow {
	if len(f.queue) > 0 {
		if bar.bars(f.queue[0]) {
			return nil
		}
		return f
	}
	var best, leaf *flow
	for _, n := range f.active {
		if best != nil && n.start >= best.start {
			continue
		}
		if l := n.first(bar); l != nil {
			best, leaf = n, l
		}
	}
	return leaf
}

// share is the part of the slots' time that the leaf f gets among the flows
// that are backlogged now, f included, up to the root.
func (f *flow) share() float64 {
	s := 1.0
	for n := f; n.parent != nil; n = n.parent {
		sum := n.weight
		for _, k := range n.parent.active {
			if k != n && k.urgent == n.urgent {
				sum += k.weight
			}
		}
		s *= n.weight / sum
	}
	return s
}

// largest returns the leaf with the most queued cost.
func (f *flow) largest() *flow {
	if len(f.active) == 0 {
		return f
	}
	top := f.active[0]
	for _, n := range f.active[1:] {
		if n.cost > top.cost {
			top = n
		}
	}
	return top.largest()
}
