package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const start = clock.Time(time.Hour)

func at(d time.Duration) clock.Time { return start.Add(d) }

// Guards against a VM that takes the crash of one endpoint for its own partition.
func TestOneEndpointOutOfReachIsNoPartition(t *testing.T) {
	r := New()
	r.Dialed("a", false)
	assert.Assert(t, r.Check(start))
	r.EndRound(start, Round{Tested: 1, Reached: 0})
	assert.Assert(t, !r.CutOff())
	r.EndRound(at(time.Second), Round{Tested: 4, Reached: 1})
	assert.Assert(t, !r.CutOff())
	assert.Assert(t, !r.Check(at(2*time.Second)), "the suspicion is refuted")
}

// Guards against a VM that goes on taking requests while it reaches no endpoint.
func TestNoEndpointInReachIsAPartition(t *testing.T) {
	r := New()
	r.Dialed("a", false)
	assert.Assert(t, r.Check(start))
	r.EndRound(start, Round{Tested: 4, Reached: 0})
	assert.Assert(t, r.CutOff())
}

// Guards against a partition that is detected only when requests time out.
func TestSilenceIsTested(t *testing.T) {
	r := New()
	assert.Assert(t, r.Begin(start, "a"))
	assert.Assert(t, !r.Begin(start, "b"))
	assert.Assert(t, !r.Check(at(silenceLimit-1)))
	assert.Assert(t, r.Check(at(silenceLimit)))
	r.Received(at(silenceLimit))
	assert.Assert(t, !r.Check(at(silenceLimit+1)))
}

// Guards against taking a stall of this process for the silence of all endpoints.
func TestAStallIsNoSilence(t *testing.T) {
	r := New()
	r.Begin(start, "a")
	r.Begin(start, "b")
	r.Check(start)
	assert.Assert(t, !r.Check(at(5*time.Second)))
	assert.Assert(t, !r.CutOff())
}

// Guards against links that reset each connection once it was accepted: no connection attempt fails.
func TestLostConnectionsAreTested(t *testing.T) {
	r := New()
	lose := func(endpoint string) {
		r.Begin(start, endpoint)
		r.End(endpoint, true)
	}
	lose("a")
	r.Received(start)
	lose("b")
	lose("b")
	assert.Assert(t, !r.Check(start), "one endpoint")
	lose("c")
	assert.Assert(t, r.Check(start))
}

// Guards against a VM that returns and is cut off again several times a second.
func TestAFlappingLinkKeepsTheVMCutOffForLonger(t *testing.T) {
	r := New()
	now := start
	for _, want := range []int{2, 4, 8, 16, 16} {
		r.EndRound(now, Round{Tested: 4, Reached: 0})
		assert.Assert(t, r.CutOff())
		rounds := 0
		for r.CutOff() {
			now = now.Add(roundInterval)
			assert.Assert(t, r.Check(now))
			r.EndRound(now, Round{Tested: 4, Reached: 1})
			rounds++
		}
		assert.Equal(t, rounds, want)
	}
	now = now.Add(flapWindow)
	r.EndRound(now, Round{Tested: 4, Reached: 0})
	r.EndRound(now, Round{Tested: 4, Reached: 4})
	r.EndRound(now, Round{Tested: 4, Reached: 4})
	assert.Assert(t, !r.CutOff())
}

// Guards against a VM that counts as cut off as it, or its endpoints, are slow.
func TestTimeoutsWhileBytesArriveAreNoPartition(t *testing.T) {
	for name, tc := range map[string]struct {
		timedOut int
		received bool
		want     bool
	}{
		"slow":                          {timedOut: 4, received: true},
		"hangs":                         {timedOut: 4, want: true},
		"refused, older connections go": {received: true, want: true},
		"some refused, some slow":       {timedOut: 1, received: true},
	} {
		r := New()
		r.BeginRound(start)
		if tc.received {
			r.Received(start)
		}
		r.EndRound(start, Round{Tested: 4, TimedOut: tc.timedOut})
		assert.Equal(t, r.CutOff(), tc.want, name)
	}
}
