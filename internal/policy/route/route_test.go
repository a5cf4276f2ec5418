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

func draft(key int) *Request {
	return &Request{Pool: "drafts", Artifact: Artifact{Model: "m"}, Workspace: fmt.Sprint(key), PromptTokens: 8000, Pieces: pieces(key, 4)}
}

func pick(t *testing.T, r *Router, now clock.Time, req *Request) Decision {
	t.Helper()
	d, err := r.Pick(now, req)
	assert.NilError(t, err)
	return d
}

// Entries don't talk, yet all of them prefer the same engine for a prefix.
func TestEntriesAgreeOnHomes(t *testing.T) {
	a := newRouter(Config{}, fleet(12))
	b := NewRouter(Config{}, 99)
	b.Publish(1, NewTable(Config{}, fleet(12)))
	for key := range 50 {
		assert.Equal(t, pick(t, a, 1, draft(key)).Endpoint.Name, pick(t, b, 1, draft(key)).Endpoint.Name)
	}
}

// One prefix becomes hot. Hashing alone sends all its requests to one engine.
func TestHotPrefixIsBounded(t *testing.T) {
	for _, off := range []bool{false, true} {
		cfg := Config{Credit: 50, Disabled: Guards{NoBound: off, NoPrefillWindow: true}}
		cfg.Limit.Max, cfg.Limit.Start = 1000, 1000
		r := newRouter(cfg, fleet(12))
		at := map[string]int{}
		most := 0
		for i := range 48 {
			d := pick(t, r, clock.Time(i)*clock.Time(20*time.Millisecond), draft(7))
			r.Sent(1, &d.Dispatch)
			r.FirstToken(1+d.sentAt, &d.Dispatch)
			at[d.Endpoint.Name]++
			most = max(most, at[d.Endpoint.Name])
		}
		t.Logf("bound off=%v: most on one engine %d of 48", off, most)
		assert.Equal(t, most > 8, off)
	}
}

// An engine restarts and the events that would tell it are lost. Requests for
// its old prefixes go on being sent there, to be prefilled behind a queue.
func TestCacheEventGap(t *testing.T) {
	for _, off := range []bool{false, true} {
		r := newRouter(Config{Disabled: Guards{NoGapRebuild: off}}, fleet(12))
		e := r.Table().Endpoints()[0]
		p := pieces(1, 4)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 1, Piece: p[0]}, {Seq: 2, Piece: p[1]}, {Seq: 2, Piece: p[1]}})
		assert.Equal(t, e.live.cache.depth(p), 2)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 1, Piece: p[0], Evicted: true}}) // late: already seen
		assert.Equal(t, e.live.cache.depth(p), 2)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 5, Piece: p[2]}})
		assert.Equal(t, e.live.cache.depth(p) > 0, off)
		r.ApplyCacheEvents(e.Name, []CacheEvent{{Seq: 6, Piece: p[0]}, {Seq: 7, Piece: p[1], Evicted: true}, {Seq: 1, Cleared: true}, {Seq: 2, Piece: p[0]}})
		assert.Equal(t, e.live.cache.depth(p), 1)
	}
}

func TestLateReportCountsWhatWasSentSince(t *testing.T) {
	const sec = clock.Time(time.Second)
	r := newRouter(Config{}, fleet(1))
	e := r.Table().Endpoints()[0]
	send := func(now clock.Time) Dispatch {
		d := Dispatch{Endpoint: e, work: int64(time.Second)}
		r.Sent(now, &d)
		return d
	}
	first := send(10 * sec)
	send(11 * sec)
	r.Done(11*sec, &first, Canceled)
	r.ObserveReport(e.Name, Report{TakenAt: 10*sec + sec/2, Running: 5, PrefillTokens: 1000})
	runs, work := r.load(11*sec, e.live)
	assert.Equal(t, runs, int64(5+1-1))
	assert.Equal(t, time.Duration(work), 600*time.Millisecond)
	r.ObserveReport(e.Name, Report{TakenAt: 10 * sec, Running: 50}) // older
	runs, _ = r.load(11*sec, e.live)
	assert.Equal(t, runs, int64(5))
	runs, _ = r.load(60*sec, e.live) // stale: own counts only
	assert.Equal(t, runs, int64(1))
}

// Moving a KV cache pays when it takes less time than computing it again.
func TestHandOver(t *testing.T) {
	for _, x := range []struct {
		name      string
		prompt    int
		bandwidth float64
		queued    int // tokens at the prefill engines
		strict    bool
		want      bool
	}{
		{"long prompt, fast network", 20_000, 10e9, 0, false, true},
		{"slow network", 20_000, 0.1e9, 0, false, false},
		{"short prompt", 40, 10e9, 0, false, false},
		{"prefill engines are busy", 20_000, 10e9, 90_000, false, false},
		{"decode engines never prefill", 40, 0.1e9, 9_000, true, true},
	} {
		cfg := Config{KVBandwidth: x.bandwidth, KVBytesPerToken: 128 << 10, StrictRoles: x.strict}
		eps := fleet(4)
		for i := range eps {
			eps[i].Role = []Role{Prefill, Decode}[i%2]
		}
		r := newRouter(cfg, eps)
		for _, e := range r.Table().Endpoints() {
			tokens := 0
			if e.Role == Prefill {
				tokens = x.queued
			}
			r.ObserveReport(e.Name, Report{TakenAt: 1, PrefillTokens: tokens, Running: 4})
		}
		d := pick(t, r, 2, &Request{Pool: "drafts", Artifact: Artifact{Model: "m"}, PromptTokens: x.prompt})
		assert.Equal(t, d.Prefill.Endpoint != nil, x.want, x.name)
		assert.Equal(t, d.Endpoint.Role, Decode, x.name)
	}
}

func TestStatesAndExclusions(t *testing.T) {
	eps := fleet(4)
	eps[0].State, eps[1].State, eps[2].State = Draining, Unavailable, Suspect
	r := newRouter(Config{}, eps)
	d := pick(t, r, 1, draft(1))
	assert.Equal(t, d.Endpoint.Name, "engine-0003")
	req := draft(1)
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

func TestSuspectRequestRunsWhereItHurtsFewest(t *testing.T) {
	r := newRouter(Config{}, fleet(6))
	for i, e := range r.Table().Endpoints() {
		r.ObserveReport(e.Name, Report{TakenAt: 1, Running: (i + 4) % 6})
	}
	req := draft(1)
	req.Isolate = true
	d := pick(t, r, 2, req)
	assert.Equal(t, d.Endpoint.Name, "engine-0002")
	assert.Equal(t, d.Reason, Isolated)
}

// An engine returns from a role change with empty caches. With its whole share
// at once it prefills everything anew and the first callers wait.
func TestReturnIsSlow(t *testing.T) {
	for _, off := range []bool{false, true} {
		cfg := Config{Disabled: Guards{NoRamp: off, NoAffinity: true}}
		eps := fleet(4)
		eps[0].State = Unavailable
		r := newRouter(cfg, eps)
		eps[0].State = Open
		now := clock.Time(time.Minute)
		r.Publish(now, NewTable(cfg, eps))
		got := 0
		for range 1000 {
			if pick(t, r, now, draft(1)).Endpoint.Name == eps[0].Name {
				got++
			}
		}
		later := 0
		for range 1000 {
			if pick(t, r, now.Add(time.Minute), draft(1)).Endpoint.Name == eps[0].Name {
				later++
			}
		}
		t.Logf("ramp off=%v: %d of 1000 at once, %d a minute later", off, got, later)
		assert.Equal(t, got > 150, off)
		assert.Assert(t, later > 150)
	}
}

func TestCells(t *testing.T) {
	cfg := Config{Cells: 8}
	r := newRouter(cfg, fleet(400))
	cell := map[string]int{}
	for _, e := range r.Table().Endpoints() {
		cell[e.Name] = CellOf(e.Name, 8)
	}
	moved := 0
	for key := range 400 {
		ws := fmt.Sprint(key)
		assert.Equal(t, cell[pick(t, r, 1, draft(key)).Endpoint.Name], CellOf(ws, 8))
		if CellOf(ws, 9) != CellOf(ws, 8) {
			moved++
		}
	}
	assert.Assert(t, moved > 20 && moved < 80, "%d of 400 workspaces moved for one more cell", moved)
}

// A hung engine answers nothing at all, so that no latency speaks against it.
func TestStuckEngineIsEjected(t *testing.T) {
	r := newRouter(Config{}, fleet(6))
	e := r.Table().Endpoints()[0]
	d := Dispatch{Endpoint: e, expected: time.Second}
	r.Sent(1, &d)
	assert.Equal(t, len(r.EjectOutliers(clock.Time(4*time.Second))), 0)
	out := r.EjectOutliers(clock.Time(6 * time.Second))
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Cause, Stuck)
	t.Log(out[0])
}

// Traffic and control share the router; the race detector watches.
func TestConcurrentUse(t *testing.T) {
	r := newRouter(Config{}, fleet(30))
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 300 {
				now := clock.Time(i) * clock.Time(100*time.Millisecond)
				if d, err := r.Pick(now, draft(g*i)); err == nil {
					r.Sent(now, &d.Dispatch)
					r.FirstToken(now+1000, &d.Dispatch)
					r.Done(now+2000, &d.Dispatch, Outcome(i%3))
				}
			}
		})
	}
	for i := range 30 {
		now := clock.Time(i) * clock.Time(time.Second)
		r.Publish(now, NewTable(Config{}, fleet(30-i%2)))
		r.EjectOutliers(now)
		r.ObserveReport("engine-0003", Report{TakenAt: now, Running: 3})
		r.ApplyCacheEvents("engine-0003", []CacheEvent{{Seq: uint64(i), Piece: 7}})
		_ = r.Snapshot(now)
	}
	wg.Wait()
	for _, e := range r.Table().Endpoints() {
		assert.Assert(t, e.live.ownPrefill() >= 0)
	}
}
