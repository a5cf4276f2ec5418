package gateway

import (
	"context"
	"fmt"
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
		resp, _, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 502)
	}
	repeats := int(b.arrivals.Load()) - requests
	assert.Assert(t, repeats <= 9, "%d repeats of %d requests", repeats, requests)
}

// A stream breaks off in the middle of an event. Its caller sees every event
// once and in order, though two engines made them.
func TestABrokenStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	w.route(stream)
	b := serve(t, func(_ *backend, n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			events(c, 1, 3, false)
			_, _ = io.WriteString(c, "6\r\nid: 4\n\r\n")
			return false
		}
		assert.Check(t, r.Header.Get("Last") == "3")
		return events(c, 4, 6, true)
	})
	w.endpoint("a", catalog.Decode, b)
	w.endpoint("b", catalog.Decode, b)
	resp, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, ids(body), "1 2 3 4 5 6")
}

// A stream that can't be resumed breaks off. Its caller must not take what it
// has for the whole.
func TestABrokenStreamDoesNotLookWhole(t *testing.T) {
	w := newWorld(t)
	w.route(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2})
	w.endpoint("a", catalog.Decode, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return events(c, 1, 3, false)
	}))
	_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.Assert(t, err != nil)
}

// An engine stops in the middle of a stream without a word. Callers leave after
// two seconds; another engine goes on before that.
func TestASilentStreamGoesOnElsewhere(t *testing.T) {
	w := newWorld(t)
	w.route(stream)
	gone := make(chan struct{})
	b := serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			events(c, 1, 2, false)
			_, _ = c.Read(make([]byte, 1))
			close(gone)
			return false
		}
		return events(c, 3, 3, true)
	})
	w.endpoint("a", catalog.Decode, b)
	w.endpoint("b", catalog.Decode, b)
	start := time.Now()
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, ids(body), "1 2 3")
	assert.Assert(t, time.Since(start) < 2*time.Second)
	<-gone
}

// The last engine of a service that leaves is slow, and a second passes between
// two events. Ended then, the stream would be cut off, since no other engine can
// go on with it.
func TestASilentStreamThatNobodyCanContinueIsWaitedFor(t *testing.T) {
	w := newWorld(t)
	w.route(stream)
	b := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		events(c, 1, 2, false)
		time.Sleep(silentGap + 200*time.Millisecond)
		e := "id: 3\ndata: piece\n\n"
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(e), e)
		return err == nil
	})
	w.endpoint("a", catalog.Decode, b)
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, ids(body), "1 2 3")
	assert.Equal(t, b.arrivals.Load(), int32(1))
}

// engines starts a prefill engine and n decode engines.
func engines(t *testing.T, w *world, prefill, decode func(b *backend, n int, r *http.Request, c net.Conn) bool, n int) (p, d *backend) {
	t.Helper()
	p, d = serve(t, prefill), serve(t, decode)
	w.endpoint("p", catalog.Prefill, p)
	for i := range n {
		w.endpoint("d"+string(rune('0'+i)), catalog.Decode, d)
	}
	return p, d
}

func prefilled(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	if r.Method == "DELETE" {
		return respond(c, 200, "")
	}
	return respond(c, 200, `"h1"`)
}

func TestALongPromptIsHandedOver(t *testing.T) {
	w := newWorld(t)
	w.route(stream)
	p, _ := engines(t, w, prefilled, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		assert.Check(t, strings.HasSuffix(r.Header.Get("Kv"), "/h1"), r.Header.Get("Kv"))
		return events(c, 1, 2, true)
	}, 1)
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, ids(body), "1 2")
	assert.Equal(t, p.arrivals.Load(), int32(1))
}

// A manual of 8,000 tokens has been handed over to a decode engine, which keeps it.
// The next short question on it was read at the prefill engine all the same, and the
// whole manual moved once more.
func TestADecodeEngineKeepsWhatItTookOver(t *testing.T) {
	w := newWorld(t)
	w.route(stream)
	p, d := engines(t, w, prefilled, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return events(c, 1, 2, true)
	}, 1)
	_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "9000", "Parts", "1:8000 2:1000")
	assert.NilError(t, err)
	_, body, err := w.request(t, "POST", "/x/", "", "Id", "2", "Tokens", "8300", "Parts", "1:8000 3:300")
	assert.NilError(t, err)
	assert.Equal(t, ids(body), "1 2")
	assert.Equal(t, p.arrivals.Load(), int32(1))
	assert.Equal(t, d.arrivals.Load(), int32(2))
}

// The decode engine has restarted and turns the request away. The KV cache still
// waits at the prefill engine: another decode engine takes it, and the prompt
// isn't read twice.
func TestAKVCacheIsOfferedToAnotherEngine(t *testing.T) {
	w := newWorld(t)
	w.route(stream)
	p, d := engines(t, w, prefilled, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			return respond(c, 421, "", "Gone: 1")
		}
		return events(c, 1, 2, true)
	}, 2)
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, ids(body), "1 2")
	assert.Equal(t, p.arrivals.Load(), int32(1))
	assert.Equal(t, d.arrivals.Load(), int32(2))
}

// No decode engine takes the request. The KV cache would hold memory at the
// prefill engine until it lapses.
func TestAKVCacheThatNobodyTakesIsFreed(t *testing.T) {
	w := newWorld(t)
	w.route(catalog.Route{Kind: catalog.Stream, MaxAttempts: 1})
	freed := make(chan string, 8)
	engines(t, w, func(b *backend, n int, r *http.Request, c net.Conn) bool {
		if r.Method == "DELETE" {
			freed <- r.RequestURI
		}
		return prefilled(b, n, r, c)
	}, notRunBy, 1)
	resp, _, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, <-freed, "/free/h1")
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
