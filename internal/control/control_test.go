package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// eventually waits in fake time until ok holds.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func fixRole(engine string, role driver.Role) func(*sheet.Sheet) {
	return func(s *sheet.Sheet) {
		fixed := map[string]driver.Role{engine: role}
		for e, r := range s.Pools[0].Roles.Fixed {
			if e != engine {
				fixed[e] = r
			}
		}
		s.Pools[0].Roles.Fixed = fixed
	}
}

func (cl *testCluster) role(engine string) driver.Role {
	st, _ := cl.engines[engine].State(cl.t.Context())
	if st.Changing {
		return ""
	}
	return st.Role
}

func TestOneProcessTakesThePoolAndFollowsTheSheet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 4, true)
		defer cl.close()
		for i := range 3 {
			cl.startProcess(fmt.Sprint("vm", i))
		}
		p := cl.processes["vm0"]
		eventually(t, 10*time.Second, "one holder", func() bool {
			h := p.holders()
			return len(h) == 1 && h[""] == 0
		})
		cl.changeSheet(fixRole("e1", driver.RolePrefill))
		eventually(t, 10*time.Second, "role", func() bool { return cl.role("e1") == driver.RolePrefill })
		eventually(t, 5*time.Second, "open", func() bool { return cl.phase("e1") == wire.Phase_PHASE_OPEN })
		cl.changeSheet(func(s *sheet.Sheet) { s.Pools[0].Version = "2" })
		eventually(t, time.Minute, "version 2 everywhere", func() bool {
			for _, e := range cl.engines {
				st, _ := e.State(t.Context())
				if len(st.Loaded) != 1 || st.Loaded[0].Version != "2" {
					return false
				}
			}
			return true
		})
		assert.Equal(t, cl.maxUnavailable, 1, "max_away_share of four engines")
	})
}

// Story: an engine carries streams when the sheet changes its role. The order
// would cut them. New work stops, the streams end by themselves, then the
// order goes; if they don't end in time the change is put off.
func TestPlannedChangeCutsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 2, true)
		defer cl.close()
		cl.startProcess("vm0")
		cl.setInFlight("e0", 3)
		time.Sleep(10 * time.Second)
		cl.changeSheet(fixRole("e0", driver.RoleDecode))
		eventually(t, 5*time.Second, "drain", func() bool { return cl.phase("e0") == wire.Phase_PHASE_DRAIN })
		eventually(t, 15*time.Second, "move", func() bool { return cl.phase("e0") == wire.Phase_PHASE_MOVE })
		eventually(t, 3*time.Minute, "put off", func() bool { return cl.phase("e0") == wire.Phase_PHASE_OPEN })
		assert.Equal(t, len(cl.engines["e0"].acceptedOrders()), 0)
		cl.setInFlight("e0", 0)
		eventually(t, time.Minute, "role", func() bool { return cl.role("e0") == driver.RoleDecode })
	})
}

// Story: the holder is killed in the middle of a change. Another process takes
// over, reads what the engine does, and finishes the change without a second
// order of the same.
func TestHolderDiesInMidChange(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprint("fences=", checksFence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTestCluster(t, 1, checksFence)
				defer cl.close()
				a, b := cl.startProcess("vm0"), cl.startProcess("vm1")
				time.Sleep(15 * time.Second)
				holder, other := a, b
				if holder.holders()["vm1"] > 0 {
					holder, other = b, a
				}
				cl.changeSheet(fixRole("e0", driver.RolePrefill))
				eventually(t, 10*time.Second, "order", func() bool { return len(cl.engines["e0"].acceptedOrders()) == 1 })
				holder.stop()
				gap := eventually(t, 20*time.Second, "takeover", func() bool {
					s := other.control.Scopes()
					return len(s) == 1 && s[0].Held
				})
				t.Logf("takeover gap, fences=%v: %s", checksFence, gap)
				time.Sleep(10 * time.Second)
				assert.Equal(t, cl.role("e0"), driver.RolePrefill)
				assert.Equal(t, len(cl.engines["e0"].acceptedOrders()), 1)
				assert.Equal(t, cl.phase("e0"), wire.Phase_PHASE_OPEN)
			})
		})
	}
}

// Story: an engine crashes in the middle of a role change and comes back in
// its old role with nothing loaded. The change is found undone and is done
// once more, and the weights are loaded again.
func TestEngineCrashesInMidChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 1, true)
		defer cl.close()
		cl.startProcess("vm0")
		time.Sleep(10 * time.Second)
		cl.engines["e0"].withLock(func() { cl.engines["e0"].crashDuringOrder = true })
		cl.changeSheet(fixRole("e0", driver.RolePrefill))
		eventually(t, time.Minute, "whole again", func() bool {
			st, _ := cl.engines["e0"].State(t.Context())
			return st.Role == driver.RolePrefill && len(st.Loaded) == 1 && !st.Changing
		})
		assert.Equal(t, len(cl.engines["e0"].acceptedOrders()), 3, "the lost one, the load, the role")
	})
}

// Story: the answer to an order is lost. Another order at once could cross the
// first; the process waits for the engine's own word and sends no second one.
func TestLostAnswerOfAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 1, false)
		defer cl.close()
		cl.startProcess("vm0")
		time.Sleep(10 * time.Second)
		cl.engines["e0"].withLock(func() { cl.engines["e0"].loseAnswer = true })
		cl.changeSheet(fixRole("e0", driver.RolePrefill))
		eventually(t, 20*time.Second, "role", func() bool { return cl.role("e0") == driver.RolePrefill })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(cl.engines["e0"].acceptedOrders()), 1)
	})
}

// Story: the holder is frozen with an order in its hand, one byte short. While
// it sleeps another process takes over and changes the engine. The holder
// wakes. Its order must change nothing, whether the engine checks tokens or
// not.
func TestFrozenHolderWakesWithAnOrder(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		for _, guarded := range []bool{true, false} {
			t.Run(fmt.Sprintf("fences=%v/guarded=%v", checksFence, guarded), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { frozenHolder(t, checksFence, guarded) })
			})
		}
	}
}

func frozenHolder(t *testing.T, checksFence, guarded bool) {
	cl := newTestCluster(t, 1, checksFence)
	defer cl.close()
	e := cl.engines["e0"]
	setGuard := func(o *Options) { o.skipPermit = !guarded }
	a, b := cl.startProcess("vm0", setGuard), cl.startProcess("vm1", setGuard)
	time.Sleep(15 * time.Second)
	holder := a
	if holder.holders()["vm1"] > 0 {
		holder = b
	}
	stall := make(chan struct{})
	e.withLock(func() { e.stallOrder = stall })
	cl.changeSheet(fixRole("e0", driver.RolePrefill))
	eventually(t, 10*time.Second, "order in hand", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.stallOrder == nil
	})
	holder.log.setCut(true) // frozen: it renews nothing and reads nothing
	eventually(t, 20*time.Second, "the successor's order", func() bool { return len(e.acceptedOrders()) == 1 })
	cl.changeSheet(fixRole("e0", driver.RoleDecode))
	eventually(t, 20*time.Second, "the successor's second order", func() bool { return len(e.acceptedOrders()) == 2 })
	close(stall)
	time.Sleep(20 * time.Second)
	violations := e.violations
	e.violations = nil
	if !guarded && !checksFence {
		assert.Assert(t, len(violations) > 0, "without the guard the old order must be seen to count")
	} else {
		assert.Equal(t, len(violations), 0, "%v", violations)
		assert.Equal(t, cl.role("e0"), driver.RoleDecode)
	}
}

// Story: the log is down for a minute. Leases lapse, nobody can claim. No
// order may go out; what was in force stays in force; afterwards the sheet is
// followed again.
func TestLogDownStopsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 2, true)
		defer cl.close()
		cl.startProcess("vm0")
		cl.startProcess("vm1")
		time.Sleep(10 * time.Second)
		cl.log.SetDown(true)
		time.Sleep(10 * time.Second)
		cl.changeSheet(fixRole("e0", driver.RolePrefill))
		time.Sleep(50 * time.Second)
		assert.Equal(t, len(cl.engines["e0"].acceptedOrders()), 0)
		cl.log.SetDown(false)
		eventually(t, 30*time.Second, "role", func() bool { return cl.role("e0") == driver.RolePrefill })
	})
}

// Story: a VM leaves in the middle of a change. It finishes the change, hands
// its engines over and only then ends; the next process needn't wait for a
// lease to lapse.
func TestLeavingProcessHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 4, false)
		defer cl.close()
		a, b := cl.startProcess("vm0"), cl.startProcess("vm1")
		time.Sleep(15 * time.Second)
		holder, other := a, b
		if holder.holders()["vm1"] > 0 {
			holder, other = b, a
		}
		cl.changeSheet(fixRole("e2", driver.RolePrefill))
		eventually(t, 10*time.Second, "order", func() bool { return len(cl.engines["e2"].acceptedOrders()) == 1 })
		start := time.Now()
		assert.NilError(t, holder.control.Drain(t.Context()))
		took := time.Since(start)
		assert.Equal(t, cl.role("e2"), driver.RolePrefill)
		gap := eventually(t, 5*time.Second, "handed over", func() bool {
			for _, s := range other.control.Scopes() {
				if !s.Held {
					return false
				}
			}
			return true
		})
		t.Logf("drain took %s, then %s", took, gap)
	})
}
