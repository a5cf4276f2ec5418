package dispatch

import (
	"sync"
	"sync/atomic"
)

// Totals are running totals of one pool since the start of the process.
type Totals struct {
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
	Refused      uint64
	OnTime       uint64
}

// Counts holds the running totals by pool.
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

// StreamCounts are running totals over the attempts of completions.
type StreamCounts struct {
	Attempts uint64 `json:"attempts"`
	Resumed  uint64 `json:"resumed"` // attempts that resumed a stream
	Moved    uint64 `json:"moved"`   // attempts ended by a planned change
	Dropped  uint64 `json:"dropped"` // tokens that were late, repeated or from another attempt
	Crashes  uint64 `json:"crashes"` // attempts whose engine crashed
}

// streamCounts holds the counters behind StreamCounts.
type streamCounts struct{ attempts, resumed, moved, dropped, crashes atomic.Uint64 }

// Streams returns the running totals over the attempts.
func (d *Dispatcher) Streams() StreamCounts {
	c := &d.streams
	return StreamCounts{
		Attempts: c.attempts.Load(), Resumed: c.resumed.Load(), Moved: c.moved.Load(),
		Dropped: c.dropped.Load(), Crashes: c.crashes.Load(),
	}
}
