package gossip

import (
	"context"
	"time"

	"fescuestand/internal/swim"
)

// maxStepPause bounds the pause between two passes of the failure detector.
const maxStepPause = time.Second

// PushUpdates sends the pending updates for all VMs to a few VMs at once, which pass them on.
func (u *Unit) PushUpdates() {
	u.members.push()
	wake(u.wakeProbe)
}

// runProbes runs the failure detector until ctx ends, whenever a pass is due or a message came.
func (u *Unit) runProbes(ctx context.Context) error {
	for {
		out, next := u.members.step()
		u.sendProbes(out)
		u.members.logCensus()
		t := time.NewTimer(min(max(next.Sub(u.members.clock.Now()), 0), maxStepPause))
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		case <-u.wakeProbe:
			t.Stop()
		}
	}
}

// sendProbes sends membership messages, with the pending updates for all VMs.
func (u *Unit) sendProbes(out []swim.Send) {
	for i := range out {
		b := encodeProbe(&out[i].Message)
		_, b.NewestReadMs = u.members.readAges()
		u.content.FillUpdates(b)
		u.sendTo([]string{out[i].To}, b)
	}
}
