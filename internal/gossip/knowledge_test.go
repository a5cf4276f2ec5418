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

// tracked is a VM's knowledge, which answers raise.
type tracked struct {
	*freshness.Tracker
	mu    sync.Mutex
	heard uint64
}

func newTracked() *tracked {
	return &tracked{Tracker: freshness.New(clock.Boot{}, freshness.Limits{MaxAcceptAge: time.Minute})}
}

func (k *tracked) MergeAnswer(_ string, askedAt clock.Time, age time.Duration, version uint64) {
	k.mu.Lock()
	k.heard = max(k.heard, version)
	k.mu.Unlock()
	k.Tracker.MergeAnswer(askedAt, age, version)
}

// Guards against a VM that the store turns away and that no peer tells how new the configuration is.
func TestAVMWithoutTheStoreLearnsFromOthersHowNewItsConfigurationIs(t *testing.T) {
	reader, other := newTracked(), newTracked()
	reader.RecordInForce(7)
	reader.RecordRead(clock.Boot{}.Now())
	h := &hub{}
	ua, a := startKnowing(t, h, reader)
	_, b := startKnowing(t, h, other)
	a.MergeListed([]Node{b.own})
	b.MergeListed([]Node{a.own})
	assert.Assert(t, ua.Freshness != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		other.mu.Lock()
		defer other.mu.Unlock()
		if other.heard == 7 {
			return poll.Success()
		}
		return poll.Continue("version not heard")
	}, poll.WithTimeout(10*time.Second))
	_, _, known := other.Age()
	assert.Assert(t, !known, "the version isn't in force yet")
	other.RecordInForce(7)
	age, _, known := other.Age()
	assert.Assert(t, known)
	readerAge, _, _ := reader.Age()
	assert.Assert(t, age >= 0 && age <= readerAge+time.Second)
}

// Guards against questions that grow with the number of VMs, and against ones that nobody asked can answer.
func TestQuestionsGoToTheActiveSet(t *testing.T) {
	for _, n := range []int{20, 200, 1000} {
		_, m := many(n, standby(t, n))
		assert.Assert(t, !m.IsActive())
		asked := map[string]bool{}
		for range 200 {
			for _, peer := range m.informants(askedAtOnce) {
				asked[peer] = true
				_, active := m.chosen.active[peer]
				assert.Assert(t, active, "%d VMs: %s", n, peer)
			}
		}
		assert.Assert(t, len(asked) > askedAtOnce, "%d VMs", n)
	}
}
