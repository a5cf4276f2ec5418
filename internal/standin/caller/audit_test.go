package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/service"
)

func serveJSON(t *testing.T, v any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(v)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against commits that run twice without any caller noticing: a retry executes at another
// endpoint, so only the execution counts of both endpoints together show it.
func TestAuditFindsFaultsThatCallersDoNotSee(t *testing.T) {
	one := serveJSON(t, service.Executions{Keys: map[string]*service.Execution{
		"twice": {Count: 1}, "told-not-run": {Count: 1}, "fine": {Count: 1},
	}})
	two := serveJSON(t, service.Executions{Keys: map[string]*service.Execution{"twice": {Count: 1}}})
	history := serveJSON(t, engine.HistoryAnswer{Orders: []engine.HistoryEntry{
		{Order: driver.Order{Kind: driver.OrderRole}, Effect: engine.EffectDone, StreamsCut: 2},
		{Order: driver.Order{Kind: driver.OrderRole}, Effect: engine.EffectConflict, Overlap: true},
		{Order: driver.Order{Kind: driver.OrderRole}, Effect: engine.EffectStale},
	}})
	cfg := &Config{Engines: []string{history}, Endpoints: []string{one, two}}
	c := &caller{cfg: cfg, client: http.DefaultClient, table: newTable(cfg)}
	c.table.notRun = map[string]bool{"twice": false, "told-not-run": true, "fine": false, "lost": false}
	c.table.ran = map[string]bool{"twice": true, "fine": true, "lost": true}
	rep := &Report{}
	c.audit(t.Context(), rep)
	assert.DeepEqual(t, rep.Audit, Audit{
		RoleChanges: 2, Conflicts: 1, Stale: 1, StreamsCut: 2, DoubleRuns: 1, FalseNotRuns: 1, LostRuns: 1,
	})
	assert.Assert(t, !rep.Audit.passed())
}
