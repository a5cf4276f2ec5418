package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fault beside a request that ends the process with all its requests.
func TestFaultOfAReplacementLeavesTheExchange(t *testing.T) {
	x := &execution{g: &Gateway{metrics: newMetrics()}, call: &Call{ID: "1"}, ctx: context.Background(), callCtx: context.Background()}
	g := newGuard(x, time.Millisecond, func() (int, bool) { panic("no plan") }, func() {})
	defer g.stop()
	_, taken := g.await(func() bool {
		for x.g.metrics.Snapshot().Faults == 0 {
			time.Sleep(time.Millisecond)
		}
		return true
	})
	assert.Assert(t, !taken)
}
