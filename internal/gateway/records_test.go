package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against a VM that has just started and sends a quarantined request to endpoints, as it hasn't read yet
// what is quarantined.
func TestNothingIsServedBeforeTheRecordsAreRead(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	w.starting.Store(true)
	b := serveRest(t, 5)
	w.addVersion("a", "v1", catalog.Decode, b)
	resp, _, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, b.arrivals.Load(), int32(0))
	w.starting.Store(false)
	resp, _, err = w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
