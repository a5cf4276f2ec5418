package place

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

func TestCacheEvictsLeastRecentlyUsedParts(t *testing.T) {
	c := newCache(1200)
	c.add([]Part{{1, 300}, {2, 300}})
	c.add([]Part{{3, 300}})
	c.add([]Part{{1, 300}})
	c.add([]Part{{4, 300}})
	assert.Equal(t, c.prefixTokens([]Part{{1, 300}, {2, 300}}), 300, "part 2 was evicted")
	assert.Equal(t, c.prefixTokens([]Part{{2, 300}, {1, 300}}), 0, "a part counts only after those before it")
	assert.Equal(t, c.prefixTokens([]Part{{4, 300}}), 300)
}

func TestARestartedEngineHasNothingCached(t *testing.T) {
	c := newCluster(t, split(2, 2)...)
	pr := prompt(1, 5000, 300)
	c.p.RecordCached(Key("p0"), pr.Parts)
	assert.Equal(t, c.plan(t, 0, pr).CachedTokens, 5300)
	s := catalog.NewStore(&clock.Manual{})
	for _, e := range split(2, 2) {
		e.Born = 7
		s.SetEndpoint(e)
	}
	c.p.SetView(s.View())
	assert.Equal(t, c.plan(t, 0, pr).CachedTokens, 0)
}

// Guards against empty cache estimates after all VMs restart at once. Each VM receives the engines
// and what they have cached from its peers before it reads the configuration with the engines'
// memory. With a memory of zero, nothing counted as cached from then on, and every shared part was
// prefilled again.
func TestCachedPartsAreRecordedBeforeTheConfigurationIsRead(t *testing.T) {
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
	assert.Equal(t, p.endpoints["p0"].cache.prefixTokens(early.Parts), 0, "the configured memory holds only one of them")
	assert.Equal(t, p.endpoints["p0"].cache.prefixTokens(late.Parts), 5300)
	p.RecordCached(Key("p1"), early.Parts)
	assert.Equal(t, p.endpoints["p1"].cache.prefixTokens(early.Parts), 5300)
}
