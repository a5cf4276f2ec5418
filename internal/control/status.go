package control

import (
	"slices"
	"strings"

	"fescuestand/internal/status"
)

// publish makes the authority over engines visible to operators.
func (s *state) publish() {
	now := s.now()
	out := make([]status.Scope, 0, len(s.engines))
	for name, e := range s.engines {
		h, _ := s.auth.Get(name)
		one := status.Scope{Engine: name, Token: h.Token}
		if !h.Released {
			one.Holder = h.VM
		}
		if e.token != 0 {
			one.Held = now < e.lease.Load().until
			one.Doing = e.step.Reason
			if !e.known {
				one.Doing = "engine does not answer"
			}
		}
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b status.Scope) int { return strings.Compare(a.Engine, b.Engine) })
	s.c.scopes.Store(&out)
}
