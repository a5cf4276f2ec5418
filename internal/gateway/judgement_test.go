package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/policy/place"
)

// Guards against an endpoint that is left out for a request that never left this VM.
func TestWhatAVMDecidesIsNoFaultOfTheEndpoint(t *testing.T) {
	for c, want := range map[code.Code]place.Outcome{
		code.EndpointCut:      place.ExchangeFailed,
		code.RetryBudgetSpent: place.Ignored,
		code.EndpointsLimited: place.Ignored,
		code.EndpointLeft:     place.Ignored,
	} {
		assert.Equal(t, judgement(&result{outcome: notSent, code: c}), want, c)
	}
}
