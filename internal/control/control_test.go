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

func (w *world) role(engine string) driver.Role {
	st, _ := w.engines[engine].State(w.t.Context())
	if st.Changing {
		return ""
	}
	return st.Role
}

func TestOneProcessTakesThePoolAndFollowsTheSheet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, true)
		defer w.close()
		for i := range 3 {
			w.start(fmt.Sprint("vm", i))
		}
		p := w.controls["vm0"]
		eventually(t, 10*time.Second, "one holder", func() bool {
			h := p.holders()
			return len(h) == 1 && h[""] == 0
		})
		w.change(fixRole("e1", driver.RolePrefill))
		eventually(t, 10*time.Second, "role", func() bool { return w.role("e1") == driver.RolePrefill })
		eventually(t, 5*time.Second, "open", func() bool { return w.phase("e1") == wire.Phase_PHASE_OPEN })
		w.change(func(s *sheet.Sheet) { s.Pools[0].Version = "2" })
		eventually(t, time.Minute, "version 2 everywhere", func() bool {
			for _, e := range w.engines {
				st, _ := e.State(t.Context())
				if len(st.Loaded) != 1 || st.Loaded[0].Version != "2" {
					return false
				}
			}
			return true
		})
		assert.Equal(t, w.maxAway, 1, "max_away_share of four engines")
	})
}

// Story: an engine carries streams when the sheet changes its role. The order
// would cut them. New work stops, the streams end by themselves, then the
// order goes; if they don't end in time the change is put off.
func TestPlannedChangeCutsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, true)
		defer w.close()
		w.start("vm0")
		w.setInFlight("e0", 3)
		time.Sleep(10 * time.Second)
		w.change(fixRole("e0", driver.RoleDecode))
		eventually(t, 5*time.Second, "drain", func() bool { return w.phase("e0") == wire.Phase_PHASE_DRAIN })
		eventually(t, 15*time.Second, "move", func() bool { return w.phase("e0") == wire.Phase_PHASE_MOVE })
		eventually(t, 3*time.Minute, "put off", func() bool { return w.phase("e0") == wire.Phase_PHASE_OPEN })
		assert.Equal(t, len(w.engines["e0"].ordersTaken()), 0)
		w.setInFlight("e0", 0)
		eventually(t, time.Minute, "role", func() bool { return w.role("e0") == driver.RoleDecode })
	})
}

// Story: the holder is killed in the middle of a change. Another process takes
// over, reads what the engine does, and finishes the change without a second
// order of the same.
func TestHolderDiesInMidChange(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprint("fences=", fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, fences)
				defer w.close()
				a, b := w.start("vm0"), w.start("vm1")
				time.Sleep(15 * time.Second)
				holder, other := a, b
				if holder.holders()["vm1"] > 0 {
					holder, other = b, a
				}
				w.change(fixRole("e0", driver.RolePrefill))
				eventually(t, 10*time.Second, "order", func() bool { return len(w.engines["e0"].ordersTaken()) == 1 })
				holder.stop()
				gap := eventually(t, 20*time.Second, "takeover", func() bool {
					s := other.c.Scopes()
					return len(s) == 1 && s[0].Held
				})
				t.Logf("takeover gap, fences=%v: %s", fences, gap)
				time.Sleep(10 * time.Second)
				assert.Equal(t, w.role("e0"), driver.RolePrefill)
				assert.Equal(t, len(w.engines["e0"].ordersTaken()), 1)
				assert.Equal(t, w.phase("e0"), wire.Phase_PHASE_OPEN)
			})
		})
	}
}

// Story: an engine crashes in the middle of a role change and comes back in
// its old role with nothing loaded. The change is found undone and is done
// once more, and the weights are loaded again.
func TestEngineCrashesInMidChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, true)
		defer w.close()
		w.start("vm0")
		time.Sleep(10 * time.Second)
		w.engines["e0"].with(func() { w.engines["e0"].crashMid = true })
		w.change(fixRole("e0", driver.RolePrefill))
		eventually(t, time.Minute, "whole again", func() bool {
			st, _ := w.engines["e0"].State(t.Context())
			return st.Role == driver.RolePrefill && len(st.Loaded) == 1 && !st.Changing
		})
		assert.Equal(t, len(w.engines["e0"].ordersTaken()), 3, "the lost one, the load, the role")
	})
}

// Story: the answer to an order is lost. Another order at once could cross the
// first; the process waits for the engine's own word and sends no second one.
func TestLostAnswerOfAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, false)
		defer w.close()
		w.start("vm0")
		time.Sleep(10 * time.Second)
		w.engines["e0"].with(func() { w.engines["e0"].lose = true })
		w.change(fixRole("e0", driver.RolePrefill))
		eventually(t, 20*time.Second, "role", func() bool { return w.role("e0") == driver.RolePrefill })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(w.engines["e0"].ordersTaken()), 1)
	})
}

// Story: the holder is frozen with an order in its hand, one byte short. While
// it sleeps another process takes over and changes the engine. The holder
// wakes. Its order must change nothing, whether the engine checks tokens or
// not.
func TestFrozenHolderWakesWithAnOrder(t *testing.T) {
	for _, fences := range []bool{true, false} {
		for _, guarded := range []bool{true, false} {
			t.Run(fmt.Sprintf("fences=%v/guarded=%v", fences, guarded), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { frozenHolder(t, fences, guarded) })
			})
		}
	}
}

func frozenHolder(t *testing.T, fences, guarded bool) {
	w := newWorld(t, 1, fences)
	defer w.close()
	e := w.engines["e0"]
	unguard := func(o *Options) { o.noPermit = !guarded }
	a, b := w.start("vm0", unguard), w.start("vm1", unguard)
	time.Sleep(15 * time.Second)
	holder := a
	if holder.holders()["vm1"] > 0 {
		holder = b
	}
	stall := make(chan struct{})
	e.with(func() { e.stall = stall })
	w.change(fixRole("e0", driver.RolePrefill))
	eventually(t, 10*time.Second, "order in hand", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.stall == nil
	})
	holder.log.set(true) // frozen: it renews nothing and reads nothing
	eventually(t, 20*time.Second, "the successor's order", func() bool { return len(e.ordersTaken()) == 1 })
	w.change(fixRole("e0", driver.RoleDecode))
	eventually(t, 20*time.Second, "the successor's second order", func() bool { return len(e.ordersTaken()) == 2 })
	close(stall)
	time.Sleep(20 * time.Second)
	bad := e.bad
	e.bad = nil
	if !guarded && !fences {
		assert.Assert(t, len(bad) > 0, "without the guard the old order must be seen to count")
	} else {
		assert.Equal(t, len(bad), 0, "%v", bad)
		assert.Equal(t, w.role("e0"), driver.RoleDecode)
	}
}

// Story: the log is down for a minute. Leases lapse, nobody can claim. No
// order may go out; what was in force stays in force; afterwards the sheet is
// followed again.
func TestLogDownStopsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, true)
		defer w.close()
		w.start("vm0")
		w.start("vm1")
		time.Sleep(10 * time.Second)
		w.log.SetDown(true)
		time.Sleep(10 * time.Second)
		w.change(fixRole("e0", driver.RolePrefill))
		time.Sleep(50 * time.Second)
		assert.Equal(t, len(w.engines["e0"].ordersTaken()), 0)
		w.log.SetDown(false)
		eventually(t, 30*time.Second, "role", func() bool { return w.role("e0") == driver.RolePrefill })
	})
}

// Story: a VM leaves in the middle of a change. It finishes the change, hands
// its engines over and only then ends; the next process needn't wait for a
// lease to lapse.
func TestLeavingProcessHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, false)
		defer w.close()
		a, b := w.start("vm0"), w.start("vm1")
		time.Sleep(15 * time.Second)
		holder, other := a, b
		if holder.holders()["vm1"] > 0 {
			holder, other = b, a
		}
		w.change(fixRole("e2", driver.RolePrefill))
		eventually(t, 10*time.Second, "order", func() bool { return len(w.engines["e2"].ordersTaken()) == 1 })
		start := time.Now()
		assert.NilError(t, holder.c.Drain(t.Context()))
		took := time.Since(start)
		assert.Equal(t, w.role("e2"), driver.RolePrefill)
		gap := eventually(t, 5*time.Second, "handed over", func() bool {
			for _, s := range other.c.Scopes() {
				if !s.Held {
					return false
				}
			}
			return true
		})
		t.Logf("drain took %s, then %s", took, gap)
	})
}
