package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/logclient/logtest"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

const (
	chaosSeeds     = 10
	chaosSteps     = 60
	chaosEngines   = 5 // engines, every other one ignores tokens
	chaosProcesses = 3
	chaosSettle    = 3 * time.Minute
	// maxUnguardedSeeds is the maximum number of seeds that the test with the guard disabled may
	// need to find a fault; the first ten are usually enough.
	maxUnguardedSeeds = 60
)

// Runs random faults together: processes are killed and restarted, cut off from the log, or frozen
// while sending orders; appends are lost, duplicated and delayed; engines crash during changes;
// entries don't answer; operators change the sheet at the same time; the log drops its records. No
// engine may ever have two orders, accept one from a previous holder or abort a stream, and the
// fleet must match the sheet after the faults end.
func TestRandomFaultsTogether(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

type chaos struct {
	*testCluster
	rng    *rand.Rand
	stalls []chan struct{}
}

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{testCluster: newTestCluster(t, chaosEngines, true), rng: rand.New(rand.NewPCG(seed, 7))}
	c.changeSheet(func(s *sheet.Sheet) {
		for i := range s.Engines {
			s.Engines[i].ChecksFence = i%2 == 0
			c.engines[s.Engines[i].Name].checksFence = i%2 == 0
		}
	})
	for i := range chaosProcesses {
		c.startProcess(fmt.Sprint("vm", i))
	}
	time.Sleep(10 * time.Second)
	for range chaosSteps {
		c.step()
		time.Sleep(time.Duration(c.rng.Int64N(int64(4 * time.Second))))
	}
	c.clearFaults()
	eventually(t, chaosSettle, "the fleet matches the sheet", c.matchesSheet)
	c.close()
}

func (c *chaos) pickEngine() *fakeEngine {
	return c.engines[fmt.Sprint("e", c.rng.IntN(chaosEngines))]
}

func (c *chaos) pickProcess() (string, *process) {
	vm := fmt.Sprint("vm", c.rng.IntN(chaosProcesses))
	return vm, c.processes[vm]
}

func (c *chaos) step() {
	e := c.pickEngine()
	vm, p := c.pickProcess()
	switch c.rng.IntN(15) {
	case 0:
		p.stop()
		c.startProcess(vm)
	case 1:
		p.log.setCut(true)
	case 2:
		p.log.setCut(false)
	case 3:
		seq := c.rng.Uint64()
		c.log.SetOutcome(func(string, []byte) logtest.Outcome {
			seq = seq*6364136223846793005 + 1
			return []logtest.Outcome{logtest.Applied, logtest.AnswerLost, logtest.Dropped, logtest.Delayed, logtest.Applied}[seq>>40%5]
		})
	case 4:
		c.log.SetOutcome(nil)
	case 5:
		c.log.ReleaseDelayed()
	case 6:
		e.withLock(func() { e.crashDuringOrder = true })
	case 7:
		e.withLock(func() { e.loseAnswer = true })
	case 8:
		stall := make(chan struct{})
		e.withLock(func() { e.stallOrder = stall })
		c.stalls = append(c.stalls, stall)
	case 9:
		c.resumeOrders()
	case 10:
		c.setUnresponsive(true)
	case 11:
		c.setUnresponsive(false)
	case 12:
		c.startStream(e)
	case 13:
		c.log.Expire("control", c.log.End("control"))
	default:
		role := []driver.Role{driver.RolePrefill, driver.RoleDecode, driver.RoleMixed}[c.rng.IntN(3)]
		c.changeSheet(fixRole(e.name, role))
	}
}

// startStream starts a request of up to 30 seconds if the entry has recorded the engine as open.
func (c *chaos) startStream(e *fakeEngine) {
	if c.phase(e.name) != wire.Phase_PHASE_OPEN {
		return
	}
	c.setInFlight(e.name, 1)
	time.AfterFunc(time.Duration(c.rng.Int64N(int64(30*time.Second))), func() { c.setInFlight(e.name, 0) })
}

func (cl *testCluster) setUnresponsive(unresponsive bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.unresponsive = unresponsive
}

// resumeOrders resumes the stalled orders.
func (c *chaos) resumeOrders() {
	for _, s := range c.stalls {
		close(s)
	}
	c.stalls = nil
}

func (c *chaos) clearFaults() {
	for _, p := range c.processes {
		p.log.setCut(false)
	}
	c.log.SetOutcome(nil)
	c.log.ReleaseDelayed()
	c.resumeOrders()
	c.setUnresponsive(false)
	for _, e := range c.engines {
		e.withLock(func() { e.crashDuringOrder, e.loseAnswer, e.stallOrder = false, false, nil })
	}
}

func (c *chaos) matchesSheet() bool {
	for name, e := range c.engines {
		want := c.View().Sheet.Pools[0].Roles.Fixed[name]
		if want == "" {
			want = driver.RoleMixed
		}
		st, err := e.State(c.t.Context())
		if err != nil || st.Changing || st.Role != want || len(st.Loaded) != 1 {
			return false
		}
	}
	return true
}

// The same faults with the lease check disabled must break an engine; otherwise the test above
// proves nothing.
func TestRandomFaultsWithLeaseCheckDisabled(t *testing.T) {
	violations := 0
	for seed := uint64(0); seed < maxUnguardedSeeds && violations == 0; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := &chaos{testCluster: newTestCluster(t, chaosEngines, false), rng: rand.New(rand.NewPCG(seed, 7))}
			unguarded := func(o *Options) { o.skipPermit = true }
			for i := range chaosProcesses {
				c.startProcess(fmt.Sprint("vm", i), unguarded)
			}
			time.Sleep(10 * time.Second)
			for range chaosSteps {
				c.step()
				time.Sleep(time.Duration(c.rng.Int64N(int64(4 * time.Second))))
			}
			c.clearFaults()
			time.Sleep(time.Minute)
			for _, e := range c.engines {
				e.withLock(func() {
					violations += len(e.violations)
					e.violations = nil
				})
			}
			c.close()
		})
	}
	assert.Assert(t, violations > 0)
}
