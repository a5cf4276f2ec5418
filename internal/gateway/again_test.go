package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against an endpoint that has turned a request away and asked for time, and that the VM
// asks again at once.
func TestAnEndpointThatAsksForTimeIsLeftAlone(t *testing.T) {
	for name, route := range map[string]catalog.Route{
		"call":   {Kind: catalog.NonIdempotent, Target: time.Second},
		"stream": {Kind: catalog.Stream, Target: time.Second, Gap: time.Second},
	} {
		w := newWorld(t)
		w.route(route)
		full := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return respond(c, 503, "", "Not-Run: 1", "Retry-After: 30")
		})
		w.endpoint("i-1", catalog.Decode, full)
		w.endpoint("i-2", catalog.Decode, serve(t, stays))
		for range 40 {
			w.get(t)
		}
		assert.Assert(t, full.arrivals.Load() <= 1, "%s: %d arrivals", name, full.arrivals.Load())
	}
}
