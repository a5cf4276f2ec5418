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
		name                               string
		elapsed, firstEvent, wait, backlog time.Duration
		want                               Verdict
	}{
		{"on time", 0, 150 * ms, 0, 0, Serve},
		{"late because of the queue", 0, 500 * ms, 350 * ms, 0, Hold},
		{"late because its prompt is long", 0, 900 * ms, 100 * ms, 0, Serve},
		{"late, and an engine is almost idle", 600 * ms, 150 * ms, 20 * ms, 0, Serve},
		{"late, and the engines stay busy", 600 * ms, 500 * ms, 350 * ms, 0, Hold},
		{"its caller would time out", 1200 * ms, 600 * ms, 450 * ms, 0, Refuse},
		{"the backlog is too long", 0, 500 * ms, 350 * ms, 1700 * ms, Refuse},
	} {
		r := base
		r.Elapsed, r.FirstEvent, r.Wait, r.Backlog = tc.elapsed, tc.firstEvent, tc.wait, tc.backlog
		got, delay := Decide(r)
		assert.Equal(t, got, tc.want, tc.name)
		assert.Equal(t, delay > 0, tc.want == Refuse, tc.name)
	}
}

func TestWithoutATargetOnlyTheTimeoutCounts(t *testing.T) {
	v, _ := Decide(Request{CallerTimeout: 2000 * ms, FirstEvent: 1000 * ms, Wait: 900 * ms})
	assert.Equal(t, v, Serve)
}

// Guards against refusing a request with little time left that an idle engine would serve in time, such as one whose
// caller comes back after an outage, or whose route has a short timeout.
func TestARequestWithLittleTimeLeftIsServed(t *testing.T) {
	r := Request{Elapsed: 2200 * ms, Target: 250 * ms, CallerTimeout: 2500 * ms, FirstEvent: 100 * ms}
	v, _ := Decide(r)
	assert.Equal(t, v, Serve)
	r.FirstEvent = 280 * ms
	v, _ = Decide(r)
	assert.Equal(t, v, Refuse)
}

// Guards against retries that arrive as one burst: requests that are refused within a few
// milliseconds of each other would all be refused again if they got the same Retry-After delay.
func TestRetryAfterSpreadsRequestsRefusedTogether(t *testing.T) {
	buckets := map[time.Duration]int{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		_, delay := Decide(Request{
			Elapsed: 1900 * ms, FirstEvent: 400 * ms, CallerTimeout: 2000 * ms, Random: rng.Uint64(),
		})
		assert.Assert(t, delay >= minRetryAfter && delay < minRetryAfter+retryAfterSpread)
		buckets[delay/(100*ms)]++
	}
	for at, n := range buckets {
		assert.Assert(t, n < 200, "%d of 1000 retry within the same tenth of a second, %d", n, at)
	}
}

func TestUrgencyFollowsSlack(t *testing.T) {
	assert.Assert(t, UrgencyRank(400*ms, 300*ms) < UrgencyRank(400*ms, 50*ms))
	assert.Equal(t, UrgencyRank(-time.Second, 0), 0)
	assert.Equal(t, UrgencyRank(time.Minute, 0), MaxUrgencyRank)
}

func TestBacklogDividesHeldWorkByEngines(t *testing.T) {
	var h HeldWork
	done := h.Add(300 * ms)
	h.Add(100 * ms)
	assert.Equal(t, h.Backlog(2, 4), 200*ms)
	done()
	assert.Equal(t, h.Backlog(2, 0), 200*ms)
}

// server is an engine that prefills prompts one at a time, in order of arrival.
type server struct {
	busyUntil time.Duration
	onTime    int
	late      int
}

func (s *server) send(now, arrived, work, target, timeout time.Duration) {
	s.busyUntil = max(s.busyUntil, now) + work
	switch elapsed := s.busyUntil - arrived; {
	case elapsed <= target:
		s.onTime++
	case elapsed <= timeout:
		s.late++
	}
}

// overload sends an engine 1.3 times the load that it can prefill for 20 s and half of that
// capacity for another 20 s. With hold, requests are sent as Decide says, else at once.
func overload(hold bool) *server {
	const work, target, timeout = 50 * ms, 400 * ms, 2000 * ms
	s := &server{}
	type held struct{ arrived time.Duration }
	var waiting []held
	for now := time.Duration(0); now < 40*time.Second; now += ms {
		stillHeld := waiting[:0]
		for _, w := range waiting {
			wait := max(s.busyUntil-now, 0)
			v, _ := Decide(Request{Elapsed: now - w.arrived, Target: target, CallerTimeout: timeout, FirstEvent: wait + work, Wait: wait})
			switch v {
			case Serve:
				s.send(now, w.arrived, work, target, timeout)
			case Hold:
				stillHeld = append(stillHeld, w)
			case Refuse:
			}
		}
		waiting = stillHeld
		interval := 38 * ms
		if now > 20*time.Second {
			interval = 100 * ms
		}
		if now%interval != 0 {
			continue
		}
		if !hold {
			s.send(now, now, work, target, timeout)
			continue
		}
		waiting = append(waiting, held{now})
	}
	return s
}

// Guards against a burst that makes all first events late. When callers send 1.3 times what the
// engine can prefill for 20 seconds and all requests are sent at once, each first event is late
// after two seconds and each caller times out after eight, until seconds after the burst. With
// requests held, most first events stay on time.
func TestABurstIsServedOnTime(t *testing.T) {
	held, unheld := overload(true), overload(false)
	assert.Assert(t, held.onTime > 550, "%+v", held)
	assert.Assert(t, unheld.onTime < 300, "%+v", unheld)
}
