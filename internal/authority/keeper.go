package authority

import (
	"context"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

// LastLeader names the VM that acted last as leader, and the store's era in which it wrote that.
type LastLeader struct {
	VM  string
	Era era.Era
}

// LeaderRecord is the platform's stored record of the VM that acted last as leader.
type LeaderRecord interface {
	// LastLeader returns that VM, none if there is no record, and the record's version.
	LastLeader(ctx context.Context) (last LastLeader, version era.Position, err error)
	// SetLastLeader replaces the record if it still has the given version. It fails if the store's
	// era isn't that of the version.
	SetLastLeader(ctx context.Context, vm string, version era.Position) error
}

// Keeper performs the steps of an Authority on the record. It is a kernel unit.
type Keeper struct {
	Authority *Authority
	Record    LeaderRecord
	Clock     clock.Clock
	VM        string // this VM's name in the record, unchanged by a restart

	version era.Position // of the record when it was last read
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
		last, version, err := k.Record.LastLeader(ctx)
		k.version = version
		own := last.VM == k.VM && last.Era == version.Era
		k.Authority.RecordStepResult(term, own, err == nil)
		log.WithError(err).WithField("last_holder", last.VM).WithField("written_in", uint64(last.Era)).WithField("era", uint64(version.Era)).
			WithField("own", own).Info("leader record read")
	case WriteRecord:
		err := k.Record.SetLastLeader(ctx, k.VM, k.version)
		k.Authority.RecordStepResult(term, err == nil, err == nil)
		log.WithError(err).WithField("last_holder", k.VM).Info("leader record written")
	}
}
