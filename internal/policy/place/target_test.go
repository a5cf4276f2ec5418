package place

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Forty-five decode engines in three zones are idle alike. A few are looked at for
// each KV cache; without regard to zones a third of the caches crossed them.
func TestKVCachesStayInTheirZone(t *testing.T) {
	var all []*catalog.Endpoint
	for i := range 45 {
		e := engine(fmt.Sprintf("d%d", i), catalog.Decode)
		e.Zone = fmt.Sprintf("z%d", i/15)
		all = append(all, e)
	}
	source := engine("p", catalog.Prefill)
	source.Zone = "z0"
	w := newWorld(t, append(all, source)...)
	for i := range 200 {
		e := w.p.ChooseDecodeEngine(0, w.open, source, nil)
		assert.Equal(t, e.Zone, "z0", "cache %d", i)
	}
	for _, e := range all {
		for range otherZoneRequests + 1 {
			if e.Zone == "z0" {
				w.p.Begin(0, e, Job{})
			}
		}
	}
	assert.Assert(t, w.p.ChooseDecodeEngine(0, w.open, source, nil).Zone != "z0", "a loaded zone is left")
}

func TestADecodeEngineIsChosenWithinTheZone(t *testing.T) {
	far := engine("d0", catalog.Decode)
	far.Zone = "elsewhere"
	w := newWorld(t, engine("p0", catalog.Prefill), far, engine("d1", catalog.Decode))
	assert.Equal(t, w.p.ChooseDecodeEngine(0, w.open, w.open[2], nil).ID, "d1")
	assert.Equal(t, w.p.ChooseDecodeEngine(0, w.open, w.open[2], map[string]bool{"d1": true}).ID, "d0")
}
