package roles_test

import (
	"fmt"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/loadtest"
	"fescuestand/internal/policy/roles"
)

// lakeshorePrice and cevallosPrice are the sheets' prices in engine seconds,
// lakeshorePerHour and cevallosPerHour their ceilings.
const (
	lakeshorePrice   = 5.0
	lakeshorePerHour = 120
	cevallosPrice    = 60.0
	cevallosPerHour  = 60
	maxAwayShare     = 0.25
	awayTime         = 15 * time.Second // draining included
)

func lakeshoreSheet() roles.Config {
	return roles.Config{Price: lakeshorePrice, PerHour: lakeshorePerHour, MaxAwayShare: maxAwayShare, Away: awayTime}
}

func cevallosSheet() roles.Config {
	return roles.Config{Price: cevallosPrice, PerHour: cevallosPerHour, MaxAwayShare: maxAwayShare, Away: awayTime}
}

// plan drives a planner from a view of the event loop.
type plan struct {
	planner *roles.Planner
	setup   loadtest.Setup
	log     func(clock.Time, roles.Change, roles.Hold)
}

func planned(cfg roles.Config, log func(clock.Time, roles.Change, roles.Hold)) func(loadtest.Setup) loadtest.RolePlanner {
	return func(s loadtest.Setup) loadtest.RolePlanner {
		if s.Config.Planners > 1 {
			cfg.Self = holder(s.Index)
		}
		return &plan{planner: roles.NewPlanner(cfg), setup: s, log: log}
	}
}

func holder(i int) string { return fmt.Sprintf("control-%d", i) }

func (p *plan) Plan(now clock.Time, v *loadtest.View) []loadtest.RoleChange {
	p.planner.Observe(now, p.snapshot(now, v))
	var out []loadtest.RoleChange
	for _, c := range p.planner.Plan(now) {
		if p.log != nil {
			p.log(now, c, p.planner.Hold())
		}
		var id int
		_, _ = fmt.Sscanf(c.Engine, "runner-%d", &id)
		out = append(out, loadtest.RoleChange{Engine: id, To: loadtest.Role(c.To)})
	}
	return out
}

func (p *plan) snapshot(now clock.Time, v *loadtest.View) roles.Snapshot {
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

func (p *plan) engine(now clock.Time, v *loadtest.EngineView) roles.Engine {
	e := roles.Engine{
		Name:      fmt.Sprintf("runner-%03d", v.ID),
		Role:      roles.Role(v.Role),
		Running:   v.Report.Running + v.Report.WaitingDecode,
		Queued:    v.Report.WaitingPrefill,
		ReportAge: -1,
	}
	if p.setup.Config.Planners > 1 {
		e.Holder = holder(v.ID % p.setup.Config.Planners)
	}
	if v.Report.MeasuredAt > 0 {
		e.ReportAge = now.Sub(v.Report.MeasuredAt)
	}
	for _, c := range v.Report.CachedPrefixes {
		e.CachedPieces += c.Blocks
	}
	switch v.State {
	case loadtest.Draining, loadtest.Changing:
		e.State = roles.Changing
	case loadtest.Down:
		e.State = roles.Down
	}
	return e
}
