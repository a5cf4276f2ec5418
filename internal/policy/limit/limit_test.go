package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// share lets entries with a backlog share an engine that slows down in
// proportion beyond its capacity, and returns their limits after a minute. The
// capacity halves on the way.
func share(cfg Config, entries, capacity int) []int {
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

// The mix turns to long prompts and an engine carries half as many streams as
// before. Entries that keep their limits make every stream four times slower
// than wanted; entries that adapt give up equal shares.
func TestEntriesShareAnEngine(t *testing.T) {
	limits := share(Config{Max: 64}, 4, 48)
	t.Log("limits", limits)
	assert.Assert(t, sum(limits) >= 24 && sum(limits) <= 60, "%v", limits)
	for _, l := range limits {
		assert.Assert(t, l*3 >= sum(limits)/4 && l <= 2*sum(limits)/4, "%v", limits)
	}
	fixed := share(Config{Max: 64, Min: 30, Fixed: true}, 4, 48)
	assert.Assert(t, sum(fixed) >= 4*24)
}

func TestRefusalShrinksAtOnce(t *testing.T) {
	l := NewLimiter(Config{Max: 20, Initial: 20})
	l.Observe(1, Sample{Overloaded: true, InFlight: 20})
	l.Observe(clock.Time(1).Add(defaultWindow), Sample{InFlight: 20})
	assert.Equal(t, l.Limit(), 14)
}

// A hundred callers are refused in one moment. Told the end of the queue, they
// all return together and are refused again.
func TestReturnsAreSpread(t *testing.T) {
	for _, off := range []bool{false, true} {
		s := NewSpreader(off)
		times := map[time.Duration]int{}
		most := 0
		for range 100 {
			d := s.RetryAfter(0, time.Second, 20*time.Millisecond).Truncate(100 * time.Millisecond)
			times[d]++
			most = max(most, times[d])
		}
		t.Logf("off=%v: at most %d return within 100 ms", off, most)
		assert.Equal(t, most == 100, off)
		assert.Assert(t, off || most <= 6)
	}
}
