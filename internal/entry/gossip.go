package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/wire"
)

// evidenceExchangeTimeout bounds one exchange of crash evidence. A peer that answers later receives
// the evidence by regular gossip.
const evidenceExchangeTimeout = 100 * time.Millisecond

func seedOf(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

// addMeasurements adds the load per pool and the crash evidence of this entry to its gossip.
func (u *Unit) addMeasurements(g *wire.Gossip) {
	queues := u.dispatch.Queues()
	for name, t := range u.dispatch.Counts().Snapshot() {
		g.Pools = append(g.Pools, poolLoad(name, t, queues[name]))
	}
	g.Crashes = u.suspects.EvidenceForPeers(u.opts.Clock.Now())
}

func poolLoad(name string, t dispatch.Totals, q dispatch.Queued) *wire.PoolLoad {
	return &wire.PoolLoad{
		Pool: name, Requests: t.Requests, PromptTokens: t.PromptTokens, OutputTokens: t.OutputTokens,
		Refused: t.Refused, OnTime: t.OnTime, Queued: uint32(q.Requests), QueuedPromptTokens: uint64(q.PromptTokens),
	}
}

// receiveGossip applies the directives and merges the crash evidence of a peer's gossip.
func (u *Unit) receiveGossip(g *wire.Gossip) {
	for _, d := range g.GetDirectives() {
		u.fleet.Hint(d)
	}
	u.suspects.MergeFromPeer(u.opts.Clock.Now(), g.GetCrashes())
}

// exchangeCrashEvidence sends this entry's crash evidence to all peers concurrently and merges
// theirs. The message is no heartbeat, as it names no process.
func (u *Unit) exchangeCrashEvidence(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, evidenceExchangeTimeout)
	defer cancel()
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_Gossip{Gossip: &wire.Gossip{
		Crashes: u.suspects.EvidenceForPeers(u.opts.Clock.Now()),
	}}}
	var wg sync.WaitGroup
	for _, addr := range u.backend.peerAddresses() {
		wg.Go(func() {
			if resp, err := u.opts.Peers.Call(ctx, addr, req); err == nil {
				u.receiveGossip(resp.GetGossip())
			}
		})
	}
	wg.Wait()
}
