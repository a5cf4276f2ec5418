package authority

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const (
	turn  = 3 * time.Second
	renew = 1500 * time.Millisecond
)

// record is the store's, written and read without delay.
type record struct{ last string }

// keep does the next step of a, which belongs to vm, at the record.
func (r *record) keep(a *Authority, vm string, at time.Duration) {
	step, h := a.NextStep(clock.Time(at))
	if step == WriteRecord {
		r.last = vm
	}
	if step != NoStep {
		a.RecordStepResult(h, r.last == vm, true)
	}
}

// may tells whether a may act, leaving the fencing token aside, after it has done at
// the record what it has to; the last to act was another VM.
func may(a *Authority, at time.Duration) bool {
	r := record{"another"}
	r.keep(a, "vm", at)
	r.keep(a, "vm", at)
	_, ok := a.MayAct(clock.Time(at))
	return ok
}

func TestANewHolderWaitsUntilTheLastMustHaveStopped(t *testing.T) {
	a := New(turn, false, 0)
	for at := time.Duration(0); at <= 9*time.Second; at += renew {
		assert.Equal(t, may(a, at), at > hold+inFlight+turn, "at %s", at)
		a.RecordRenewal(clock.Time(at), true, 4)
	}
	fence, ok := a.MayAct(clock.Time(9 * time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, fence, int64(4))
}

// A holder is frozen for ten seconds, in which the group deals its duty to
// another VM. It wakes and believes that it still holds it. Its clock counts the
// suspension, so that its last renewal is too old to act by.
func TestAHolderThatWasFrozenDoesNotAct(t *testing.T) {
	a := New(turn, true, 0)
	a.RecordRenewal(0, true, 1)
	a.RecordRenewal(clock.Time(renew), true, 1)
	assert.Assert(t, may(a, renew+hold-time.Millisecond))
	assert.Assert(t, !may(a, renew+10*time.Second))
	// Dealt to it again, it is a new holder.
	a.RecordRenewal(clock.Time(renew+10*time.Second), true, 3)
	assert.Assert(t, !may(a, renew+11*time.Second))
}

// Two VMs start at the same moment. The first to join is dealt everything, the
// second a part of it a moment later, which the first learns only with its next
// renewal, or not at all if the store turns it away meanwhile. At no time may
// both act.
func TestTwoHoldersNeverActAtOnceWhileADeploymentStarts(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		first, second := New(turn, true, 0), New(turn, true, 0)
		const dealt = 200 * time.Millisecond
		first.RecordRenewal(clock.Time(100*time.Millisecond), true, 1)
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			if at >= dealt && (at-dealt)%renew == 0 {
				second.RecordRenewal(clock.Time(at), true, 2)
			}
			if !cutOff && at >= renew && at%renew == 0 {
				first.RecordRenewal(clock.Time(at), false, 2)
			}
			assert.Assert(t, !may(first, at) || !may(second, at), "both at %s", at)
		}
		assert.Assert(t, may(second, dealt+2*renew))
	}
}

// Hours after a deployment started for the first time, the group deals the duty
// anew. The last holder gave an order a moment before it learned of that. A
// process that still took its peers for newcomers would give the same engine
// another one 0.4 s later.
func TestAProcessThatStartedFirstWaitsInFullLater(t *testing.T) {
	const dealt = time.Hour
	a := New(turn, true, 0)
	for at := time.Duration(0); at < dealt; at += renew {
		a.RecordRenewal(clock.Time(at), false, 1)
	}
	for at := dealt; at <= dealt+6*renew; at += renew {
		a.RecordRenewal(clock.Time(at), true, 2)
		assert.Equal(t, may(a, at), at-dealt >= hold+inFlight+turn, "at %s", at-dealt)
	}
}

func TestALostDutyEndsAtOnce(t *testing.T) {
	a := New(turn, true, 0)
	a.RecordRenewal(0, true, 1)
	a.RecordRenewal(clock.Time(2*time.Second), true, 1)
	assert.Assert(t, may(a, 2600*time.Millisecond))
	a.RecordRenewal(clock.Time(2700*time.Millisecond), false, 2)
	assert.Assert(t, !may(a, 2800*time.Millisecond))
}

// A VM that gives orders is killed and starts again under the name that the group
// knows. The duty is still its own. It waited as if another VM might act, in which no
// engine changed its stage: with one decode engine left callers were refused for
// fifteen seconds.
func TestARestartedHolderGoesOnOnceNobodyElseCanHaveActed(t *testing.T) {
	r := record{"vm"}
	a := New(turn, false, 0)
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		if at%renew == 0 {
			a.RecordRenewal(clock.Time(at), true, 4)
		}
		r.keep(a, "vm", at)
		_, ok := a.MayAct(clock.Time(at))
		assert.Equal(t, ok, at >= hold, "at %s", at)
	}
}

// Two VMs are dealt the duty in turn, over and over; one of them is frozen, cut off or
// restarted now and then, at moments that a seed draws. An order of one must not
// follow an order of the other within the time of a turn.
func TestTwoHoldersNeverTakeTurnsTooSoon(t *testing.T) {
	const tick = 20 * time.Millisecond
	acted := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := record{}
		vms := []*Authority{New(turn, false, 0), New(turn, false, 0)}
		owner, generation := 0, int64(1)
		next := []time.Duration{0, 0} // renewal
		last, lastAt := -1, time.Duration(-1<<40)
		for at := time.Duration(0); at < 60*time.Second; at += tick {
			if rng.IntN(200) == 0 { // dealt anew, at times to the same VM
				owner, generation = rng.IntN(2), generation+1
			}
			if rng.IntN(400) == 0 { // restarted
				vms[rng.IntN(2)] = New(turn, false, clock.Time(at))
			}
			for i, a := range vms {
				if at >= next[i] && rng.IntN(4) > 0 { // some renewals fail
					a.RecordRenewal(clock.Time(at), owner == i, generation)
					next[i] = at + renew
				}
				if rng.IntN(3) > 0 {
					r.keep(a, fmt.Sprint(i), at)
				}
				if _, ok := a.MayAct(clock.Time(at)); !ok {
					continue
				}
				assert.Assert(t, last == i || at-lastAt >= turn, "seed %d: %d at %s, %d at %s", seed, last, lastAt, i, at)
				last, lastAt = i, at
				acted++
			}
		}
	}
	assert.Assert(t, acted > 0)
}
