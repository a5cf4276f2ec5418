package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// maxEvents bounds the cache events kept for readers.
const maxEvents = 10_000

// pieceKey names one piece of KV cache. Versions and adapters of a model have
// KV caches of their own.
type pieceKey struct {
	version, adapter string
	piece            uint64 // as cache events name it
}

func pieceKeys(req *httpapi.Generate) []pieceKey {
	pieces := httpapi.BlockKeys(req.Model, req.Prompt)
	keys := make([]pieceKey, len(pieces))
	for i, p := range pieces {
		keys[i] = pieceKey{req.Version, req.Adapter, p}
	}
	return keys
}

// prefixCache is the least-recently-used cache of prompt prefix pieces.
type prefixCache struct {
	size        int
	incarnation string
	loss        float64
	lag         time.Duration
	order       *list.List // newest first, of pieceKey
	pieces      map[pieceKey]*list.Element
	seq         uint64
	events      []timedEvent
}

type timedEvent struct {
	at time.Time
	driver.CacheEvent
}

func newPrefixCache(cfg *Config, incarnation string) *prefixCache {
	return &prefixCache{
		size:        cfg.CachePieces,
		incarnation: incarnation,
		loss:        cfg.EventLoss,
		lag:         cfg.EventLag,
		order:       list.New(),
		pieces:      map[pieceKey]*list.Element{},
	}
}

// hits returns how many leading pieces are cached, and marks them as used.
func (c *prefixCache) hits(keys []pieceKey) int {
	for i, k := range keys {
		e, ok := c.pieces[k]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(keys)
}

// add puts the pieces in and evicts the least recently used ones.
func (c *prefixCache) add(keys []pieceKey, drop bool) {
	for _, k := range keys {
		if e, ok := c.pieces[k]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.pieces[k] = c.order.PushFront(k)
		c.event(k, false, drop)
	}
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		k := c.order.Remove(oldest).(pieceKey)
		delete(c.pieces, k)
		c.event(k, true, drop)
	}
}

func (c *prefixCache) free() int { return c.size - c.order.Len() }

// event counts Seq up also for an event that gets lost, so that a gap shows.
func (c *prefixCache) event(k pieceKey, evicted, drop bool) {
	c.seq++
	if drop || rand.Float64() < c.loss {
		return
	}
	c.events = append(c.events, timedEvent{time.Now(), driver.CacheEvent{
		Seq: c.seq, Incarnation: c.incarnation, Piece: k.piece, Evicted: evicted,
	}})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events past seq that the lag lets a reader see.
func (c *prefixCache) after(seq uint64, now time.Time) []driver.CacheEvent {
	seen := []driver.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && now.Sub(e.at) >= c.lag {
			seen = append(seen, e.CacheEvent)
		}
	}
	return seen
}
