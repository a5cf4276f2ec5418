package replica

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient/logtest"
	"fescuestand/internal/membership"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

func sheetText(note string) []byte {
	return fmt.Appendf(nil, `{"deployment": "d", "note": %q, "engines": [], "pools": [],
		"classes": [{"name": "c", "priority": 1, "deadline": "8s", "first_token": "1s", "between_tokens": "50ms", "objective": 0.9}],
		"limits": {"max_body": 1, "max_tokens": 1, "workspace_share": 1, "commit_window": "1h", "queue_per_engine": 1}}`, note)
}

func publishEntry(base uint64, id string) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Sheet{Sheet: &wire.Sheet{Base: base, PublishId: id, Body: sheetText(id)}}}
}

// Guards against callers of a VM without log access being served by an old sheet. The VM loses the
// log before a sheet is accepted, and must have the sheet within seconds all the same: gossip
// announces the version and a peer sends the sheet.
func TestSheetReachesAProcessWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		for i := range 8 {
			f.start(fmt.Sprint("vm", i), false)
		}
		time.Sleep(3 * time.Second)
		f.logs["vm3"].setCut(true)
		time.Sleep(time.Second)
		v, err := f.publish(0, "morning")
		assert.NilError(t, err)
		assert.Assert(t, v.Accepted)
		time.Sleep(3 * time.Second)
		for vm, r := range f.reps {
			assert.Equal(t, r.View().Version, v.Offset, vm)
		}
		assert.Assert(t, !f.reps["vm3"].View().Log.Healthy)
	})
}

// Guards against a VM that can't start, or reports ready without a sheet, during a long outage of
// the log. With peers that have the sheet it becomes ready; without them it does not.
func TestStartDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.start("vm0", false)
		time.Sleep(time.Second)
		v, err := f.publish(0, "one")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		f.log.SetDown(true)
		joined := f.start("vm1", false)
		time.Sleep(4 * time.Second)
		assert.Assert(t, joined.View().Ready)
		assert.Equal(t, joined.View().Version, v.Offset)
		f.stop["vm0"]()
		f.mu.Lock()
		delete(f.reps, "vm0")
		delete(f.stop, "vm0")
		delete(f.reps, "vm1")
		f.mu.Unlock()
		isolated := f.start("vm2", false)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !isolated.View().Ready)
	})
}

// Guards against two accepted publishes on one base. Two operators publish at the same time, fifty
// times; each round has one winner, and all VMs have the same verdicts.
func TestRacingPublishesHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		for i := range 4 {
			f.start(fmt.Sprint("vm", i), false)
		}
		time.Sleep(2 * time.Second)
		base := uint64(0)
		const rounds = 50
		for round := range rounds {
			verdicts := make([]*wire.Verdict, 2)
			var wg sync.WaitGroup
			for op := range verdicts {
				wg.Go(func() {
					v, err := f.publish(base, fmt.Sprintf("r%d-%d", round, op))
					assert.NilError(t, err)
					verdicts[op] = v
				})
			}
			wg.Wait()
			assert.Assert(t, verdicts[0].Accepted != verdicts[1].Accepted)
			for _, v := range verdicts {
				if v.Accepted {
					base = v.Offset
				} else {
					assert.Equal(t, code.Code(v.Code), code.RacingPublish)
				}
			}
		}
		time.Sleep(2 * time.Second)
		first := f.reps["vm0"].View().Verdicts
		assert.Equal(t, len(first), 2*rounds)
		for vm, r := range f.reps {
			assert.Equal(t, r.View().Version, base, vm)
			for i, v := range r.View().Verdicts {
				assert.Assert(t, proto.Equal(v, first[i]), "%s: %v", vm, v)
			}
		}
	})
}

// Guards against losing the sheet when its record expires while VMs are replaced one after another.
func TestSheetSurvivesRecordExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.start("vm0", false)
		time.Sleep(time.Second)
		v, err := f.publish(0, "one")
		assert.NilError(t, err)
		time.Sleep(2 * checkpointJitter)
		f.stop["vm0"]()
		f.mu.Lock()
		delete(f.stop, "vm0")
		delete(f.reps, "vm0")
		f.vms = nil
		f.mu.Unlock()
		f.log.Expire("config", v.Offset+1)
		next := f.start("vm1", false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, next.View().Version, v.Offset)
		assert.Equal(t, next.View().Sheet.Note, "one")
		time.Sleep(2 * defaultCheckpointInterval)
		assert.Assert(t, f.log.End("config") > v.Offset+2, "the checkpoint was renewed")
	})
}

// Guards against publishes that can never be accepted again. The log is down for longer than its
// retention, and all VMs are replaced one after another meanwhile. They get the sheet from each
// other, but no record of it is left in the log.
func TestSheetIsRestoredWhenNoRecordIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		f.start("vm0", false)
		time.Sleep(time.Second)
		v, err := f.publish(0, "one")
		assert.NilError(t, err)
		time.Sleep(2 * checkpointJitter)
		f.log.SetDown(true)
		f.start("vm1", false)
		time.Sleep(5 * time.Second)
		f.stop["vm0"]()
		f.mu.Lock()
		delete(f.stop, "vm0")
		delete(f.reps, "vm0")
		f.mu.Unlock()
		f.log.Expire("config", f.log.End("config"))
		f.log.SetDown(false)
		time.Sleep(restoreAfter + 2*checkpointJitter)
		assert.Equal(t, f.reps["vm1"].View().Version, v.Offset)
		next, err := f.publish(v.Offset, "two")
		assert.NilError(t, err)
		assert.Assert(t, next.Accepted, "%v", next)
	})
}

// Guards against an outcome that stays unknown. The answer of a publish is lost and its record
// doesn't appear. The operator must get the answer that it can't take effect, and it must have no
// effect if the record appears later.
func TestPublishWithLostAnswerIsResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		n := 0
		f.log.SetOutcome(func(string, []byte) logtest.Outcome {
			n++
			if n < 10 {
				return logtest.Delayed
			}
			return logtest.Applied
		})
		_, err := f.publish(0, "lost")
		assert.Equal(t, code.Of(err).Run, code.NotRun, "%v", err)
		f.log.ReleaseDelayed()
		r := f.start("vm0", false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, r.View().Version, uint64(0))
	})
}

// Guards against callers being sent to a leaving VM. It must announce this to all other VMs at
// once; the VM list and missing heartbeats show it too late.
func TestLeavingIsAnnouncedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		for i := range 8 {
			f.start(fmt.Sprint("vm", i), false)
		}
		time.Sleep(5 * time.Second)
		for vm, r := range f.reps {
			for _, m := range r.View().Members {
				assert.Equal(t, m.State, membership.Live, "%s of %s", vm, m.Name)
			}
		}
		f.reps["vm5"].SetLeaving()
		time.Sleep(20 * time.Millisecond)
		for _, r := range f.reps {
			assert.Equal(t, r.View().Member("vm5").State, membership.Leaving)
		}
	})
}

// Guards against going back to an older sheet. A process requests the sheet of a peer, and a newer
// one arrives from the log before the peer's answer.
func TestLateSheetFromPeerIsIgnored(t *testing.T) {
	run := func(allowOlder bool) uint64 {
		s := &state{r: New(Options{}), aheadSince: map[string]clock.Time{}}
		s.r.opt.allowOlderVersion = allowOlder
		s.adopt(fold.AcceptedSheet{Version: 5, Sheet: &sheet.Sheet{}}, "log")
		sheetPulled{fold.AcceptedSheet{Version: 3, Sheet: &sheet.Sheet{}}}.apply(s)
		return s.inForce.Version
	}
	assert.Equal(t, run(false), uint64(5))
	assert.Equal(t, run(true), uint64(3), "without the guard the sheet reverts")
}

// Guards against a version in force that decreases when the log and the peers return old and new
// states in any order.
func TestVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		for i := range 3 {
			f.start(fmt.Sprint("vm", i), false)
		}
		done := make(chan struct{})
		for _, r := range f.reps {
			go watchVersion(t, r, done)
		}
		base := uint64(0)
		for i := range 30 {
			f.log.SetStaleReads(i % 4)
			f.logs["vm1"].setCut(i%3 == 0)
			v, err := f.publish(base, fmt.Sprint("p", i))
			assert.NilError(t, err)
			base = v.Offset
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
		}
		close(done)
	})
}

func watchVersion(t *testing.T, r *Replica, done chan struct{}) {
	last := uint64(0)
	for {
		changed := r.Updated()
		v := r.View().Version
		if v < last {
			t.Errorf("version decreased from %d to %d", last, v)
		}
		last = v
		select {
		case <-changed:
		case <-done:
			return
		}
	}
}
