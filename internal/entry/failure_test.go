package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/service"
	"fescuestand/internal/wire"
)

// A line lead's draft is half written when its engine crashes, each time at
// another token. The lead sees the rest come from another engine, without a
// repeated or missing word.
func TestEngineCrashMidStream(t *testing.T) {
	w := newWorld(t, worldConfig{entries: 1, engines: []engine.Config{quick(), quick(), quick()}})
	for i, at := range []int{1, 5, 17, 30} {
		var wg sync.WaitGroup
		for j := range 6 {
			wg.Go(func() {
				prompt := fmt.Sprintf("lot %d-%d", i, j)
				a, err := w.generate(w.entries[0].addr, prompt, 80)
				assert.Check(t, err)
				assert.Check(t, a.ended, "%+v", a)
				assert.Check(t, a.text == wantText(prompt, 80))
			})
		}
		time.Sleep(time.Duration(10+4*at) * time.Millisecond)
		w.fault(w.engines[i%3], `{"name":"crash","count":1}`)
		wg.Wait()
		w.awaitReady(w.entries[0])
	}
}

// The control process takes an engine away for another role while drafts run on
// it. Callers must see nothing of it: the streams move, with their KV cache.
func TestPlannedMoveCutsNoStream(t *testing.T) {
	w := newWorld(t, worldConfig{entries: 1, engines: []engine.Config{quick(), quick()}})
	var wg sync.WaitGroup
	for j := range 8 {
		wg.Go(func() {
			prompt := fmt.Sprintf("lot %d", j)
			a, err := w.generate(w.entries[0].addr, prompt, 150)
			assert.Check(t, err)
			assert.Check(t, a.ended, "%+v", a)
			assert.Check(t, a.text == wantText(prompt, 150))
		})
	}
	time.Sleep(100 * time.Millisecond)
	u := w.entries[0].unit
	u.fleet.Direct(w.ctx, &wire.Directive{Engine: "e0", Fence: 5, Seq: 1, Phase: wire.Phase_PHASE_MOVE})
	deadline := time.Now().Add(2 * time.Second)
	for u.fleet.Engine("e0").InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, u.fleet.Engine("e0").InFlight(), 0)
	// A directive of a holder that has lost the engine must not open it.
	u.fleet.Direct(w.ctx, &wire.Directive{Engine: "e0", Fence: 4, Seq: 9, Phase: wire.Phase_PHASE_OPEN})
	for _, e := range u.Status().Endpoints {
		assert.Assert(t, e.Name != "e0" || e.Phase == "draining", "%+v", e)
	}
	wg.Wait()
}

// A VM is taken down for a replacement under load. Its streams end whole, and
// callers that still hold its address get their answers through a peer.
func TestLeavingVMCutsNothing(t *testing.T) {
	w := newWorld(t, worldConfig{
		entries: 2, engines: []engine.Config{quick(), quick()}, services: []service.Config{{}},
	})
	leaving := w.entries[0]
	var wg sync.WaitGroup
	ask := func(prompt string, tokens int) {
		wg.Go(func() {
			a, err := w.generate(leaving.addr, prompt, tokens)
			if !assert.Check(t, err) {
				return
			}
			assert.Check(t, a.ended, "%+v", a)
			assert.Check(t, a.text == wantText(prompt, tokens))
		})
	}
	for i := range 5 {
		ask(fmt.Sprintf("early %d", i), 600)
	}
	time.Sleep(100 * time.Millisecond)
	leaving.terminate()
	leaving.terminate() // an impatient operator
	for i := range 10 {
		time.Sleep(100 * time.Millisecond)
		ask(fmt.Sprintf("late %d", i), 20)
		key := fmt.Sprintf("key-%d", i)
		a, err := w.topup(leaving.addr, key, `{}`, false, time.Now())
		assert.NilError(t, err)
		assert.Equal(t, a.header.Get("Run"), "ran", "%+v", a)
	}
	for _, a := range w.entries[1].unit.backend.Addresses("").Addresses {
		assert.Assert(t, a.Address != leaving.addr, "a leaving VM is in the address answer")
	}
	wg.Wait()
	assert.NilError(t, <-leaving.done)
}

// Two VMs leave at the same time and each knows the other as its peer. A late
// request must not go to and fro between them: it is refused as not run.
func TestTwoLeavingVMsDoNotLoop(t *testing.T) {
	w := newWorld(t, worldConfig{entries: 2, engines: []engine.Config{quick()}})
	for _, e := range w.entries {
		e.unit.leaving.Store(true)
	}
	a, err := w.generate(w.entries[0].addr, "lot", 5)
	assert.NilError(t, err)
	assert.Equal(t, a.refusal.Name, "forward-loop", "%+v", a)
	assert.Equal(t, a.refusal.Run, "not-run")
}

// One request crashes every engine that runs it, and its caller sends it again
// and again to all entries. Without a verdict the whole fleet would be down for
// as long as the caller is patient; with it, two engines are lost, and the
// drafts that shared them are whole.
func TestPoisonCostsAtMostTwoEngines(t *testing.T) {
	lost, cut := poison(t, false)
	assert.Assert(t, lost <= 2, "%d engines lost", lost)
	assert.Equal(t, cut, 0)
}

func TestPoisonWithoutVerdict(t *testing.T) {
	lost, cut := poison(t, true)
	assert.Assert(t, lost > 2, "%d engines lost, %d drafts cut", lost, cut)
}

// poison returns how many engines one request costs that is sent 20 times, and
// how many of six drafts that run meanwhile are cut.
func poison(t *testing.T, off bool) (lost, cut int) {
	poisoned := quick()
	poisoned.Poison = "mould"
	poisoned.Downtime = 100 * time.Millisecond
	w := newWorld(t, worldConfig{entries: 2, engines: []engine.Config{poisoned, poisoned, poisoned, poisoned}})
	for _, e := range w.entries {
		e.unit.suspects.Disabled = off
	}
	var cuts atomic.Int64
	var wg sync.WaitGroup
	for j := range 6 {
		wg.Go(func() {
			prompt := fmt.Sprintf("neighbour %d", j)
			a, err := w.generate(w.entries[j%2].addr, prompt, 400)
			if err != nil || !a.ended || a.text != wantText(prompt, 400) {
				cuts.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	lives := w.lives()
	for i := range 20 {
		a, err := w.generate(w.entries[i%2].addr, "a crate with mould", 20)
		assert.NilError(t, err)
		assert.Assert(t, !a.ended, "%+v", a)
		assert.Assert(t, off || a.refusal.Name == "poison", "%+v", a)
	}
	wg.Wait()
	time.Sleep(4 * poisoned.Downtime)
	for name, life := range w.lives() {
		if lives[name] != life {
			lost++
		}
	}
	return lost, int(cuts.Load())
}

// lives returns the engines' incarnations.
func (w *world) lives() map[string]string {
	out := map[string]string{}
	for name, e := range w.entries[0].unit.fleet.Engines() {
		s, err := e.State(w.ctx)
		assert.NilError(w.t, err)
		out[name] = s.Incarnation
	}
	return out
}

// A caller closes its connection in the middle of a stream. The engine's place
// must be free again at once, or gone callers fill the fleet.
func TestCallerGoneCancelsUpstream(t *testing.T) {
	w := newWorld(t, worldConfig{entries: 1, engines: []engine.Config{quick()}})
	ctx, cancel := context.WithTimeout(w.ctx, 200*time.Millisecond)
	defer cancel()
	body := `{"model":"m","prompt":"x","max_tokens":2000,"seed":7,"class":"question"}`
	_, err := w.post(ctx, w.entries[0].addr, "/v1/generate", body, nil)
	assert.Assert(t, err != nil)
	e := w.entries[0].unit.fleet.Engine("e0")
	for range 100 {
		s, err := e.State(w.ctx)
		assert.NilError(t, err)
		if s.Running+s.Queued == 0 && e.InFlight() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the engine still runs a gone caller's request")
}

// Every kind of bad request gets its own number at once, as not run.
func TestBadRequestsAreNumbered(t *testing.T) {
	w := newWorld(t, worldConfig{entries: 1, engines: []engine.Config{quick()}, services: []service.Config{{}}})
	good := `{"model":"m","prompt":"x","max_tokens":5,"seed":7,"class":"question"}`
	now := fmt.Sprint(time.Now().UnixMilli())
	tests := []struct {
		name, path, body string
		header           map[string]string
	}{
		{"bad-json", "/v1/generate", `{"model":`, nil},
		{"bad-json", "/v1/generate", good + good, nil},
		{"bad-json", "/v1/generate", strings.Replace(good, "seed", "sed", 1), nil},
		{"body-too-large", "/v1/generate", strings.Repeat("x", 100_001), nil},
		{"header-too-large", "/v1/generate", good, map[string]string{"X-Flood": strings.Repeat("x", 20_000)}},
		{"unknown-model", "/v1/generate", strings.Replace(good, `"m"`, `"q"`, 1), nil},
		{"unknown-version", "/v1/generate", strings.Replace(good, `"m"`, `"m","version":"9"`, 1), nil},
		{"unknown-class", "/v1/generate", strings.Replace(good, "question", "riddle", 1), nil},
		{"bad-field", "/v1/generate", strings.Replace(good, ":5", ":0", 1), nil},
		{"bad-field", "/v1/generate", strings.Replace(good, ":5", ":2001", 1), nil},
		{"bad-deadline", "/v1/generate", good, map[string]string{"Deadline-Ms": "0"}},
		{"bad-deadline", "/v1/generate", good, map[string]string{"Deadline-Ms": "soon"}},
		{"bad-deadline", "/v1/generate", good, map[string]string{"Deadline-Ms": "99999999999"}},
		{"deadline-passed", "/v1/generate", good, map[string]string{"Deadline-Ms": "-5"}},
		{"unknown-path", "/v2/generate", good, nil},
		{"unknown-service", "/v1/services/x/topup", `{}`, nil},
		{"unknown-operation", "/v1/services/lantern/x", `{}`, nil},
		{"missing-key", "/v1/services/lantern/topup", `{}`, nil},
		{"missing-key", "/v1/services/lantern/topup", `{}`, map[string]string{"Idempotency-Key": "k"}},
		{"bad-key", "/v1/services/lantern/topup", `{}`, map[string]string{"Idempotency-Key": "k", "Key-Issued-Ms": "x"}},
		{"bad-key", "/v1/services/lantern/topup", `{}`, map[string]string{
			"Idempotency-Key": strings.Repeat("k", 300), "Key-Issued-Ms": now,
		}},
	}
	for _, tt := range tests {
		a, err := w.post(w.ctx, w.entries[0].addr, tt.path, tt.body, tt.header)
		assert.NilError(t, err)
		assert.Equal(t, a.refusal.Name, tt.name, "%s %.80s: %+v", tt.path, tt.body, a)
		assert.Equal(t, a.refusal.Run, "not-run")
		assert.Assert(t, a.status != http.StatusOK)
	}
	assert.Equal(t, w.entries[0].unit.Left(), 0)
}
