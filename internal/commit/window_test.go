package commit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuestand/internal/code"
	"fescuestand/internal/wire"
)

// Guards against charging twice. A caller retries a key long after its first use ran, when every
// entry has deleted the key. Running it would charge again, and answering not-run would make the
// caller charge with a new key.
func TestKeyOlderThanWindowNeverRuns(t *testing.T) {
	executions, answer := resendAfterWindow(t, Options{})
	assert.Equal(t, executions, 1)
	assert.Equal(t, answer.code, code.KeyTooOld)
	assert.Equal(t, answer.run, code.Unknown)
}

// The same test with the age check disabled.
func TestKeyOlderThanWindowWithoutAgeCheck(t *testing.T) {
	executions, _ := resendAfterWindow(t, Options{disabled: guards{window: true}})
	assert.Equal(t, executions, 2)
}

func resendAfterWindow(t *testing.T, o Options) (executions int, last requestResult) {
	o.MaxWindow = 10 * time.Minute
	violations := simulate(t, 1, o, faults{}, faults{}, func(sim *simulation) {
		r := &Request{Key: "old", Issued: time.Now()}
		sim.send(sim.nodes[0], r, time.Second)
		time.Sleep(12 * time.Minute)
		// Other requests advance the log's clock.
		sim.send(sim.nodes[1], &Request{Key: "other", Issued: time.Now()}, time.Second)
		time.Sleep(time.Second)
		again := *r
		again.Resend = true
		last = sim.send(sim.nodes[2], &again, time.Second)
		for _, e := range sim.svc.executions() {
			if e.key == "old" {
				executions++
			}
		}
	})
	assert.Equal(t, len(violations) > 0, executions > 1, "%v", violations)
	return executions, last
}

// Guards against a not-run answer for a key that can never be used again. The log loses the answer
// to an intent and appends the intent late; the entry is killed before its void is in the log. The
// killed entry's intent then remains the winner, and the key would be stuck for the caller's retry.
func TestNotRunOnlyAfterVoidIsLogged(t *testing.T) {
	assert.Equal(t, lateIntentThenDeath(t, Options{}).run, code.Unknown)
}

// The same test with the guard disabled.
func TestNotRunWithoutVoidFirst(t *testing.T) {
	o := Options{disabled: guards{voidFirst: true}}
	assert.Equal(t, lateIntentThenDeath(t, o).run, code.NotRun)
}

// lateIntentThenDeath returns the answer to the first request. It also checks that a retry finds
// the key taken.
func lateIntentThenDeath(t *testing.T, o Options) (first requestResult) {
	var second code.Run
	lateOnly := faults{delayed: 1, maxDelay: time.Nanosecond}
	violations := simulate(t, 1, o, lateOnly, faults{}, func(sim *simulation) {
		n := sim.nodes[0]
		n.lag.Store(int64(10 * time.Second)) // the node can't read its intent back in time
		n.onStep = func(n *simNode, s step, _ string) {
			if s == beforeRecord {
				time.Sleep(30 * time.Second)
			}
		}
		issued := time.Now()
		first = sim.send(n, &Request{Key: "k", Issued: issued}, 3*time.Second)
		n.killed.Store(true)
		again := sim.send(sim.nodes[1], &Request{Key: "k", Issued: issued, Resend: true}, time.Second)
		second = again.run
	})
	assert.Equal(t, len(violations), 0, "%v", violations)
	assert.Equal(t, second, code.Unknown)
	return first
}

// Guards against dispatching a key on a node that has already deleted it. The cap on the window
// prevents this even on a node that starts from the oldest offset in the log.
func TestWindowIsCappedByRetention(t *testing.T) {
	window := WindowFor(time.Hour)
	assert.Assert(t, window+MaxClockSkew < time.Hour)
	c := New(Options{
		Window: func() time.Duration { return 24 * time.Hour }, MaxWindow: window,
	}, NewTable(wallClock{}, window), nil, nil)
	assert.Equal(t, c.Window(), window)
}

// Whatever writers do, in whatever order, and however often a record is applied, a key has at most
// one winner, the same on every node, and at most one outcome.
func TestFoldHasOneWinnerPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(sampleRecord), 1, 40).Draw(t, "records")
		once, twice := NewFold(time.Hour), NewFold(time.Hour)
		var winner *Intent
		for i, r := range records {
			r.Offset = uint64(i + 1)
			once.Apply(r)
			twice.Apply(r)
			twice.Apply(r)
			now := once.state("k")
			if winner != nil && now.winner != nil && winner.Attempt != now.winner.Attempt {
				assert.Equal(t, now.verdicts[winner.Attempt], Voided)
			}
			if now.outcome != nil {
				assert.Equal(t, now.outcome.Attempt, now.winner.Attempt)
			}
			winner = now.winner
		}
		a, b := once.state("k"), twice.state("k")
		assert.DeepEqual(t, a.winner, b.winner)
		assert.DeepEqual(t, a.outcome, b.outcome)
		assert.DeepEqual(t, a.verdicts, b.verdicts)
	})
}

func sampleRecord(t *rapid.T) *Record {
	writer := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer")
	attempt := rapid.SampledFrom([]string{"a.1", "a.2", "b.1", "b.2"}).Draw(t, "attempt")
	e := &wire.Entry{}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		e.Kind = &wire.Entry_Intent{Intent: &wire.Intent{Key: "k", Attempt: attempt}}
		writer = attempt[:1]
	case 1:
		e.Kind = &wire.Entry_Void{Void: &wire.Void{Key: "k", Attempt: attempt}}
	case 2:
		e.Kind = &wire.Entry_Outcome{Outcome: &wire.Outcome{Key: "k", Attempt: attempt, Run: "ran"}}
	}
	return &Record{Time: time.Unix(1, 0), Writer: writer, Entry: e}
}

// A process must not accept commits after its start before it has read the window.
func TestRefusesUntilTableIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{Clock: wallClock{}}, NewTable(wallClock{}, time.Hour), nil, nil)
		_, err := c.Do(context.Background(), &Request{Key: "k"})
		assert.Equal(t, code.Of(err).Code, code.NotReady)
		assert.Equal(t, code.Of(err).Run, code.NotRun)
		c.Close(context.Background())
	})
}
