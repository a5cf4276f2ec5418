package sheet

import (
	"fmt"
	"maps"
	"slices"

	"fescuestand/internal/settings"
)

func (v *validation) checkServices(list []Service) {
	seen := map[string]bool{}
	for i := range list {
		s, at := &list[i], fmt.Sprintf("services[%d]", i)
		v.unique(seen, at+".name", s.Name)
		v.required(at+".driver", s.Driver)
		v.checkEndpoints(at, s.Endpoints)
		operations := map[string]bool{}
		for j, op := range s.Operations {
			v.unique(operations, fmt.Sprintf("%s.operations[%d].name", at, j), op.Name)
		}
		if len(s.Operations) == 0 {
			v.bad(at+".operations", "names no operation")
		}
	}
}

func (v *validation) checkEndpoints(at string, list []ServiceEndpoint) {
	if len(list) == 0 {
		v.bad(at+".endpoints", "names no endpoint")
	}
	seen := map[string]bool{}
	for i, e := range list {
		path := fmt.Sprintf("%s.endpoints[%d]", at, i)
		v.unique(seen, path+".name", e.Name)
		v.required(path+".zone", e.Zone)
		v.address(path+".address", e.Address)
	}
}

func (v *validation) checkClasses(list []Class) {
	if len(list) == 0 {
		v.bad("classes", "names no class")
	}
	seen := map[string]bool{}
	for i := range list {
		c, at := &list[i], fmt.Sprintf("classes[%d]", i)
		v.unique(seen, at+".name", c.Name)
		v.positive(at+".deadline", c.Deadline)
		v.positive(at+".first_token", c.FirstToken)
		v.positive(at+".between_tokens", c.BetweenTokens)
		if c.FirstToken > c.Deadline {
			v.bad(at+".first_token", "is %v, later than the deadline of %v", c.FirstToken.D(), c.Deadline.D())
		}
		if c.Objective <= 0 || c.Objective >= 1 {
			v.bad(at+".objective", "is %v; allowed: between 0 and 1, both excluded", c.Objective)
		}
	}
}

func (v *validation) checkLimits(l *Limits) {
	v.atLeast("limits.max_body", l.MaxBodyBytes, 1)
	v.atLeast("limits.max_tokens", l.MaxTokens, 1)
	v.atLeast("limits.queue_per_engine", l.QueuePerEngine, 1)
	v.positive("limits.commit_window", l.CommitWindow)
	if l.WorkspaceShare <= 0 || l.WorkspaceShare > 1 {
		v.bad("limits.workspace_share", "is %v; allowed: above 0 and up to 1", l.WorkspaceShare)
	}
}

func (v *validation) positive(path string, d settings.Duration) {
	if d <= 0 {
		v.bad(path, "is %v; allowed: a duration above 0", d.D())
	}
}

// sortedKeys orders a map's keys, so that problems are listed the same way on
// every run.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
