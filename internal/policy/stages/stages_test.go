package stages

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

func fleet(prefill, decode int) []Engine {
	var out []Engine
	for i := range prefill + decode {
		e := Engine{ID: fmt.Sprintf("e%02d", i), Stage: catalog.Decode}
		if i < prefill {
			e.Stage = catalog.Prefill
		}
		out = append(out, e)
	}
	return out
}

func TestPrefillEngines(t *testing.T) {
	for _, tc := range []struct {
		name string
		n    int
		d    Demand
		want int
	}{
		{"none", 0, Demand{}, 0},
		{"too few to split", 3, Demand{}, 0},
		{"minimum of each stage", 4, Demand{Prefill: 4}, 2},
		{"no traffic", 12, Demand{SlotsPerEngine: 96}, 6},
		{"no traffic, few slots", 89, Demand{SlotsPerEngine: 16}, 45},
		{"long prompts", 12, Demand{Prefill: 5, Streams: 100, SlotsPerEngine: 96}, 6},
		{"long answers", 12, Demand{Prefill: 2, Streams: 250, SlotsPerEngine: 96}, 3},
		{"few slots", 89, Demand{Prefill: 18, Streams: 420, SlotsPerEngine: 16}, 36},
	} {
		assert.Equal(t, PrefillEngines(tc.n, tc.d), tc.want, tc.name)
	}
}

// Guards against too few prefill engines for a burst of prompts: a fleet larger than its
// demand would reduce them to the minimum that the mix needs between bursts.
func TestSparePrefillEnginesAreKept(t *testing.T) {
	lowDemand := Demand{Prefill: 6.5, Streams: 200, SlotsPerEngine: 12}
	assert.Equal(t, PrefillEngines(79, lowDemand), 22)
	for _, tc := range []struct {
		name    string
		prefill int
		d       Demand
		want    int
	}{
		{"as many as needed", 22, lowDemand, 0},
		{"more than needed, spare decode engines", 39, lowDemand, 0},
		{"more than half", 45, lowDemand, 6},
		{"too few", 15, lowDemand, -7},
		{"more decode engines needed", 39, Demand{Prefill: 6.5, Streams: 400, SlotsPerEngine: 12}, 25},
		{"no spare engines", 39, Demand{Prefill: 20, Streams: 300, SlotsPerEngine: 12}, 4},
	} {
		assert.Equal(t, prefillSurplus(tc.prefill, 79, tc.d), tc.want, tc.name)
	}
	assert.Equal(t, prefillSurplus(170, 999, Demand{SlotsPerEngine: 12}), 0, "a large fleet without traffic")
	assert.Equal(t, prefillSurplus(10, 999, Demand{SlotsPerEngine: 12}), -38)
	assert.Equal(t, prefillSurplus(600, 999, Demand{SlotsPerEngine: 12}), 100)
	assert.Equal(t, prefillSurplus(6, 12, Demand{}), 0)
	assert.Equal(t, prefillSurplus(7, 12, Demand{}), 1, "without traffic")
}

// simulateFleet runs the planner on a fleet whose engines take three seconds to change,
// and returns the number of changes ordered.
func simulateFleet(t *testing.T, engines []Engine, span time.Duration) int {
	t.Helper()
	p := NewPlanner()
	due := map[string]clock.Time{}
	to := map[string]catalog.Stage{}
	changes := 0
	for now := clock.Time(0); now < clock.Time(span); now = now.Add(500 * time.Millisecond) {
		for i, e := range engines {
			if at, ok := due[e.ID]; ok && now >= at {
				engines[i].Stage = to[e.ID]
				delete(due, e.ID)
			}
		}
		reported := append([]Engine(nil), engines...)
		if c, ok := p.Plan(now, reported, Demand{}); ok {
			changes++
			due[c.ID], to[c.ID] = now.Add(4*time.Second), c.To
			p.RecordOrder(now, c)
		}
	}
	return changes
}

func count(engines []Engine, s catalog.Stage) int {
	n := 0
	for _, e := range engines {
		if e.Stage == s {
			n++
		}
	}
	return n
}

// Guards against changing all engines one after the other: each order appears in the
// engine's catalog entry only seconds later, so a planner that ignored its pending orders
// would go on ordering. The fleet starts with a third of its engines prefilling.
func TestPendingOrdersCountAsChanged(t *testing.T) {
	engines := fleet(4, 8)
	assert.Equal(t, simulateFleet(t, engines, 30*time.Second), 2)
	assert.Equal(t, count(engines, catalog.Prefill), 6)
}

func TestLeastLoadedEngineChanges(t *testing.T) {
	engines := fleet(4, 8)
	for i := range engines {
		engines[i].Load = 5
	}
	engines[9].Load = 1
	p := NewPlanner()
	_, ok := p.Plan(0, engines, Demand{})
	assert.Assert(t, !ok, "the split has only just become wrong")
	c, ok := p.Plan(clock.Time(idleDelay), engines, Demand{})
	assert.Assert(t, ok)
	assert.DeepEqual(t, c, Change{"e09", catalog.Prefill})
}

// Guards against changes for a brief loss: an engine crashes and is back two seconds
// later, sooner than a change would complete.
func TestBriefEngineLossCausesNoChange(t *testing.T) {
	p := NewPlanner()
	for now := clock.Time(0); now < clock.Time(20*time.Second); now = now.Add(500 * time.Millisecond) {
		engines := fleet(6, 6)
		if s := now.Sub(0) % (5 * time.Second); s < 1500*time.Millisecond {
			engines = engines[2:]
		}
		_, ok := p.Plan(now, engines, Demand{})
		assert.Assert(t, !ok, "at %s", now.Sub(0))
	}
}

// Guards against an engine that stays in the wrong stage after a lost order: the order
// gets no answer, counts as pending until it times out, and is then sent again.
func TestLostOrderIsRetried(t *testing.T) {
	p := NewPlanner()
	var at []time.Duration
	for now := clock.Time(0); now < clock.Time(20*time.Second); now = now.Add(500 * time.Millisecond) {
		if c, ok := p.Plan(now, fleet(1, 3), Demand{}); ok {
			at = append(at, now.Sub(0))
			p.RecordOrder(now, c)
		}
	}
	assert.Equal(t, len(at), 2, "%v", at)
	assert.Assert(t, at[1]-at[0] > orderTimeout)
}

// Guards against following swings that are too short: the mix alternates between long
// prompts and long answers every three seconds, as long as a change takes, so each engine
// would reach its new stage after the demand for it had ended.
func TestShortSwingsCauseNoChange(t *testing.T) {
	p := NewPlanner()
	for now := clock.Time(0); now < clock.Time(60*time.Second); now = now.Add(500 * time.Millisecond) {
		d := Demand{Prefill: 5, Streams: 120, SlotsPerEngine: 96}
		if now.Sub(0)/(3*time.Second)%2 == 0 {
			d = Demand{Prefill: 2, Streams: 250, SlotsPerEngine: 96}
		}
		_, ok := p.Plan(now, fleet(6, 6), d)
		assert.Assert(t, !ok, "at %s", now.Sub(0))
	}
}

// Guards against too many concurrent changes: the mix shifts permanently while all
// engines are busy, and the engines that are not changing have to carry the load.
func TestLastingMixShiftIsFollowedGradually(t *testing.T) {
	p := NewPlanner()
	d := Demand{Prefill: 30, Streams: 420, SlotsPerEngine: 16}
	for now := clock.Time(0); now < clock.Time(10*time.Second); now = now.Add(500 * time.Millisecond) {
		if c, ok := p.Plan(now, fleet(22, 67), d); ok {
			assert.Equal(t, c.To, catalog.Prefill)
			p.RecordOrder(now, c)
		}
	}
	assert.Equal(t, len(p.pending), 4)
}

// Guards against a slow replacement of decode engines: two are lost while prompts are
// long, no other engine can do their work, and callers are refused until engines have
// changed.
func TestMissingDecodeEnginesAreReplacedSoon(t *testing.T) {
	p := NewPlanner()
	d := Demand{Prefill: 5, Streams: 190, SlotsPerEngine: 96}
	for now := clock.Time(0); now < clock.Time(5*time.Second); now = now.Add(500 * time.Millisecond) {
		if c, ok := p.Plan(now, fleet(6, 4), d); ok {
			assert.Equal(t, c.To, catalog.Decode)
			p.RecordOrder(now, c)
		}
	}
	assert.Equal(t, len(p.pending), 1)
}

// Guards against replacement engines that nearly all decode: after a third of the engines
// was reclaimed and replaced, prompts were prefilled on decode engines for ten seconds.
func TestNewEnginesAreAssignedToPrefill(t *testing.T) {
	d := Demand{Prefill: 12, Streams: 300, SlotsPerEngine: 16}
	p := NewPlanner()
	now := clock.Time(time.Hour)
	engines := fleet(60, 60)
	_, changed := p.Plan(now, engines, d)
	assert.Assert(t, !changed)
	engines = engines[:40:40]
	engines = append(engines, fleet(60, 60)[60:100]...)
	for i := range 40 {
		engines = append(engines, Engine{ID: fmt.Sprintf("new%02d", i), Stage: catalog.Decode})
	}
	reassigned := 0
	for {
		c, ok := p.Plan(now, engines, d)
		if !ok {
			break
		}
		assert.Equal(t, c.ID[:3], "new")
		assert.Equal(t, c.To, catalog.Prefill)
		p.RecordOrder(now, c)
		reassigned++
	}
	assert.Assert(t, reassigned >= 6 && reassigned <= 20, "%d", reassigned)
	now = now.Add(maxNewAge + time.Second)
	engines = engines[reassigned:]
	_, changed = p.Plan(now, engines, d)
	assert.Assert(t, !changed, "an engine that is no longer new keeps its stage")
}

// Guards against reassigning thousands of engines, which start one after the other, for a
// mix that has not been measured yet.
func TestSlowlyStartingFleetReassignsFewEngines(t *testing.T) {
	p := NewPlanner()
	now := clock.Time(time.Hour)
	reassigned := 0
	for n := 100; n <= 3000; n += 100 {
		engines := fleet(0, n)
		for {
			c, ok := p.Plan(now, slices.Clone(engines), Demand{SlotsPerEngine: 16})
			if !ok {
				break
			}
			p.RecordOrder(now, c)
			reassigned++
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, reassigned <= maxPrefillUnmeasured, "%d", reassigned)
}

// withVersions assigns software versions to engines, in turn.
func withVersions(engines []Engine, versions ...string) []Engine {
	for i := range engines {
		engines[i].Version = versions[i%len(versions)]
	}
	return engines
}

// Guards against streams that can't go on since all engines of their version were ordered to prefill.
func TestDecodeEnginesOfEachVersionStay(t *testing.T) {
	for name, tc := range map[string]struct {
		engines []Engine
		want    int // engines that change to prefill
	}{
		"one version":         {withVersions(fleet(0, 8), "v1"), 4},
		"two versions":        {withVersions(fleet(0, 8), "v1", "v2"), 2},
		"two larger versions": {withVersions(fleet(0, 16), "v1", "v2"), 8},
		"four versions":       {withVersions(fleet(0, 8), "v1", "v2", "v3", "v4"), 0},
		"a new version":       {append(withVersions(fleet(0, 7), "v1"), Engine{ID: "new", Version: "v2", Stage: catalog.Decode}), 4},
		"the rest of another": {append(withVersions(fleet(0, 6), "v1"), Engine{ID: "r1", Version: "v0", Stage: catalog.Decode}, Engine{ID: "r2", Version: "v0", Stage: catalog.Decode}), 3},
	} {
		p, now := NewPlanner(), clock.Time(time.Hour)
		changed := 0
		for range 40 {
			now = now.Add(time.Second)
			c, ok := p.Plan(now, slices.Clone(tc.engines), Demand{})
			if !ok {
				continue
			}
			changed++
			for i := range tc.engines {
				if tc.engines[i].ID == c.ID {
					tc.engines[i].Stage = c.To
				}
			}
		}
		assert.Equal(t, changed, tc.want, name)
		for version, c := range countStages(tc.engines) {
			all := c.prefill + c.decode
			assert.Assert(t, c.decode >= min(all, minDecodePerVersion), "%s: %s has %+v", name, version, c)
		}
	}
}

// Guards against engines without work: a version has lost its decode engines, and no other version uses the KV
// caches of its prefill engines.
func TestAVersionWithoutDecodeEnginesGetsOne(t *testing.T) {
	engines := withVersions(fleet(2, 0), "v1")
	for i := range 4 {
		engines = append(engines, Engine{ID: fmt.Sprint("new", i), Version: "v2", Stage: catalog.Decode})
	}
	p, now := NewPlanner(), clock.Time(time.Hour)
	c, ok := p.Plan(now, slices.Clone(engines), Demand{Prefill: 2, Streams: 10})
	assert.Assert(t, ok)
	assert.Equal(t, c, Change{"e00", catalog.Decode})
	p.RecordOrder(now, c)
	_, ok = p.Plan(now, slices.Clone(engines), Demand{Prefill: 2, Streams: 10})
	assert.Assert(t, !ok, "one is enough")
	_, ok = p.Plan(now, withVersions(fleet(2, 0), "v1"), Demand{})
	assert.Assert(t, !ok, "a service of one version")
}

// Guards against prefill engines of one version only, whose KV caches the others can't use.
func TestPrefillEnginesAreSpreadOverVersions(t *testing.T) {
	p, now := NewPlanner(), clock.Time(time.Hour)
	engines := withVersions(fleet(0, 12), "v1", "v2") // each version keeps three decode engines
	for range 40 {
		now = now.Add(time.Second)
		if c, ok := p.Plan(now, slices.Clone(engines), Demand{}); ok {
			i := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == c.ID })
			engines[i].Stage = c.To
		}
	}
	versions := countStages(engines)
	assert.Equal(t, versions["v1"], stageCounts{prefill: 3, decode: 3})
	assert.Equal(t, versions["v2"], stageCounts{prefill: 3, decode: 3})
}

// Guards against a planner that orders nothing more once an engine with a pending order has left: that
// order counted as pending for good, and with few engines no other one may be pending.
func TestOrderToEngineThatLeavesIsDropped(t *testing.T) {
	p := NewPlanner()
	d := Demand{Prefill: 5, Streams: 100, SlotsPerEngine: 96}
	p.RecordOrder(0, Change{"gone", catalog.Prefill})
	ordered := false
	for now := clock.Time(0); now < clock.Time(orderTimeout+time.Second); now = now.Add(500 * time.Millisecond) {
		_, ordered = p.Plan(now, fleet(3, 9), d)
	}
	assert.Assert(t, ordered)
}
