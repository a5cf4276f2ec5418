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

// cluster holds the endpoints of a service and one VM's planner.
type cluster struct {
	p    *Planner
	open []*catalog.Endpoint
}

func engine(id string, s catalog.Stage) *catalog.Endpoint {
	return &catalog.Endpoint{ID: id, Service: "labels", Address: id + ":1", Zone: "z", Stage: s, Slots: 96}
}

func newCluster(t *testing.T, endpoints ...*catalog.Endpoint) *cluster {
	t.Helper()
	return newClusterOf(t, catalog.Engine{CacheTokens: 900_000}, endpoints...)
}

// newClusterOf returns a cluster whose service has the engine configuration e.
func newClusterOf(t *testing.T, e catalog.Engine, endpoints ...*catalog.Endpoint) *cluster {
	t.Helper()
	manual := clock.Manual{}
	s := catalog.NewStore(&manual)
	s.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "labels", Engine: &e}}))
	for _, e := range endpoints {
		s.SetEndpoint(e)
	}
	c := &cluster{p: New("z", 1)}
	c.p.SetView(s.View())
	c.open = s.View().Available("labels")
	return c
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

func (c *cluster) plan(t *testing.T, now clock.Time, pr *Prompt) Plan {
	t.Helper()
	plan, ok := c.p.Plan(now, c.open, pr, nil)
	assert.Assert(t, ok)
	return plan
}

func TestALongPromptIsPrefilledAtAPrefillEngine(t *testing.T) {
	c := newCluster(t, split(2, 2)...)
	plan := c.plan(t, 0, prompt(1, 5000, 7000))
	assert.Assert(t, plan.Prefill != nil)
	assert.Equal(t, plan.Engine.Stage, catalog.Decode)
}

func TestAShortPromptIsPrefilledAtItsDecodeEngine(t *testing.T) {
	c := newCluster(t, split(2, 2)...)
	plan := c.plan(t, 0, prompt(1, 100, 200))
	assert.Assert(t, plan.Prefill == nil)
}

// Guards against prefilling short prompts at the last decode engine while it runs sixty streams.
// All streams stalled for each prompt, took longer and grew in number, and callers abandoned stalled
// streams while prefill engines were idle.
func TestABusyDecodeEngineIsNotUsedForPrefills(t *testing.T) {
	c := newCluster(t, split(3, 1)...)
	assert.Assert(t, c.plan(t, 0, prompt(1, 100, 200)).Prefill == nil, "an idle decode engine prefills")
	for range 60 {
		c.p.Begin(0, c.open[0], Job{})
	}
	assert.Equal(t, c.open[0].Stage, catalog.Decode)
	assert.Assert(t, c.plan(t, 0, prompt(1, 100, 200)).Prefill != nil)
}

func TestWithoutPrefillEnginesDecodeEnginesPrefill(t *testing.T) {
	c := newCluster(t, split(0, 2)...)
	plan := c.plan(t, 0, prompt(1, 5000, 7000))
	assert.Assert(t, plan.Prefill == nil)
	_, ok := newCluster(t, split(2, 0)...).p.Plan(0, c.open[:0], prompt(1, 1, 1), nil)
	assert.Assert(t, !ok)
}

// Guards against seven VMs that choose seven engines for prompts with the same shared part: it
// would be prefilled seven times and occupy the memory of seven engines.
func TestAllVMsPreferOneEngineForASharedPart(t *testing.T) {
	for shared := range uint64(20) {
		chosen := map[string]bool{}
		for seed := range uint64(7) {
			c := newCluster(t, split(6, 6)...)
			c.p.seed = seed
			chosen[c.plan(t, 0, prompt(shared, 5000, 5000)).Prefill.ID] = true
		}
		assert.Equal(t, len(chosen), 1, "shared part %d", shared)
	}
}

func TestAPromptGoesToTheEngineWithItsCachedPart(t *testing.T) {
	c := newCluster(t, split(6, 2)...)
	pr := prompt(1, 5000, 5000)
	first := c.plan(t, 0, pr)
	other := "p0"
	if first.Prefill.ID == other {
		other = "p1"
	}
	c.p.RecordCached(Key(other), pr.Parts)
	next := &Prompt{Parts: []Part{{1, 5000}, {99, 3000}}, Tokens: 8000}
	plan := c.plan(t, 0, next)
	assert.Equal(t, plan.Prefill.ID, other)
	assert.Equal(t, plan.CachedTokens, 5000)
}

// Guards against a shared part that every second request has in common and that keeps all of them
// at the engine that has it cached, however long its queue is, while the other engines are idle.
func TestAHotSharedPartSpreadsWhenItsEngineIsFull(t *testing.T) {
	c := newCluster(t, split(4, 4)...)
	used := map[string]int{}
	for i := range 40 {
		pr := prompt(1, 5000, 5000)
		plan := c.plan(t, 0, pr)
		assert.Assert(t, plan.Wait < 800*ms, "prompt %d waits %s", i, plan.Wait)
		e := plan.Engine
		if plan.Prefill != nil {
			e = plan.Prefill
		}
		used[e.ID]++
		c.p.Begin(0, e, Job{Work: plan.Work})
	}
	assert.Assert(t, len(used) >= 4, "%v", used)
}

// Guards against prefilling cached parts again at idle engines. One of many engines has a shared
// part of 5,400 tokens cached and a queue of 150 ms; the others are idle but can't fetch the part.
// If its prompts went to these, a third of all shared parts would be prefilled again within
// seconds, and that time would be missing in the next burst. With only a few engines each soon has
// the part cached, and waiting costs more.
func TestAPromptWaitsForTheEngineThatHasItCached(t *testing.T) {
	for engines, want := range map[int]time.Duration{3: 50 * ms, 20: 200 * ms} {
		c := newCluster(t, split(engines, engines)...)
		c.p.speeds.of("labels").prefill = speed.New(speed.Coefficients{Fixed: 31 * ms, PerToken: 8130 * time.Nanosecond, PerPair: 0.109})
		first := c.plan(t, 0, prompt(1, 5400, 6600))
		holder := first.Prefill
		c.p.PrefillDone(0, c.p.Begin(0, holder, Job{Work: first.Work}), prompt(1, 5400, 6600).Parts)
		next := &Prompt{Parts: []Part{{1, 5400}, {99, 6000}}, Tokens: 11_400}
		chosen := func() string {
			prefill := c.p.candidates(0, c.open, nil).prefill
			o, ok := c.p.best(0, prefill, len(prefill), next, sources{})
			assert.Assert(t, ok)
			return o.s.ep.ID
		}
		waited := time.Duration(0)
		c.p.Begin(0, holder, Job{Work: priorPrefill.Fixed})
		for chosen() == holder.ID {
			waited += 10 * ms
			c.p.Begin(0, holder, Job{Work: 10 * ms})
		}
		assert.Assert(t, waited > want && waited < want+100*ms, "%d engines: a queue of %s", engines, waited)
	}
}

// Guards against not fetching. An engine with a cached manual of 13,000 tokens has a queue of half
// a second. The next question either waited there, or an idle engine took a tenth of a second to
// prefill the manual again, which it could fetch in a fiftieth.
func TestAnIdleEngineFetchesWhatABusyOneHas(t *testing.T) {
	c := newCluster(t, split(3, 3)...)
	c.p.RecordCached(Key("p1"), prompt(1, 13_000, 2000).Parts)
	question := &Prompt{Parts: []Part{{1, 13_000}, {99, 2000}}, Tokens: 15_000}
	assert.Assert(t, c.plan(t, 0, question).Source == nil, "the engine itself is idle")
	c.p.Begin(0, c.p.endpoints["p1"].ep, Job{Work: 500 * ms})
	plan := c.plan(t, 0, question)
	assert.Assert(t, plan.Prefill.ID != "p1")
	assert.Equal(t, plan.Source.ID, "p1")
	assert.Equal(t, plan.CachedTokens, 13_000)
	assert.Assert(t, plan.Fetch > 0 && plan.Fetch < 20*ms, "%s", plan.Fetch)
	assert.Assert(t, plan.Work < 40*ms, "%s", plan.Work)
}

// Guards against fetching a part from another zone, which takes twice as long, while an engine in
// the same zone has it cached as well.
func TestPartsAreFetchedWithinTheZone(t *testing.T) {
	far, near, idle := engine("p0", catalog.Prefill), engine("p1", catalog.Prefill), engine("p2", catalog.Prefill)
	far.Zone = "elsewhere"
	c := newCluster(t, far, near, idle, engine("d0", catalog.Decode))
	for _, e := range []*catalog.Endpoint{far, near} {
		c.p.RecordCached(Key(e.ID), prompt(1, 13_000, 2000).Parts)
		c.p.Begin(0, e, Job{Work: 500 * ms})
	}
	plan := c.plan(t, 0, &Prompt{Parts: []Part{{1, 13_000}, {99, 2000}}, Tokens: 15_000})
	assert.Equal(t, plan.Prefill.ID, "p2")
	assert.Equal(t, plan.Source.ID, "p1")
}

// Guards against sending a question to an engine that prefills a prompt of 50,000 tokens: it would
// wait for half a second.
func TestAQuestionAvoidsTheEngineOfALongPrompt(t *testing.T) {
	c := newCluster(t, split(2, 2)...)
	long := prompt(1, 1000, 49_000)
	plan := c.plan(t, 0, long)
	c.p.Begin(0, plan.Prefill, Job{Work: plan.Work})
	for i := range uint64(10) {
		q := c.plan(t, 0, prompt(100+i, 1000, 2000))
		if q.Prefill != nil {
			assert.Assert(t, q.Prefill.ID != plan.Prefill.ID)
		}
	}
}

// Guards against ignoring the prompts of other VMs. Without a peer's report, a long prompt that it
// sent to an engine would show only when this VM's own prompts are late.
func TestPeerReportsCountAsLoad(t *testing.T) {
	c := newCluster(t, split(2, 2)...)
	pr := prompt(1, 5000, 5000)
	first := c.plan(t, 0, pr).Prefill.ID
	c.p.ReceiveReport(0, "peer", []Report{{Endpoint: Key(first), PendingWork: 2 * time.Second}}, Demand{})
	assert.Assert(t, c.plan(t, 0, pr).Prefill.ID != first)
	assert.Equal(t, c.plan(t, clock.Time(maxPeerReportAge+ms), pr).Prefill.ID, first, "the report is too old")
}

// Guards against sending more prompts to an engine that takes three times as long as predicted. If
// its backlog counted as processed after the predicted time, callers would wait for half a second.
func TestABacklogCountsUntilItIsAnswered(t *testing.T) {
	c := newCluster(t, split(1, 1)...)
	e := c.open[1]
	var tickets []*Ticket
	for range 5 {
		tickets = append(tickets, c.p.Begin(0, e, Job{Work: 100 * ms}))
	}
	later := clock.Time(2 * time.Second)
	assert.Equal(t, c.p.wait(later, c.p.endpoints[e.ID]), 500*ms-priorDecode.Fixed)
	for _, tk := range tickets {
		c.p.PrefillDone(later, tk, nil)
		c.p.End(later, tk, Success)
		c.p.End(later, tk, Success)
	}
	assert.Equal(t, c.p.wait(later, c.p.endpoints[e.ID]), time.Duration(0))
	assert.Equal(t, c.p.Running(e.ID), 0)
}

func TestSlownessIsNotEstimatedFromWaits(t *testing.T) {
	c := newCluster(t, split(1, 1)...)
	e := c.open[1]
	s := c.p.endpoints[e.ID]
	first := c.p.Begin(0, e, Job{Work: 50 * ms})
	second := c.p.Begin(0, e, Job{Work: 50 * ms})
	c.p.PrefillDone(clock.Time(100*ms+priorDecode.Fixed), first, nil)
	assert.Assert(t, s.slowness > 1, "the engine took twice as long as predicted")
	slowness := s.slowness
	c.p.PrefillDone(clock.Time(800*ms), second, nil)
	assert.Equal(t, s.slowness, slowness)
}

// Guards against predictions for engines that take four times as long as the prior assumes: prompts
// were sent into queues four times as long as predicted, and all first events were late.
func TestTheSpeedOfAServicesEnginesIsEstimated(t *testing.T) {
	c := newCluster(t, split(2, 2)...)
	now := clock.Time(0)
	for i := range uint64(200) {
		now = now.Add(time.Second)
		pr := prompt(2*i, 2000, 1000+100*int(i%40))
		plan := c.plan(t, now, pr)
		at, perToken := plan.Engine, 80*time.Microsecond
		if plan.Prefill != nil {
			at, perToken = plan.Prefill, 40*time.Microsecond
		}
		took := 100*ms + time.Duration(pr.Tokens)*perToken
		tk := c.p.Begin(now, at, plan.Job())
		c.p.PrefillDone(now.Add(took), tk, nil)
		c.p.End(now.Add(took), tk, Success)
	}
	plan := c.plan(t, now, prompt(9999, 2000, 4000))
	assert.Assert(t, plan.Prefill != nil)
	assert.Assert(t, plan.Work > 200*ms && plan.Work < 280*ms, "%s", plan.Work)
	assert.Assert(t, c.p.fixed(c.p.endpoints[plan.Prefill.ID]) > 70*ms)
}

// Guards against predicting transfers by the default time per token where the engines' links have 1
// Gbit/s instead of 370: a KV cache transfer of 3,000 tokens takes half a second there, by which
// the first events of such prompts were late.
func TestSlowLinksAvoidKVCacheTransfers(t *testing.T) {
	endpoints := split(2, 2)
	for _, tc := range []struct {
		perToken time.Duration
		split    bool
	}{{0, true}, {400 * time.Nanosecond, true}, {150 * time.Microsecond, false}} {
		c := newClusterOf(t, catalog.Engine{CacheTokens: 900_000, KVTransferPerToken: tc.perToken}, endpoints...)
		plan := c.plan(t, 0, prompt(1, 1000, 2000))
		assert.Equal(t, plan.Prefill != nil, tc.split, "%s per token", tc.perToken)
	}
}

// Guards against a KV cache that one software version wrote and another one reads.
func TestPlansAreOfOneVersion(t *testing.T) {
	endpoints := split(2, 4)
	for i, e := range endpoints {
		e.Version = fmt.Sprint("v", i%2)
	}
	c := newCluster(t, endpoints...)
	used := map[string]bool{}
	for i := range 200 {
		pr := prompt(uint64(i%5)*10+1, 5400, 6600)
		plan, ok := c.p.Plan(0, c.open, pr, nil)
		assert.Assert(t, ok)
		for _, e := range []*catalog.Endpoint{plan.Prefill, plan.Source} {
			assert.Assert(t, e == nil || e.Version == plan.Engine.Version)
		}
		used[plan.Engine.Version] = true
		from := plan.Prefill
		if from == nil {
			from = plan.Engine
		}
		t := c.p.Begin(0, from, plan.Job())
		if i%2 == 0 {
			c.p.PrefillDone(0, t, pr.Parts) // the others load their engines
		}
	}
	assert.Equal(t, len(used), 2)
}

// Guards against requests that are refused while a release has left the prefill engines to one version and
// the decode engines to another.
func TestADecodeEngineRunsThePromptIfNoEngineOfItsVersionPrefills(t *testing.T) {
	endpoints := split(1, 1)
	endpoints[0].Version, endpoints[1].Version = "v1", "v2"
	c := newCluster(t, endpoints...)
	plan, ok := c.p.Plan(0, c.open, prompt(1, 5400, 6600), nil)
	assert.Assert(t, ok)
	assert.Assert(t, plan.Prefill == nil)
	assert.Equal(t, plan.Engine.ID, endpoints[1].ID)
}

// Guards against streams whose events stop while a decode engine prefills a long prompt, beside a prefill engine that
// would have done it a little later; and against sending short prompts away from an engine that is idle.
func TestLongPromptsAreNotPrefilledBesideStreams(t *testing.T) {
	const gap = 150 * ms
	c := newCluster(t, engine("p", catalog.Prefill), engine("d", catalog.Decode))
	c.p.gapTargets = map[string]time.Duration{"labels": gap}
	prefiller, decoder := c.open[1], c.open[0]
	assert.Equal(t, prefiller.ID, "p")
	c.p.Begin(0, prefiller, Job{Work: 300 * ms})
	long, short := prompt(1, 100, 4000), prompt(1, 100, 900)
	assert.Assert(t, c.plan(t, 0, long).Prefill == nil, "nobody is delayed at an idle engine")
	for range 2 {
		c.p.Begin(0, decoder, Job{})
	}
	assert.Assert(t, c.plan(t, 0, long).Prefill != nil)
	assert.Assert(t, c.plan(t, 0, short).Prefill == nil)
}
