package cachesync

import (
	"bytes"
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/network"
	"fescuestand/internal/peerhttp"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/splitmix"
	"fescuestand/internal/wire"
)

const (
	// pollPeriod is the time between two searches for a VM that tracks caches.
	pollPeriod = 50 * time.Millisecond
	// activeCheckPeriod is the time between two checks whether this VM is in the active set, and
	// inactiveTimeout how long it may be outside and still receive all updates that the active set
	// gets.
	activeCheckPeriod = 250 * time.Millisecond
	inactiveTimeout   = time.Second
	// A VM that finds no VM that tracks caches queries the engines once the number of VMs from
	// which it receives beats hasn't grown for peersStableFor, or after maxPeerWait from when it
	// has the list of engines. VMs that start together discover each other within a few beats;
	// before that each would assign most engines to itself.
	peersStableFor = 150 * time.Millisecond
	maxPeerWait    = 300 * time.Millisecond
	// propagationTime is how long a VM that has queried engines still doesn't count as tracking
	// caches: the lists that other VMs got from engines are in transit to it.
	propagationTime = 2 * time.Second
	// callTimeout bounds a query to a VM or to an engine.
	callTimeout = 800 * time.Millisecond
	// chunkParts is how many parts of an engine's list one message to the other VMs carries, which
	// is a few hundred bytes, and chunksPerBurst how many messages are sent before a pause of
	// chunkPause, so that they fit into a datagram together with the load reports.
	chunkParts     = 32
	chunksPerBurst = 8
	chunkPause     = 150 * time.Millisecond
)

// CacheLister queries engines.
type CacheLister interface {
	// Cached returns the prompt parts that e has cached.
	Cached(ctx context.Context, e *catalog.Endpoint) ([]place.Part, error)
}

// Members are the VMs of the deployment.
type Members interface {
	// CacheTrackers returns the addresses of the VMs that track what engines have cached, the
	// nearest first.
	CacheTrackers() []string
	// ResponsiveActive returns the addresses of the active VMs that send beats, including this
	// one's.
	ResponsiveActive() []string
	// SetTracksCaches announces to the other VMs whether this VM tracks what engines have cached.
	SetTracksCaches(informed bool)
	// IsActive reports whether this VM places requests, or is among those that will next.
	IsActive() bool
}

// Unit initializes the Planner's record of cached parts each time the VM becomes active. It is a
// kernel unit.
type Unit struct {
	Clock      clock.Clock
	Planner    *place.Planner
	Catalog    *catalog.Store
	Members    Members
	Engines    CacheLister
	Network    network.Network // for queries to VMs
	OwnAddress string          // this VM's address among Members
	// FirstStart means that the whole deployment starts for the first time: no engine has anything
	// cached.
	FirstStart bool
	// Announce sends a message to the other VMs.
	Announce func(c *wire.CachedPrefix)
}

// Name implements kernel.Unit.
func (u *Unit) Name() string { return "caches" }

// Run implements kernel.Runner. A VM loads the record when it becomes active, and again when it
// becomes active after an absence, during which it missed updates.
func (u *Unit) Run(ctx context.Context) error {
	loaded := u.FirstStart
	for {
		for !u.Members.IsActive() {
			if !clock.Sleep(ctx, activeCheckPeriod) {
				return ctx.Err()
			}
		}
		if !loaded && !u.load(ctx) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		u.Members.SetTracksCaches(true)
		if !u.waitInactive(ctx) {
			return ctx.Err()
		}
		u.Members.SetTracksCaches(false)
		loaded = false
	}
}

// waitInactive waits until this VM has been outside the active set for more than inactiveTimeout. It
// returns false if ctx ended first.
func (u *Unit) waitInactive(ctx context.Context) bool {
	lastActive := u.Clock.Now()
	for clock.Sleep(ctx, activeCheckPeriod) {
		now := u.Clock.Now()
		if u.Members.IsActive() {
			lastActive = now
		}
		if now.Sub(lastActive) > inactiveTimeout {
			return true
		}
	}
	return false
}

// load gets the engines' caches from another VM or from the engines. It returns false if this VM
// left the active set, or ctx ended, first.
func (u *Unit) load(ctx context.Context) bool {
	var w peerWait
	for u.Members.IsActive() && clock.Sleep(ctx, pollPeriod) {
		engines := u.engines()
		if len(engines) == 0 {
			continue
		}
		if u.copyFromVM(ctx) {
			return true
		}
		if w.done(u.Clock.Now(), len(u.Members.ResponsiveActive())) {
			u.queryEngines(ctx, engines)
			return clock.Sleep(ctx, propagationTime)
		}
	}
	return false
}

// peerWait is the wait for a VM that tracks caches.
type peerWait struct {
	since   clock.Time // when this VM first had a list of engines
	maxVMs  int        // maximum number of responsive VMs so far
	grownAt clock.Time // when maxVMs grew last
}

// done reports whether the wait is over; responsive is the number of responsive VMs now.
func (w *peerWait) done(now clock.Time, responsive int) bool {
	if w.since == 0 {
		w.since = now
	}
	if responsive > w.maxVMs {
		w.maxVMs, w.grownAt = responsive, now
	}
	return now.Sub(w.grownAt) >= peersStableFor || now.Sub(w.since) >= maxPeerWait
}

// engines returns the available engines of all services.
func (u *Unit) engines() []*catalog.Endpoint {
	v := u.Catalog.View()
	var out []*catalog.Endpoint
	if v.Config == nil {
		return nil
	}
	for name, s := range v.Config.Services {
		if s.Engine != nil {
			out = append(out, v.Available(name)...)
		}
	}
	return out
}

// copyFromVM records what the first VM that answers has recorded. It returns false if none answers.
func (u *Unit) copyFromVM(ctx context.Context) bool {
	for _, addr := range u.Members.CacheTrackers() {
		all, err := u.queryVM(ctx, addr)
		log.WithError(err).WithField("vm", addr).WithField("engines", len(all.GetEngines())).Info("VM queried for cached parts")
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

func (u *Unit) queryVM(ctx context.Context, addr string) (*wire.Caches, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := peerhttp.New(u.Network).Get(ctx, addr, Path, maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	return decode(bytes.NewReader(data))
}

// queryEngines queries the engines that are assigned to this VM and announces their lists to the
// other VMs. It skips an engine whose list another VM has announced.
func (u *Unit) queryEngines(ctx context.Context, engines []*catalog.Endpoint) {
	for _, e := range engines {
		if ownerOf(e.ID, u.Members.ResponsiveActive()) != u.OwnAddress || u.Planner.CachedPartCount(e.ID) >= chunkParts {
			continue
		}
		parts, err := u.queryEngine(ctx, e)
		log.WithError(err).WithField("endpoint", e.ID).WithField("parts", len(parts)).Info("engine queried for cached parts")
		u.recordAndAnnounce(ctx, e, parts)
	}
}

func (u *Unit) queryEngine(ctx context.Context, e *catalog.Endpoint) ([]place.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return u.Engines.Cached(ctx, e)
}

// recordAndAnnounce records parts as cached at e, and announces them to the other VMs in chunks.
func (u *Unit) recordAndAnnounce(ctx context.Context, e *catalog.Endpoint, parts []place.Part) {
	for sent := 1; len(parts) > 0; sent++ {
		n := min(len(parts), chunkParts)
		chunk := parts[:n]
		parts = parts[n:]
		u.Planner.RecordCached(place.Key(e.ID), chunk)
		u.Announce(Prefix(e, chunk))
		if sent%chunksPerBurst == 0 && !clock.Sleep(ctx, chunkPause) {
			return
		}
	}
}

// ownerOf returns the VM that queries an engine, by rendezvous hashing. If two VMs have different
// lists of VMs, an engine may be queried twice, or not at all; then its answers to requests show what
// it has cached.
func ownerOf(engine string, vms []string) string {
	id := xxhash.Sum64String(engine)
	owner, maxHash := "", uint64(0)
	for _, vm := range vms {
		if h := splitmix.Mix(id ^ xxhash.Sum64String(vm)); owner == "" || h > maxHash {
			owner, maxHash = vm, h
		}
	}
	return owner
}
