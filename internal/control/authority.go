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
type appended struct {
	items []logclient.Item
	at    clock.Time
}

func (e appended) apply(s *state) {
	known := s.auth.Established()
	touched := map[string]bool{}
	for i := range e.items {
		it := &e.items[i]
		s.auth.Apply(*it)
		s.tracker.Read(e.at, it)
		known = known && !it.Gap
		s.touch(touched, it)
	}
	if !known {
		s.takeAuthority()
		return
	}
	for name := range touched {
		s.takeScope(name)
	}
}

// touch notes the scopes whose lease an item may change here. Renewals of
// others change none, so that their cost doesn't grow with the fleet.
func (s *state) touch(touched map[string]bool, it *logclient.Item) {
	for _, c := range it.Entry.GetClaim().GetScopes() {
		touched[c.Scope] = true
	}
	for _, name := range it.Entry.GetRelease().GetScopes() {
		touched[name] = true
	}
	if it.Writer == s.opt.Incarnation {
		for _, name := range s.auth.HeldBy(it.Writer) {
			touched[name] = true
		}
	}
}

// beat is this process's renewal: one append carries the heartbeat with the
// claims and releases of the moment.
type beat struct {
	last    clock.Time // when the newest append was begun
	flying  bool
	settled clock.Time // claims begin then: the other processes are known
	live    []string   // VMs whose control processes can take engines
	// prefers is since when another process is preferred for a pool.
	prefers map[string]preference
}

type preference struct {
	vm    string
	since clock.Time
}

const (
	// stableAfter is how long another process must be preferred before a pool
	// is handed over to it: a process that starts and fails at once must not
	// move engines twice.
	stableAfter = 5 * time.Second
	// rankDelay is how long each less preferred process waits longer with its
	// claim, so that usually one claims.
	rankDelay = time.Second
)

// renewLeases appends a heartbeat when it is time, or when there is something
// to claim or to hand over.
func (s *state) renewLeases() {
	now := s.now()
	if !s.auth.Established() || !s.opt.Log.Progress(s.opt.Stream).Read {
		s.beat.settled = 0
		return
	}
	if s.beat.settled == 0 {
		s.beat.settled = now.Add(s.opt.RenewInterval)
	}
	if s.beat.flying {
		return
	}
	s.beat.live = s.live(now)
	every := s.opt.RenewInterval
	if !s.auth.Holds(s.opt.Incarnation) {
		every = s.opt.Lease.IdleRenew(every)
	}
	due := s.beat.last == 0 || now.Sub(s.beat.last) >= every
	claims, releases := s.wantedClaims(now), s.wantedReleases(now)
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
	s.beat.flying, s.beat.last = true, now
	s.c.wg.Go(func() {
		r, err := s.opt.Log.Append(s.ctx, s.opt.Stream, entries...)
		_ = s.c.postWait(s.ctx, beaten{at: now, seq: r.Seq, released: releases, err: err})
	})
}

// beaten ends an append of the control stream.
type beaten struct {
	at       clock.Time
	seq      uint64
	released []string
	err      error
}

func (e beaten) apply(s *state) {
	s.beat.flying = false
	for _, name := range e.released {
		if one := s.engines[name]; one != nil {
			one.releaseSeq = &e.seq
		}
	}
	if e.seq > 0 {
		s.tracker.Sent(e.seq, e.at)
		for _, name := range s.auth.HeldBy(s.opt.Incarnation) {
			s.takeScope(name)
		}
	}
	if e.err != nil {
		log.WithError(e.err).WithField("stream", s.opt.Stream).Warn("renewal not confirmed")
	}
}

// takeAuthority brings every engine's lease in line with the stream.
func (s *state) takeAuthority() {
	for name := range s.engines {
		s.takeScope(name)
	}
	s.countHeld()
}

// takeScope brings one engine's lease in line with the stream.
func (s *state) takeScope(name string) {
	e := s.engines[name]
	if e == nil {
		return
	}
	h, _ := s.auth.Get(name)
	until := s.tracker.Until(h)
	if h.Writer != s.opt.Incarnation || h.Released || !s.auth.Established() {
		until, h.Token = 0, 0
	}
	s.setLease(e, h.Token, until)
}

func (s *state) countHeld() { s.c.left.Store(int64(len(s.auth.HeldBy(s.opt.Incarnation)))) }

// setLease notes an engine's token and the end of its lease. A new token is a
// takeover: what was known of the engine before doesn't count any more.
//
// Failure: the answer to a release is lost and the process goes on giving
// orders, while the release stands in the log and another process claims. From
// the sending of a release on the engine counts as given up, until a later
// renewal in the log proves that the release is dead.
func (s *state) setLease(e *engine, token uint64, until clock.Time) {
	if e.releasing != 0 && token == e.releasing {
		if e.releaseSeq != nil && s.tracker.Overtaken(*e.releaseSeq) {
			e.releasing = 0
		} else {
			token, until = 0, 0
		}
	}
	e.lease.Store(&leaseEnd{token: token, until: until})
	if token == e.token {
		return
	}
	log.WithField("engine", e.name).WithField("token", token).WithField("was", e.token).Info("authority")
	now := s.now()
	e.takeover(now, token, now.Add(s.orderWait(e)))
}

// orderWait is how long the first order waits after a takeover. At an engine
// that ignores tokens the claim has waited already. At one that checks them
// the former holder's last order is refused only once a newer one came, so
// the first order of the new holder must not cross it.
func (s *state) orderWait(e *engine) time.Duration {
	if !e.spec.ChecksFence && !e.returned {
		return 0
	}
	return s.opt.Lease.MaxFlight
}

// wantedClaims returns the scopes that this process should claim now.
func (s *state) wantedClaims(now clock.Time) []*wire.ScopeClaim {
	if s.c.leaving.Load() || now < s.beat.settled || s.beat.last == 0 {
		return nil
	}
	var out []*wire.ScopeClaim
	for name, e := range s.engines {
		h, _ := s.auth.Get(name)
		if h.Writer == s.opt.Incarnation && !h.Released || !s.tracker.Claimable(now, h, !e.spec.ChecksFence) {
			e.claimable = 0
			continue
		}
		if e.claimable == 0 {
			e.claimable = now
		}
		if rank := rankOf(s.opt.VM, e.pool, s.beat.live); now.Sub(e.claimable) >= time.Duration(rank)*rankDelay {
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
func (s *state) wantedReleases(now clock.Time) []string {
	var out []string
	for _, name := range s.auth.HeldBy(s.opt.Incarnation) {
		e := s.engines[name]
		if e == nil {
			if now.Sub(s.departed[name]) > s.opt.Lease.MaxFlight+orderTimeout {
				out = append(out, name)
			}
			continue
		}
		h, _ := s.auth.Get(name)
		if h.Token != e.releasing && e.memory.Idle() && !e.ordering && s.preferredElsewhere(now, e.pool) {
			e.releasing, e.releaseSeq = h.Token, nil
			out = append(out, name)
		}
	}
	for _, name := range out {
		s.takeScope(name)
	}
	return out
}
