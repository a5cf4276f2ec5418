package control

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"fescuestand/internal/clock"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// benchHeldEngines is the number of engines that the measured process holds: 4,300 engines over 420
// nodes.
const benchHeldEngines = 10

func benchState(b *testing.B, n int) *state {
	b.Helper()
	cl := newTestCluster(&testing.T{}, n, true)
	client := logclient.New(logclient.Options{Log: cl.log, Writer: "self", VM: "vm"})
	b.Cleanup(func() { _ = client.Close() })
	c := New(Options{
		Replica: cl, Log: client, Peers: cl, Clock: clock.Boot{}, Stream: "control", VM: "vm", Incarnation: "self",
		OpenEngine: nil,
	})
	c.opt.OpenEngine = openFake(cl)
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	s := newState(ctx, c)
	s.applySheet()
	for i := range n {
		writer := "self"
		if i >= benchHeldEngines {
			writer = fmt.Sprintf("writer-%06d", i/benchHeldEngines)
		}
		claim := &wire.Claim{Scopes: []*wire.ScopeClaim{{Scope: fmt.Sprint("e", i)}}}
		streamItems{[]logclient.Item{benchItem(uint64(i+1), writer, &wire.Entry{Kind: &wire.Entry_Claim{Claim: claim}})}, s.now()}.apply(s)
	}
	return s
}

func benchItem(offset uint64, writer string, e *wire.Entry) fold.Item {
	return fold.Item{Offset: offset, Seq: offset, Writer: writer, VM: "vm-" + writer, Entry: e}
}

func (s *state) processEvents() {
	for {
		select {
		case e := <-s.c.events:
			e.apply(s)
		default:
			return
		}
	}
}

// BenchmarkTick measures one tick of the owner, which runs four times a second, with ten idle
// engines held.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{15, 400, 4300} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := benchState(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for range b.N {
				s.tick()
				s.c.wg.Wait()
				s.processEvents()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/engine")
		})
	}
}

// BenchmarkRenewalRead measures reading one renewal of another process.
func BenchmarkRenewalRead(b *testing.B) {
	for _, n := range []int{15, 400, 4300} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			s := benchState(b, n)
			beat := &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
			b.ResetTimer()
			for i := range b.N {
				streamItems{[]logclient.Item{benchItem(uint64(n+i+1), "writer-000001", beat)}, s.now()}.apply(s)
			}
		})
	}
}
