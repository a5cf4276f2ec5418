package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/settings"
	"fescuestand/internal/sheet"
)

const (
	zones  = 5
	models = 15
)

// poolSizes are the numbers of pools to measure: none, the current fleet with its plain service, 5, and
// the models of the design size.
var poolSizes = []int{0, 2, 5, models}

// runnerSizes are the numbers of runners to measure: the current fleet, a cell, the design size of one
// model group, and the whole fleet of the design size.
var runnerSizes = []int{12, 120, 430, 4300}

// nodeSizes are the numbers of nodes to measure: the current deployment, a cell and the whole fleet.
var nodeSizes = []int{8, 40, 420}

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }

// sheetOf returns a sheet of n runners in up to 15 pools.
func sheetOf(n int) *sheet.Sheet {
	s := &sheet.Sheet{
		Deployment: "design",
		Classes: []sheet.Class{{
			Name: "question", Priority: 1, Deadline: settings.Duration(10 * time.Second),
			FirstToken: settings.Duration(360 * time.Millisecond), BetweenTokens: settings.Duration(39 * time.Millisecond),
			Objective: 0.95,
		}},
		Limits: sheet.Limits{
			MaxBodyBytes: 1 << 20, MaxTokens: 4096, WorkspaceShare: 0.5, CommitWindow: settings.Duration(10 * time.Minute),
			QueuePerEngine: 16,
		},
	}
	for i := range min(models, n) {
		s.Pools = append(s.Pools, sheet.Pool{
			Name: fmt.Sprintf("pool-%02d", i), Model: fmt.Sprintf("model-%02d", i), Version: "1", MaxUnavailableShare: 0.2,
		})
	}
	for i := range n {
		p := &s.Pools[i%len(s.Pools)]
		p.Engines = append(p.Engines, engineName(i))
		s.Engines = append(s.Engines, sheet.Engine{
			Name: engineName(i), Zone: fmt.Sprintf("zone-%d", i%zones), Driver: "http",
			Address: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&255, i&255), ChecksFence: i%2 == 0,
		})
	}
	return s
}

func bodyOf(tb testing.TB, s *sheet.Sheet) []byte {
	body, err := json.Marshal(s)
	assert.NilError(tb, err)
	return body
}

// vmsOf returns the VM list of n nodes.
func vmsOf(n int) []driver.VM {
	vms := make([]driver.VM, n)
	for i := range vms {
		host := fmt.Sprintf("10.200.%d.%d", i>>8, i&255)
		vms[i] = driver.VM{
			Name: vmName(i), Zone: fmt.Sprintf("zone-%d", i%zones),
			Caller: host + ":7300", Peer: host + ":7400", Status: host + ":7500",
		}
	}
	return vms
}

// retained returns the bytes of heap and stack that the result of build keeps in use.
func retained(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPU reports the CPU time used since began, divided by n, as a metric with the given unit.
func reportCPU(b *testing.B, began time.Duration, n int, unit string) {
	b.ReportMetric(float64(cpuTime()-began)/float64(n)/float64(time.Microsecond), unit)
}
