package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/freshness"
)

const (
	// staleRetryAfter and staleRetrySpread set the Retry-After delay of a VM whose configuration is
	// too old to verify keys: another VM, or this one after an answer of its peers, can verify
	// them.
	staleRetryAfter  = 200 * time.Millisecond
	staleRetrySpread = 400 * time.Millisecond
)

// authorize finds the workspace of a call's key. A key on a route that doesn't require one is
// verified like any other.
func (g *Gateway) authorize(c *Call, r *catalog.Route, cfg *catalog.Config) *refusal {
	if cfg.Workspaces == nil || r.Anonymous && !c.HasKey {
		return nil
	}
	v := g.o.KeyFreshness()
	if v == freshness.Stale {
		return refuseStaleKeys()
	}
	if c.HasKey {
		c.Workspace = cfg.Workspaces.Find(c.Key)
	}
	switch {
	case c.Workspace != nil:
		return nil
	case v == freshness.AcceptOnly:
		return refuseStaleKeys()
	}
	return refuse(code.UnknownAPIKey, "no workspace holds the request's API key")
}

func refuseStaleKeys() *refusal {
	f := refuse(code.StaleKeys, "the newest configuration may be missing here")
	f.retryAfter = staleRetryAfter + rand.N(staleRetrySpread)
	return f
}

// reauthorize verifies the call's key again before the call is sent, as the key may have been
// revoked while the call waited. A stream whose header has been sent continues.
func (x *execution) reauthorize() (result, bool) {
	if x.headerSent {
		return result{}, true
	}
	f := x.g.authorize(x.call, x.route, x.g.o.Catalog.View().Config)
	if f == nil {
		return result{}, true
	}
	return result{outcome: refused, code: f.code, err: errors.New(f.reason), retryAfter: f.retryAfter}, false
}

// countForWorkspace reports the run to OnRequestRunning, once per call and only if it has a
// workspace.
func (x *execution) countForWorkspace(at clock.Time) {
	if x.workspaceCounted || x.call.Workspace == nil {
		return
	}
	x.workspaceCounted = true
	x.g.o.OnRequestRunning(at, x.call.Workspace)
}
