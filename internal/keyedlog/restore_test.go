package keyedlog

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/era"
)

// restoredLog is a log of which a test sets the state.
type restoredLog struct {
	era     era.Era
	records []Entry // by offset
	calls   []string
}

func (l *restoredLog) put(key, value string) {
	e := entry(key, value, int64(len(l.records)))
	e.Position.Era = l.era
	l.records = append(l.records, e)
}

// restore drops the newest records and begins a new era.
func (l *restoredLog) restore(lost int) {
	l.records = l.records[:len(l.records)-lost]
	l.era++
	for i := range l.records {
		l.records[i].Position.Era = l.era
	}
}

func (l *restoredLog) end() era.Position {
	return era.Position{Era: l.era, Offset: int64(len(l.records))}
}

func (l *restoredLog) Newest(context.Context, string) (NewestPage, error) {
	l.calls = append(l.calls, "newest")
	newest := map[string]Entry{}
	for _, r := range l.records {
		newest[r.Key] = r
		if r.Value == nil {
			delete(newest, r.Key)
		}
	}
	var out []Entry
	for _, e := range newest {
		out = append(out, e)
	}
	return NewestPage{Entries: out, End: l.end()}, nil
}

func (l *restoredLog) Read(_ context.Context, from era.Position, _ time.Duration) (Page, error) {
	l.calls = append(l.calls, "read")
	if from.Offset > int64(len(l.records)) {
		return Page{}, driver.ErrExpired
	}
	return Page{Entries: slices.Clone(l.records[from.Offset:]), Next: l.end(), End: l.end().Offset}, nil
}

// follow returns a follower of l that has read it once, and what it applies.
func follow(t *testing.T, l *restoredLog) (*Follower, map[string]string) {
	t.Helper()
	applied := map[string]string{}
	f := New("test", l)
	f.Apply = func(e Entry) bool {
		switch {
		case e.Value != nil:
			applied[e.Key] = string(e.Value)
		case e.Missing:
			applied[e.Key] = "missing"
		default:
			applied[e.Key] = "deleted"
		}
		return true
	}
	assert.NilError(t, f.readOnce(t.Context()))
	return f, applied
}

func inEra(e era.Era, offset int64) era.Position { return era.Position{Era: e, Offset: offset} }

// Guards against records that are never applied because their offsets were given out before: none, one
// or many were lost, and more were written since than were lost, or fewer.
func TestRecordsAfterARestoreAreApplied(t *testing.T) {
	for lost := range 5 {
		for written := range 7 {
			l := &restoredLog{era: 1}
			for _, value := range []string{"1", "2", "3", "4", "5"} {
				l.put("a", value)
			}
			l.put("b", "1")
			f, applied := follow(t, l)
			l.restore(lost)
			for i := range written {
				l.put("a", string(rune('a'+i)))
			}
			l.put("b", "2")
			assert.NilError(t, f.readOnce(t.Context()))
			assert.Equal(t, applied["b"], "2", "%d lost, %d written", lost, written)
			if written > 0 {
				assert.Equal(t, applied["a"], string(rune('a'+written-1)), "%d lost, %d written", lost, written)
			}
			l.put("a", "last")
			assert.NilError(t, f.readOnce(t.Context()))
			assert.Equal(t, applied["a"], "last")
		}
	}
}

// Guards against a key that ends because a restore undid its first record, and that can't be told from
// one that was deleted.
func TestKeysThatARestoreLostAreMissing(t *testing.T) {
	l := &restoredLog{era: 1}
	l.put("a", "1")
	l.put("b", "1")
	f, applied := follow(t, l)
	l.restore(1)
	assert.NilError(t, f.readOnce(t.Context()))
	assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "missing"})
	l.put("b", "1")
	assert.NilError(t, f.readOnce(t.Context()))
	assert.Equal(t, applied["b"], "1")
}

// Guards against a useless read for each VM that has heard of a restore from another one.
func TestNewestRecordsAreReadAtOnceInAKnownEra(t *testing.T) {
	l := &restoredLog{era: 1}
	l.put("a", "1")
	f, _ := follow(t, l)
	l.restore(0)
	f.Eras.Merge(2, 0, "vm")
	assert.NilError(t, f.readOnce(t.Context()))
	assert.NilError(t, f.readOnce(t.Context()))
	assert.DeepEqual(t, l.calls, []string{"newest", "newest", "read"})
}

// Guards against an answer that was sent before a restore and arrives after it: it must neither count
// as the newest state nor move the position back.
func TestAnswersOfAnEarlierEraDontCount(t *testing.T) {
	l := &restoredLog{era: 2}
	l.put("a", "1")
	f, applied := follow(t, l)
	l.era, l.records[0].Position.Era = 1, 1
	assert.ErrorIs(t, f.readOnce(t.Context()), errOldAnswer)
	assert.Equal(t, f.Next(), inEra(2, 1))
	l.era, l.records[0].Position.Era = 2, 2
	l.put("a", "2")
	f.Eras.Observe(3, "join") // the next newest records are of era 2 still
	assert.ErrorIs(t, f.readOnce(t.Context()), errOldAnswer)
	assert.Equal(t, applied["a"], "1")
}

// Guards against a deletion of an earlier era that ends a key which was written again, and against
// losing a value of an earlier era that only the handler can order.
func TestPeersEntriesOfAnEarlierEra(t *testing.T) {
	l := &restoredLog{era: 2}
	l.put("a", "2")
	f, applied := follow(t, l)
	f.ReceiveEntry(Entry{Key: "a", Position: inEra(1, 9)})
	assert.Equal(t, applied["a"], "2")
	f.ReceiveEntry(Entry{Key: "a", Value: []byte("1"), Position: inEra(1, 8)})
	assert.Equal(t, applied["a"], "1")
	f.ReceiveEntry(Entry{Key: "a", Position: inEra(2, 1)})
	assert.Equal(t, applied["a"], "deleted")
	f.ReceiveEntry(Entry{Key: "gone", Value: []byte("1"), Position: inEra(1, 3)})
	assert.Equal(t, applied["gone"], "", "the newest records don't have the key")
}

// Guards against entries of VMs of an earlier version, which state no era: their offsets may be of an
// earlier era and must not hide later records.
func TestEntriesOfUnknownEraHideNoRecord(t *testing.T) {
	l := &restoredLog{era: 2}
	l.put("a", "1")
	f, applied := follow(t, l)
	f.Eras.Observe(2, "read")
	f.ReceiveEntry(Entry{Key: "a", Value: []byte("9"), Position: inEra(era.None, 9)})
	assert.Equal(t, applied["a"], "9")
	l.put("a", "2")
	assert.NilError(t, f.readOnce(t.Context()))
	assert.Equal(t, applied["a"], "2")
	f.ReceiveEntry(Entry{Key: "a", Position: inEra(era.None, 1)})
	assert.Equal(t, applied["a"], "deleted")
}

// Guards against a reader of a single key that skips records, since a peer has sent it one of an
// earlier era with a higher offset.
func TestASingleKeyIsReadFromTheNewestPosition(t *testing.T) {
	l := &restoredLog{era: 1}
	l.put("config", "1")
	f, applied := follow(t, l)
	f.SingleKey = true
	f.ReceiveEntry(Entry{Key: "config", Value: []byte("7"), Position: inEra(1, 7)})
	l.restore(0)
	l.put("config", "8")
	assert.NilError(t, f.readOnce(t.Context()))
	assert.Equal(t, applied["config"], "8")
	f.ReceiveEntry(Entry{Key: "config", Value: []byte("9"), Position: inEra(2, 5)})
	assert.Equal(t, f.readFrom(), inEra(2, 6))
}

// Guards against a wait for a record at an offset that was given out again: the store answers it only
// at its end.
func TestWakeReadsTheNewestRecordsAfterARestore(t *testing.T) {
	l := &restoredLog{era: 1}
	l.put("a", "1")
	f, applied := follow(t, l)
	f.Source = waitingLog{l}
	f.ReadWait = func() time.Duration { return time.Hour }
	l.restore(1)
	l.put("a", "2")
	f.Eras.Observe(1, "read")
	f.Eras.OnRestore(f.Wake)
	f.Eras.Merge(2, 0, "vm")
	f.Eras = era.NewTracker(clock.Boot{}) // the read begins before the era is known
	done := make(chan error)
	go func() { done <- f.readOnce(t.Context()) }()
	assert.NilError(t, <-done)
	assert.Equal(t, applied["a"], "2")
}

// waitingLog is a log whose reads that may wait get no answer.
type waitingLog struct{ *restoredLog }

func (l waitingLog) Read(ctx context.Context, from era.Position, wait time.Duration) (Page, error) {
	if wait > 0 {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return l.restoredLog.Read(ctx, from, wait)
}
