package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
)

// maxPartCrashes is the number of endpoints that requests with one part may end.
const maxPartCrashes = 5

// confirmPause is longer than the time for which crashes may still be those of endpoints that failed together.
const confirmPause = 250 * time.Millisecond

// Guards against requests with a common prompt part that end endpoint after endpoint, as no two of them are
// alike, in each way that an endpoint can end.
func TestEachWayOfCrashingCountsAgainstAPart(t *testing.T) {
	for _, tc := range crashes {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(tc.route)
				ran := &runners{ids: map[string]bool{}}
				for i := range 9 {
					id := fmt.Sprint(i)
					w.addEndpoint(id, tc.stage, w.serveUntilCrash(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						ran.add(id)
						tc.end(c)
						w.store.RemoveEndpoint(id, false) // it doesn't come back
						return false
					}))
				}
				if tc.stage == catalog.Prefill {
					w.addEndpoint("decode", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						return events(c, 1, 1, true)
					}))
				}
				for n := range 12 {
					// The caller's error is a stream that breaks off.
					_, _, _ = w.request(t, "POST", "/x/", fmt.Sprint(n), "Tokens", "20000", "Parts", fmt.Sprintf("1:10000 2:5000 %d:5000", 10+n))
					if n == 0 {
						time.Sleep(confirmPause)
					}
				}
				assert.Assert(t, ran.count() <= maxPartCrashes, "%d endpoints ended", ran.count())
			})
		})
	}
}

// Guards against refusing sound requests that share other parts, and against refusals that callers don't
// take for a promise that the request hasn't run.
func TestOnlyRequestsWithTheCrashingPartAreRefused(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(lookupRoute)
		for i := range 9 {
			w.addEndpoint(fmt.Sprint(i), catalog.Whole, w.serveUntilCrash(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
				if r.Header.Get("Parts")[:9] == "1:100 2:5" {
					return false
				}
				return respond(c, 200, "answer", "Seal: s")
			}))
		}
		status := func(body, parts string) int {
			resp, _, err := w.request(t, "POST", "/x/", body, "Parts", parts)
			assert.NilError(t, err)
			return resp.StatusCode
		}
		assert.Equal(t, status("a", "1:100 3:50 4:10"), 200)
		for n := range 2 {
			assert.Equal(t, status(fmt.Sprint("crash ", n), fmt.Sprintf("1:100 2:50 %d:10", 10+n)), 502)
			time.Sleep(confirmPause)
		}
		assert.Equal(t, status("crash 3", "1:100 2:50 13:10"), 503)
		assert.Equal(t, status("b", "1:100 3:50 5:10"), 200)
		assert.Equal(t, status("c", "1:100 6:50 2:10"), 200, "the last part belongs to the request alone")
	})
}

// Guards against a truncated answer that is delivered as a whole one, as it had neither a length nor chunks and
// ended with its endpoint.
func TestAnAnswerThatEndsWithItsEndpointIsLost(t *testing.T) {
	for name, stays := range map[string]bool{"lives": true, "ended": false} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(commitRoute)
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					b := &backend{}
					go b.serveConn(c, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						if !stays {
							_ = ln.Close()
						}
						write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\npart")(c)
						return false
					})
				}
			}()
			w.addEndpoint("a", catalog.Whole, &backend{addr: ln.Addr().String()})
			resp, body, err := w.request(t, "POST", "/x/", "x")
			assert.NilError(t, err)
			if stays {
				assert.Equal(t, fmt.Sprint(resp.StatusCode, " ", body), "200 part")
				return
			}
			assert.Equal(t, resp.StatusCode, 502)
			w.mu.Lock()
			defer w.mu.Unlock()
			assert.DeepEqual(t, w.crashed, []string{"a@1"})
		})
	}
}

// Guards against a request that waits for an endpoint until it is about to be sent, though one of its parts has
// been quarantined meanwhile.
func TestAWaitingRequestIsRefusedOnceItsPartIsQuarantined(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	for i := range 3 {
		w.crashes.Record(clock.Boot{}.Now(), crash.Crash{Request: uint64(i + 1), Endpoint: fmt.Sprint(i), Age: time.Duration(3-i) * time.Second, Parts: []crash.PartCrash{{Part: 2}}})
	}
	view := w.store.View()
	x := &execution{
		g: w.gateway, ctx: t.Context(), call: &Call{SharedParts: []uint64{2}}, route: view.Config.Match("h.example", "/x/"), view: view, service: "s",
		deadline: clock.Boot{}.Now().Add(time.Minute), tried: map[string]bool{},
	}
	r, retry := x.awaitCapacity()
	assert.Assert(t, !retry)
	assert.Equal(t, r.code, code.Quarantined)
	_, r, ok := x.placePrompt(&place.Prompt{})
	assert.Assert(t, !ok)
	assert.Equal(t, r.code, code.Quarantined)
}
