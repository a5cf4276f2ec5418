package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
)

const (
	// joinPeriod keeps a VM of the front listed: three tries within joinTTL.
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
	// outsidePeriod is the time between two looks of a VM that isn't one of the
	// front, whether it has come to be.
	outsidePeriod = 250 * time.Millisecond
	// leaveTimeout bounds the farewell to the group.
	leaveTimeout = time.Second
)

// Group is the platform's list of the processes that take part.
type Group interface {
	// Join adds n or keeps it in the list for ttl.
	Join(ctx context.Context, n Node, ttl time.Duration) (Holding, error)
	// Members returns the list.
	Members(ctx context.Context) ([]Node, error)
	// Leave takes n off the list.
	Leave(ctx context.Context, n Node) error
}

// Holding is what the group has dealt to a member.
type Holding struct {
	Duty       bool  // of giving orders, which one member has
	Generation int64 // grows with each change of the dealing
}

// Registration keeps this VM in the group and reads it. It is a kernel unit.
type Registration struct {
	group   Group
	members *Members
	renewed func(sentAt clock.Time, h Holding)
	listed  chan struct{} // closed after the first try to read the list
}

// NewRegistration returns the unit. renewed is told of each confirmed renewal.
func NewRegistration(g Group, m *Members, renewed func(sentAt clock.Time, h Holding)) *Registration {
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
	r.members.Leave()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := r.group.Leave(ctx, r.members.own); err != nil {
		// The entry lapses by itself; the beats have said it already.
		log.WithError(err).Warn("group not left")
	}
	return nil
}

// join keeps this VM in the group while it is one of the front, or holds the duty. The
// others needn't be listed: each renewal is a call of the store, and their number would
// grow with that of the VMs. A VM that starts reads the list first, and doesn't join if
// enough others stand there.
func (r *Registration) join(ctx context.Context) error {
	select {
	case <-r.listed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return every(ctx, func() time.Duration {
		if r.members.Leaving() {
			return joinPeriod
		}
		if !r.members.Front() && !r.members.Duty() {
			return outsidePeriod
		}
		sentAt := r.members.clock.Now()
		h, err := r.group.Join(ctx, r.members.own, joinTTL)
		if err != nil {
			log.WithError(err).Warn("group not joined")
			return retryPeriod
		}
		r.renewed(sentAt, h)
		return joinPeriod
	})
}

func (r *Registration) list(ctx context.Context) error {
	var once sync.Once
	return every(ctx, func() time.Duration {
		nodes, err := r.group.Members(ctx)
		if err != nil {
			log.WithError(err).Warn("group not read")
		} else {
			r.members.List(nodes)
		}
		once.Do(func() { close(r.listed) })
		switch {
		case !r.members.Known():
			return firstPeriod
		case r.members.Alone():
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
