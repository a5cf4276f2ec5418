package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/engine"
)

// overloaded returns an engine that runs two streams concurrently, at 50 tokens per second each.
func overloaded() engine.Config {
	c := fastEngine()
	c.DecodeStep, c.MaxBatch = 20*time.Millisecond, 2
	return c
}

// A hundred requests arrive at once at an engine that can answer only a few of them in time. Without
// admission control all of them would wait and nearly all would be late. With it, requests that
// can't be on time are refused immediately with a Retry-After delay, and admitted ones complete in
// time.
func TestOverloadIsRefusedAtOnce(t *testing.T) { synctest.Test(t, testOverload) }

func testOverload(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{overloaded()}, simulated: true})
	burst(t, cl)        // lets admission estimate the engine's capacity
	for i := range 40 { // lets the prediction observe the unloaded engine
		a, err := cl.generate(cl.entries[0].addr, fmt.Sprint("quiet ", i), 2)
		assert.NilError(t, err)
		assert.Assert(t, a.complete, "%+v", a)
	}
	got := burst(t, cl)
	assert.Assert(t, got.onTime >= 4)
	assert.Assert(t, got.refused > 0)
	assert.Assert(t, got.late <= 5, "%d late", got.late)
	assert.Equal(t, cl.entries[0].unit.Left(), 0)
}

type burstResult struct {
	onTime, refused, late int
	slowest               time.Duration // slowest refusal
}

func burst(t *testing.T, cl *cluster) burstResult {
	const deadline = 2 * time.Second
	var mu sync.Mutex
	var res burstResult
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":"m","prompt":"question %d","max_tokens":20,"seed":7,"class":"question"}`, i)
			startedAt := time.Now()
			a, err := cl.post(context.Background(), cl.entries[0].addr, "/v1/generate", body,
				map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Caller": fmt.Sprint("caller-", i%10)})
			elapsed := time.Since(startedAt)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete && elapsed <= deadline:
				res.onTime++
			case a.refusal.Run == "not-run":
				res.refused++
				res.slowest = max(res.slowest, elapsed)
				assert.Check(t, a.header.Get("Retry-After") != "", "%+v", a)
			default:
				res.late++
			}
		})
	}
	wg.Wait()
	t.Logf("on time %d, refused %d (slowest refusal %v), late or interrupted %d", res.onTime, res.refused, res.slowest, res.late)
	return res
}
