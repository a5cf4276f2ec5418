package authority

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

const (
	minLeaderGap  = 3 * time.Second
	renewInterval = 1500 * time.Millisecond
)

// fakeRecord is the store's record, read and written without delay.
type fakeRecord struct{ last string }

// runStep performs the next step of a, which belongs to vm.
func (r *fakeRecord) runStep(a *Authority, vm string, at time.Duration) {
	step, term := a.NextStep(clock.Time(at))
	if step == WriteRecord {
		r.last = vm
	}
	if step != NoStep {
		a.RecordStepResult(term, r.last == vm, true)
	}
}

// stepAndMayAct performs the pending steps of a, with another VM as the last to act, and reports
// whether a may then act.
func stepAndMayAct(a *Authority, at time.Duration) bool {
	r := fakeRecord{"another"}
	r.runStep(a, "vm", at)
	r.runStep(a, "vm", at)
	_, ok := a.MayAct(clock.Time(at))
	return ok
}

func TestNewLeaderWaitsUntilPredecessorHasStopped(t *testing.T) {
	a := New(minLeaderGap, false, 0)
	for at := time.Duration(0); at <= 9*time.Second; at += renewInterval {
		assert.Equal(t, stepAndMayAct(a, at), at > leaseDuration+maxOrderFlight+minLeaderGap, "at %s", at)
		a.RecordRenewal(clock.Time(at), true, era.None, 4)
	}
	fence, ok := a.MayAct(clock.Time(9 * time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, fence, int64(4))
}

// Guards against orders from a leader that was frozen for ten seconds, in which the group assigned
// leadership to another VM, and that still considers itself the leader. Its clock counts the
// suspension, so that its last renewal is too old to act on.
func TestFrozenLeaderDoesNotActAfterResume(t *testing.T) {
	a := New(minLeaderGap, true, 0)
	a.RecordRenewal(0, true, era.None, 1)
	a.RecordRenewal(clock.Time(renewInterval), true, era.None, 1)
	assert.Assert(t, stepAndMayAct(a, renewInterval+leaseDuration-time.Millisecond))
	assert.Assert(t, !stepAndMayAct(a, renewInterval+10*time.Second))
	// When it becomes leader again, a new term starts.
	a.RecordRenewal(clock.Time(renewInterval+10*time.Second), true, era.None, 3)
	assert.Assert(t, !stepAndMayAct(a, renewInterval+11*time.Second))
}

// Guards against two leaders while a deployment starts. Two VMs start at the same moment. The first
// to join is assigned everything, the second takes over a part a moment later, which the first
// detects only with its next renewal, or not at all if the store rejects it meanwhile.
func TestTwoLeadersNeverActAtOnceDuringFirstStart(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		first, second := New(minLeaderGap, true, 0), New(minLeaderGap, true, 0)
		const leadsFrom = 200 * time.Millisecond
		first.RecordRenewal(clock.Time(100*time.Millisecond), true, era.None, 1)
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			if at >= leadsFrom && (at-leadsFrom)%renewInterval == 0 {
				second.RecordRenewal(clock.Time(at), true, era.None, 2)
			}
			if !cutOff && at >= renewInterval && at%renewInterval == 0 {
				first.RecordRenewal(clock.Time(at), false, era.None, 2)
			}
			assert.Assert(t, !stepAndMayAct(first, at) || !stepAndMayAct(second, at), "both at %s", at)
		}
		assert.Assert(t, stepAndMayAct(second, leadsFrom+2*renewInterval))
	}
}

// Guards against the short wait of a first start being used hours later, when leadership moves. The
// last leader sent an order a moment before it detected that; after the short wait the same engine
// would be sent another order 0.4 s later.
func TestFullTakeoverWaitAppliesAfterFirstStart(t *testing.T) {
	const leadsFrom = time.Hour
	a := New(minLeaderGap, true, 0)
	for at := time.Duration(0); at < leadsFrom; at += renewInterval {
		a.RecordRenewal(clock.Time(at), false, era.None, 1)
	}
	for at := leadsFrom; at <= leadsFrom+6*renewInterval; at += renewInterval {
		a.RecordRenewal(clock.Time(at), true, era.None, 2)
		assert.Equal(t, stepAndMayAct(a, at), at-leadsFrom >= leaseDuration+maxOrderFlight+minLeaderGap, "at %s", at-leadsFrom)
	}
}

func TestLostLeadershipEndsAtOnce(t *testing.T) {
	a := New(minLeaderGap, true, 0)
	a.RecordRenewal(0, true, era.None, 1)
	a.RecordRenewal(clock.Time(2*time.Second), true, era.None, 1)
	assert.Assert(t, stepAndMayAct(a, 2600*time.Millisecond))
	a.RecordRenewal(clock.Time(2700*time.Millisecond), false, era.None, 2)
	assert.Assert(t, !stepAndMayAct(a, 2800*time.Millisecond))
}

// Guards against the full takeover wait after a restart of the leader under the name that the group
// already has. Leadership is still its own, but it waited as if another VM might act and no engine
// changed its stage: with one decode engine left callers were refused for fifteen seconds.
func TestRestartedLeaderResumesWithoutTakeoverWait(t *testing.T) {
	r := fakeRecord{"vm"}
	a := New(minLeaderGap, false, 0)
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		if at%renewInterval == 0 {
			a.RecordRenewal(clock.Time(at), true, era.None, 4)
		}
		r.runStep(a, "vm", at)
		_, ok := a.MayAct(clock.Time(at))
		assert.Equal(t, ok, at >= leaseDuration, "at %s", at)
	}
}

// Guards against actions of two leaders within minLeaderGap. Leadership moves between two VMs again
// and again, and VMs lose renewals or steps, or restart, at random moments that depend on the seed.
func TestActionsOfTwoLeadersAreMinLeaderGapApart(t *testing.T) {
	const tick = 20 * time.Millisecond
	acted := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := fakeRecord{}
		vms := []*Authority{New(minLeaderGap, false, 0), New(minLeaderGap, false, 0)}
		owner, generation := 0, int64(1)
		nextRenewal := []time.Duration{0, 0}
		last, lastAt := -1, time.Duration(-1<<40)
		for at := time.Duration(0); at < 60*time.Second; at += tick {
			if rng.IntN(200) == 0 { // assigned again, sometimes to the same VM
				owner, generation = rng.IntN(2), generation+1
			}
			if rng.IntN(400) == 0 { // restarted
				vms[rng.IntN(2)] = New(minLeaderGap, false, clock.Time(at))
			}
			for i, a := range vms {
				if at >= nextRenewal[i] && rng.IntN(4) > 0 { // some renewals fail
					a.RecordRenewal(clock.Time(at), owner == i, era.None, generation)
					nextRenewal[i] = at + renewInterval
				}
				if rng.IntN(3) > 0 {
					r.runStep(a, fmt.Sprint(i), at)
				}
				if _, ok := a.MayAct(clock.Time(at)); !ok {
					continue
				}
				assert.Assert(t, last == i || at-lastAt >= minLeaderGap, "seed %d: %d at %s, %d at %s", seed, last, lastAt, i, at)
				last, lastAt = i, at
				acted++
			}
		}
	}
	assert.Assert(t, acted > 0)
}
