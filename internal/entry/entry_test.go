package entry

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/burn"
	"fescuestand/internal/standin/engine"
	"fescuestand/internal/standin/oracle"
	"fescuestand/internal/standin/service"
)

func fastEngine() engine.Config {
	return engine.Config{DecodeStep: 2 * time.Millisecond, Downtime: 300 * time.Millisecond}
}

func wantText(prompt string, tokens int) string {
	return string(oracle.New("m", "1", "", []byte(prompt), 7).Text(0, tokens))
}

func TestStreamLookupAndCommit(t *testing.T) {
	cl := newCluster(t, clusterConfig{entries: 2, engines: []engine.Config{fastEngine(), fastEngine()}, services: []service.Config{{}}})
	a, err := cl.generate(cl.entries[0].addr, "lot 7", 40)
	assert.NilError(t, err)
	assert.Assert(t, a.complete, "%+v", a)
	assert.Equal(t, a.text, wantText("lot 7", 40))

	a, err = cl.post(cl.ctx, cl.entries[0].addr, "/v1/services/lantern/balance", `{"id":1}`, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.body, string(oracle.Answer("balance", []byte(`{"id":1}`))), "%+v", a)

	issued := time.Now()
	a, err = cl.topup(cl.entries[0].addr, "k1", `{"id":1}`, false, issued)
	assert.NilError(t, err)
	assert.Equal(t, a.body, string(oracle.Answer("topup", []byte(`{"id":1}`))), "%+v", a)
	assert.Equal(t, a.header.Get("Run"), "ran")
	again, err := cl.topup(cl.entries[1].addr, "k1", `{"id":1}`, true, issued)
	assert.NilError(t, err)
	assert.Equal(t, again.header.Get("Result-Code"), "4006", "%+v", again)
	assert.Equal(t, again.body, a.body)
	other, err := cl.topup(cl.entries[1].addr, "k1", `{"id":2}`, true, issued)
	assert.NilError(t, err)
	assert.Equal(t, other.refusal.Name, "key-reused")

	m := cl.entries[1].unit.Metrics().(Metrics)
	assert.DeepEqual(t, m.Results, map[string]uint64{"ok/ran": 1, "key-reused/not-run": 1})
	b, err := cl.entries[0].unit.Burn()
	assert.NilError(t, err)
	var report burn.Report
	assert.NilError(t, json.Unmarshal(b, &report))
	for _, l := range report.Objectives {
		assert.Assert(t, l.Windows[0].Good > 0 && l.Windows[0].Bad == 0, "%+v", l)
	}
}
