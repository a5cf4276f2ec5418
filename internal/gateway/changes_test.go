package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/wire"
)

// emptyLog is a source without records, which counts its reads.
type emptyLog struct{ reads chan struct{} }

func (l emptyLog) Newest(context.Context) ([]keyedlog.Entry, int64, error) { return nil, 0, nil }

func (l emptyLog) Read(context.Context, int64, time.Duration) ([]keyedlog.Entry, int64, error) {
	l.reads <- struct{}{}
	return nil, 0, nil
}

// listener is a VM that reads the store only when it is nudged.
func listener(t *testing.T, c clock.Clock) (*Changes, map[string]string, chan struct{}) {
	t.Helper()
	applied := map[string]string{}
	src := emptyLog{make(chan struct{}, 8)}
	f := keyedlog.New("fleet", src)
	f.Apply = func(e keyedlog.Entry) { applied[e.Key] = string(e.Value) }
	f.Pause = func() time.Duration { return time.Hour }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return NewChanges(c, f), applied, src.reads
}

// awaitRead waits for a read of the store.
func awaitRead(t *testing.T, reads <-chan struct{}) {
	t.Helper()
	select {
	case <-reads:
	case <-time.After(5 * time.Second):
		t.Fatal("the store isn't read")
	}
}

func beatOf(x *Changes) *wire.Beat {
	b := &wire.Beat{}
	x.fill(b)
	return b
}

func TestChangesAreToldForAWhile(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, nil)
	x, applied, reads := listener(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Offset: 3})
	reader.RecordApplied(keyedlog.Entry{Key: "b", Offset: 4, Kept: time.Second})
	told := beatOf(reader)
	assert.Equal(t, told.GetChanges()[1].GetKeptMs(), uint32(1000))
	x.take(told)
	assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": ""})
	assert.Equal(t, len(reads), 0)
	c.T = c.T.Add(tellFor)
	assert.Equal(t, len(beatOf(reader).GetChanges()), 0)
}

// Guards against hundreds of VMs that start together and tell each other all endpoints.
func TestWhatIsReadAtAStartIsNotTold(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, nil)
	x.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Offset: 3, Newest: true})
	b := beatOf(x)
	assert.Equal(t, len(b.GetChanges()), 0)
	assert.Equal(t, b.GetLastChange(), uint64(3))
}

// Guards against hundreds of VMs that each tell what each has read for itself.
func TestOnlyReadersTellWhatTheyRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, nil)
	x.IsReader = func() bool { return false }
	x.RecordApplied(keyedlog.Entry{Key: "a", Offset: 3})
	b := beatOf(x)
	assert.Equal(t, len(b.GetChanges()), 0)
	assert.Equal(t, b.GetLastChange(), uint64(3))
	x.RecordApplied(keyedlog.Entry{Key: "b", Offset: 4, Heard: true})
	x.pass(b)
	assert.Equal(t, len(b.GetChanges()), 1, "what was heard is passed on")
}

// Guards against beats full of changes for as long as thousands of endpoints start.
func TestAFleetThatStartsIsNotToldChangeByChange(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, nil)
	for i := range 3000 {
		x.RecordApplied(keyedlog.Entry{Key: fmt.Sprint(i), Offset: int64(i + 1)})
	}
	assert.Equal(t, len(x.recent), mostTold)
	assert.Equal(t, beatOf(x).GetLastChange(), uint64(3000))
}

// Guards against an endpoint that gets work for half a minute after its leaving: two changes are
// missing, and when the first of them comes the other one is forgotten.
func TestEachMissingChangeIsReadOrHeard(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := listener(t, c)
	pass := func(changes ...*wire.Change) { x.take(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	pass(&wire.Change{Key: "a", Offset: 5, Previous: 4})
	pass(&wire.Change{Key: "b", Offset: 8, Previous: 7})
	pass(&wire.Change{Key: "c", Offset: 4})
	c.T = c.T.Add(behindFor)
	pass()
	awaitRead(t, reads)
	c.T = c.T.Add(behindFor)
	pass()
	awaitRead(t, reads) // the change may not have been there yet
	x.RecordRead(9)
	c.T = c.T.Add(behindFor)
	pass()
	assert.Equal(t, len(reads), 0)
}

// Guards against a change that is missed because a later one was heard first: an older one than
// that doesn't look like a gap.
func TestAGapBelowTheNewestChangeIsSeen(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := listener(t, c)
	x.RecordApplied(keyedlog.Entry{Key: "a", Offset: 2, Newest: true})
	pass := func(changes ...*wire.Change) { x.take(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	pass(&wire.Change{Key: "d", Offset: 9, Previous: 2})
	pass(&wire.Change{Key: "b", Offset: 6, Previous: 5})
	c.T = c.T.Add(behindFor)
	pass()
	awaitRead(t, reads)
}

// Guards against a missing change that is forgotten among the many that follow it.
func TestAMissingChangeIsNotForgottenAmongMany(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := listener(t, c)
	pass := func(changes ...*wire.Change) { x.take(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	pass(&wire.Change{Key: "a", Offset: 5, Previous: 4})
	for i := range uint64(4 * mostHeard) {
		pass(&wire.Change{Key: "b", Offset: 6 + i, Previous: 5 + i})
	}
	assert.Assert(t, len(x.heard) <= mostHeard)
	c.T = c.T.Add(behindFor)
	pass()
	awaitRead(t, reads)
}

// Guards against hundreds of VMs that read the store because a change, passed on from VM
// to VM, overtook the one before it.
func TestAChangeThatOvertakesAnotherIsNoReasonToRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, nil)
	x, applied, reads := listener(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Offset: 3})
	reader.RecordApplied(keyedlog.Entry{Key: "b", Value: []byte("1"), Offset: 4})
	told := beatOf(reader)
	told.Probe = &wire.Probe{}
	first, second := told.GetChanges()[0], told.GetChanges()[1]
	pass := func(changes ...*wire.Change) { x.take(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	pass(second)
	x.RecordApplied(keyedlog.Entry{Key: "b", Offset: 4, Heard: true})
	pass(first)
	x.RecordApplied(keyedlog.Entry{Key: "a", Offset: 3, Heard: true})
	c.T = c.T.Add(behindFor)
	pass()
	assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "1"})
	assert.Equal(t, len(reads), 0)

	pass(&wire.Change{Key: "d", Offset: 6, Previous: 5})
	c.T = c.T.Add(behindFor)
	pass()
	awaitRead(t, reads)
}

// Guards against a read of the store by each VM for each change: what a VM once lacked
// and then heard must not count against it when the next change comes.
func TestAChangeThatWasHeardInTimeIsNotRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := listener(t, c)
	for offset := range uint64(5) {
		x.take(&wire.Beat{LastChange: offset + 1})
		x.take(&wire.Beat{Changes: []*wire.Change{{Key: "e", Offset: offset + 1, Previous: offset}}, LastChange: offset + 1})
		c.T = c.T.Add(2 * behindFor)
	}
	assert.Equal(t, len(reads), 0)
}

// Guards against work sent to endpoints that left in a moment of more changes than a beat
// carries.
func TestAChangeThatNoBeatCarriedIsReadFromTheStore(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, nil)
	x, _, reads := listener(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "first", Offset: 1})
	x.take(beatOf(reader))
	for i := range 2 * maxChanges {
		reader.RecordApplied(keyedlog.Entry{Key: fmt.Sprint(i), Offset: int64(i + 2)})
	}
	x.take(beatOf(reader))
	awaitRead(t, reads)
}

// Guards against a change whose beats were all lost.
func TestAChangeThatWasNotHeardIsReadAfterAWhile(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := listener(t, c)
	x.take(&wire.Beat{LastChange: 9})
	assert.Equal(t, len(reads), 0)
	c.T = c.T.Add(behindFor)
	x.take(&wire.Beat{LastChange: 9})
	awaitRead(t, reads)
}
