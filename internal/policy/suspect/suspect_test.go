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
	guilty    = 1
	neighbour = 2
)

// A request crashes its engine as soon as it arrives; drafts that were half
// written share the engine. The drafts must be resumed as innocents, and the
// second engine that the request costs must be the last.
func TestNeighboursAreNotConvicted(t *testing.T) {
	r := NewRegister()
	first, second := Crash{"e1", "a"}, Crash{"e2", "b"}
	r.Add(0, Evidence{first, neighbour, Progressed})
	assert.Equal(t, r.Judge(0, neighbour), Suspect)
	r.Add(0, Evidence{first, guilty, Fresh})
	assert.Equal(t, r.Judge(0, neighbour), NotSuspected)
	assert.Equal(t, r.Judge(0, guilty), Suspect)
	r.Add(0, Evidence{second, neighbour, Fresh})
	r.Add(0, Evidence{second, guilty, Repeated})
	assert.Equal(t, r.Judge(0, guilty), Quarantined)
	assert.Equal(t, r.Judge(0, neighbour), NotSuspected)
	assert.Equal(t, r.Judge(clock.Time(keep+time.Second), guilty), NotSuspected)
}

// The same crash seen by several entries, or told again by gossip, costs a
// request no second engine.
func TestOneCrashCountsOnce(t *testing.T) {
	r := NewRegister()
	for range 5 {
		r.Add(0, Evidence{Crash{"e1", "a"}, guilty, Fresh})
		r.MergeFromPeer(0, r.EvidenceForPeers(0))
	}
	assert.Equal(t, r.Judge(0, guilty), Suspect)
	r.Clear(0, guilty)
	assert.Equal(t, r.Judge(0, guilty), NotSuspected)
	r.Add(0, Evidence{Crash{"e2", "a"}, guilty, Fresh})
	assert.Equal(t, r.Judge(0, guilty), Quarantined)
}

// Whatever order gossip brings the evidence in, entries judge alike.
func TestOrderOfGossipDoesNotMatter(t *testing.T) {
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
