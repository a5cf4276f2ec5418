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

// A caller keeps a key in a queue overnight and sends it again long after its
// first use ran. Every entry has forgotten the key by then; running it would
// charge twice, and "not run" would make the caller charge with a new key.
func TestKeyOlderThanWindowNeverRuns(t *testing.T) {
	executions, answer := resendAfterWindow(t, Options{})
	assert.Equal(t, executions, 1)
	assert.Equal(t, answer.code, code.KeyTooOld)
	assert.Equal(t, answer.run, code.Unknown)
}

func TestKeyOlderThanWindowWithoutWindow(t *testing.T) {
	executions, _ := resendAfterWindow(t, Options{off: guardsOff{window: true}})
	assert.Equal(t, executions, 2)
}

func resendAfterWindow(t *testing.T, o Options) (executions int, last said) {
	o.MaxWindow = 10 * time.Minute
	bad := simulate(t, 1, o, faults{}, faults{}, func(w *world) {
		r := &Request{Key: "old", Issued: time.Now()}
		w.send(w.nodes[0], r, time.Second)
		time.Sleep(12 * time.Minute)
		// Other traffic moves the log's clock on.
		w.send(w.nodes[1], &Request{Key: "other", Issued: time.Now()}, time.Second)
		time.Sleep(time.Second)
		again := *r
		again.Resend = true
		last = w.send(w.nodes[2], &again, time.Second)
		for _, e := range w.svc.executions() {
			if e.key == "old" {
				executions++
			}
		}
	})
	assert.Equal(t, len(bad) > 0, executions > 1, "%v", bad)
	return executions, last
}

// The log loses the answer to an intent and takes it late; the entry dies
// before its void is in the log. A caller that was told "not run, send again"
// would find its key stuck: the dead entry's intent is the winner for good.
func TestNotRunIsToldOnlyAfterTheVoid(t *testing.T) {
	assert.Equal(t, lateIntentThenDeath(t, Options{}).run, code.Unknown)
}

func TestNotRunBeforeTheVoid(t *testing.T) {
	o := Options{off: guardsOff{voidFirst: true}}
	assert.Equal(t, lateIntentThenDeath(t, o).run, code.NotRun)
}

// lateIntentThenDeath returns what the first sending is answered; whatever it
// is, a resend then finds the key taken.
func lateIntentThenDeath(t *testing.T, o Options) (first said) {
	var second code.Run
	lateOnly := faults{late: 1, maxLate: time.Nanosecond}
	bad := simulate(t, 1, o, lateOnly, faults{}, func(w *world) {
		n := w.nodes[0]
		n.lag.Store(int64(10 * time.Second)) // it can't read its intent back in time
		n.at = func(n *simNode, s step, _ string) {
			if s == beforeRecord {
				time.Sleep(30 * time.Second)
			}
		}
		issued := time.Now()
		first = w.send(n, &Request{Key: "k", Issued: issued}, 3*time.Second)
		n.killed.Store(true)
		again := w.send(w.nodes[1], &Request{Key: "k", Issued: issued, Resend: true}, time.Second)
		second = again.run
	})
	assert.Equal(t, len(bad), 0, "%v", bad)
	assert.Equal(t, second, code.Unknown)
	return first
}

// Without the limit on its age a key could be dispatched on a node that has
// already forgotten it. The bound on the window keeps that apart also at a node
// that starts from the oldest offset the log keeps.
func TestWindowLeavesRoomInRetention(t *testing.T) {
	w := WindowFor(time.Hour)
	assert.Assert(t, w+MaxClockSkew < time.Hour)
	c := New(Options{Window: func() time.Duration { return 24 * time.Hour }, MaxWindow: w}, NewTable(wallClock{}, w), nil, nil)
	assert.Equal(t, c.Window(), w)
}

// Whatever writers do, in whatever order, and however often a record comes: a
// key has one winner at most, the same on every node, and one outcome.
func TestFoldProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 40).Draw(t, "records")
		plain, twice := NewFold(time.Hour), NewFold(time.Hour)
		var winner *Intent
		for i, r := range records {
			r.Offset = uint64(i + 1)
			plain.Apply(r)
			twice.Apply(r)
			twice.Apply(r)
			now := plain.state("k")
			if winner != nil && now.winner != nil && winner.Attempt != now.winner.Attempt {
				assert.Equal(t, now.verdicts[winner.Attempt], Voided)
			}
			if now.outcome != nil {
				assert.Equal(t, now.outcome.Attempt, now.winner.Attempt)
			}
			winner = now.winner
		}
		a, b := plain.state("k"), twice.state("k")
		assert.DeepEqual(t, a.winner, b.winner)
		assert.DeepEqual(t, a.outcome, b.outcome)
		assert.DeepEqual(t, a.verdicts, b.verdicts)
	})
}

func drawRecord(t *rapid.T) *Record {
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

// A process that starts must not take commits before it has read the window.
func TestNotReadyRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{Clock: wallClock{}}, NewTable(wallClock{}, time.Hour), nil, nil)
		_, err := c.Do(context.Background(), &Request{Key: "k"})
		assert.Equal(t, code.Of(err).Code, code.NotReady)
		assert.Equal(t, code.Of(err).Run, code.NotRun)
		c.Close(context.Background())
	})
}
