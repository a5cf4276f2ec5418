package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/speed"
)

const ms = time.Millisecond

// world is a fleet with one planner.
type world struct {
	p    *Planner
	open []*catalog.Endpoint
}

func engine(id string, s catalog.Stage) *catalog.Endpoint {
	return &catalog.Endpoint{ID: id, Service: "labels", Address: id + ":1", Zone: "z", Stage: s, Slots: 96}
}

func newWorld(t *testing.T, endpoints ...*catalog.Endpoint) *world {
	t.Helper()
	return newWorldOf(t, catalog.Engine{CacheTokens: 900_000}, endpoints...)
}

// newWorldOf is newWorld with engines as they are declared.
func newWorldOf(t *testing.T, e catalog.Engine, endpoints ...*catalog.Endpoint) *world {
	t.Helper()
	c := clock.Manual{}
	s := catalog.NewStore(&c)
	s.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "labels", Engine: &e}}))
	for _, e := range endpoints {
		s.SetEndpoint(e)
	}
	w := &world{p: New("z", 1)}
	w.p.SetView(s.View())
	w.open = s.View().Open("labels")
	return w
}

func split(prefill, decode int) []*catalog.Endpoint {
	var out []*catalog.Endpoint
	for i := range prefill {
		out = append(out, engine(fmt.Sprintf("p%d", i), catalog.Prefill))
	}
	for i := range decode {
		out = append(out, engine(fmt.Sprintf("d%d", i), catalog.Decode))
	}
	return out
}

func prompt(shared uint64, sharedTokens, own int) *Prompt {
	return &Prompt{Parts: []Part{{shared, sharedTokens}, {shared + 1_000_000, own}}, Tokens: sharedTokens + own}
}

func (w *world) plan(t *testing.T, now clock.Time, pr *Prompt) Plan {
	t.Helper()
	plan, ok := w.p.Plan(now, w.open, pr, nil)
	assert.Assert(t, ok)
	return plan
}

func TestALongPromptIsPrefilledApart(t *testing.T) {
	w := newWorld(t, split(2, 2)...)
	plan := w.plan(t, 0, prompt(1, 5000, 7000))
	assert.Assert(t, plan.Prefill != nil)
	assert.Equal(t, plan.Engine.Stage, catalog.Decode)
}

func TestAShortPromptSparesTheHandOver(t *testing.T) {
	w := newWorld(t, split(2, 2)...)
	plan := w.plan(t, 0, prompt(1, 100, 200))
	assert.Assert(t, plan.Prefill == nil)
}

// One decode engine is left, with sixty streams. It still read the short prompts by
// itself, so that all streams stood still for each of them, took longer, and became
// more: callers left streams that no longer moved, while prefill engines were idle.
func TestABusyDecodeEngineReadsNoPrompts(t *testing.T) {
	w := newWorld(t, split(3, 1)...)
	assert.Assert(t, w.plan(t, 0, prompt(1, 100, 200)).Prefill == nil, "an idle one does")
	for range 60 {
		w.p.Begin(0, w.open[0], Job{})
	}
	assert.Equal(t, w.open[0].Stage, catalog.Decode)
	assert.Assert(t, w.plan(t, 0, prompt(1, 100, 200)).Prefill != nil)
}

func TestWithoutPrefillEnginesDecodeEnginesDoTheWhole(t *testing.T) {
	w := newWorld(t, split(0, 2)...)
	plan := w.plan(t, 0, prompt(1, 5000, 7000))
	assert.Assert(t, plan.Prefill == nil)
	_, ok := newWorld(t, split(2, 0)...).p.Plan(0, w.open[:0], prompt(1, 1, 1), nil)
	assert.Assert(t, !ok)
}

// Seven VMs get prompts with the same shared part. Each reading it at another
// engine would have it prefilled seven times, and take the memory of seven
// engines for it.
func TestAllVMsPreferOneEngineForASharedPart(t *testing.T) {
	for shared := range uint64(20) {
		chosen := map[string]bool{}
		for seed := range uint64(7) {
			w := newWorld(t, split(6, 6)...)
			w.p.seed = seed
			chosen[w.plan(t, 0, prompt(shared, 5000, 5000)).Prefill.ID] = true
		}
		assert.Equal(t, len(chosen), 1, "shared part %d", shared)
	}
}

func TestACachedPartDrawsItsPrompts(t *testing.T) {
	w := newWorld(t, split(6, 2)...)
	pr := prompt(1, 5000, 5000)
	first := w.plan(t, 0, pr)
	other := "p0"
	if first.Prefill.ID == other {
		other = "p1"
	}
	w.p.RecordCached(Key(other), pr.Parts)
	next := &Prompt{Parts: []Part{{1, 5000}, {99, 3000}}, Tokens: 8000}
	plan := w.plan(t, 0, next)
	assert.Equal(t, plan.Prefill.ID, other)
	assert.Equal(t, plan.CachedTokens, 5000)
}

// One shared part is asked for by every second caller. Held to its engine
// whatever the queue, all of them would wait there while the others idle.
func TestAHotSharedPartSpreadsWhenItsEngineIsFull(t *testing.T) {
	w := newWorld(t, split(4, 4)...)
	used := map[string]int{}
	for i := range 40 {
		pr := prompt(1, 5000, 5000)
		plan := w.plan(t, 0, pr)
		assert.Assert(t, plan.Wait < 800*ms, "prompt %d waits %s", i, plan.Wait)
		e := plan.Engine
		if plan.Prefill != nil {
			e = plan.Prefill
		}
		used[e.ID]++
		w.p.Begin(0, e, Job{Work: plan.Work})
	}
	assert.Assert(t, len(used) >= 4, "%v", used)
}

// One of many engines has a shared part of 5,400 tokens cached, with a queue of 150
// ms, and others are idle, but can't fetch it. Sent to these, a third of all shared
// parts are read again within seconds, and the time for it is missing in the next
// burst. Of a few engines each has it cached soon, and waiting for one costs more.
func TestAPromptWaitsForTheEngineThatHasItCached(t *testing.T) {
	for engines, want := range map[int]time.Duration{3: 50 * ms, 20: 200 * ms} {
		w := newWorld(t, split(engines, engines)...)
		w.p.speeds.of("labels").prefill = speed.New(speed.Coefficients{Fixed: 31 * ms, PerToken: 8130 * time.Nanosecond, PerPair: 0.109})
		first := w.plan(t, 0, prompt(1, 5400, 6600))
		holder := first.Prefill
		w.p.PrefillDone(0, w.p.Begin(0, holder, Job{Work: first.Work}), prompt(1, 5400, 6600).Parts)
		next := &Prompt{Parts: []Part{{1, 5400}, {99, 6000}}, Tokens: 11_400}
		chosen := func() string {
			o, ok := w.p.best(0, w.p.candidates(0, w.open, nil).prefill, next, sources{})
			assert.Assert(t, ok)
			return o.s.ep.ID
		}
		waited := time.Duration(0)
		w.p.Begin(0, holder, Job{Work: priorPrefill.Fixed})
		for chosen() == holder.ID {
			waited += 10 * ms
			w.p.Begin(0, holder, Job{Work: 10 * ms})
		}
		assert.Assert(t, waited > want && waited < want+100*ms, "%d engines: a queue of %s", engines, waited)
	}
}

// An engine that has a manual of 13,000 tokens cached has a queue of half a second.
// Its next question waited there, or the manual was read again at an idle engine for
// a tenth of a second, while the idle engine could have had it in a fiftieth.
func TestAnIdleEngineFetchesWhatABusyOneHas(t *testing.T) {
	w := newWorld(t, split(3, 3)...)
	w.p.RecordCached(Key("p1"), prompt(1, 13_000, 2000).Parts)
	question := &Prompt{Parts: []Part{{1, 13_000}, {99, 2000}}, Tokens: 15_000}
	assert.Assert(t, w.plan(t, 0, question).Source == nil, "the engine itself is idle")
	w.p.Begin(0, w.p.known["p1"].ep, Job{Work: 500 * ms})
	plan := w.plan(t, 0, question)
	assert.Assert(t, plan.Prefill.ID != "p1")
	assert.Equal(t, plan.Source.ID, "p1")
	assert.Equal(t, plan.CachedTokens, 13_000)
	assert.Assert(t, plan.Fetch > 0 && plan.Fetch < 20*ms, "%s", plan.Fetch)
	assert.Assert(t, plan.Work < 40*ms, "%s", plan.Work)
}

// Two engines have a part cached, one of them in the zone of the engine that lacks
// it. A transfer between zones takes twice as long.
func TestPartsAreFetchedWithinTheZone(t *testing.T) {
	far, near, idle := engine("p0", catalog.Prefill), engine("p1", catalog.Prefill), engine("p2", catalog.Prefill)
	far.Zone = "elsewhere"
	w := newWorld(t, far, near, idle, engine("d0", catalog.Decode))
	for _, e := range []*catalog.Endpoint{far, near} {
		w.p.RecordCached(Key(e.ID), prompt(1, 13_000, 2000).Parts)
		w.p.Begin(0, e, Job{Work: 500 * ms})
	}
	plan := w.plan(t, 0, &Prompt{Parts: []Part{{1, 13_000}, {99, 2000}}, Tokens: 15_000})
	assert.Equal(t, plan.Prefill.ID, "p2")
	assert.Equal(t, plan.Source.ID, "p1")
}

// A prompt of 50,000 tokens is under way at an engine. A question that went there
// would wait for half a second behind it.
func TestAQuestionAvoidsTheEngineOfALongPrompt(t *testing.T) {
	w := newWorld(t, split(2, 2)...)
	long := prompt(1, 1000, 49_000)
	plan := w.plan(t, 0, long)
	w.p.Begin(0, plan.Prefill, Job{Work: plan.Work})
	for i := range uint64(10) {
		q := w.plan(t, 0, prompt(100+i, 1000, 2000))
		if q.Prefill != nil {
			assert.Assert(t, q.Prefill.ID != plan.Prefill.ID)
		}
	}
}

// Another VM has just sent a long prompt to an engine. Its load would show here
// only when this VM's own prompts come late.
func TestPeersWorkCounts(t *testing.T) {
	w := newWorld(t, split(2, 2)...)
	pr := prompt(1, 5000, 5000)
	first := w.plan(t, 0, pr).Prefill.ID
	w.p.ReceiveReport(0, "peer", []Report{{Endpoint: Key(first), PendingWork: 2 * time.Second}}, Demand{})
	assert.Assert(t, w.plan(t, 0, pr).Prefill.ID != first)
	assert.Equal(t, w.plan(t, clock.Time(peerStale+ms), pr).Prefill.ID, first, "a report that is too old")
}

// An engine takes three times as long as predicted, and its backlog grows.
// Believed to have been worked off after the predicted time, it would be sent
// more while its callers wait for half a second.
func TestABacklogCountsUntilItIsAnswered(t *testing.T) {
	w := newWorld(t, split(1, 1)...)
	e := w.open[1]
	var tickets []*Ticket
	for range 5 {
		tickets = append(tickets, w.p.Begin(0, e, Job{Work: 100 * ms}))
	}
	later := clock.Time(2 * time.Second)
	assert.Equal(t, w.p.wait(later, w.p.known[e.ID]), 500*ms-priorDecode.Fixed)
	for _, tk := range tickets {
		w.p.PrefillDone(later, tk, nil)
		w.p.End(later, tk, Success)
		w.p.End(later, tk, Success)
	}
	assert.Equal(t, w.p.wait(later, w.p.known[e.ID]), time.Duration(0))
	assert.Equal(t, w.p.Running(e.ID), 0)
}

func TestSpeedIsNotLearnedFromWaits(t *testing.T) {
	w := newWorld(t, split(1, 1)...)
	e := w.open[1]
	s := w.p.known[e.ID]
	first := w.p.Begin(0, e, Job{Work: 50 * ms})
	second := w.p.Begin(0, e, Job{Work: 50 * ms})
	w.p.PrefillDone(clock.Time(100*ms+priorDecode.Fixed), first, nil)
	assert.Assert(t, s.speed > 1, "an engine that took twice as long")
	learned := s.speed
	w.p.PrefillDone(clock.Time(800*ms), second, nil)
	assert.Equal(t, s.speed, learned)
}

// A deployment's engines take four times as long as any that are known. Its VMs went by
// the figures of others: prompts were sent into queues four times as long as they
// looked, and each came late.
func TestTheSpeedOfAServicesEnginesIsLearned(t *testing.T) {
	w := newWorld(t, split(2, 2)...)
	now := clock.Time(0)
	for i := range uint64(200) {
		now = now.Add(time.Second)
		pr := prompt(2*i, 2000, 1000+100*int(i%40))
		plan := w.plan(t, now, pr)
		at, perToken := plan.Engine, 80*time.Microsecond
		if plan.Prefill != nil {
			at, perToken = plan.Prefill, 40*time.Microsecond
		}
		took := 100*ms + time.Duration(pr.Tokens)*perToken
		tk := w.p.Begin(now, at, plan.Job())
		w.p.PrefillDone(now.Add(took), tk, nil)
		w.p.End(now.Add(took), tk, Success)
	}
	plan := w.plan(t, now, prompt(9999, 2000, 4000))
	assert.Assert(t, plan.Prefill != nil)
	assert.Assert(t, plan.Work > 200*ms && plan.Work < 280*ms, "%s", plan.Work)
	assert.Assert(t, w.p.fixed(w.p.known[plan.Prefill.ID]) > 70*ms)
}

// A deployment's engines have links of 1 Gbit/s, not 370. Handing a KV cache of
// 3,000 tokens over takes half a second there; predicted by other engines' links,
// each prompt of that length came that much late.
func TestSlowLinksSpareTheHandOver(t *testing.T) {
	endpoints := split(2, 2)
	for _, tc := range []struct {
		perToken time.Duration
		apart    bool
	}{{0, true}, {400 * time.Nanosecond, true}, {150 * time.Microsecond, false}} {
		w := newWorldOf(t, catalog.Engine{CacheTokens: 900_000, TokenTransfer: tc.perToken}, endpoints...)
		plan := w.plan(t, 0, prompt(1, 1000, 2000))
		assert.Equal(t, plan.Prefill != nil, tc.apart, "%s a token", tc.perToken)
	}
}
