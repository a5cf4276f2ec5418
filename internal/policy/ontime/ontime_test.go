package ontime

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	base := Request{Target: 400 * ms, CallerTimeout: 2000 * ms}
	for _, tc := range []struct {
		name                        string
		elapsed, first, wait, ahead time.Duration
		want                        Verdict
	}{
		{"on time", 0, 150 * ms, 0, 0, Serve},
		{"late because of the queue", 0, 500 * ms, 350 * ms, 0, Hold},
		{"late by its own length", 0, 900 * ms, 100 * ms, 0, Serve},
		{"late, and an engine is about to be idle", 600 * ms, 150 * ms, 20 * ms, 0, Serve},
		{"late and the engines stay full", 600 * ms, 500 * ms, 350 * ms, 0, Hold},
		{"its caller would have left", 1200 * ms, 600 * ms, 450 * ms, 0, Refuse},
		{"too much waits before it", 0, 500 * ms, 350 * ms, 1700 * ms, Refuse},
	} {
		r := base
		r.Elapsed, r.FirstEvent, r.Wait, r.Backlog = tc.elapsed, tc.first, tc.wait, tc.ahead
		got, again := Decide(r)
		assert.Equal(t, got, tc.want, tc.name)
		assert.Equal(t, again > 0, tc.want == Refuse, tc.name)
	}
}

func TestWithoutATargetOnlyPatienceCounts(t *testing.T) {
	v, _ := Decide(Request{CallerTimeout: 2000 * ms, FirstEvent: 1000 * ms, Wait: 900 * ms})
	assert.Equal(t, v, Serve)
}

// A burst is refused within a few milliseconds. Told the same time to come back,
// all of it would return as one burst that is refused again.
func TestThoseRefusedTogetherComeBackApart(t *testing.T) {
	buckets := map[time.Duration]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		_, again := Decide(Request{
			Elapsed: 1900 * ms, FirstEvent: 400 * ms, CallerTimeout: 2000 * ms, Random: rng.Uint64(),
		})
		assert.Assert(t, again >= leastAgain && again < leastAgain+againSpread)
		buckets[again/(100*ms)]++
	}
	for at, n := range buckets {
		assert.Assert(t, n < 200, "%d of 1000 come back within the same tenth of a second, %d", n, at)
	}
}

func TestUrgencyFollowsSlack(t *testing.T) {
	assert.Assert(t, UrgencyRank(400*ms, 300*ms) < UrgencyRank(400*ms, 50*ms))
	assert.Equal(t, UrgencyRank(-time.Second, 0), 0)
	assert.Equal(t, UrgencyRank(time.Minute, 0), MaxUrgencyRank)
}

func TestHeldWorkIsSharedByTheEngines(t *testing.T) {
	var h HeldWork
	done := h.Add(300 * ms)
	h.Add(100 * ms)
	assert.Equal(t, h.Backlog(2, 4), 200*ms)
	done()
	assert.Equal(t, h.Backlog(2, 0), 200*ms)
}

// server reads prompts in order of arrival, one at a time.
type server struct {
	busyUntil time.Duration
	onTime    int
	late      int
}

func (s *server) send(now, arrived, work, target, patience time.Duration) {
	s.busyUntil = max(s.busyUntil, now) + work
	switch first := s.busyUntil - arrived; {
	case first <= target:
		s.onTime++
	case first <= patience:
		s.late++
	}
}

// overload offers an engine 1.3 times what it can read for 20 s and then half of
// it for 20 s, and returns how it served.
func overload(hold bool) *server {
	const work, target, patience = 50 * ms, 400 * ms, 2000 * ms
	s := &server{}
	type held struct{ arrived time.Duration }
	var waiting []held
	for now := time.Duration(0); now < 40*time.Second; now += ms {
		keep := waiting[:0]
		for _, w := range waiting {
			wait := max(s.busyUntil-now, 0)
			v, _ := Decide(Request{Elapsed: now - w.arrived, Target: target, CallerTimeout: patience, FirstEvent: wait + work, Wait: wait})
			switch v {
			case Serve:
				s.send(now, w.arrived, work, target, patience)
			case Hold:
				keep = append(keep, w)
			case Refuse:
			}
		}
		waiting = keep
		every := 38 * ms
		if now > 20*time.Second {
			every = 100 * ms
		}
		if now%every != 0 {
			continue
		}
		if !hold {
			s.send(now, now, work, target, patience)
			continue
		}
		waiting = append(waiting, held{now})
	}
	return s
}

// For 20 seconds callers send 1.3 times what the engine reads. Sent on in order
// of arrival, after two seconds each first event is late, after eight its caller
// has left; and so it stays for seconds after the burst. Held back, most are on
// time all the while.
func TestABurstIsServedOnTime(t *testing.T) {
	with, without := overload(true), overload(false)
	assert.Assert(t, with.onTime > 550, "%+v", with)
	assert.Assert(t, without.onTime < 300, "%+v", without)
}
