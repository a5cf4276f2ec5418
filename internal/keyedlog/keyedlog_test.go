package keyedlog

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// script is a source whose reads are written down beforehand.
type script struct {
	newest []Entry
	next   int64
	reads  []read
	from   []int64 // offsets that were read from
	cancel func()
}

type read struct {
	entries []Entry
	err     error
}

func (s *script) Newest(context.Context) ([]Entry, int64, error) { return s.newest, s.next, nil }

func (s *script) Read(_ context.Context, from int64, _ time.Duration) ([]Entry, int64, error) {
	s.from = append(s.from, from)
	if len(s.reads) == 0 {
		s.cancel()
		return nil, from, nil
	}
	r := s.reads[0]
	s.reads = s.reads[1:]
	if r.err != nil {
		return nil, 0, r.err
	}
	return r.entries, from + int64(len(r.entries)), nil
}

// follow runs the script to its end and returns what was applied.
func follow(t *testing.T, s *script) (applied []string, lost int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	f := New("test", s)
	f.OnReadError = func() { lost++ }
	f.Apply = func(e Entry) {
		value := string(e.Value)
		if e.Value == nil {
			value = "-"
		}
		applied = append(applied, e.Key+"="+value)
	}
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	return applied, lost
}

func entry(key, value string, offset int64) Entry {
	e := Entry{Key: key, Offset: offset}
	if value != "" {
		e.Value = []byte(value)
	}
	return e
}

func TestChangesFollowTheNewestRecords(t *testing.T) {
	applied, lost := follow(t, &script{
		newest: []Entry{entry("a", "1", 3)}, next: 5,
		reads: []read{{entries: []Entry{entry("a", "2", 5), entry("b", "", 6)}}},
	})
	assert.DeepEqual(t, applied, []string{"a=1", "a=2", "b=-"})
	assert.Equal(t, lost, 0)
}

// The newest records come in pages that are no snapshot: the second page holds a
// record that was written after the first was read, and the reads that follow
// repeat an older one of the same key. Applied in that order, the key would have
// its old value for good.
func TestRepeatedOlderRecordsAreDropped(t *testing.T) {
	applied, _ := follow(t, &script{
		newest: []Entry{entry("a", "new", 7)}, next: 6,
		reads: []read{{entries: []Entry{entry("a", "old", 6), entry("a", "new", 7)}}},
	})
	assert.DeepEqual(t, applied, []string{"a=new", "a=new"})
}

// The store drops history while a VM is cut off from it. A key that ended in
// between shows only by its absence from the newest records.
func TestKeysThatEndedOutOfSightEnd(t *testing.T) {
	s := &script{newest: []Entry{entry("a", "1", 1), entry("b", "1", 2)}, next: 3}
	s.reads = []read{{err: driver.ErrExpired}}
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	var ended []string
	f := New("test", s)
	f.Apply = func(e Entry) {
		if e.Value == nil {
			ended = append(ended, e.Key)
		}
		s.newest, s.next = []Entry{entry("b", "1", 2)}, 9
	}
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	assert.DeepEqual(t, ended, []string{"a"})
}

func TestAFailedReadIsToldAndRepeated(t *testing.T) {
	applied, lost := follow(t, &script{
		next:  1,
		reads: []read{{err: errors.New("down")}, {entries: []Entry{entry("a", "1", 1)}}},
	})
	assert.DeepEqual(t, applied, []string{"a=1"})
	assert.Equal(t, lost, 1)
}

// A VM heard of five versions of a configuration from its peers. Its next read
// would fetch them all from the store once more.
func TestWhatWasHeardIsNotReadAgain(t *testing.T) {
	for _, oneKey := range []bool{true, false} {
		s := &script{next: 1, reads: []read{{}}}
		ctx, cancel := context.WithCancel(t.Context())
		s.cancel = cancel
		f := New("test", s)
		f.SingleKey = oneKey
		f.Apply = func(Entry) {}
		f.ReceiveEntry(entry("a", "5", 5))
		assert.ErrorIs(t, f.Run(ctx), context.Canceled)
		want := []int64{1, 1}
		if oneKey {
			want = []int64{6, 6}
		}
		assert.DeepEqual(t, s.from, want)
	}
}

// The store goes away while sixty VMs that hear of all changes from their peers
// make their rare reads. Did each of them try until it succeeds, the store would be
// charged for a hundred calls a second.
func TestAFailedReadIsRepeatedNoSoonerThanTheNext(t *testing.T) {
	s := &script{next: 1, reads: []read{{err: errors.New("down")}, {}}}
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	f := New("test", s)
	f.Apply = func(Entry) {}
	f.ReadInterval = func() time.Duration {
		if len(s.from) == 0 {
			return 0
		}
		cancel() // the read has failed, and the pause after it begins
		return time.Hour
	}
	assert.ErrorIs(t, f.Run(ctx), context.Canceled)
	assert.Equal(t, len(s.from), 1)
}
