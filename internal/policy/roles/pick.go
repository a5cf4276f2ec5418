package roles

import (
	"cmp"
	"slices"
)

// candidates returns the engines that this process may move out of a role,
// starting with the one whose change disrupts its callers least. It sets
// holdReason if there is none.
func (p *Planner) candidates(from Role) []Engine {
	if !p.cfg.Disabled.NoDesignatedPlanner && p.designatedPlanner(from) != p.cfg.Self {
		p.holdReason = HoldOtherPlanner
		return nil
	}
	var out []Engine
	for _, e := range p.snap.Engines {
		if e.Holder == p.cfg.Self && movable(e, from) {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		p.holdReason = HoldOtherPlanner
	}
	slices.SortFunc(out, compareDisruption)
	return out
}

func movable(e Engine, from Role) bool {
	return e.Role == from && e.State == Ready && e.ReportAge >= 0 && e.ReportAge <= MaxReportAge
}

// compareDisruption orders engines by what a change costs their callers: streams
// that have to drain, requests that have to be sent to another engine, cache
// blocks that have to be computed again.
func compareDisruption(a, b Engine) int {
	return cmp.Or(
		cmp.Compare(a.Running, b.Running),
		cmp.Compare(a.Queued, b.Queued),
		cmp.Compare(a.CachedBlocks, b.CachedBlocks),
		cmp.Compare(a.Name, b.Name),
	)
}

// designatedPlanner returns the process that may move engines out of a role: the
// one that holds most of its ready engines, the first by name among equals.
// Claims and settled roles are the same on every process, but measured loads are
// not: without a single designated process, two planners that see one shortage
// through reports of different age would each move an engine of their own, and
// the pool would end up with the shortage in the other role.
func (p *Planner) designatedPlanner(from Role) string {
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

// unclaimed reports whether an engine has no holder and so accepts orders from
// no process. Where authority isn't divided, processes have no names and no
// engine counts as unclaimed.
func (p *Planner) unclaimed(e Engine) bool { return e.Holder == "" && p.cfg.Self != "" }
