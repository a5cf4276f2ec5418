package capacity

import (
	"fmt"
	"testing"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/fold"
	"fescuestand/internal/lease"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

// writerOf returns an incarnation id of the same length as real ones.
func writerOf(node int) string { return fmt.Sprintf("%016x", node) }

func trackerOf(nodes int) *lease.Tracker {
	t := lease.NewTracker(lease.Options{TTL: 6 * time.Second, Margin: time.Second}, writerOf(0), 0)
	beat := &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
	for i := range nodes {
		it := fold.Item{Offset: uint64(i) + 1, Writer: writerOf(i), VM: vmName(i), Seq: 1, Entry: beat}
		t.Observe(1, &it)
	}
	return t
}

// BenchmarkTracker measures the memory that a control process retains for the other control processes,
// and the time to list those that are alive, which every tick does.
func BenchmarkTracker(b *testing.B) {
	for _, nodes := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			kept := retained(func() any { return trackerOf(nodes) })
			t := trackerOf(nodes)
			for b.Loop() {
				t.LiveProcesses(2, func(string) bool { return true })
			}
			b.ReportMetric(kept/float64(nodes), "kept-B/node")
		})
	}
}

func memberTable(nodes int) *membership.Table {
	t := membership.New(membership.Options{SuspectAfter: time.Hour, GoneAfter: 2 * time.Hour})
	t.MergeListed(1, vmsOf(nodes))
	for i := range nodes {
		t.ReceiveHeartbeat(1, membership.Heartbeat{VM: vmName(i), Incarnation: writerOf(i), Ready: true, SheetVersion: 1})
	}
	return t
}

// BenchmarkMembership measures the cost of one heartbeat of a peer: the update of the table, and the new
// list of members that the replica builds after each event.
func BenchmarkMembership(b *testing.B) {
	for _, nodes := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			kept := retained(func() any {
				t := memberTable(nodes)
				return []any{t, t.Members(1)}
			})
			t := memberTable(nodes)
			now := clock.Time(1)
			for b.Loop() {
				now++
				vm := int(now) % nodes
				t.ReceiveHeartbeat(now, membership.Heartbeat{VM: vmName(vm), Incarnation: writerOf(vm), Ready: true})
				_ = t.Members(now)
			}
			b.ReportMetric(kept/float64(nodes), "kept-B/node")
		})
	}
}
