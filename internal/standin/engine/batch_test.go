package engine

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

func testRun(t *testing.T, cfg Config) *run {
	t.Helper()
	return newRun(t.Context(), New(cfg), func() {})
}

func (r *run) enqueueRequest(t *testing.T, prompt, priority int, kv *driver.KVHandle) *sequence {
	s := newSequence(t.Context(), &httpapi.Generate{
		Prompt: bytes.Repeat([]byte("lot "), prompt), MaxTokens: 5, Priority: priority, KV: kv,
	}, false)
	r.enqueue(s, kv != nil)
	return s
}

// stepOnce runs one step and returns its duration.
func (r *run) stepOnce(now time.Time) time.Duration {
	w := r.plan(now)
	r.apply(w)
	return w.duration
}

func TestStepTimeGrowsWithBatchAndPrefill(t *testing.T) {
	r := testRun(t, Config{
		PrefillRate: 1000, PrefillChunk: 100, DecodeStep: 10 * time.Millisecond, DecodePerSeq: time.Millisecond,
	})
	now := time.Now()
	r.enqueueRequest(t, 50, 0, nil)
	r.enqueueRequest(t, 50, 0, nil)
	assert.Equal(t, r.stepOnce(now), 100*time.Millisecond, "prefill of both prompts, nothing to decode")
	assert.Equal(t, r.stepOnce(now), 11*time.Millisecond, "decode step of a batch of two")
	r.enqueueRequest(t, 1000, 0, nil)
	assert.Equal(t, r.stepOnce(now), 111*time.Millisecond, "decode step plus one prefill chunk of the long prompt")
}

func TestBatchIsFilledByPriorityThenArrival(t *testing.T) {
	r := testRun(t, Config{MaxBatch: 1})
	r.enqueueRequest(t, 1, 0, nil)
	first := r.enqueueRequest(t, 1, 5, nil)
	r.enqueueRequest(t, 1, 5, nil)
	r.plan(time.Now())
	assert.Equal(t, r.batch[0], first)
}

func TestKVImportOverlapsWithBatch(t *testing.T) {
	r := testRun(t, Config{PrefillRate: 1000, KVRate: 1000, DecodeStep: 10 * time.Millisecond})
	now := time.Now()
	imported := r.enqueueRequest(t, 500, 0, &driver.KVHandle{Bytes: 100})
	w := r.plan(now)
	assert.Equal(t, w.duration, time.Duration(0))
	assert.Equal(t, w.wait, 100*time.Millisecond)
	later := now.Add(101 * time.Millisecond)
	assert.Equal(t, r.stepOnce(later), time.Millisecond, "prefill of the last prompt token")
	assert.Equal(t, r.stepOnce(later), 10*time.Millisecond)
	assert.Equal(t, imported.pos, 1)
	slow := r.enqueueRequest(t, 500, 0, &driver.KVHandle{Bytes: 10_000})
	r.plan(later)
	assert.Equal(t, slow.prefillLeft, 500.0, "prefilling is quicker than importing")
}

func TestCachedBlocksAreNotRecomputed(t *testing.T) {
	r := testRun(t, Config{CacheBlocks: 3})
	now := time.Now()
	prompt := 2*httpapi.BlockTokens + 10
	r.enqueueRequest(t, prompt, 0, nil)
	for r.cache.free() == 3 {
		r.stepOnce(now)
	}
	again := r.enqueueRequest(t, prompt, 0, nil)
	r.plan(now)
	assert.Equal(t, again.prefillLeft, 10.0)
}
