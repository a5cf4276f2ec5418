package repeat

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

var cfg = Config{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}

// spend takes as many repeats as the budget gives at now.
func spend(b *Budget, now clock.Time) int {
	n := 0
	for b.Take(now, "labels") {
		n++
	}
	return n
}

// An engine with a tenth of the streams crashes; every VM wants to repeat its
// own at once, and the engines that are left go down under repeats of repeats.
// The sum over all VMs must stay below the deployment's budget in any window.
func TestAllVMsTogetherKeepTheBudget(t *testing.T) {
	const vms, each = 7, 300
	budgets := make([]*Budget, vms)
	for i := range budgets {
		budgets[i] = New(cfg)
		budgets[i].SetMembers(vms)
	}
	worst := 0
	var taken []struct {
		at clock.Time
		n  int
	}
	for step := range 60 {
		now := clock.Time(time.Duration(step) * time.Second / 2)
		n := 0
		for _, b := range budgets {
			for range each / 20 {
				b.CountRequest(now, "labels")
			}
			n += spend(b, now)
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
		worst = max(worst, sum)
	}
	allowed := int(cfg.Ratio*vms*each + cfg.Extra)
	assert.Assert(t, worst <= allowed, "%d repeats in a window, %d allowed", worst, allowed)
	assert.Assert(t, worst > allowed/2, "%d repeats in a window of %d allowed", worst, allowed)
}

// A VM that has just started knows no other. If it took the whole fixed part for
// itself, a deployment whose VMs all start at once would repeat seven times as
// much as it may.
func TestAVMThatKnowsNoOtherTakesASmallPart(t *testing.T) {
	assert.Equal(t, spend(New(cfg), 0), 0)
	alone := New(cfg)
	alone.SetMembers(1)
	assert.Equal(t, spend(alone, 0), 43)
}

func TestServicesHaveTheirOwnBudgets(t *testing.T) {
	b := New(cfg)
	b.SetMembers(1)
	spend(b, 0)
	assert.Assert(t, b.Take(0, "other"))
}

func TestTheBudgetComesBackAfterTheWindow(t *testing.T) {
	b := New(cfg)
	b.SetMembers(1)
	n := spend(b, 0)
	assert.Equal(t, spend(b, clock.Time(cfg.Window/2)), 0)
	assert.Equal(t, spend(b, clock.Time(2*cfg.Window)), n)
}
