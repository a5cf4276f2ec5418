// Package bytebudget accounts for the bytes of the response bodies that all requests of a VM hold together.
//
// The load pattern is many large responses, or a few without end, at the same time. Without a budget, bounds for
// each response alone add up to more than the VM's memory.
package bytebudget

import "sync"

const (
	// DefaultCapacity is the capacity in bytes of a VM whose memory limit isn't known.
	DefaultCapacity = 64 << 20
	// memoryDivisor is the part of a VM's memory limit that bodies may take: the garbage collector may use 0.6 of
	// the limit, and needs as much again as is in use.
	memoryDivisor = 4
	// reserveDivisor is the part of the capacity that is kept for responses that are being read.
	reserveDivisor = 4
	// largeDivisor is the part of the capacity up to which large bodies may grow, one or all together. Bodies without
	// end are large: they must neither use the budget up nor have new requests refused.
	largeDivisor = 2
	// LargeBytes is the size in bytes from which a body is large. Ordinary answers are smaller.
	LargeBytes = 256 << 10
)

// Budget is a number of bytes that is taken and given back. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	s  Snapshot
}

// Snapshot is a copy of a budget's figures, for expvar. All but Denied and Refused are in bytes.
type Snapshot struct {
	Capacity int64
	Used     int64
	Peak     int64 // the most that was used at a time
	Denied   int64 // Takes that failed
	Refused  int64 // requests that weren't admitted
}

// New returns a budget of DefaultCapacity.
func New() *Budget { return &Budget{s: Snapshot{Capacity: DefaultCapacity}} }

// SetMemory sets the capacity to the share of a memory limit in bytes, or to the default if it isn't positive. What
// has been taken stays taken.
func (b *Budget) SetMemory(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.s.Capacity = DefaultCapacity
	if limit > 0 {
		b.s.Capacity = max(limit/memoryDivisor, 1)
	}
}

// Take takes n bytes for a body of which size bytes have been read, and reports whether they were left.
func (b *Budget) Take(n, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.s.Capacity
	if size >= LargeBytes {
		limit /= largeDivisor
	}
	if n > limit-b.s.Used {
		b.s.Denied++
		return false
	}
	b.s.Used += n
	b.s.Peak = max(b.s.Peak, b.s.Used)
	return true
}

// Give gives back n bytes that were taken.
func (b *Budget) Give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.s.Used -= n
}

// Admit reports whether a new request may begin, and counts it as refused if not.
func (b *Budget) Admit() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.s.Used < b.s.Capacity-b.s.Capacity/reserveDivisor {
		return true
	}
	b.s.Refused++
	return false
}

// MaxBody returns the bytes that one body may take.
func (b *Budget) MaxBody() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.s.Capacity / largeDivisor
}

// Snapshot returns the current figures.
func (b *Budget) Snapshot() Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.s
}
