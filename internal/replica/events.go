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

// folded carries items of the config stream.
type folded struct{ items []logclient.Item }

func (e folded) apply(s *state) {
	for _, it := range e.items {
		s.fold.Apply(it)
	}
	if s.fold.Established() {
		s.adopt(s.fold.Current(), "log")
	}
}

// listed carries an answer of the VM list.
type listed struct{ vms []driver.VM }

func (e listed) apply(s *state) {
	s.table.List(s.now(), e.vms)
	rounds := max(1, (len(e.vms)+s.r.opt.Fanout-1)/s.r.opt.Fanout)
	cover := time.Duration(rounds) * s.r.opt.GossipInterval
	// A VM is suspect after two missed turns, if that is longer than set.
	suspect := max(s.r.opt.SuspectTimeout, 2*cover)
	s.table.SetSilence(suspect, max(s.r.opt.GoneTimeout, 2*suspect))
}

// self is this process's own heartbeat.
type self struct{ g *wire.Gossip }

func (e self) apply(s *state) {
	if s.r.opt.Process == processEntry {
		s.table.Heard(s.now(), heartbeatOf(e.g))
	}
}

// heard carries what a peer says.
type heard struct {
	g    *wire.Gossip
	addr string // to ask it back, empty if not known
}

func (e heard) apply(s *state) {
	g := e.g
	if g.Process == processEntry && g.Vm != "" {
		s.table.Heard(s.now(), heartbeatOf(g))
	}
	switch {
	case g.SheetVersion > s.best.Version:
		s.lag(g.Vm, e.addr)
	case g.SheetVersion == s.best.Version && g.SheetHash != s.hash && g.SheetVersion > 0:
		log.WithField("peer", g.Vm).WithField("version", g.SheetVersion).WithField("code", int(code.Internal)).
			Error("peer has another body under the same sheet version")
	}
}

func heartbeatOf(g *wire.Gossip) membership.Heartbeat {
	return membership.Heartbeat{
		VM: g.Vm, Incarnation: g.Incarnation, Leaving: g.Leaving, Ready: g.Ready, SheetVersion: g.SheetVersion,
	}
}

// lag asks a peer for its newer sheet once it has been ahead for a while.
func (s *state) lag(vm, addr string) {
	since, known := s.behind[vm]
	if !known {
		since = s.now()
		s.behind[vm] = since
	}
	waited := s.now().Sub(since) >= pullAfter || s.best.Sheet == nil
	if !waited || s.pulling || addr == "" {
		return
	}
	s.pulling = true
	above := s.best.Version
	s.r.wg.Go(func() { s.r.pull(s.ctx, addr, above) })
}

// pull asks the peer at addr for a sheet above the given version.
func (r *Replica) pull(ctx context.Context, addr string, above uint64) {
	a, err := r.fetchSheet(ctx, addr, above)
	if err != nil {
		log.WithError(err).WithField("peer", addr).Warn("no sheet from peer")
	}
	_ = r.postWait(ctx, pulled{a})
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

// pulled ends a pull, with a sheet unless it failed.
type pulled struct{ sheet fold.AcceptedSheet }

func (e pulled) apply(s *state) {
	s.pulling = false
	s.adopt(e.sheet, "peer")
}
