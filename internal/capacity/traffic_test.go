package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/burn"
	"fescuestand/internal/clock"
	"fescuestand/internal/commit"
	"fescuestand/internal/fold"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/wire"
)

func endpointsOf(n int) []route.Endpoint {
	eps := make([]route.Endpoint, n)
	for i := range eps {
		eps[i] = route.Endpoint{
			Name: engineName(i), Pool: fmt.Sprintf("pool-%02d", i%models), Zone: fmt.Sprintf("zone-%d", i%zones), Slots: 32,
			PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 20 * time.Millisecond,
			Serves: []route.Artifact{{Model: fmt.Sprintf("model-%02d", i%models), Version: "1"}},
		}
	}
	return eps
}

// BenchmarkRouteTable measures the time to build and publish a routing table, and the memory that an
// entry's router retains for each runner. Estimates of cached prefixes and of recent work have a fixed size
// and are therefore included.
func BenchmarkRouteTable(b *testing.B) {
	for _, n := range runnerSizes {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			cfg, eps := route.Config{Zone: "zone-0"}, endpointsOf(n)
			kept := retained(func() any {
				r := route.NewRouter(cfg, 1)
				r.Publish(1, route.NewTable(cfg, eps))
				return r
			})
			r := route.NewRouter(cfg, 1)
			for b.Loop() {
				r.Publish(1, route.NewTable(cfg, eps))
			}
			b.ReportMetric(kept/float64(n), "kept-B/runner")
		})
	}
}

// commitItems returns the records of one commit, as readers of the log decode them, and their encoded size.
func commitItems(tb testing.TB, i int) ([]fold.Item, int) {
	key, attempt := fmt.Sprintf("%08x-order-%012d", i, i), fmt.Sprintf("%016x", i)
	entries := []*wire.Entry{
		{Kind: &wire.Entry_Intent{Intent: &wire.Intent{
			Key: key, Attempt: attempt, BodyHash: 1 << 60, Service: "trace-print", Operation: "commit", IssuedMs: 1_700_000_000_000,
		}}},
		{Kind: &wire.Entry_Outcome{Outcome: &wire.Outcome{
			Key: key, Attempt: attempt, Run: "ran", Body: fmt.Appendf(nil, `{"trace_code":"%032d"}`, i),
		}}},
	}
	data, err := fold.Encode(writerOf(1), vmName(1), uint64(i), entries)
	assert.NilError(tb, err)
	items, err := fold.Decode(uint64(i), time.Unix(int64(i), 0), data)
	assert.NilError(tb, err)
	return items, len(data)
}

func applyCommit(tb testing.TB, t *commit.Table, i int) int {
	items, size := commitItems(tb, i)
	for _, it := range items {
		t.Apply(&commit.Record{Offset: it.Offset, Time: time.Unix(1, 0), Writer: it.Writer, Entry: it.Entry})
	}
	return size
}

// BenchmarkCommitFold measures the cost of one commit (intent and outcome) for every entry that folds the
// commits stream, and the memory of a key within the commit window.
func BenchmarkCommitFold(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var size int
			kept := retained(func() any {
				t := commit.NewTable(clock.Boot{}, time.Hour)
				for i := range n {
					size = applyCommit(b, t, i)
				}
				return t
			})
			t := commit.NewTable(clock.Boot{}, time.Hour)
			began, i := cpuTime(), 0
			for b.Loop() {
				applyCommit(b, t, i%n)
				i++
			}
			reportCPU(b, began, b.N, "cpu-µs/commit")
			b.ReportMetric(kept/float64(n), "kept-B/key")
			b.ReportMetric(float64(size), "records-B")
		})
	}
}

// BenchmarkAdmitQueue measures the memory of a queued request without its prompt, with a workspace and
// caller of its own, and the time of an offer.
func BenchmarkAdmitQueue(b *testing.B) {
	for _, n := range []int{16, 128, 512} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			fill := func() any {
				q := admit.NewQueue(admit.Config{Disabled: admit.Guards{NoFeasibility: true}})
				for i := range n {
					v := q.Offer(1, requestOf(i))
					assert.Assert(b, v.Err == nil)
				}
				return q
			}
			kept := retained(fill)
			for b.Loop() {
				fill()
			}
			b.ReportMetric(kept/float64(n), "kept-B/request")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/offer")
		})
	}
}

func requestOf(i int) *admit.Request {
	return &admit.Request{
		ID: writerOf(i), Class: "default", Workspace: fmt.Sprint("workspace-", i), Caller: fmt.Sprint("caller-", i),
		PromptTokens: 2000, MaxOutputTokens: 400, Deadline: clock.Time(time.Hour),
	}
}

// BenchmarkBurnRecorder measures the memory of an entry's recorder per objective, with one hour of
// latencies.
func BenchmarkBurnRecorder(b *testing.B) {
	for _, n := range []int{4, 20, 60} {
		b.Run(fmt.Sprintf("objectives=%d", n), func(b *testing.B) {
			var kept float64
			for b.Loop() {
				kept = retained(func() any { return recorderOf(b, n) })
			}
			b.ReportMetric(kept/float64(n), "kept-B/objective")
		})
	}
}

func recorderOf(b *testing.B, n int) *burn.Recorder {
	var list []burn.Objective
	for i := range n {
		list = append(list, burn.Objective{Class: fmt.Sprint("class-", i), Signal: burn.FirstToken, Target: 0.95, Limit: time.Second})
	}
	r, err := burn.NewRecorder(list)
	assert.NilError(b, err)
	for i := range n {
		for m := range 60 {
			r.RecordFirstToken(clock.Time(time.Duration(m)*time.Minute), fmt.Sprint("class-", i), time.Second)
		}
	}
	return r
}

// TestCommitRecordsAreDecoded guards against a benchmark that measures records which the commit table
// ignores.
func TestCommitRecordsAreDecoded(t *testing.T) {
	table := commit.NewTable(clock.Boot{}, time.Hour)
	applyCommit(t, table, 1)
	items, _ := commitItems(t, 1)
	e := table.Lookup(items[0].Entry.GetIntent().GetKey())
	assert.Assert(t, e.Outcome != nil)
	assert.Assert(t, proto.Size(items[0].Entry) > 0)
}
