package dispatch

import "sync"

// Totals are running totals of one pool since the start of the process.
type Totals struct {
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
	Refused      uint64
	OnTime       uint64
}

// Counts holds the totals by pool.
type Counts struct {
	mu    sync.Mutex
	pools map[string]*Totals
}

func newCounts() *Counts { return &Counts{pools: map[string]*Totals{}} }

func (c *Counts) add(pool string, f func(t *Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pools[pool]
	if t == nil {
		t = &Totals{}
		c.pools[pool] = t
	}
	f(t)
}

// Snapshot returns a copy of the totals.
func (c *Counts) Snapshot() map[string]Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Totals, len(c.pools))
	for name, t := range c.pools {
		out[name] = *t
	}
	return out
}
