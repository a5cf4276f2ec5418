package route

import (
	"sync/atomic"

	"fescuestand/internal/splitmix"

	"github.com/cespare/xxhash/v2"
)

// cacheViewSlots bounds the cache view of one engine. 2,048 cache blocks of 2,000 tokens are four
// million tokens, more than an engine's memory holds. A view takes 16 kB, and the views of a cell
// of 100 engines take 1.6 MB of the 32 MB budget.
const cacheViewSlots = 2048

// cacheView is this entry's estimate of the contents of an engine's prefix cache: a direct-mapped
// table of cache block hashes. A collision evicts the older hash, which costs at most one prefill
// of that block. Reads and writes are lock-free.
type cacheView struct {
	salt  atomic.Uint64 // changed to clear the view
	slots [cacheViewSlots]atomic.Uint64
}

func (c *cacheView) has(piece uint64) bool {
	return c.slots[piece%cacheViewSlots].Load() == piece^c.salt.Load()
}

func (c *cacheView) add(piece uint64) {
	c.slots[piece%cacheViewSlots].Store(piece ^ c.salt.Load())
}

func (c *cacheView) remove(piece uint64) {
	c.slots[piece%cacheViewSlots].CompareAndSwap(piece^c.salt.Load(), 0)
}

func (c *cacheView) clear() { c.salt.Store(splitmix.Mix(c.salt.Load() + 1)) }

// cachedPrefix returns the number of leading cache blocks that are estimated to be cached. A prefix
// cache can use a block only if it holds all blocks before it.
func (c *cacheView) cachedPrefix(pieces []uint64) int {
	for i, p := range pieces {
		if !c.has(p) {
			return i
		}
	}
	return len(pieces)
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64 // assigned by the engine, consecutive
	Piece   uint64 // hash of the cache block, see Pieces
	Evicted bool
	Cleared bool // the engine restarted or dropped its whole cache
}

// cacheEventStream tracks the sequence numbers of one engine's cache events.
type cacheEventStream struct {
	nextSeq  uint64
	gaps     uint64
	outdated uint64
}

// apply applies one event to the view c. Events arrive late and with gaps. A lost event may have
// been an eviction, after which requests would keep being routed to the engine for prefixes that it
// no longer caches. A gap therefore clears the view, unless keepOnGap is set; later events and this
// entry's own requests rebuild it.
func (s *cacheEventStream) apply(c *cacheView, e CacheEvent, keepOnGap bool) {
	if s.nextSeq != 0 && e.Seq < s.nextSeq && !e.Cleared {
		s.outdated++
		return
	}
	if s.nextSeq != 0 && e.Seq > s.nextSeq && !keepOnGap {
		s.gaps++
		c.clear()
	}
	s.nextSeq = e.Seq + 1
	switch {
	case e.Cleared:
		c.clear()
	case e.Evicted:
		c.remove(e.Piece)
	default:
		c.add(e.Piece)
	}
}

// Pieces appends to dst the chained hashes of the whole cache blocks of prompt, each size bytes
// long. Equal hashes mean equal models and prompts up to the end of that block.
func Pieces(dst []uint64, model string, prompt []byte, size int) []uint64 {
	h := xxhash.Sum64String(model)
	for len(prompt) >= size {
		h = splitmix.Mix(h ^ xxhash.Sum64(prompt[:size]))
		dst = append(dst, h)
		prompt = prompt[size:]
	}
	return dst
}
