package authority

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

// storeState is what a restore of the store undoes.
type storeState struct {
	owner      int // VM to which the group assigns leadership
	generation int64
	last       LastLeader
	writes     int64 // of the record; its version
}

// restorableStore is a store that is restored from an older copy at random times. It loses answers and
// executes some writes late.
type restorableStore struct {
	rng             *rand.Rand
	now             *clock.Manual
	era             era.Era
	state           storeState
	copies          []storeState // one per copyInterval
	late            []lateWrite
	ignoreRecordEra bool // records don't say in which era they were written
}

type lateWrite struct {
	at      clock.Time
	vm      string
	version era.Position
}

const copyInterval = 200 * time.Millisecond

var errNoAnswer = errors.New("no answer")

// step lets the group reassign leadership, restores the store and executes late writes, at times.
func (s *restorableStore) step(restores bool) {
	if s.rng.IntN(200) == 0 {
		s.state.owner, s.state.generation = s.rng.IntN(2), s.state.generation+1
	}
	if time.Duration(s.now.T)%copyInterval == 0 {
		s.copies = append(s.copies, s.state)
	}
	if restores && s.rng.IntN(250) == 0 {
		depth := min(1+s.rng.IntN(60), len(s.copies))
		s.state = s.copies[len(s.copies)-depth]
		s.era++
	}
	for i, w := range s.late {
		if w.at <= s.now.T {
			_ = s.write(w.vm, w.version)
			s.late = append(s.late[:i:i], s.late[i+1:]...)
			break
		}
	}
}

// LastLeader implements LeaderRecord.
func (s *restorableStore) LastLeader(context.Context) (LastLeader, era.Position, error) {
	if s.rng.IntN(4) == 0 {
		return LastLeader{}, era.Position{}, errNoAnswer
	}
	last := s.state.last
	if s.ignoreRecordEra {
		last.Era = s.era
	}
	return last, era.Position{Era: s.era, Offset: s.state.writes}, nil
}

// SetLastLeader implements LeaderRecord.
func (s *restorableStore) SetLastLeader(_ context.Context, vm string, version era.Position) error {
	switch s.rng.IntN(6) {
	case 0:
		_ = s.write(vm, version)
		return errNoAnswer
	case 1:
		s.late = append(s.late, lateWrite{s.now.T.Add(time.Duration(s.rng.IntN(6000)) * time.Millisecond), vm, version})
		return errNoAnswer
	}
	return s.write(vm, version)
}

// write compares the offset only, as the store does.
func (s *restorableStore) write(vm string, version era.Position) error {
	if s.state.writes != version.Offset {
		return errors.New("other version")
	}
	s.state.last, s.state.writes = LastLeader{VM: vm, Era: version.Era}, s.state.writes+1
	if version.Era != s.era {
		return errors.New("other era")
	}
	return nil
}

// action is what a leader did.
type action struct {
	vm    int
	at    time.Duration
	fence int64
}

// simulateRestores runs two VMs for a minute, which lose renewals and restart at times, and returns
// their actions. renewals gives the era and the generation of a renewal's answer.
func simulateRestores(seed uint64, restores, ignoreRecordEra bool, renewal func(*restorableStore) (era.Era, int64)) []action {
	const tick = 20 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 2))
	now := &clock.Manual{}
	s := &restorableStore{rng: rng, now: now, era: era.First, state: storeState{generation: 1}, ignoreRecordEra: ignoreRecordEra}
	vms := make([]*Keeper, 2)
	start := func(i int) {
		vms[i] = &Keeper{Authority: New(minLeaderGap, false, now.T), Record: s, Clock: now, VM: fmt.Sprint(i)}
	}
	start(0)
	start(1)
	var nextRenewal [2]time.Duration
	var out []action
	for at := time.Duration(0); at < time.Minute; at += tick {
		now.T = clock.Time(at)
		s.step(restores)
		if rng.IntN(300) == 0 {
			start(rng.IntN(2))
		}
		for i, k := range vms {
			if at >= nextRenewal[i] && rng.IntN(4) > 0 {
				e, generation := renewal(s)
				k.Authority.RecordRenewal(now.T, s.state.owner == i, e, generation)
				nextRenewal[i] = at + renewInterval
			}
			if rng.IntN(3) > 0 {
				k.runStep(context.Background())
			}
			if fence, ok := k.Authority.MayAct(now.T); ok {
				out = append(out, action{i, at, fence})
			}
		}
	}
	return out
}

func answerOf(s *restorableStore) (era.Era, int64) { return s.era, s.state.generation }

// violation returns what is wrong with a sequence of actions, empty if nothing is.
func violation(actions []action) string {
	tokens := map[int64]int{}
	for i, a := range actions {
		if vm, used := tokens[a.fence]; used && vm != a.vm {
			return fmt.Sprintf("token %d of two VMs", a.fence)
		}
		tokens[a.fence] = a.vm
		if i == 0 || actions[i-1].vm == a.vm && actions[i-1].fence <= a.fence {
			continue
		}
		p := actions[i-1]
		if a.fence < p.fence {
			return fmt.Sprintf("token %d after %d", a.fence, p.fence)
		}
		if a.at-p.at < minLeaderGap {
			return fmt.Sprintf("VM %d at %s, VM %d at %s", p.vm, p.at, a.vm, a.at)
		}
	}
	return ""
}

// Guards against two leaders that act within minLeaderGap, share a token, or use a lower one than
// before, because a restore of the store has undone an assignment or the record of who acted last.
func TestLeadersStaySafeWhenTheStoreIsRestored(t *testing.T) {
	acted := 0
	for seed := range uint64(400) {
		actions := simulateRestores(seed, true, false, answerOf)
		assert.Equal(t, violation(actions), "", "seed %d", seed)
		acted += len(actions)
	}
	t.Logf("%d actions", acted)
	assert.Assert(t, acted > 0)
}

// The same simulation finds violations if a record's era or that of a generation is ignored.
func TestLeadersNeedTheErasOfRecordsAndGenerations(t *testing.T) {
	withoutEra := func(s *restorableStore) (era.Era, int64) { return era.None, s.state.generation }
	ignored, plain := 0, 0
	for seed := range uint64(400) {
		if violation(simulateRestores(seed, true, true, answerOf)) != "" {
			ignored++
		}
		if violation(simulateRestores(seed, true, false, withoutEra)) != "" {
			plain++
		}
	}
	t.Logf("records without their era: %d of 400 seeds; generations without theirs: %d", ignored, plain)
	assert.Assert(t, ignored > 0 && plain > 0)
}
