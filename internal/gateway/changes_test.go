package gateway

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/gossip"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/wire"
)

// emptyLog is a source without records that reports each read on a channel.
type emptyLog struct{ reads chan struct{} }

func (l emptyLog) Newest(context.Context, string) (keyedlog.NewestPage, error) {
	return keyedlog.NewestPage{}, nil
}

func (l emptyLog) Read(context.Context, era.Position, time.Duration) (keyedlog.Page, error) {
	l.reads <- struct{}{}
	return keyedlog.Page{}, nil
}

// at returns a position in a store without eras.
func at(offset int64) era.Position { return era.Position{Offset: offset} }

// startFollower runs a follower that reads the store only when Wake is called. It returns its
// changes, the values that it has applied, and a channel that receives its reads.
func startFollower(t *testing.T, c clock.Clock) (*Changes, map[string]string, chan struct{}) {
	t.Helper()
	applied := map[string]string{}
	src := emptyLog{make(chan struct{}, 8)}
	f := keyedlog.New("fleet", src)
	f.Apply = func(e keyedlog.Entry) bool { applied[e.Key] = string(e.Value); return true }
	f.ReadInterval = func() time.Duration { return time.Hour }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return NewChanges(c, era.NewTracker(c), f), applied, src.reads
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

func nextBeat(x *Changes) *wire.Beat {
	b := &wire.Beat{}
	x.fillRead(b)
	return b
}

func TestChangesAreAnnouncedForALimitedTime(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, era.NewTracker(c), nil)
	x, applied, reads := startFollower(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Position: at(3)})
	reader.RecordApplied(keyedlog.Entry{Key: "b", Position: at(4), GracePeriod: time.Second})
	sent := nextBeat(reader)
	assert.Equal(t, sent.GetChanges()[1].GetKeptMs(), uint32(1000))
	x.receive(sent)
	assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": ""})
	assert.Equal(t, len(reads), 0)
	c.T = c.T.Add(announceFor)
	assert.Equal(t, len(nextBeat(reader).GetChanges()), 0)
}

// Guards against hundreds of VMs that start together and announce all endpoints to each other.
func TestEntriesReadAtStartAreNotAnnounced(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, era.NewTracker(c), nil)
	x.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Position: at(3), Initial: true})
	b := nextBeat(x)
	assert.Equal(t, len(b.GetChanges()), 0)
	assert.Equal(t, b.GetLastChange(), uint64(3))
}

// Guards against hundreds of VMs that each announce what each has read for itself.
func TestOnlyReadersAnnounceChangesTheyRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, era.NewTracker(c), nil)
	x.IsReader = func() bool { return false }
	x.RecordApplied(keyedlog.Entry{Key: "a", Position: at(3)})
	b := nextBeat(x)
	assert.Equal(t, len(b.GetChanges()), 0)
	assert.Equal(t, b.GetLastChange(), uint64(3))
	x.RecordApplied(keyedlog.Entry{Key: "b", Position: at(4), FromPeer: true})
	x.fillForwarded(b)
	assert.Equal(t, len(b.GetChanges()), 1, "a received change is forwarded")
}

// Guards against beats that are full of changes while thousands of endpoints start.
func TestAnnouncedChangesAreBoundedWhenAFleetStarts(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, era.NewTracker(c), nil)
	for i := range 3000 {
		x.RecordApplied(keyedlog.Entry{Key: fmt.Sprint(i), Position: at(int64(i + 1))})
	}
	assert.Equal(t, len(x.recent), maxRecentChanges)
	assert.Equal(t, nextBeat(x).GetLastChange(), uint64(3000))
}

// Guards against an endpoint that gets requests for half a minute after it has left: two changes
// were missing, and when the first one arrived the other was no longer tracked.
func TestEachMissingChangeIsReadOrReceived(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	forward := func(changes ...*wire.Change) { x.receive(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	forward(&wire.Change{Key: "a", Offset: 5, Previous: 4})
	forward(&wire.Change{Key: "b", Offset: 8, Previous: 7})
	forward(&wire.Change{Key: "c", Offset: 4})
	c.T = c.T.Add(maxLag)
	forward()
	awaitRead(t, reads)
	c.T = c.T.Add(maxLag)
	forward()
	awaitRead(t, reads) // read again, as the store may not have had the change at the first read
	x.RecordRead(at(9))
	c.T = c.T.Add(maxLag)
	forward()
	assert.Equal(t, len(reads), 0)
}

// Guards against a missing change that isn't noticed because a newer one was received first.
func TestGapBelowTheNewestChangeIsFound(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	x.RecordApplied(keyedlog.Entry{Key: "a", Position: at(2), Initial: true})
	forward := func(changes ...*wire.Change) { x.receive(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	forward(&wire.Change{Key: "d", Offset: 9, Previous: 2})
	forward(&wire.Change{Key: "b", Offset: 6, Previous: 5})
	c.T = c.T.Add(maxLag)
	forward()
	awaitRead(t, reads)
}

// Guards against a missing change that is no longer tracked after many later ones were received.
func TestMissingChangeSurvivesEvictionOfReceivedOffsets(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	forward := func(changes ...*wire.Change) { x.receive(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	forward(&wire.Change{Key: "a", Offset: 5, Previous: 4})
	for i := range uint64(4 * maxReceivedOffsets) {
		forward(&wire.Change{Key: "b", Offset: 6 + i, Previous: 5 + i})
	}
	assert.Assert(t, len(x.received) <= maxReceivedOffsets)
	c.T = c.T.Add(maxLag)
	forward()
	awaitRead(t, reads)
}

// Guards against hundreds of VMs that read the store because a change that was forwarded from VM to
// VM arrived before its predecessor.
func TestReorderedChangesCauseNoRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, era.NewTracker(c), nil)
	x, applied, reads := startFollower(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Position: at(3)})
	reader.RecordApplied(keyedlog.Entry{Key: "b", Value: []byte("1"), Position: at(4)})
	sent := nextBeat(reader)
	sent.Probe = &wire.Probe{}
	first, second := sent.GetChanges()[0], sent.GetChanges()[1]
	forward := func(changes ...*wire.Change) { x.receive(&wire.Beat{Changes: changes, Probe: &wire.Probe{}}) }
	forward(second)
	x.RecordApplied(keyedlog.Entry{Key: "b", Position: at(4), FromPeer: true})
	forward(first)
	x.RecordApplied(keyedlog.Entry{Key: "a", Position: at(3), FromPeer: true})
	c.T = c.T.Add(maxLag)
	forward()
	assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": "1"})
	assert.Equal(t, len(reads), 0)

	forward(&wire.Change{Key: "d", Offset: 6, Previous: 5})
	c.T = c.T.Add(maxLag)
	forward()
	awaitRead(t, reads)
}

// Guards against a read of the store by each VM for each change: the time for which a VM lacked a
// change that it then received must not count towards the next change.
func TestChangesReceivedInTimeCauseNoRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	for offset := range uint64(5) {
		x.receive(&wire.Beat{LastChange: offset + 1})
		x.receive(&wire.Beat{Changes: []*wire.Change{{Key: "e", Offset: offset + 1, Previous: offset}}, LastChange: offset + 1})
		c.T = c.T.Add(2 * maxLag)
	}
	assert.Equal(t, len(reads), 0)
}

// Guards against requests to endpoints that left while there were more changes than a beat carries.
func TestChangesDroppedFromBeatsAreReadFromTheStore(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, era.NewTracker(c), nil)
	x, _, reads := startFollower(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "first", Position: at(1)})
	x.receive(nextBeat(reader))
	for i := range 2 * maxChangesPerBeat {
		reader.RecordApplied(keyedlog.Entry{Key: fmt.Sprint(i), Position: at(int64(i + 2))})
	}
	x.receive(nextBeat(reader))
	awaitRead(t, reads)
}

// Guards against an entry of another writer that is larger than a datagram: VMs that forward it would send no beats.
func TestChangesLeaveRoomInADatagram(t *testing.T) {
	c := &clock.Manual{T: 1}
	reader := NewChanges(c, era.NewTracker(c), nil)
	x, applied, reads := startFollower(t, c)
	reader.RecordApplied(keyedlog.Entry{Key: "large", Value: make([]byte, gossip.MaxDatagramBytes), Position: at(1)})
	for i := range maxChangesPerBeat {
		reader.RecordApplied(keyedlog.Entry{Key: fmt.Sprint(i), Value: make([]byte, gossip.MaxDatagramBytes/8), Position: at(int64(i + 2))})
	}
	forwarded := &wire.Beat{}
	reader.fillForwarded(forwarded)
	for _, b := range []*wire.Beat{nextBeat(reader), forwarded} {
		assert.Assert(t, proto.Size(b) < gossip.MaxDatagramBytes*3/4, "%d bytes", proto.Size(b))
		assert.Assert(t, len(b.GetChanges()) > 1)
	}
	x.receive(nextBeat(reader))
	assert.Assert(t, applied["31"] != "")
	awaitRead(t, reads) // of the others
}

// Guards against a change that is never applied because all beats with it were lost.
func TestChangeThatIsNotReceivedIsReadAfterMaxLag(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	x.receive(&wire.Beat{LastChange: 9})
	assert.Equal(t, len(reads), 0)
	c.T = c.T.Add(maxLag)
	x.receive(&wire.Beat{LastChange: 9})
	awaitRead(t, reads)
}

// Guards against a change of another program, or of a faulty VM, that hides all later ones of its key, ends
// an endpoint, or fills the log.
func TestMalformedChangesAreDropped(t *testing.T) {
	lines := captureLog(t, "malformed change dropped")
	c := &clock.Manual{T: 1}
	x, applied, reads := startFollower(t, c)
	malformed := []*wire.Change{
		{Key: "a", Era: 3, Offset: 5},
		{Key: "a", Era: math.MaxUint64, Offset: 5},
		{Key: "a", Era: 2, Offset: maxOffset + 1},
		{Key: "a", Era: 2, Offset: math.MaxInt64},
		{Key: "a", Era: 2, Offset: math.MaxUint64 - 1},
		{Key: "a", Era: 2, Offset: 5, Previous: maxOffset + 1},
		{Key: "a", Era: 2, Offset: 5, KeptMs: math.MaxUint32},
		{Key: "a", Era: 2, Offset: 5, KeptMs: 1 + uint32(maxKept.Milliseconds()), Unordered: true},
	}
	for range 100 {
		x.receive(&wire.Beat{StoreEra: 2, Probe: &wire.Probe{}, Changes: malformed})
	}
	assert.Equal(t, len(applied), 0)
	assert.Equal(t, len(lines.entries), 5)
	assert.Equal(t, x.Counters(), ChangeCounters{Malformed: int64(100 * len(malformed))})
	c.T = c.T.Add(2 * maxLag)
	x.receive(&wire.Beat{StoreEra: 2, Probe: &wire.Probe{}, Changes: []*wire.Change{
		malformed[0], {Key: "a", Era: 2, Offset: 1, Value: []byte("1")},
		{Key: "b", Era: 2, Offset: math.MaxUint64, Unordered: true, KeptMs: 2500}, // missing from an empty log
	}})
	assert.DeepEqual(t, applied, map[string]string{"a": "1", "b": ""})
	assert.Equal(t, len(reads), 0)
	assert.Equal(t, lines.entries[5].Fields.Get("left_out"), 100*len(malformed)-5)
}

// capturedLog has the entries of the log with a message.
type capturedLog struct {
	message string
	mu      sync.Mutex
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (l *capturedLog) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Message == l.message {
		l.entries = append(l.entries, e)
	}
	return nil
}

// captureLog captures the entries with a message until the test ends.
func captureLog(t *testing.T, message string) *capturedLog {
	l, captured := log.Log.(*log.Logger), &capturedLog{message: message}
	handler := l.Handler
	t.Cleanup(func() { l.Handler = handler })
	l.Handler = captured
	return captured
}

// Guards against changes that VMs repeat to each other without anybody seeing it.
func TestChangesAreCounted(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, _ := startFollower(t, c)
	x.RecordApplied(keyedlog.Entry{Key: "first", Position: at(1), Initial: true})
	x.RecordApplied(keyedlog.Entry{Key: "a", Position: at(2)})
	b := &wire.Change{Key: "b", Offset: 3, Previous: 2}
	x.receive(&wire.Beat{Changes: []*wire.Change{b}})
	x.RecordApplied(keyedlog.Entry{Key: "b", Position: at(3), FromPeer: true})
	x.receive(&wire.Beat{Changes: []*wire.Change{b}})
	nextBeat(x)
	assert.Equal(t, x.Counters(), ChangeCounters{Sent: 1, Received: 2, Applied: 2, Repeated: 1})
	x.fillForwarded(&wire.Beat{})
	assert.Equal(t, x.Counters().Sent, int64(3))
}

// Guards against an endpoint that one VM of hundreds goes on using, as no message with its end arrived there.
func TestDeletionsAreForwardedMoreOften(t *testing.T) {
	c := &clock.Manual{T: 1}
	x := NewChanges(c, era.NewTracker(c), nil)
	x.RecordApplied(keyedlog.Entry{Key: "a", Value: []byte("1"), Position: at(1)})
	x.RecordApplied(keyedlog.Entry{Key: "b", Position: at(2)})
	sent := map[string]int{}
	for range 100 {
		b := &wire.Beat{}
		x.fillForwarded(b)
		for _, c := range b.GetChanges() {
			sent[c.GetKey()]++
		}
	}
	assert.DeepEqual(t, sent, map[string]int{"a": forwardsPerChange, "b": forwardsPerDeletion})
}

// Guards against a VM that was cut off while the first changes of a new era were announced, and that doesn't
// know of keys that are missing since.
func TestAVMThatLearnsOfAnEraLateReadsTheStore(t *testing.T) {
	for _, age := range []time.Duration{announceFor - 1, announceFor} {
		c := &clock.Manual{T: clock.Time(time.Hour)}
		x, _, reads := startFollower(t, c)
		learn := func(e era.Era, age time.Duration) {
			x.eras.Merge(e, age, "vm")
			x.receive(&wire.Beat{StoreEra: uint64(e), Probe: &wire.Probe{}})
		}
		learn(1, time.Minute) // as at each start
		learn(2, age)
		if age >= announceFor {
			awaitRead(t, reads)
		}
		assert.Equal(t, len(reads), 0)
	}
}
