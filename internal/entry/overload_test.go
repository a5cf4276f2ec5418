package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/engine"
)

// overloaded is an engine that runs two streams at once, 50 tokens a second
// each.
func overloaded() engine.Config {
	c := quick()
	c.DecodeStep, c.MaxBatch = 20*time.Millisecond, 2
	return c
}

// A hundred questions come at once to an engine that can answer a few of them in
// time. Without admission all of them would wait and nearly all be late; with
// it those that can't be on time hear so at once, with a time to come back, and
// those that were taken are whole and on time.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, worldConfig{entries: 1, engines: []engine.Config{overloaded()}})
	burst(t, w)         // shows the engine's size
	for i := range 40 { // quiet times teach the forecast the unloaded engine
		a, err := w.generate(w.entries[0].addr, fmt.Sprint("quiet ", i), 2)
		assert.NilError(t, err)
		assert.Assert(t, a.ended, "%+v", a)
	}
	got := burst(t, w)
	assert.Assert(t, got.whole >= 4)
	assert.Assert(t, got.refused > 0)
	assert.Assert(t, got.late <= 5, "%d late", got.late)
	assert.Equal(t, w.entries[0].unit.Left(), 0)
}

type burstResult struct {
	whole, refused, late int
	slowest              time.Duration // refusal
}

func burst(t *testing.T, w *world) burstResult {
	const deadline = 2 * time.Second
	var mu sync.Mutex
	var res burstResult
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":"m","prompt":"question %d","max_tokens":20,"seed":7,"class":"question"}`, i)
			began := time.Now()
			a, err := w.post(context.Background(), w.entries[0].addr, "/v1/generate", body,
				map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Caller": fmt.Sprint("caller-", i%10)})
			took := time.Since(began)
			assert.Check(t, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.ended && took <= deadline:
				res.whole++
			case a.refusal.Run == "not-run":
				res.refused++
				res.slowest = max(res.slowest, took)
				assert.Check(t, a.header.Get("Retry-After") != "", "%+v", a)
			default:
				res.late++
			}
		})
	}
	wg.Wait()
	t.Logf("whole %d, refused %d (slowest refusal %v), late or cut %d", res.whole, res.refused, res.slowest, res.late)
	return res
}
