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

// poolSizes are none, today's fleet with its plain service, and the models of the
// design size.
var poolSizes = []int{0, 2, 5, models}

// runnerSizes are today's fleet, a cell, the design size of one model group
// and the whole fleet.
var runnerSizes = []int{12, 120, 430, 4300}

// nodeSizes are today's deployment, a cell and the whole fleet.
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

// retained returns the heap that what build returns keeps alive, in bytes.
func retained(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reportCPU reports the processor time since began for each of n units.
func reportCPU(b *testing.B, began time.Duration, n int, unit string) {
	b.ReportMetric(float64(cpu()-began)/float64(n)/float64(time.Microsecond), unit)
}
