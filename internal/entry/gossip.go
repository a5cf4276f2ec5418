package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/entry/dispatch"
	"fescuestand/internal/wire"
)

// exchangeTimeout bounds one exchange of evidence: a peer that takes longer
// hears of it by the usual gossip.
const exchangeTimeout = 100 * time.Millisecond

func seedOf(incarnation string) uint64 { return xxhash.Sum64String(incarnation) }

// contribute adds what this entry measured to its gossip.
func (u *Unit) contribute(g *wire.Gossip) {
	queues := u.dispatch.Queues()
	for name, t := range u.dispatch.Counts().Snapshot() {
		g.Pools = append(g.Pools, poolLoad(name, t, queues[name]))
	}
	g.Crashes = u.suspects.EvidenceForPeers(u.o.Clock.Now())
}

func poolLoad(name string, t dispatch.Totals, q dispatch.Queued) *wire.PoolLoad {
	return &wire.PoolLoad{
		Pool: name, Requests: t.Requests, PromptTokens: t.PromptTokens, OutputTokens: t.OutputTokens,
		Refused: t.Refused, OnTime: t.OnTime, Queued: uint32(q.Requests), QueuedPromptTokens: uint64(q.PromptTokens),
	}
}

// hear takes what a peer says that matters to traffic.
func (u *Unit) hear(g *wire.Gossip) {
	for _, d := range g.GetDirectives() {
		u.fleet.Hint(d)
	}
	u.suspects.MergeFromPeer(u.o.Clock.Now(), g.GetCrashes())
}

// exchangeEvidence sends this entry's crash evidence to every peer at once and
// takes in theirs. It is no heartbeat: it names no process.
func (u *Unit) exchangeEvidence(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_Gossip{Gossip: &wire.Gossip{
		Crashes: u.suspects.EvidenceForPeers(u.o.Clock.Now()),
	}}}
	var wg sync.WaitGroup
	for _, addr := range u.backend.peers() {
		wg.Go(func() {
			if resp, err := u.o.Peers.Call(ctx, addr, req); err == nil {
				u.hear(resp.GetGossip())
			}
		})
	}
	wg.Wait()
}
