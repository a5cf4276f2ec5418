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
	// processEntry is the process whose heartbeat stands for its VM.
	processEntry = "entry"
	// callTimeout bounds one call to a peer: a frozen peer accepts the call
	// and never answers.
	callTimeout = 2 * time.Second
)

// Handle answers a peer's request if it is this package's: gossip and sheets.
// Others get nil.
func (r *Replica) Handle(req *wire.PeerRequest) *wire.PeerResponse {
	switch k := req.GetKind().(type) {
	case *wire.PeerRequest_Gossip:
		r.hear(k.Gossip, r.addressOf(k.Gossip.GetVm()))
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

func (r *Replica) hear(g *wire.Gossip, addr string) {
	r.post(heard{g, addr})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.listeners {
		f(g)
	}
}

// compose returns what this process says now.
func (r *Replica) compose() *wire.Gossip {
	v := r.View()
	g := &wire.Gossip{
		Vm: r.opt.VM, Incarnation: r.opt.Incarnation, Process: r.opt.Process,
		Leaving: r.leaving.Load(), Ready: v.Ready, SheetVersion: v.Version, SheetHash: v.Hash,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.contributors {
		f(g)
	}
	return g
}

// gossip asks a few peers each round, in turns, and all of them when urgent.
func (r *Replica) gossip(ctx context.Context) error {
	tick := time.NewTicker(r.opt.GossipInterval)
	defer tick.Stop()
	var turns []string
	var wg sync.WaitGroup
	defer wg.Wait()
	busy := &inFlight{vms: map[string]bool{}}
	for {
		all := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.urgent:
			all = true
		case <-tick.C:
		}
		r.post(self{r.compose()})
		peers := r.peers()
		var round []string
		round, turns = nextRound(peers, turns, r.opt.Fanout, all)
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

// peers returns the address of every other VM's entry by VM; a control process
// talks to its own VM's entry too.
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

// nextRound takes the peers whose turn it is and returns the rest. When the
// turns are over, they begin anew in another order, so that processes don't
// all ask the same peer at once.
func nextRound(peers map[string]string, turns []string, fanout int, all bool) (round, rest []string) {
	if all {
		turns, fanout = nil, len(peers)
	}
	if len(turns) == 0 {
		for vm := range peers {
			turns = append(turns, vm)
		}
		rand.Shuffle(len(turns), func(i, j int) { turns[i], turns[j] = turns[j], turns[i] })
	}
	n := min(fanout, len(turns))
	for _, vm := range turns[:n] {
		if peers[vm] != "" {
			round = append(round, vm)
		}
	}
	return round, turns[n:]
}

// exchange tells one peer and hears its answer.
func (r *Replica) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_Gossip{Gossip: r.compose()}}
	resp, err := r.opt.Peers.Call(ctx, addr, req)
	if g := resp.GetGossip(); err == nil && g != nil {
		r.hear(g, addr)
	}
}

// inFlight keeps a slow peer from gathering calls.
//
// Failure: a VM is told to leave while a call to a peer is under way, which was
// composed before. Skipped as busy, that peer would hear of it a round of turns
// later and go on naming the VM to callers. An urgent call is not skipped but
// made as soon as the one under way has ended.
type inFlight struct {
	mu  sync.Mutex
	vms map[string]bool // whether another call has to follow
}

// start tells whether the caller is to make the call.
func (f *inFlight) start(vm string, urgent bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if follow, busy := f.vms[vm]; busy {
		f.vms[vm] = follow || urgent
		return false
	}
	f.vms[vm] = false
	return true
}

// end tells whether the call has to be made again.
func (f *inFlight) end(vm string) (again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.vms[vm] {
		f.vms[vm] = false
		return true
	}
	delete(f.vms, vm)
	return false
}

// followList reads the VM list again and again; while it is down the last
// answer stands.
func (r *Replica) followList(ctx context.Context) error {
	down := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := r.opt.VMs.List(callCtx)
		cancel()
		if err == nil {
			if err := r.postWait(ctx, listed{vms}); err != nil {
				return err
			}
		}
		if failed := err != nil; failed != down && ctx.Err() == nil {
			down = failed
			log.WithError(err).WithField("down", down).WithField("code", int(code.VMListDown)).Warn("VM list")
		}
		wait := time.NewTimer(listEvery/2 + rand.N(listEvery))
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-wait.C:
		}
	}
}
