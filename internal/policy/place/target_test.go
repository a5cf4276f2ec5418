package place

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against KV cache transfers between zones. Of forty-five idle decode engines in three
// zones, only a few are compared for each KV cache; when the comparison ignored zones, a third of
// the caches crossed them.
func TestKVCachesStayInTheirZone(t *testing.T) {
	var all []*catalog.Endpoint
	for i := range 45 {
		e := engine(fmt.Sprintf("d%d", i), catalog.Decode)
		e.Zone = fmt.Sprintf("z%d", i/15)
		all = append(all, e)
	}
	source := engine("p", catalog.Prefill)
	source.Zone = "z0"
	c := newCluster(t, append(all, source)...)
	for i := range 200 {
		e := c.p.ChooseDecodeEngine(0, c.open, source, nil)
		assert.Equal(t, e.Zone, "z0", "cache %d", i)
	}
	for _, e := range all {
		for range otherZoneRequests + 1 {
			if e.Zone == "z0" {
				c.p.Begin(0, e, Job{})
			}
		}
	}
	assert.Assert(t, c.p.ChooseDecodeEngine(0, c.open, source, nil).Zone != "z0", "another zone is chosen if this one is loaded")
}

func TestADecodeEngineIsChosenWithinTheZone(t *testing.T) {
	far := engine("d0", catalog.Decode)
	far.Zone = "elsewhere"
	c := newCluster(t, engine("p0", catalog.Prefill), far, engine("d1", catalog.Decode))
	assert.Equal(t, c.p.ChooseDecodeEngine(0, c.open, c.open[2], nil).ID, "d1")
	assert.Equal(t, c.p.ChooseDecodeEngine(0, c.open, c.open[2], map[string]bool{"d1": true}).ID, "d0")
}

// Guards against decoding at an idle engine of a slow machine, whose events come late, while engines of fast machines
// have free slots. One whose slots are taken isn't chosen, however fast it is.
func TestStreamsAreDecodedAtFastEngines(t *testing.T) {
	fast, slow := engine("fast", catalog.Decode), engine("slow", catalog.Decode)
	holder := engine("p", catalog.Prefill)
	c := newCluster(t, holder, fast, slow)
	for range 40 {
		c.p.RecordSlowdown(0, fast, 0.7)
		c.p.RecordSlowdown(0, slow, 1.7)
	}
	for range fast.Slots {
		assert.Equal(t, c.p.ChooseDecodeEngine(0, c.open, holder, nil).ID, "fast")
		c.p.Begin(0, fast, Job{})
	}
	assert.Equal(t, c.p.ChooseDecodeEngine(0, c.open, holder, nil).ID, "slow")
}
