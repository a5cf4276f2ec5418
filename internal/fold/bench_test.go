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

// fleetSheet is a sheet of n engines in pools of about 287, as at the design
// size of 4,300 engines and 15 models.
func fleetSheet(n int) []byte {
	const perPool = 287
	var engines, pools bytes.Buffer
	for i := range n {
		fmt.Fprintf(&engines, `%s{"name":"runner-%05d","zone":"zone-%d","driver":"http","address":"10.%d.%d.%d:7000","checks_fence":%v}`,
			comma(i), i, i%5, i>>16&255, i>>8&255, i&255, i%2 == 0)
	}
	for at, k := 0, 0; at < n; at, k = at+perPool, k+1 {
		var names bytes.Buffer
		for i := at; i < min(n, at+perPool); i++ {
			fmt.Fprintf(&names, `%s"runner-%05d"`, comma(i-at), i)
		}
		fmt.Fprintf(&pools, `%s{"name":"pool-%d","model":"m%d","version":"1","engines":[%s],"max_away_share":0.2,"roles":{"planned":true,"min_prefill":0,"min_decode":0,"change_price":1,"max_changes_per_hour":9}}`,
			comma(k), k, k, &names)
	}
	return fmt.Appendf(nil, `{"deployment":"d","engines":[%s],"pools":[%s],
		"classes":[{"name":"c","priority":1,"deadline":"8s","first_token":"1s","between_tokens":"50ms","objective":0.9}],
		"limits":{"max_body":1,"max_tokens":1,"workspace_share":1,"commit_window":"1h","queue_per_engine":1}}`, &engines, &pools)
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}

var sizes = []int{15, 400, 4300}

// BenchmarkConfigPatch folds one change of one engine.
func BenchmarkConfigPatch(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			c := NewConfig(1)
			c.Apply(item(1, "w", 1, publishEntry(0, "p", fleetSheet(n))))
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

func authorityOf(n, perWriter int) *Authority {
	a := NewAuthority(1)
	for i := range n {
		w := fmt.Sprintf("writer-%08d", i/perWriter)
		a.Apply(item(uint64(i+1), w, uint64(i%perWriter+1), claimEntry(fmt.Sprintf("runner-%05d", i), 0, 0)))
	}
	return a
}

// BenchmarkAuthorityHeartbeat folds one renewal of ten engines, and tells the
// memory and checkpoint of the whole.
func BenchmarkAuthorityHeartbeat(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			const perWriter = 10
			before := heap()
			a := authorityOf(n, perWriter)
			used := heap() - before
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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSheetMemory tells what one accepted sheet holds in memory.
func BenchmarkSheetMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			body := fleetSheet(n)
			for range b.N {
				before := heap()
				c := NewConfig(1)
				c.Apply(item(1, "w", 1, publishEntry(0, "p", bytes.Clone(body))))
				b.ReportMetric(float64(heap()-before)/float64(n), "heap-bytes/engine")
				runtime.KeepAlive(c)
			}
		})
	}
}

// BenchmarkRenewalRecord tells the bytes of one renewal in the log.
func BenchmarkRenewalRecord(b *testing.B) {
	for range b.N {
		data, err := Encode("0123456789abcdef", "leamington-1", 100000, []*wire.Entry{heartbeatEntry()})
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data)), "record-bytes")
	}
}
