package fleet

import (
	"context"
	"fmt"
	"testing"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// BenchmarkPublish measures the cost of publish after polls that changed nothing: the owner
// rebuilds the list of endpoints and compares it with the published one.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{12, 120, 430, 4300} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			o := newOwner(context.Background(), New(route.Config{}, clock.Boot{}, 1))
			o.sheet = &sheet.Sheet{Pools: []sheet.Pool{{Name: "p", Model: "m", Version: "1"}}}
			for i := range n {
				name := fmt.Sprintf("engine-%04d", i)
				o.sheet.Engines = append(o.sheet.Engines, sheet.Engine{Name: name, Zone: "z"})
				o.sheet.Pools[0].Engines = append(o.sheet.Pools[0].Engines, name)
				o.endpoints[name] = &endpoint{
					engine: &Engine{Name: name},
					state:  &driver.EngineState{Loaded: []driver.Loaded{{Model: "m", Version: "1"}}},
				}
			}
			o.publish()
			b.ReportAllocs()
			for b.Loop() {
				o.publish()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/runner")
		})
	}
}
