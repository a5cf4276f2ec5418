package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/fold"
	"fescuestand/internal/lease"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

// writerOf is an incarnation, as long as the real ones.
func writerOf(node int) string { return fmt.Sprintf("%016x", node) }

// claims returns one record per node that claims its part of the runners.
func claims(nodes int) []fold.Item {
	runners := int(float64(nodes) * runnersPerNode)
	items := make([]fold.Item, nodes)
	for i := range items {
		c := &wire.Claim{}
		for r := i; r < runners; r += nodes {
			c.Scopes = append(c.Scopes, &wire.ScopeClaim{Scope: engineName(r)})
		}
		items[i] = fold.Item{
			Offset: uint64(i) + 1, Writer: writerOf(i), VM: vmName(i), Seq: 1,
			Entry: &wire.Entry{Kind: &wire.Entry_Claim{Claim: c}},
		}
	}
	return items
}

func authorityOf(nodes int) *fold.Authority {
	a := fold.NewAuthority(1)
	for _, it := range claims(nodes) {
		a.Apply(it)
	}
	return a
}

func trackerOf(nodes int) *lease.Tracker {
	t := lease.NewTracker(lease.Options{TTL: 6 * time.Second, Margin: time.Second}, writerOf(0), 0)
	for _, it := range claims(nodes) {
		t.Read(1, &it)
	}
	return t
}

// heartbeat returns a renewal and the bytes of its record.
func heartbeat(tb testing.TB, node int, offset uint64) (fold.Item, int) {
	entry := &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{}}}
	data, err := fold.Encode(writerOf(node), vmName(node), offset, []*wire.Entry{entry})
	assert.NilError(tb, err)
	items, err := fold.Decode(offset, time.Time{}, data)
	assert.NilError(tb, err)
	return items[0], len(data)
}

// BenchmarkHeartbeat gives what one renewal costs every control process that
// folds the control stream, decoding included.
func BenchmarkHeartbeat(b *testing.B) {
	for _, nodes := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			a, t := authorityOf(nodes), trackerOf(nodes)
			offset, size := uint64(nodes), 0
			began := cpu()
			for b.Loop() {
				offset++
				it, n := heartbeat(b, int(offset)%nodes, offset)
				a.Apply(it)
				t.Read(clock.Time(offset), &it)
				size = n
			}
			reportCPU(b, began, b.N, "cpu-µs/heartbeat")
			b.ReportMetric(float64(size), "record-B")
		})
	}
}

// BenchmarkClaim gives what the takeover of one runner costs every reader.
func BenchmarkClaim(b *testing.B) {
	for _, nodes := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			a := authorityOf(nodes)
			offset, size := uint64(nodes), 0
			for b.Loop() {
				offset++
				h, _ := a.Get(engineName(int(offset) % nodes))
				e := &wire.Entry{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Scopes: []*wire.ScopeClaim{{
					Scope: h.Scope, SeenToken: h.Token, SeenRenewal: h.Renewal,
				}}}}}
				a.Apply(fold.Item{Offset: offset, Writer: writerOf(int(offset) % nodes), Seq: offset, Entry: e})
				size = proto.Size(e)
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
}

// BenchmarkAuthorityMemory gives what the folds of the control stream keep and
// how large its checkpoint is.
func BenchmarkAuthorityMemory(b *testing.B) {
	for _, nodes := range nodeSizes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			runners := float64(nodes) * runnersPerNode
			var authority, tracker float64
			for b.Loop() {
				authority = retained(func() any { return authorityOf(nodes) })
				tracker = retained(func() any { return trackerOf(nodes) })
			}
			b.ReportMetric(authority/runners, "authority-B/runner")
			b.ReportMetric(tracker/float64(nodes), "tracker-B/node")
			b.ReportMetric(float64(proto.Size(authorityOf(nodes).Checkpoint()))/runners, "checkpoint-B/runner")
		})
	}
}

func memberTable(nodes int) *membership.Table {
	t := membership.New(membership.Options{Suspect: time.Hour, Gone: 2 * time.Hour})
	t.List(1, vmsOf(nodes))
	for i := range nodes {
		t.Heard(1, membership.Heartbeat{VM: vmName(i), Incarnation: writerOf(i), Ready: true, SheetVersion: 1})
	}
	return t
}

// BenchmarkMembership gives what one heartbeat of a peer costs: the table, and
// the new list of members that the replica makes after each event.
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
				t.Heard(now, membership.Heartbeat{VM: vmName(int(now) % nodes), Incarnation: "x", Ready: true})
				_ = t.Members(now)
			}
			b.ReportMetric(kept/float64(nodes), "kept-B/node")
		})
	}
}
