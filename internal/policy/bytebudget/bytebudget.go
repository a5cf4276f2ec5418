// Package bytebudget accounts for the bytes of the bodies of requests and answers that a VM holds in memory.
//
// The load pattern is many large bodies, or a few without end, at the same time, or endpoints that read requests
// slowly. Without a budget, bounds for each body alone add up to more than the VM's memory.
//
// Bodies of requests are admitted by size, so that large ones leave room for small ones, and by share: a route, a
// workspace or an endpoint may hold only as much as is in proportion to what is left (see share.go). Neither kind of
// body can take all that the other one needs.
package bytebudget

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// DefaultCapacity is the capacity in bytes of a VM whose memory limit isn't known.
	DefaultCapacity = 64 << 20
	// memoryDivisor is the part of a VM's memory limit that bodies may take: the garbage collector needs as much
	// again as is in use, and both must stay below half of the limit.
	memoryDivisor = 4
	// reserveDivisor is the part of the capacity that is kept for responses that are being read.
	reserveDivisor = 4
	// largeDivisor is the part of the capacity up to which the bodies of answers may grow by large ones, one or all
	// together. Bodies without end are large: they must neither use the budget up nor have new requests refused.
	largeDivisor = 2
	// LargeBytes is the size in bytes from which a body is large. Ordinary answers are smaller.
	LargeBytes = 256 << 10
	// smallBytes is the size in bytes below which the body of a request is small.
	smallBytes = 16 << 10
)

// Parts of the capacity, in sixteenths. A body may take bytes while no more than its part is in use.
const (
	parts = 16
	// largePart is that of all large bodies. What lies between it and smallPart is left for small requests.
	largePart  = 10
	mediumPart = 11
	smallPart  = parts - parts/reserveDivisor
	// largeRequestsPart is the part up to which the bodies of requests may grow by large ones. The difference to
	// largePart is left for large answers.
	largeRequestsPart = 8
)

// Budget is a number of bytes that is taken and given back. It is safe for concurrent use.
type Budget struct {
	seed maphash.Seed

	mu       sync.Mutex
	s        Snapshot
	shares   [shareKinds][shareCount]int64
	meanHold time.Duration // for which a large body of a request was held
}

// Snapshot is a copy of a budget's figures, for expvar. All but Denied and the refusals are in bytes. What isn't used by
// requests is used by answers.
type Snapshot struct {
	Capacity     int64
	Used         int64
	Peak         int64 // the most that was used at a time
	Requests     int64 // part of Used that bodies of requests have taken
	RequestsPeak int64 // the most of it at a time
	Denied       int64 // Takes that failed
	Refused      int64 // requests that weren't admitted
	RoomRefused  int64 // part of Refused: there was no room for the body
	ShareRefused int64 // part of Refused: the route or the workspace held its share
	ShareDenied  int64 // sends of a body to an endpoint that held its share
}

// New returns a budget of DefaultCapacity.
func New() *Budget { return &Budget{seed: maphash.MakeSeed(), s: Snapshot{Capacity: DefaultCapacity}} }

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

// part returns a number of sixteenths of the capacity. b.mu is held.
func (b *Budget) part(n int64) int64 { return b.s.Capacity * n / parts }

// Take takes n bytes for the body of an answer of which size bytes have been read, and reports whether they were left.
func (b *Budget) Take(n, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.s.Capacity - b.s.Used
	if size >= LargeBytes {
		answers := b.s.Used - b.s.Requests
		left = min(b.s.Capacity/largeDivisor-answers, b.part(largePart)-b.s.Used)
	}
	if n > left {
		b.s.Denied++
		return false
	}
	b.s.Used += n
	b.s.Peak = max(b.s.Peak, b.s.Used)
	return true
}

// Give gives back n bytes that were taken by Take.
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

// MaxBody returns the bytes that the body of an answer may take.
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
