package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/wire"
)

func inEra(e era.Era, offset int64) era.Position { return era.Position{Era: e, Offset: offset} }

// Guards against a change that is taken as already received, since a change of an earlier era had its
// offset.
func TestChangesOfANewEraAreTrackedAnew(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, applied, reads := startFollower(t, c)
	x.receive(&wire.Beat{StoreEra: 1, LastChange: 9, Changes: []*wire.Change{{Key: "a", Value: []byte("1"), Offset: 9, Era: 1}}})
	x.receive(&wire.Beat{StoreEra: 2, LastChange: 5, Changes: []*wire.Change{{Key: "a", Value: []byte("2"), Offset: 5, Era: 2}}})
	assert.Equal(t, applied["a"], "2")
	assert.Equal(t, len(reads), 0)
	x.receive(&wire.Beat{StoreEra: 2, LastChange: 7})
	c.T = c.T.Add(maxLag)
	x.receive(&wire.Beat{StoreEra: 2, LastChange: 7})
	awaitRead(t, reads)
	x.receive(&wire.Beat{StoreEra: 1, LastChange: 99})
	c.T = c.T.Add(maxLag)
	x.receive(&wire.Beat{StoreEra: 1, LastChange: 99})
	assert.Equal(t, len(reads), 0, "a VM of an earlier era isn't ahead")
}

// Guards against a missing change that nobody looks for any more, because a new era has begun.
func TestChangesMissingAtARestoreAreRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	x.receive(&wire.Beat{StoreEra: 1, Changes: []*wire.Change{{Key: "a", Offset: 9, Previous: 8, Era: 1}}, Probe: &wire.Probe{}})
	x.receive(&wire.Beat{StoreEra: 2})
	awaitRead(t, reads)
}

// Guards against a beat that states an offset of one era and the number of another, and against a
// deletion without a record that is taken for the change at its offset.
func TestAnnouncedPositionsAreOfOneEra(t *testing.T) {
	c := &clock.Manual{T: 1}
	eras := era.NewTracker(c)
	x := NewChanges(c, eras, nil)
	eras.Observe(1, "read")
	x.RecordApplied(keyedlog.Entry{Key: "a", Position: inEra(1, 9)})
	assert.Equal(t, nextBeat(x).GetLastChange(), uint64(9))
	eras.Observe(2, "join")
	assert.Equal(t, nextBeat(x).GetLastChange(), uint64(0))
	x.RecordApplied(keyedlog.Entry{Key: "b", Position: inEra(2, 3), Missing: true})
	x.RecordApplied(keyedlog.Entry{Key: "c", Value: []byte("1"), Position: inEra(2, 2)})
	b := nextBeat(x)
	assert.Equal(t, b.GetLastChange(), uint64(2))
	missing, written := b.GetChanges()[1], b.GetChanges()[2]
	assert.Assert(t, missing.GetUnordered() && decodeChange(missing).Missing)
	assert.Equal(t, written.GetEra(), uint64(2))
	assert.Assert(t, !written.GetUnordered())
}

// Guards against VMs that read the store again and again, as a VM of an earlier version goes on telling
// an offset of before a restore.
func TestAVMOfAnEarlierVersionCausesOneRead(t *testing.T) {
	c := &clock.Manual{T: 1}
	x, _, reads := startFollower(t, c)
	x.RecordRead(inEra(2, 4))
	for range 6 {
		x.receive(&wire.Beat{LastChange: 99})
		c.T = c.T.Add(maxLag)
	}
	awaitRead(t, reads)
	assert.Equal(t, len(reads), 0)
	assert.Equal(t, nextBeat(x).GetLastChange(), uint64(0))
}

// Guards against a VM that hears of a restore later than it took place.
func TestTheAgeOfAnEraIsTold(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	first, second := era.NewTracker(c), era.NewTracker(c)
	first.Observe(3, "read")
	c.T = c.T.Add(1500 * time.Millisecond)
	b := &wire.Beat{}
	(&GossipContent{Clock: c, Eras: first}).fillEra(b)
	second.Merge(era.Era(b.GetStoreEra()), time.Duration(b.GetStoreEraMs())*time.Millisecond, "vm")
	_, since := second.Since()
	assert.Equal(t, since, clock.Time(time.Hour))
}
