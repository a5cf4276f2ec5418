package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

func answerSigned(b *backend, _ int, _ *http.Request, c net.Conn) bool {
	b.runs.Add(1)
	return respond(c, 200, "answer", "Seal: s")
}

func cutConnection(b *backend, _ int, _ *http.Request, _ net.Conn) bool {
	b.runs.Add(1)
	return false
}

func rejectRequest(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
	return respond(c, 503, "", "Not-Run: 1")
}

var (
	lookupRoute = catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}
	commitRoute = catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 1}
	streamRoute = catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, Resumable: true}
)

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		b, _ := io.ReadAll(r.Body)
		return respond(c, 201, r.Method+" "+r.RequestURI+" "+string(b), "Seal: s", "X-Own: 1", "Keep-Alive: timeout=5")
	}))
	resp, body, err := w.request(t, "POST", "/x/%2f/?q=1", "abc")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 201)
	assert.Equal(t, body, "POST /x/%2f/?q=1 abc")
	assert.Equal(t, resp.Header.Get("Seal")+resp.Header.Get("X-Own")+resp.Header.Get("Keep-Alive"), "s1")
}

func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name, path, body, id string
		status               int
	}{
		{"no route", "/y/", "", "1", 404},
		{"bad header", "/x/", "", "bad", 400},
		{"long body", "/x/", strings.Repeat("a", 1001), "1", 413},
		{"no endpoint", "/x/", "", "1", 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(commitRoute)
			resp, _, err := w.request(t, "POST", tc.path, tc.body, "Id", tc.id)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", tc.status == 503)
		})
	}
}

// Guards against a 404 from a VM that started while the store was unavailable and has no
// configuration: callers take it as final and don't retry.
func TestWithoutConfigurationRequestsGetRetryAfter(t *testing.T) {
	resp, _, err := newTestGateway(t).request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// An endpoint closes the connection without an answer. An idempotent request is retried at another
// one and succeeds. A commit may have run: it isn't retried, and its caller must not get a status
// that says that it hasn't run.
func TestOnlyRepeatableRequestsAreRetried(t *testing.T) {
	for _, tc := range []struct {
		name   string
		route  catalog.Route
		status int
		runs   int32
	}{
		{"lookup", lookupRoute, 200, 2},
		{"payment", commitRoute, 502, 1},
		{"stream that can't be resumed", catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, 502, 1},
		{"lookup with one attempt", catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1}, 502, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(tc.route)
			b := serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
				if n == 1 {
					return cutConnection(b, n, r, c)
				}
				return answerSigned(b, n, r, c)
			})
			w.addEndpoint("a", catalog.Whole, b)
			w.addEndpoint("b", catalog.Whole, b)
			resp, _, err := w.request(t, "POST", "/x/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, b.runs.Load(), tc.runs)
		})
	}
}

// A commit that an endpoint reports as not run is retried at another one. If all endpoints report
// that, the caller gets a status that says that the commit hasn't run.
func TestCommitThatDidNotRunIsRetriedElsewhere(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	full, free := serve(t, rejectRequest), serve(t, answerSigned)
	w.addEndpoint("a", catalog.Whole, full)
	w.addEndpoint("b", catalog.Whole, full)
	resp, _, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")

	w.addEndpoint("c", catalog.Whole, free)
	for range 5 {
		_, _, err = w.request(t, "POST", "/x/", "")
		assert.NilError(t, err)
	}
	assert.Assert(t, free.runs.Load() > 0)
}

// Guards against invalid answers of an endpoint that reach the caller as successes.
func TestInvalidAnswersAreNotReturnedAsSuccess(t *testing.T) {
	for name, respondBadly := range map[string]func(c net.Conn) bool{
		"without signature": func(c net.Conn) bool { return respond(c, 200, "x") },
		"another's":         func(c net.Conn) bool { return respond(c, 200, "x", "Seal: s", "Id: 2") },
		"encoded":           func(c net.Conn) bool { return respond(c, 200, "x", "Seal: s", "Content-Encoding: gzip") },
		"cut off": func(c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9\r\n\r\npart")
			return false
		},
		"no HTTP": func(c net.Conn) bool {
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
			return false
		},
		"status 503 without the endpoint's not-run header": func(c net.Conn) bool { return respond(c, 503, "", "Seal: s") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(commitRoute)
			b := serve(t, func(b *backend, _ int, _ *http.Request, c net.Conn) bool {
				b.runs.Add(1)
				return respondBadly(c)
			})
			w.addEndpoint("a", catalog.Whole, b)
			resp, _, err := w.request(t, "POST", "/x/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 502)
			assert.Equal(t, resp.Header.Get("Seal"), "")
			assert.Equal(t, b.runs.Load(), int32(1))
		})
	}
}

func TestEndpointFailureIsForwardedWithItsSignature(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 500, "failed", "Seal: f")
	}))
	resp, body, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body+resp.Header.Get("Seal"), "failedf")
}

// An endpoint answers with a failure, and the retry budget is exhausted. The caller must get the
// endpoint's answer, not a refusal of this VM.
func TestEndpointFailureIsReturnedIfTheRetryIsNotSent(t *testing.T) {
	w := newTestGateway(t)
	w.budget.SetMembers(1000)
	w.setRoute(lookupRoute)
	b := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 500, "failed", "Seal: f")
	})
	w.addEndpoint("a", catalog.Whole, b)
	w.addEndpoint("b", catalog.Whole, b)
	resp, body, err := w.request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body, "failed")
	assert.Equal(t, b.arrivals.Load(), int32(1))
}

// Guards against a lookup that fails although its retry budget allows a second run: the only endpoint of its service
// answers with a failure of its own now and then.
func TestALookupIsRetriedAtTheOnlyEndpoint(t *testing.T) {
	for _, tc := range []struct {
		route  catalog.Route
		status int
	}{{lookupRoute, 200}, {commitRoute, 500}} {
		w := newTestGateway(t)
		w.setRoute(tc.route)
		w.addEndpoint("a", catalog.Whole, serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
			if n == 1 {
				return respond(c, 500, "failed", "Seal: f")
			}
			return answerSigned(b, n, r, c)
		}))
		resp, _, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, tc.status)
	}
}

// Guards against retries that double the load of a service that is down: every endpoint fails, and
// each request could be retried once. When the budget is exhausted, the first failure is final.
func TestRepeatsKeepTheBudget(t *testing.T) {
	w := newTestGateway(t)
	w.budget.SetMembers(50)
	w.setRoute(lookupRoute)
	b := serve(t, cutConnection)
	w.addEndpoint("a", catalog.Whole, b)
	w.addEndpoint("b", catalog.Whole, b)
	const requests = 40
	for range requests {
		before := b.arrivals.Load()
		resp, body, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 502, "%s (%d arrivals)", body, b.arrivals.Load()-before)
	}
	retries := int(b.arrivals.Load()) - requests
	assert.Assert(t, retries <= 9, "%d retries of %d requests", retries, requests)
}

// Guards against wasted work: a caller closes its connection while its request runs at an endpoint,
// and the connection to the endpoint must be closed too.
func TestCallerDisconnectCancelsTheEndpointRequest(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	ended := make(chan struct{})
	w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", w.URL+"/x/", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Host = "h.example"
	_, err = http.DefaultClient.Do(req) //nolint:bodyclose // there is no response
	assert.Assert(t, err != nil)
	<-ended
}

// An endpoint doesn't answer. At the route's timeout the caller must get a status that doesn't say
// that its commit hasn't run.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		r := commitRoute
		r.Timeout = 200 * time.Millisecond
		w.setRoute(r)
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
			assert.Check(t, r.Header.Get("Left") != "3000")
			_, _ = c.Read(make([]byte, 1))
			return false
		}))
		start := time.Now()
		resp, _, err := w.request(t, "POST", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 504)
		assert.Assert(t, time.Since(start) < 210*time.Millisecond, "%s", time.Since(start))
	})
}

// Guards against a request that crashes all endpoints of a service, as its caller retries it: it
// must be refused before it reaches a fourth endpoint.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			w.addEndpoint(id, catalog.Whole, w.serveUntilCrash(t, cutConnection))
		}
		for range 12 {
			_, _, err := w.request(t, "POST", "/x/", "the same")
			assert.NilError(t, err)
		}
		seen := map[string]bool{}
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, e := range w.crashed {
			seen[e] = true
		}
		assert.Equal(t, len(seen), 3, "%v", w.crashed)
	})
}

func TestALeavingVMClosesItsConnections(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	w.addEndpoint("a", catalog.Whole, serve(t, answerSigned))
	w.leaving.Store(true)
	resp, body, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
	assert.Assert(t, resp.Close)
}

// Guards against an endpoint's Connection header that is forwarded: the caller would keep its
// connection to a VM that is shutting down.
func TestEndpointConnectionHeadersAreNotForwarded(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 200, "answer", "Seal: s", "Connection: keep-alive, X-Hop", "X-Hop: 1")
	}))
	resp, _, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Assert(t, !resp.Close)
	assert.Equal(t, resp.Header.Get("X-Hop"), "")
	w.leaving.Store(true)
	resp, _, err = w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
}

func TestEventsAreSplitForAnyReadSize(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
	for step := 1; step < len(text); step++ {
		rd := newEventReader(&stepReader{text: text, step: step})
		var got []byte
		for {
			e, err := rd.next()
			if err != nil {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				break
			}
			got = append(got, e...)
		}
		assert.Equal(t, string(got), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		id, increasing := followingID("", got)
		assert.Equal(t, id, "2")
		assert.Assert(t, increasing)
	}
}

// stepReader returns a text in reads of at most step bytes.
type stepReader struct {
	text string
	step int
}

func (r *stepReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(p, r.text[:min(r.step, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

func TestAnEventWithoutEndIsAnError(t *testing.T) {
	rd := newEventReader(&stepReader{text: strings.Repeat("a", 2*maxEventBytes), step: eventBufferBytes})
	_, err := rd.next()
	assert.ErrorIs(t, err, errEventTooLong)
}
