package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// simulateSharing returns the limits of backlogged entries after one simulated minute of sharing an
// engine, whose latency grows in proportion to the load beyond its capacity. The capacity halves
// halfway through.
func simulateSharing(cfg Config, entries, capacity int) []int {
	limiters := make([]*Limiter, entries)
	for i := range limiters {
		cfg.Initial = 2 + 6*i
		limiters[i] = NewLimiter(cfg)
	}
	for step := range 600 {
		now := clock.Time(step) * clock.Time(100*time.Millisecond)
		if step == 300 {
			capacity /= 2
		}
		total := 0
		for _, l := range limiters {
			total += l.Limit()
		}
		for _, l := range limiters {
			ratio := max(1, float64(total)/float64(capacity))
			for range 3 {
				l.Observe(now, Sample{StepRatio: ratio, InFlight: l.Limit()})
			}
		}
	}
	var limits []int
	for _, l := range limiters {
		limits = append(limits, l.Limit())
	}
	return limits
}

func sum(xs []int) int {
	n := 0
	for _, x := range xs {
		n += x
	}
	return n
}

// Guards against overload after a shift to long prompts, when an engine sustains only half as many
// streams as before. Entries with fixed limits make every stream four times slower than intended;
// adaptive entries lower their limits to equal shares.
func TestEntriesShareAnEngine(t *testing.T) {
	limits := simulateSharing(Config{Max: 64}, 4, 48)
	t.Log("limits", limits)
	assert.Assert(t, sum(limits) >= 24 && sum(limits) <= 60, "%v", limits)
	for _, l := range limits {
		assert.Assert(t, l*3 >= sum(limits)/4 && l <= 2*sum(limits)/4, "%v", limits)
	}
	fixed := simulateSharing(Config{Max: 64, Min: 30, Fixed: true}, 4, 48)
	assert.Assert(t, sum(fixed) >= 4*24)
}

func TestRefusalLowersLimitAtOnce(t *testing.T) {
	l := NewLimiter(Config{Max: 20, Initial: 20})
	l.Observe(1, Sample{Overloaded: true, InFlight: 20})
	l.Observe(clock.Time(1).Add(defaultWindow), Sample{InFlight: 20})
	assert.Equal(t, l.Limit(), 14)
}

// Guards against synchronized retries: if a hundred requests that are refused at once all get the
// time at which the queue drains, they are all retried together and refused again.
func TestRetryDelaysAreSpread(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := NewSpreader(disabled)
		perInterval := map[time.Duration]int{}
		maxPerInterval := 0
		for range 100 {
			d := s.RetryAfter(0, time.Second, 20*time.Millisecond).Truncate(100 * time.Millisecond)
			perInterval[d]++
			maxPerInterval = max(maxPerInterval, perInterval[d])
		}
		t.Logf("disabled=%v: at most %d retries within 100 ms", disabled, maxPerInterval)
		assert.Equal(t, maxPerInterval == 100, disabled)
		assert.Assert(t, disabled || maxPerInterval <= 6)
	}
}
