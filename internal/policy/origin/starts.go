package origin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
)

const (
	// MaxRecordTime bounds how long a version is left unused because the store doesn't record it, where the ones on
	// record don't suffice.
	MaxRecordTime = 500 * time.Millisecond
	// minShortTime is how long the versions on record must not have sufficed before streams begin at another one without a
	// record: long enough for other VMs to notice.
	minShortTime = 250 * time.Millisecond
	// maxViewLag is how much earlier another VM that is in step may see the same change, or this one later.
	maxViewLag = 200 * time.Millisecond
	// holdTime is how long a version that appeared while this VM wasn't running is left unused and off the record:
	// if all VMs have just started, most streams that were broken off are taken up in that time.
	holdTime = 4 * time.Second
	// obsoleteWindows is the number of windows without an endpoint after which a version is dropped from the
	// record. A VM relies on what it has read of the record for one window less: another VM may have seen the
	// last endpoint earlier.
	obsoleteWindows = 2
)

// Start is a service and a version at which streams of a route may begin.
type Start struct {
	Host, PathPrefix string // of the route
	Origin
}

func (s *Start) matches(st *Stream) bool {
	return s.Host == st.Host && strings.HasPrefix(st.Path, s.PathPrefix)
}

// Possible returns the distinct origins in starts that a stream may have.
func Possible(starts []Start, st *Stream) []Origin {
	var out []Origin
	for i := range starts {
		if s := &starts[i]; s.matches(st) && !slices.Contains(out, s.Origin) {
			out = append(out, s.Origin)
		}
	}
	return out
}

// Starts tracks the starts that are visible in the configuration and the endpoints' entries, and which of
// them the store has on record. It is safe for concurrent use.
//
// A stream begins only at a start that is on record: VMs that all have started anew conclude from the
// record where a stream may have begun.
type Starts struct {
	pending atomic.Bool // some visible start isn't on record

	mu      sync.RWMutex
	window  time.Duration // for which callers may take up a stream: the longest so far
	started clock.Time    // when starts were visible first
	whole   bool          // the record has all that was written before this VM started
	entries map[Start]*startState
	serving map[Start]Serving // of the visible starts, nil if not known
}

// Serving is what serves new streams at a start.
type Serving struct {
	Endpoints int  // that accept new work
	CanRun    bool // one of them runs requests to their end
}

// suffices reports whether new streams begin at no others of all endpoints that accept work.
func (s Serving) suffices(all int) bool { return s.CanRun && 2*s.Endpoints >= all }

type startState struct {
	visible  bool
	seenAt   clock.Time // when it was visible last, or became known
	since    clock.Time // when it became visible, or was lost from the record
	recorded bool
	// renew means that the start has come back after so long that another VM may be removing it from the record:
	// it is written again, also if the record still has it.
	renew bool
	// begun means that a stream has begun there, or that the store had it on record before it was restored.
	begun bool
	// shortSince is since when those on record haven't sufficed, zero while they do.
	shortSince clock.Time
	// usable means that VMs may have begun streams there without a record: those on record didn't suffice for a while.
	usable bool
}

// isWritten reports whether the start is on record for good.
func (e *startState) isWritten() bool { return e.recorded && !e.renew }

// NewStarts returns an empty tracker.
func NewStarts() *Starts { return &Starts{entries: map[Start]*startState{}, whole: true} }

// SetVisible sets the starts that the configuration and the endpoints allow now, and for how long callers may
// take up a stream. It returns those that weren't known.
func (s *Starts) SetVisible(now clock.Time, visible []Start, window time.Duration) (added []Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started == 0 && len(visible) > 0 {
		s.started = now
	}
	s.window = max(s.window, window)
	for _, e := range s.entries {
		if e.visible {
			e.seenAt = now
		}
		e.visible = false
	}
	for _, start := range visible {
		if s.entries[start] == nil {
			added = append(added, start)
		}
		e := s.entry(now, start)
		if e.since == 0 {
			e.since = now
		}
		e.renew = e.renew || now.Sub(e.seenAt) > s.window
		e.visible, e.seenAt = true, now
	}
	for _, e := range s.entries {
		if !e.visible {
			e.since = 0
		}
	}
	s.updateShort(now)
	s.forget(now)
	return added
}

// SetServing sets what serves at the visible starts. Without it, one endpoint counts for each.
func (s *Starts) SetServing(now clock.Time, serving map[Start]Serving) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.usable = e.usable || s.isUsable(now, e, maxViewLag)
	}
	s.serving = serving
	s.updateShort(now)
}

// isCovered reports whether starts on record suffice for the new streams of start's route and service: streams begin at
// no other one then. The caller holds mu.
func (s *Starts) isCovered(start *Start) bool {
	all, written := 0, Serving{}
	for other, e := range s.entries {
		if !e.visible || other.Host != start.Host || other.PathPrefix != start.PathPrefix || other.Service != start.Service {
			continue
		}
		serving := Serving{1, true}
		if s.serving != nil {
			serving = s.serving[other]
		}
		all += serving.Endpoints
		if e.isWritten() {
			written.Endpoints += serving.Endpoints
			written.CanRun = written.CanRun || serving.CanRun
		}
	}
	return written.suffices(all)
}

func (s *Starts) entry(now clock.Time, start Start) *startState {
	e := s.entries[start]
	if e == nil {
		e = &startState{seenAt: now}
		s.entries[start] = e
	}
	return e
}

// SetRecorded sets the starts that the store has on record. It returns those that weren't known.
func (s *Starts) SetRecorded(now clock.Time, recorded []Start) (added []Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasRecorded := map[*startState]bool{}
	for _, e := range s.entries {
		wasRecorded[e], e.recorded = e.recorded, false
	}
	for _, start := range recorded {
		if s.entries[start] == nil {
			added = append(added, start)
		}
		s.entry(now, start).recorded = true
	}
	for e, was := range wasRecorded {
		if was && !e.recorded && e.visible {
			e.since = now
		}
	}
	s.updateShort(now)
	s.forget(now)
	return added
}

// KnowsBefore reports whether this VM has seen all starts at which streams from before a time may have begun that
// callers can still take up.
func (s *Starts) KnowsBefore(now, at clock.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.started != 0 && (at.Sub(s.started) >= s.window || now.Sub(at) >= s.window)
}

// SetWhole sets whether the record is sure to have all that was written before this VM started: it has lost nothing in
// a restore of the store.
func (s *Starts) SetWhole(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole = whole
}

// SetWritten marks starts that this VM has written: the store has them on record.
func (s *Starts) SetWritten(now clock.Time, starts []Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, start := range starts {
		if e := s.entries[start]; e != nil {
			e.recorded, e.renew = true, false
		}
	}
	s.updateShort(now)
	s.forget(now)
}

// Reset marks all starts as not on record: the store may have lost them.
func (s *Starts) Reset(now clock.Time) {
	s.mu.Lock()
	s.whole = false
	for _, e := range s.entries {
		e.begun = e.begun || e.recorded
	}
	s.mu.Unlock()
	s.SetRecorded(now, nil)
}

// MarkBegun records that a stream has begun at an origin.
func (s *Starts) MarkBegun(st *Stream, o Origin) {
	if !s.Pending() {
		return // all that is visible is on record
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for start, e := range s.entries {
		if start.Origin == o && start.matches(st) {
			e.begun = true
		}
	}
}

// forget drops the starts that have been invisible for long, and updates pending. The caller holds mu.
func (s *Starts) forget(now clock.Time) {
	maps.DeleteFunc(s.entries, func(_ Start, e *startState) bool {
		return !e.visible && !e.recorded && now.Sub(e.seenAt) > s.window
	})
	pending := false
	for _, e := range s.entries {
		pending = pending || e.visible && !e.isWritten()
	}
	s.pending.Store(pending)
}

// Missing returns the starts that have to be written, and since when the first of them is missing.
func (s *Starts) Missing(now clock.Time) (missing []Start, since clock.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for start, e := range s.entries {
		if !e.visible && !e.begun || e.isWritten() || s.isHeldBack(now, start, e) {
			continue
		}
		if len(missing) == 0 || e.since < since {
			since = e.since
		}
		missing = append(missing, start)
	}
	return missing, since
}

// isHeldBack reports whether a start isn't written yet, although it is visible: others of the route were on record when
// this VM started and suffice for new streams, and the streams that callers take up now began there.
func (s *Starts) isHeldBack(now clock.Time, start Start, e *startState) bool {
	return s.whole && e.since == s.started && now.Sub(s.started) <= holdTime && !e.begun && s.isCovered(&start)
}

// isOverdue reports whether a start hasn't been recorded in time, so that streams begin there without a record.
func (s *Starts) isOverdue(now clock.Time, start Start, e *startState) bool {
	return s.isUsable(now, e, 0) && !s.isCovered(&start)
}

// isUsable reports whether a start has been visible, and those on record haven't sufficed, for so long that streams may
// begin there without a record at a VM that has seen both earlier than this one by a lag.
func (s *Starts) isUsable(now clock.Time, e *startState, lag time.Duration) bool {
	return e.visible && e.shortSince != 0 && now.Sub(e.since) > MaxRecordTime-lag && now.Sub(e.shortSince) > minShortTime-lag
}

// updateShort records since when the starts on record haven't sufficed. The caller holds mu.
func (s *Starts) updateShort(now clock.Time) {
	for start, e := range s.entries {
		switch {
		case !e.visible || e.isWritten() || s.isCovered(&start):
			e.shortSince = 0
		case e.shortSince == 0:
			e.shortSince = now
		}
	}
}

// RecordTime returns for how long a start without an endpoint stays on record.
func (s *Starts) RecordTime() time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return obsoleteWindows * s.window
}

// Obsolete returns the starts on record that no stream which is taken up can have any more.
func (s *Starts) Obsolete(now clock.Time) []Start {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Start
	for start, e := range s.entries {
		if e.recorded && !e.visible && now.Sub(e.seenAt) > obsoleteWindows*s.window {
			out = append(out, start)
		}
	}
	return out
}

// Pending reports whether some start isn't on record, so that MayBegin may return false.
func (s *Starts) Pending() bool { return s.pending.Load() }

// MayBegin reports whether a new stream may begin at a start: it is on record, or recording it takes too
// long and those on record don't suffice.
func (s *Starts) MayBegin(now clock.Time, start *Start) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[*start]
	return e != nil && (e.isWritten() || s.isOverdue(now, *start, e))
}

// MayHaveBegun returns the starts at which streams may have begun, as far as this VM knows. A visible one that isn't on
// record is among them unless others suffice: VMs that have ended since may have used it.
func (s *Starts) MayHaveBegun() []Start {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Start
	for start, e := range s.entries {
		if e.recorded || e.begun || e.usable || e.visible && !s.isCovered(&start) {
			out = append(out, start)
		}
	}
	return out
}

// Known returns the starts that are visible, on record or were visible within the last window.
func (s *Starts) Known() []Start {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.Collect(maps.Keys(s.entries))
}
