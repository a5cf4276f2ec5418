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

// An engine crashes in the middle of its streams, each time at another token. Another engine must
// continue the streams without a repeated or missing word.
func TestEngineCrashMidStream(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine(), fastEngine(), fastEngine()}})
	for i, at := range []int{1, 5, 17, 30} {
		var wg sync.WaitGroup
		for j := range 6 {
			wg.Go(func() {
				prompt := fmt.Sprintf("lot %d-%d", i, j)
				a, err := cl.generate(cl.entries[0].addr, prompt, 80)
				assert.Check(t, err)
				assert.Check(t, a.complete, "%+v", a)
				assert.Check(t, a.text == wantText(prompt, 80))
			})
		}
		time.Sleep(time.Duration(10+4*at) * time.Millisecond)
		cl.fault(cl.engines[i%3], `{"name":"crash","count":1}`)
		wg.Wait()
		cl.awaitReady(cl.entries[0])
	}
}

// The control process moves the streams off an engine that changes its role. The streams must
// continue on another engine, with their KV cache, and callers must not notice.
func TestPlannedMoveInterruptsNoStream(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine(), fastEngine()}})
	var wg sync.WaitGroup
	for j := range 8 {
		wg.Go(func() {
			prompt := fmt.Sprintf("lot %d", j)
			a, err := cl.generate(cl.entries[0].addr, prompt, 150)
			assert.Check(t, err)
			assert.Check(t, a.complete, "%+v", a)
			assert.Check(t, a.text == wantText(prompt, 150))
		})
	}
	time.Sleep(100 * time.Millisecond)
	u := cl.entries[0].unit
	u.fleet.Direct(cl.ctx, &wire.Directive{Engine: "e0", Fence: 5, Seq: 1, Phase: wire.Phase_PHASE_MOVE})
	deadline := time.Now().Add(2 * time.Second)
	for u.fleet.Engine("e0").InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, u.fleet.Engine("e0").InFlight(), 0)
	// A directive with an older fencing token, from a former holder of the engine's lease, must not
	// open the engine.
	u.fleet.Direct(cl.ctx, &wire.Directive{Engine: "e0", Fence: 4, Seq: 9, Phase: wire.Phase_PHASE_OPEN})
	for _, e := range u.Status().Endpoints {
		assert.Assert(t, e.Name != "e0" || e.Phase == "draining", "%+v", e)
	}
	wg.Wait()
}

// A VM is shut down under load. Its streams must complete, and callers that still use its address
// must be answered through a peer.
func TestLeavingVMInterruptsNoRequest(t *testing.T) {
	cl := newCluster(t, clusterConfig{
		entries: 2, engines: []engine.Config{fastEngine(), fastEngine()}, services: []service.Config{{}},
	})
	leaving := cl.entries[0]
	var wg sync.WaitGroup
	startStream := func(prompt string, tokens int) {
		wg.Go(func() {
			a, err := cl.generate(leaving.addr, prompt, tokens)
			if !assert.Check(t, err) {
				return
			}
			assert.Check(t, a.complete, "%+v", a)
			assert.Check(t, a.text == wantText(prompt, tokens))
		})
	}
	for i := range 5 {
		startStream(fmt.Sprintf("early %d", i), 600)
	}
	time.Sleep(100 * time.Millisecond)
	leaving.terminate()
	leaving.terminate() // an operator repeats the signal
	for i := range 10 {
		time.Sleep(100 * time.Millisecond)
		startStream(fmt.Sprintf("late %d", i), 20)
		key := fmt.Sprintf("key-%d", i)
		a, err := cl.topup(leaving.addr, key, `{}`, false, time.Now())
		assert.NilError(t, err)
		assert.Equal(t, a.header.Get("Run"), "ran", "%+v", a)
	}
	for _, a := range cl.entries[1].unit.backend.Addresses("").Addresses {
		assert.Assert(t, a.Address != leaving.addr, "a leaving VM is in the address answer")
	}
	wg.Wait()
	assert.NilError(t, <-leaving.done)
}

// Two VMs leave at the same time and each has the other as its only peer. A request must not be
// forwarded back and forth between them: it is refused as not run.
func TestTwoLeavingVMsDoNotLoop(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 2, engines: []engine.Config{fastEngine()}})
	for _, e := range cl.entries {
		e.unit.leaving.Store(true)
	}
	a, err := cl.generate(cl.entries[0].addr, "lot", 5)
	assert.NilError(t, err)
	assert.Equal(t, a.refusal.Name, "forward-loop", "%+v", a)
	assert.Equal(t, a.refusal.Run, "not-run")
}

// One request crashes every engine that runs it, and its caller keeps retrying it at all entries.
// Without quarantine the whole fleet is down for as long as the caller retries. With quarantine at
// most two engines crash, and the other streams on them complete.
func TestPoisonCostsAtMostTwoEngines(t *testing.T) {
	crashed, interrupted := runPoison(t, false)
	assert.Assert(t, crashed <= 2, "%d engines crashed", crashed)
	assert.Equal(t, interrupted, 0)
}

func TestPoisonWithoutQuarantine(t *testing.T) {
	crashed, interrupted := runPoison(t, true)
	assert.Assert(t, crashed > 2, "%d engines crashed, %d streams interrupted", crashed, interrupted)
}

// runPoison sends a request that crashes engines 20 times. It returns how many engines crashed, and
// how many of six other streams that ran meanwhile were interrupted.
func runPoison(t *testing.T, disabled bool) (crashed, interrupted int) {
	poisoned := fastEngine()
	poisoned.Poison = "mould"
	poisoned.Downtime = 100 * time.Millisecond
	cl := newCluster(t, clusterConfig{entries: 2, engines: []engine.Config{poisoned, poisoned, poisoned, poisoned}})
	for _, e := range cl.entries {
		e.unit.suspects.Disabled = disabled
	}
	var interruptions atomic.Int64
	var wg sync.WaitGroup
	for j := range 6 {
		wg.Go(func() {
			prompt := fmt.Sprintf("neighbour %d", j)
			a, err := cl.generate(cl.entries[j%2].addr, prompt, 400)
			if err != nil || !a.complete || a.text != wantText(prompt, 400) {
				interruptions.Add(1)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	before := cl.incarnations()
	for i := range 20 {
		a, err := cl.generate(cl.entries[i%2].addr, "a crate with mould", 20)
		assert.NilError(t, err)
		assert.Assert(t, !a.complete, "%+v", a)
		assert.Assert(t, disabled || a.refusal.Name == "poison", "%+v", a)
	}
	wg.Wait()
	time.Sleep(4 * poisoned.Downtime)
	for name, incarnation := range cl.incarnations() {
		if before[name] != incarnation {
			crashed++
		}
	}
	return crashed, int(interruptions.Load())
}

// incarnations returns the engines' incarnations.
func (cl *cluster) incarnations() map[string]string {
	out := map[string]string{}
	for name, e := range cl.entries[0].unit.fleet.Engines() {
		s, err := e.State(cl.ctx)
		assert.NilError(cl.t, err)
		out[name] = s.Incarnation
	}
	return out
}

// A caller disconnects in the middle of a stream. The engine must free the slot immediately;
// otherwise requests of disconnected callers fill the fleet.
func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine()}})
	ctx, cancel := context.WithTimeout(cl.ctx, 200*time.Millisecond)
	defer cancel()
	body := `{"model":"m","prompt":"x","max_tokens":2000,"seed":7,"class":"question"}`
	_, err := cl.post(ctx, cl.entries[0].addr, "/v1/generate", body, nil)
	assert.Assert(t, err != nil)
	e := cl.entries[0].unit.fleet.Engine("e0")
	for range 100 {
		s, err := e.State(cl.ctx)
		assert.NilError(t, err)
		if s.Running+s.Queued == 0 && e.InFlight() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the engine still runs the request of a disconnected caller")
}

// Each kind of invalid request must be refused with its own result code, as not run.
func TestInvalidRequestsGetResultCodes(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 1, engines: []engine.Config{fastEngine()}, services: []service.Config{{}}})
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
		a, err := cl.post(cl.ctx, cl.entries[0].addr, tt.path, tt.body, tt.header)
		assert.NilError(t, err)
		assert.Equal(t, a.refusal.Name, tt.name, "%s %.80s: %+v", tt.path, tt.body, a)
		assert.Equal(t, a.refusal.Run, "not-run")
		assert.Assert(t, a.status != http.StatusOK)
	}
	assert.Equal(t, cl.entries[0].unit.Left(), 0)
}
