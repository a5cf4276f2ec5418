package dispatch

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// retryShare is how many retries a pool or caller earns per first try. A
	// tenth mends single faults; a fleet that fails gets a tenth more load, not
	// a multiple.
	retryShare = 0.1
	// retrySpare is earned in advance, so that a quiet pool can retry at all.
	retrySpare = 10.0
	// refill gives a quiet pool its spare back.
	refill = 10 * time.Second
	// maxBuckets bounds the callers that are remembered.
	maxBuckets = 4096
)

type bucket struct {
	left float64
	at   clock.Time
}

// ShareBudget implements Budget: retries are a share of the first tries, of the
// pool and of each caller.
type ShareBudget struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewShareBudget returns a full budget.
func NewShareBudget() *ShareBudget { return &ShareBudget{buckets: map[string]*bucket{}} }

// Request implements Budget.
func (b *ShareBudget) Request(now clock.Time, pool, caller string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keysOf(pool, caller) {
		k := b.get(now, key)
		k.left = min(k.left+retryShare, retrySpare)
	}
}

// Retry implements Budget.
func (b *ShareBudget) Retry(now clock.Time, pool, caller string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := keysOf(pool, caller)
	for _, key := range keys {
		if b.get(now, key).left < 1 {
			return false
		}
	}
	for _, key := range keys {
		b.get(now, key).left--
	}
	return true
}

func keysOf(pool, caller string) [2]string {
	return [2]string{"pool\x00" + pool, "caller\x00" + pool + "\x00" + caller}
}

func (b *ShareBudget) get(now clock.Time, key string) *bucket {
	k := b.buckets[key]
	if k == nil {
		if len(b.buckets) >= maxBuckets {
			clear(b.buckets)
		}
		k = &bucket{left: retrySpare, at: now}
		b.buckets[key] = k
	}
	k.left = min(k.left+retrySpare*float64(now.Sub(k.at))/float64(refill), retrySpare)
	k.at = now
	return k
}
