package gossip

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/clock"
	"fescuestand/internal/freshness"
)

// tracked is a freshness tracker that records the newest version in the answers.
type tracked struct {
	*freshness.Tracker
	mu     sync.Mutex
	newest uint64
}

func newTracked() *tracked {
	return &tracked{Tracker: freshness.New(clock.Boot{}, freshness.Limits{MaxAcceptAge: time.Minute})}
}

func (k *tracked) MergeAnswer(_ string, askedAt clock.Time, age time.Duration, version uint64) {
	k.mu.Lock()
	k.newest = max(k.newest, version)
	k.mu.Unlock()
	k.Tracker.MergeAnswer(askedAt, age, version)
}

// Guards against a VM that the store rejects and that gets no answer on the configuration's age
// from its peers.
func TestVMWithoutStoreGetsConfigFreshnessFromPeers(t *testing.T) {
	reader, other := newTracked(), newTracked()
	reader.RecordInForce(7, true)
	reader.RecordRead(clock.Boot{}.Now())
	h := &hub{}
	ua, a := startWithFreshness(t, h, reader)
	_, b := startWithFreshness(t, h, other)
	a.MergeListed([]Node{b.own})
	b.MergeListed([]Node{a.own})
	assert.Assert(t, ua.Freshness != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		other.mu.Lock()
		defer other.mu.Unlock()
		if other.newest == 7 {
			return poll.Success()
		}
		return poll.Continue("no answer with the version")
	}, poll.WithTimeout(10*time.Second))
	_, _, confirmed := other.Age()
	assert.Assert(t, !confirmed, "the version isn't in force yet")
	other.RecordInForce(7, true)
	age, _, confirmed := other.Age()
	assert.Assert(t, confirmed)
	readerAge, _, _ := reader.Age()
	assert.Assert(t, age >= 0 && age <= readerAge+time.Second)
}

// Guards against queries that grow with the number of VMs, and against queries to VMs that can't
// answer them.
func TestFreshnessQueriesGoToActiveSet(t *testing.T) {
	for _, n := range []int{20, 200, 1000} {
		_, m := many(n, standby(t, n))
		assert.Assert(t, !m.IsActive())
		queried := map[string]bool{}
		for range 200 {
			for _, peer := range m.freshnessSources(urgentQueryFanout) {
				queried[peer] = true
				_, active := m.selected.active[peer]
				assert.Assert(t, active, "%d VMs: %s", n, peer)
			}
		}
		assert.Assert(t, len(queried) > urgentQueryFanout, "%d VMs", n)
	}
}
