package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/exchange"
)

// rejectTwice returns an endpoint that rejects the requests for which rejects is true, and sends the rejection again, late,
// when another request follows on the connection. It runs the others.
func rejectTwice(rejection string, rejects func(n int, r *http.Request) bool) func(*backend, int, *http.Request, net.Conn) bool {
	rejected := map[net.Conn]bool{}
	return func(b *backend, n int, r *http.Request, c net.Conn) bool {
		if rejects(n, r) {
			rejected[c] = true
			write(rejection)(c)
			return true
		}
		if rejected[c] {
			write(rejection)(c)
		}
		b.runs.Add(1)
		time.Sleep(silenceCallTime)
		return respond(c, 200, "answer", "Seal: s", "Id: 1")
	}
}

// Guards against a request that is refused with a promise, or sent once more, while an endpoint runs it: the endpoint has
// rejected it before, and sends that answer again, late, on the connection on which the request has come back.
func TestLateCopyOfARejectionIsNoAnswer(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		const rejection = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\nHeld: 8\r\nId: 1\r\n\r\n"
		b := w.serve(t, rejectTwice(rejection, func(n int, _ *http.Request) bool { return n == 1 }))
		w.addEndpoint("a", catalog.Whole, b)
		resp, _, err := w.request(t, "POST", "/x/", "x")
		assert.NilError(t, err)
		time.Sleep(settleTime)
		assert.Equal(t, b.runs.Load(), int32(1))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
}

// Guards against a request that is refused with a promise, or sent once more, while an endpoint runs it: the connection on
// which the endpoint has rejected it carries another request before it comes back, and the copy of the rejection is later
// than that.
func TestLateCopyOfARejectionAfterAnotherRequestIsNoAnswer(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		const rejection = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nNot-Run: 1\r\nHeld: 8\r\nId: 1\r\n\r\n"
		other := func() {
			time.Sleep(time.Millisecond)
			_, _, err := w.request(t, "POST", "/x/", "y", "Id", "2")
			assert.Check(t, err)
		}
		var between sync.WaitGroup
		rejected := map[net.Conn]bool{}
		b := w.serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
			switch id := r.Header.Get("Id"); {
			case n == 1:
				rejected[c] = true
				between.Go(other)
				return respond(c, 503, "", "Not-Run: 1", "Held: 8", "Id: 1")
			case id == "2":
				assert.Check(t, rejected[c], "the other request didn't follow on the connection")
				return respond(c, 200, "answer", "Seal: s", "Id: 2")
			case rejected[c]:
				write(rejection)(c)
			}
			b.runs.Add(1)
			time.Sleep(silenceCallTime)
			return respond(c, 200, "answer", "Seal: s", "Id: 1")
		})
		w.addEndpoint("a", catalog.Whole, b)
		resp, _, err := w.request(t, "POST", "/x/", "x")
		assert.NilError(t, err)
		between.Wait()
		time.Sleep(settleTime)
		assert.Equal(t, b.runs.Load(), int32(1))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	})
}

// Guards against a request that is refused with a promise, or sent once more, while an endpoint runs it: the endpoint has
// rejected a request without an id, and sends that answer again, late, on the connection.
func TestLateCopyOfARejectionWithoutAnIDIsNoAnswer(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		const rejection = "HTTP/1.1 421 X\r\nContent-Length: 0\r\nGone: 1\r\n\r\n"
		b := w.serve(t, rejectTwice(rejection, func(_ int, r *http.Request) bool { return r.URL.Path == "/report" }))
		w.addEndpoint("a", catalog.Whole, b)
		resp, err := w.gateway.o.Pool.Do(t.Context(), b.addr, &exchange.Request{Method: "GET", Target: "/report", Host: b.addr})
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
		answer, _, err := w.request(t, "POST", "/x/", "x")
		assert.NilError(t, err)
		time.Sleep(settleTime)
		assert.Equal(t, b.runs.Load(), int32(1))
		assert.Assert(t, !promisesNotRun(answer.StatusCode), "%d", answer.StatusCode)
	})
}

// Guards against a request that more endpoints run than its route allows: one that has run it, and was replaced in a
// pause, goes on with the rejection of another request.
func TestRejectionOfAnotherRequestTakesBackNoRun(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		p := newPausing()
		third := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return events(c, 2, 3, true) })
		second := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			p.goOn()
			time.Sleep(100 * time.Millisecond)
			w.addEndpoint("c", catalog.Decode, third)
			return events(c, 1, 1, false)
		})
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			w.addEndpoint("b", catalog.Decode, second)
			<-p.resume
			return respond(c, 503, "", "Not-Run: 1", "Id: 2")
		}))
		_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.Assert(t, err != nil)
		assert.Equal(t, second.arrivals.Load(), int32(1))
		assert.Equal(t, third.arrivals.Load(), int32(0))
	})
}

// Guards against a response that ends the use of HTTP on the caller's connection, which the caller hasn't asked for.
func TestSwitchOfProtocolsIsNoAnswer(t *testing.T) {
	for name, route := range map[string]catalog.Route{"commit": commitRoute, "stream": streamRoute} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(route)
				w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					write("HTTP/1.1 101 X\r\nSeal: s\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n")(c)
					return true
				}))
				resp, _, err := w.request(t, "POST", "/x/", "x", "Tokens", "100")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			})
		})
	}
}

// Guards against a KV cache that is released while its own request needs it, as the answer to that one's prefill has
// arrived, late, in the place of the answer to another one's.
func TestKVCacheOfAnotherRequestIsNotReleased(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		released := make(chan string, 8)
		w.addEndpoint("p", catalog.Prefill, w.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
			if r.Method == http.MethodDelete {
				released <- r.URL.Path
				return respond(c, 200, "")
			}
			return respond(c, 200, `"of-another"`, "Id: 2")
		}))
		w.addEndpoint("d", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return events(c, 1, 1, true)
		}))
		_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "5000")
		assert.NilError(t, err)
		time.Sleep(settleTime)
		assert.Equal(t, len(released), 0)
	})
}
