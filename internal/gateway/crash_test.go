package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// crashes are the ways in which an endpoint's process ends while it runs a request, as its
// connection shows them.
var crashes = []struct {
	name  string
	route catalog.Route
	stage catalog.Stage
	end   func(c net.Conn)
}{
	{"BeforeTheHeader", lookupRoute, catalog.Whole, func(net.Conn) {}},
	{"InsideTheHeader", lookupRoute, catalog.Whole, write("HTTP/1.1 200 OK\r\nContent-")},
	{"InsideABody", lookupRoute, catalog.Whole, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")},
	{"InsideABodyOfACommit", commitRoute, catalog.Whole, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")},
	{"InsideAFailure", lookupRoute, catalog.Whole, write("HTTP/1.1 500 X\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")},
	{"StreamBeforeTheHeader", streamRoute, catalog.Decode, func(net.Conn) {}},
	{"StreamBeforeTheFirstEvent", streamRoute, catalog.Decode, func(c net.Conn) { events(c, 1, 0, false) }},
	{"StreamInsideTheFirstEvent", streamRoute, catalog.Decode, func(c net.Conn) {
		events(c, 1, 0, false)
		_, _ = io.WriteString(c, "6\r\nid: 1\n\r\n")
	}},
	{"StreamAfterAnEvent", streamRoute, catalog.Decode, func(c net.Conn) { events(c, 1, 1, false) }},
	{"StreamWithoutLength", streamRoute, catalog.Decode, write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nid: 1\n")},
	{"InsideAPrefill", streamRoute, catalog.Prefill, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\n\"h")},
}

func write(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// runners counts the endpoints that began to run a request.
type runners struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *runners) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *runners) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ids)
}

// Guards against a request that ends endpoint after endpoint because only an end before the response
// header counts as a crash.
func TestEachWayOfCrashingCounts(t *testing.T) {
	for _, tc := range crashes {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(tc.route)
			ran := &runners{ids: map[string]bool{}}
			for i := range 9 {
				id := fmt.Sprint(i)
				w.addEndpoint(id, tc.stage, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					ran.add(id)
					tc.end(c)
					return false
				}))
			}
			if tc.stage == catalog.Prefill {
				w.addEndpoint("decode", catalog.Decode, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					return events(c, 1, 1, true)
				}))
			}
			for range 12 {
				// The caller's error is a stream that breaks off.
				_, _, _ = w.request(t, "POST", "/x/", "the same", "Tokens", "20000", "Parts", "1:20000")
			}
			assert.Equal(t, ran.count(), 3)
		})
	}
}

// Guards against a caller that learns of the quarantine only by a closed connection.
func TestAQuarantinedRequestIsRefusedAsNotRun(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(lookupRoute)
	for i := range 6 {
		w.addEndpoint(fmt.Sprint(i), catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			crashes[2].end(c)
			return false
		}))
	}
	statuses := []string{}
	for range 4 {
		resp, _, err := w.request(t, "POST", "/x/", "the same")
		assert.NilError(t, err)
		statuses = append(statuses, fmt.Sprint(resp.StatusCode))
	}
	assert.Equal(t, strings.Join(statuses, " "), "502 502 503 503")
}
