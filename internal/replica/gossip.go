package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

const (
	// processEntry is the process whose heartbeat counts as the heartbeat of its VM.
	processEntry = "entry"
	// callTimeout bounds one call to a peer: a frozen peer accepts the call and never answers.
	callTimeout = 2 * time.Second
)

// Handle answers gossip and sheet requests of peers. It returns nil for other requests.
func (r *Replica) Handle(req *wire.PeerRequest) *wire.PeerResponse {
	switch k := req.GetKind().(type) {
	case *wire.PeerRequest_Gossip:
		r.receive(k.Gossip, r.addressOf(k.Gossip.GetVm()))
		return &wire.PeerResponse{Kind: &wire.PeerResponse_Gossip{Gossip: r.compose()}}
	case *wire.PeerRequest_GetSheet:
		return r.serveSheet(k.GetSheet.GetAbove())
	}
	return nil
}

func (r *Replica) serveSheet(above uint64) *wire.PeerResponse {
	v := r.View()
	if !v.Ready || v.Version <= above {
		return &wire.PeerResponse{Code: uint32(code.NotReady), Detail: "no sheet above that version"}
	}
	return &wire.PeerResponse{Kind: &wire.PeerResponse_Sheet{
		Sheet: &wire.SheetBody{Version: v.Version, Body: v.Body, Hash: v.Hash},
	}}
}

func (r *Replica) addressOf(vm string) string {
	if m := r.View().Member(vm); m != nil {
		return m.Peer
	}
	return ""
}

func (r *Replica) receive(g *wire.Gossip, addr string) {
	r.tryPost(peerGossip{g, addr})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.listeners {
		f(g)
	}
}

// compose returns the current gossip message of this process.
func (r *Replica) compose() *wire.Gossip {
	v := r.View()
	g := &wire.Gossip{
		Vm: r.opt.VM, Incarnation: r.opt.Incarnation, Process: r.opt.Process,
		Leaving: r.leaving.Load(), Ready: v.Ready, SheetVersion: v.Version, SheetHash: v.Hash,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.composeFuncs {
		f(g)
	}
	return g
}

// gossip calls a few peers in each round, in random order until all have been called, and all of
// them in an urgent round.
func (r *Replica) gossip(ctx context.Context) error {
	tick := time.NewTicker(r.opt.GossipInterval)
	defer tick.Stop()
	var remaining []string
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := &inFlight{callAgain: map[string]bool{}}
	for {
		all := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.urgent:
			all = true
		case <-tick.C:
		}
		r.tryPost(ownGossip{r.compose()})
		peers := r.peers()
		var round []string
		round, remaining = nextRound(peers, remaining, r.opt.Fanout, all)
		for _, vm := range round {
			if addr := peers[vm]; busy.start(vm, all) {
				wg.Go(func() {
					for again := true; again; again = busy.end(vm) && ctx.Err() == nil {
						r.exchange(ctx, addr)
					}
				})
			}
		}
	}
}

// peers returns the addresses of the other VMs' entries by VM. A control process also exchanges
// gossip with the entry of its own VM.
func (r *Replica) peers() map[string]string {
	out := map[string]string{}
	for _, m := range r.View().Members {
		own := m.Name == r.opt.VM && r.opt.Process == processEntry
		if m.Peer != "" && !own && (m.Listed || m.State != membership.Gone) {
			out[m.Name] = m.Peer
		}
	}
	return out
}

// nextRound returns the peers of the next round and those that remain for later rounds. When none
// remain it starts over in a new random order, so that the processes don't all call the same peer
// at once.
func nextRound(peers map[string]string, remaining []string, fanout int, all bool) (round, rest []string) {
	if all {
		remaining, fanout = nil, len(peers)
	}
	if len(remaining) == 0 {
		for vm := range peers {
			remaining = append(remaining, vm)
		}
		rand.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
	}
	n := min(fanout, len(remaining))
	for _, vm := range remaining[:n] {
		if peers[vm] != "" {
			round = append(round, vm)
		}
	}
	return round, remaining[n:]
}

// exchange sends gossip to one peer and receives its answer.
func (r *Replica) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_Gossip{Gossip: r.compose()}}
	resp, err := r.opt.Peers.Call(ctx, addr, req)
	if g := resp.GetGossip(); err == nil && g != nil {
		r.receive(g, addr)
	}
}

// inFlight allows one call at a time to each peer, so that calls to a slow peer don't accumulate.
//
// Failure: a VM starts to leave during a call to a peer whose message was composed before. If that
// peer were skipped as busy, it would receive the announcement only when its turn comes again, and
// would go on advertising the VM to callers until then. Therefore an urgent call to a busy peer is
// made as soon as the current one ends.
type inFlight struct {
	mu        sync.Mutex
	callAgain map[string]bool // by VM with a call in flight: whether another call must follow
}

// start reports whether the caller may make the call now.
func (f *inFlight) start(vm string, urgent bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if again, busy := f.callAgain[vm]; busy {
		f.callAgain[vm] = again || urgent
		return false
	}
	f.callAgain[vm] = false
	return true
}

// end reports whether the call must be made again.
func (f *inFlight) end(vm string) (again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callAgain[vm] {
		f.callAgain[vm] = false
		return true
	}
	delete(f.callAgain, vm)
	return false
}

// pollVMList reads the VM list periodically. While it is unavailable, the last answer remains
// valid.
func (r *Replica) pollVMList(ctx context.Context) error {
	down := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := r.opt.VMs.List(callCtx)
		cancel()
		if err == nil {
			if err := r.postWait(ctx, vmsListed{vms}); err != nil {
				return err
			}
		}
		if failed := err != nil; failed != down && ctx.Err() == nil {
			down = failed
			log.WithError(err).WithField("down", down).WithField("code", int(code.VMListDown)).Warn("VM list availability changed")
		}
		wait := time.NewTimer(listInterval/2 + rand.N(listInterval))
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-wait.C:
		}
	}
}
