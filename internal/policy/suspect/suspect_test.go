package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/clock"
	"fescuestand/internal/wire"
)

const (
	crashing  = 1
	coRunning = 2
)

// Guards against blaming requests that merely shared an engine with a crashing request. Requests that
// had already produced tokens stop being suspects once the crashing request is recorded, and that
// request is quarantined after its second crash.
func TestCoRunningRequestsAreNotQuarantined(t *testing.T) {
	r := NewRegister()
	first, second := Crash{"e1", "a"}, Crash{"e2", "b"}
	r.Add(0, Evidence{first, coRunning, Progressed})
	assert.Equal(t, r.Judge(0, coRunning), Suspect)
	r.Add(0, Evidence{first, crashing, Fresh})
	assert.Equal(t, r.Judge(0, coRunning), NotSuspected)
	assert.Equal(t, r.Judge(0, crashing), Suspect)
	r.Add(0, Evidence{second, coRunning, Fresh})
	r.Add(0, Evidence{second, crashing, Repeated})
	assert.Equal(t, r.Judge(0, crashing), Quarantined)
	assert.Equal(t, r.Judge(0, coRunning), NotSuspected)
	assert.Equal(t, r.Judge(clock.Time(evidenceTTL+time.Second), crashing), NotSuspected)
}

// Guards against quarantining a request for a single crash that several entries observed or that
// gossip delivered again.
func TestOneCrashCountsOnce(t *testing.T) {
	r := NewRegister()
	for range 5 {
		r.Add(0, Evidence{Crash{"e1", "a"}, crashing, Fresh})
		r.MergeFromPeer(0, r.EvidenceForPeers(0))
	}
	assert.Equal(t, r.Judge(0, crashing), Suspect)
	r.Clear(0, crashing)
	assert.Equal(t, r.Judge(0, crashing), NotSuspected)
	r.Add(0, Evidence{Crash{"e2", "a"}, crashing, Fresh})
	assert.Equal(t, r.Judge(0, crashing), Quarantined)
}

// Guards against entries reaching different verdicts because gossip delivered the same evidence in a
// different order.
func TestVerdictIsIndependentOfGossipOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []*wire.CrashEvidence
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			list = append(list, &wire.CrashEvidence{
				Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "fp"),
				Endpoint:    rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "endpoint"),
				Strength:    rapid.Uint32Range(0, 2).Draw(t, "strength"),
			})
		}
		a, b := NewRegister(), NewRegister()
		a.MergeFromPeer(0, list)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, e := range list {
			b.MergeFromPeer(0, []*wire.CrashEvidence{e})
		}
		for fp := uint64(1); fp <= 4; fp++ {
			assert.Equal(t, a.Judge(0, fp), b.Judge(0, fp))
		}
	})
}
