package authority

import (
	"context"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// LeaderRecord is the platform's stored record of the VM that acted last as leader.
type LeaderRecord interface {
	// LastLeader returns that VM, empty if there is none, and the record's version.
	LastLeader(ctx context.Context) (vm string, version int64, err error)
	// SetLastLeader replaces the record if it still has the given version.
	SetLastLeader(ctx context.Context, vm string, version int64) error
}

// Keeper performs the steps of an Authority on the record. It is a kernel unit.
type Keeper struct {
	Authority *Authority
	Record    LeaderRecord
	Clock     clock.Clock
	VM        string // this VM's name in the record, unchanged by a restart

	version int64 // of the record when it was last read
}

// stepInterval is the interval between checks for a pending step.
const stepInterval = 100 * time.Millisecond

// Name implements kernel.Unit.
func (k *Keeper) Name() string { return "duty" }

// Run implements kernel.Runner.
func (k *Keeper) Run(ctx context.Context) error {
	return clock.Every(ctx, stepInterval, func() { k.runStep(ctx) })
}

func (k *Keeper) runStep(ctx context.Context) {
	step, term := k.Authority.NextStep(k.Clock.Now())
	switch step {
	case NoStep:
	case ReadRecord:
		vm, version, err := k.Record.LastLeader(ctx)
		k.version = version
		k.Authority.RecordStepResult(term, vm == k.VM, err == nil)
		log.WithError(err).WithField("last_holder", vm).WithField("own", vm == k.VM).Info("leader record read")
	case WriteRecord:
		err := k.Record.SetLastLeader(ctx, k.VM, k.version)
		k.Authority.RecordStepResult(term, err == nil, err == nil)
		log.WithError(err).WithField("last_holder", k.VM).Info("leader record written")
	}
}
