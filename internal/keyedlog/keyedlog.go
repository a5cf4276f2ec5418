// Package keyedlog follows a log that retains the newest record of each key (a compacted log). It
// first reads the newest records and then the appended ones. If the records that it would read next
// have been deleted, or the log was restored from an older copy, it reads the newest records again.
//
// A restore undoes records, gives their offsets to new ones and begins a new era (package era). What
// was applied before isn't undone: a handler gets values of earlier eras too and must order them by
// their content. Deletions have no content to order them by, so one of an earlier era is dropped.
//
// Peers send the same change more than once, and in different shapes: where one process has read the
// record of a deletion, another finds only that the key is missing. The handler gets each change once.
// Of a deletion it gets at most one entry for each way in which the key may have ended, in this order:
// missing, deleted by a record, and deleted for good (Entry.Final).
//
// Concurrency: Run reads in one goroutine. ReceiveEntry and Wake may be called from others; Apply
// is called by one goroutine at a time.
package keyedlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/era"
	"fescuestand/internal/eventlog"
)

// Entry is the newest record of a key. A nil value means that the key was deleted.
type Entry struct {
	Key      string
	Value    []byte
	Position era.Position
	FromPeer bool // read by another process, which sent it to this one
	Initial  bool // from the newest records that a reader starts with
	// Missing marks a deletion for which no record was read: the key isn't among the newest records.
	// If the log was restored, the key's writer may not have written it again yet.
	Missing bool
	// Final marks a deletion that isn't due to an outage of the log, in which the keys of live writers expire:
	// the process that read its record had read the log without a long gap before.
	Final bool
	// GracePeriod is how long the process that read the deletion of the key keeps using the
	// previous value.
	GracePeriod time.Duration
}

// Page is a part of the records that a read asks for.
type Page struct {
	Entries []Entry
	// Next is the position after the entries. If its era isn't that of the read, records before it may be
	// missing.
	Next era.Position
	// End is the offset at which the log ended. If it is beyond Next, the log has further records.
	End int64
}

// NewestPage is a part of the newest records of all keys.
type NewestPage struct {
	Entries []Entry
	// End is the position at which the log ended. A read from the End of the first page returns every record
	// that the pages may have missed.
	End era.Position
	// More means that there are further keys. The page isn't empty then.
	More bool
}

// Source is a keyed log.
type Source interface {
	// Newest returns the newest records of the first keys after the given one, in the order of their keys.
	Newest(ctx context.Context, after string) (NewestPage, error)
	// Read returns the first page of the records from the offset of from on. It waits up to wait for a
	// record, and fails with driver.ErrExpired if the log doesn't have the records at from, as an ExpiredError where it
	// tells which it has. A page before the end of the log isn't empty.
	Read(ctx context.Context, from era.Position, wait time.Duration) (Page, error)
}

// ExpiredError is the answer to a read of records that have been deleted.
type ExpiredError struct {
	First era.Position // of the oldest record that the log has
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("%v: the log begins at %d", driver.ErrExpired, e.First.Offset)
}

// Unwrap returns driver.ErrExpired.
func (e *ExpiredError) Unwrap() error { return driver.ErrExpired }

// Follower passes every change of a keyed log to its handler.
type Follower struct {
	Name   string // for logs
	Source Source
	// ReadWait returns how long a read waits for a record; zero makes it return immediately.
	ReadWait func() time.Duration
	// ReadInterval returns the time between two reads. The changes within one interval are read
	// with a single call. If it is zero, each read follows the previous one immediately.
	ReadInterval func() time.Duration
	// Eras are the eras that this process knows of.
	Eras *era.Tracker
	// Apply handles a change, and reports whether it could read the value. A value that it can't read is skipped: it
	// neither ends its key nor hides earlier values of it that peers have. Within an era the offsets of one key
	// never decrease, but for the record of a deletion after the key was found missing.
	Apply func(Entry) bool
	// OnRead is called after each successful read, once all records up to its end are applied, with the
	// time at which the read was sent.
	OnRead func(sentAt clock.Time)
	// Clock is the clock for OnRead.
	Clock clock.Clock
	// OnReadError is called after each failed read.
	OnReadError func()
	// BeginBatch and EndBatch are called before and after the entries of one page.
	BeginBatch, EndBatch func()
	// SingleKey means that only one key matters, so that records before one received from a peer
	// needn't be read.
	SingleKey bool

	mu       sync.Mutex // guards the fields up to dropped, and serializes Apply
	keys     map[string]*keyState
	ended    []string     // keys that have ended, the oldest first; some may have values again
	peerNext era.Position // after the newest record received from a peer
	dropped  eventlog.Limit

	next     era.Position
	newest   newestRead
	snapshot era.Position // up to which the newest records were read last; mu guards it
	hasRead  bool         // the newest records have been read
	failing  bool
	sentAt   clock.Time // when the newest call to the source was sent
	readAt   clock.Time // when the newest call that succeeded was sent
	// settledAt is the time from which the log has the keys of all live writers: those that expired while it
	// was unavailable are written again.
	settledAt clock.Time
	woken     chan struct{}
}

// New returns a follower of source with defaults; the caller sets its other fields.
func New(name string, source Source) *Follower {
	return &Follower{
		Name: name, Source: source, OnReadError: func() {}, OnRead: func(clock.Time) {}, Clock: clock.Boot{}, ReadInterval: func() time.Duration { return 0 },
		ReadWait:   func() time.Duration { return 0 },
		BeginBatch: func() {}, EndBatch: func() {}, Eras: era.NewTracker(clock.Boot{}),
		keys: map[string]*keyState{}, woken: make(chan struct{}, 1),
	}
}

// ReceiveEntry applies an entry that another process has read. It returns whether the entry was passed to the
// handler: it isn't if it was applied before or is outdated.
func (f *Follower) ReceiveEntry(e Entry) (isApplied bool) {
	e.FromPeer = true
	v := f.apply(e)
	f.mu.Lock()
	defer f.mu.Unlock()
	after := era.Position{Era: e.Position.Era, Offset: e.Position.Offset + 1}
	if !f.isOfUnknownEra(&e) && f.peerNext.Before(after) {
		f.peerNext = after
	}
	return v == apply || v == applyByContent
}

// Next returns the position of the next read. Only functions that Run calls may use it.
func (f *Follower) Next() era.Position { return f.next }

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
		if !f.hasRead {
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
		log.WithField("log", f.Name).WithField("next", f.next.Offset).Info("keyed log regained")
	}
	f.failing = err != nil
}

// errOldAnswer means that an answer is of an earlier era than one that this process knows of: it was
// delayed until after a restore.
var errOldAnswer = errors.New("answer of an earlier era")

// errWoken means that Wake ended the wait for a record.
var errWoken = errors.New("woken")

// readOnce reads what is new. Wake cancels a read that is waiting, as its connection may have stalled,
// and what is new is read on another connection.
func (f *Follower) readOnce(ctx context.Context) error {
	err := f.read(ctx, f.ReadWait())
	if errors.Is(err, errWoken) {
		return f.read(ctx, 0)
	}
	return err
}

// read reads up to the end that the first page states. Each page is applied when it arrives: records may be
// appended as fast as they are read, and a later page may fail.
func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	from := f.readFrom()
	if !f.hasRead || from.Era < f.Eras.Current() {
		return f.readNewest(ctx)
	}
	page, err := f.readAppended(ctx, from, wait)
	end := page.End
	for {
		switch {
		case errors.Is(err, driver.ErrExpired):
			f.logFrom(from).Info("log doesn't have the next records, reading the newest ones")
			return f.readNewest(ctx)
		case err != nil:
			return err
		case page.Next.Era < from.Era:
			return errOldAnswer
		case page.Next.Era > from.Era:
			f.logFrom(from).WithField("new_era", uint64(page.Next.Era)).Info("log was restored, reading the newest records")
			return f.readNewest(ctx)
		}
		f.applyPage(&page)
		if page.Next.Offset >= end {
			break
		}
		if page.Next.Offset <= from.Offset {
			return errOldAnswer // an answer after it knew of more records
		}
		from = page.Next
		page, err = f.Source.Read(ctx, from, 0)
	}
	if f.next.Era < f.Eras.Current() {
		return errOldAnswer // what it says is applied, but it doesn't show what is newest
	}
	return nil
}

// applyPage applies the appended records of a page, and continues after them.
func (f *Follower) applyPage(p *Page) {
	f.recordGap()
	f.markFinal(p.Entries)
	f.applyAll(p.Entries)
	if f.next.Before(p.Next) {
		f.next = p.Next
	}
}

func (f *Follower) logFrom(from era.Position) *log.Entry {
	return log.WithField("log", f.Name).WithField("era", uint64(from.Era)).WithField("from", from.Offset)
}

// maxReadGap is the time between two successful reads from which the log may have been unavailable for so long
// that keys of live writers expired. A writer writes three times in the time after which its key expires, which
// is 3.6 s.
const maxReadGap = 2 * time.Second

// recordGap records that the read sent at sentAt has succeeded now. After a long gap keys of live writers may be
// expired until these have written again.
func (f *Follower) recordGap() {
	if now := f.Clock.Now(); !f.hasRead || now.Sub(f.readAt) > maxReadGap {
		f.settledAt = now.Add(era.RewriteTime)
	}
	f.readAt = f.sentAt
}

// markFinal marks the deletions among appended records that can't be due to an outage.
func (f *Follower) markFinal(appended []Entry) {
	settled := f.sentAt >= f.settledAt
	for i := range appended {
		appended[i].Final = settled && appended[i].Value == nil
	}
}

// applyAll applies the entries of one page as one batch.
func (f *Follower) applyAll(entries []Entry) {
	f.BeginBatch()
	defer f.EndBatch()
	for _, e := range entries {
		f.apply(e)
	}
}

// readAppended reads the first page of the appended records. It fails with errWoken if Wake is called while it waits for
// one.
func (f *Follower) readAppended(ctx context.Context, from era.Position, wait time.Duration) (Page, error) {
	f.sentAt = f.Clock.Now()
	if wait == 0 {
		return f.Source.Read(ctx, from, 0)
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
	page, err := f.Source.Read(readCtx, from, wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		err = errWoken
	}
	return page, err
}

// readFrom returns the position to read from.
func (f *Follower) readFrom() era.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.SingleKey && f.next.Before(f.peerNext) {
		return f.peerNext
	}
	return f.next
}

// newestRead is a read of the newest records of which some pages have arrived.
type newestRead struct {
	entries []Entry
	end     era.Position        // of the first page
	sentAt  clock.Time          // when the first page was asked for
	after   string              // the last key of the entries, empty before the first page
	asked   map[string]struct{} // the keys after which pages were asked for
}

// errRestored means that the log was restored between two answers that belong together.
var errRestored = errors.New("log restored between two pages")

// read reads the missing pages. If one fails, the next call continues with it; after a restore it begins anew. It ends
// when a key comes again: answers can't hold a key that isn't UTF-8, and what they have in its place may be before it.
func (n *newestRead) read(ctx context.Context, source Source, c clock.Clock) error {
	for {
		if n.after == "" {
			n.sentAt = c.Now()
		}
		page, err := source.Newest(ctx, n.after)
		switch {
		case err != nil:
			return err
		case n.after == "":
			n.end = page.End
		case page.End.Era != n.end.Era:
			*n = newestRead{}
			return errRestored
		}
		n.entries = append(n.entries, page.Entries...)
		if !page.More {
			return nil
		}
		n.after = page.Entries[len(page.Entries)-1].Key
		if _, repeated := n.asked[n.after]; repeated {
			log.WithField("keys", len(n.entries)).Warn("keys that can't be asked for left out of the newest records")
			return nil
		}
		if n.asked == nil {
			n.asked = map[string]struct{}{}
		}
		n.asked[n.after] = struct{}{}
	}
}

// ReadNewest returns the newest records of all keys, and the position from which Read returns every later one.
func ReadNewest(ctx context.Context, source Source) ([]Entry, era.Position, error) {
	var n newestRead
	err := n.read(ctx, source, clock.Boot{})
	return n.entries, n.end, err
}

// readNewest reads the newest records.
func (f *Follower) readNewest(ctx context.Context) error {
	if err := f.newest.read(ctx, f.Source, f.Clock); err != nil {
		return err
	}
	entries, next := f.newest.entries, f.newest.end
	f.sentAt = f.newest.sentAt
	f.newest = newestRead{}
	if next.Era < max(f.next.Era, f.Eras.Current()) {
		return errOldAnswer
	}
	f.recordGap()
	deletions := f.readDeletions(ctx, next)
	f.BeginBatch()
	defer f.EndBatch()
	slices.SortFunc(entries, func(a, b Entry) int { return a.Position.Compare(b.Position) })
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		e.Initial = !f.hasRead
		f.apply(e)
	}
	for _, e := range deletions {
		if !present[e.Key] {
			f.apply(e)
		}
	}
	f.removeMissing(present, next)
	f.next, f.hasRead = next, true
	log.WithField("log", f.Name).WithField("keys", len(entries)).WithField("era", uint64(next.Era)).WithField("next", next.Offset).Info("newest records read")
	return nil
}

// readDeletions returns the deletions that were appended since the last read and up to the position next, in a
// new era. The newest records show them only as missing keys, which may be lost ones. It reads them only if they
// are final, else they say no more than that.
func (f *Follower) readDeletions(ctx context.Context, next era.Position) []Entry {
	isUseful := f.hasRead && !f.SingleKey && f.sentAt >= f.settledAt
	if !isUseful || f.next.Era == next.Era || f.next.Offset >= next.Offset {
		return nil
	}
	var entries []Entry
	for from := (era.Position{Era: next.Era, Offset: f.next.Offset}); from.Offset < next.Offset; {
		page, err := f.Source.Read(ctx, from, 0)
		if err != nil || page.Next.Era != next.Era || page.Next.Offset <= from.Offset {
			f.logFrom(from).WithError(err).Info("deletions beside the newest records not read")
			return nil
		}
		entries, from = append(entries, page.Entries...), page.Next
	}
	f.markFinal(entries)
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.Value != nil || !e.Position.Before(next) })
}

// removeMissing applies the deletion of each key that is tracked but not among the newest records up to
// the position next: the record of its deletion has expired, or the log was restored.
func (f *Follower) removeMissing(present map[string]bool, next era.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = next
	for key, s := range f.keys {
		if present[key] || !s.position.Before(next) {
			continue
		}
		if s.ended == notEnded {
			deletion := Entry{Key: key, Position: s.position}
			if s.position.Era != next.Era {
				deletion.Missing, deletion.Position = true, era.Position{Era: next.Era, Offset: next.Offset - 1}
			}
			f.applyTo(s, &deletion, apply)
		}
		s.absent = !f.SingleKey
	}
}

// apply applies an entry unless it was applied before or is outdated.
func (f *Follower) apply(e Entry) verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.keys[e.Key]
	switch {
	case f.isOfUnknownEra(&e):
		return f.applyOfUnknownEra(&e, s)
	case s == nil && !f.SingleKey && e.FromPeer && e.Position.Before(f.snapshot):
		f.logDropped(&e, f.snapshot) // the key wasn't among the newest records
		return outdated
	case s == nil:
		s = &keyState{}
		f.keys[e.Key] = s
		f.applyTo(s, &e, apply)
		return apply
	}
	v := s.judge(&e, f.snapshot)
	switch v {
	case apply, applyByContent:
		f.applyTo(s, &e, v)
	case outdated:
		f.logDropped(&e, s.position)
	case repeated:
	}
	return v
}

// maxEndedKeys bounds the ended keys of which the state is kept. It only has to outlast the messages of
// peers about a deletion.
const maxEndedKeys = 1024

// applyTo passes e to the handler and records it in the state of its key. The caller holds mu.
func (f *Follower) applyTo(s *keyState, e *Entry, v verdict) {
	wasEnded := s.ended != notEnded
	if !f.Apply(*e) {
		return
	}
	s.record(e, v)
	if s.ended == notEnded || wasEnded {
		return
	}
	f.ended = append(f.ended, e.Key)
	if len(f.ended) <= maxEndedKeys {
		return
	}
	oldest := f.ended[0]
	f.ended = f.ended[1:]
	if o := f.keys[oldest]; o != nil && o.ended != notEnded {
		delete(f.keys, oldest)
	}
}

// isOfUnknownEra reports whether e is of an unknown era, since a process of an earlier version has sent it.
func (f *Follower) isOfUnknownEra(e *Entry) bool {
	return e.Position.Era == era.None && f.Eras.Current() != era.None
}

// applyOfUnknownEra applies an entry of an unknown era. It doesn't change the key's position, as it would
// hide records if it is of an earlier era.
func (f *Follower) applyOfUnknownEra(e *Entry, s *keyState) verdict {
	if s == nil {
		f.Apply(*e)
		return apply
	}
	if e.Value == nil && e.Position.Offset < s.position.Offset {
		f.logDropped(e, s.position)
		return outdated
	}
	if e.Value == nil && s.ended != notEnded {
		return repeated
	}
	if f.Apply(*e) && e.Value != nil {
		s.ended = notEnded // the handler may have taken it
	}
	return apply
}

// logDropped logs that e is dropped. The pages of the newest records aren't a consistent snapshot, so
// the reads after them return some records again, and peers send records more than once. The caller holds mu.
func (f *Follower) logDropped(e *Entry, newest era.Position) {
	leftOut, ok := f.dropped.Allow(f.Clock.Now())
	if !ok {
		return
	}
	log.WithField("log", f.Name).WithField("key", e.Key).WithField("era", uint64(e.Position.Era)).WithField("offset", e.Position.Offset).
		WithField("newest_era", uint64(newest.Era)).WithField("newest", newest.Offset).
		WithField("from_peer", e.FromPeer).WithField("left_out", leftOut).Info("older record dropped")
}
