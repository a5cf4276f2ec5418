package scarcity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

// Guards against an order in which a request that waits as told is displaced by one that came back too early, or
// a late request that can wait takes the place of one whose caller leaves.
func TestOrderOfService(t *testing.T) {
	const now = clock.Time(10 * time.Second)
	request := func(level int, age time.Duration) Request {
		return Request{Level: level, Arrived: now.Add(-age), Target: 500 * ms, Leaves: 2 * time.Second, Work: 50 * ms}
	}
	early := request(1, 0)
	early.Early = true
	inOrder := []Request{request(0, 0), request(0, time.Second), request(1, 200*ms), request(1, 0), request(1, time.Second), early, request(2, 0)}
	raised := request(1, 1700*ms) // precedes those of level 0 that are late and can wait
	inOrder = append(inOrder[:1], append([]Request{raised}, inOrder[1:]...)...)
	q := NewQueue()
	for i := range inOrder {
		q.Add(now, inOrder[len(inOrder)-1-i])
	}
	for i := range inOrder {
		e := q.First(now)
		assert.Equal(t, e.Request, inOrder[i], "%d", i)
		assert.Equal(t, q.Ahead(now, &e.Request), time.Duration(0))
		q.Remove(e)
	}
	assert.Equal(t, q.Len(), 0)
}

// Guards against a queue that grows without bound, or that drops the most urgent requests when it is full.
func TestAFullQueueDropsTheLast(t *testing.T) {
	q := NewQueue()
	last := q.Add(0, Request{Level: 2, Leaves: time.Second})
	for range maxHeld {
		q.Add(0, Request{Level: 1, Leaves: time.Second})
	}
	assert.Equal(t, q.Len(), maxHeld)
	assert.Assert(t, !last.Queued())
	assert.Equal(t, len(last.Wake), 1)
	q.Add(0, Request{Level: 0, Leaves: time.Second, Bytes: maxHeldBytes})
	q.Add(0, Request{Level: 0, Leaves: time.Second, Bytes: 1})
	assert.Assert(t, q.Bytes() <= maxHeldBytes)
}

// Guards against a VM that is cut off and holds requests back for work that others reported long ago.
func TestReportsExpire(t *testing.T) {
	v := NewView()
	v.Receive(0, "vm", map[uint32]Held{1: {{Work: time.Second, Count: 3}}})
	h := v.Held(0, 1)
	assert.Equal(t, h.Above(1), time.Second)
	h = v.Held(clock.Time(maxReportAge+1), 1)
	assert.Equal(t, h, Held{})
}

// Guards against requests that are held although they can't be in time, or refused although they can.
func TestHoldsAsLongAsTheCallerWaits(t *testing.T) {
	r := Request{Target: 400 * ms, Leaves: 400 * ms, Work: 60 * ms, Fixed: 30 * ms}
	s := Situation{Endpoints: 4, Wait: 200 * ms}
	assert.Equal(t, Decide(&r, &s).Verdict, Serve, "its time limit is its target")
	s.Wait = 300 * ms
	d := Decide(&r, &s)
	assert.Equal(t, d.Verdict, Refuse)
	assert.Assert(t, d.RetryAfter >= minRetryAfter)
	r.Leaves = 2 * time.Second
	assert.Equal(t, Decide(&r, &s).Verdict, Serve, "it is on time")
	r.Level = 1
	s.Wait = 400 * ms
	assert.Equal(t, Decide(&r, &s).Reason, EndpointsBusy)
	s.Wait, s.Urgent = 0, time.Second
	assert.Equal(t, Decide(&r, &s).Reason, NotFirst)
	s.Urgent, s.Above = 0, time.Second
	assert.Equal(t, Decide(&r, &s).Reason, UrgentElsewhere)
	s.Above = 20 * time.Second
	assert.Equal(t, Decide(&r, &s).Reason, TooLate)
}

// Guards against a stream that is refused since the work which all VMs hold for a service is counted against the
// few endpoints that can continue it.
func TestBegunRequestsPrecedeHeldOnes(t *testing.T) {
	const now = clock.Time(time.Hour)
	held := Situation{Now: now, Endpoints: 1, Ahead: time.Second, Urgent: time.Second, Above: 10 * time.Second, Same: 10 * time.Second}
	r := Request{Level: 2, Arrived: now, Target: 500 * time.Millisecond, Leaves: 2 * time.Second, Work: 12 * time.Millisecond}
	assert.Equal(t, Decide(&r, &held).Verdict, Refuse)
	r.Begun = true
	assert.Equal(t, Decide(&r, &held).Verdict, Serve)
	held.Full = true
	assert.Equal(t, Decide(&r, &held).Verdict, Hold, "no endpoint can take it")
	held.Wait = 3 * time.Second
	assert.Equal(t, Decide(&r, &held).Verdict, Refuse, "its caller leaves before an endpoint can")
}

// Guards against a Retry-After delay that the caller doesn't wait for, so that it never comes back.
func TestRetryAfterIsHonoured(t *testing.T) {
	for random := range uint64(1000) {
		random *= uint64(7919 * time.Microsecond)
		d := RetryAfter(2*time.Second, 2400*ms, random)
		assert.Assert(t, d <= 800*ms && d >= minRetryAfter, "%s", d)
		assert.Assert(t, RetryAfter(2*time.Second, 20*time.Second, random) >= 2*time.Second)
	}
}
