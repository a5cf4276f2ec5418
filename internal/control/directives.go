package control

import (
	"context"

	"fescuestand/internal/clock"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

// announcement is the newest directive about one engine and who knows it.
type announcement struct {
	directive *wire.Directive
	acks      map[string]ack // entry VM to its newest acknowledgement
	busy      map[string]bool
	whole     clock.Time // since when every entry had acknowledged it with no work
}

type ack struct {
	incarnation string
	inFlight    uint32
}

// announce tells the entries what to do with the engines held: until each has
// acknowledged it, and while an engine isn't open again and again, to learn
// what is still in flight there.
func (s *state) announce() {
	members := s.entries()
	var all []*wire.Directive
	for _, e := range s.held() {
		if !e.known || e.releasing == e.token {
			continue
		}
		s.renewDirective(e)
		a := &e.announced
		open := a.directive.Phase == wire.Phase_PHASE_OPEN
		if !open {
			all = append(all, a.directive)
		}
		for _, m := range members {
			done := a.told(&m) && (open || a.acks[m.Name].inFlight == 0 && a.whole > 0)
			if done || a.busy[m.Name] || m.Peer == "" {
				continue
			}
			a.busy[m.Name] = true
			addr, vm, inc, d := m.Peer, m.Name, m.Incarnation, a.directive
			s.c.wg.Go(func() { s.c.direct(s.ctx, e, d, addr, vm, inc) })
		}
	}
	s.c.directives.Store(&all)
}

// renewDirective makes a new directive when the phase or role has changed.
func (s *state) renewDirective(e *engine) {
	a := &e.announced
	phase, role := e.phase(), string(s.pools[e.pool].role(e))
	if d := a.directive; d != nil && d.Phase == phase && d.Role == role {
		return
	}
	seq := uint64(1)
	if a.directive != nil {
		seq = a.directive.Seq + 1
	}
	e.announced = announcement{
		directive: &wire.Directive{Engine: e.name, Fence: e.token, Seq: seq, Phase: phase, Role: role},
		acks:      map[string]ack{}, busy: map[string]bool{},
	}
}

// entries returns the VMs whose entries may have work on an engine: all that
// were heard and aren't gone, leaving and suspect ones too.
func (s *state) entries() []membership.Member {
	var out []membership.Member
	for _, m := range s.opt.Replica.View().Members {
		if m.State != membership.Gone && m.Incarnation != "" {
			out = append(out, m)
		}
	}
	return out
}

// direct tells one entry and hears what it still has on the engine.
func (c *Control) direct(ctx context.Context, e *engine, d *wire.Directive, addr, vm, incarnation string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.opt.Peers.Call(call, addr, &wire.PeerRequest{Kind: &wire.PeerRequest_Directive{Directive: d}})
	r := directed{e: e, directive: d, vm: vm, incarnation: incarnation}
	if k := resp.GetDirectiveAck(); err == nil && k != nil {
		r.ok, r.inFlight = true, k.InFlight
	}
	_ = c.postWait(ctx, r)
}

// directed ends a call to an entry.
type directed struct {
	e           *engine
	directive   *wire.Directive
	vm          string
	incarnation string
	ok          bool
	inFlight    uint32
}

func (r directed) apply(s *state) {
	a := &r.e.announced
	if a.directive != r.directive {
		return
	}
	delete(a.busy, r.vm)
	if !r.ok {
		return
	}
	a.acks[r.vm] = ack{incarnation: r.incarnation, inFlight: r.inFlight}
	if !a.complete(s.entries()) {
		a.whole = 0
	} else if a.whole == 0 {
		a.whole = s.now()
	}
}

// complete reports whether every entry knows the directive and has nothing
// left on the engine. An entry that restarted has to be told again.
func (a *announcement) complete(entries []membership.Member) bool {
	for _, m := range entries {
		if !a.told(&m) || a.acks[m.Name].inFlight > 0 {
			return false
		}
	}
	return true
}

func (a *announcement) told(m *membership.Member) bool {
	k, known := a.acks[m.Name]
	return known && k.incarnation == m.Incarnation
}

// isOpen reports whether every entry knows that the engine takes work.
//
// Failure: one engine's change ends, the next one's begins, and an entry hears
// of the second first: for it more engines are away than the share allows. An
// engine stays counted as away until all have heard that it is back.
func (s *state) isOpen(e *engine) bool {
	d := e.announced.directive
	if d == nil || d.Phase != wire.Phase_PHASE_OPEN || e.phase() != wire.Phase_PHASE_OPEN {
		return false
	}
	for _, m := range s.entries() {
		if !e.announced.told(&m) {
			return false
		}
	}
	return true
}

// acked returns since when all entries have let go of an engine in its present
// phase, 0 if one has not.
func (a *announcement) acked(s *state, e *engine) clock.Time {
	d := a.directive
	if d == nil || d.Phase != e.phase() || a.whole == 0 {
		return 0
	}
	if !a.complete(s.entries()) {
		a.whole = 0
	}
	return a.whole
}
