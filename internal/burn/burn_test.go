package burn_test

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/burn"
	"fescuestand/internal/clock"
)

// start is an uptime of three days, so that no window reaches back before the boot.
const start = clock.Time(72 * time.Hour)

func objectives() []burn.Objective {
	return []burn.Objective{
		{Class: "question", Signal: burn.FirstToken, Target: 0.95, Limit: 360 * time.Millisecond},
		{Class: "question", Signal: burn.BetweenTokens, Target: 0.95, Limit: 39 * time.Millisecond},
		{Class: "question", Signal: burn.OnTime, Target: 0.99},
		{Class: "commit", Signal: burn.Commits, Target: 0.999},
	}
}

func recorder(t testing.TB) *burn.Recorder {
	r, err := burn.NewRecorder(objectives())
	assert.NilError(t, err)
	return r
}

func answer(t testing.TB, r *burn.Recorder, now clock.Time, vm string) burn.VMAnswer {
	rep, err := r.Report(now, vm, "zone-1")
	assert.NilError(t, err)
	return burn.VMAnswer{VM: vm, Zone: "zone-1", Report: &rep}
}

func objective(t testing.TB, f burn.Fleet, class string, s burn.Signal) burn.FleetObjective {
	for _, l := range f.Objectives {
		if l.Class == class && l.Signal == s {
			return l
		}
	}
	t.Fatalf("no objective %s %s", class, s)
	return burn.FleetObjective{}
}

func TestWindowsExpireShortestFirst(t *testing.T) {
	r := recorder(t)
	for i := range 10 {
		r.RecordAnswer(start, "question", i > 0, time.Second)
	}
	rates := func(after time.Duration) [3]float64 {
		return objective(t, burn.Merge([]burn.VMAnswer{answer(t, r, start.Add(after), "a")}), "question", burn.OnTime).Rates
	}
	assertNear := func(got, want [3]float64) {
		t.Helper()
		for i := range got {
			assert.Assert(t, got[i] > want[i]-1e-9 && got[i] < want[i]+1e-9, "%v, want %v", got, want)
		}
	}
	assertNear(rates(0), [3]float64{10, 10, 10})
	assertNear(rates(6*time.Minute), [3]float64{0, 10, 10})
	assertNear(rates(2*time.Hour), [3]float64{0, 0, 10})
	assertNear(rates(7*time.Hour), [3]float64{})
	assertNear(rates(14*time.Hour), [3]float64{})
}

func TestStates(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  func(age time.Duration) bool
		want burn.State
	}{
		{"all good", func(time.Duration) bool { return false }, burn.Met},
		{"bad for an hour and now", func(age time.Duration) bool { return age < time.Hour }, burn.BurningFast},
		{"bad for an hour, over for ten minutes", func(age time.Duration) bool { return age < time.Hour && age > 10*time.Minute }, burn.Burning},
		{"bad for two minutes", func(age time.Duration) bool { return age < 2*time.Minute }, burn.OverBudget},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := recorder(t)
			for age := 6 * time.Hour; age > 0; age -= 10 * time.Second {
				r.RecordAnswer(start.Add(-age), "question", !c.bad(age), time.Second)
			}
			f := burn.Merge([]burn.VMAnswer{answer(t, r, start, "a")})
			assert.Equal(t, objective(t, f, "question", burn.OnTime).State, c.want)
			assert.Equal(t, objective(t, f, "commit", burn.Commits).State, burn.NoTraffic)
		})
	}
}

// The entry processes of a failing zone may not answer just when their callers get the most errors. A
// report of only the VMs that answer would then show a healthy fleet.
func TestUnresponsiveVMsAreReported(t *testing.T) {
	r := recorder(t)
	r.RecordAnswer(start, "question", true, time.Second)
	bad := answer(t, r, start, "c")
	bad.Report.Objectives[0].LatencyHistogram = []byte("not a histogram")
	f := burn.Merge([]burn.VMAnswer{
		answer(t, r, start, "a"),
		{VM: "b", Zone: "zone-2", Err: "timeout after 2s"},
		bad,
	})
	assert.Equal(t, f.Queried, 3)
	assert.Equal(t, f.Answered, 2)
	assert.Equal(t, len(f.Missing), 2)
	assert.Equal(t, objective(t, f, "question", burn.OnTime).Windows[0].Good, uint64(2))
	for _, write := range []func(*strings.Builder) error{
		func(b *strings.Builder) error { return f.WriteText(b) },
		func(b *strings.Builder) error { return f.WriteJSON(b) },
		func(b *strings.Builder) error { return f.WritePage(b, "lakeshore", "09:00") },
	} {
		var b strings.Builder
		assert.NilError(t, write(&b))
		assert.Assert(t, strings.Contains(b.String(), "timeout after 2s"), b.String())
	}
}

func TestOlderSheetIsSummedSeparately(t *testing.T) {
	r := recorder(t)
	old := answer(t, r, start, "a")
	next := objectives()
	next[0].Limit = time.Second
	r.RecordFirstToken(start, "question", 500*time.Millisecond)
	r.RecordAnswer(start, "question", true, time.Second)
	assert.NilError(t, r.SetObjectives(next))
	f := burn.Merge([]burn.VMAnswer{old, answer(t, r, start, "b")})
	assert.Equal(t, len(f.Objectives), len(objectives())+1)
	assert.Equal(t, objective(t, f, "question", burn.OnTime).Windows[0].Good, uint64(1), "an unchanged objective keeps its counts")
}

func TestInvalidObjectivesAreRejected(t *testing.T) {
	for _, o := range []burn.Objective{
		{Class: "a", Signal: burn.FirstToken, Target: 0.95},
		{Class: "a", Signal: burn.OnTime, Target: 1},
		{Class: "a", Signal: "speed", Target: 0.9},
	} {
		_, err := burn.NewRecorder([]burn.Objective{o})
		assert.ErrorIs(t, err, burn.ErrObjective)
	}
}

func TestEventsOfUnknownClassAreCounted(t *testing.T) {
	r := recorder(t)
	r.RecordRefused(start, "qestion")
	assert.Equal(t, answer(t, r, start, "a").Report.UnknownClassEvents, uint64(1))
}

// However events are spread over the VMs, the merged reports must equal the report of one recorder of
// all events, also after encoding and decoding as JSON.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one := recorder(t)
		perVM := []*burn.Recorder{recorder(t), recorder(t), recorder(t)}
		now := start
		for range rapid.IntRange(0, 100).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(40*time.Minute)).Draw(rt, "pause")))
			d := time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(rt, "wait"))
			vm := perVM[rapid.IntRange(0, 2).Draw(rt, "vm")]
			one.RecordFirstToken(now, "question", d)
			vm.RecordFirstToken(now, "question", d)
		}
		var parts []burn.VMAnswer
		for _, r := range perVM {
			a := answer(t, r, now, "vm")
			text, err := json.Marshal(a.Report)
			assert.NilError(rt, err)
			var decoded burn.Report
			assert.NilError(rt, json.Unmarshal(text, &decoded))
			a.Report = &decoded
			parts = append(parts, a)
		}
		want := objective(t, burn.Merge([]burn.VMAnswer{answer(t, one, now, "vm")}), "question", burn.FirstToken)
		got := objective(t, burn.Merge(parts), "question", burn.FirstToken)
		assert.Equal(rt, got.Windows, want.Windows)
		assert.DeepEqual(rt, got.Series, want.Series)
		assert.DeepEqual(rt, got.Latency, want.Latency)
	})
}

func TestConcurrentRecording(t *testing.T) {
	r := recorder(t)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				r.RecordTokenGap(start, "question", time.Millisecond)
			}
			_, err := r.Report(start, "a", "z")
			assert.Check(t, err)
		})
	}
	wg.Wait()
	f := burn.Merge([]burn.VMAnswer{answer(t, r, start, "a")})
	assert.Equal(t, objective(t, f, "question", burn.BetweenTokens).Windows[0].Good, uint64(8000))
}

// If the environment variable BURN_PAGE names a file, TestPage writes the page to it for viewing.
func TestPage(t *testing.T) {
	var b strings.Builder
	f := sampleFleet(t)
	assert.NilError(t, f.WritePage(&b, "lakeshore", "2026-01-01 09:00"))
	for _, want := range []string{"BURNING FAST", "OVER BUDGET", "NO TRAFFIC", "<polyline", "5 of 7 VMs answered"} {
		assert.Assert(t, strings.Contains(b.String(), want), want)
	}
	assert.Assert(t, !strings.Contains(b.String(), "<script"))
	assert.Assert(t, !strings.Contains(b.String(), "http"))
	if file := os.Getenv("BURN_PAGE"); file != "" {
		assert.NilError(t, os.WriteFile(file, []byte(b.String()), 0o600))
		var text strings.Builder
		assert.NilError(t, f.WriteText(&text))
		t.Log("\n" + text.String())
	}
}

// sampleFleet returns a fleet of seven VMs, two of which do not answer. The class question has burned
// fast for an hour, draft has been over budget for some minutes, tag had no traffic for two hours and
// trace has none at all.
func sampleFleet(t testing.TB) burn.Fleet {
	objectives := append(objectives(),
		burn.Objective{Class: "draft", Signal: burn.FirstToken, Target: 0.95, Limit: 8 * time.Second},
		burn.Objective{Class: "draft", Signal: burn.OnTime, Target: 0.99},
		burn.Objective{Class: "tag", Signal: burn.OnTime, Target: 0.99},
		burn.Objective{Class: "trace", Signal: burn.OnTime, Target: 0.99},
	)
	answers := []burn.VMAnswer{
		{VM: "entry-6", Zone: "Saginaw", Err: "no answer within 2s"},
		{VM: "entry-7", Zone: "Saginaw", Err: "connection refused"},
	}
	for vm := range 5 {
		r, err := burn.NewRecorder(objectives)
		assert.NilError(t, err)
		for i, age := 0, 6*time.Hour; age > 0; i, age = i+1, age-10*time.Second {
			recordStep(r, i, age)
		}
		answers = append(answers, answer(t, r, start, "entry-"+string(rune('1'+vm))))
	}
	return burn.Merge(answers)
}

func recordStep(r *burn.Recorder, i int, age time.Duration) {
	now := start.Add(-age)
	wait := time.Duration(100+i%5*60) * time.Millisecond
	if age < time.Hour {
		wait *= 2
	}
	r.RecordFirstToken(now, "question", wait)
	r.RecordTokenGap(now, "question", time.Duration(28+i%10)*time.Millisecond)
	r.RecordAnswer(now, "question", i%200 > 0, time.Duration(5+i%7)*time.Second)
	r.RecordCommit(now, "commit", true)
	r.RecordFirstToken(now, "draft", time.Duration(2000+i%4*500)*time.Millisecond)
	r.RecordAnswer(now, "draft", age > 4*time.Minute || i%8 > 0, time.Duration(12+i%9)*time.Second)
	if age > 3*time.Hour || age < time.Hour {
		r.RecordAnswer(now, "tag", i%300 > 0, time.Second)
	}
}

func BenchmarkBetweenTokens(b *testing.B) {
	r := recorder(b)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		r.RecordTokenGap(now, "question", 30*time.Millisecond)
	}
}

func BenchmarkReport(b *testing.B) {
	r := recorder(b)
	for i := range 10_000 {
		r.RecordFirstToken(start.Add(-time.Duration(i)*time.Second), "question", time.Duration(i)*time.Millisecond)
	}
	size := 0
	for b.Loop() {
		rep, err := r.Report(start, "a", "z")
		assert.NilError(b, err)
		text, _ := json.Marshal(rep)
		size = len(text)
	}
	b.ReportMetric(float64(size), "bytes/report")
}
