package admit

import (
	"slices"
	"time"
)

// flow is a node of the fair-queueing tree: the root, a class, a workspace, or the short or long
// requests of a caller. Start-time fair queueing serves the child with the lowest start tag. The tag
// of a child advances by the estimated cost of its served requests divided by its weight, so that each
// backlogged child gets its share of the slots' time regardless of how many requests it sends.
type flow struct {
	parent      *flow
	key         flowKey
	weight      float64
	urgent      bool    // set for a class
	startTag    float64 // compared with its siblings
	virtualTime float64 // of its children
	queue       []*Request
	cost        time.Duration // of the requests queued in its subtree
	count       int           // of the requests queued in its subtree
	active      []*flow       // children with queued requests
	children    map[flowKey]*flow
}

type flowKey struct {
	name string
	long bool
}

func newFlow(parent *flow, k flowKey, weight float64) *flow {
	return &flow{parent: parent, key: k, weight: weight, children: map[flowKey]*flow{}}
}

// child returns the child with key k, and creates it if there is none.
func (f *flow) child(k flowKey, weight float64) *flow {
	c := f.children[k]
	if c == nil {
		c = newFlow(f, k, weight)
		c.startTag = f.virtualTime
		f.children[k] = c
	}
	return c
}

// push queues r in the leaf f and activates the path to the root. A child that was idle starts at the
// current virtual time: idle time earns no credit.
func (f *flow) push(r *Request) {
	f.queue = append(f.queue, r)
	f.addCost(r)
}

// pushFront puts r, which was dispatched but has not run, back at the front and refunds its cost.
func (f *flow) pushFront(r *Request) {
	f.queue = slices.Insert(f.queue, 0, r)
	f.addCost(r)
	for n := f; n.parent != nil; n = n.parent {
		n.startTag -= float64(r.cost) / n.weight
	}
}

func (f *flow) addCost(r *Request) {
	for n := f; n != nil; n = n.parent {
		n.cost += r.cost
		n.count++
		if p := n.parent; p != nil && n.count == 1 {
			n.startTag = max(n.startTag, p.virtualTime)
			p.active = append(p.active, n)
		}
	}
}

// changeCost adds d to the queued cost of f and its parents.
func (f *flow) changeCost(d time.Duration) {
	for n := f; n != nil; n = n.parent {
		n.cost += d
	}
}

// remove removes r from the leaf f. If r was served, its cost is charged to the flows up to the root.
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
			p.virtualTime = max(p.virtualTime, n.startTag)
			n.startTag += float64(r.cost) / n.weight
		}
		if n.count == 0 {
			p.deactivate(n)
		}
	}
}

// maxIdleChildren bounds the idle children that a node keeps. They are kept for their start tags, so
// that a flow doesn't start anew when its queue is empty for a moment. A child whose tag is not ahead
// of the virtual time needs no state.
const maxIdleChildren = 1024

func (f *flow) deactivate(n *flow) {
	i := slices.Index(f.active, n)
	last := len(f.active) - 1
	f.active[i] = f.active[last]
	f.active[last] = nil
	f.active = f.active[:last]
	if len(f.active) == 0 {
		// No child is backlogged, so all of them may start again with the same tag.
		for _, k := range f.children {
			f.virtualTime = max(f.virtualTime, k.startTag)
		}
		clear(f.children)
		return
	}
	if n.startTag <= f.virtualTime || len(f.children) > maxIdleChildren {
		delete(f.children, n.key)
	}
}

// prune deletes the leaf f and its parents up to the first one that has state. Otherwise refused
// requests with many different names would fill the memory.
func (f *flow) prune() {
	for n := f; n.parent != nil && n.count == 0 && n.startTag <= n.parent.virtualTime; n = n.parent {
		delete(n.parent.children, n.key)
	}
}

// blocked says which requests may not be dispatched now.
type blocked struct{ normal, urgent, long bool }

func (b blocked) blocks(r *Request) bool {
	if b.long && r.long {
		return true
	}
	if r.class.Urgent {
		return b.urgent
	}
	return b.normal
}

// nextLeaf returns the leaf to be served next, or nil if none may be served.
func (f *flow) nextLeaf(skip blocked) *flow {
	if len(f.queue) > 0 {
		if skip.blocks(f.queue[0]) {
			return nil
		}
		return f
	}
	var best, leaf *flow
	for _, n := range f.active {
		if best != nil && n.startTag >= best.startTag {
			continue
		}
		if l := n.nextLeaf(skip); l != nil {
			best, leaf = n, l
		}
	}
	return leaf
}

// share returns the share of the slots' time that the leaf f gets among the flows that are backlogged
// now, including f: the product of its shares at each node up to the root.
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

// largestLeaf returns the leaf that is reached by following the child with the highest queued cost.
func (f *flow) largestLeaf() *flow {
	if len(f.active) == 0 {
		return f
	}
	largest := f.active[0]
	for _, n := range f.active[1:] {
		if n.cost > largest.cost {
			largest = n
		}
	}
	return largest.largestLeaf()
}
