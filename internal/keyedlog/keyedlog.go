// Package keyedlog follows a log that keeps the newest record of each key: it
// starts from the newest records and goes on with the appended ones, and
// starts anew when the log has dropped what it would have read next.
package keyedlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
)

// Entry is the newest record of a key. A nil value means that the key ended.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
	FromPeer  bool // read elsewhere, and told to this process
	Initial bool // one of the newest records that a reader starts from
	// GracePeriod is how long the process that read the key's end still goes by the
	// value before it.
	GracePeriod time.Duration
}

// Source is a keyed log.
type Source interface {
	// Newest returns the newest record of each key, and the offset to read on
	// from to see every later one.
	Newest(ctx context.Context) (entries []Entry, next int64, err error)
	// Read returns the records from offset from on, up to the end that the log had. It
	// waits up to wait for the first one, and fails with driver.ErrExpired if they are
	// gone.
	Read(ctx context.Context, from int64, wait time.Duration) (entries []Entry, next int64, err error)
}

// Follower hands every change of a keyed log to its handler.
type Follower struct {
	Name   string // for logs
	Source Source
	// ReadWait is how long a read waits for a record, as it is now; zero returns
	// at once.
	ReadWait func() time.Duration
	// ReadInterval is the time between two reads, as it is now. Changes that come
	// within it cost one read together. Without it reads follow each other.
	ReadInterval func() time.Duration
	// Apply takes a change. Offsets of one key only grow.
	Apply func(Entry)
	// OnRead is called after each read that succeeded, once what it found is applied,
	// with the moment at which it was sent.
	OnRead func(sentAt clock.Time)
	// Clock gives that moment.
	Clock clock.Clock
	// OnReadError is called after each read that failed.
	OnReadError func()
	// BeginBatch and EndBatch are called around the entries of one read.
	BeginBatch, EndBatch func()
	// SingleKey tells that only one key matters, so that what lies before a record
	// that was heard needn't be read.
	SingleKey bool

	mu      sync.Mutex // guards offsets and heard, and makes Apply go one by one
	offsets map[string]int64
	heard   int64 // offset after the newest record that was heard

	next    int64
	started bool
	failing bool
	sentAt  clock.Time // when the newest call of the source was sent
	nudged  chan struct{}
}

// New returns a follower of source; its other fields are set by the caller.
func New(name string, source Source) *Follower {
	return &Follower{
		Name: name, Source: source, OnReadError: func() {}, OnRead: func(clock.Time) {}, Clock: clock.Boot{}, ReadInterval: func() time.Duration { return 0 },
		ReadWait:  func() time.Duration { return 0 },
		BeginBatch: func() {}, EndBatch: func() {},
		offsets: map[string]int64{}, nudged: make(chan struct{}, 1),
	}
}

// ReceiveEntry applies an entry that was read elsewhere.
func (f *Follower) ReceiveEntry(e Entry) {
	e.FromPeer = true
	f.apply(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = max(f.heard, e.Offset+1)
}

// NextOffset is the offset that the next read begins at. It is for the functions that Run calls.
func (f *Follower) NextOffset() int64 { return f.next }

// Wake ends a pause, or a read that waits for a record: there is something to
// read that this process should have seen.
func (f *Follower) Wake() {
	select {
	case f.nudged <- struct{}{}:
	default:
	}
}

// retryPause is the pause after a failed first read: short against the seconds
// in which a process must serve, long enough for an answer of the store. While
// it goes on failing it doubles up to longestRetry.
const (
	retryPause   = 250 * time.Millisecond
	longestRetry = 500 * time.Millisecond
)

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := retryPause
	for {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.note(err)
		if err == nil {
			f.OnRead(f.sentAt)
		} else {
			f.OnReadError()
		}
		if !f.started {
			if !clock.Sleep(ctx, retry) {
				return ctx.Err()
			}
			retry = min(2*retry, longestRetry)
			continue
		}
		// A read that failed isn't repeated sooner than the next one would
		// come: those who read for the others do so often enough, and a store
		// that is away is charged for the calls of all.
		if !f.pause(ctx) {
			return ctx.Err()
		}
	}
}

// pauseStep is the time between two looks at how long the pause is: a process
// may have to read more often from one moment to the next.
const pauseStep = 200 * time.Millisecond

// pause waits until the next read is due. It returns false if ctx ended first.
func (f *Follower) pause(ctx context.Context) bool {
	for start := time.Now(); ; {
		left := f.pauseNow() - time.Since(start)
		if left <= 0 {
			return ctx.Err() == nil
		}
		t := time.NewTimer(min(left, pauseStep))
		select {
		case <-t.C:
		case <-f.nudged:
			t.Stop()
			return true
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

// pauseNow is how long the pause is; one after a failure has a least length.
func (f *Follower) pauseNow() time.Duration {
	if f.failing {
		return max(f.ReadInterval(), retryPause)
	}
	return f.ReadInterval()
}

// note logs the loss and the return of the source once each.
func (f *Follower) note(err error) {
	switch {
	case err != nil && !f.failing:
		log.WithError(err).WithField("log", f.Name).Warn("keyed log lost")
	case err == nil && f.failing:
		log.WithField("log", f.Name).WithField("next", f.next).Info("keyed log regained")
	}
	f.failing = err != nil
}

func (f *Follower) step(ctx context.Context) error {
	if !f.started {
		return f.start(ctx)
	}
	entries, next, err := f.read(ctx)
	if errors.Is(err, driver.ErrExpired) {
		log.WithField("log", f.Name).WithField("from", f.next).Info("history expired, newest records are read")
		f.started = false
		return f.start(ctx)
	}
	if err != nil {
		return err
	}
	f.BeginBatch()
	defer f.EndBatch()
	for _, e := range entries {
		f.apply(e)
	}
	f.next = max(f.next, next)
	return nil
}

// read waits for records, unless it is nudged: then the connection that it waits
// on may have gone silent, and the records are read on another one.
func (f *Follower) read(ctx context.Context) ([]Entry, int64, error) {
	wait, from := f.ReadWait(), f.from()
	f.sentAt = f.Clock.Now()
	if wait == 0 {
		return f.Source.Read(ctx, from, 0)
	}
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.nudged:
			cancel()
		case <-done:
		}
	}()
	entries, next, err := f.Source.Read(waiting, from, wait)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		f.sentAt = f.Clock.Now()
		return f.Source.Read(ctx, f.from(), 0)
	}
	return entries, next, err
}

// from is the offset to read from.
func (f *Follower) from() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.SingleKey {
		return max(f.next, f.heard)
	}
	return f.next
}

// start reads the newest records. A key that was known and is absent has ended
// while its record was out of sight.
func (f *Follower) start(ctx context.Context) error {
	f.sentAt = f.Clock.Now()
	entries, next, err := f.Source.Newest(ctx)
	if err != nil {
		return err
	}
	f.BeginBatch()
	defer f.EndBatch()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		e.Initial = true
		f.apply(e)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, offset := range f.offsets {
		if !present[key] && offset < next {
			f.Apply(Entry{Key: key, Offset: offset})
			delete(f.offsets, key)
		}
	}
	f.next, f.started = next, true
	return nil
}

// apply drops records that are older than one already applied: the pages of
// the newest records are no snapshot, so that the reads after them repeat some.
func (f *Follower) apply(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.offsets[e.Key]; ok && e.Offset < last {
		return
	}
	f.offsets[e.Key] = e.Offset
	f.Apply(e)
}
