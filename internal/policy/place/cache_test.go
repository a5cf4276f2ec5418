package place

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

func TestCachePartsYieldLeastRecentlyUsedFirst(t *testing.T) {
	c := newCache(1200)
	c.add([]Part{{1, 300}, {2, 300}})
	c.add([]Part{{3, 300}})
	c.add([]Part{{1, 300}})
	c.add([]Part{{4, 300}})
	assert.Equal(t, c.prefix([]Part{{1, 300}, {2, 300}}), 300, "2 has yielded")
	assert.Equal(t, c.prefix([]Part{{2, 300}, {1, 300}}), 0, "a part counts only after those before it")
	assert.Equal(t, c.prefix([]Part{{4, 300}}), 300)
}

func TestABornAgainEngineHasNothingCached(t *testing.T) {
	w := newWorld(t, split(2, 2)...)
	pr := prompt(1, 5000, 300)
	w.p.RecordCached(Key("p0"), pr.Parts)
	assert.Equal(t, w.plan(t, 0, pr).CachedTokens, 5300)
	s := catalog.NewStore(&clock.Manual{})
	for _, e := range split(2, 2) {
		e.Born = 7
		s.SetEndpoint(e)
	}
	w.p.SetView(s.View())
	assert.Equal(t, w.plan(t, 0, pr).CachedTokens, 0)
}

// All VMs restart at once. Each hears of the engines, and of what they have cached,
// from its peers before it has read the configuration that says how much they can
// keep. Nothing was believed to be cached from then on, and every shared part was
// read again for the rest of the day.
func TestWhatIsCachedIsBelievedBeforeTheConfigurationIsKnown(t *testing.T) {
	s := catalog.NewStore(&clock.Manual{})
	for _, e := range split(2, 2) {
		s.SetEndpoint(e)
	}
	p := New("z", 1)
	p.SetView(s.View())
	early, late := prompt(1, 5000, 300), prompt(2, 5000, 300)
	p.RecordCached(Key("p0"), early.Parts)
	s.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "labels", Engine: &catalog.Engine{CacheTokens: 12_000}}}))
	p.SetView(s.View())
	p.RecordCached(Key("p0"), late.Parts)
	assert.Equal(t, p.known["p0"].cache.prefix(early.Parts), 0, "the memory that is declared holds one of both")
	assert.Equal(t, p.known["p0"].cache.prefix(late.Parts), 5300)
	p.RecordCached(Key("p1"), early.Parts)
	assert.Equal(t, p.known["p1"].cache.prefix(early.Parts), 5300)
}
