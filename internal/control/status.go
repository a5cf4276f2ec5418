package control

import (
	"slices"
	"strings"

	"fescuestand/internal/status"
)

// publishStatus publishes the holders of all engines for the status page.
func (s *state) publishStatus() {
	now := s.now()
	out := make([]status.Scope, 0, len(s.engines))
	for name, e := range s.engines {
		h, _ := s.authority.Get(name)
		scope := status.Scope{Engine: name, Token: h.Token}
		if !h.Released {
			scope.Holder = h.VM
		}
		if e.token != 0 {
			scope.HeldHere = now < e.lease.Load().until
			scope.Activity = e.lastStep.Reason
			if !e.stateRead {
				scope.Activity = "engine does not answer"
			}
		}
		out = append(out, scope)
	}
	slices.SortFunc(out, func(a, b status.Scope) int { return strings.Compare(a.Engine, b.Engine) })
	s.c.scopes.Store(&out)
}
