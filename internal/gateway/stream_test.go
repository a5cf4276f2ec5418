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

// A stream breaks off inside an event and is resumed at another engine. The caller must receive
// each event once and in order.
func TestBrokenStreamResumesAtAnotherEngine(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	b := serve(t, func(_ *backend, n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			events(c, 1, 3, false)
			_, _ = io.WriteString(c, "6\r\nid: 4\n\r\n")
			return false
		}
		assert.Check(t, r.Header.Get("Last") == "3")
		return events(c, 4, 6, true)
	})
	w.addEndpoint("a", catalog.Decode, b)
	w.addEndpoint("b", catalog.Decode, b)
	resp, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, eventIDs(body), "1 2 3 4 5 6")
}

// Guards against a caller that gets events twice, or those of two runs, as an engine doesn't go on where the one before
// broke off.
func TestEventsAreNotRepeated(t *testing.T) {
	for name, first := range map[string]int{"from the beginning": 1, "the latest event": 3} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 3, Resumable: true})
				b := w.serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
					switch n {
					case 1:
						return events(c, 1, 3, false)
					case 2:
						return events(c, first, 6, true)
					}
					return events(c, 4, 6, true)
				})
				for _, id := range []string{"a", "b", "c"} {
					w.addEndpoint(id, catalog.Decode, b)
				}
				resp, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
				assert.Equal(t, eventIDs(body), "1 2 3 4 5 6")
			})
		})
	}
}

// Guards against a caller that takes a partial stream for a complete one, after a stream that can't
// be resumed has broken off.
func TestBrokenStreamIsNotReportedAsComplete(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2})
	w.addEndpoint("a", catalog.Decode, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return events(c, 1, 3, false)
	}))
	_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.Assert(t, err != nil)
}

// An engine stops sending events but keeps the connection open. Another engine must resume the
// stream before callers disconnect after two seconds.
func TestUnresponsiveStreamResumesAtAnotherEngine(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		disconnected := make(chan struct{})
		b := w.serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
			if n == 1 {
				events(c, 1, 2, false)
				_, _ = c.Read(make([]byte, 1))
				close(disconnected)
				return false
			}
			return events(c, 3, 3, true)
		})
		w.addEndpoint("a", catalog.Decode, b)
		w.addEndpoint("b", catalog.Decode, b)
		start := time.Now()
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
		assert.Assert(t, time.Since(start) < maxEventGap+50*time.Millisecond, "%s", time.Since(start))
		<-disconnected
	})
}

// Guards against canceling a slow stream that no other engine can resume, as the caller would get a
// partial answer. Here the last engine of a service takes a second between two events.
func TestSlowStreamIsKeptIfNoEngineCanResumeIt(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		b := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			events(c, 1, 2, false)
			time.Sleep(maxEventGap + 200*time.Millisecond)
			e := "id: 3\ndata: piece\n\n"
			_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(e), e)
			return err == nil
		})
		w.addEndpoint("a", catalog.Decode, b)
		start := time.Now()
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
		assert.Equal(t, b.arrivals.Load(), int32(1))
		assert.Assert(t, time.Since(start) < maxEventGap+250*time.Millisecond, "%s", time.Since(start))
	})
}

// startEngines starts a prefill engine and n decode engines.
func startEngines(t *testing.T, w *testGateway, prefill, decode func(b *backend, n int, r *http.Request, c net.Conn) bool, n int) (p, d *backend) {
	t.Helper()
	p, d = w.serve(t, prefill), w.serve(t, decode)
	w.addEndpoint("p", catalog.Prefill, p)
	for i := range n {
		w.addEndpoint("d"+string(rune('0'+i)), catalog.Decode, d)
	}
	return p, d
}

func answerPrefill(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	if r.Method == "DELETE" {
		return respond(c, 200, "")
	}
	return respond(c, 200, `"h1"`)
}

func TestLongPromptUsesKVCacheTransfer(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	p, _ := startEngines(t, w, answerPrefill, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		assert.Check(t, strings.HasSuffix(r.Header.Get("Kv"), "/h1"), r.Header.Get("Kv"))
		return events(c, 1, 2, true)
	}, 1)
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, eventIDs(body), "1 2")
	assert.Equal(t, p.arrivals.Load(), int32(1))
}

// Guards against a second prefill and KV cache transfer of a shared part of 8,000 tokens that the
// decode engine has cached since the first transfer.
func TestDecodeEngineCachesTransferredPrompts(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	p, d := startEngines(t, w, answerPrefill, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return events(c, 1, 2, true)
	}, 1)
	_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "9000", "Parts", "1:8000 2:1000")
	assert.NilError(t, err)
	_, body, err := w.request(t, "POST", "/x/", "", "Id", "2", "Tokens", "8300", "Parts", "1:8000 3:300")
	assert.NilError(t, err)
	assert.Equal(t, eventIDs(body), "1 2")
	assert.Equal(t, p.arrivals.Load(), int32(1))
	assert.Equal(t, d.arrivals.Load(), int32(2))
}

// The decode engine has restarted and rejects the request. The KV cache is still at the prefill
// engine, so another decode engine must fetch it without a second prefill.
func TestKVCacheTransferIsRetriedAtAnotherEngine(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	p, d := startEngines(t, w, answerPrefill, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			return respond(c, 421, "", "Gone: 1")
		}
		return events(c, 1, 2, true)
	}, 2)
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, eventIDs(body), "1 2")
	assert.Equal(t, p.arrivals.Load(), int32(1))
	assert.Equal(t, d.arrivals.Load(), int32(2))
}

// Guards against a KV cache that occupies memory of the prefill engine until it expires, because no
// decode engine has accepted the request.
func TestUnusedKVCacheIsReleased(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 1})
	freed := make(chan string, 8)
	startEngines(t, w, func(b *backend, n int, r *http.Request, c net.Conn) bool {
		if r.Method == "DELETE" {
			freed <- r.RequestURI
		}
		return answerPrefill(b, n, r, c)
	}, rejectRequest, 1)
	resp, _, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, <-freed, "/free/h1")
}

// Guards against a stream that bears another status than that of its endpoint, with the endpoint's signature.
func TestStreamKeepsItsStatus(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return respond(c, 206, "id: 1\n\n", "Seal: s")
		}))
		resp, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1")
		assert.Equal(t, resp.StatusCode, 206)
	})
}
