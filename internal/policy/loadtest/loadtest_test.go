package loadtest_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/policy/loadtest"
)

func shortConfig() loadtest.Config {
	c := loadtest.Lakeshore()
	c.Workload.Length = 2 * time.Minute
	return c
}

func TestEveryRequestEndsOnce(t *testing.T) {
	cfg := shortConfig()
	cfg.Faults = []loadtest.Fault{
		{Kind: loadtest.Crash, At: 30 * time.Second, Duration: 20 * time.Second, Engines: []int{0, 7}},
		{Kind: loadtest.FailFast, At: 60 * time.Second, Duration: 10 * time.Second, Engines: []int{3}},
	}
	r := loadtest.Run(cfg, loadtest.LeastLoaded(loadtest.SplitShare(0.5)), 7)
	for _, c := range r.Classes {
		t.Log(c)
		assert.Assert(t, c.Offered > 0)
		assert.Equal(t, c.Offered, c.OnTime+c.Slow+c.Late+c.RefusedTotal())
	}
}

func TestSameSeedSameRun(t *testing.T) {
	p := loadtest.FIFORoundRobin(loadtest.SplitShare(0.5))
	a := loadtest.Run(shortConfig(), p, 3)
	b := loadtest.Run(shortConfig(), p, 3)
	for i := range a.Classes {
		assert.Equal(t, a.Classes[i].String(), b.Classes[i].String())
	}
}

func TestHalfLoadIsServedOnTime(t *testing.T) {
	cfg := shortConfig()
	cfg.Workload.Load = 0.5
	cfg.Workload.Swing = loadtest.Swing{} // short questions only
	r := loadtest.Run(cfg, loadtest.LeastLoaded(loadtest.SplitShare(0.5)), 1)
	c := r.Classes[0]
	t.Log(c)
	assert.Assert(t, float64(c.OnTime) > 0.97*float64(c.Offered))
}
