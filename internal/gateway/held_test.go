package gateway

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/policy/scarcity"
	"fescuestand/internal/wire"
)

// setPriorities installs a configuration with an urgent route, /u/, and a less urgent one, /x/, of one service.
func (w *testGateway) setPriorities(urgent, other catalog.Route) {
	urgent.Name, urgent.PathPrefix, urgent.Priority = "u", "/u/", 0
	other.Name, other.PathPrefix, other.Priority = "x", "/x/", 2
	var routes []*catalog.Route
	for _, r := range []*catalog.Route{&urgent, &other} {
		r.Host, r.Shares, r.MaxAttempts = "h.example", []catalog.Share{{Service: "s", Weight: 1}}, 1
		routes = append(routes, r)
	}
	w.store.SetConfig(catalog.NewConfig(uint64(time.Now().UnixNano()), routes, []*catalog.Service{{Name: "s"}}))
}

var (
	urgentStream = catalog.Route{Kind: catalog.Stream, LatencyTarget: 250 * time.Millisecond}
	otherStream  = catalog.Route{Kind: catalog.Stream, LatencyTarget: 500 * time.Millisecond}
)

// serial is an engine that runs one request at a time.
type serial struct {
	running chan struct{} // full while a request runs
	runTime time.Duration // of each request
	paths   []string      // of the requests, in the order in which they ran
}

func newSerial(runTime time.Duration) *serial {
	return &serial{running: make(chan struct{}, 1), runTime: runTime}
}

func (s *serial) handle(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	s.running <- struct{}{}
	defer func() { <-s.running }()
	s.paths = append(s.paths, r.URL.Path)
	time.Sleep(s.runTime)
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	return events(c, last+1, last+2, true)
}

// Guards against an urgent request that waits behind less urgent ones which its VM holds, and against held requests
// that are refused although their callers would have waited.
func TestTheUrgentRequestIsSentFirst(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setPriorities(urgentStream, otherStream)
		s := newSerial(80 * time.Millisecond) // about the predicted time of 8,000 tokens
		w.addEndpoint("a", catalog.Decode, w.serve(t, s.handle))
		var callers sync.WaitGroup
		call := func(path string) {
			callers.Go(func() {
				resp, _, err := w.request(t, "POST", path, "", "Tokens", "8000", "Patience", "2000")
				assert.Check(t, err)
				assert.Check(t, resp.StatusCode == http.StatusOK)
			})
		}
		const requests = 8
		for range requests {
			call("/x/")
			time.Sleep(time.Millisecond)
		}
		held := w.gateway.HeldRequests().Counts()["s"]
		assert.Check(t, held >= 2, "%d", held)
		call("/u/")
		callers.Wait()
		assert.Assert(t, slices.Index(s.paths, "/u/") <= requests-held, "%v", s.paths)
		assert.Equal(t, len(w.gateway.HeldRequests().Counts()), 0)
		m := w.gateway.Metrics().Snapshot().Scarcity
		assert.Assert(t, m["hold endpoints-busy"]+m["hold not-first"] >= int64(held))
	})
}

// Guards against taken-up streams that are refused in an overload as if nothing had been generated, with routes of
// different priority or without.
func TestTakenUpStreamsPrecedeNewOnes(t *testing.T) {
	for name, priority := range map[string]int{"priorities": 0, "no priorities": 2} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.origins.origin, w.origins.found = origin.Origin{Version: "v1"}, originsync.Peer
				other := otherStream
				other.Resumable = true
				w.setPriorities(urgentStream, other)
				w.store.View().Config.Match("h.example", "/u/").Priority = priority
				s := newSerial(80 * time.Millisecond)
				w.addVersion("a", "v1", catalog.Decode, w.serve(t, s.handle))
				var callers sync.WaitGroup
				var refused atomic.Int64
				for range 60 {
					callers.Go(func() {
						resp, _, err := w.request(t, "POST", "/x/new", "", "Tokens", "8000", "Patience", "2000")
						assert.Check(t, err)
						if resp.StatusCode != http.StatusOK {
							refused.Add(1)
						}
					})
					time.Sleep(time.Millisecond)
				}
				resp, _, err := w.request(t, "POST", "/x/taken", "", "Tokens", "8000", "Patience", "2000", "Resumes", "0", "Last", "3")
				assert.Check(t, err)
				assert.Check(t, resp.StatusCode == http.StatusOK, "%d", resp.StatusCode)
				callers.Wait()
				assert.Assert(t, refused.Load() > 0, "no overload")
				assert.Assert(t, slices.Index(s.paths, "/x/taken") < len(s.paths)/2, "%v", s.paths)
			})
		})
	}
}

// Guards against a VM that takes the capacity which another one needs for more urgent requests, and against one
// that goes on waiting when it hears nothing any more.
func TestUrgentWorkElsewhereIsAwaited(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setPriorities(urgentStream, otherStream)
		w.gossip.Held = w.gateway.HeldRequests()
		w.addEndpoint("a", catalog.Decode, w.serve(t, newSerial(250*time.Millisecond).handle))
		began := time.Now()
		w.gossip.Receive("vm", &wire.Beat{Held: []*wire.HeldWork{encodeHeld("s", scarcity.Held{{Work: 500 * time.Millisecond, Count: 2}})}})
		resp := w.openStreamAt(t, "/u/")
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "the urgent request waits")
		assert.NilError(t, resp.Body.Close())
		began = time.Now()
		resp = w.openStreamAt(t, "/x/")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Assert(t, time.Since(began) > time.Second, "the less urgent request hasn't waited")
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	})
}

// Guards against a beat that misses what waits, or that can't be read.
func TestBeatsCarryHeldWork(t *testing.T) {
	h := newHeldRequests()
	var empty, b wire.Beat
	h.fill(0, &empty)
	assert.Equal(t, len(empty.Held), 0)
	h.add(0, "s", &scarcity.Request{Level: 1, Target: time.Second, Leaves: 2 * time.Second, Work: 70 * time.Millisecond})
	h.fill(0, &b)
	assert.Equal(t, len(b.Held), 1)
	assert.Equal(t, decodeHeld(b.Held[0]), scarcity.Held{1: {Work: 70 * time.Millisecond, Count: 1}})
	assert.Equal(t, decodeHeld(&wire.HeldWork{WorkMs: []uint32{1, 2, 3, 4, 5}, Requests: []uint32{1}}), scarcity.Held{{Work: time.Millisecond, Count: 1}})
}

// openStreamAt sends a request for a stream and returns its answer, whose body the test reads and closes.
func (w *testGateway) openStreamAt(t *testing.T, path string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "POST", w.URL+path, nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", path)
	req.Header.Set("Tokens", "100")
	resp, err := w.caller.Do(req)
	assert.NilError(t, err)
	return resp
}
