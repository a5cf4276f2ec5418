package cachesync

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/peerhttp"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/splitmix"
	"fescuestand/internal/wire"
)

const (
	// step is the time between two looks for a VM that knows.
	step = 50 * time.Millisecond
	// activePeriod is the time between two looks whether this VM is one of the active set,
	// and awayFor how long it may be none and still be told all that the active set is.
	activePeriod = 250 * time.Millisecond
	awayFor      = time.Second
	// patience is how long a VM that knows is waited for, once the engines are
	// known and no other VM was heard for the first time, mostPatience at most.
	// VMs that start together hear of each other within a few beats; before that
	// each would take most engines for its own to ask.
	patience     = 150 * time.Millisecond
	mostPatience = 300 * time.Millisecond
	// learnFor is how long a VM counts as one that doesn't know after it has asked
	// engines: the others' lists are under way to it.
	learnFor = 2 * time.Second
	// callTimeout bounds a question to a VM or to an engine.
	callTimeout = 800 * time.Millisecond
	// chunkParts is how many parts of an engine's list one message to the others
	// carries, a few hundred bytes, and chunksAtOnce how many go out before a
	// pause, so that they fit a datagram beside the load.
	chunkParts   = 32
	chunksAtOnce = 8
	chunkPause   = 150 * time.Millisecond
)

// Lister asks engines.
type Lister interface {
	// Cached returns what e has cached.
	Cached(ctx context.Context, e *catalog.Endpoint) ([]place.Part, error)
}

// Members are the VMs of the deployment.
type Members interface {
	// CacheTrackers returns the addresses of the VMs that know what engines have
	// cached, the nearest first.
	CacheTrackers() []string
	// ResponsiveActive returns the addresses of the VMs that are heard, with this one's.
	ResponsiveActive() []string
	// SetTracksCaches tells the others whether this VM knows.
	SetTracksCaches(informed bool)
	// IsActive tells whether this VM places requests, or is one of those that will
	// next.
	IsActive() bool
}

// Unit is the kernel unit.
type Unit struct {
	Clock   clock.Clock
	Planner *place.Planner
	Catalog *catalog.Store
	Members Members
	Engines Lister
	Own     string // this VM's address among Members
	// NothingCached tells that the whole deployment starts for the first time.
	NothingCached bool
	// Tell passes a message on to the other VMs.
	Tell func(c *wire.CachedPrefix)
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "caches" }

// Run implements kernel.Runner. A VM learns when it becomes active, and what it
// knew counts for nothing once it has been away from it.
func (u *Unit) Run(ctx context.Context) error {
	learnt := u.NothingCached
	for {
		for !u.Members.IsActive() {
			if !clock.Sleep(ctx, activePeriod) {
				return ctx.Err()
			}
		}
		if !learnt && !u.learn(ctx) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		u.Members.SetTracksCaches(true)
		if !u.stay(ctx) {
			return ctx.Err()
		}
		u.Members.SetTracksCaches(false)
		learnt = false
	}
}

// stay returns true once this VM has left the active set for a while.
func (u *Unit) stay(ctx context.Context) bool {
	seen := u.Clock.Now()
	for clock.Sleep(ctx, activePeriod) {
		now := u.Clock.Now()
		if u.Members.IsActive() {
			seen = now
		}
		if now.Sub(seen) > awayFor {
			return true
		}
	}
	return false
}

// learn returns true once this VM knows what engines have cached, and false if it
// left the active set before.
func (u *Unit) learn(ctx context.Context) bool {
	var w wait
	for u.Members.IsActive() && clock.Sleep(ctx, step) {
		engines := u.engines()
		if len(engines) == 0 {
			continue
		}
		if u.askVMs(ctx) {
			return true
		}
		if w.over(u.Clock.Now(), len(u.Members.ResponsiveActive())) {
			u.askEngines(ctx, engines)
			return clock.Sleep(ctx, learnFor)
		}
	}
	return false
}

// wait is that for a VM that knows.
type wait struct {
	since   clock.Time // when the engines were known
	heard   int        // most VMs that were heard
	grownAt clock.Time
}

// over tells whether to wait no more, when heard VMs are heard now.
func (w *wait) over(now clock.Time, heard int) bool {
	if w.since == 0 {
		w.since = now
	}
	if heard > w.heard {
		w.heard, w.grownAt = heard, now
	}
	return now.Sub(w.grownAt) >= patience || now.Sub(w.since) >= mostPatience
}

// engines returns those that are known.
func (u *Unit) engines() []*catalog.Endpoint {
	v := u.Catalog.View()
	var out []*catalog.Endpoint
	if v.Config == nil {
		return nil
	}
	for name, s := range v.Config.Services {
		if s.Engine != nil {
			out = append(out, v.Open(name)...)
		}
	}
	return out
}

// askVMs takes over what another VM knows. It returns false if none does.
func (u *Unit) askVMs(ctx context.Context) bool {
	for _, addr := range u.Members.CacheTrackers() {
		all, err := ask(ctx, addr)
		log.WithError(err).WithField("vm", addr).WithField("engines", len(all.GetEngines())).Info("caches asked of a VM")
		if err != nil {
			continue
		}
		for _, c := range all.GetEngines() {
			u.Planner.RecordCached(c.GetEndpoint(), Parts(c))
		}
		return true
	}
	return false
}

func ask(ctx context.Context, addr string) (*wire.Caches, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var all *wire.Caches
	err := peerhttp.New().Get(ctx, addr, Path, func(body io.Reader) error {
		var err error
		all, err = decode(body)
		return err
	})
	return all, err
}

// askEngines asks the engines that fall to this VM and tells the others. An engine
// of which another VM has told a list isn't asked again.
func (u *Unit) askEngines(ctx context.Context, engines []*catalog.Endpoint) {
	for _, e := range engines {
		if ownerOf(e.ID, u.Members.ResponsiveActive()) != u.Own || u.Planner.CachedPartCount(e.ID) >= chunkParts {
			continue
		}
		parts, err := u.list(ctx, e)
		log.WithError(err).WithField("endpoint", e.ID).WithField("parts", len(parts)).Info("cache asked of an engine")
		u.spread(ctx, e, parts)
	}
}

func (u *Unit) list(ctx context.Context, e *catalog.Endpoint) ([]place.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return u.Engines.Cached(ctx, e)
}

// spread believes parts to be cached at e, here and at the others.
func (u *Unit) spread(ctx context.Context, e *catalog.Endpoint, parts []place.Part) {
	for sent := 1; len(parts) > 0; sent++ {
		n := min(len(parts), chunkParts)
		chunk := parts[:n]
		parts = parts[n:]
		u.Planner.RecordCached(place.Key(e.ID), chunk)
		u.Tell(Prefix(e, chunk))
		if sent%chunksAtOnce == 0 && !clock.Sleep(ctx, chunkPause) {
			return
		}
	}
}

// ownerOf is the VM that asks an engine, by rendezvous hashing: where two VMs
// differ on who is there, an engine is asked twice, or not at all until its
// answers tell.
func ownerOf(engine string, vms []string) string {
	id := xxhash.Sum64String(engine)
	best, top := "", uint64(0)
	for _, vm := range vms {
		if h := splitmix.Mix(id ^ xxhash.Sum64String(vm)); best == "" || h > top {
			best, top = vm, h
		}
	}
	return best
}
