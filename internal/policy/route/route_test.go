package route

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/splitmix"
)

func newRouter(cfg Config, eps []Endpoint) *Router {
	r := NewRouter(cfg, 1)
	r.Publish(1, NewTable(cfg, eps))
	return r
}

func pieces(key, n int) []uint64 {
	var p []uint64
	for i := range n {
		p = append(p, splitmix.Mix(uint64(key*1000+i)))
	}
	return p
}

func draftRequest(key int) *Request {
	return &Request{Pool: "drafts", Artifact: Artifact{Model: "m"}, Workspace: fmt.Sprint(key), PromptTokens: 8000, Pieces: pieces(key, 4)}
}

func pick(t *testing.T, r *Router, now clock.Time, req *Request) Decision {
	t.Helper()
	d, err := r.Pick(now, req)
	assert.NilError(t, err)
	return d
}

// Guards against entries preferring different engines for the same prefix, which they must agree on
// without coordination.
func TestEntriesPreferTheSameEngine(t *testing.T) {
	a := newRouter(Config{}, testEngines(12))
	b := NewRouter(Config{}, 99)
	b.Publish(1, NewTable(Config{}, testEngines(12)))
	for key := range 50 {
		assert.Equal(t, pick(t, a, 1, draftRequest(key)).Endpoint.Name, pick(t, b, 1, draftRequest(key)).Endpoint.Name)
	}
}

// Guards against hashing alone sending all requests of one hot prefix to one engine.
func TestHotPrefixIsBounded(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		cfg := Config{AffinityCredit: 50, Disabled: Guards{NoLoadBound: disabled, NoPrefillWindow: true}}
		cfg.Limit.Max, cfg.Limit.Initial = 1000, 1000
		r := newRouter(cfg, testEngines(12))
		perEngine := map[string]int{}
		maxPerEngine := 0
		for i := range 48 {
			d := pick(t, r, clock.Time(i)*clock.Time(20*time.Millisecond), draftRequest(7))
			r.Sent(1, &d.Dispatch)
			r.FirstToken(1+d.sentAt, &d.Dispatch)
			perEngine[d.Endpoint.Name]++
			maxPerEngine = max(maxPerEngine, perEngine[d.Endpoint.Name])
		}
		t.Logf("load bound disabled=%v: most on one engine %d of 48", disabled, maxPerEngine)
		assert.Equal(t, maxPerEngine > 8, disabled)
	}
}

// Guards against a stale cache view when an engine restarts and the events that would report it are
// lost. Requests for its old prefixes would still be sent there and wait for a prefill.
func TestCacheEventGapClearsTheView(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		r := newRouter(Config{Disabled: Guards{NoGapReset: disabled}}, testEngines(12))
		e := r.Table().Endpoints()[0]
		p := pieces(1, 4)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 1, Piece: p[0]}, {Seq: 2, Piece: p[1]}, {Seq: 2, Piece: p[1]}})
		assert.Equal(t, e.runtime.cacheView.cachedPrefix(p), 2)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 1, Piece: p[0], Evicted: true}}) // late duplicate
		assert.Equal(t, e.runtime.cacheView.cachedPrefix(p), 2)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 5, Piece: p[2]}})
		assert.Equal(t, e.runtime.cacheView.cachedPrefix(p) > 0, disabled)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 6, Piece: p[0]}, {Seq: 7, Piece: p[1], Evicted: true}, {Seq: 1, Cleared: true}, {Seq: 2, Piece: p[0]}})
		assert.Equal(t, e.runtime.cacheView.cachedPrefix(p), 1)
	}
}

func TestLateReportIncludesRequestsSentSince(t *testing.T) {
	const sec = clock.Time(time.Second)
	r := newRouter(Config{}, testEngines(1))
	e := r.Table().Endpoints()[0]
	send := func(now clock.Time) Dispatch {
		d := Dispatch{Endpoint: e, prefillNanos: int64(time.Second)}
		r.Sent(now, &d)
		return d
	}
	first := send(10 * sec)
	send(11 * sec)
	r.Done(11*sec, &first, Canceled)
	r.ObserveReport(e.Name, Report{TakenAt: 10*sec + sec/2, Running: 5, PrefillTokens: 1000})
	requests, prefillNanos := r.estimateLoad(11*sec, e.runtime)
	assert.Equal(t, requests, int64(5+1-1))
	assert.Equal(t, time.Duration(prefillNanos), 600*time.Millisecond)
	r.ObserveReport(e.Name, Report{TakenAt: 10 * sec, Running: 50}) // older than the last report
	requests, _ = r.estimateLoad(11*sec, e.runtime)
	assert.Equal(t, requests, int64(5))
	requests, _ = r.estimateLoad(60*sec, e.runtime) // the report is stale, so only own counts are used
	assert.Equal(t, requests, int64(1))
}

// Guards against KV cache transfers that take longer than computing the cache again, or that delay
// the first token because the prefill engines are busy.
func TestHandoff(t *testing.T) {
	for _, tc := range []struct {
		name      string
		prompt    int
		bandwidth float64
		queued    int // prompt tokens at each prefill engine
		strict    bool
		want      bool
	}{
		{"long prompt, fast network", 20_000, 10e9, 0, false, true},
		{"slow network", 20_000, 0.1e9, 0, false, false},
		{"short prompt", 40, 10e9, 0, false, false},
		{"prefill engines are busy", 20_000, 10e9, 90_000, false, false},
		{"decode engines never prefill", 40, 0.1e9, 9_000, true, true},
	} {
		cfg := Config{KVBandwidth: tc.bandwidth, KVBytesPerToken: 128 << 10, StrictRoles: tc.strict}
		eps := testEngines(4)
		for i := range eps {
			eps[i].Role = []Role{Prefill, Decode}[i%2]
		}
		r := newRouter(cfg, eps)
		for _, e := range r.Table().Endpoints() {
			tokens := 0
			if e.Role == Prefill {
				tokens = tc.queued
			}
			r.ObserveReport(e.Name, Report{TakenAt: 1, PrefillTokens: tokens, Running: 4})
		}
		d := pick(t, r, 2, &Request{Pool: "drafts", Artifact: Artifact{Model: "m"}, PromptTokens: tc.prompt})
		assert.Equal(t, d.Prefill.Endpoint != nil, tc.want, tc.name)
		assert.Equal(t, d.Endpoint.Role, Decode, tc.name)
	}
}

func TestStatesAndExclusions(t *testing.T) {
	eps := testEngines(4)
	eps[0].State, eps[1].State, eps[2].State = Draining, Unavailable, Suspect
	r := newRouter(Config{}, eps)
	d := pick(t, r, 1, draftRequest(1))
	assert.Equal(t, d.Endpoint.Name, "engine-0003")
	req := draftRequest(1)
	req.Exclude = []*Endpoint{d.Endpoint}
	d = pick(t, r, 1, req)
	assert.Equal(t, d.Endpoint.Name, "engine-0002")
	assert.Equal(t, d.Reason, Fallback)
	req.Exclude = append(req.Exclude, d.Endpoint)
	_, err := r.Pick(1, req)
	assert.Equal(t, code.Of(err).Code, code.NoEndpoint)
	_, err = r.Pick(1, &Request{Pool: "none"})
	assert.Equal(t, code.Of(err).Code, code.NoEndpoint)
}

func TestSuspectRequestRunsOnLeastLoadedEngine(t *testing.T) {
	r := newRouter(Config{}, testEngines(6))
	for i, e := range r.Table().Endpoints() {
		r.ObserveReport(e.Name, Report{TakenAt: 1, Running: (i + 4) % 6})
	}
	req := draftRequest(1)
	req.Isolate = true
	d := pick(t, r, 2, req)
	assert.Equal(t, d.Endpoint.Name, "engine-0002")
	assert.Equal(t, d.Reason, Isolated)
}

// Guards against an engine that returns from a role change with empty caches and gets its full
// share at once. It would prefill every prefix again while the first callers wait.
func TestReturningEngineGetsSlowStart(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		cfg := Config{Disabled: Guards{NoSlowStart: disabled, NoAffinity: true}}
		eps := testEngines(4)
		eps[0].State = Unavailable
		r := newRouter(cfg, eps)
		eps[0].State = Open
		now := clock.Time(time.Minute)
		r.Publish(now, NewTable(cfg, eps))
		atOnce := 0
		for range 1000 {
			if pick(t, r, now, draftRequest(1)).Endpoint.Name == eps[0].Name {
				atOnce++
			}
		}
		later := 0
		for range 1000 {
			if pick(t, r, now.Add(time.Minute), draftRequest(1)).Endpoint.Name == eps[0].Name {
				later++
			}
		}
		t.Logf("slow start disabled=%v: %d of 1000 at once, %d a minute later", disabled, atOnce, later)
		assert.Equal(t, atOnce > 150, disabled)
		assert.Assert(t, later > 150)
	}
}

func TestCells(t *testing.T) {
	cfg := Config{Cells: 8}
	r := newRouter(cfg, testEngines(400))
	cell := map[string]int{}
	for _, e := range r.Table().Endpoints() {
		cell[e.Name] = CellOf(e.Name, 8)
	}
	moved := 0
	for key := range 400 {
		workspace := fmt.Sprint(key)
		assert.Equal(t, cell[pick(t, r, 1, draftRequest(key)).Endpoint.Name], CellOf(workspace, 8))
		if CellOf(workspace, 9) != CellOf(workspace, 8) {
			moved++
		}
	}
	assert.Assert(t, moved > 20 && moved < 80, "%d of 400 workspaces moved for one more cell", moved)
}

// Guards against a hung engine staying in its pool: it returns nothing, so there is no latency
// sample that shows it is slow.
func TestStuckEngineIsEjected(t *testing.T) {
	r := newRouter(Config{}, testEngines(6))
	e := r.Table().Endpoints()[0]
	d := Dispatch{Endpoint: e, expectedTime: time.Second}
	r.Sent(1, &d)
	assert.Equal(t, len(r.EjectOutliers(clock.Time(4*time.Second))), 0)
	ejections := r.EjectOutliers(clock.Time(6 * time.Second))
	assert.Equal(t, len(ejections), 1)
	assert.Equal(t, ejections[0].Cause, Stuck)
	t.Log(ejections[0])
}

// Guards against data races between traffic and control goroutines; run with the race detector.
func TestConcurrentUse(t *testing.T) {
	r := newRouter(Config{}, testEngines(30))
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 300 {
				now := clock.Time(i) * clock.Time(100*time.Millisecond)
				if d, err := r.Pick(now, draftRequest(g*i)); err == nil {
					r.Sent(now, &d.Dispatch)
					r.FirstToken(now+1000, &d.Dispatch)
					r.Done(now+2000, &d.Dispatch, Outcome(i%3))
				}
			}
		})
	}
	for i := range 30 {
		now := clock.Time(i) * clock.Time(time.Second)
		r.Publish(now, NewTable(Config{}, testEngines(30-i%2)))
		r.EjectOutliers(now)
		r.ObserveReport("engine-0003", Report{TakenAt: now, Running: 3})
		r.ApplyCacheEvents("engine-0003", []CacheEvent{{Seq: uint64(i), Piece: 7}})
		_ = r.Snapshot(now)
	}
	wg.Wait()
	for _, e := range r.Table().Endpoints() {
		assert.Assert(t, e.runtime.totalOwnPrefillNanos() >= 0)
	}
}
