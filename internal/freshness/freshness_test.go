package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const (
	maxAcceptAge = 5 * time.Second
	maxDenyAge   = 3 * time.Second
)

func newTracker() (*clock.Manual, *Tracker) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	return c, New(c, Limits{maxAcceptAge, maxDenyAge})
}

func TestVerdictFollowsConfigAge(t *testing.T) {
	c, tr := newTracker()
	assert.Equal(t, tr.Verdict(), Stale)
	tr.RecordRead(c.T)
	for _, step := range []struct {
		after time.Duration
		want  Verdict
	}{{0, AcceptOrDeny}, {maxDenyAge, AcceptOrDeny}, {maxDenyAge + 1, AcceptOnly}, {maxAcceptAge, AcceptOnly}, {maxAcceptAge + 1, Stale}} {
		tr.RecordRead(clock.Time(time.Hour)) // an older read changes nothing
		c.T = clock.Time(time.Hour).Add(step.after)
		assert.Equal(t, tr.Verdict(), step.want, "after %s", step.after)
	}
	tr.RecordRead(c.T)
	assert.Equal(t, tr.Verdict(), AcceptOrDeny)
}

// Guards against an answer that waited in the socket of a suspended process and makes the
// configuration look newer than it is.
func TestDelayedAnswerCountsFromItsQuery(t *testing.T) {
	c, tr := newTracker()
	askedAt := c.T
	c.T = c.T.Add(10 * time.Second)
	tr.MergeAnswer(askedAt, 0, 0)
	assert.Equal(t, tr.Verdict(), Stale)
}

// Guards against an answer that counts before the version that it names is in force.
func TestAnswerCountsOnceItsVersionIsInForce(t *testing.T) {
	c, tr := newTracker()
	tr.RecordInForce(3, true)
	tr.MergeAnswer(c.T, 0, 4)
	assert.Equal(t, tr.Verdict(), Stale)
	tr.RecordInForce(4, true)
	assert.Equal(t, tr.Verdict(), AcceptOrDeny)
}

// Guards against revoked keys that go on working because the version that revokes them can't be
// parsed.
func TestUnreadableVersionStopsRefresh(t *testing.T) {
	c, tr := newTracker()
	tr.RecordRead(c.T)
	tr.RecordUnreadable()
	c.T = c.T.Add(maxAcceptAge + 1)
	tr.RecordRead(c.T)
	assert.Equal(t, tr.Verdict(), Stale)
	tr.RecordInForce(4, false) // from a peer, which can't parse the newest one either
	tr.RecordRead(c.T)
	assert.Equal(t, tr.Verdict(), Stale)
	tr.RecordInForce(5, true)
	tr.RecordRead(c.T)
	assert.Equal(t, tr.Verdict(), AcceptOrDeny)
}

// Guards against impossible answers: to a query from the future, or with a negative age.
func TestImpossibleAnswersAreDropped(t *testing.T) {
	c, tr := newTracker()
	tr.MergeAnswer(c.T.Add(time.Second), 0, 0)
	tr.MergeAnswer(c.T, -time.Second, 0)
	assert.Equal(t, tr.Verdict(), Stale)
}

// published holds the publication times of a store's versions, each of which replaces the one
// before.
type published []clock.Time

// at returns the newest version that was published by then.
func (p published) at(t clock.Time) uint64 {
	v := uint64(0)
	for i, at := range p {
		if at <= t {
			v = uint64(i + 1)
		}
	}
	return v
}

// message is an answer in flight.
type message struct {
	to      int
	arrives clock.Time
	askedAt clock.Time
	age     time.Duration
	version uint64
}

// simulate runs VMs of which two read the store, and all query each other. Some are suspended,
// messages are late, duplicated or lost, and the store rejects VMs. It returns the longest time for
// which a VM accepted keys of a version that had been replaced. If fromArrival is set, the age of
// an answer counts from its arrival.
func simulate(seed uint64, fromArrival bool) time.Duration {
	const (
		vms  = 8
		step = clock.Time(50 * time.Millisecond)
		end  = clock.Time(60 * time.Second)
	)
	rng := rand.New(rand.NewPCG(seed, 7))
	now := &clock.Manual{T: 1}
	var history published
	var trackers []*Tracker
	suspendedUntil := make([]clock.Time, vms)
	versions := make([]uint64, vms)
	for range vms {
		trackers = append(trackers, New(now, Limits{maxAcceptAge, maxDenyAge}))
	}
	var inFlight []message
	worst := time.Duration(0)
	for ; now.T < end; now.T += step {
		if rng.IntN(60) == 0 {
			history = append(history, now.T)
		}
		for i, tr := range trackers {
			if rng.IntN(300) == 0 {
				suspendedUntil[i] = now.T.Add(time.Duration(rng.IntN(12)) * time.Second)
			}
			if suspendedUntil[i] > now.T {
				continue
			}
			if i < 2 && rng.IntN(8) == 0 {
				versions[i] = history.at(now.T)
				tr.RecordInForce(versions[i], true)
				tr.RecordRead(now.T)
			}
			if rng.IntN(6) == 0 {
				from := trackers[rng.IntN(vms)]
				if age, v, ok := from.Age(); ok && rng.IntN(5) > 0 {
					delay := clock.Time(rng.IntN(200)) * clock.Time(time.Millisecond)
					if rng.IntN(20) == 0 {
						delay += clock.Time(rng.IntN(8)) * clock.Time(time.Second)
					}
					m := message{i, now.T + delay, now.T, age, v}
					inFlight = append(inFlight, m)
					if rng.IntN(10) == 0 {
						m.arrives += clock.Time(3 * time.Second)
						inFlight = append(inFlight, m)
					}
				}
			}
			for _, m := range inFlight {
				if m.to != i || m.arrives > now.T || m.arrives < now.T-clock.Time(20*time.Second) {
					continue
				}
				askedAt := m.askedAt
				if fromArrival {
					askedAt = now.T
				}
				tr.MergeAnswer(askedAt, m.age, m.version)
				if m.version > versions[i] && rng.IntN(3) == 0 {
					versions[i] = m.version // the VM fetches the version
					tr.RecordInForce(m.version, true)
				}
			}
			if tr.Verdict() != Stale && int(versions[i]) < len(history) {
				worst = max(worst, now.T.Sub(history[versions[i]]))
			}
		}
	}
	return worst
}

// Guards against revoked keys that work for longer than their bound at a VM that was suspended,
// that has no connection, or that gets late answers.
func TestRevokedKeyIsRejectedWithinBound(t *testing.T) {
	for seed := range uint64(200) {
		assert.Assert(t, simulate(seed, false) <= maxAcceptAge, "seed %d", seed)
	}
}

// Checks that the simulation above finds a violation where the age of an answer counts from its
// arrival.
func TestRevocationBoundNeedsQueryTime(t *testing.T) {
	broken := 0
	for seed := range uint64(50) {
		if simulate(seed, true) > maxAcceptAge {
			broken++
		}
	}
	assert.Assert(t, broken > 0)
}
