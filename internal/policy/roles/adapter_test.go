package roles_test

import (
	"fmt"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/roles"
)

// The limits of role changes from the deployments' sheets. Change costs are in
// engine seconds.
const (
	lakeshoreChangeCost        = 5.0
	lakeshoreMaxChangesPerHour = 120
	cevallosChangeCost         = 60.0
	cevallosMaxChangesPerHour  = 60
	maxUnavailableShare        = 0.25
	changeDuration             = 15 * time.Second // draining included
)

func lakeshoreSheet() roles.Config {
	return roles.Config{ChangeCost: lakeshoreChangeCost, MaxChangesPerHour: lakeshoreMaxChangesPerHour, MaxUnavailableShare: maxUnavailableShare, ChangeDuration: changeDuration}
}

func cevallosSheet() roles.Config {
	return roles.Config{ChangeCost: cevallosChangeCost, MaxChangesPerHour: cevallosMaxChangesPerHour, MaxUnavailableShare: maxUnavailableShare, ChangeDuration: changeDuration}
}

// planAdapter drives a planner from the views of the load test's event loop.
type planAdapter struct {
	planner *roles.Planner
	setup   loadtest.Setup
	record  func(clock.Time, roles.Change, roles.HoldReason)
}

func rolePlanner(cfg roles.Config, record func(clock.Time, roles.Change, roles.HoldReason)) func(loadtest.Setup) loadtest.RolePlanner {
	return func(s loadtest.Setup) loadtest.RolePlanner {
		if s.Config.Planners > 1 {
			cfg.Self = processName(s.Index)
		}
		return &planAdapter{planner: roles.NewPlanner(cfg), setup: s, record: record}
	}
}

func processName(i int) string { return fmt.Sprintf("control-%d", i) }

func (p *planAdapter) Plan(now clock.Time, v *loadtest.View) []loadtest.RoleChange {
	p.planner.Observe(now, p.snapshot(now, v))
	var out []loadtest.RoleChange
	for _, c := range p.planner.Plan(now) {
		if p.record != nil {
			p.record(now, c, p.planner.HoldReason())
		}
		var id int
		_, _ = fmt.Sscanf(c.Engine, "runner-%d", &id)
		out = append(out, loadtest.RoleChange{Engine: id, To: loadtest.Role(c.To)})
	}
	return out
}

func (p *planAdapter) snapshot(now clock.Time, v *loadtest.View) roles.Snapshot {
	m := p.setup.Config.Model
	a := v.Arrivals
	s := roles.Snapshot{
		Pool: p.setup.Config.Name,
		Arrivals: roles.Arrivals{
			PromptTokensPerSec: a.PromptTokens * a.UncachedShare,
			OutputTokensPerSec: a.OutputTokens,
			Age:                now.Sub(a.At),
		},
		Rates: roles.Rates{PrefillTokensPerSec: m.PrefillRate, DecodeTokensPerSec: m.DecodeRate()},
	}
	for i := range v.Engines {
		s.Engines = append(s.Engines, p.engine(now, &v.Engines[i]))
	}
	return s
}

func (p *planAdapter) engine(now clock.Time, v *loadtest.EngineView) roles.Engine {
	e := roles.Engine{
		Name:      fmt.Sprintf("runner-%03d", v.ID),
		Role:      roles.Role(v.Role),
		Running:   v.Report.Running + v.Report.WaitingDecode,
		Queued:    v.Report.WaitingPrefill,
		ReportAge: -1,
	}
	if p.setup.Config.Planners > 1 {
		e.Holder = processName(v.ID % p.setup.Config.Planners)
	}
	if v.Report.MeasuredAt > 0 {
		e.ReportAge = now.Sub(v.Report.MeasuredAt)
	}
	for _, c := range v.Report.CachedPrefixes {
		e.CachedBlocks += c.Blocks
	}
	switch v.State {
	case loadtest.Draining, loadtest.Changing:
		e.State = roles.Changing
	case loadtest.Down:
		e.State = roles.Down
	}
	return e
}
