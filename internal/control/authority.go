package control

import (
	"slices"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// event is one input of the owner goroutine.
type event interface{ apply(s *state) }

// appended carries items of the control stream and when they were read.
type streamItems struct {
	items  []logclient.Item
	readAt clock.Time
}

func (e streamItems) apply(s *state) {
	established := s.authority.Established()
	affected := map[string]bool{}
	for i := range e.items {
		it := &e.items[i]
		s.authority.Apply(*it)
		s.tracker.Read(e.readAt, it)
		established = established && !it.Gap
		s.addAffectedScopes(affected, it)
	}
	if !established {
		s.updateAllLeases()
		return
	}
	for name := range affected {
		s.updateLease(name)
	}
}

// touch notes the scopes whose lease an item may change here. Renewals of
// others change none, so that their cost doesn't grow with the fleet.
func (s *state) addAffectedScopes(affected map[string]bool, it *logclient.Item) {
	for _, c := range it.Entry.GetClaim().GetScopes() {
		affected[c.Scope] = true
	}
	for _, name := range it.Entry.GetRelease().GetScopes() {
		affected[name] = true
	}
	if it.Writer == s.opt.Incarnation {
		for _, name := range s.authority.HeldBy(it.Writer) {
			affected[name] = true
		}
	}
}

// beat is this process's renewal: one append carries the heartbeat with the
// claims and releases of the moment.
type renewalState struct {
	lastAppend     clock.Time // when the newest append was begun
	appending      bool
	claimNotBefore clock.Time // claims begin then: the other processes are known
	liveVMs        []string   // VMs whose control processes can take engines
	// prefers is since when another process is preferred for a pool.
	preferences map[string]preference
}

type preference struct {
	vm    string
	since clock.Time
}

const (
	// stableAfter is how long another process must be preferred before a pool
	// is handed over to it: a process that starts and fails at once must not
	// move engines twice.
	minPreferenceAge = 5 * time.Second
	// rankDelay is how long each less preferred process waits longer with its
	// claim, so that usually one claims.
	claimDelayPerRank = time.Second
)

// renewLeases appends a heartbeat when it is time, or when there is something
// to claim or to hand over.
func (s *state) renewLeases() {
	now := s.now()
	if !s.authority.Established() || !s.opt.Log.Progress(s.opt.Stream).Read {
		s.renewal.claimNotBefore = 0
		return
	}
	if s.renewal.claimNotBefore == 0 {
		s.renewal.claimNotBefore = now.Add(s.opt.RenewInterval)
	}
	if s.renewal.appending {
		return
	}
	s.renewal.liveVMs = s.liveVMs(now)
	interval := s.opt.RenewInterval
	if !s.authority.Holds(s.opt.Incarnation) {
		interval = s.opt.Lease.IdleRenew(interval)
	}
	due := s.renewal.lastAppend == 0 || now.Sub(s.renewal.lastAppend) >= interval
	claims, releases := s.scopesToClaim(now), s.scopesToRelease(now)
	if !due && len(claims)+len(releases) == 0 {
		return
	}
	var entries []*wire.Entry
	if len(releases) > 0 {
		entries = append(entries, &wire.Entry{Kind: &wire.Entry_Release{Release: &wire.Release{Scopes: releases}}})
	}
	if len(claims) > 0 {
		entries = append(entries, &wire.Entry{Kind: &wire.Entry_Claim{Claim: &wire.Claim{Scopes: claims}}})
	}
	leaving := s.c.leaving.Load()
	entries = append(entries, &wire.Entry{Kind: &wire.Entry_Heartbeat{Heartbeat: &wire.Heartbeat{Leaving: leaving}}})
	s.renewal.appending, s.renewal.lastAppend = true, now
	s.c.wg.Go(func() {
		r, err := s.opt.Log.Append(s.ctx, s.opt.Stream, entries...)
		_ = s.c.postBlocking(s.ctx, renewalAppended{startedAt: now, seq: r.Seq, released: releases, err: err})
	})
}

// beaten ends an append of the control stream.
type renewalAppended struct {
	startedAt clock.Time
	seq       uint64
	released  []string
	err       error
}

func (e renewalAppended) apply(s *state) {
	s.renewal.appending = false
	for _, name := range e.released {
		if released := s.engines[name]; released != nil {
			released.releaseSeq = &e.seq
		}
	}
	if e.seq > 0 {
		s.tracker.Sent(e.seq, e.startedAt)
		for _, name := range s.authority.HeldBy(s.opt.Incarnation) {
			s.updateLease(name)
		}
	}
	if e.err != nil {
		log.WithError(e.err).WithField("stream", s.opt.Stream).Warn("renewal not confirmed")
	}
}

// takeAuthority brings every engine's lease in line with the stream.
func (s *state) updateAllLeases() {
	for name := range s.engines {
		s.updateLease(name)
	}
	s.updateHeldCount()
}

// takeScope brings one engine's lease in line with the stream.
func (s *state) updateLease(name string) {
	e := s.engines[name]
	if e == nil {
		return
	}
	h, _ := s.authority.Get(name)
	until := s.tracker.Until(h)
	if h.Writer != s.opt.Incarnation || h.Released || !s.authority.Established() {
		until, h.Token = 0, 0
	}
	s.setLease(e, h.Token, until)
}

func (s *state) updateHeldCount() {
	s.c.heldScopes.Store(int64(len(s.authority.HeldBy(s.opt.Incarnation))))
}

// setLease notes an engine's token and the end of its lease. A new token is a
// takeover: what was known of the engine before doesn't count any more.
//
// Failure: the answer to a release is lost and the process goes on giving
// orders, while the release stands in the log and another process claims. From
// the sending of a release on the engine counts as given up, until a later
// renewal in the log proves that the release is dead.
func (s *state) setLease(e *engine, token uint64, until clock.Time) {
	if e.releasingToken != 0 && token == e.releasingToken {
		if e.releaseSeq != nil && s.tracker.Overtaken(*e.releaseSeq) {
			e.releasingToken = 0
		} else {
			token, until = 0, 0
		}
	}
	e.lease.Store(&leaseState{token: token, until: until})
	if token == e.token {
		return
	}
	log.WithField("engine", e.name).WithField("token", token).WithField("was", e.token).Info("authority")
	now := s.now()
	e.resetForToken(now, token, now.Add(s.firstOrderDelay(e)))
}

// orderWait is how long the first order waits after a takeover. At an engine
// that ignores tokens the claim has waited already. At one that checks them
// the former holder's last order is refused only once a newer one came, so
// the first order of the new holder must not cross it.
func (s *state) firstOrderDelay(e *engine) time.Duration {
	if !e.spec.ChecksFence && !e.readded {
		return 0
	}
	return s.opt.Lease.MaxFlight
}

// wantedClaims returns the scopes that this process should claim now.
func (s *state) scopesToClaim(now clock.Time) []*wire.ScopeClaim {
	if s.c.leaving.Load() || now < s.renewal.claimNotBefore || s.renewal.lastAppend == 0 {
		return nil
	}
	var out []*wire.ScopeClaim
	for name, e := range s.engines {
		h, _ := s.authority.Get(name)
		if h.Writer == s.opt.Incarnation && !h.Released || !s.tracker.Claimable(now, h, !e.spec.ChecksFence) {
			e.claimableSince = 0
			continue
		}
		if e.claimableSince == 0 {
			e.claimableSince = now
		}
		if rank := rankOf(s.opt.VM, e.pool, s.renewal.liveVMs); now.Sub(e.claimableSince) >= time.Duration(rank)*claimDelayPerRank {
			out = append(out, &wire.ScopeClaim{Scope: name, SeenToken: h.Token, SeenRenewal: h.Renewal})
		}
	}
	slices.SortFunc(out, func(a, b *wire.ScopeClaim) int {
		if a.Scope < b.Scope {
			return -1
		}
		return 1
	})
	return out
}

// wantedReleases returns the scopes to hand over: those of engines that the
// sheet no longer names, and those of pools that another process is preferred
// for. Only engines at rest are handed over, since whoever claims a released
// engine doesn't wait; one that left the sheet counts as at rest once no order
// can be on its way.
func (s *state) scopesToRelease(now clock.Time) []string {
	var out []string
	for _, name := range s.authority.HeldBy(s.opt.Incarnation) {
		e := s.engines[name]
		if e == nil {
			if now.Sub(s.removedAt[name]) > s.opt.Lease.MaxFlight+orderTimeout {
				out = append(out, name)
			}
			continue
		}
		h, _ := s.authority.Get(name)
		if h.Token != e.releasingToken && e.reconciler.Idle() && !e.orderInFlight && s.shouldRelease(now, e.pool) {
			e.releasingToken, e.releaseSeq = h.Token, nil
			out = append(out, name)
		}
	}
	for _, name := range out {
		s.updateLease(name)
	}
	return out
}
