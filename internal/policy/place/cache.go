package place

import "container/list"

// cache is what an engine is believed to have cached, with the least recently
// used parts yielding as they do in the engine.
type cache struct {
	capacity int // tokens
	used     int
	order    *list.List // of Part, most recently used first
	at       map[uint64]*list.Element
}

// cacheShare of an engine's memory is believed to hold parts that were read: the
// rest is taken by requests that run or wait to be handed over.
const cacheShare = 0.85

// unsizedTokens is the memory that an engine is taken to have until the
// configuration says: after a restart of a VM the endpoints, and what they have
// cached, are heard from peers before the configuration is read.
const unsizedTokens = 1 << 19

func newCache(tokens int) cache {
	c := cache{order: list.New(), at: map[uint64]*list.Element{}}
	c.resize(tokens)
	return c
}

// resize takes the engine's memory as the configuration has it now. A belief
// that kept the size of the moment in which its engine was first heard of would
// keep nothing for the engine's whole life if that was before the configuration.
func (c *cache) resize(tokens int) {
	if tokens <= 0 {
		tokens = unsizedTokens
	}
	c.capacity = int(cacheShare * float64(tokens))
	c.yield()
}

// prefix returns the tokens of the leading parts that are cached: a part counts
// only if all before it are cached too.
func (c *cache) prefix(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.at[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// add notes that a prompt's parts were read, the first of them used last. The
// request's own part isn't asked for again, but takes memory from the others
// until it yields.
func (c *cache) add(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i])
	}
	c.yield()
}

// yield forgets the least recently used parts that no longer fit.
func (c *cache) yield() {
	for c.used > c.capacity {
		last := c.order.Back()
		p, _ := c.order.Remove(last).(Part)
		delete(c.at, p.ID)
		c.used -= p.Tokens
	}
}

func (c *cache) touch(p Part) {
	if e := c.at[p.ID]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.at[p.ID] = c.order.PushFront(p)
	c.used += p.Tokens
}

// parts returns the parts that are worth steering for, the most recently used first.
func (c *cache) parts() []Part {
	var out []Part
	for e := c.order.Front(); e != nil; e = e.Next() {
		if p, _ := e.Value.(Part); p.Tokens >= minShared {
			out = append(out, p)
		}
	}
	return out
}
