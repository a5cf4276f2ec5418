package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

const testWindow = 30 * time.Second

func startAt(version string) Start {
	return Start{Host: "h", PathPrefix: "/p/", Origin: Origin{"m", version}}
}

// Guards against a stream that begins at a version of which the record doesn't tell: VMs that all start anew
// would take another version for its.
func TestStreamsBeginOnRecordOnly(t *testing.T) {
	s, now, v1, v2 := NewStarts(), clock.Time(time.Hour), startAt("v1"), startAt("v2")
	s.SetVisible(now, []Start{v1}, testWindow)
	s.SetRecorded(now, []Start{v1})
	assert.Assert(t, s.MayBegin(now, &v1) && !s.Pending())
	assert.Assert(t, !s.MayBegin(now, &v2), "an unknown start")
	now = now.Add(time.Second)
	s.SetVisible(now, []Start{v1, v2}, testWindow)
	assert.Assert(t, s.MayBegin(now, &v1) && !s.MayBegin(now, &v2) && s.Pending())
	missing, since := s.Missing(now)
	assert.DeepEqual(t, missing, []Start{v2})
	assert.Equal(t, since, now)
	late := now.Add(MaxRecordTime + 1)
	assert.Assert(t, !s.MayBegin(late, &v2), "v1 has half of the endpoints")
	s.SetServing(now, map[Start]Serving{v1: {1, true}, v2: {2, true}})
	assert.Assert(t, s.MayBegin(late, &v2), "a record that can't be written doesn't stop the service")
	assert.Assert(t, !s.MayBegin(late.Add(-1), &v2))
	s.SetRecorded(now, []Start{v1, v2})
	assert.Assert(t, s.MayBegin(now, &v2) && !s.Pending())
	now = now.Add(time.Minute)
	s.Reset(now)
	assert.Assert(t, !s.MayBegin(now.Add(MaxRecordTime), &v1), "the store has lost its records")
	assert.Assert(t, s.MayBegin(now.Add(MaxRecordTime+1), &v1))
}

// Guards against streams that begin without a record in a moment that other VMs don't notice: these would take them for
// streams of the version on record.
func TestStreamsBeginOffRecordOnlyWhereOtherVMsNotice(t *testing.T) {
	const lookInterval = 100 * time.Millisecond // of a VM without new streams
	v1, v2 := startAt("v1"), startAt("v2")
	for _, short := range []time.Duration{0, lookInterval, minShortTime, minShortTime + 1, time.Second} {
		used, noticed := false, false
		for _, lag := range []time.Duration{0, lookInterval - 1} { // with which a VM sees each change
			s, now := NewStarts(), clock.Time(time.Hour)
			s.SetRecorded(now, []Start{v1})
			s.SetVisible(now, []Start{v1, v2}, testWindow)
			s.SetServing(now, map[Start]Serving{v1: {2, true}, v2: {2, true}})
			now = now.Add(time.Second + lag)
			s.SetServing(now, map[Start]Serving{v1: {1, true}, v2: {2, true}})
			now = now.Add(short - lag)
			if lag == 0 {
				used = s.MayBegin(now, &v2)
			}
			s.SetServing(now, map[Start]Serving{v1: {2, true}, v2: {2, true}})
			noticed = len(s.MayHaveBegun()) == 2
		}
		assert.Equal(t, used, short > minShortTime, "%v", short)
		assert.Assert(t, noticed || !used, "%v", short)
	}
}

// Guards against a version that comes back after another VM has dropped it from the record.
func TestVersionThatReturnsIsRecordedAgain(t *testing.T) {
	for _, tc := range []struct {
		away     time.Duration
		recorded bool
	}{{testWindow, true}, {testWindow + 1, false}} {
		s, now, v1 := NewStarts(), clock.Time(time.Hour), startAt("v1")
		s.SetVisible(now, []Start{v1}, testWindow)
		s.SetRecorded(now, []Start{v1})
		s.SetVisible(now, nil, testWindow)
		s.SetVisible(now.Add(tc.away), []Start{v1}, testWindow)
		assert.Equal(t, s.MayBegin(now.Add(tc.away), &v1), tc.recorded, "%v", tc.away)
	}
}

func TestStartsBecomeObsolete(t *testing.T) {
	s, now, v1, v2 := NewStarts(), clock.Time(time.Hour), startAt("v1"), startAt("v2")
	s.SetRecorded(now, []Start{v1, v2})
	s.SetVisible(now, []Start{v2}, testWindow)
	assert.Equal(t, len(s.Obsolete(now.Add(2*testWindow))), 0)
	assert.DeepEqual(t, s.Obsolete(now.Add(2*testWindow+1)), []Start{v1})
	later := now.Add(2*testWindow + 1)
	s.SetRecorded(later, []Start{v2})
	assert.DeepEqual(t, s.Known(), []Start{v2})
}

func TestPossibleOrigins(t *testing.T) {
	starts := []Start{
		startAt("v1"), {"h", "/p/", Origin{"m", "v2"}}, {"h", "/p/a", Origin{"m", "v1"}}, {"h", "/q/", Origin{"n", "v1"}}, {"i", "/p/", Origin{"n", "v1"}},
	}
	for path, want := range map[string]int{"/p/a": 2, "/p/b": 2, "/q/": 1, "/r/": 0} {
		assert.Equal(t, len(Possible(starts, &Stream{1, "h", path})), want, path)
	}
}

// Guards against streams that are lost with all VMs since a version that appeared meanwhile is put on record at once:
// then they may have begun at either.
func TestVersionThatAppearedBeforeTheStartIsHeldBack(t *testing.T) {
	s, now, v1, v2 := NewStarts(), clock.Time(time.Hour), startAt("v1"), startAt("v2")
	s.SetRecorded(now, []Start{v1})
	s.SetVisible(now, nil, testWindow)
	now = now.Add(time.Second)
	s.SetVisible(now, []Start{v1, v2}, testWindow)
	held := now.Add(holdTime)
	missing, _ := s.Missing(held)
	assert.Assert(t, len(missing) == 0 && !s.MayBegin(held, &v2) && s.MayBegin(held, &v1))
	assert.DeepEqual(t, s.MayHaveBegun(), []Start{v1})
	missing, _ = s.Missing(held + 1)
	assert.DeepEqual(t, missing, []Start{v2})
	s.MarkBegun(&Stream{1, "h", "/p/x"}, v2.Origin)
	missing, _ = s.Missing(now)
	assert.DeepEqual(t, missing, []Start{v2})
	assert.Equal(t, len(s.MayHaveBegun()), 2)
}

// Guards against a stream that goes on at the version on record since a VM that starts doesn't know that streams began
// at another one, which the store didn't take: that is where the versions on record didn't suffice.
func TestUnrecordedVersionMayHaveBegunUnlessOthersSuffice(t *testing.T) {
	for name, tc := range map[string]struct {
		v1, v2   Serving
		possible int
	}{
		"half":          {Serving{3, true}, Serving{3, true}, 1},
		"less":          {Serving{2, true}, Serving{3, true}, 2},
		"none runs":     {Serving{3, false}, Serving{3, true}, 2},
		"none is ready": {Serving{}, Serving{3, true}, 2},
	} {
		s, now, v1, v2 := NewStarts(), clock.Time(time.Hour), startAt("v1"), startAt("v2")
		s.SetRecorded(now, []Start{v1})
		s.SetServing(now, map[Start]Serving{v1: tc.v1, v2: tc.v2})
		s.SetVisible(now, []Start{v1, v2}, testWindow)
		assert.Equal(t, len(s.MayHaveBegun()), tc.possible, name)
		for _, after := range []time.Duration{0, MaxRecordTime + 1, holdTime, time.Hour} {
			assert.Assert(t, tc.possible == 2 || !s.MayBegin(now.Add(after), &v2), name)
		}
		missing, _ := s.Missing(now)
		assert.Equal(t, len(missing), tc.possible-1, name)
	}
}
