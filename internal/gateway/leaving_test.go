package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// answerLeaving answers calls, streams and prefills, each with a notice that the endpoint leaves.
func answerLeaving(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	return answerFor(r, c, "Leaving: 1")
}

// answerStaying answers like answerLeaving, but without a notice.
func answerStaying(_ *backend, _ int, r *http.Request, c net.Conn) bool { return answerFor(r, c) }

func answerFor(r *http.Request, c net.Conn, headers ...string) bool {
	if r.Header.Get("Only") == "prefill" {
		return respond(c, 200, `"h"`, headers...)
	}
	return respond(c, 200, "id: 1\ndata: piece\n\n", append(headers, "Seal: s")...)
}

// Guards against requests to an endpoint whose answer has announced that it leaves, while the
// catalog entry that says so is delayed.
func TestEndpointGetsNoRequestsAfterItsLeavingNotice(t *testing.T) {
	for name, route := range map[string]catalog.Route{
		"call":   {Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: time.Second},
		"stream": {Kind: catalog.Stream, MaxAttempts: 2, LatencyTarget: time.Second, EventGapTarget: time.Second},
	} {
		w := newTestGateway(t)
		w.setRoute(route)
		leaving := serve(t, answerLeaving)
		w.addEndpoint("i-1", catalog.Decode, leaving)
		for leaving.arrivals.Load() == 0 {
			w.mustGet(t)
		}
		w.addEndpoint("i-2", catalog.Decode, serve(t, answerStaying))
		for range 20 {
			w.mustGet(t)
		}
		assert.Equal(t, leaving.arrivals.Load(), int32(1), name)
	}
}

// mustGet sends a request that must succeed.
func (w *testGateway) mustGet(t *testing.T) {
	t.Helper()
	resp, body, err := w.request(t, "GET", "/x/", "", "Tokens", "100", "Parts", "1:100")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
}

// Guards against a KV cache transfer to an engine whose answers have announced that it leaves.
func TestNoHandoffToALeavingEngine(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, LatencyTarget: time.Second, EventGapTarget: time.Second})
	w.addEndpoint("p", catalog.Prefill, serve(t, answerStaying))
	leaving := serve(t, answerLeaving)
	w.addEndpoint("i-1", catalog.Decode, leaving)
	for leaving.arrivals.Load() == 0 {
		w.mustGet(t)
	}
	w.addEndpoint("i-2", catalog.Decode, serve(t, answerStaying))
	for range 20 {
		w.mustGet(t)
	}
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
}

// Guards against a KV cache transfer to an engine that announced during the prefill that it leaves:
// the transfer must go to another engine.
func TestLeavingNoticeAfterPlacementIsRespected(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, LatencyTarget: 2 * time.Second, EventGapTarget: time.Second})
	leaving, other := serve(t, answerLeaving), serve(t, answerStaying)
	w.addEndpoint("i-1", catalog.Decode, leaving)
	prefillStarted, noticeReceived := make(chan struct{}), make(chan struct{})
	w.addEndpoint("p", catalog.Prefill, serve(t, func(_ *backend, n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			close(prefillStarted)
			<-noticeReceived
		}
		return answerFor(r, c)
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, body, err := w.request(t, "GET", "/x/", "", "Tokens", "5000", "Parts", "1:5000")
		assert.Check(t, err)
		assert.Check(t, resp != nil && resp.StatusCode == http.StatusOK, body)
	}()
	<-prefillStarted
	for leaving.arrivals.Load() == 0 {
		w.mustGet(t)
	}
	w.addEndpoint("i-2", catalog.Decode, other)
	close(noticeReceived)
	<-done
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
	assert.Equal(t, other.arrivals.Load(), int32(1))
}

// Guards against a VM that sends requests to an endpoint after another VM has received the
// endpoint's leaving notice.
func TestLeavingNoticesAreSharedBetweenVMs(t *testing.T) {
	leaving := serve(t, answerLeaving)
	all := []*testGateway{newTestGateway(t), newTestGateway(t)}
	for _, w := range all {
		w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: time.Second})
		w.addEndpoint("i-1", catalog.Whole, leaving)
	}
	all[0].mustGet(t)
	exchangeBeats(all)
	all[1].addEndpoint("i-2", catalog.Whole, serve(t, answerStaying))
	for range 20 {
		all[1].mustGet(t)
	}
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
}
