package fold

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/wire"
)

// generateSheet returns a sheet of n engines in pools of about 287, as at the design size of 4,300
// engines and 15 models.
func generateSheet(n int) []byte {
	const perPool = 287
	var engines, pools bytes.Buffer
	for i := range n {
		fmt.Fprintf(&engines, `%s{"name":"runner-%05d","zone":"zone-%d","driver":"http","address":"10.%d.%d.%d:7000","checks_fence":%v}`,
			separator(i), i, i%5, i>>16&255, i>>8&255, i&255, i%2 == 0)
	}
	for at, k := 0, 0; at < n; at, k = at+perPool, k+1 {
		var names bytes.Buffer
		for i := at; i < min(n, at+perPool); i++ {
			fmt.Fprintf(&names, `%s"runner-%05d"`, separator(i-at), i)
		}
		fmt.Fprintf(&pools, `%s{"name":"pool-%d","model":"m%d","version":"1","engines":[%s],"max_away_share":0.2,"roles":{"planned":true,"min_prefill":0,"min_decode":0,"change_price":1,"max_changes_per_hour":9}}`,
			separator(k), k, k, &names)
	}
	return fmt.Appendf(nil, `{"deployment":"d","engines":[%s],"pools":[%s],
		"classes":[{"name":"c","priority":1,"deadline":"8s","first_token":"1s","between_tokens":"50ms","objective":0.9}],
		"limits":{"max_body":1,"max_tokens":1,"workspace_share":1,"commit_window":"1h","queue_per_engine":1}}`, &engines, &pools)
}

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}

var engineCounts = []int{15, 400, 4300}

// BenchmarkConfigPatch applies a patch that changes one engine.
func BenchmarkConfigPatch(b *testing.B) {
	for _, n := range engineCounts {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			c := NewConfig(1)
			c.Apply(item(1, "w", 1, publishEntry(0, "p", generateSheet(n))))
			assert.Equal(b, c.Current().Version, uint64(1))
			b.ReportAllocs()
			for i := range b.N {
				at := uint64(i + 2)
				c.Apply(item(at, "w", at, patchEntry(at-1, fmt.Sprint(i), fmt.Sprintf(`{"engines":{"runner-00003":{"withdrawn":%v}}}`, i%2 == 0))))
			}
			assert.Equal(b, c.Current().Version, uint64(b.N+1))
			b.ReportMetric(float64(len(c.Current().Body)), "sheet-bytes")
			b.ReportMetric(float64(proto.Size(c.Checkpoint())), "checkpoint-bytes")
		})
	}
}

func newAuthorityWithHoldings(n, perWriter int) *Authority {
	a := NewAuthority(1)
	for i := range n {
		w := fmt.Sprintf("writer-%08d", i/perWriter)
		a.Apply(item(uint64(i+1), w, uint64(i%perWriter+1), claimEntry(fmt.Sprintf("runner-%05d", i), 0, 0)))
	}
	return a
}

// BenchmarkAuthorityHeartbeat applies a renewal of ten engines, and reports memory and checkpoint
// size per engine.
func BenchmarkAuthorityHeartbeat(b *testing.B) {
	for _, n := range engineCounts {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			const perWriter = 10
			before := heapBytes()
			a := newAuthorityWithHoldings(n, perWriter)
			used := heapBytes() - before
			writers := max(1, n/perWriter)
			beat := heartbeatEntry()
			b.ReportAllocs()
			for i := range b.N {
				at := uint64(n + i + 1)
				a.Apply(item(at, fmt.Sprintf("writer-%08d", i%writers), at, beat))
			}
			b.ReportMetric(float64(used)/float64(n), "heap-bytes/engine")
			b.ReportMetric(float64(proto.Size(a.Checkpoint()))/float64(n), "checkpoint-bytes/engine")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSheetMemory reports the memory that one accepted sheet takes.
func BenchmarkSheetMemory(b *testing.B) {
	for _, n := range engineCounts {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			body := generateSheet(n)
			for range b.N {
				before := heapBytes()
				c := NewConfig(1)
				c.Apply(item(1, "w", 1, publishEntry(0, "p", bytes.Clone(body))))
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-bytes/engine")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkRenewalRecord reports the size of one renewal in the log, in bytes.
func BenchmarkRenewalRecord(b *testing.B) {
	for range b.N {
		data, err := Encode("0123456789abcdef", "leamington-1", 100000, []*wire.Entry{heartbeatEntry()})
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data)), "record-bytes")
	}
}
