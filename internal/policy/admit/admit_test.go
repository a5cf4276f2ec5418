package admit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// The test pool has 8 slots; a question takes 0.11 s and a manifest 4.1 s.
const (
	slots          = 8
	questionTokens = 100
	manifestTokens = 40_000
)

func testConfig(disabled Guards) Config {
	return Config{
		Classes: []Class{
			{Name: "commit", Priority: 0, OutputTokens: 1},
			{Name: "question", Priority: 1, Weight: 2, OutputTokens: 10},
			{Name: "manifest", Priority: 1, Weight: 1, OutputTokens: 10},
		},
		Rates:    Rates{PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 10 * time.Millisecond, Batch: 1},
		Disabled: disabled,
	}
}

// others returns the streams of twenty callers that together offer 40% of the pool's capacity.
func others() []stream {
	var all []stream
	for i := range 20 {
		all = append(all, stream{name: "others", class: "question", caller: fmt.Sprint("caller-", i), prompt: questionTokens, meanInterval: 690 * time.Millisecond, budget: 2 * time.Second})
	}
	return all
}

// Each case is one load pattern from the package comment. It checks that the victims' requests are on
// time with the guard, and that they are not when the guard is disabled.
func TestGuards(t *testing.T) {
	hot := stream{name: "hot", class: "question", caller: "hot", prompt: questionTokens, meanInterval: 4 * time.Millisecond, budget: 2 * time.Second}
	hotKey := hot
	hotKey.key = "lot-7"
	manifests := stream{name: "manifests", class: "manifest", caller: "planner", prompt: manifestTokens, meanInterval: 300 * time.Millisecond, budget: 20 * time.Second}
	commits := stream{name: "commits", class: "commit", caller: "clerk", prompt: 100, meanInterval: 200 * time.Millisecond, budget: time.Second}
	questions := stream{name: "questions", class: "question", caller: "lead", prompt: questionTokens, meanInterval: 100 * time.Millisecond, budget: time.Second}
	for _, x := range []struct {
		name               string
		streams            []stream
		victim             string
		disabled           Guards
		minOnTime          float64 // minimum share of requests on time with the guard
		maxOnTimeUnguarded float64 // maximum share of requests on time without the guard
	}{
		{"a hot caller offers 3.4 times the capacity", append(others(), hot), "others", Guards{NoFairness: true}, 0.98, 0.6},
		{"long manifests occupy every slot", []stream{manifests, questions}, "questions", Guards{NoLongShare: true, NoPriority: true}, 0.96, 0.85},
		{"commits among questions at twice the capacity", append(others(), commits, hot), "commits", Guards{NoPriority: true, NoFairness: true}, 0.99, 0.6},
	} {
		guarded := run(testConfig(Guards{}), 30*time.Second, x.streams)
		unguarded := run(testConfig(x.disabled), 30*time.Second, x.streams)
		t.Logf("%s: %s on time %.3f, without the guard %.3f", x.name, x.victim, guarded[x.victim].share(), unguarded[x.victim].share())
		assert.Check(t, guarded[x.victim].share() >= x.minOnTime, x.name)
		assert.Check(t, unguarded[x.victim].share() <= x.maxOnTimeUnguarded, x.name)
	}
	guarded := run(testConfig(Guards{}), 10*time.Second, append(others(), hotKey))
	assert.Assert(t, guarded["hot"].codes[code.HotKey] > guarded["hot"].offered/2)
	unguarded := run(testConfig(Guards{NoKeyLimit: true}), 10*time.Second, append(others(), hotKey))
	t.Logf("hot key: limit %d; %d requests on time with the limit, %d without it", defaultKeyLimit, guarded["hot"].onTime, unguarded["hot"].onTime)
	assert.Equal(t, unguarded["hot"].codes[code.HotKey], 0)
}

// Guards against late answers under overload: a queue that ignores deadlines answers every request
// late. With the feasibility check and shedding, goodput stays close to its peak.
func TestOverload(t *testing.T) {
	peak := 0
	for _, load := range []float64{1, 1.5, 2, 3} {
		meanInterval := time.Duration(float64(110*time.Millisecond) / slots / load * 10)
		var streams []stream
		for i := range 10 {
			streams = append(streams, stream{name: "all", class: "question", caller: fmt.Sprint(i), prompt: questionTokens, meanInterval: meanInterval, budget: time.Second})
		}
		guarded := run(testConfig(Guards{}), 20*time.Second, streams)["all"]
		unguarded := run(testConfig(Guards{NoFeasibility: true, NoShedding: true}), 20*time.Second, streams)["all"]
		t.Logf("load %.1f: on time %d, late %d of %d; without feasibility and shedding %d, %d", load, guarded.onTime, guarded.late, guarded.offered, unguarded.onTime, unguarded.late)
		peak = max(peak, guarded.onTime)
		assert.Assert(t, float64(guarded.onTime) >= 0.9*float64(peak))
		assert.Assert(t, guarded.late*50 <= guarded.onTime)
		assert.Assert(t, load < 1.5 || unguarded.onTime*3 < guarded.onTime)
	}
}

// Guards against late refusals after a loss of capacity: only a third of the slots is left while the
// queue is long. Requests that can't meet their deadline any more must be refused at once rather than
// at the deadline.
func TestCapacityLossRefusesAtOnce(t *testing.T) {
	q := NewQueue(testConfig(Guards{}))
	q.SetCapacity(0, slots)
	var all []*Request
	for i := range 60 {
		r := &Request{Class: "question", Caller: fmt.Sprint(i), Workspace: "w", PromptTokens: questionTokens, Deadline: clock.Time(1200 * time.Millisecond)}
		if q.Offer(0, r).Err == nil {
			all = append(all, r)
		}
		q.Next(0, FreeSlots{Normal: slots - q.running, Urgent: slots})
	}
	dropped := q.SetCapacity(1, slots/3)
	assert.Assert(t, len(dropped) > 5 && len(dropped) < len(all), "%d of %d", len(dropped), len(all))
	last := time.Duration(0)
	for _, d := range dropped {
		assert.Equal(t, d.Err.Run, code.NotRun)
		assert.Assert(t, d.Err.RetryAfter > last, "%s", d.Err)
		last = d.Err.RetryAfter
	}
}

// Guards against taking answers that were cut at their token limit for short ones: requests with a higher
// limit would be admitted for the time of a few tokens, wait in vain and be refused at their deadlines.
func TestLimitedAnswersDontShortenTheEstimate(t *testing.T) {
	q := NewQueue(testConfig(Guards{}))
	q.SetCapacity(0, 2)
	offer := func(tokens int) *code.Error {
		return q.Offer(0, &Request{Class: "question", Caller: "a", Workspace: "w", PromptTokens: questionTokens, MaxOutputTokens: tokens, Deadline: clock.Time(time.Second)}).Err
	}
	free := FreeSlots{Normal: 2, Urgent: 2}
	for range 40 {
		assert.Assert(t, offer(1) == nil)
		r, _ := q.Next(0, free)
		q.Done(0, r, Measurement{OK: true, OutputTokens: 1})
	}
	admitted := 0
	for range 100 {
		if offer(10) == nil {
			admitted++
		}
	}
	assert.Assert(t, admitted > 0 && admitted <= 18, "%d answers of 110 ms admitted that must end within 1 s on 2 slots", admitted)
}

// Guards against refusals at the deadline: requests are admitted by the times of the past, and the engines
// turn out to be five times slower. Those that can't be on time any more must be refused as soon as the
// measurements show it.
func TestSlowerEnginesRefuseQueuedRequestsEarly(t *testing.T) {
	q := NewQueue(testConfig(Guards{}))
	q.SetCapacity(0, slots)
	const budget = 10 * time.Second
	type job struct {
		r   *Request
		end clock.Time
	}
	var running []job
	refused, early, served, late := 0, 0, 0, 0
	for i := range 400 {
		r := &Request{Class: "question", Caller: fmt.Sprint(i), Workspace: "w", PromptTokens: questionTokens, Deadline: clock.Time(budget)}
		assert.Assert(t, q.Offer(0, r).Err == nil)
	}
	for now := clock.Time(0); now < clock.Time(budget+time.Second); now = now.Add(20 * time.Millisecond) {
		running = slices.DeleteFunc(running, func(j job) bool {
			if j.end > now {
				return false
			}
			q.Done(now, j.r, Measurement{OK: true, FirstToken: 50 * time.Millisecond, Step: 50 * time.Millisecond, OutputTokens: 10})
			if served++; now > j.r.Deadline {
				late++
			}
			return true
		})
		for {
			free := slots - len(running)
			r, dropped := q.Next(now, FreeSlots{Normal: free, Urgent: free})
			if refused += len(dropped); now < clock.Time(3*time.Second) {
				early += len(dropped)
			}
			if r == nil {
				break
			}
			running = append(running, job{r, now.Add(550 * time.Millisecond)})
		}
	}
	t.Logf("served %d, late %d, refused %d, of which %d early", served, late, refused, early)
	assert.Equal(t, late, 0)
	assert.Assert(t, served >= 120, "%d served of 144 that the slots can run", served)
	assert.Assert(t, early*10 >= refused*7, "%d of %d refusals came early", early, refused)
}

func TestRefusals(t *testing.T) {
	cfg := testConfig(Guards{})
	cfg.MaxQueued = 4
	q := NewQueue(cfg)
	offer := func(class, caller string, budget time.Duration) OfferResult {
		return q.Offer(0, &Request{Class: class, Caller: caller, Workspace: caller, PromptTokens: questionTokens, Deadline: clock.Time(budget)})
	}
	assert.Equal(t, offer("question", "a", -1).Err.Code, code.DeadlinePassed)
	never := offer("question", "a", time.Millisecond).Err
	assert.Equal(t, never.Code, code.DeadlineInfeasible)
	assert.Equal(t, never.RetryAfter, time.Duration(0))
	for range 4 {
		assert.Assert(t, offer("question", "a", time.Minute).Err == nil)
	}
	full := offer("question", "a", time.Minute).Err
	assert.Equal(t, full.Code, code.QueueFull)
	assert.Assert(t, full.RetryAfter >= 400*time.Millisecond)
	other := offer("question", "b", time.Minute)
	assert.Equal(t, other.Dropped[0].Err.Code, code.CallerOverShare)
	commit := offer("commit", "c", time.Minute)
	assert.Equal(t, commit.Dropped[0].Err.Code, code.ShedForPriority)
	assert.Equal(t, q.Snapshot().Queued, 4)
	r, _ := q.Next(0, FreeSlots{Normal: 1, Urgent: 1})
	assert.Equal(t, r.Class, "commit")
}

// Checks the accounting under random operations: each request ends exactly once, and an empty queue
// holds no cost, no keys and no flows.
func TestAccountingBalances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := testConfig(Guards{})
		cfg.MaxQueued = 10
		q := NewQueue(cfg)
		now := clock.Time(0)
		var running []*Request
		open := map[*Request]bool{}
		end := func(all []Refusal) {
			for _, x := range all {
				assert.Assert(rt, open[x.Request])
				delete(open, x.Request)
			}
		}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "op") {
			case 0, 1:
				r := &Request{
					Class: rapid.SampledFrom([]string{"commit", "question", "manifest"}).Draw(rt, "class"),
					Key:   rapid.SampledFrom([]string{"", "k"}).Draw(rt, "key"), Caller: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller"),
					PromptTokens: rapid.IntRange(1, 9000).Draw(rt, "prompt"), Deadline: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "budget")) * time.Millisecond),
				}
				open[r] = true
				v := q.Offer(now, r)
				end(v.Dropped)
				if v.Err != nil {
					delete(open, r)
				}
			case 2:
				r, dropped := q.Next(now, FreeSlots{Normal: 1, Urgent: 1})
				end(dropped)
				if r != nil {
					running = append(running, r)
				}
			case 3:
				end(q.SetCapacity(now, rapid.IntRange(0, 4).Draw(rt, "slots")))
			default:
				if len(running) == 0 {
					continue
				}
				r := running[0]
				running = running[1:]
				if rapid.Bool().Draw(rt, "again") {
					q.Requeue(r)
					continue
				}
				q.Done(now, r, Measurement{OK: true})
				assert.Assert(rt, open[r])
				delete(open, r)
			}
			assert.Equal(rt, len(open), q.Snapshot().Queued+q.Snapshot().Running)
		}
		for r := range open {
			q.Cancel(r)
		}
		for _, l := range q.levels {
			assert.Equal(rt, l.root.count, 0)
			assert.Equal(rt, l.root.cost, time.Duration(0))
			assert.Equal(rt, len(l.root.active), 0)
		}
		assert.Equal(rt, len(q.requestsByKey), 0)
		assert.Equal(rt, q.runningCost, time.Duration(0))
	})
}

// Guards against refused callers that return when their requests can no longer be served: the Retry-After
// delay followed the forecast of the queue only, which may be wrong.
func TestRefusedCallersReturnInTime(t *testing.T) {
	q := NewQueue(testConfig(Guards{}))
	q.SetCapacity(0, slots)
	refused := 0
	last := time.Duration(0)
	for i := range 2000 {
		r := &Request{Class: "question", Caller: fmt.Sprint(i), Workspace: "w", PromptTokens: questionTokens, Deadline: clock.Time(1200 * time.Millisecond)}
		err := q.Offer(0, r).Err
		if err == nil {
			continue
		}
		refused++
		slack := r.latestStart().Sub(0)
		assert.Assert(t, err.RetryAfter > 0 && err.RetryAfter < slack, "returns after %s, can start within %s", err.RetryAfter, slack)
		assert.Assert(t, err.RetryAfter >= last, "a later caller returns before an earlier one")
		last = err.RetryAfter
	}
	assert.Assert(t, refused > 20, "%d refused", refused)
}
