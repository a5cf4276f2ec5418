package origin

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxRecords bounds the streams of a register. The oldest ones are evicted first.
	maxRecords = 16 << 10
	// maxTTL bounds how long a record is kept.
	maxTTL = 10 * time.Minute
)

// Register holds the origins of streams until callers no longer take them up. It is safe for concurrent
// use.
type Register struct {
	mu      sync.Mutex
	records map[Key]record
	queue   []Key // of the records, in the order in which they were added
}

type record struct {
	origin  Origin
	expires clock.Time
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{records: map[Key]record{}} }

// Record records the origin of a stream for ttl. The first origin that is recorded for a stream stays; it
// returns false if o is another one.
func (r *Register) Record(now clock.Time, stream Key, o Origin, ttl time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(now)
	expires := now.Add(min(ttl, maxTTL))
	old, known := r.records[stream]
	if known && old.expires > now {
		old.expires = max(old.expires, expires)
		r.records[stream] = old
		return old.origin == o
	}
	if !known {
		r.queue = append(r.queue, stream)
	}
	r.records[stream] = record{o, expires}
	return true
}

// evict drops the records at the head of the queue that have expired or for which there is no room.
func (r *Register) evict(now clock.Time) {
	for len(r.queue) > 0 {
		oldest := r.queue[0]
		if r.records[oldest].expires > now && len(r.queue) < maxRecords {
			return
		}
		delete(r.records, oldest)
		r.queue = r.queue[1:]
	}
}

// Find returns the origin of a stream.
func (r *Register) Find(now clock.Time, stream Key) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, known := r.records[stream]
	if !known || rec.expires <= now {
		return Origin{}, false
	}
	return rec.origin, true
}

// Len returns the number of records, including some that have expired.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
