package commit

import (
	"context"
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
)

// KeyStatus is the state of one key at a point in time.
type KeyStatus struct {
	Found   bool // the table has a record of the key
	Winner  *Intent
	Outcome *Outcome
	// WinnerReadAt is when this process read the winner, by its own clock.
	WinnerReadAt clock.Time
}

// Table makes a Fold available to request goroutines. One goroutine applies records; many
// goroutines look up keys and wait for them to change.
type Table struct {
	clk clock.Clock

	mu        sync.Mutex
	fold      *Fold
	appliedAt clock.Time // when the newest record was applied
	waiters   map[string]*keyWaiters
	ready     chan struct{} // closed when the fold has reached the end of the log seen at startup
}

// keyWaiters is the channel shared by the goroutines that wait for one key. It is closed when the
// key changes.
type keyWaiters struct {
	changed chan struct{}
	count   int
}

// NewTable returns a Table with an empty fold that keeps a key for retention after its last record.
func NewTable(clk clock.Clock, retention time.Duration) *Table {
	return &Table{
		clk: clk, fold: NewFold(retention),
		waiters: map[string]*keyWaiters{}, ready: make(chan struct{}),
	}
}

// Apply adds one record and wakes the goroutines that wait for its key.
func (t *Table) Apply(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.fold.Apply(r)
	t.appliedAt = t.clk.Now()
	if key == "" {
		return
	}
	t.recordWinnerRead(key)
	t.notify(key)
}

// recordWinnerRead sets the read time of the key's winner if the winner is new.
func (t *Table) recordWinnerRead(key string) {
	s := t.fold.keys[key]
	if s != nil && s.winner != nil && s.readAttempt != s.winner.Attempt {
		s.winnerReadAt, s.readAttempt = t.clk.Now(), s.winner.Attempt
	}
}

// notify wakes the goroutines that wait for key.
func (t *Table) notify(key string) {
	if w, ok := t.waiters[key]; ok {
		close(w.changed)
		delete(t.waiters, key)
	}
}

// SetReady records that the fold has read the log from the oldest retained offset to the end seen
// at startup.
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

// Ready reports whether SetReady was called.
func (t *Table) Ready() bool { return t.isReady() }

// Applied returns the newest applied offset and its time in the log.
func (t *Table) Applied() (uint64, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fold.appliedOffset, t.fold.logTime
}

// LogTime estimates the log's clock as the newest record's time plus the time elapsed here since it
// was read. The estimate lags by the time the record took to arrive. It is zero until a record was
// read.
func (t *Table) LogTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fold.logTime.IsZero() {
		return time.Time{}
	}
	return t.fold.logTime.Add(t.clk.Now().Sub(t.appliedAt))
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fold.keys)
}

// Lookup returns the state of key.
func (t *Table) Lookup(key string) KeyStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(key)
}

func (t *Table) lookup(key string) KeyStatus {
	s := t.fold.keys[key]
	if s == nil {
		return KeyStatus{}
	}
	return KeyStatus{Found: true, Winner: s.winner, Outcome: s.outcome, WinnerReadAt: s.winnerReadAt}
}

// SetOutcome makes an outcome of this process visible before its record is read back, so that a
// retry gets it even while the log is down.
func (t *Table) SetOutcome(key string, o *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.fold.keys[key]
	if s == nil || s.winner == nil || s.winner.Attempt != o.Attempt || s.outcome != nil {
		return
	}
	s.outcome = o
	t.notify(key)
}

// Verdict waits until the verdict of an attempt has been read back.
func (t *Table) Verdict(ctx context.Context, key, attempt string) (Verdict, error) {
	return waitFor(ctx, t, key, func() (Verdict, bool) {
		s := t.fold.keys[key]
		if s == nil {
			return Pending, false
		}
		v := s.verdicts[attempt]
		return v, v != Pending
	})
}

// AwaitOutcome waits until key has an outcome or no longer has a winner.
func (t *Table) AwaitOutcome(ctx context.Context, key string) (KeyStatus, error) {
	return waitFor(ctx, t, key, func() (KeyStatus, bool) {
		e := t.lookup(key)
		return e, e.Winner == nil || e.Outcome != nil
	})
}

// waitFor calls check, under the lock, at every change of key until check reports that it is done.
// When ctx ends, it returns the last value of check with an error.
func waitFor[T any](ctx context.Context, t *Table, key string, check func() (T, bool)) (T, error) {
	for {
		t.mu.Lock()
		v, done := check()
		if done {
			t.mu.Unlock()
			return v, nil
		}
		w := t.addWaiter(key)
		t.mu.Unlock()
		select {
		case <-w.changed:
		case <-ctx.Done():
			t.removeWaiter(key, w)
			return v, code.Wrap(code.DeadlinePassed, ctx.Err(), "waiting for the log")
		}
	}
}

func (t *Table) addWaiter(key string) *keyWaiters {
	w, ok := t.waiters[key]
	if !ok {
		w = &keyWaiters{changed: make(chan struct{})}
		t.waiters[key] = w
	}
	w.count++
	return w
}

func (t *Table) removeWaiter(key string, w *keyWaiters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.count--
	if w.count == 0 && t.waiters[key] == w {
		delete(t.waiters, key)
	}
}
