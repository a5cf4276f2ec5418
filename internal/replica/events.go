package replica

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient"
	"fescuestand/internal/membership"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// itemsRead has new items of the config stream.
type itemsRead struct{ items []logclient.Item }

func (e itemsRead) apply(s *state) {
	for _, it := range e.items {
		s.fold.Apply(it)
	}
	if s.fold.Established() {
		s.adopt(s.fold.Current(), "log")
	}
}

// vmsListed has an answer of the VM list.
type vmsListed struct{ vms []driver.VM }

func (e vmsListed) apply(s *state) {
	s.table.MergeListed(s.now(), e.vms)
	rounds := max(1, (len(e.vms)+s.r.opt.Fanout-1)/s.r.opt.Fanout)
	cycle := time.Duration(rounds) * s.r.opt.GossipInterval
	// A VM is suspect after it missed two cycles of rounds, if that is longer than the configured
	// timeout.
	suspect := max(s.r.opt.SuspectTimeout, 2*cycle)
	s.table.SetTimeouts(suspect, max(s.r.opt.GoneTimeout, 2*suspect))
}

// ownGossip has this process's own heartbeat.
type ownGossip struct{ g *wire.Gossip }

func (e ownGossip) apply(s *state) {
	if s.r.opt.Process == processEntry {
		s.table.ReceiveHeartbeat(s.now(), heartbeatOf(e.g))
	}
}

// peerGossip has a gossip message of a peer.
type peerGossip struct {
	g    *wire.Gossip
	addr string // address of the peer, empty if unknown
}

func (e peerGossip) apply(s *state) {
	g := e.g
	if g.Process == processEntry && g.Vm != "" {
		s.table.ReceiveHeartbeat(s.now(), heartbeatOf(g))
	}
	switch {
	case g.SheetVersion > s.inForce.Version:
		s.recordPeerAhead(g.Vm, e.addr)
	case g.SheetVersion == s.inForce.Version && g.SheetHash != s.hash && g.SheetVersion > 0:
		log.WithField("peer", g.Vm).WithField("version", g.SheetVersion).WithField("code", int(code.Internal)).
			Error("peer has a different sheet of the same version")
	}
}

func heartbeatOf(g *wire.Gossip) membership.Heartbeat {
	return membership.Heartbeat{
		VM: g.Vm, Incarnation: g.Incarnation, Leaving: g.Leaving, Ready: g.Ready, SheetVersion: g.SheetVersion,
	}
}

// recordPeerAhead requests a peer's newer sheet once the peer has been ahead for pullDelay, or
// immediately if no sheet is in force.
func (s *state) recordPeerAhead(vm, addr string) {
	since, tracked := s.aheadSince[vm]
	if !tracked {
		since = s.now()
		s.aheadSince[vm] = since
	}
	waited := s.now().Sub(since) >= pullDelay || s.inForce.Sheet == nil
	if !waited || s.pullInFlight || addr == "" {
		return
	}
	s.pullInFlight = true
	above := s.inForce.Version
	s.r.wg.Go(func() { s.r.pull(s.ctx, addr, above) })
}

// pull requests a sheet above the given version from the peer at addr.
func (r *Replica) pull(ctx context.Context, addr string, above uint64) {
	a, err := r.fetchSheet(ctx, addr, above)
	if err != nil {
		log.WithError(err).WithField("peer", addr).Warn("fetching the sheet from a peer failed")
	}
	_ = r.postWait(ctx, sheetPulled{a})
}

func (r *Replica) fetchSheet(ctx context.Context, addr string, above uint64) (fold.AcceptedSheet, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.PeerRequest{Kind: &wire.PeerRequest_GetSheet{GetSheet: &wire.GetSheet{Above: above}}}
	resp, err := r.opt.Peers.Call(ctx, addr, req)
	if err != nil {
		return fold.AcceptedSheet{}, err
	}
	body := resp.GetSheet()
	if body == nil {
		return fold.AcceptedSheet{}, code.New(code.Code(resp.GetCode()), "%s", resp.GetDetail())
	}
	if xxhash.Sum64(body.Body) != body.Hash {
		return fold.AcceptedSheet{}, code.New(code.BadAnswer, "sheet %d does not match its hash", body.Version)
	}
	s, err := sheet.Parse("peer", body.Body)
	if err != nil {
		return fold.AcceptedSheet{}, err
	}
	return fold.AcceptedSheet{Version: body.Version, Body: body.Body, Sheet: s}, nil
}

// sheetPulled ends a pull; sheet is empty if it failed.
type sheetPulled struct{ sheet fold.AcceptedSheet }

func (e sheetPulled) apply(s *state) {
	s.pullInFlight = false
	s.adopt(e.sheet, "peer")
}
