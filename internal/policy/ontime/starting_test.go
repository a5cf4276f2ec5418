package ontime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/splitmix"
)

// simulateRetries simulates callers that arrive at a constant rate during an outage and retry once.
// It returns the share that is served, and the largest number that retry within a tenth of a second
// after the outage.
func simulateRetries(outage time.Duration, retryAfter func(waited time.Duration, random uint64) time.Duration) (share float64, peak int) {
	const interval = time.Millisecond
	total, ok := 0, 0
	retries := map[int]int{}
	for at := time.Duration(0); at < outage; at += interval {
		total++
		retryAt := at + retryAfter(at, splitmix.Mix(uint64(at)))
		if retryAt >= outage {
			ok++
			retries[int(retryAt/(100*time.Millisecond))]++
		}
	}
	for _, n := range retries {
		peak = max(peak, n)
	}
	return float64(ok) / float64(total), peak
}

// Guards against callers that spend their only retry while all VMs start and the configuration
// store is unavailable, and against retries that arrive in one wave.
func TestCallersAreServedAfterASlowStart(t *testing.T) {
	constant := func(time.Duration, uint64) time.Duration { return minStartingRetryAfter }
	for _, outage := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		share, peak := simulateRetries(outage, StartingRetryAfter)
		constantShare, constantPeak := simulateRetries(outage, constant)
		t.Logf("%s: %.2f served, %.2f with a constant delay; peak of %d retries, %d with a constant delay", outage, share, constantShare, peak, constantPeak)
		assert.Assert(t, share >= 0.6, "%s: %.2f", outage, share)
		assert.Assert(t, share >= constantShare)
		assert.Assert(t, peak <= constantPeak)
	}
}
