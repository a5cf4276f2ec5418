package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/status"
)

func TestCodesPageEqualsCommandOutput(t *testing.T) {
	var want strings.Builder
	assert.NilError(t, WriteCodes(&want))
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), want.String()),
		"docs/RESULT-CODES.md differs from `fescuectl codes`; its table must be exactly that output")
}

type staticVMList []driver.VM

func (l staticVMList) List(context.Context) ([]driver.VM, error) { return l, nil }

func statusServer(t *testing.T, r status.Report) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.NilError(t, json.NewEncoder(w).Encode(r))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a status that leaves out failed VMs and so looks like that of a complete, smaller
// fleet. One VM of three does not answer and must be listed beside the live ones.
func TestStatusShowsVMsThatDoNotAnswer(t *testing.T) {
	old := statusServer(t, status.Report{SheetVersion: 3, Ready: true, Endpoints: []status.Endpoint{{Name: "e1", Role: "mixed", InFlight: 2}}})
	fresh := statusServer(t, status.Report{SheetVersion: 4, Ready: true, Log: status.Log{Healthy: true},
		Endpoints: []status.Endpoint{{Name: "e1", Role: "decode", InFlight: 1}}})
	list := staticVMList{{Name: "a", Status: old}, {Name: "b", Status: fresh}, {Name: "c", Status: "127.0.0.1:1"}}
	f, err := ReadStatus(t.Context(), list)
	assert.NilError(t, err)
	assert.Equal(t, f.Engines[0].Role, "decode")
	assert.Equal(t, f.Engines[0].InFlight, 3)
	var out strings.Builder
	assert.NilError(t, f.WriteText(&out))
	assert.Assert(t, strings.Contains(out.String(), "c         no answer") || strings.Contains(out.String(), "no answer"), out.String())
}

// The VM list lags and can be empty when a publish follows the start at once. An empty list must not
// be reported as a version that is in force on all VMs.
func TestEmptyVMListIsNotInForce(t *testing.T) {
	assert.DeepEqual(t, vmsNotInForce(&FleetStatus{}, 1), []string{"any VM: the VM list is empty"})
}
