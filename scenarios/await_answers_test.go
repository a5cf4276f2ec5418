package scenarios

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against scenarios that begin their faults before the VMs know an endpoint.
func TestScenarioWaitsForEndpoints(t *testing.T) {
	t.Parallel()
	s := newSoakOf(t, 3, engineSetup{versions: []string{"v1"}})
	s.awaitServing()
	s.wg.Go(func() {
		time.Sleep(reportInterval)
		s.addEndpoint("m", "decode")
	})
	s.awaitAnswers(pathResumable)
	for _, v := range s.vms {
		status, err := s.probe(s.ctx, v, pathResumable, "known")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, v.name)
	}
}
