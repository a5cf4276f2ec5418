package drain

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := Request{TimeLeft: 4000 * ms, CallerTimeout: 8000 * ms, Wait: 100 * ms, Answer: Answer{Calls: Sample[time.Duration]{Count: 500, Longest: 2500 * ms}}, PeersReady: 3}
	for _, tc := range []struct {
		name   string
		change func(r *Request)
		want   Verdict
	}{
		{"answers are short enough", func(*Request) {}, Take},
		{"answers may take longer", func(r *Request) { r.TimeLeft = 3100 * ms }, Refuse},
		{"the wait is too long", func(r *Request) { r.Wait = 1000 * ms }, Refuse},
		{"answers start late", func(r *Request) { r.Delays = Sample[time.Duration]{Count: 500, Longest: 1000 * ms} }, Refuse},
		{"answers start a little late", func(r *Request) { r.Delays = Sample[time.Duration]{Count: 500, Longest: 100 * ms} }, Take},
		{"the caller disconnects before", func(r *Request) { r.TimeLeft, r.CallerTimeout = 3100*ms, 3000*ms }, Take},
		{"nothing is known of the answers", func(r *Request) { r.Answer = Answer{} }, Refuse},
		{"few answers are known", func(r *Request) { r.Answer.Calls.Count = 20 }, Refuse},
		{"the process has ended", func(r *Request) { r.TimeLeft, r.CallerTimeout = -ms, 0 }, Refuse},
		{"other VMs leave too", func(r *Request) { r.TimeLeft, r.PeersLeaving = 3100*ms, 2 }, Take},
		{"other VMs leave too, but callers know new addresses", func(r *Request) { r.TimeLeft, r.PeersLeaving, r.AddressesOld = 3100*ms, 2, true }, Refuse},
	} {
		r := base
		tc.change(&r)
		got, delay := Decide(r)
		assert.Equal(t, got, tc.want, tc.name)
		assert.Equal(t, delay > 0, tc.want == Refuse, tc.name)
	}
}

// Guards against callers that come back to a VM which hasn't restarted yet, while no other VM could
// serve them.
func TestRetryAfterDependsOnOtherVMs(t *testing.T) {
	r := Request{TimeLeft: 2000 * ms, CallerTimeout: 8000 * ms, PeersReady: 1}
	_, delay := Decide(r)
	assert.Equal(t, delay, retryDelay)
	r.PeersReady, r.PeersLeaving = 0, 4
	_, delay = Decide(r)
	assert.Equal(t, delay, r.TimeLeft+restartTime)
}

func TestSampleCoversTwoWindowsAndRunningAnswers(t *testing.T) {
	d := NewDurations()
	now := clock.Time(time.Hour)
	d.Begin(now, "r").End(now.Add(400*ms), true)
	now = now.Add(windowLength + time.Second)
	d.Begin(now, "r").End(now.Add(300*ms), true)
	d.Begin(now, "r").End(now.Add(900*ms), false)
	assert.Equal(t, d.Sample(now, "r"), Sample[time.Duration]{Count: 2, Longest: 400 * ms})
	assert.Equal(t, d.Sample(now, "other"), Sample[time.Duration]{})
	now = now.Add(windowLength + time.Second)
	running := d.Begin(now, "r")
	assert.Equal(t, d.Sample(now.Add(200*ms), "r"), Sample[time.Duration]{Count: 1, Longest: 300 * ms})
	assert.Equal(t, d.Sample(now.Add(700*ms), "r"), Sample[time.Duration]{Count: 1, Longest: 700 * ms})
	running.End(now.Add(800*ms), true)
	assert.Equal(t, d.Sample(now.Add(3*windowLength), "r"), Sample[time.Duration]{})
}

func TestRoutesWithoutAnswersAreForgotten(t *testing.T) {
	d := NewDurations()
	now := clock.Time(time.Hour)
	for i := range maxRoutes {
		d.Begin(now, fmt.Sprint("old ", i)).End(now.Add(ms), true)
	}
	d.Begin(now.Add(3*windowLength), "new")
	assert.Equal(t, len(d.routes), 1)
}

// shutdownRun is the result of a simulated shutdown.
type shutdownRun struct {
	taken, cut, cutLate, refused int
}

// takeWhileOpen takes requests in the first half of the shutdown, whatever their length.
func takeWhileOpen(r Request, grace time.Duration) Verdict {
	if r.TimeLeft > grace/2 {
		return Take
	}
	return Refuse
}

func decideByBound(r Request, _ time.Duration) Verdict {
	v, _ := Decide(r)
	return v
}

// simulateShutdown sends 400 requests in each grace period to a VM, half of them of a route whose
// answers have a median of a fifth of the grace period, and stops it after a minute. Callers know new
// addresses after a quarter of the grace period. From the start of the shutdown answers take slowdown
// times as long.
func simulateShutdown(seed uint64, grace time.Duration, slowdown float64, decide func(Request, time.Duration) Verdict) shutdownRun {
	const (
		warmUp = time.Minute
		sigma  = 0.6 // of the logarithm of the durations
	)
	interval := grace / 400
	rng := rand.New(rand.NewPCG(seed, 1))
	d := NewDurations()
	type running struct {
		a   *Call
		end clock.Time
	}
	var answers []running
	start := clock.Time(time.Hour)
	stop, end := start.Add(warmUp), start.Add(warmUp+grace)
	var out shutdownRun
	for now := start; now < end; now = now.Add(interval) {
		kept := answers[:0]
		for _, a := range answers {
			if a.end > now {
				kept = append(kept, a)
				continue
			}
			a.a.End(a.end, true)
		}
		answers = kept
		route, median := "long", grace/5
		if rng.IntN(2) == 0 {
			route, median = "short", grace/100
		}
		length := time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
		if now >= stop {
			length = time.Duration(slowdown * float64(length))
			addressesOld := now.Sub(stop) >= grace/4
			r := Request{
				TimeLeft: end.Sub(now), CallerTimeout: 2 * grace, Answer: Answer{Calls: d.Sample(now, route)},
				AddressesOld: addressesOld, PeersReady: 4, PeersLeaving: 1,
			}
			if decide(r, grace) == Refuse {
				out.refused++
				continue
			}
			out.taken++
			if now.Add(length) > end {
				out.cut++
				if addressesOld {
					out.cutLate++
				}
			}
		}
		answers = append(answers, running{d.Begin(now, route), now.Add(length)})
	}
	return out
}

// Guards against streams that are cut off because they were taken late in a shutdown, for any grace
// period and while answers take longer than before.
func TestShutdownCutsOffHardlyAnyAnswer(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 8 * time.Second, 30 * time.Second, 2 * time.Minute} {
		for _, slowdown := range []float64{1, 1.5} {
			var bound, open shutdownRun
			for seed := range uint64(8) {
				bound.add(simulateShutdown(seed, grace, slowdown, decideByBound))
				open.add(simulateShutdown(seed, grace, slowdown, takeWhileOpen))
			}
			t.Logf("grace %v, slowdown %.1f: by bound %+v, while open %+v", grace, slowdown, bound, open)
			assert.Assert(t, open.cut > 0)
			assert.Assert(t, bound.cutLate*1000 <= bound.taken, "%+v", bound)
			assert.Assert(t, bound.cut < open.cut, "%+v, %+v", bound, open)
			assert.Assert(t, bound.taken > bound.refused, "%+v", bound)
		}
	}
}

func (s *shutdownRun) add(o shutdownRun) {
	s.taken += o.taken
	s.cut += o.cut
	s.cutLate += o.cutLate
	s.refused += o.refused
}
