package keyedlog

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/era"
)

// scriptedSource is a source with predefined reads.
type scriptedSource struct {
	newest []Entry
	next   int64
	reads  []readResult
	from   []int64 // offsets of the reads
	cancel func()
}

type readResult struct {
	entries   []Entry
	remaining int64 // records after the entries
	err       error
}

func (s *scriptedSource) Newest(context.Context, string) (NewestPage, error) {
	return NewestPage{Entries: slices.Clone(s.newest), End: at(s.next)}, nil
}

func (s *scriptedSource) Read(_ context.Context, from era.Position, _ time.Duration) (Page, error) {
	s.from = append(s.from, from.Offset)
	if len(s.reads) == 0 {
		s.cancel()
		return Page{Next: from}, nil
	}
	r := s.reads[0]
	s.reads = s.reads[1:]
	if r.err != nil {
		return Page{}, r.err
	}
	next := from.Offset + int64(len(r.entries))
	return Page{Entries: r.entries, Next: at(next), End: next + r.remaining}, nil
}

// runScript runs a follower to the end of the script and returns the applied entries and the number
// of failed reads.
func runScript(t *testing.T, s *scriptedSource) (applied []string, failedReads int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	f := New("test", s)
	f.OnReadError = func() { failedReads++ }
	f.Apply = func(e Entry) bool {
		value := string(e.Value)
		if e.Value == nil {
			value = "-"
		}
		applied = append(applied, e.Key+"="+value)
		return true
	}
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	return applied, failedReads
}

// at returns a position in a log without eras.
func at(offset int64) era.Position { return era.Position{Offset: offset} }

func entry(key, value string, offset int64) Entry {
	e := Entry{Key: key, Position: at(offset)}
	if value != "" {
		e.Value = []byte(value)
	}
	return e
}

func TestChangesFollowTheNewestRecords(t *testing.T) {
	applied, failedReads := runScript(t, &scriptedSource{
		newest: []Entry{entry("a", "1", 3)}, next: 5,
		reads: []readResult{{entries: []Entry{entry("a", "2", 5), entry("b", "", 6)}}},
	})
	assert.DeepEqual(t, applied, []string{"a=1", "a=2", "b=-"})
	assert.Equal(t, failedReads, 0)
}

// Guards against a key that keeps its old value. The pages of the newest records aren't a
// consistent snapshot: the second page has a record that was written after the first was read, and
// the reads that follow return an older record of that key again.
func TestRepeatedOlderRecordsAreDropped(t *testing.T) {
	applied, _ := runScript(t, &scriptedSource{
		newest: []Entry{entry("a", "new", 7)}, next: 6,
		reads: []readResult{{entries: []Entry{entry("a", "old", 6), entry("a", "new", 7)}}},
	})
	assert.DeepEqual(t, applied, []string{"a=new", "a=new"})
}

// Guards against a key that never ends. The store deletes history while a VM is disconnected, so a
// key that was deleted meanwhile is only missing from the newest records.
func TestKeysDeletedDuringOutageAreReported(t *testing.T) {
	s := &scriptedSource{newest: []Entry{entry("a", "1", 1), entry("b", "1", 2)}, next: 3}
	s.reads = []readResult{{err: driver.ErrExpired}}
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	var ended []string
	f := New("test", s)
	f.Apply = func(e Entry) bool {
		if e.Value == nil {
			ended = append(ended, e.Key)
		}
		s.newest, s.next = []Entry{entry("b", "1", 2)}, 9
		return true
	}
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	assert.DeepEqual(t, ended, []string{"a"})
}

func TestFailedReadIsReportedAndRetried(t *testing.T) {
	applied, failedReads := runScript(t, &scriptedSource{
		next:  1,
		reads: []readResult{{err: errors.New("down")}, {entries: []Entry{entry("a", "1", 1)}}},
	})
	assert.DeepEqual(t, applied, []string{"a=1"})
	assert.Equal(t, failedReads, 1)
}

// Guards against redundant reads. A VM received five versions of a configuration from its peers,
// and its next read would fetch all of them from the store again.
func TestRecordsFromPeersAreNotReadAgain(t *testing.T) {
	for _, oneKey := range []bool{true, false} {
		s := &scriptedSource{next: 1, reads: []readResult{{}}}
		ctx, cancel := context.WithCancel(t.Context())
		s.cancel = cancel
		f := New("test", s)
		f.SingleKey = oneKey
		f.Apply = func(Entry) bool { return true }
		f.ReceiveEntry(entry("a", "5", 5))
		assert.ErrorIs(t, f.Run(ctx), context.Canceled)
		want := []int64{1, 1}
		if oneKey {
			want = []int64{6, 6}
		}
		assert.DeepEqual(t, s.from, want)
	}
}

// Guards against a retry storm. The store fails while sixty VMs, which receive all changes from
// their peers, make their infrequent reads. If each retried until it succeeds, the store would be
// charged for a hundred calls a second.
func TestFailedReadIsRetriedAtReadInterval(t *testing.T) {
	s := &scriptedSource{next: 1, reads: []readResult{{err: errors.New("down")}, {}}}
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	f := New("test", s)
	f.Apply = func(Entry) bool { return true }
	f.ReadInterval = func() time.Duration {
		if len(s.from) == 0 {
			return 0
		}
		cancel() // the read has failed and the wait for the next one begins
		return time.Hour
	}
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	assert.Equal(t, len(s.from), 1)
}

// Guards against a read without an end: it stops where the log ended at its first page.
func TestAReadEndsWhereTheLogEndedAtItsFirstPage(t *testing.T) {
	s := &scriptedSource{next: 1, reads: []readResult{
		{entries: []Entry{entry("a", "1", 1)}, remaining: 2},
		{entries: []Entry{entry("b", "1", 2), entry("c", "1", 3)}, remaining: 5},
		{entries: []Entry{entry("d", "1", 4)}},
	}}
	reads := []int64{}
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	f := New("test", s)
	f.Apply = func(Entry) bool { return true }
	f.OnRead = func(clock.Time) { reads = append(reads, f.Next().Offset) }
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	assert.DeepEqual(t, reads, []int64{1, 4, 5})
}
