package ontime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/splitmix"
)

// served plays callers that come evenly for outage and a second more, and have one
// repeat. It returns the share that is served in the end, and the largest number that
// return within a tenth of a second after the outage.
func served(outage time.Duration, again func(waited time.Duration, draw uint64) time.Duration) (share float64, wave int) {
	const every = time.Millisecond
	total, ok := 0, 0
	waves := map[int]int{}
	for at := time.Duration(0); at < outage; at += every {
		total++
		back := at + again(at, splitmix.Mix(uint64(at)))
		if back >= outage {
			ok++
			waves[int(back/(100*time.Millisecond))]++
		}
	}
	for _, n := range waves {
		wave = max(wave, n)
	}
	return float64(ok) / float64(total), wave
}

// Guards against callers that spend their only repeat while all VMs start and the store
// is away, and against their return in one wave.
func TestCallersComeBackAfterAStartThatTakesLong(t *testing.T) {
	constant := func(time.Duration, uint64) time.Duration { return leastStarting }
	for _, outage := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		share, wave := served(outage, StartingRetryAfter)
		before, peak := served(outage, constant)
		t.Logf("%s: %.2f served, %.2f with a constant time; at most %d, %d at once", outage, share, before, wave, peak)
		assert.Assert(t, share >= 0.6, "%s: %.2f", outage, share)
		assert.Assert(t, share >= before)
		assert.Assert(t, wave <= peak)
	}
}
