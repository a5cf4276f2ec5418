package gateway

import (
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
