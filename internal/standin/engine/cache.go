package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// maxEvents is the maximum number of cache events kept for readers.
const maxEvents = 10_000

// blockKey identifies one block of KV cache. Each version and adapter of a model has its own KV cache.
type blockKey struct {
	version, adapter string
	blockID          uint64 // its id in cache events
}

func blockKeys(req *httpapi.Generate) []blockKey {
	blocks := httpapi.BlockKeys(req.Model, req.Prompt)
	keys := make([]blockKey, len(blocks))
	for i, p := range blocks {
		keys[i] = blockKey{req.Version, req.Adapter, p}
	}
	return keys
}

// prefixCache is an LRU cache of the KV cache blocks of prompt prefixes.
type prefixCache struct {
	maxBlocks   int
	incarnation string
	eventLoss   float64
	eventLag    time.Duration
	lru         *list.List // of blockKey, most recently used first
	blocks      map[blockKey]*list.Element
	seq         uint64
	events      []timedEvent
}

type timedEvent struct {
	at time.Time
	driver.CacheEvent
}

func newPrefixCache(cfg *Config, incarnation string) *prefixCache {
	return &prefixCache{
		maxBlocks:   cfg.CacheBlocks,
		incarnation: incarnation,
		eventLoss:   cfg.EventLoss,
		eventLag:    cfg.EventLag,
		lru:         list.New(),
		blocks:      map[blockKey]*list.Element{},
	}
}

// hits returns how many leading blocks are cached, and marks them as used.
func (c *prefixCache) hits(keys []blockKey) int {
	for i, k := range keys {
		e, ok := c.blocks[k]
		if !ok {
			return i
		}
		c.lru.MoveToFront(e)
	}
	return len(keys)
}

// add inserts the blocks and evicts the least recently used ones above the cache's size. With drop it
// loses the cache events.
func (c *prefixCache) add(keys []blockKey, drop bool) {
	for _, k := range keys {
		if e, ok := c.blocks[k]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[k] = c.lru.PushFront(k)
		c.recordEvent(k, false, drop)
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Back()
		k := c.lru.Remove(oldest).(blockKey)
		delete(c.blocks, k)
		c.recordEvent(k, true, drop)
	}
}

func (c *prefixCache) free() int { return c.maxBlocks - c.lru.Len() }

// recordEvent increments Seq for a lost event too, so that a reader sees the gap.
func (c *prefixCache) recordEvent(k blockKey, evicted, drop bool) {
	c.seq++
	if drop || rand.Float64() < c.eventLoss {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), driver.CacheEvent{
		Seq: c.seq, Incarnation: c.incarnation, Piece: k.blockID, Evicted: evicted,
	}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after seq that are at least as old as the event lag.
func (c *prefixCache) eventsAfter(seq uint64, now time.Time) []driver.CacheEvent {
	visible := []driver.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.eventLag {
			visible = append(visible, e.CacheEvent)
		}
	}
	return visible
}
