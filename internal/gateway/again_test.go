package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against requests that are sent at once to an endpoint that has rejected one with a
// Retry-After header.
func TestEndpointIsNotUsedBeforeItsRetryAfter(t *testing.T) {
	for name, route := range map[string]catalog.Route{
		"call":   {Kind: catalog.NonIdempotent, LatencyTarget: time.Second},
		"stream": {Kind: catalog.Stream, LatencyTarget: time.Second, EventGapTarget: time.Second},
	} {
		w := newTestGateway(t)
		w.setRoute(route)
		full := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return respond(c, 503, "", "Not-Run: 1", "Retry-After: 30")
		})
		w.addEndpoint("i-1", catalog.Decode, full)
		w.addEndpoint("i-2", catalog.Decode, serve(t, answerStaying))
		for range 40 {
			w.mustGet(t)
		}
		assert.Assert(t, full.arrivals.Load() <= 1, "%s: %d arrivals", name, full.arrivals.Load())
	}
}
