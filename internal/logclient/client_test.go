package logclient

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/code"
	"fescuestand/internal/fold"
	"fescuestand/internal/logclient/logtest"
	"fescuestand/internal/wire"
)

func entry(id string) *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Patch{Patch: &wire.Patch{PublishId: id}}}
}

func newClient(t *testing.T, l *logtest.Log) *Client {
	t.Helper()
	c := New(Options{Log: l, Writer: "w", VM: "vm"})
	t.Cleanup(func() { assert.NilError(t, c.Close()) })
	return c
}

// collect reads the stream until ctx ends and returns what Tail delivered.
func collect(ctx context.Context, c *Client, from uint64) func() []Item {
	var mu sync.Mutex
	var got []Item
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Tail(ctx, "s", from, func(items []Item) error {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, items...)
			return nil
		})
	}()
	return func() []Item {
		<-done
		mu.Lock()
		defer mu.Unlock()
		return got
	}
}

func ids(items []Item) []string {
	var out []string
	d := fold.NewDedup(100)
	for _, it := range items {
		if it.Gap {
			out = append(out, fmt.Sprint("gap@", it.Offset))
			continue
		}
		if d.Accept(&it) {
			out = append(out, it.Entry.GetPatch().GetPublishId())
		}
	}
	return out
}

func TestConcurrentAppendsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		l.SetLatency(10 * time.Millisecond)
		c := newClient(t, l)
		var wg sync.WaitGroup
		const callers = 200
		for range callers {
			wg.Go(func() {
				_, err := c.Append(t.Context(), "s", entry("x"))
				assert.NilError(t, err)
			})
		}
		wg.Wait()
		assert.Assert(t, l.Appends() < 10, "%d appends for %d callers", l.Appends(), callers)
	})
}

// Guards against applying an entry twice. The log applies an append, its answer is lost, and the
// client retries it. Both copies have the same sequence number.
func TestLostAnswerIsRetriedAndAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		c := newClient(t, l)
		outcomes := []logtest.Outcome{logtest.AnswerLost, logtest.Dropped, logtest.Applied}
		l.SetOutcome(func(string, []byte) logtest.Outcome {
			outcome := outcomes[0]
			outcomes = outcomes[1:]
			return outcome
		})
		r, err := c.Append(t.Context(), "s", entry("a"))
		assert.NilError(t, err)
		assert.Equal(t, r.Offset, uint64(2), "offset of the second copy")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.DeepEqual(t, ids(collect(ctx, c, 1)()), []string{"a"})
	})
}

// Guards against reporting an append as not written when it appears in the log later. All answers
// are lost, so the caller must get an unknown outcome.
func TestLostAnswersGiveUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		c := newClient(t, l)
		l.SetOutcome(func(string, []byte) logtest.Outcome { return logtest.Delayed })
		r, err := c.Append(t.Context(), "s", entry("late"))
		assert.Equal(t, code.Of(err).Run, code.Unknown)
		assert.Equal(t, code.Of(err).Code, code.LogLostAnswer)
		l.SetOutcome(nil)
		next, err := c.Append(t.Context(), "s", entry("next"))
		assert.NilError(t, err)
		assert.Assert(t, next.Seq > r.Seq)
		l.ReleaseDelayed()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.DeepEqual(t, ids(collect(ctx, c, 1)()), []string{"next"})
	})
}

func TestOutageFailsFastAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		l.SetDown(true)
		c := newClient(t, l)
		firstEnded := make(chan struct{})
		go func() {
			defer close(firstEnded)
			_, _ = c.Append(t.Context(), "s", entry("first"))
		}()
		time.Sleep(defaultFailFastAfter + 500*time.Millisecond)
		start := time.Now()
		_, err := c.Append(t.Context(), "s", entry("a"))
		assert.Equal(t, code.Of(err).Run, code.NotRun)
		assert.Equal(t, code.Of(err).Code, code.LogDown)
		assert.Assert(t, time.Since(start) < time.Millisecond)
		assert.Assert(t, !c.Health().Healthy)
		<-firstEnded
		l.SetDown(false)
		_, err = c.Append(t.Context(), "s", entry("b"))
		assert.NilError(t, err)
		assert.Assert(t, c.Health().Healthy)
	})
}

func TestCallerCanceledDuringAppendGetsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		l.SetOutcome(func(string, []byte) logtest.Outcome { return logtest.Dropped })
		c := newClient(t, l)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		r, err := c.Append(ctx, "s", entry("a"))
		assert.Equal(t, code.Of(err).Run, code.Unknown)
		assert.Equal(t, r.Seq, uint64(1))
	})
}

// Guards against lost, repeated and reverted records. A lagging replica of the log answers, then an
// outage follows, then the next records expire. The reader must get every record once and in order,
// a marker where records are lost, and never an older state.
func TestTailSurvivesStaleReadsOutageAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		c := newClient(t, l)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		got := collect(ctx, c, 1)
		add := func(id string) {
			_, err := c.Append(ctx, "s", entry(id))
			assert.NilError(t, err)
			synctest.Wait()
		}
		add("1")
		l.SetStaleReads(3)
		add("2")
		time.Sleep(10 * time.Second)
		_, err := l.Append(ctx, "s", []byte("no envelope"))
		assert.NilError(t, err)
		l.SetDown(true)
		time.Sleep(10 * time.Second)
		l.SetDown(false)
		add("4")
		time.Sleep(3 * time.Second)
		l.SetDown(true)
		time.Sleep(3 * time.Second)
		l.SetDown(false)
		for _, id := range []string{"5", "6", "7"} {
			data, err := fold.Encode("other", "vm", 1, []*wire.Entry{entry(id)})
			assert.NilError(t, err)
			_, err = l.Append(ctx, "s", data)
			assert.NilError(t, err)
		}
		l.Expire("s", 7)
		assert.DeepEqual(t, ids(got()), []string{"1", "2", "4", "gap@7", "7"})
		assert.Equal(t, c.Progress("s").Next, uint64(8))
	})
}

// Guards against an unclear outcome in a plain outage. The log refuses everything, and a caller
// with a short deadline leaves between two attempts. It must get the answer that nothing was
// written, and its entries must not appear when the log is available again.
func TestCallerCanceledInOutageGetsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		l.SetDown(true)
		c := newClient(t, l)
		stays := make(chan error, 1)
		go func() {
			_, err := c.Append(t.Context(), "s", entry("stays"))
			stays <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := c.Append(ctx, "s", entry("leaves"))
		assert.Equal(t, code.Of(err).Run, code.NotRun)
		assert.Equal(t, code.Of(err).Code, code.LogDown)
		l.SetDown(false)
		assert.NilError(t, <-stays)
		read, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		assert.DeepEqual(t, ids(collect(read, c, 1)()), []string{"stays"})
	})
}

// Guards against the same failure when the append in flight is the caller's own.
func TestCallerCanWithdrawRefusedAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logtest.New()
		l.SetDown(true)
		c := newClient(t, l)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := c.Append(ctx, "s", entry("leaves"))
		assert.Equal(t, code.Of(err).Run, code.NotRun)
		l.SetDown(false)
		time.Sleep(time.Minute)
		_, err = c.Append(t.Context(), "s", entry("next"))
		assert.NilError(t, err)
		read, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		assert.DeepEqual(t, ids(collect(read, c, 1)()), []string{"next"})
	})
}
