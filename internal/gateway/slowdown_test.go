package gateway

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/wire"
)

// Guards against figures that aren't used as the answer is a rejection, a failure or a stream, and against
// those of an answer that another process or request may have got.
func TestSlowdownsOfAllAnswersReachThePlanner(t *testing.T) {
	for name, tc := range map[string]struct {
		route  catalog.Route
		status int
		header string
		known  int
	}{
		"call":            {lookupRoute, 200, "Seal: s", 1},
		"failure":         {commitRoute, 500, "Seal: s", 1},
		"rejection":       {commitRoute, 503, "Not-Run: 1", 1},
		"stream":          {streamRoute, 200, "Seal: s", 1},
		"other process":   {commitRoute, 421, "Gone: 1", 0},
		"other's request": {commitRoute, 200, "Id: other", 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(tc.route)
			w.addEndpoint("a", catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				return respond(c, tc.status, "", tc.header, "Slowdown: 2.5")
			}))
			_, _, err := w.request(t, "POST", "/x/", "abc")
			assert.NilError(t, err)
			w.checkSlowdowns(t, tc.known)
		})
	}
}

// Guards against figures of prefills that aren't used.
func TestSlowdownsOfPrefillsReachThePlanner(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	startEngines(t, w, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		return respond(c, 200, `"h1"`, "Slowdown: 2.5")
	}, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return events(c, 1, 2, true) }, 1)
	_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	w.checkSlowdowns(t, 1)
}

// checkSlowdowns checks how many endpoints the planner knows to be slowed.
func (w *testGateway) checkSlowdowns(t *testing.T, known int) {
	t.Helper()
	m := w.gateway.o.Planner.SlowdownMetrics(w.clock.Now())
	assert.Equal(t, m.Known, known)
	assert.Equal(t, len(m.Largest), known)
}

// Guards against figures that other VMs don't receive, or receive as other ones.
func TestBeatsCarrySlowdowns(t *testing.T) {
	from, to := newTestGateway(t), newTestGateway(t)
	backend := serve(t, answerSigned)
	for _, w := range []*testGateway{from, to} {
		w.setRoute(lookupRoute)
		w.addEndpoint("a", catalog.Whole, backend)
	}
	var b wire.Beat
	from.gossip.Fill(&b)
	assert.Equal(t, len(b.GetSlowdowns()), 0)
	from.gateway.o.Planner.RecordSlowdown(from.clock.Now(), &catalog.Endpoint{ID: "a"}, 2.5)
	from.gossip.Fill(&b)
	to.gossip.Receive("vm1", &b)
	assert.DeepEqual(t, to.gateway.o.Planner.SlowdownMetrics(to.clock.Now()).Largest, map[string]float64{"a": 2.5})
}
