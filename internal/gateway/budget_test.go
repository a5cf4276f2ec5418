package gateway

import (
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
