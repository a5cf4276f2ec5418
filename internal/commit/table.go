package commit

import (
	"context"
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// Entry is what a table knows of one key at a moment.
type Entry struct {
	Known   bool // any record or local attempt
	Winner  *Intent
	Outcome *Outcome
	// Seen is when this process read the winner, by its own clock.
	Seen clock.Time
}

// Table is the fold as traffic goroutines see it: one goroutine applies the
// records, many look keys up and wait for them to change.
type Table struct {
	clk clock.Clock

	mu        sync.Mutex
	fold      *Fold
	appliedAt clock.Time // when the newest record was applied
	waiters   map[string]*waiters
	ready     chan struct{} // closed when the fold reached the end seen at start
}

// waiters share a channel that is closed when their key changes.
type waiters struct {
	ch chan struct{}
	n  int
}

// NewTable returns a table over an empty fold.
func NewTable(clk clock.Clock, keep time.Duration) *Table {
	return &Table{
		clk: clk, fold: NewFold(keep),
		waiters: map[string]*waiters{}, ready: make(chan struct{}),
	}
}

// Apply adds one record and wakes those who wait for its key.
func (t *Table) Apply(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.fold.Apply(r)
	t.appliedAt = t.clk.Now()
	if key == "" {
		return
	}
	t.noteSeen(key)
	t.wake(key)
}

func (t *Table) noteSeen(key string) {
	s := t.fold.keys[key]
	if s != nil && s.winner != nil && s.seenAttempt != s.winner.Attempt {
		s.seen, s.seenAttempt = t.clk.Now(), s.winner.Attempt
	}
}

func (t *Table) wake(key string) {
	if w, ok := t.waiters[key]; ok {
		close(w.ch)
		delete(t.waiters, key)
	}
}

// SetReady says that the fold has reached the end of the log that was seen at
// start, from the oldest offset kept.
func (t *Table) SetReady() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isReady() {
		close(t.ready)
	}
}

func (t *Table) isReady() bool {
	select {
	case <-t.ready:
		return true
	default:
		return false
	}
}

// Ready tells whether SetReady was called.
func (t *Table) Ready() bool { return t.isReady() }

// Applied returns the newest offset applied and its time in the log.
func (t *Table) Applied() (uint64, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fold.applied, t.fold.now
}

// LogTime estimates the log's clock: the newest record's time plus what has
// passed here since it was read. It lags behind by the time the record took.
// It is zero as long as no record was read.
func (t *Table) LogTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fold.now.IsZero() {
		return time.Time{}
	}
	return t.fold.now.Add(t.clk.Now().Sub(t.appliedAt))
}

// Len returns the number of keys remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fold.keys)
}

// Lookup returns what is known of key.
func (t *Table) Lookup(key string) Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(key)
}

func (t *Table) lookup(key string) Entry {
	s := t.fold.keys[key]
	if s == nil {
		return Entry{}
	}
	return Entry{Known: true, Winner: s.winner, Outcome: s.outcome, Seen: s.seen}
}

// SetOutcome makes an outcome of this process visible here before its record
// is read back, so that a resend gets it also while the log is down.
func (t *Table) SetOutcome(key string, o *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.fold.keys[key]
	if s == nil || s.winner == nil || s.winner.Attempt != o.Attempt || s.outcome != nil {
		return
	}
	s.outcome = o
	t.wake(key)
}

// Verdict waits for the verdict of an attempt to be read back.
func (t *Table) Verdict(ctx context.Context, key, attempt string) (Verdict, error) {
	return await(ctx, t, key, func() (Verdict, bool) {
		s := t.fold.keys[key]
		if s == nil {
			return Pending, false
		}
		v := s.verdicts[attempt]
		return v, v != Pending
	})
}

// AwaitOutcome waits until key has an outcome or no winner any more.
func (t *Table) AwaitOutcome(ctx context.Context, key string) (Entry, error) {
	return await(ctx, t, key, func() (Entry, bool) {
		e := t.lookup(key)
		return e, e.Winner == nil || e.Outcome != nil
	})
}

// await waits until look, which runs under the lock, says that it is done. On
// the end of ctx it returns what look saw last.
func await[T any](ctx context.Context, t *Table, key string, look func() (T, bool)) (T, error) {
	for {
		t.mu.Lock()
		v, done := look()
		if done {
			t.mu.Unlock()
			return v, nil
		}
		w := t.join(key)
		t.mu.Unlock()
		select {
		case <-w.ch:
		case <-ctx.Done():
			t.leave(key, w)
			return v, code.Wrap(code.DeadlinePassed, ctx.Err(), "waiting for the log")
		}
	}
}

func (t *Table) join(key string) *waiters {
	w, ok := t.waiters[key]
	if !ok {
		w = &waiters{ch: make(chan struct{})}
		t.waiters[key] = w
	}
	w.n++
	return w
}

func (t *Table) leave(key string, w *waiters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.n--
	if w.n == 0 && t.waiters[key] == w {
		delete(t.waiters, key)
	}
}
