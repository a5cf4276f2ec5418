package roles_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/roles"
)

// plain routes to the least loaded engine and refuses nothing, so that only the
// role plan differs between runs.
func plain(plan func(loadtest.Setup) loadtest.RolePlanner) loadtest.Policy {
	p := loadtest.LeastLoaded(loadtest.SplitShare(0.5))
	p.Roles = plan
	return p
}

// oneSwing is a mix that turns within two minutes, holds, and turns back.
func oneSwing() loadtest.Config {
	c := loadtest.Lakeshore()
	c.Workload.Length = 10 * time.Minute
	return c
}

// orders records when which planner ordered a change.
type orders struct{ at []clock.Time }

func (o *orders) log(now clock.Time, _ roles.Change, _ roles.Hold) { o.at = append(o.at, now) }

// within counts pairs of successive orders less than d apart.
func (o *orders) within(d time.Duration) int {
	n := 0
	for i := 1; i < len(o.at); i++ {
		if o.at[i].Sub(o.at[i-1]) < d {
			n++
		}
	}
	return n
}

// Questions give way to manifests within two minutes. With the split of the
// morning, callers of drafts wait for a first token until they hang up while
// half of the decode engines idle.
func TestRolesFollowASwing(t *testing.T) {
	cfg := oneSwing()
	static := loadtest.Run(cfg, plain(nil), 1)
	moving := loadtest.Run(cfg, plain(planned(lakeshoreSheet(), nil)), 1)
	t.Logf("static %.2f/s, %.2f engines; moving %.2f/s, %.2f engines, %d changes",
		static.Goodput(), static.WeightedGoodput(cfg.Model), moving.Goodput(), moving.WeightedGoodput(cfg.Model), moving.RoleChanges)
	assert.Assert(t, moving.Goodput() > 1.3*static.Goodput())
	assert.Assert(t, moving.RoleChanges <= 20)
}

// Three control processes hold a third of the engines each and plan from
// reports of different age. Each sees the same shortage. Without a turn, each
// moves an engine of its own within a second or two, the pool ends short of the
// other role, and the engines go back.
func TestSeveralPlannersMoveOneEngine(t *testing.T) {
	cfg := oneSwing()
	cfg.Planners = 3
	run := func(g roles.Guards) (*orders, loadtest.Result) {
		var o orders
		sheet := lakeshoreSheet()
		sheet.Guards = g
		return &o, loadtest.Run(cfg, plain(planned(sheet, o.log)), 1)
	}
	on, r := run(roles.Guards{})
	t.Logf("with turns: %d orders, %.2f/s", len(on.at), r.Goodput())
	assert.Equal(t, on.within(roles.Settle), 0)
	off, r := run(roles.Guards{NoTurn: true})
	t.Logf("without: %d orders, %d pairs at once, %.2f/s", len(off.at), off.within(roles.Settle), r.Goodput())
	assert.Assert(t, off.within(roles.Settle) > 0, "guard off")
}

// Reports come up to two seconds late. Without the wait for reports from after
// a change, the planner orders the next one while the first is under way.
func TestOneChangeAtATime(t *testing.T) {
	cfg := oneSwing()
	run := func(g roles.Guards) (*orders, loadtest.Result) {
		var o orders
		sheet := lakeshoreSheet()
		sheet.Guards = g
		return &o, loadtest.Run(cfg, plain(planned(sheet, o.log)), 2)
	}
	on, a := run(roles.Guards{})
	off, b := run(roles.Guards{NoSettle: true})
	t.Logf("on: %d changes, %.2f/s; off: %d changes, %.2f/s", a.RoleChanges, a.Goodput(), b.RoleChanges, b.Goodput())
	assert.Equal(t, on.within(cfg.Model.RoleChangeTime), 0)
	assert.Assert(t, off.within(cfg.Model.RoleChangeTime) > 0, "guard off")
}

// Every load report is lost for a minute in the middle of a swing. The planner
// can't tell idle engines from full ones and leaves the roles alone.
func TestNoChangeWithoutReports(t *testing.T) {
	cfg := oneSwing()
	from, d := 4*time.Minute, time.Minute
	all := make([]int, cfg.Engines)
	for i := range all {
		all[i] = i
	}
	cfg.Faults = []loadtest.Fault{{Kind: loadtest.NoReports, At: from, Duration: d, Engines: all}}
	var o orders
	loadtest.Run(cfg, plain(planned(lakeshoreSheet(), o.log)), 1)
	for _, at := range o.at {
		silent := at > clock.Time(from+roles.StaleAfter) && at < clock.Time(from+d)
		assert.Assert(t, !silent, "order at %v", time.Duration(at))
	}
	assert.Assert(t, len(o.at) > 0)
}

// An availability zone with a third of the engines goes away for a minute while
// the mix holds. The engines that are left are split anew only after
// CrashGrace, and callers fare no worse than with fixed roles.
func TestZoneGoneAndBack(t *testing.T) {
	cfg := oneSwing()
	cfg.Workload.Load = 0.5
	cfg.Workload.Swing = loadtest.Swing{Low: 0.3, High: 0.3, Hold: time.Minute, Ramp: time.Minute}
	from := 4 * time.Minute
	cfg.Faults = []loadtest.Fault{{Kind: loadtest.Crash, At: from, Duration: time.Minute, Engines: []int{0, 3, 6, 9}}}
	var o orders
	moving := loadtest.Run(cfg, plain(planned(lakeshoreSheet(), o.log)), 1)
	static := loadtest.Run(cfg, plain(nil), 1)
	t.Logf("moving %.2f/s with %d changes, static %.2f/s", moving.Goodput(), moving.RoleChanges, static.Goodput())
	for _, at := range o.at {
		early := at > clock.Time(from+3*time.Second) && at < clock.Time(from+roles.CrashGrace)
		assert.Assert(t, !early, "order at %v", time.Duration(at))
	}
	assert.Assert(t, moving.Goodput() > 0.95*static.Goodput())
}

// Four of six prefill engines crash and are back after twenty seconds. With the
// grace off, decode engines change role for a shortage that ends before they
// are through, and have to go back.
func TestCrashAndRestartMovesNobody(t *testing.T) {
	cfg := oneSwing()
	cfg.Workload.Length = 5 * time.Minute
	cfg.Workload.Load = 0.6
	cfg.Workload.Swing = loadtest.Swing{Low: 0.4}
	cfg.Faults = []loadtest.Fault{{Kind: loadtest.Crash, At: 3 * time.Minute, Duration: 20 * time.Second, Engines: []int{0, 1, 2, 3}}}
	run := func(g roles.Guards) loadtest.Result {
		sheet := lakeshoreSheet()
		sheet.MaxAwayShare = 0.5
		sheet.Guards = g
		return loadtest.Run(cfg, entries("ours", loadtest.SplitShare(0.5), planned(sheet, nil))(), 1)
	}
	on, off := run(roles.Guards{}), run(roles.Guards{NoGrace: true})
	t.Logf("on: %d changes, %.2f/s; off: %d changes, %.2f/s", on.RoleChanges, on.Goodput(), off.RoleChanges, off.Goodput())
	assert.Equal(t, on.RoleChanges, 0)
	assert.Assert(t, off.RoleChanges > 0, "guard off")
}

// The pool is offered up to three times what it can serve, in a steady mix, or
// ten times for five seconds. Nothing that the planner could do helps, and each
// change takes an engine from callers who have few: it settles on a split and
// stays there.
func TestOverloadDoesNotMoveEngines(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		cfg := oneSwing()
		cfg.Workload.Length = 3 * time.Minute
		cfg.Workload.Load = load
		cfg.Workload.Swing = loadtest.Swing{Low: 0.35}
		r := loadtest.Run(cfg, entries("ours", morning, planned(cevallosSheet(), nil))(), 1)
		t.Logf("load %.1f: %d changes in three minutes", load, r.RoleChanges)
		assert.Assert(t, r.RoleChanges <= 1, "load %.1f: %d changes", load, r.RoleChanges)
	}
	cfg := oneSwing()
	cfg.Workload.Length = 4 * time.Minute
	cfg.Workload.Load = 0.6
	cfg.Workload.Swing = loadtest.Swing{Low: 0.35}
	cfg.Workload.Bursts = []loadtest.Burst{{At: 2 * time.Minute, Duration: 5 * time.Second, Factor: 10}}
	r := loadtest.Run(cfg, entries("ours", morning, planned(cevallosSheet(), nil))(), 1)
	t.Logf("burst: %d changes", r.RoleChanges)
	assert.Assert(t, r.RoleChanges <= 1)
}

// Entries learn an engine's speed in one role and must not hold it against the
// engine in the next: a prefill step takes a quarter of a second, which no
// decode engine would be forgiven. Where they do, each change of role leaves an
// engine that gets next to no work, and callers fare worse than with fixed
// roles.
func TestEntriesUseEnginesThatChangedRole(t *testing.T) {
	cfg := oneSwing()
	cfg.Workload.Load = 0.9
	moving := loadtest.Run(cfg, entries("ours", morning, planned(lakeshoreSheet(), nil))(), 1)
	fixed := loadtest.Run(cfg, entries("fixed roles", morning, nil)(), 1)
	t.Logf("moving %.2f/s, %.2f engines; fixed %.2f/s, %.2f engines",
		moving.Goodput(), moving.WeightedGoodput(cfg.Model), fixed.Goodput(), fixed.WeightedGoodput(cfg.Model))
	assert.Assert(t, moving.Goodput() > 0.97*fixed.Goodput())
	assert.Assert(t, moving.WeightedGoodput(cfg.Model) > 1.05*fixed.WeightedGoodput(cfg.Model))
}
