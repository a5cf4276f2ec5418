package backpressure

import (
	"testing"

	"gotest.tools/v3/assert"
)

// simplerMechanisms are variants with parts of the mechanism disabled.
var simplerMechanisms = map[string]guards{
	"shares by rate, no debits for other VMs": {noDebits: true},
	"equal shares, no debits for other VMs":   {noDebits: true, equalShares: true},
	"equal shares":                            {equalShares: true},
	"shared bucket only":                      {noShares: true},
}

// manyVMs is the number of VMs from which a simulation is too slow for this test.
const manyVMs = 100

// Guards against parts of the mechanism that have no effect: with one disabled, some fleet must exceed
// a limit or serve clearly fewer requests.
func TestEachLimitGuardIsNeeded(t *testing.T) {
	baseline := map[string]outcome{}
	for fname, f := range fleets {
		if f.vms < manyVMs {
			baseline[fname] = f.run(1)
		}
	}
	for name, g := range simplerMechanisms {
		exceeded, minServedRatio := 0, 1.0
		for fname, with := range baseline {
			f := fleets[fname]
			f.guards = g
			without := f.run(1)
			if without.maxInWindow > f.allowed() {
				exceeded++
			}
			if f.limit > 0 {
				minServedRatio = min(minServedRatio, without.served/with.served)
			}
			t.Logf("%s: %s: %d of %d allowed, %.2f served (%.2f)", name, fname, without.maxInWindow, f.allowed(), without.served, with.served)
		}
		assert.Assert(t, exceeded > 0 || minServedRatio < 0.9, "%s: disabling it has no effect", name)
	}
}
