package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/repeat"
)

// Guards against retries that are taken twice for a silent prefill: the first prefill that an engine accepts
// isn't counted against the budget.
func TestReplacedPrefillTakesOneRetry(t *testing.T) {
	budget := repeat.New(repeat.Config{Extra: 10, Window: 10 * time.Second})
	budget.SetUnused()
	budget.SetMembers(1)
	x := &execution{g: &Gateway{o: Options{Budget: budget, Clock: clock.Boot{}}}, service: "m"}
	send := func(prefill bool) *attempt {
		assert.Assert(t, x.takeRetryBudget())
		return &attempt{request: &EndpointRequest{PrefillOnly: prefill}}
	}
	x.countArrival(send(true), false) // silent
	x.countArrival(send(true), true)
	x.countArrival(send(false), true)
	left := 0
	for budget.Take(x.now(), "m", repeat.Begun) {
		left++
	}
	assert.Equal(t, left, 7, "of eight")
}

// Guards against a stream that isn't resumed as one retry is left and a further prefill would take two.
func TestStreamIsResumedWithTheLastRetry(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.budget.SetConfig(repeat.Config{Extra: 2, Window: 10 * time.Second})
		w.setRoute(streamRoute)
		p, _ := startEngines(t, w, answerPrefill, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
			if n == 1 {
				events(c, 1, 2, false)
				awaitClose(c)
				return false
			}
			return events(c, 3, 3, true)
		}, 2)
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
		assert.Equal(t, p.arrivals.Load(), int32(1))
	})
}
