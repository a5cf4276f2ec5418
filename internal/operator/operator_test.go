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

func TestCodesPageEqualsTheProgram(t *testing.T) {
	var want strings.Builder
	assert.NilError(t, WriteCodes(&want))
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), want.String()),
		"docs/RESULT-CODES.md differs from `fescuectl codes`; its table must be exactly that output")
}

type fixedList []driver.VM

func (l fixedList) List(context.Context) ([]driver.VM, error) { return l, nil }

func statusServer(t *testing.T, r status.Report) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		assert.NilError(t, json.NewEncoder(w).Encode(r))
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// One VM of three is dead. Operators must see the gap beside the live VMs; a
// status that left the dead VM out would look like a whole, smaller fleet.
func TestStatusShowsVMsThatDoNotAnswer(t *testing.T) {
	old := statusServer(t, status.Report{SheetVersion: 3, Ready: true, Endpoints: []status.Endpoint{{Name: "e1", Role: "mixed", InFlight: 2}}})
	fresh := statusServer(t, status.Report{SheetVersion: 4, Ready: true, Log: status.Log{Healthy: true},
		Endpoints: []status.Endpoint{{Name: "e1", Role: "decode", InFlight: 1}}})
	list := fixedList{{Name: "a", Status: old}, {Name: "b", Status: fresh}, {Name: "c", Status: "127.0.0.1:1"}}
	f, err := ReadStatus(t.Context(), list)
	assert.NilError(t, err)
	assert.Equal(t, f.Engines[0].Role, "decode")
	assert.Equal(t, f.Engines[0].InFlight, 3)
	var out strings.Builder
	assert.NilError(t, f.WriteText(&out))
	assert.Assert(t, strings.Contains(out.String(), "c         no answer") || strings.Contains(out.String(), "no answer"), out.String())
}

// A publish right after the start finds an empty VM list, which lags. Taken for
// a fleet, it would be reported as in force everywhere, on no VM.
func TestEmptyVMListIsNotInForce(t *testing.T) {
	assert.DeepEqual(t, behindOf(&FleetStatus{}, 1), []string{"any VM: the VM list is empty"})
}
