package capacity

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/sheet"
)

// BenchmarkSheetParse measures the time to parse and validate a whole sheet and the memory that a process
// retains for it. The cost of a change is measured in package fold.
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
