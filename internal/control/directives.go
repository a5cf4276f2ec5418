package control

import (
	"context"

	"fescuestand/internal/clock"
	"fescuestand/internal/membership"
	"fescuestand/internal/wire"
)

// announcement is the newest directive about one engine and the state of its delivery.
type announcement struct {
	directive    *wire.Directive
	acks         map[string]ack  // entry VM to its newest acknowledgement
	calling      map[string]bool // entry VMs with a call in progress
	allDrainedAt clock.Time      // since when every entry has acknowledged it with nothing in flight
}

type ack struct {
	incarnation string
	inFlight    uint32
}

// sendDirectives sends the entries the directives of the engines held: until each entry has
// acknowledged the directive and, while an engine isn't open, repeatedly, to poll the number of
// requests in flight.
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
			addr, vm, incarnation, d := m.Peer, m.Name, m.Incarnation, a.directive
			s.c.wg.Go(func() { s.c.sendDirective(s.ctx, e, d, addr, vm, incarnation) })
		}
	}
	s.c.directives.Store(&all)
}

// updateDirective creates a new directive when the phase or the role has changed.
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

// entries returns the VMs whose entries may have requests on an engine: all VMs that were observed
// and aren't gone, including those that are leaving or suspect.
func (s *state) entries() []membership.Member {
	var out []membership.Member
	for _, m := range s.opt.Replica.View().Members {
		if m.State != membership.Gone && m.Incarnation != "" {
			out = append(out, m)
		}
	}
	return out
}

// sendDirective sends a directive to one entry and receives its number of requests in flight.
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

// directiveSent is the result of a call to an entry.
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

// allDrained reports whether every entry has acknowledged the directive and has no requests left on
// the engine. An entry that restarted must acknowledge it again.
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

// openEverywhere reports whether every entry has been notified that the engine accepts work.
//
// It guards against this failure: the change of one engine ends, that of the next one starts, and
// an entry receives the second directive first. This entry then sees more engines unavailable than
// the limit allows. So an engine counts as unavailable until all entries have acknowledged that it
// is open again.
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

// drainedSince returns since when all entries have had no requests on an engine in its current
// phase, 0 if any entry still has.
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
