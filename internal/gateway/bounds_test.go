package gateway

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/exchange"
)

// endless is a response of which a part never ends.
type endless struct {
	first, again string
	cause        exchange.Cause
	notRun       bool
}

const (
	signedChunked = "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk32K      = 32 << 10
)

func oneChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

var endlessResponses = map[string]endless{
	"header":        {first: "HTTP/1.1 200 OK\r\nSeal: s\r\nX-A: ", again: strings.Repeat("a", chunk32K), cause: exchange.Header},
	"interim":       {again: strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 8), cause: exchange.Interim},
	"closed body":   {first: "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", again: strings.Repeat("a", chunk32K), cause: exchange.Body},
	"chunked body":  {first: signedChunked, again: oneChunk(strings.Repeat("a", chunk32K)), cause: exchange.Body},
	"declared body": {first: "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9000000000\r\n\r\n", again: strings.Repeat("a", chunk32K), cause: exchange.Body},
	"failure":       {first: "HTTP/1.1 500 X\r\nSeal: s\r\n\r\n", again: strings.Repeat("a", chunk32K), cause: exchange.Body},
	"rejection":     {first: "HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\n", again: strings.Repeat("a", chunk32K), cause: exchange.Rejection, notRun: true},
}

// send sends the response until the connection closes, with a pause after each part.
func (e endless) send(c net.Conn, pause time.Duration) bool {
	_, err := io.WriteString(c, e.first)
	for err == nil {
		_, err = io.WriteString(c, e.again)
		time.Sleep(pause)
	}
	return false
}

// checkExceeded checks that one response is counted for the cause at least, and that no body is held any more.
func (w *testGateway) checkExceeded(t *testing.T, c exchange.Cause) {
	t.Helper()
	s := w.gateway.Metrics().Snapshot()
	assert.Assert(t, s.Exceeded[c] > 0, "%v", s.Exceeded)
	assert.Equal(t, s.Bodies.Used, int64(0))
	assert.Assert(t, s.Bodies.Peak <= s.Bodies.Capacity)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.crashed), 0)
}

// Guards against endpoints that fill a VM's memory with a response without end, and against a part of a response
// that is passed on as a whole one.
func TestResponsesWithoutEndAreFailures(t *testing.T) {
	for name, e := range endlessResponses {
		for kind, route := range map[string]catalog.Route{"lookup": lookupRoute, "commit": commitRoute} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				w := newTestGateway(t)
				w.setRoute(route)
				b := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return e.send(c, 0) })
				w.addEndpoint("a", catalog.Whole, b)
				resp, body, err := w.request(t, "POST", "/x/", "abc")
				assert.NilError(t, err)
				assert.Assert(t, !strings.Contains(body, "aaa"))
				if e.notRun {
					assert.Equal(t, resp.StatusCode, 503)
				} else {
					assert.Equal(t, resp.StatusCode, 502)
					assert.Assert(t, kind == "lookup" || b.arrivals.Load() == 1, "%d sends", b.arrivals.Load())
				}
				w.checkExceeded(t, e.cause)
			})
		}
	}
}

// Guards against a failure of requests that another endpoint can answer: an idempotent one, and one that hasn't run.
func TestResponsesWithoutEndAreRetriedWhereAllowed(t *testing.T) {
	for name, e := range endlessResponses {
		for kind, route := range map[string]catalog.Route{"lookup": lookupRoute, "commit": commitRoute} {
			if !e.notRun && kind == "commit" {
				continue
			}
			t.Run(name+"/"+kind, func(t *testing.T) {
				w := newTestGateway(t)
				w.setRoute(route)
				w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return e.send(c, 0) }))
				w.addEndpoint("b", catalog.Whole, serve(t, answerSigned))
				for range 5 {
					resp, body, err := w.request(t, "POST", "/x/", "abc")
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, 200, body)
				}
			})
		}
	}
}

// Guards against streams that a response without end fills a VM's memory for. Another engine goes on with those that
// can be resumed.
func TestStreamsWithoutEndAreLeft(t *testing.T) {
	event := "id: 1\ndata: piece\n\n"
	responses := map[string]endless{
		"event":       {first: signedChunked, again: oneChunk(strings.Repeat("a", chunk32K)), cause: exchange.Event},
		"later event": {first: signedChunked + oneChunk(event), again: oneChunk(strings.Repeat("a", chunk32K)), cause: exchange.Event},
		"header":      endlessResponses["header"],
		"interim":     endlessResponses["interim"],
		"failure":     endlessResponses["failure"],
	}
	for name, e := range responses {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(streamRoute)
			w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return e.send(c, 0) }))
			resp, body, err := w.request(t, "POST", "/x/", "abc", "Tokens", "100")
			assert.Assert(t, err != nil || resp.StatusCode == 502, body)
			w.checkExceeded(t, e.cause)

			w.addEndpoint("b", catalog.Whole, serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
				first := 1
				if r.Header.Get("Last") == "1" {
					first = 2
				}
				return events(c, first, 3, true)
			}))
			resp, body, err = w.request(t, "POST", "/x/", "abcd", "Tokens", "100")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200, body)
			assert.Equal(t, eventIDs(body), "1 2 3")
		})
	}
}

// Guards against a response that arrives slowly without end and outlasts its request.
func TestSlowResponsesWithoutEndEndWithTheRequest(t *testing.T) {
	const pause, perPause = 100 * time.Millisecond, 1000 // 10 KB/s
	again := strings.Repeat("a", perPause)
	responses := map[string]endless{
		"header":       {first: endlessResponses["header"].first, again: again},
		"closed body":  {first: endlessResponses["closed body"].first, again: again},
		"chunked body": {first: signedChunked, again: oneChunk(again)},
		"event":        {first: signedChunked, again: oneChunk(again)},
		"interim":      {again: "HTTP/1.1 103 X\r\n\r\n"},
	}
	for name, e := range responses {
		for kind, route := range map[string]catalog.Route{"lookup": lookupRoute, "commit": commitRoute, "stream": streamRoute} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				simulated(t, func(t *testing.T, w *testGateway) {
					w.setRoute(route)
					b := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return e.send(c, pause) })
					w.addEndpoint("a", catalog.Whole, b)
					headers := []string{"Patience", "2000"}
					if kind == "stream" {
						headers = append(headers, "Tokens", "100")
					}
					began := time.Now()
					resp, body, err := w.request(t, "POST", "/x/", "abc", headers...)
					assert.Assert(t, err != nil || resp.StatusCode == 502 || resp.StatusCode == 504, body)
					assert.Assert(t, time.Since(began) < 2100*time.Millisecond)
					assert.Assert(t, kind != "commit" || b.arrivals.Load() == 1)
				})
			})
		}
	}
}

// Guards against large answers that are cut off or refused although they end and the memory suffices.
func TestLargeAnswersAreDeliveredWhole(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 20<<20/16)
	for framing, head := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", len(large), large),
		"chunked": signedChunked + oneChunk(large) + "0\r\n\r\n",
		"closed":  "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n" + large,
	} {
		t.Run(framing, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(lookupRoute)
			w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				_, err := io.WriteString(c, head)
				return err == nil && framing != "closed"
			}))
			resp, body, err := w.request(t, "GET", "/x/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Assert(t, body == large, "%d bytes", len(body))
			assert.Equal(t, w.gateway.Metrics().Snapshot().Bodies.Used, int64(0))
		})
	}
}

// Guards against requests that begin while the bodies of others take the memory, and against an answer that is
// blamed on its endpoint as the memory for it is spent.
func TestSpentByteBudget(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	budget := w.gateway.o.Bodies
	b := serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			budget.Take(budget.Snapshot().Capacity, 0) // while the request runs
		}
		return respond(c, 200, "ok", "Seal: s")
	})
	w.addEndpoint("a", catalog.Whole, b)
	resp, body, err := w.request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 502, body)
	assert.Equal(t, b.arrivals.Load(), int32(1))
	resp, body, err = w.request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503, body)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, b.arrivals.Load(), int32(1))
	budget.Give(budget.Snapshot().Used)
	resp, _, err = w.request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	s := w.gateway.Metrics().Snapshot()
	assert.Equal(t, s.Exceeded[exchange.Budget], int64(1))
	assert.Equal(t, s.Bodies.Refused, int64(1))
}

// Guards against bodies without end that have other requests refused or given up: many at once take the budget before
// one of them has exceeded the bound of a single body.
func TestManyBodiesWithoutEndLeaveRoomForOthers(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.gateway.o.Bodies.SetMemory(144 << 20)
		w.setRoute(lookupRoute)
		e := endlessResponses["chunked body"]
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return e.send(c, time.Millisecond) }))
		w.addEndpoint("b", catalog.Whole, w.serve(t, answerSigned))
		var callers sync.WaitGroup
		for range 16 {
			callers.Go(func() {
				for range 5 {
					resp, body, err := w.request(t, "POST", "/x/", "abc")
					if assert.Check(t, err) {
						assert.Check(t, resp.StatusCode == 200, body)
					}
				}
			})
		}
		callers.Wait()
		s := w.gateway.Metrics().Snapshot()
		assert.Assert(t, s.Exceeded[exchange.Body] > 0)
		assert.Equal(t, s.Exceeded[exchange.Budget]+s.Bodies.Refused, int64(0))
		assert.Equal(t, s.Bodies.Used, int64(0))
	})
}

// floodingEngine answers prefills, or only releases of KV caches, with a response without end, and counts the connections
// on which it sends one.
func floodingEngine(e endless, pause time.Duration, releases bool, sending *atomic.Int64) func(*backend, int, *http.Request, net.Conn) bool {
	return func(b *backend, n int, r *http.Request, c net.Conn) bool {
		if (r.Method == http.MethodDelete) != releases {
			return answerPrefill(b, n, r, c)
		}
		sending.Add(1)
		defer sending.Add(-1)
		return e.send(c, pause)
	}
}

// Guards against prefills and releases of KV caches that a response without end, at any pace, makes take memory, or go
// on after their time: nobody waits for a release, so that each would leave a goroutine and a connection.
func TestPrefillsAndReleasesWithoutEndAreGivenUp(t *testing.T) {
	drips := map[string]endless{
		"header drip": {first: endlessResponses["header"].first, again: "a"},
		"body drip":   {first: signedChunked, again: oneChunk("a")},
	}
	responses := maps.Clone(endlessResponses)
	maps.Copy(responses, drips)
	for name, e := range responses {
		for _, releases := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/releases=%t", name, releases), func(t *testing.T) {
				simulated(t, func(t *testing.T, w *testGateway) {
					w.setRoute(streamRoute)
					var sending, floods atomic.Int64
					flood := floodingEngine(e, time.Millisecond, releases, &sending)
					w.addEndpoint("p", catalog.Prefill, w.serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
						if (r.Method == http.MethodDelete) == releases {
							floods.Add(1)
						}
						return flood(b, n, r, c)
					}))
					w.addEndpoint("d", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						if releases { // the KV cache isn't used
							return respond(c, 503, "", "Not-Run: 1")
						}
						return events(c, 1, 2, true)
					}))
					var callers sync.WaitGroup
					for n := range 16 {
						callers.Go(func() {
							resp, body, err := w.request(t, "POST", "/x/", "abc", "Tokens", "5000", "Patience", "2000", "Id", fmt.Sprint("r", n))
							assert.Check(t, err != nil || resp.StatusCode != 200 || eventIDs(body) == "1 2", body)
						})
					}
					callers.Wait()
					time.Sleep(releaseTimeout + settleTime)
					assert.Assert(t, floods.Load() > 0)
					assert.Equal(t, sending.Load(), int64(0))
					s := w.gateway.Metrics().Snapshot()
					assert.Equal(t, s.Bodies.Used, int64(0))
					assert.Assert(t, s.Bodies.Peak <= 16*2*maxHandoffBytes, "%d", s.Bodies.Peak)
				})
			})
		}
	}
}
