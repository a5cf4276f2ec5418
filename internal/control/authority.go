package control

import (
	"slices"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/logclient"
	"fescuestand/internal/wire"
)

// event is an input of the owner goroutine.
type event interface{ apply(s *state) }

// streamItems carries items read from the control stream and the time at which they were read.
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
		s.tracker.Observe(e.readAt, it)
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

// addAffectedScopes adds the scopes whose lease may change in this process because of an item.
// Renewals of other processes change none; skipping them keeps their cost independent of the size
// of the fleet.
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

// renewalState is the state of this process's lease renewals. One append carries the heartbeat
// together with the claims and releases that are due.
type renewalState struct {
	lastAppend     clock.Time // start of the newest append
	appending      bool
	claimNotBefore clock.Time // no claims before this time, as other processes aren't tracked yet
	liveVMs        []string   // VMs whose control processes can take over engines
	// preferences holds, by pool, the VM that the pool currently prefers.
	preferences map[string]preference
}

type preference struct {
	vm    string
	since clock.Time
}

const (
	// minPreferenceAge is how long a pool must prefer another process before this one releases it:
	// a process that starts and fails at once must not cause two moves of the engines.
	minPreferenceAge = 5 * time.Second
	// claimDelayPerRank is the additional delay of a claim for each process that the pool prefers
	// to this one, so that usually only one process claims.
	claimDelayPerRank = time.Second
)

// renewLeases appends a heartbeat when one is due or when there are scopes to claim or release.
func (s *state) renewLeases() {
	now := s.now()
	if !s.authority.Established() || !s.opt.Log.Progress(s.opt.Stream).CaughtUp {
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
		interval = s.opt.Lease.IdleRenewInterval(interval)
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

// renewalAppended is the result of an append to the control stream.
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
		s.tracker.RecordSent(e.seq, e.startedAt)
		for _, name := range s.authority.HeldBy(s.opt.Incarnation) {
			s.updateLease(name)
		}
	}
	if e.err != nil {
		log.WithError(e.err).WithField("stream", s.opt.Stream).Warn("lease renewal not confirmed")
	}
}

// updateAllLeases updates the leases of all engines from the folded control stream.
func (s *state) updateAllLeases() {
	for name := range s.engines {
		s.updateLease(name)
	}
	s.updateHeldCount()
}

// updateLease updates the lease of one engine from the folded control stream.
func (s *state) updateLease(name string) {
	e := s.engines[name]
	if e == nil {
		return
	}
	h, _ := s.authority.Get(name)
	until := s.tracker.LeaseEnd(h)
	if h.Writer != s.opt.Incarnation || h.Released || !s.authority.Established() {
		until, h.Token = 0, 0
	}
	s.setLease(e, h.Token, until)
}

func (s *state) updateHeldCount() {
	s.c.heldScopes.Store(int64(len(s.authority.HeldBy(s.opt.Incarnation))))
}

// setLease stores an engine's token and the end of its lease. A new token means a takeover, which
// discards what was recorded about the engine.
//
// It guards against this failure: the answer to a release is lost and the process continues to send
// orders, while the release is in the log and another process claims the engine. So an engine
// counts as released from the moment the release is sent, until a later renewal in the log proves
// that the release can't take effect any more.
func (s *state) setLease(e *engine, token uint64, until clock.Time) {
	if e.releasingToken != 0 && token == e.releasingToken {
		if e.releaseSeq != nil && s.tracker.Superseded(*e.releaseSeq) {
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

// firstOrderDelay returns how long the first order waits after a takeover. For an engine that
// ignores tokens the claim has already waited. An engine that checks them refuses the last order of
// the previous holder only after it has received a newer token, so the first order of the new
// holder must not race with that order.
func (s *state) firstOrderDelay(e *engine) time.Duration {
	if !e.spec.ChecksFence && !e.readded {
		return 0
	}
	return s.opt.Lease.MaxFlight
}

// scopesToClaim returns the scopes that this process should claim now.
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

// scopesToRelease returns the scopes to release: those of engines that were removed from the sheet,
// and those of pools that prefer another process. Only idle engines are released, as the next
// holder claims a released engine without waiting. An engine that was removed from the sheet counts
// as idle once no order to it can be in flight.
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
