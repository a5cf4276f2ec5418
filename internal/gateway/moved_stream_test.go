package gateway

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/originsync"
)

// Guards against a stream that a caller takes up and that goes on at any engine, as its path leads by now to a
// route whose streams may not be resumed.
func TestStreamsOfRoutesWithoutResumptionAreNotTakenUp(t *testing.T) {
	w := newTestGateway(t)
	w.origins.found = originsync.Unknown
	w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2})
	engine := serveRest(t, 5)
	w.addVersion("a", "v1", catalog.Decode, engine)
	resp, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100", "Resumes", "0", "Last", "3")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503, body)
	assert.Assert(t, strings.HasPrefix(body, "3013") || strings.HasPrefix(body, "3012"), body)
	assert.Equal(t, engine.arrivals.Load(), int32(0))
}
