package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
)

const (
	// joinPeriod keeps a VM of the active set listed: three tries within joinTTL.
	joinPeriod = 1500 * time.Millisecond
	// joinTTL is how long a VM that vanished stays listed.
	joinTTL = 5 * time.Second
	// listPeriod is the time between two reads of the list by up to idleUnit VMs.
	// VMs know of each other by what they tell; the list is for the first contact,
	// and for parts of a deployment that have lost sight of each other.
	listPeriod = time.Minute
	// retryPeriod follows a join that failed: three more tries before joinTTL
	// is over. A store that is away is charged for each.
	retryPeriod = 750 * time.Millisecond
	// firstPeriod replaces listPeriod while no other VM is known, and
	// earlyPeriod while none is heard: those that were listed first may be
	// gone, and the group deals a new member its part, by which it is listed,
	// within some renewals of the others.
	firstPeriod = 300 * time.Millisecond
	earlyPeriod = 1500 * time.Millisecond
	// outsidePeriod is the time between two looks of a VM that isn't in the group,
	// whether it has come to be one of the active set, and startPeriod that of one
	// that has just started.
	outsidePeriod = 250 * time.Millisecond
	startPeriod   = 50 * time.Millisecond
	// joinSpread spreads the first joins of VMs that start together and find nobody
	// listed: the others contact the first ones, and most needn't join.
	joinSpread = 500 * time.Millisecond
	// knownAfter is how long after its start a VM that has found others knows enough
	// of them to tell whether it is one of the active set.
	knownAfter = 1500 * time.Millisecond
	// leaveAfter is how long a VM stays in the group that is no longer one of the
	// set. It leaves then, so that what it was dealt doesn't lie idle until it
	// lapses; the active set of a moment comes and goes with the load.
	leaveAfter = 10 * time.Second
	// leaveTimeout bounds the farewell to the group.
	leaveTimeout = time.Second
)

// Group is the platform's list of the processes that take part.
type Group interface {
	// Join adds n or keeps it in the list for ttl.
	Join(ctx context.Context, n Node, ttl time.Duration) (Assignment, error)
	// Members returns the list.
	Members(ctx context.Context) ([]Node, error)
	// Leave takes n off the list.
	Leave(ctx context.Context, n Node) error
}

// Assignment is what the group has dealt to a member.
type Assignment struct {
	Leader       bool  // of giving orders, which one member has
	Generation int64 // grows with each change of the dealing
}

// Registration keeps this VM in the group and reads it. It is a kernel unit.
type Registration struct {
	group   Group
	members *Members
	renewed func(sentAt clock.Time, h Assignment)
	listed  chan struct{} // closed after the first try to read the list

	// Of the joining goroutine:
	joined bool
	seenAt clock.Time // when this VM was last one of the active set, or held the duty
}

// NewRegistration returns the unit. renewed is told of each confirmed renewal.
func NewRegistration(g Group, m *Members, renewed func(sentAt clock.Time, h Assignment)) *Registration {
	return &Registration{group: g, members: m, renewed: renewed, listed: make(chan struct{})}
}

// Name implements kernel.Unit.
func (r *Registration) Name() string { return "registration" }

// Run implements kernel.Runner.
func (r *Registration) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.join(ctx) })
	group.Go(func() error { return r.list(ctx) })
	return group.Wait()
}

// Drain implements kernel.Drainer.
func (r *Registration) Drain(ctx context.Context) error {
	r.members.SetLeaving()
	r.leave(ctx) // if the call is lost, the entry lapses; the beats have said it already
	return nil
}

// join keeps this VM in the group while it is one of the active set, or holds the duty. The
// others needn't be listed: each renewal is a call of the store, and their number would
// grow with that of the VMs. Nor may they be dealt the duty, of which nobody would make
// use until it is dealt anew. So a VM that starts reads the list first.
func (r *Registration) join(ctx context.Context) error {
	select {
	case <-r.listed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return every(ctx, func() time.Duration {
		switch {
		case r.members.Leaving():
			return joinPeriod
		case r.joined && r.superfluous():
			r.leave(ctx)
			return outsidePeriod
		case !r.joined && !r.wanted():
			return r.lookAgain()
		}
		return r.renew(ctx)
	})
}

// lookAgain is the time until a VM that isn't in the group looks again whether it is to
// join. Those that have just started look often: somebody must be listed first.
func (r *Registration) lookAgain() time.Duration {
	if r.members.clock.Now().Sub(r.members.started) < knownAfter {
		return startPeriod
	}
	return outsidePeriod
}

// wanted tells whether this VM is to join.
func (r *Registration) wanted() bool {
	m := r.members
	age := m.clock.Now().Sub(m.started)
	switch {
	case m.IsLeader(), m.listedItself():
		return true
	case !m.HasPeers():
		return age >= time.Duration(xxhash.Sum64String(m.own.Peer)%uint64(joinSpread))
	}
	return age >= knownAfter && m.IsActive()
}

// superfluous tells whether this VM has been none of the active set for long.
func (r *Registration) superfluous() bool {
	now := r.members.clock.Now()
	if r.seenAt == 0 || r.members.IsActive() || r.members.IsLeader() {
		r.seenAt = now
	}
	return now.Sub(r.seenAt) > leaveAfter
}

func (r *Registration) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := r.group.Leave(ctx, r.members.own); err != nil {
		log.WithError(err).Warn("group not left")
	}
	r.joined = false // it lapses by itself if the call was lost
}

func (r *Registration) renew(ctx context.Context) time.Duration {
	sentAt := r.members.clock.Now()
	h, err := r.group.Join(ctx, r.members.own, joinTTL)
	r.joined = true
	if err != nil {
		log.WithError(err).Warn("group not joined")
		return retryPeriod
	}
	r.renewed(sentAt, h)
	return joinPeriod
}

func (r *Registration) list(ctx context.Context) error {
	var once sync.Once
	return every(ctx, func() time.Duration {
		nodes, err := r.group.Members(ctx)
		if err != nil {
			log.WithError(err).Warn("group not read")
		} else {
			r.members.MergeListed(nodes)
		}
		once.Do(func() { close(r.listed) })
		switch {
		case !r.members.HasPeers():
			return firstPeriod
		case r.members.Isolated():
			return earlyPeriod
		}
		return listPeriod * time.Duration(max(r.members.Count(), idleUnit)) / idleUnit
	})
}

// every calls step until ctx ends, pausing for what it returns.
func every(ctx context.Context, step func() time.Duration) error {
	for {
		t := time.NewTimer(step())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}
