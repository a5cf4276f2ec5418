package control

import (
	"context"

	"fescuestand/internal/clock"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

// announcement is the newest directive about one engine and who knows it.
type announcement struct {
	directive    *wire.Directive
	acks         map[string]ack // entry VM to its newest acknowledgement
	calling      map[string]bool
	allDrainedAt clock.Time // since when every entry had acknowledged it with no work
}

type ack struct {
	incarnation string
	inFlight    uint32
}

// announce tells the entries what to do with the engines held: until each has
// acknowledged it, and while an engine isn't open again and again, to learn
// what is still in flight there.
func (s *state) sendDirectives() {
	members := s.entries()
	var all []*wire.Directive
	for _, e := range s.heldEngines() {
		if !e.stateRead || e.releasingToken == e.token {
			continue
		}
		s.updateDirective(e)
		a := &e.announcement
		open := a.directive.Phase == wire.Phase_PHASE_OPEN
		if !open {
			all = append(all, a.directive)
		}
		for _, m := range members {
			done := a.ackedBy(&m) && (open || a.acks[m.Name].inFlight == 0 && a.allDrainedAt > 0)
			if done || a.calling[m.Name] || m.Peer == "" {
				continue
			}
			a.calling[m.Name] = true
			addr, vm, inc, d := m.Peer, m.Name, m.Incarnation, a.directive
			s.c.wg.Go(func() { s.c.sendDirective(s.ctx, e, d, addr, vm, inc) })
		}
	}
	s.c.directives.Store(&all)
}

// renewDirective makes a new directive when the phase or role has changed.
func (s *state) updateDirective(e *engine) {
	a := &e.announcement
	phase, role := e.phase(), string(s.pools[e.pool].role(e))
	if d := a.directive; d != nil && d.Phase == phase && d.Role == role {
		return
	}
	seq := uint64(1)
	if a.directive != nil {
		seq = a.directive.Seq + 1
	}
	e.announcement = announcement{
		directive: &wire.Directive{Engine: e.name, Fence: e.token, Seq: seq, Phase: phase, Role: role},
		acks:      map[string]ack{}, calling: map[string]bool{},
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
func (c *Control) sendDirective(ctx context.Context, e *engine, d *wire.Directive, addr, vm, incarnation string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.opt.Peers.Call(call, addr, &wire.PeerRequest{Kind: &wire.PeerRequest_Directive{Directive: d}})
	r := directiveSent{e: e, directive: d, vm: vm, incarnation: incarnation}
	if k := resp.GetDirectiveAck(); err == nil && k != nil {
		r.acked, r.inFlight = true, k.InFlight
	}
	_ = c.postBlocking(ctx, r)
}

// directed ends a call to an entry.
type directiveSent struct {
	e           *engine
	directive   *wire.Directive
	vm          string
	incarnation string
	acked       bool
	inFlight    uint32
}

func (r directiveSent) apply(s *state) {
	a := &r.e.announcement
	if a.directive != r.directive {
		return
	}
	delete(a.calling, r.vm)
	if !r.acked {
		return
	}
	a.acks[r.vm] = ack{incarnation: r.incarnation, inFlight: r.inFlight}
	if !a.allDrained(s.entries()) {
		a.allDrainedAt = 0
	} else if a.allDrainedAt == 0 {
		a.allDrainedAt = s.now()
	}
}

// complete reports whether every entry knows the directive and has nothing
// left on the engine. An entry that restarted has to be told again.
func (a *announcement) allDrained(entries []membership.Member) bool {
	for _, m := range entries {
		if !a.ackedBy(&m) || a.acks[m.Name].inFlight > 0 {
			return false
		}
	}
	return true
}

func (a *announcement) ackedBy(m *membership.Member) bool {
	k, ok := a.acks[m.Name]
	return ok && k.incarnation == m.Incarnation
}

// isOpen reports whether every entry knows that the engine takes work.
//
// Failure: one engine's change ends, the next one's begins, and an entry hears
// of the second first: for it more engines are away than the share allows. An
// engine stays counted as away until all have heard that it is back.
func (s *state) openEverywhere(e *engine) bool {
	d := e.announcement.directive
	if d == nil || d.Phase != wire.Phase_PHASE_OPEN || e.phase() != wire.Phase_PHASE_OPEN {
		return false
	}
	for _, m := range s.entries() {
		if !e.announcement.ackedBy(&m) {
			return false
		}
	}
	return true
}

// acked returns since when all entries have let go of an engine in its present
// phase, 0 if one has not.
func (a *announcement) drainedSince(s *state, e *engine) clock.Time {
	d := a.directive
	if d == nil || d.Phase != e.phase() || a.allDrainedAt == 0 {
		return 0
	}
	if !a.allDrained(s.entries()) {
		a.allDrainedAt = 0
	}
	return a.allDrainedAt
}
