package repeat

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

var cfg = Config{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

// takeAll takes as many retries as the budget allows at now and returns their number.
func takeAll(b *Budget, now clock.Time) int {
	n := 0
	for b.Take(now, "labels", Begun) {
		n++
	}
	return n
}

// Guards against retries that overload the remaining engines after one with a tenth of the streams
// crashes: all VMs retry theirs at once, and then retry those that fail again. The sum over all VMs
// must stay within the deployment's budget in any window.
func TestAllVMsTogetherKeepTheBudget(t *testing.T) {
	const vms, requestsPerVM = 7, 300
	budgets := make([]*Budget, vms)
	for i := range budgets {
		budgets[i] = New(cfg)
		budgets[i].SetMembers(vms)
	}
	maxTaken := 0
	var taken []struct {
		at clock.Time
		n  int
	}
	for step := range 60 {
		now := clock.Time(time.Duration(step) * time.Second / 2)
		n := 0
		for _, b := range budgets {
			for range requestsPerVM / 20 {
				b.CountRequest(now, "labels")
			}
			n += takeAll(b, now)
		}
		taken = append(taken, struct {
			at clock.Time
			n  int
		}{now, n})
		sum := 0
		for _, x := range taken {
			if now.Sub(x.at) < cfg.Window {
				sum += x.n
			}
		}
		maxTaken = max(maxTaken, sum)
	}
	allowed := int(cfg.Ratio*vms*requestsPerVM + cfg.Extra)
	assert.Assert(t, maxTaken <= allowed, "%d retries in a window, %d allowed", maxTaken, allowed)
	assert.Assert(t, maxTaken > allowed/2, "only %d retries in a window, %d allowed", maxTaken, allowed)
}

// Guards against a VM that has just started and, as it has received nothing from other VMs, takes
// the whole fixed part of the budget: a deployment of seven VMs that start together would send seven
// times the allowed retries.
func TestBudgetIsSmallUntilTheMembersAreSet(t *testing.T) {
	assert.Equal(t, takeAll(New(cfg), 0), 0)
	alone := New(cfg)
	alone.SetUnused()
	alone.SetMembers(1)
	assert.Equal(t, takeAll(alone, 0), 43)
}

func TestServicesHaveTheirOwnBudgets(t *testing.T) {
	b := New(cfg)
	b.SetUnused()
	b.SetMembers(1)
	takeAll(b, 0)
	assert.Assert(t, b.Take(0, "other", Begun))
}

func TestBudgetIsRestoredAfterTheWindow(t *testing.T) {
	b := New(cfg)
	b.SetUnused()
	b.SetMembers(1)
	n := takeAll(b, 0)
	assert.Equal(t, takeAll(b, clock.Time(cfg.Window/2)), 0)
	assert.Equal(t, takeAll(b, clock.Time(2*cfg.Window)), n)
}

// Guards against streams that end early as requests without an answer have used up the retry budget.
func TestBegunRequestsHaveRetriesLeft(t *testing.T) {
	b := New(cfg)
	b.SetUnused()
	b.SetMembers(1)
	taken := 0
	for b.Take(0, "labels", NotBegun) {
		taken++
	}
	assert.Equal(t, taken, 34)
	assert.Assert(t, b.Allows(0, "labels", Begun, 9) && !b.Allows(0, "labels", Begun, 10))
	assert.Equal(t, takeAll(b, 0), 9)
}

// Guards against a budget that is full again after a loss of all VMs: the window spans the loss, and the retries
// before it still count.
func TestBudgetHoldsAcrossALossOfAllVMs(t *testing.T) {
	const vms, requestsPerVM = 7, 100
	taken := 0
	for start := range 2 {
		for range vms {
			b := New(cfg)
			b.SetMembers(vms)
			now := clock.Time(time.Hour).Add(time.Duration(start) * cfg.Window / 2)
			for range requestsPerVM / 2 {
				b.CountRequest(now, "labels")
			}
			taken += takeAll(b, now)
		}
	}
	allowed := int(cfg.Ratio*vms*requestsPerVM + cfg.Extra)
	assert.Assert(t, taken <= allowed, "%d retries in a window, %d allowed", taken, allowed)
}

// Guards against retries beyond the budget as VMs are lost again and again, at any time in the window.
func TestBudgetHoldsAcrossLosses(t *testing.T) {
	const vms, ticks = 7, 20
	for lifetime := 1; lifetime <= 3*ticks; lifetime++ {
		var budgets [vms]*Budget
		var taken [6 * ticks]int
		for tick := range taken {
			now := clock.Time(time.Hour).Add(time.Duration(tick) * cfg.Window / ticks)
			for i := range budgets {
				if tick%lifetime == 0 {
					budgets[i] = New(cfg)
					budgets[i].SetMembers(vms)
				}
				if tick == 0 {
					budgets[i].SetUnused()
				}
				taken[tick] += takeAll(budgets[i], now)
			}
			sum := 0
			for _, n := range taken[max(0, tick-ticks+1) : tick+1] {
				sum += n
			}
			assert.Assert(t, sum <= int(cfg.Extra), "lost each %d ticks: %d retries in a window", lifetime, sum)
		}
	}
}

// Guards against a budget without its fixed part for longer than a window, and against a full one right after the
// window's length was changed.
func TestFixedPartReturns(t *testing.T) {
	b, now := New(cfg), clock.Time(time.Hour)
	b.SetMembers(1)
	assert.Equal(t, takeAll(b, now), 0)
	assert.Equal(t, takeAll(b, now.Add(cfg.Window-1)), 0)
	assert.Equal(t, takeAll(b, now.Add(cfg.Window)), 43)
	longer := cfg
	longer.Window *= 2
	b.SetConfig(longer)
	now = now.Add(cfg.Window)
	assert.Equal(t, takeAll(b, now), 0)
	assert.Equal(t, takeAll(b, now.Add(longer.Window)), 43)
}

// Guards against VMs of a large deployment that, before they know its size, use more than the budget together.
func TestBudgetHoldsBeforeTheNumberOfVMsIsKnown(t *testing.T) {
	for _, vms := range []int{8, 64, 420, 1000} {
		taken := 0
		for range vms {
			taken += takeAll(New(Config{Ratio: 0.2, Extra: 216, Window: 10 * time.Second}), clock.Time(time.Hour))
		}
		assert.Check(t, taken <= 216, "%d VMs: %d retries, 216 allowed", vms, taken)
	}
}

// Guards against retries that requests can do without and that leave too few for the others.
func TestOptionalRetriesLeaveHalfOfTheBudget(t *testing.T) {
	b := New(cfg)
	b.SetUnused()
	b.SetMembers(1)
	assert.Assert(t, b.Allows(0, "labels", Optional, 21) && !b.Allows(0, "labels", Optional, 22))
	assert.Equal(t, takeAll(b, 0), 43)
}
