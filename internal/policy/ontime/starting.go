package ontime

import "time"

const (
	// minStartingRetryAfter is the shortest Retry-After delay of a VM that has just started, and
	// startingRetrySpread the span over which the retries of requests that were refused together
	// are spread.
	minStartingRetryAfter = 300 * time.Millisecond
	startingRetrySpread   = 700 * time.Millisecond
)

// StartingRetryAfter returns the Retry-After delay of a VM that has started but can't serve yet,
// waited after its start.
//
// Load pattern: all VMs lose power while the configuration store is unavailable, and all callers
// retry at once. Usually a VM can serve within a tenth of a second; one that couldn't for longer
// will need about as long again. With a short delay, callers spend their only retry on a second
// refusal, and those that wait return in one wave.
func StartingRetryAfter(waited time.Duration, random uint64) time.Duration {
	return minStartingRetryAfter + max(waited, 0) + time.Duration(random%uint64(startingRetrySpread))
}
