package authority

import (
	"context"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// LeaderRecord is kept by the platform's store: the VM that acted last.
type LeaderRecord interface {
	// LastLeader returns the VM, empty if there is none, and the record's version.
	LastLeader(ctx context.Context) (vm string, version int64, err error)
	// SetLastLeader replaces the record if it still has that version.
	SetLastLeader(ctx context.Context, vm string, version int64) error
}

// Keeper does the steps at the record. It is a kernel unit.
type Keeper struct {
	Authority *Authority
	Record    LeaderRecord
	Clock     clock.Clock
	VM        string // this one's name in the record: the same after a restart

	version int64 // of the record that was read last
}

// keepPeriod is the time between two looks.
const keepPeriod = 100 * time.Millisecond

// Name implements kernel.Unit.
func (k *Keeper) Name() string { return "duty" }

// Run implements kernel.Runner.
func (k *Keeper) Run(ctx context.Context) error {
	return clock.Every(ctx, keepPeriod, func() { k.look(ctx) })
}

func (k *Keeper) look(ctx context.Context) {
	step, holding := k.Authority.NextStep(k.Clock.Now())
	switch step {
	case NoStep:
	case ReadRecord:
		vm, version, err := k.Record.LastLeader(ctx)
		k.version = version
		k.Authority.RecordStepResult(holding, vm == k.VM, err == nil)
		log.WithError(err).WithField("last_holder", vm).WithField("own", vm == k.VM).Info("duty record read")
	case WriteRecord:
		err := k.Record.SetLastLeader(ctx, k.VM, k.version)
		k.Authority.RecordStepResult(holding, err == nil, err == nil)
		log.WithError(err).WithField("last_holder", k.VM).Info("duty record written")
	}
}
