package place

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against VMs that all choose the endpoint which had the lowest load in their reports, and against choices
// that ignore what the reports say.
func TestChoicesAreSpreadByWhatIsUnreported(t *testing.T) {
	for name, tc := range map[string]struct {
		unreported float64
		want       [4]float64 // share of each endpoint
	}{
		"nothing":         {0, [4]float64{1, 0, 0, 0}},
		"less than a gap": {0.5, [4]float64{1, 0, 0, 0}},
		"some":            {3, [4]float64{2.0 / 3, 1.0 / 3, 0, 0}},
		"many":            {30, [4]float64{0.4125, 0.379, 0.208, 0}}, // the loads become 13.4; the third one rises faster
	} {
		p := New("z", 1)
		var counts [4]float64
		const draws = 20_000
		for range draws {
			counts[p.choose([]choice{{3, 90, 1}, {1, 2, 1}, {0, 1, 1}, {2, 4, 1.5}}, tc.unreported)] += 1.0 / draws
		}
		for i, want := range tc.want {
			assert.Check(t, counts[i] > want-0.02 && counts[i] < want+0.02, "%s: endpoint %d has %.3f, not %.3f", name, i, counts[i], want)
		}
	}
}
