package drain

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against streams that are taken by the lengths of answers that couldn't have been as long.
func TestDecideByLimitAndSpeed(t *testing.T) {
	// The limit takes 5.25 s, the history 2.7 s at most.
	base := Request{
		TimeLeft: 4000 * ms, CallerTimeout: 8000 * ms, Wait: 100 * ms, PeersReady: 3,
		Answer: Answer{Limit: 106, PerEvent: 50 * ms, Lengths: Sample[int]{Count: 500, Longest: 40}},
	}
	for _, tc := range []struct {
		name   string
		change func(r *Request)
		want   Verdict
	}{
		{"answers are short enough", func(*Request) {}, Take},
		{"no answer could have been as long", func(r *Request) { r.Answer.Lengths.Count = 0 }, Refuse},
		{"few answers could have been as long", func(r *Request) { r.Answer.Lengths.Count = minShorterLengths - 1 }, Refuse},
		{"the limit is low", func(r *Request) { r.Answer.Limit, r.Answer.Lengths = 40, Sample[int]{} }, Take},
		{"the limit is low, but the endpoint is slow", func(r *Request) { r.Answer.Limit, r.Answer.PerEvent = 40, 200*ms }, Refuse},
		{"the limit is low, and answers are longer", func(r *Request) { r.Answer.Limit, r.Answer.Lengths.Longest = 40, 400 }, Take},
		{"the limit takes all time but the reserve", func(r *Request) {
			r.TimeLeft, r.Answer.Limit, r.Answer.Lengths = 2000*ms+base.Wait+deliveryMargin, 41, Sample[int]{}
		}, Take},
		{"the limit takes longer by an event", func(r *Request) {
			r.TimeLeft, r.Answer.Limit, r.Answer.Lengths = 2000*ms+base.Wait+deliveryMargin, 42, Sample[int]{}
		}, Refuse},
		{"there is no limit", func(r *Request) { r.Answer.Limit = 0 }, Take},
		{"there is no limit, and little is known", func(r *Request) { r.Answer.Limit, r.Answer.Lengths.Count = 0, 5 }, Refuse},
		{"the speed isn't known", func(r *Request) { r.Answer.PerEvent = 0 }, Refuse},
		{"the limit is absurd", func(r *Request) { r.Answer.Limit, r.Answer.Lengths = math.MaxInt, Sample[int]{} }, Refuse},
		{"the limit is negative", func(r *Request) { r.Answer.Limit = -5 }, Take},
	} {
		r := base
		tc.change(&r)
		got, _ := Decide(r)
		assert.Equal(t, got, tc.want, tc.name)
	}
}

// Guards against a history of short answers that were short only as their requests allowed no more.
func TestLengthsCountOnlyWithLimitsAsHigh(t *testing.T) {
	l := NewLengths()
	now := clock.Time(time.Hour)
	end := func(limit, events int, whole bool) {
		e := l.Begin(now, "r", limit)
		e.Count(events)
		e.End(now, whole)
	}
	for limit := 10; limit <= 30; limit++ {
		end(limit, limit, true)
	}
	end(0, 12, true)
	end(200, 35, false)
	assert.Equal(t, l.Sample(now, "r", 106), Sample[int]{Count: 1, Longest: 35})
	assert.Equal(t, l.Sample(now, "r", 21), Sample[int]{Count: 11, Longest: 35})
	assert.Equal(t, l.Sample(now, "r", 0), Sample[int]{Count: 1, Longest: 35})
	assert.Equal(t, l.Sample(now, "other", 106), Sample[int]{})
	running := l.Begin(now, "r", 50)
	running.Count(40)
	assert.Equal(t, l.Sample(now, "r", 106), Sample[int]{Count: 1, Longest: 40})
	now = now.Add(lengthLifetime)
	assert.Equal(t, l.Sample(now, "r", 106), Sample[int]{Longest: 40})
	running.End(now, true)
	for range 2 * maxLengths {
		end(50, 5, true)
	}
	assert.Equal(t, l.Sample(now, "r", 50), Sample[int]{Count: maxLengths, Longest: 5})
}

func TestLengthsOfRoutesWithoutAnswersAreForgotten(t *testing.T) {
	l := NewLengths()
	now := clock.Time(time.Hour)
	for i := range maxRoutes {
		l.Begin(now, fmt.Sprint("old ", i), 0).End(now, true)
	}
	l.Begin(now.Add(lengthLifetime), "new", 0)
	assert.Equal(t, len(l.routes), 1)
}

func TestPacesOfEndpointsWithoutStreamsAreForgotten(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	for i := range maxEndpoints {
		s := p.Begin(now, "s", fmt.Sprint("old ", i))
		s.Record(now.Add(ms), 1)
		s.End(now.Add(ms))
	}
	now = now.Add(3 * windowLength)
	p.Begin(now, "s", "new").End(now)
	assert.Equal(t, len(p.services["s"].endpoints), 1)
	now = now.Add(3 * windowLength)
	for i := range maxRoutes {
		p.Begin(now, fmt.Sprint(i), "a").End(now)
	}
	assert.Equal(t, len(p.services), maxRoutes)
	p.Begin(now.Add(3*windowLength), "new", "a")
	assert.Equal(t, len(p.services), 1)
}

// play has a stream arrive with n events, each after gap, and returns the time of the last one.
func play(s *Stream, now clock.Time, n int, gap time.Duration) clock.Time {
	for range n {
		now = now.Add(gap)
		s.Record(now, 1)
	}
	return now
}

// Guards against the speed of before a slowdown: a second after it, the streams that are being sent show it.
func TestPaceFollowsASlowdownWithinASecond(t *testing.T) {
	for _, gap := range []time.Duration{10 * ms, 30 * ms, 50 * ms, 70 * ms} {
		for phase := range 10 {
			p := NewPaces()
			now := clock.Time(time.Hour)
			ended := p.Begin(now, "s", "a")
			ended.End(play(ended, now, 20, gap))
			s := p.Begin(now, "s", "a")
			now = play(s, now, 100+phase, gap)
			assert.Equal(t, p.PerEvent(now, "s", "a", 1), time.Duration(paceReserve*float64(gap)))
			slowed := now
			for now < slowed.Add(time.Second) {
				now = play(s, now, 1, 4*gap)
			}
			now = slowed.Add(time.Second)
			got := p.PerEvent(now, "s", "a", 1)
			assert.Assert(t, got >= 4*gap && got < 5*gap, "gap %s: %s", gap, got)
		}
	}
}

// Guards against a stream that has stopped and seems as fast as before.
func TestPaceOfALateStreamGrows(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	s := p.Begin(now, "s", "a")
	now = play(s, now, 20, 50*ms)
	assert.Equal(t, p.PerEvent(now.Add(50*ms), "s", "a", 1), time.Duration(paceReserve*float64(50*ms)))
	assert.Equal(t, p.PerEvent(now.Add(500*ms), "s", "a", 1), time.Duration(paceReserve*float64(500*ms)))
}

func TestPaceCountsEventsThatArriveTogether(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	s := p.Begin(now, "s", "a")
	for range 10 {
		now = now.Add(200 * ms)
		s.Record(now, 4)
	}
	assert.Equal(t, p.PerEvent(now.Add(200*ms), "s", "a", 1), time.Duration(paceReserve*float64(50*ms)))
	s.End(now)
	assert.Equal(t, p.PerEvent(now, "s", "a", 1), time.Duration(paceReserve*float64(50*ms)))
}

func TestPaceOfAnEndpointWithoutStreams(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	assert.Equal(t, p.PerEvent(now, "s", "a", 1), time.Duration(0))
	fast := p.Begin(now, "s", "fast")
	fast.End(play(fast, now, 20, 20*ms))
	slow := p.Begin(now, "s", "slow")
	slow.End(play(slow, now, 20, 60*ms))
	now = now.Add(2 * time.Second)
	for endpoint, want := range map[string]time.Duration{"fast": 20 * ms, "slow": 60 * ms, "new": 60 * ms, "": 60 * ms} {
		assert.Equal(t, p.PerEvent(now, "s", endpoint, 1), time.Duration(paceReserve*float64(want)), endpoint)
	}
	assert.Equal(t, p.PerEvent(now, "other", "fast", 1), time.Duration(0))
	// The endpoint says that it has slowed down.
	assert.Equal(t, p.PerEvent(now, "s", "fast", 3), time.Duration(paceReserve*float64(60*ms)))
	assert.Equal(t, p.PerEvent(now, "s", "fast", 0.5), time.Duration(paceReserve*float64(20*ms)))
	// Other endpoints have slowed down.
	s := p.Begin(now, "s", "slow")
	now = play(s, now, 20, 240*ms)
	assert.Equal(t, p.PerEvent(now, "s", "fast", 1), time.Duration(paceReserve*float64(240*ms)))
	assert.Equal(t, p.PerEvent(now.Add(3*windowLength), "other", "fast", 1), time.Duration(0))
}

// Guards against taking all endpoints for slow, and refusing all requests, as only the streams of a slow one are
// still being sent.
func TestPaceOfAnIdleEndpointBesideASlowOne(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	fast, slow := p.Begin(now, "s", "fast"), p.Begin(now, "s", "slow")
	play(slow, now, 10, 200*ms)
	now = play(fast, now, 40, 50*ms)
	fast.End(now)
	assert.Equal(t, p.PerEvent(now, "s", "fast", 1), time.Duration(paceReserve*float64(50*ms)))
	now = play(slow, now, 10, 200*ms)
	assert.Equal(t, p.PerEvent(now, "s", "fast", 1), time.Duration(paceReserve*float64(50*ms)))
	now = play(slow, now, 10, 400*ms)
	assert.Equal(t, p.PerEvent(now, "s", "fast", 1), time.Duration(paceReserve*float64(400*ms)))
}

// Guards against an endpoint whose latest stream ended soon after its slowdown, so that its mean hardly shows it.
func TestPaceOfAnIdleEndpointThatHasSlowedDown(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	s, other := p.Begin(now, "s", "a"), p.Begin(now, "s", "b")
	play(other, play(other, now, 40, 50*ms), 4, 200*ms)
	now = play(s, play(s, now, 40, 50*ms), 4, 200*ms)
	s.End(now)
	assert.Equal(t, p.PerEvent(now, "s", "a", 1), time.Duration(paceReserve*float64(200*ms)))
}

// Guards against refusing all requests of a service whose answers arrive at once.
func TestPaceOfAnswersThatArriveAtOnceIsKnown(t *testing.T) {
	p := NewPaces()
	now := clock.Time(time.Hour)
	p.Begin(now, "s", "a").End(now)
	assert.Assert(t, p.PerEvent(now, "s", "a", 1) > 0)
	assert.Equal(t, p.PerEvent(now.Add(3*windowLength), "s", "a", 1), time.Duration(0))
}

func TestPacesMayBeUsedConcurrently(t *testing.T) {
	p, l := NewPaces(), NewLengths()
	now := clock.Time(time.Hour)
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			s, e := p.Begin(now, "s", fmt.Sprint(i%2)), l.Begin(now, "r", 50)
			for n := range 200 {
				s.Record(now.Add(time.Duration(n)*10*ms), 1)
				e.Count(1)
				p.PerEvent(now.Add(time.Duration(n)*10*ms), "s", "0", 1)
				l.Sample(now, "r", 50)
			}
			s.End(now.Add(2 * time.Second))
			e.End(now, true)
		})
	}
	all.Wait()
	assert.Equal(t, l.Sample(now, "r", 50), Sample[int]{Count: 8, Longest: 200})
}

// streamRun describes a simulated shutdown beside streams.
type streamRun struct {
	grace    time.Duration
	slowdown float64 // of the endpoints from the start of the shutdown on
	limited  bool    // requests state the lengths of their answers as limits
	longer   float64 // factor of the lengths from the start of the shutdown on
}

// simulateStreams sends 400 requests in each grace period to a VM, half of them of a route whose answers have a
// median of a fifth of the grace period, and stops it after a minute. Callers know new addresses after a quarter of
// the grace period. Requests count as late from the time on at which a slowdown shows.
func simulateStreams(seed uint64, c streamRun) shutdownRun {
	const (
		warmUp    = time.Minute
		endpoints = 4
		sigma     = 0.6 // of the logarithm of the lengths
		median    = 40  // events
	)
	interval, gap := c.grace/400, c.grace/5/median
	rng := rand.New(rand.NewPCG(seed, 1))
	l, p := NewLengths(), NewPaces()
	type running struct {
		s     *Stream
		e     *Events
		left  int
		next  clock.Time
		taken clock.Time // zero before the shutdown
		late  bool
	}
	var answers []*running
	start := clock.Time(time.Hour)
	stop := start.Add(warmUp)
	end := stop.Add(c.grace)
	known := stop.Add(max(8*time.Duration(c.slowdown*float64(gap)), time.Second))
	var out shutdownRun
	for now := start; now < end; now = now.Add(interval) {
		kept := answers[:0]
		for _, a := range answers {
			for a.left > 0 && a.next <= now {
				a.s.Record(a.next, 1)
				a.e.Count(1)
				a.left--
				step := gap
				if a.next >= stop {
					step = time.Duration(c.slowdown * float64(gap))
				}
				a.next = a.next.Add(step)
			}
			if a.left > 0 {
				kept = append(kept, a)
				continue
			}
			a.s.End(now)
			a.e.End(now, true)
		}
		answers = kept
		route, length := "long", float64(median)
		if rng.IntN(2) == 0 {
			route, length = "short", median/10
		}
		length *= math.Exp(sigma * rng.NormFloat64())
		endpoint := fmt.Sprint(rng.IntN(endpoints))
		a := &running{left: int(length), next: now.Add(gap)}
		if now >= stop {
			a.taken, a.next = now, now.Add(time.Duration(c.slowdown*float64(gap)))
			a.left = int(c.longer * length)
		}
		limit := 0
		if c.limited {
			limit = a.left + 1
		}
		if now >= stop {
			r := Request{
				TimeLeft: end.Sub(now), CallerTimeout: 2 * c.grace, AddressesOld: now.Sub(stop) >= c.grace/4, PeersReady: 4, PeersLeaving: 1,
				Answer: Answer{Limit: limit, Lengths: l.Sample(now, route, limit), PerEvent: p.PerEvent(now, "s", endpoint, 1)},
			}
			if v, _ := Decide(r); v == Refuse {
				out.refused++
				continue
			}
			out.taken++
			a.late = r.AddressesOld && now >= known
		}
		a.s, a.e = p.Begin(now, "s", endpoint), l.Begin(now, route, limit)
		a.e.Count(1)
		answers = append(answers, a)
	}
	for _, a := range answers {
		if a.taken == 0 || a.left == 0 {
			continue
		}
		out.cut++
		if a.late {
			out.cutLate++
		}
	}
	return out
}

// Guards against streams that are cut off because they were taken late in a shutdown, for any grace period, while
// endpoints are slower than before, and while answers get longer than their route's were.
func TestShutdownCutsOffHardlyAnyStream(t *testing.T) {
	for _, grace := range []time.Duration{4 * time.Second, 8 * time.Second, 30 * time.Second, 2 * time.Minute} {
		for _, c := range []streamRun{
			{slowdown: 1, longer: 1},
			{slowdown: 1, longer: 1, limited: true},
			{slowdown: 1.5, longer: 1},
			{slowdown: 4, longer: 1},
			{slowdown: 4, longer: 1, limited: true},
			{slowdown: 1, longer: 4, limited: true},
		} {
			c.grace = grace
			var sum shutdownRun
			for seed := range uint64(4) {
				sum.add(simulateStreams(seed, c))
			}
			t.Logf("%+v: %+v", c, sum)
			if c.limited {
				assert.Check(t, sum.cutLate == 0, "%+v: %+v", c, sum)
				assert.Check(t, sum.taken > sum.refused, "%+v: %+v", c, sum)
				continue
			}
			// Lengths without limits can only be extrapolated.
			assert.Check(t, sum.cutLate*1000 <= sum.taken+sum.refused, "%+v: %+v", c, sum)
			assert.Check(t, sum.taken > 0, "%+v: %+v", c, sum)
		}
	}
}
