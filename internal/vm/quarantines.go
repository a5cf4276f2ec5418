package vm

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/crash"
)

const (
	// quarantineInterval is the time between two checks of whether quarantines have changed.
	quarantineInterval = 100 * time.Millisecond
	// quarantineRefresh is the time after which the record is written again, as a VM that reads it takes the
	// crashes to be as old as they were when it was written.
	quarantineRefresh = time.Minute
	// quarantineRetry is the time between two attempts to write.
	quarantineRetry = time.Second
	// maxStoredCrashes bounds the crashes in the record.
	maxStoredCrashes = 512
)

// QuarantineStore keeps quarantines where they outlive all VMs.
type QuarantineStore interface {
	// PutQuarantines replaces the crashes for which requests and prompt parts are quarantined.
	PutQuarantines(ctx context.Context, crashes []crash.Crash) error
}

// recordsRead handles the records that this VM has read at its start.
func (n *Node) recordsRead(r originsync.Records) {
	n.hasStored.Store(len(r.Quarantines) > 0)
	for _, c := range r.Quarantines {
		n.gossipContent.RecordStoredCrash(c)
	}
}

// quarantineUnit keeps the quarantines in force at the store while this VM is the leader. It makes no call as
// long as there have been none.
type quarantineUnit struct {
	n         *Node
	stored    []crash.Crash // written by this VM since it became the leader
	writtenAt clock.Time
	retryAt   clock.Time
}

// Name implements kernel.Unit.
func (u *quarantineUnit) Name() string { return "quarantines" }

// Run implements kernel.Runner.
func (u *quarantineUnit) Run(ctx context.Context) error {
	return clock.Every(ctx, quarantineInterval, func() { u.update(ctx) })
}

func (u *quarantineUnit) update(ctx context.Context) {
	now := u.n.clock.Now()
	inForce := u.n.crashes.InForce(now, maxStoredCrashes)
	if len(inForce) > 0 {
		u.n.hasStored.Store(true) // by the leader
	}
	if !u.n.isLeader() {
		u.stored = nil
		return
	}
	isStored := slices.EqualFunc(inForce, u.stored, isSameCrash) && now.Sub(u.writtenAt) < quarantineRefresh
	if !u.n.hasStored.Load() || len(inForce) > 0 && isStored || now < u.retryAt {
		return
	}
	u.retryAt = now.Add(quarantineRetry)
	if err := u.n.adapter.QuarantineStore().PutQuarantines(ctx, inForce); err != nil {
		log.WithError(err).WithField("crashes", len(inForce)).Warn("quarantines not stored")
		return
	}
	u.stored, u.writtenAt = inForce, now
	u.n.hasStored.Store(len(inForce) > 0)
}

func isSameCrash(a, b crash.Crash) bool {
	isSamePart := func(p, q crash.PartCrash) bool { return p.Part == q.Part && p.Cleared == q.Cleared }
	return a.Request == b.Request && a.Endpoint == b.Endpoint && slices.EqualFunc(a.Parts, b.Parts, isSamePart)
}
