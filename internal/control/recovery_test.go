package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// slowStore needs ten seconds to deliver a model.
type slowStore struct{}

func (slowStore) Size(context.Context, string, string) (int64, error) { return 10 << 30, nil }
func (slowStore) Rate(context.Context) (int64, error)                 { return 1 << 30, nil }

// A zone recovers with six empty engines. If all loaded their weights at once, the store would
// divide its rate and none would serve for a minute. The loads must run one after the other.
func TestLoadsOfEmptyEnginesAreSequential(t *testing.T) {
	loadsIn15s := func(paced bool) (n int) {
		synctest.Test(t, func(t *testing.T) {
			cl := newTestCluster(t, 6, true)
			defer cl.close()
			for _, e := range cl.engines {
				e.state.Loaded = nil
			}
			cl.startProcess("vm0", func(o *Options) {
				if paced {
					o.Weights = slowStore{}
				}
			})
			eventually(t, 20*time.Second, "a load", func() bool { return cl.loadsStarted() > 0 })
			time.Sleep(15 * time.Second)
			n = cl.loadsStarted()
		})
		return n
	}
	assert.Equal(t, loadsIn15s(true), 2, "loads started in the first 15 s")
	assert.Equal(t, loadsIn15s(false), 6, "all at once with pacing disabled")
}

func (cl *testCluster) loadsStarted() int {
	n := 0
	for _, e := range cl.engines {
		n += len(e.acceptedOrders())
	}
	return n
}

// All control processes are down for longer than the log keeps records, so that processes that
// start later find no authority state. They must not wait forever, nor claim while a previous
// holder could still send orders.
func TestAuthorityResetWhenNoRecordIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 3, false)
		defer cl.close()
		cl.startProcess("vm0")
		eventually(t, 15*time.Second, "held", func() bool { return cl.processes["vm0"].holdsAll() })
		cl.processes["vm0"].stop()
		cl.log.Expire("control", cl.log.End("control"))
		for i := range 2 {
			cl.startProcess(fmt.Sprint("vm", i))
		}
		time.Sleep(resetAfter)
		assert.Assert(t, !cl.processes["vm0"].holdsAll() && !cl.processes["vm1"].holdsAll())
		eventually(t, time.Minute, "held again", func() bool {
			return cl.processes["vm0"].holdsAll() || cl.processes["vm1"].holdsAll()
		})
		time.Sleep(time.Minute)
		assert.Assert(t, cl.processes["vm0"].holdsAll() != cl.processes["vm1"].holdsAll())
	})
}

func (p *process) holdsAll() bool {
	scopes := p.control.Scopes()
	for _, s := range scopes {
		if !s.HeldHere {
			return false
		}
	}
	return len(scopes) > 0
}

// Operators withdraw one engine that still runs a stream and remove another from the sheet. The
// stream must end normally, neither engine may get an order, and the withdrawn one must accept work
// again when the sheet says so.
func TestWithdrawnAndRemovedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 3, true)
		defer cl.close()
		p := cl.startProcess("vm0")
		eventually(t, 15*time.Second, "held", p.holdsAll)
		time.Sleep(5 * time.Second)
		cl.setInFlight("e1", 1)
		cl.changeSheet(func(s *sheet.Sheet) {
			s.Engines[1].Withdrawn = true
			s.Engines = s.Engines[:2]
			s.Pools[0].Engines = []string{"e0", "e1"}
		})
		eventually(t, 5*time.Second, "drain", func() bool { return cl.phase("e1") == wire.Phase_PHASE_DRAIN })
		time.Sleep(5 * time.Second)
		cl.setInFlight("e1", 0)
		eventually(t, 5*time.Second, "withdrawn", func() bool { return cl.phase("e1") == wire.Phase_PHASE_WITHDRAWN })
		time.Sleep(10 * time.Second)
		assert.Equal(t, p.control.Left(), 2, "the removed engine was released")
		cl.changeSheet(func(s *sheet.Sheet) { s.Engines[1].Withdrawn = false })
		eventually(t, 10*time.Second, "open", func() bool { return cl.phase("e1") == wire.Phase_PHASE_OPEN })
		for _, e := range cl.engines {
			assert.Equal(t, len(e.acceptedOrders()), 0)
		}
	})
}

// One engine of a planned pool is down when a process takes over the pool. The other engines must
// still be assigned to the roles.
func TestFailedEngineDoesNotBlockRoleAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTestCluster(t, 4, true)
		defer cl.close()
		cl.engines["e3"].down = true
		cl.changeSheet(func(s *sheet.Sheet) {
			s.Pools[0].Roles = sheet.Roles{Planned: true, MinPrefill: 1, MinDecode: 1}
		})
		cl.startProcess("vm0")
		eventually(t, 2*time.Minute, "split", func() bool {
			n := map[driver.Role]int{}
			for _, e := range []string{"e0", "e1", "e2"} {
				n[cl.role(e)]++
			}
			return n[driver.RolePrefill] == 1 && n[driver.RoleDecode] == 2
		})
	})
}
