package keyedlog

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
)

// unreadable is a value that the handler of collect can't read.
const unreadable = "?"

// collect returns a follower without a source and the list of what it applies.
func collect() (*Follower, *[]string) {
	f, applied := New("test", nil), &[]string{}
	f.Apply = func(e Entry) bool {
		if string(e.Value) == unreadable {
			return false
		}
		s := e.Key + "=" + string(e.Value)
		switch {
		case e.Value != nil:
		case e.Missing:
			s = e.Key + " missing"
		case e.Final:
			s = e.Key + " final"
		default:
			s = e.Key + " deleted"
		}
		*applied = append(*applied, s)
		return true
	}
	return f, applied
}

// Guards against VMs that repeat a deletion to each other, since each repetition and each other shape of it
// counts as a change.
func TestADeletionIsAppliedOnceForEachEnding(t *testing.T) {
	f, applied := collect()
	value := func(p era.Position) Entry { return Entry{Key: "a", Value: []byte("1"), Position: p} }
	missing := func(offset int64) Entry { return Entry{Key: "a", Position: inEra(2, offset), Missing: true} }
	record := Entry{Key: "a", Position: inEra(2, 7)}
	final := Entry{Key: "a", Position: inEra(2, 7), Final: true}
	for _, e := range []Entry{
		value(inEra(1, 3)), value(inEra(1, 3)), missing(9), missing(12), missing(5), value(inEra(1, 3)), record, record, missing(9),
		final, record, missing(20), final, {Key: "a", Position: inEra(1, 30), Final: true},
	} {
		f.ReceiveEntry(e)
	}
	assert.DeepEqual(t, *applied, []string{"a=1", "a missing", "a deleted", "a final"})
	*applied = nil
	for _, e := range []Entry{value(inEra(2, 30)), final, missing(25), {Key: "a", Position: inEra(2, 31)}, value(inEra(2, 30))} {
		f.ReceiveEntry(e)
	}
	assert.DeepEqual(t, *applied, []string{"a=1", "a deleted"})
}

// Guards against a value of another writer that hides what peers have read before it, or ends its key.
func TestAnUnreadableValueIsSkipped(t *testing.T) {
	for _, singleKey := range []bool{false, true} {
		f, applied := collect()
		f.SingleKey = singleKey
		value := func(v string, offset int64) Entry {
			return Entry{Key: "a", Value: []byte(v), Position: inEra(1, offset)}
		}
		for _, e := range []Entry{value(unreadable, 5), value("1", 3), value(unreadable, 6), value("1", 3), value("2", 4), value("3", 7)} {
			f.ReceiveEntry(e)
		}
		assert.DeepEqual(t, *applied, []string{"a=1", "a=2", "a=3"})
	}
}

// Guards against an end that is ignored because this process has a deletion of an earlier value only.
func TestADeletionOfAValueThatWasNotReceivedIsApplied(t *testing.T) {
	f, applied := collect()
	for _, offset := range []int64{4, 6, 6, 4} {
		f.ReceiveEntry(Entry{Key: "a", Position: inEra(1, offset)})
	}
	isApplied := f.ReceiveEntry(Entry{Key: "a", Value: []byte("1"), Position: inEra(1, 5)})
	assert.Assert(t, !isApplied)
	assert.DeepEqual(t, *applied, []string{"a deleted", "a deleted"})
}

// Guards against the end of live keys that expired because their writers couldn't reach the log: a record
// that may be due to that must not count as final.
func TestDeletionsAfterALongGapAreNotFinal(t *testing.T) {
	for _, gap := range []time.Duration{maxReadGap, maxReadGap + 1} {
		l, c := &restoredLog{era: 1}, &clock.Manual{T: clock.Time(time.Hour)}
		for i := range 4 {
			l.put(fmt.Sprint(i), "1")
		}
		f, applied := collect()
		f.Source, f.Clock = l, c
		read := func(after time.Duration) {
			c.T = c.T.Add(after)
			assert.NilError(t, f.readOnce(t.Context()))
		}
		read(0)
		read(era.RewriteTime)
		*applied = nil
		l.put("0", "")
		read(gap)
		l.put("1", "")
		read(era.RewriteTime - 1)
		l.put("2", "")
		read(1)
		want := []string{"0 final", "1 final", "2 final"}
		if gap > maxReadGap {
			want = []string{"0 deleted", "1 deleted", "2 final"}
		}
		assert.DeepEqual(t, *applied, want)
	}
}

// Guards against an endpoint that is kept as if it were lost, although the log of the new era has the record
// of its deletion.
func TestDeletionsBesideTheNewestRecordsAreRead(t *testing.T) {
	for _, gap := range []time.Duration{maxReadGap, maxReadGap + 1} {
		l, c := &restoredLog{era: 1}, &clock.Manual{T: clock.Time(time.Hour)}
		l.put("a", "1")
		l.put("b", "1")
		l.put("c", "1")
		f, applied := collect()
		f.Source, f.Clock = l, c
		assert.NilError(t, f.readOnce(t.Context()))
		c.T = c.T.Add(era.RewriteTime)
		assert.NilError(t, f.readOnce(t.Context()))
		*applied, l.calls = nil, nil
		l.restore(0)
		l.put("b", "")
		l.put("c", "")
		l.put("c", "2")
		c.T = c.T.Add(gap)
		assert.NilError(t, f.readOnce(t.Context()))
		if gap <= maxReadGap {
			assert.DeepEqual(t, *applied, []string{"a=1", "c=2", "b final"})
			assert.DeepEqual(t, l.calls, []string{"read", "newest", "read"})
		} else {
			assert.DeepEqual(t, *applied, []string{"a=1", "c=2", "b missing"})
			assert.DeepEqual(t, l.calls, []string{"read", "newest"})
		}
	}
}

// Guards against a state that grows with each endpoint that ever was.
func TestTheStateOfEndedKeysIsBounded(t *testing.T) {
	f, _ := collect()
	for i := range 4 * maxEndedKeys {
		f.ReceiveEntry(Entry{Key: fmt.Sprint(i), Value: []byte("1"), Position: inEra(1, int64(2*i))})
		f.ReceiveEntry(Entry{Key: fmt.Sprint(i), Position: inEra(1, int64(2*i+1))})
	}
	assert.Equal(t, len(f.keys), maxEndedKeys)
}
