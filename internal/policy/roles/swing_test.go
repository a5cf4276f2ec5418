package roles_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/roles"
)

// leastLoadedPolicy routes to the least loaded engine and refuses nothing, so that
// only the role plan differs between runs.
func leastLoadedPolicy(plan func(loadtest.Setup) loadtest.RolePlanner) loadtest.Policy {
	p := loadtest.LeastLoaded(loadtest.SplitShare(0.5))
	p.Roles = plan
	return p
}

// oneSwing returns a workload whose mix shifts within two minutes, holds, and shifts
// back.
func oneSwing() loadtest.Config {
	c := loadtest.Lakeshore()
	c.Workload.Length = 10 * time.Minute
	return c
}

// orderLog records when changes were ordered.
type orderLog struct{ at []clock.Time }

func (o *orderLog) record(now clock.Time, _ roles.Change, _ roles.HoldReason) {
	o.at = append(o.at, now)
}

// pairsWithin counts the pairs of successive orders less than d apart.
func (o *orderLog) pairsWithin(d time.Duration) int {
	n := 0
	for i := 1; i < len(o.at); i++ {
		if o.at[i].Sub(o.at[i-1]) < d {
			n++
		}
	}
	return n
}

// Guards against a split that doesn't follow the mix: within two minutes, requests
// with short prompts give way to ones with long prompts. With the initial split,
// callers wait for a first token until they disconnect while half of the decode
// engines idle.
func TestRolesFollowMixShift(t *testing.T) {
	cfg := oneSwing()
	static := loadtest.Run(cfg, leastLoadedPolicy(nil), 1)
	moving := loadtest.Run(cfg, leastLoadedPolicy(rolePlanner(lakeshoreSheet(), nil)), 1)
	t.Logf("static %.2f/s, %.2f engines; moving %.2f/s, %.2f engines, %d changes",
		static.Goodput(), static.WeightedGoodput(cfg.Model), moving.Goodput(), moving.WeightedGoodput(cfg.Model), moving.RoleChanges)
	assert.Assert(t, moving.Goodput() > 1.3*static.Goodput())
	assert.Assert(t, moving.RoleChanges <= 20)
}

// Guards against several reactions to one shortage: three control processes hold a
// third of the engines each and plan from reports of different age. Without a
// designated planner, each moves an engine of its own within a second or two, the
// pool is then short of the other role, and the engines are moved back.
func TestConcurrentPlannersOrderOneChange(t *testing.T) {
	cfg := oneSwing()
	cfg.Planners = 3
	run := func(g roles.Guards) (*orderLog, loadtest.Result) {
		var o orderLog
		sheet := lakeshoreSheet()
		sheet.Disabled = g
		return &o, loadtest.Run(cfg, leastLoadedPolicy(rolePlanner(sheet, o.record)), 1)
	}
	on, r := run(roles.Guards{})
	t.Logf("with a designated planner: %d orders, %.2f/s", len(on.at), r.Goodput())
	assert.Equal(t, on.pairsWithin(roles.SettleTime), 0)
	off, r := run(roles.Guards{NoDesignatedPlanner: true})
	t.Logf("without: %d orders, %d pairs within the settle time, %.2f/s", len(off.at), off.pairsWithin(roles.SettleTime), r.Goodput())
	assert.Assert(t, off.pairsWithin(roles.SettleTime) > 0, "guard disabled")
}

// Guards against overlapping changes: reports arrive up to two seconds late, and
// without waiting for reports from after a change, the planner orders the next one
// while the first is in flight.
func TestOneChangeAtATime(t *testing.T) {
	cfg := oneSwing()
	run := func(g roles.Guards) (*orderLog, loadtest.Result) {
		var o orderLog
		sheet := lakeshoreSheet()
		sheet.Disabled = g
		return &o, loadtest.Run(cfg, leastLoadedPolicy(rolePlanner(sheet, o.record)), 2)
	}
	on, a := run(roles.Guards{})
	off, b := run(roles.Guards{NoSettleTime: true})
	t.Logf("on: %d changes, %.2f/s; off: %d changes, %.2f/s", a.RoleChanges, a.Goodput(), b.RoleChanges, b.Goodput())
	assert.Equal(t, on.pairsWithin(cfg.Model.RoleChangeTime), 0)
	assert.Assert(t, off.pairsWithin(cfg.Model.RoleChangeTime) > 0, "guard disabled")
}

// Guards against changes without data: every load report is lost for a minute in the
// middle of a swing, and the planner can't distinguish idle engines from full ones.
func TestNoChangeWithoutReports(t *testing.T) {
	cfg := oneSwing()
	from, d := 4*time.Minute, time.Minute
	all := make([]int, cfg.Engines)
	for i := range all {
		all[i] = i
	}
	cfg.Faults = []loadtest.Fault{{Kind: loadtest.NoReports, At: from, Duration: d, Engines: all}}
	var o orderLog
	loadtest.Run(cfg, leastLoadedPolicy(rolePlanner(lakeshoreSheet(), o.record)), 1)
	for _, at := range o.at {
		unreported := at > clock.Time(from+roles.MaxReportAge) && at < clock.Time(from+d)
		assert.Assert(t, !unreported, "order at %v", time.Duration(at))
	}
	assert.Assert(t, len(o.at) > 0)
}

// Guards against needless changes in a zone outage: an availability zone with a third
// of the engines is down for a minute while the mix holds. The remaining engines are
// split again only after CrashGrace, and goodput is no lower than with fixed roles.
func TestZoneOutageAndRecovery(t *testing.T) {
	cfg := oneSwing()
	cfg.Workload.Load = 0.5
	cfg.Workload.Swing = loadtest.Swing{Low: 0.3, High: 0.3, Hold: time.Minute, Ramp: time.Minute}
	from := 4 * time.Minute
	cfg.Faults = []loadtest.Fault{{Kind: loadtest.Crash, At: from, Duration: time.Minute, Engines: []int{0, 3, 6, 9}}}
	var o orderLog
	moving := loadtest.Run(cfg, leastLoadedPolicy(rolePlanner(lakeshoreSheet(), o.record)), 1)
	static := loadtest.Run(cfg, leastLoadedPolicy(nil), 1)
	t.Logf("moving %.2f/s with %d changes, static %.2f/s", moving.Goodput(), moving.RoleChanges, static.Goodput())
	for _, at := range o.at {
		early := at > clock.Time(from+3*time.Second) && at < clock.Time(from+roles.CrashGrace)
		assert.Assert(t, !early, "order at %v", time.Duration(at))
	}
	assert.Assert(t, moving.Goodput() > 0.95*static.Goodput())
}

// Guards against changes for a shortage that ends before they complete: four of six
// prefill engines crash and are back after twenty seconds. Without CrashGrace, decode
// engines change role and have to change back.
func TestCrashAndRestartCausesNoChange(t *testing.T) {
	cfg := oneSwing()
	cfg.Workload.Length = 5 * time.Minute
	cfg.Workload.Load = 0.6
	cfg.Workload.Swing = loadtest.Swing{Low: 0.4}
	cfg.Faults = []loadtest.Fault{{Kind: loadtest.Crash, At: 3 * time.Minute, Duration: 20 * time.Second, Engines: []int{0, 1, 2, 3}}}
	run := func(g roles.Guards) loadtest.Result {
		sheet := lakeshoreSheet()
		sheet.MaxUnavailableShare = 0.5
		sheet.Disabled = g
		return loadtest.Run(cfg, entryPolicy("ours", loadtest.SplitShare(0.5), rolePlanner(sheet, nil))(), 1)
	}
	on, off := run(roles.Guards{}), run(roles.Guards{NoCrashGrace: true})
	t.Logf("on: %d changes, %.2f/s; off: %d changes, %.2f/s", on.RoleChanges, on.Goodput(), off.RoleChanges, off.Goodput())
	assert.Equal(t, on.RoleChanges, 0)
	assert.Assert(t, off.RoleChanges > 0, "guard disabled")
}

// Guards against changes under overload: the pool is offered up to three times its
// capacity in a steady mix, or ten times for five seconds. No split helps, and each
// change takes an engine from callers that have too few, so the planner keeps one
// split.
func TestOverloadCausesAtMostOneChange(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		cfg := oneSwing()
		cfg.Workload.Length = 3 * time.Minute
		cfg.Workload.Load = load
		cfg.Workload.Swing = loadtest.Swing{Low: 0.35}
		r := loadtest.Run(cfg, entryPolicy("ours", initialSplit, rolePlanner(cevallosSheet(), nil))(), 1)
		t.Logf("load %.1f: %d changes in three minutes", load, r.RoleChanges)
		assert.Assert(t, r.RoleChanges <= 1, "load %.1f: %d changes", load, r.RoleChanges)
	}
	cfg := oneSwing()
	cfg.Workload.Length = 4 * time.Minute
	cfg.Workload.Load = 0.6
	cfg.Workload.Swing = loadtest.Swing{Low: 0.35}
	cfg.Workload.Bursts = []loadtest.Burst{{At: 2 * time.Minute, Duration: 5 * time.Second, Factor: 10}}
	r := loadtest.Run(cfg, entryPolicy("ours", initialSplit, rolePlanner(cevallosSheet(), nil))(), 1)
	t.Logf("burst: %d changes", r.RoleChanges)
	assert.Assert(t, r.RoleChanges <= 1)
}

// Guards against entries that apply the speed of an engine in its former role to its
// new one: a prefill step takes a quarter of a second, far slower than any healthy
// decode step. Such an engine would get almost no work after a change of role, and
// goodput would be lower than with fixed roles.
func TestEntriesUseEnginesThatChangedRole(t *testing.T) {
	cfg := oneSwing()
	cfg.Workload.Load = 0.9
	moving := loadtest.Run(cfg, entryPolicy("ours", initialSplit, rolePlanner(lakeshoreSheet(), nil))(), 1)
	fixed := loadtest.Run(cfg, entryPolicy("fixed roles", initialSplit, nil)(), 1)
	t.Logf("moving %.2f/s, %.2f engines; fixed %.2f/s, %.2f engines",
		moving.Goodput(), moving.WeightedGoodput(cfg.Model), fixed.Goodput(), fixed.WeightedGoodput(cfg.Model))
	assert.Assert(t, moving.Goodput() > 0.97*fixed.Goodput())
	assert.Assert(t, moving.WeightedGoodput(cfg.Model) > 1.05*fixed.WeightedGoodput(cfg.Model))
}
