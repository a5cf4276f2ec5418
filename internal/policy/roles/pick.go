package roles

import (
	"cmp"
	"slices"
)

// own returns the engines of a role that this process may move, the one whose
// change hurts least first.
func (p *Planner) own(from Role) []Engine {
	if !p.cfg.Guards.NoTurn && p.turn(from) != p.cfg.Self {
		p.hold = HoldTurn
		return nil
	}
	var own []Engine
	for _, e := range p.snap.Engines {
		if e.Holder == p.cfg.Self && movable(e, from) {
			own = append(own, e)
		}
	}
	if len(own) == 0 {
		p.hold = HoldTurn
	}
	slices.SortFunc(own, lessHurt)
	return own
}

func movable(e Engine, from Role) bool {
	return e.Role == from && e.State == Ready && e.ReportAge >= 0 && e.ReportAge <= MaxReportAge
}

// lessHurt orders engines by what their callers lose: streams that have to
// drain, requests that have to be sent elsewhere, cache that is computed anew.
func lessHurt(a, b Engine) int {
	return cmp.Or(
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(a.Queued, b.Queued),
		cmp.Compare(a.CachedPieces, b.CachedPieces),
		cmp.Compare(a.Name, b.Name),
	)
}

// turn returns the process that may move an engine out of a role: the one that
// holds most ready engines of it, the first by name among equals. Claims and
// settled roles are the same on every process, whereas loads are not: without
// a turn, two planners that see one shortage through reports of different age
// each move an engine of their own, and the pool ends with the shortage on the
// other side.
func (p *Planner) turn(from Role) string {
	type count struct {
		holder string
		n      int
	}
	var counts []count
	for _, e := range p.snap.Engines {
		if e.Role != from || e.State != Ready || p.unclaimed(e) {
			continue
		}
		i := slices.IndexFunc(counts, func(c count) bool { return c.holder == e.Holder })
		if i < 0 {
			counts = append(counts, count{holder: e.Holder})
			i = len(counts) - 1
		}
		counts[i].n++
	}
	if len(counts) == 0 {
		return ""
	}
	first := slices.MinFunc(counts, func(a, b count) int {
		return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(a.holder, b.holder))
	})
	return first.holder
}

// unclaimed engines take no order from anyone, unless authority isn't divided
// at all and no process has a name.
func (p *Planner) unclaimed(e Engine) bool { return e.Holder == "" && p.cfg.Self != "" }
