// Package keyedlog follows a log that retains the newest record of each key (a compacted log). It
// first reads the newest records and then the appended ones. If the records that it would read next
// have been deleted, it reads the newest records again.
//
// Concurrency: Run reads in one goroutine. ReceiveEntry and Wake may be called from others; Apply
// is called by one goroutine at a time.
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

// Entry is the newest record of a key. A nil value means that the key was deleted.
type Entry struct {
	Key      string
	Value    []byte
	Offset   int64
	FromPeer bool // read by another process, which sent it to this one
	Initial  bool // from the newest records that a reader starts with
	// GracePeriod is how long the process that read the deletion of the key keeps using the
	// previous value.
	GracePeriod time.Duration
}

// Source is a keyed log.
type Source interface {
	// Newest returns the newest record of each key, and the offset from which Read returns every
	// later record.
	Newest(ctx context.Context) (entries []Entry, next int64, err error)
	// Read returns the records from offset from up to the end of the log at that time. It waits up
	// to wait for the first one, and fails with driver.ErrExpired if the records at from have been
	// deleted.
	Read(ctx context.Context, from int64, wait time.Duration) (entries []Entry, next int64, err error)
}

// Follower passes every change of a keyed log to its handler.
type Follower struct {
	Name   string // for logs
	Source Source
	// ReadWait returns how long a read waits for a record; zero makes it return immediately.
	ReadWait func() time.Duration
	// ReadInterval returns the time between two reads. The changes within one interval are read
	// with a single call. If it is zero, each read follows the previous one immediately.
	ReadInterval func() time.Duration
	// Apply handles a change. The offsets of one key never decrease.
	Apply func(Entry)
	// OnRead is called after each successful read, once its records are applied, with the time at
	// which the read was sent.
	OnRead func(sentAt clock.Time)
	// Clock is the clock for OnRead.
	Clock clock.Clock
	// OnReadError is called after each failed read.
	OnReadError func()
	// BeginBatch and EndBatch are called before and after the entries of one read.
	BeginBatch, EndBatch func()
	// SingleKey means that only one key matters, so that records before one received from a peer
	// needn't be read.
	SingleKey bool

	mu       sync.Mutex // guards offsets and peerNext, and serializes Apply
	offsets  map[string]int64
	peerNext int64 // offset after the newest record received from a peer

	nextOffset int64
	started    bool
	failing    bool
	sentAt     clock.Time // when the newest call to the source was sent
	woken      chan struct{}
}

// New returns a follower of source with defaults; the caller sets its other fields.
func New(name string, source Source) *Follower {
	return &Follower{
		Name: name, Source: source, OnReadError: func() {}, OnRead: func(clock.Time) {}, Clock: clock.Boot{}, ReadInterval: func() time.Duration { return 0 },
		ReadWait:   func() time.Duration { return 0 },
		BeginBatch: func() {}, EndBatch: func() {},
		offsets: map[string]int64{}, woken: make(chan struct{}, 1),
	}
}

// ReceiveEntry applies an entry that another process has read.
func (f *Follower) ReceiveEntry(e Entry) {
	e.FromPeer = true
	f.apply(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerNext = max(f.peerNext, e.Offset+1)
}

// NextOffset returns the offset of the next read. Only functions that Run calls may use it.
func (f *Follower) NextOffset() int64 { return f.nextOffset }

// Wake ends the wait for the next read, or a read that waits for a record, because the log has a
// record that this process should already have received.
func (f *Follower) Wake() {
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// initialRetryDelay is the delay after a failed first read. It is short compared with the seconds
// within which a process must serve, and long enough for an answer of the store. The delay doubles
// with each further failure, up to maxRetryDelay.
const (
	initialRetryDelay = 250 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retryDelay := initialRetryDelay
	for {
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.logReadState(err)
		if err == nil {
			f.OnRead(f.sentAt)
		} else {
			f.OnReadError()
		}
		if !f.started {
			if !clock.Sleep(ctx, retryDelay) {
				return ctx.Err()
			}
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		// A failed read is retried at the usual interval and not sooner: the processes that read on
		// behalf of others read often enough, and an unavailable store is charged for the calls of
		// all processes.
		if !f.waitForNextRead(ctx) {
			return ctx.Err()
		}
	}
}

// intervalCheckPeriod is how often the read interval is evaluated during a wait, because a process
// may suddenly have to read more often.
const intervalCheckPeriod = 200 * time.Millisecond

// waitForNextRead waits until the next read is due. It returns false if ctx ended first.
func (f *Follower) waitForNextRead(ctx context.Context) bool {
	for start := time.Now(); ; {
		remaining := f.currentInterval() - time.Since(start)
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		t := time.NewTimer(min(remaining, intervalCheckPeriod))
		select {
		case <-t.C:
		case <-f.woken:
			t.Stop()
			return true
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

// currentInterval returns the read interval; after a failed read it is at least initialRetryDelay.
func (f *Follower) currentInterval() time.Duration {
	if f.failing {
		return max(f.ReadInterval(), initialRetryDelay)
	}
	return f.ReadInterval()
}

// logReadState logs when reads begin to fail and when they succeed again.
func (f *Follower) logReadState(err error) {
	switch {
	case err != nil && !f.failing:
		log.WithError(err).WithField("log", f.Name).Warn("keyed log lost")
	case err == nil && f.failing:
		log.WithField("log", f.Name).WithField("next", f.nextOffset).Info("keyed log regained")
	}
	f.failing = err != nil
}

func (f *Follower) readOnce(ctx context.Context) error {
	if !f.started {
		return f.readNewest(ctx)
	}
	entries, nextOffset, err := f.readAppended(ctx)
	if errors.Is(err, driver.ErrExpired) {
		log.WithField("log", f.Name).WithField("from", f.nextOffset).Info("log history expired, reading the newest records")
		f.started = false
		return f.readNewest(ctx)
	}
	if err != nil {
		return err
	}
	f.BeginBatch()
	defer f.EndBatch()
	for _, e := range entries {
		f.apply(e)
	}
	f.nextOffset = max(f.nextOffset, nextOffset)
	return nil
}

// readAppended reads the appended records. Wake cancels a read that is waiting, as its connection
// may have stalled, and the records are read on another connection.
func (f *Follower) readAppended(ctx context.Context) ([]Entry, int64, error) {
	wait, readOffset := f.ReadWait(), f.readOffset()
	f.sentAt = f.Clock.Now()
	if wait == 0 {
		return f.Source.Read(ctx, readOffset, 0)
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.woken:
			cancel()
		case <-done:
		}
	}()
	entries, next, err := f.Source.Read(readCtx, readOffset, wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		f.sentAt = f.Clock.Now()
		return f.Source.Read(ctx, f.readOffset(), 0)
	}
	return entries, next, err
}

// readOffset returns the offset to read from.
func (f *Follower) readOffset() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.SingleKey {
		return max(f.nextOffset, f.peerNext)
	}
	return f.nextOffset
}

// readNewest reads the newest records. A key that is tracked but not among them was deleted, and
// the record of its deletion has expired.
func (f *Follower) readNewest(ctx context.Context) error {
	f.sentAt = f.Clock.Now()
	entries, nextOffset, err := f.Source.Newest(ctx)
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
		if !present[key] && offset < nextOffset {
			f.Apply(Entry{Key: key, Offset: offset})
			delete(f.offsets, key)
		}
	}
	f.nextOffset, f.started = nextOffset, true
	log.WithField("log", f.Name).WithField("keys", len(entries)).WithField("next", nextOffset).Info("newest records read")
	return nil
}

// apply drops records that are older than one already applied for the key: the pages of the newest
// records aren't a consistent snapshot, so the reads after them return some records again.
func (f *Follower) apply(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if newest, ok := f.offsets[e.Key]; ok && e.Offset < newest {
		log.WithField("log", f.Name).WithField("key", e.Key).WithField("offset", e.Offset).WithField("newest", newest).
			WithField("from_peer", e.FromPeer).Info("older record dropped")
		return
	}
	f.offsets[e.Key] = e.Offset
	f.Apply(e)
}
