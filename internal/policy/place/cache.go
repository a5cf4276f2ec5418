package place

import "container/list"

// cache is an estimate of what an engine has cached. Like the engine, it evicts the least recently
// used parts first.
type cache struct {
	capacity int        // tokens
	used     int        // tokens
	lru      *list.List // of Part, most recently used first
	entries  map[uint64]*list.Element
}

// cacheShare is the share of an engine's memory that is assumed to hold cached parts. The rest is
// taken by requests that are running or waiting for their KV cache transfer.
const cacheShare = 0.85

// defaultCacheTokens is the assumed memory of an engine until the configuration specifies it. After
// a restart, a VM receives the endpoints and what they have cached from peers before it reads the
// configuration.
const defaultCacheTokens = 1 << 19

func newCache(tokens int) cache {
	c := cache{lru: list.New(), entries: map[uint64]*list.Element{}}
	c.resize(tokens)
	return c
}

// resize sets the engine's memory to what the configuration specifies now. It is needed for each new
// view: a cache that kept the size from the time at which its engine was first seen would stay empty
// as long as the engine runs if that was before the configuration was read.
func (c *cache) resize(tokens int) {
	if tokens <= 0 {
		tokens = defaultCacheTokens
	}
	c.capacity = int(cacheShare * float64(tokens))
	c.evict()
}

// prefixTokens returns the number of tokens in the leading parts that are cached. A part counts
// only if all parts before it are cached too.
func (c *cache) prefixTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.entries[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// add records that a prompt's parts were prefilled. The first part becomes the most recently used.
// The request's own part won't be used again, but it takes memory from the others until it is
// evicted.
func (c *cache) add(parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		c.touch(parts[i])
	}
	c.evict()
}

// evict removes the least recently used parts until the rest fits.
func (c *cache) evict() {
	for c.used > c.capacity {
		last := c.lru.Back()
		p, _ := c.lru.Remove(last).(Part)
		delete(c.entries, p.ID)
		c.used -= p.Tokens
	}
}

func (c *cache) touch(p Part) {
	if e := c.entries[p.ID]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.entries[p.ID] = c.lru.PushFront(p)
	c.used += p.Tokens
}

// largeParts returns the parts that are long enough to affect placement, most recently used first.
func (c *cache) largeParts() []Part {
	var out []Part
	for e := c.lru.Front(); e != nil; e = e.Next() {
		if p, _ := e.Value.(Part); p.Tokens >= minSharedTokens {
			out = append(out, p)
		}
	}
	return out
}
