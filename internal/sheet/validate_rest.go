package sheet

import (
	"fmt"
	"maps"
	"slices"

	"fescuestand/internal/settings"
)

func (v *validator) checkServices(list []Service) {
	seen := map[string]bool{}
	for i := range list {
		s, path := &list[i], fmt.Sprintf("services[%d]", i)
		v.unique(seen, path+".name", s.Name)
		v.required(path+".driver", s.Driver)
		v.checkEndpoints(path, s.Endpoints)
		operations := map[string]bool{}
		for j, op := range s.Operations {
			v.unique(operations, fmt.Sprintf("%s.operations[%d].name", path, j), op.Name)
		}
		if len(s.Operations) == 0 {
			v.invalid(path+".operations", "names no operation")
		}
	}
}

func (v *validator) checkEndpoints(servicePath string, list []ServiceEndpoint) {
	if len(list) == 0 {
		v.invalid(servicePath+".endpoints", "names no endpoint")
	}
	seen := map[string]bool{}
	for i, e := range list {
		path := fmt.Sprintf("%s.endpoints[%d]", servicePath, i)
		v.unique(seen, path+".name", e.Name)
		v.required(path+".zone", e.Zone)
		v.address(path+".address", e.Address)
	}
}

func (v *validator) checkClasses(list []Class) {
	if len(list) == 0 {
		v.invalid("classes", "names no class")
	}
	seen := map[string]bool{}
	for i := range list {
		c, path := &list[i], fmt.Sprintf("classes[%d]", i)
		v.unique(seen, path+".name", c.Name)
		v.positive(path+".deadline", c.Deadline)
		v.positive(path+".first_token", c.FirstToken)
		v.positive(path+".between_tokens", c.BetweenTokens)
		if c.FirstToken > c.Deadline {
			v.invalid(path+".first_token", "is %v, later than the deadline of %v", c.FirstToken.D(), c.Deadline.D())
		}
		if c.Objective <= 0 || c.Objective >= 1 {
			v.invalid(path+".objective", "is %v; allowed: between 0 and 1, both excluded", c.Objective)
		}
	}
}

func (v *validator) checkLimits(l *Limits) {
	v.atLeast("limits.max_body", l.MaxBodyBytes, 1)
	v.atLeast("limits.max_tokens", l.MaxTokens, 1)
	v.atLeast("limits.queue_per_engine", l.QueuePerEngine, 1)
	v.positive("limits.commit_window", l.CommitWindow)
	if l.WorkspaceShare <= 0 || l.WorkspaceShare > 1 {
		v.invalid("limits.workspace_share", "is %v; allowed: above 0 and up to 1", l.WorkspaceShare)
	}
}

func (v *validator) positive(path string, d settings.Duration) {
	if d <= 0 {
		v.invalid(path, "is %v; allowed: a duration above 0", d.D())
	}
}

// sortedKeys returns a map's keys in order. Go's map order varies, and both the list of problems and
// the result of a patch must be the same on every run.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
