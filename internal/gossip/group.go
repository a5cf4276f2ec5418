package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

const (
	// joinPeriod is the time between two renewals of a group member's entry: three tries within
	// joinTTL.
	joinPeriod = 1500 * time.Millisecond
	// joinTTL is how long a VM that vanished stays listed.
	joinTTL = 5 * time.Second
	// listPeriod is the time between two reads of the member list by up to idleReadUnitVMs VMs. VMs
	// track each other by datagrams; the list is for the first contact, and for parts of a
	// deployment that have lost contact with each other.
	listPeriod = time.Minute
	// joinRetryPeriod is the delay after a join that failed: three more tries before joinTTL is
	// over. Each try costs a call, also while the store is unavailable.
	joinRetryPeriod = 750 * time.Millisecond
	// firstListPeriod replaces listPeriod while this VM has no peers, and isolatedListPeriod while
	// it receives no datagrams: the VMs that were listed first may have stopped, and the group
	// assigns a new member its part, and so lists it, only within some renewals of the other
	// members.
	firstListPeriod    = 300 * time.Millisecond
	isolatedListPeriod = 1500 * time.Millisecond
	// joinCheckPeriod is the time between two checks of a VM outside the group whether it is in the
	// active set, and startJoinCheckPeriod that of a VM that has just started.
	joinCheckPeriod      = 250 * time.Millisecond
	startJoinCheckPeriod = 50 * time.Millisecond
	// joinJitter spreads the first joins of VMs that start together and find nobody listed: the
	// others contact the first ones, and most needn't join.
	joinJitter = 500 * time.Millisecond
	// discoveryTime is how long after its start a VM that has peers tracks enough of them to
	// determine whether it is in the active set.
	discoveryTime = 1500 * time.Millisecond
	// leaveDelay is how long a VM stays in the group after it was last in the active set, which
	// varies with the load. It leaves then, so that the group can assign its part to another
	// member before the entry expires.
	leaveDelay = 10 * time.Second
	// leaveTimeout bounds the call that leaves the group.
	leaveTimeout = time.Second
)

// Group is the platform's list of the participating processes.
type Group interface {
	// Join adds n to the list, or keeps it there, for ttl.
	Join(ctx context.Context, n Node, ttl time.Duration) (Assignment, error)
	// Members returns the list.
	Members(ctx context.Context) ([]Node, error)
	// Leave removes n from the list.
	Leave(ctx context.Context, n Node) error
}

// Assignment is what the group has assigned to a member.
type Assignment struct {
	Leader     bool    // the member may order engines and endpoints, as the only one
	Era        era.Era // of the store
	Generation int64   // grows with each change of the assignments in an era
}

// Registration keeps this VM in the group while it has to be a member, and reads the member list.
// It is a kernel unit.
type Registration struct {
	group     Group
	members   *Members
	onRenewed func(sentAt clock.Time, a Assignment)
	listTried chan struct{} // closed after the first try to read the list

	callMu sync.Mutex // serializes joins and leaves, and guards joined
	joined bool

	neededAt clock.Time // when this VM was last in the active set, or the leader; of the joining goroutine
}

// NewRegistration returns the unit. It calls onRenewed after each confirmed renewal.
func NewRegistration(g Group, m *Members, onRenewed func(sentAt clock.Time, a Assignment)) *Registration {
	return &Registration{group: g, members: m, onRenewed: onRenewed, listTried: make(chan struct{})}
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
	r.leave(ctx) // if the call is lost, the entry expires; the beats have announced it already
	return nil
}

// join keeps this VM in the group while it is in the active set or the leader. Other VMs stay out:
// each renewal is a call of the store, so the calls would grow with the number of VMs. A VM that
// doesn't stay in the group must not be assigned leadership either, as there would be no leader
// until the group assigns it again. So a VM that starts reads the list first.
func (r *Registration) join(ctx context.Context) error {
	select {
	case <-r.listTried:
	case <-ctx.Done():
		return ctx.Err()
	}
	return runPeriodically(ctx, func() time.Duration {
		joined := r.isJoined()
		switch {
		case joined && r.shouldLeave():
			r.leave(ctx)
			return joinCheckPeriod
		case !joined && !r.shouldJoin():
			return r.joinCheckDelay()
		}
		return r.renew(ctx)
	})
}

// joinCheckDelay returns the time until a VM outside the group checks again whether to join. VMs
// that have just started check often, since somebody must be listed first.
func (r *Registration) joinCheckDelay() time.Duration {
	if r.members.clock.Now().Sub(r.members.started) < discoveryTime {
		return startJoinCheckPeriod
	}
	return joinCheckPeriod
}

// shouldJoin reports whether this VM is to join the group.
func (r *Registration) shouldJoin() bool {
	m := r.members
	age := m.clock.Now().Sub(m.started)
	switch {
	case m.IsLeader(), m.isListed():
		return true
	case !m.HasPeers():
		return age >= time.Duration(xxhash.Sum64String(m.own.Peer)%uint64(joinJitter))
	}
	return age >= discoveryTime && m.IsActive()
}

// shouldLeave reports whether this VM has been outside the active set, and not the leader, for more
// than leaveDelay.
func (r *Registration) shouldLeave() bool {
	now := r.members.clock.Now()
	if r.neededAt == 0 || r.members.IsActive() || r.members.IsLeader() {
		r.neededAt = now
	}
	return now.Sub(r.neededAt) > leaveDelay
}

func (r *Registration) isJoined() bool {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	return r.joined
}

// leave leaves the group once a renewal under way has ended, which would undo it.
func (r *Registration) leave(ctx context.Context) {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := r.group.Leave(ctx, r.members.own); err != nil {
		log.WithError(err).Warn("leaving the group failed")
	}
	r.joined = false // if the call was lost, the entry expires
}

// renew joins the group or stays in it, unless this VM is shutting down.
func (r *Registration) renew(ctx context.Context) time.Duration {
	r.callMu.Lock()
	defer r.callMu.Unlock()
	if r.members.Leaving() {
		return joinPeriod
	}
	sentAt := r.members.clock.Now()
	a, err := r.group.Join(ctx, r.members.own, joinTTL)
	r.joined = true
	if err != nil {
		log.WithError(err).Warn("joining the group failed")
		return joinRetryPeriod
	}
	r.onRenewed(sentAt, a)
	return joinPeriod
}

func (r *Registration) list(ctx context.Context) error {
	var once sync.Once
	return runPeriodically(ctx, func() time.Duration {
		nodes, err := r.group.Members(ctx)
		if err != nil {
			log.WithError(err).Warn("reading the group failed")
		} else {
			r.members.MergeListed(nodes)
		}
		once.Do(func() { close(r.listTried) })
		switch {
		case !r.members.HasPeers():
			return firstListPeriod
		case r.members.Isolated():
			return isolatedListPeriod
		}
		return listPeriod * time.Duration(max(r.members.Count(), idleReadUnitVMs)) / idleReadUnitVMs
	})
}

// runPeriodically calls step until ctx ends, and waits after each call for the time that it
// returned.
func runPeriodically(ctx context.Context, step func() time.Duration) error {
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
