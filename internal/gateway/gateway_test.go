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

func sealed(b *backend, _ int, _ *http.Request, c net.Conn) bool {
	b.ran.Add(1)
	return respond(c, 200, "answer", "Seal: s")
}

func cut(b *backend, _ int, _ *http.Request, _ net.Conn) bool {
	b.ran.Add(1)
	return false
}

func notRunBy(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
	return respond(c, 503, "", "Not-Run: 1")
}

var (
	lookup  = catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}
	payment = catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 1}
	stream  = catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, Resumable: true}
)

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	w.endpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
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
			w := newWorld(t)
			w.route(payment)
			resp, _, err := w.request(t, "POST", tc.path, tc.body, "Id", tc.id)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", tc.status == 503)
		})
	}
}

// A VM starts while the store is away. It knows no route; a 404 would tell
// callers that theirs is gone, and they would not ask again.
func TestWithoutAConfigurationNothingIsDenied(t *testing.T) {
	resp, _, err := newWorld(t).request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// An endpoint breaks off. A lookup is sent to another one and its caller sees
// nothing of it. A payment may have run: it is not sent again, and its caller is
// not told that it hasn't run.
func TestOnlyWhatMayRunTwiceIsSentTwice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		route  catalog.Route
		status int
		runs   int32
	}{
		{"lookup", lookup, 200, 2},
		{"payment", payment, 502, 1},
		{"stream that can't be resumed", catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, 502, 1},
		{"lookup with one attempt", catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 1}, 502, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			w.route(tc.route)
			b := serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
				if n == 1 {
					return cut(b, n, r, c)
				}
				return sealed(b, n, r, c)
			})
			w.endpoint("a", catalog.Whole, b)
			w.endpoint("b", catalog.Whole, b)
			resp, _, err := w.request(t, "POST", "/x/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, b.ran.Load(), tc.runs)
		})
	}
}

// Endpoints that say they didn't run a payment leave it free to run elsewhere;
// when all say so, the caller is told that it hasn't run.
func TestAPaymentThatWasNotRunMayGoElsewhere(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	full, free := serve(t, notRunBy), serve(t, sealed)
	w.endpoint("a", catalog.Whole, full)
	w.endpoint("b", catalog.Whole, full)
	resp, _, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")

	w.endpoint("c", catalog.Whole, free)
	for range 5 {
		_, _, err = w.request(t, "POST", "/x/", "")
		assert.NilError(t, err)
	}
	assert.Assert(t, free.ran.Load() > 0)
}

// Answers that an endpoint spoils must not reach a caller as successes.
func TestSpoiledAnswersAreNoSuccess(t *testing.T) {
	for name, spoil := range map[string]func(c net.Conn) bool{
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
		"a promise without the endpoint's word": func(c net.Conn) bool { return respond(c, 503, "", "Seal: s") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.route(payment)
			b := serve(t, func(b *backend, _ int, _ *http.Request, c net.Conn) bool {
				b.ran.Add(1)
				return spoil(c)
			})
			w.endpoint("a", catalog.Whole, b)
			resp, _, err := w.request(t, "POST", "/x/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 502)
			assert.Equal(t, resp.Header.Get("Seal"), "")
			assert.Equal(t, b.ran.Load(), int32(1))
		})
	}
}

func TestAnEndpointsOwnFailureIsPassedOnWithItsSignature(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	w.endpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 500, "failed", "Seal: f")
	}))
	resp, body, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body+resp.Header.Get("Seal"), "failedf")
}

// Lookups fail at their endpoint, which says why, and the budget of repeats is
// spent. Callers get the endpoint's answer, not a failure of this VM's.
func TestAnEndpointsFailureOutlivesARepeatThatIsNotSent(t *testing.T) {
	w := newWorld(t)
	w.budget.SetMembers(1000)
	w.route(lookup)
	b := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 500, "failed", "Seal: f")
	})
	w.endpoint("a", catalog.Whole, b)
	w.endpoint("b", catalog.Whole, b)
	resp, body, err := w.request(t, "GET", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body, "failed")
	assert.Equal(t, b.arrivals.Load(), int32(1))
}

// Every endpoint fails, and each lookup wants a second one. Past the budget the
// first failure is final, or repeats would double the load of a service that is
// down.
func TestRepeatsKeepTheBudget(t *testing.T) {
	w := newWorld(t)
	w.budget.SetMembers(50)
	w.route(lookup)
	b := serve(t, cut)
	w.endpoint("a", catalog.Whole, b)
	w.endpoint("b", catalog.Whole, b)
	const requests = 40
	for range requests {
		before := b.arrivals.Load()
		resp, body, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 502, "%s (%d arrivals)", body, b.arrivals.Load()-before)
	}
	repeats := int(b.arrivals.Load()) - requests
	assert.Assert(t, repeats <= 9, "%d repeats of %d requests", repeats, requests)
}

// A caller closes its connection while its request is at an endpoint. The
// endpoint must be told, or it goes on working for nobody.
func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	ended := make(chan struct{})
	w.endpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
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

// An endpoint doesn't answer. At the route's timeout the caller is told so, and
// not that its payment hasn't run.
func TestTheRoutesTimeoutIsKept(t *testing.T) {
	w := newWorld(t)
	r := payment
	r.Timeout = 200 * time.Millisecond
	w.route(r)
	w.endpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		assert.Check(t, r.Header.Get("Left") != "3000")
		_, _ = c.Read(make([]byte, 1))
		return false
	}))
	start := time.Now()
	resp, _, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 504)
	assert.Assert(t, time.Since(start) < 700*time.Millisecond)
}

// A request crashes each endpoint that runs it, and its caller sends it again.
// The fourth endpoint is spared.
func TestARequestThatCrashesItsEndpointsIsRefused(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	b := serve(t, cut)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		w.endpoint(id, catalog.Whole, b)
	}
	for range 12 {
		_, _, err := w.request(t, "POST", "/x/", "the same")
		assert.NilError(t, err)
	}
	seen := map[string]bool{}
	for _, e := range w.crashed {
		seen[e] = true
	}
	assert.Equal(t, len(seen), 3, "%v", w.crashed)
}

func TestALeavingVMClosesItsConnections(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	w.endpoint("a", catalog.Whole, serve(t, sealed))
	w.leaving.Store(true)
	resp, body, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
	assert.Assert(t, resp.Close)
}

// The endpoint says what becomes of its own connection. Taken for this VM's word,
// a caller would keep its connection to a VM that stops.
func TestAnEndpointsConnectionIsNoneOfTheCallers(t *testing.T) {
	w := newWorld(t)
	w.route(payment)
	w.endpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
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

func TestEventsAreSplitWhereverReadsEnd(t *testing.T) {
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
		assert.Equal(t, lastID(got), "2")
	}
}

// stepReader returns a text in pieces of a few bytes.
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
	rd := newEventReader(&stepReader{text: strings.Repeat("a", 2*maxEvent), step: eventBuffer})
	_, err := rd.next()
	assert.ErrorIs(t, err, errEventTooLong)
}
