package ontime

import "time"

const (
	// leastStarting is the shortest time to come back to a VM that has just
	// started, and startingSpread the span over which those who were refused
	// together return.
	leastStarting  = 300 * time.Millisecond
	startingSpread = 700 * time.Millisecond
)

// StartingRetryAfter is when to come back to a VM that has started and can't serve yet, after it
// has tried for waited. Load pattern: all VMs lose power while the store is away, and all
// callers ask again at once. A VM usually can serve within a tenth of a second; one that
// couldn't for longer will need about as long again. Told a short time, callers spend
// their only repeat on a second refusal, and those who wait return in one wave.
func StartingRetryAfter(waited time.Duration, draw uint64) time.Duration {
	return leastStarting + max(waited, 0) + time.Duration(draw%uint64(startingSpread))
}
