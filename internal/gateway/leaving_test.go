package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// leaves answers calls, streams and prefills, and says with each answer that its endpoint leaves.
func leaves(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	return answerAs(r, c, "Leaving: 1")
}

// stays does the same without a notice.
func stays(_ *backend, _ int, r *http.Request, c net.Conn) bool { return answerAs(r, c) }

func answerAs(r *http.Request, c net.Conn, headers ...string) bool {
	if r.Header.Get("Only") == "prefill" {
		return respond(c, 200, `"h"`, headers...)
	}
	return respond(c, 200, "id: 1\ndata: piece\n\n", append(headers, "Seal: s")...)
}

// Guards against an endpoint that goes on getting requests after its answer has said that it
// leaves, because the entry that says so is late.
func TestAnEndpointWhoseAnswersSayThatItLeavesGetsNothingMore(t *testing.T) {
	for name, route := range map[string]catalog.Route{
		"call":   {Kind: catalog.Idempotent, MaxAttempts: 2, Target: time.Second},
		"stream": {Kind: catalog.Stream, MaxAttempts: 2, Target: time.Second, Gap: time.Second},
	} {
		w := newWorld(t)
		w.route(route)
		leaving := serve(t, leaves)
		w.endpoint("i-1", catalog.Decode, leaving)
		for leaving.arrivals.Load() == 0 {
			w.get(t)
		}
		w.endpoint("i-2", catalog.Decode, serve(t, stays))
		for range 20 {
			w.get(t)
		}
		assert.Equal(t, leaving.arrivals.Load(), int32(1), name)
	}
}

// get does a request that must be answered.
func (w *world) get(t *testing.T) {
	t.Helper()
	resp, body, err := w.request(t, "GET", "/x/", "", "Tokens", "100", "Parts", "1:100")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
}

// Guards against a prompt that is handed over to an engine whose answers have said that it
// leaves.
func TestNoPromptIsHandedOverToAnEngineThatSaidItLeaves(t *testing.T) {
	w := newWorld(t)
	w.route(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, Target: time.Second, Gap: time.Second})
	w.endpoint("p", catalog.Prefill, serve(t, stays))
	leaving := serve(t, leaves)
	w.endpoint("i-1", catalog.Decode, leaving)
	for leaving.arrivals.Load() == 0 {
		w.get(t)
	}
	w.endpoint("i-2", catalog.Decode, serve(t, stays))
	for range 20 {
		w.get(t)
	}
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
}

// Guards against an engine that was chosen for a hand-over before it said that it leaves: what
// is read meanwhile must go to another one.
func TestARequestThatWasPlannedBeforeTheNoticeGoesElsewhere(t *testing.T) {
	w := newWorld(t)
	w.route(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, Target: 2 * time.Second, Gap: time.Second})
	leaving, other := serve(t, leaves), serve(t, stays)
	w.endpoint("i-1", catalog.Decode, leaving)
	reading, told := make(chan struct{}), make(chan struct{})
	w.endpoint("p", catalog.Prefill, serve(t, func(_ *backend, n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			close(reading)
			<-told
		}
		return answerAs(r, c)
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, body, err := w.request(t, "GET", "/x/", "", "Tokens", "5000", "Parts", "1:5000")
		assert.Check(t, err)
		assert.Check(t, resp != nil && resp.StatusCode == http.StatusOK, body)
	}()
	<-reading
	for leaving.arrivals.Load() == 0 {
		w.get(t)
	}
	w.endpoint("i-2", catalog.Decode, other)
	close(told)
	<-done
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
	assert.Equal(t, other.arrivals.Load(), int32(1))
}

// Guards against a VM that goes on sending to an endpoint of which another one has been told
// that it leaves.
func TestVMsTellEachOtherWhichEndpointsLeave(t *testing.T) {
	leaving := serve(t, leaves)
	all := []*world{newWorld(t), newWorld(t)}
	for _, w := range all {
		w.route(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Target: time.Second})
		w.endpoint("i-1", catalog.Whole, leaving)
	}
	all[0].get(t)
	beat(all)
	all[1].endpoint("i-2", catalog.Whole, serve(t, stays))
	for range 20 {
		all[1].get(t)
	}
	assert.Equal(t, leaving.arrivals.Load(), int32(1))
}
