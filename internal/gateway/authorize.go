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
	// staleAgain and staleSpread say when to come back to a VM that can't judge keys:
	// another VM, or this one after an answer of its peers, can.
	staleAgain  = 200 * time.Millisecond
	staleSpread = 400 * time.Millisecond
)

// authorize finds the workspace of a call's key. A key on a route that needs none is
// judged like any other.
func (g *Gateway) authorize(c *Call, r *catalog.Route, cfg *catalog.Config) *refusal {
	if cfg.Workspaces == nil || r.Anonymous && !c.HasKey {
		return nil
	}
	v := g.o.Keys()
	if v == freshness.Stale {
		return staleKeys()
	}
	if c.HasKey {
		c.Workspace = cfg.Workspaces.Find(c.Key)
	}
	switch {
	case c.Workspace != nil:
		return nil
	case v == freshness.AcceptOnly:
		return staleKeys()
	}
	return refuse(code.UnknownAPIKey, "no workspace holds the request's API key")
}

func staleKeys() *refusal {
	f := refuse(code.StaleKeys, "the newest configuration may be missing here")
	f.again = staleAgain + rand.N(staleSpread)
	return f
}

// authorized judges the key of a call once more before it is sent: it may have been
// taken away while the call waited. A stream that has begun goes on.
func (x *execution) authorized() (result, bool) {
	if x.started {
		return result{}, true
	}
	f := x.g.authorize(x.c, x.route, x.g.o.Catalog.View().Config)
	if f == nil {
		return result{}, true
	}
	return result{outcome: refused, code: f.code, err: errors.New(f.why), again: f.again}, false
}

// began has the request counted for its workspace, once.
func (x *execution) began(at clock.Time) {
	if x.counted || x.c.Workspace == nil {
		return
	}
	x.counted = true
	x.g.o.Began(at, x.c.Workspace)
}
