package admit

// serviceOrder returns the queued requests of a flow's subtree in the order in which they would be served
// if every request could be dispatched.
func serviceOrder(f *flow) []*Request {
	c := newCursor(f)
	order := make([]*Request, 0, c.left)
	for c.left > 0 {
		order = append(order, c.next())
	}
	return order
}

// cursor is a copy of a flow's scheduling state, from which requests are taken without changing the flow.
type cursor struct {
	startTag float64
	weight   float64
	left     int // requests in its subtree
	queue    []*Request
	children []*cursor
}

func newCursor(f *flow) *cursor {
	c := &cursor{startTag: f.startTag, weight: f.weight, left: f.count, queue: f.queue}
	for _, child := range f.active {
		c.children = append(c.children, newCursor(child))
	}
	return c
}

// next takes the request that is served next. left must be positive.
func (c *cursor) next() *Request {
	c.left--
	if len(c.children) == 0 {
		r := c.queue[0]
		c.queue = c.queue[1:]
		return r
	}
	var best *cursor
	for _, child := range c.children {
		if child.left > 0 && (best == nil || child.startTag < best.startTag) {
			best = child
		}
	}
	r := best.next()
	best.startTag += float64(r.cost) / best.weight
	return r
}
