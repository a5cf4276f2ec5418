package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/fold"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// BenchmarkSheetParse gives the time to check a whole sheet and the memory
// that a process keeps of it.
func BenchmarkSheetParse(b *testing.B) {
	for _, n := range runnerSizes {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			body := bodyOf(b, sheetOf(n))
			parse := func() any {
				s, err := sheet.Parse("sheet", body)
				assert.NilError(b, err)
				return s
			}
			kept := retained(parse)
			for b.Loop() {
				parse()
			}
			b.ReportMetric(float64(len(body))/float64(n), "body-B/runner")
			b.ReportMetric(kept/float64(n), "kept-B/runner")
		})
	}
}

// published returns a publish as a reader of the stream gets it.
func published(offset uint64, e *wire.Entry) fold.Item {
	return fold.Item{Offset: offset, Time: time.Unix(0, 0), Writer: fmt.Sprint("ctl-", offset), VM: "desk", Seq: 1, Entry: e}
}

func withSheet(tb testing.TB, n int) *fold.Config {
	c := fold.NewConfig(1)
	c.Apply(published(1, &wire.Entry{Kind: &wire.Entry_Sheet{Sheet: &wire.Sheet{
		Body: bodyOf(tb, sheetOf(n)), PublishId: "0",
	}}}))
	assert.Equal(tb, c.Current().Version, uint64(1))
	return c
}

// BenchmarkConfigPatch gives what one change of one engine costs each process
// that folds the config stream, and the bytes of its record.
func BenchmarkConfigPatch(b *testing.B) {
	for _, n := range runnerSizes {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			c := withSheet(b, n)
			offset, size := uint64(1), 0
			b.ReportAllocs()
			began := cpu()
			for b.Loop() {
				offset++
				e := patchOf(c.Current().Version, engineName(int(offset)%n), offset)
				c.Apply(published(offset, e))
				size = proto.Size(e)
			}
			reportCPU(b, began, b.N, "cpu-µs/change")
			assert.Equal(b, c.Current().Version, offset)
			b.ReportMetric(float64(size), "record-B")
			cp := c.Checkpoint()
			b.ReportMetric(float64(proto.Size(cp))/float64(n), "checkpoint-B/runner")
		})
	}
}

func patchOf(base uint64, engine string, id uint64) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Patch{Patch: &wire.Patch{
		Base: base, Body: fmt.Appendf(nil, `{"engines":{%q:{"withdrawn":%t}}}`, engine, id%2 == 0),
		Operator: "operator-1", PublishId: fmt.Sprintf("%016x", id),
	}}}
}

// BenchmarkConfigFold gives the memory that the fold of the config stream and
// the view of it keep, with the verdicts of many changes.
func BenchmarkConfigFold(b *testing.B) {
	for _, n := range runnerSizes {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			var kept float64
			for b.Loop() {
				kept = retained(func() any { return withSheet(b, n) })
			}
			b.ReportMetric(kept/float64(n), "kept-B/runner")
		})
	}
}
