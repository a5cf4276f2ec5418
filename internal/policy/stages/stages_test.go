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

func TestPrefillers(t *testing.T) {
	for _, tc := range []struct {
		name string
		n    int
		d    Demand
		want int
	}{
		{"none", 0, Demand{}, 0},
		{"too few to split", 3, Demand{}, 0},
		{"one of each may crash", 4, Demand{Prefill: 4}, 2},
		{"no traffic", 12, Demand{SlotsPerEngine: 96}, 6},
		{"no traffic, few slots", 89, Demand{SlotsPerEngine: 16}, 45},
		{"long prompts", 12, Demand{Prefill: 5, Streams: 100, SlotsPerEngine: 96}, 6},
		{"long answers", 12, Demand{Prefill: 2, Streams: 250, SlotsPerEngine: 96}, 3},
		{"few slots", 89, Demand{Prefill: 18, Streams: 420, SlotsPerEngine: 16}, 36},
	} {
		assert.Equal(t, Prefillers(tc.n, tc.d), tc.want, tc.name)
	}
}

// Guards against a fleet that follows a calm mix down to as few prefill engines as it
// needs, and has too few of them for the next burst of prompts. Pattern: more engines
// than the mix keeps busy, bursts of prompts.
func TestSpareEnginesGoOnPrefilling(t *testing.T) {
	calm := Demand{Prefill: 6.5, Streams: 200, SlotsPerEngine: 12}
	assert.Equal(t, Prefillers(79, calm), 22)
	for _, tc := range []struct {
		name string
		have int
		d    Demand
		want int
	}{
		{"as many as needed", 22, calm, 0},
		{"more, and decode engines to spare", 39, calm, 0},
		{"more than half", 45, calm, 6},
		{"too few", 15, calm, -7},
		{"decode engines needed", 39, Demand{Prefill: 6.5, Streams: 400, SlotsPerEngine: 12}, 25},
		{"none to spare", 39, Demand{Prefill: 20, Streams: 300, SlotsPerEngine: 12}, 4},
	} {
		assert.Equal(t, off(tc.have, 79, tc.d), tc.want, tc.name)
	}
	assert.Equal(t, off(170, 999, Demand{SlotsPerEngine: 12}), 0, "a large fleet without traffic")
	assert.Equal(t, off(10, 999, Demand{SlotsPerEngine: 12}), -38)
	assert.Equal(t, off(600, 999, Demand{SlotsPerEngine: 12}), 100)
	assert.Equal(t, off(6, 12, Demand{}), 0)
	assert.Equal(t, off(7, 12, Demand{}), 1, "without traffic")
}

// settle plays a fleet whose engines take three seconds to change and returns
// how many changes it took.
func settle(t *testing.T, engines []Engine, span time.Duration) int {
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
		seen := append([]Engine(nil), engines...)
		if c, ok := p.Plan(now, seen, Demand{}); ok {
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

// A fleet comes up with a third of its engines prefilling. Each order is seen in
// the engine's entry only seconds later; a planner that looked at the entries
// alone would order one engine after the other until all had changed.
func TestAFleetIsSplitOnce(t *testing.T) {
	engines := fleet(4, 8)
	assert.Equal(t, settle(t, engines, 30*time.Second), 2)
	assert.Equal(t, count(engines, catalog.Prefill), 6)
}

func TestTheIdlestEngineChanges(t *testing.T) {
	engines := fleet(4, 8)
	for i := range engines {
		engines[i].Load = 5
	}
	engines[9].Load = 1
	p := NewPlanner()
	_, ok := p.Plan(0, engines, Demand{})
	assert.Assert(t, !ok, "a split that has just become wrong")
	c, ok := p.Plan(clock.Time(settled), engines, Demand{})
	assert.Assert(t, ok)
	assert.DeepEqual(t, c, Change{"e09", catalog.Prefill})
}

// An engine crashes and is back two seconds later. Each change takes an engine
// away for longer than that.
func TestAShortLossChangesNothing(t *testing.T) {
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

// An order gets no answer, and the engine never changes. It counts as changed
// for a while and is then ordered again.
func TestALostOrderIsRepeatedLater(t *testing.T) {
	p := NewPlanner()
	var at []time.Duration
	for now := clock.Time(0); now < clock.Time(20*time.Second); now = now.Add(500 * time.Millisecond) {
		if c, ok := p.Plan(now, fleet(1, 3), Demand{}); ok {
			at = append(at, now.Sub(0))
			p.RecordOrder(now, c)
		}
	}
	assert.Equal(t, len(at), 2, "%v", at)
	assert.Assert(t, at[1]-at[0] > orderLife)
}

// The mix swings between long prompts and long answers every three seconds, as
// long as a change of an engine takes. Following it, the engines would always be
// on their way to where they were needed before.
func TestSwingsThatNoChangeCanFollowAreLeftAlone(t *testing.T) {
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

// The mix changes for good while all engines are busy. They change a few at a
// time, so that the others can carry the load.
func TestALastingChangeOfTheMixIsFollowedAFewAtATime(t *testing.T) {
	p := NewPlanner()
	d := Demand{Prefill: 30, Streams: 420, SlotsPerEngine: 16}
	for now := clock.Time(0); now < clock.Time(10*time.Second); now = now.Add(500 * time.Millisecond) {
		if c, ok := p.Plan(now, fleet(22, 67), d); ok {
			assert.Equal(t, c.To, catalog.Prefill)
			p.RecordOrder(now, c)
		}
	}
	assert.Equal(t, len(p.ordered), 4)
}

// Two decode engines are taken away while prompts are long. Nothing else can do
// their work, and callers are refused until others have changed.
func TestMissingDecodeEnginesAreReplacedSoon(t *testing.T) {
	p := NewPlanner()
	d := Demand{Prefill: 5, Streams: 190, SlotsPerEngine: 96}
	for now := clock.Time(0); now < clock.Time(5*time.Second); now = now.Add(500 * time.Millisecond) {
		if c, ok := p.Plan(now, fleet(6, 4), d); ok {
			assert.Equal(t, c.To, catalog.Decode)
			p.RecordOrder(now, c)
		}
	}
	assert.Equal(t, len(p.ordered), 1)
}

// Guards against a zone whose engines are replaced by ones that nearly all decode: prompts
// were read at decode engines for ten seconds. Pattern: a third of the engines is
// reclaimed, and as many new ones come.
func TestNewEnginesAreSentToPrefillAtOnce(t *testing.T) {
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
	turned := 0
	for {
		c, ok := p.Plan(now, engines, d)
		if !ok {
			break
		}
		assert.Equal(t, c.ID[:3], "new")
		assert.Equal(t, c.To, catalog.Prefill)
		p.RecordOrder(now, c)
		turned++
	}
	assert.Assert(t, turned >= 6 && turned <= 20, "%d", turned)
	now = now.Add(newFor + time.Second)
	engines = engines[turned:]
	_, changed = p.Plan(now, engines, d)
	assert.Assert(t, !changed, "an engine that isn't new any more is left alone")
}

// Guards against thousands of engines that start one after the other and are all turned for a mix that nobody has seen.
func TestALargeFleetThatComesUpSlowlyIsNotTurnedRound(t *testing.T) {
	p := NewPlanner()
	now := clock.Time(time.Hour)
	turned := 0
	for n := 100; n <= 3000; n += 100 {
		engines := fleet(0, n)
		for {
			c, ok := p.Plan(now, slices.Clone(engines), Demand{SlotsPerEngine: 16})
			if !ok {
				break
			}
			p.RecordOrder(now, c)
			turned++
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, turned <= mostUnseen, "%d", turned)
}
