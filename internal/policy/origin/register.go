package origin

import (
	"sync"
	"time"

	"fescuestand/internal/clock"
)

const (
	// maxRecords is the default bound of the streams in a register. The oldest ones are evicted first.
	maxRecords = 16 << 10
	// maxTTL bounds how long a record is kept.
	maxTTL = 10 * time.Minute
)

// Register holds the origins of streams until callers no longer take them up. It is safe for concurrent
// use.
type Register struct {
	size    int
	mu      sync.Mutex
	records map[Key]record
	queue   []Key // of the records, in the order in which they were added
}

type record struct {
	origin  Origin
	expires clock.Time
	own     bool // it was recorded by RecordOwn
}

// NewRegister returns an empty register.
func NewRegister() *Register { return NewRegisterOf(maxRecords) }

// NewRegisterOf returns an empty register of at most size streams.
func NewRegisterOf(size int) *Register { return &Register{size: size, records: map[Key]record{}} }

// RecordOwn is Record for a stream that this VM serves.
func (r *Register) RecordOwn(now clock.Time, stream Key, o Origin, ttl time.Duration) bool {
	return r.record(now, stream, o, ttl, true)
}

// Record records the origin of a stream for ttl. The first origin that is recorded for a stream stays; it
// returns false if o is another one.
func (r *Register) Record(now clock.Time, stream Key, o Origin, ttl time.Duration) bool {
	return r.record(now, stream, o, ttl, false)
}

func (r *Register) record(now clock.Time, stream Key, o Origin, ttl time.Duration, own bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict(now)
	expires := now.Add(min(ttl, maxTTL))
	old, known := r.records[stream]
	if known && old.expires > now {
		old.expires = max(old.expires, expires)
		old.own = old.own || own
		r.records[stream] = old
		return old.origin == o
	}
	if !known {
		r.queue = append(r.queue, stream)
	}
	r.records[stream] = record{o, expires, own}
	return true
}

// evict drops the records at the head of the queue that have expired or for which there is no room.
func (r *Register) evict(now clock.Time) {
	for len(r.queue) > 0 {
		oldest := r.queue[0]
		if r.records[oldest].expires > now && len(r.queue) < r.size {
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

// Own returns the origins of the streams that this VM has served and that callers may still take up.
func (r *Register) Own(now clock.Time) map[Key]Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[Key]Origin{}
	for stream, rec := range r.records {
		if rec.own && rec.expires > now {
			out[stream] = rec.origin
		}
	}
	return out
}

// Len returns the number of records, including some that have expired.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
