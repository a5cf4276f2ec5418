package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/policy/place"
)

// Guards against the ejection of an endpoint because of requests that this VM decided not to send.
func TestUnsentRequestsAreNotCountedAgainstTheEndpoint(t *testing.T) {
	for c, want := range map[code.Code]place.Outcome{
		code.EndpointCut:      place.ExchangeFailed,
		code.RetryBudgetSpent: place.Ignored,
		code.EndpointsLimited: place.Ignored,
		code.EndpointLeft:     place.Ignored,
		code.EndpointSilent:   place.Ignored,
	} {
		assert.Equal(t, placementOutcome(&result{outcome: notSent, code: c}), want, c)
	}
}
