package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// outageGrace is how long an entry that expired around an outage of the platform's store is kept
// after the store is available again. Live endpoints write their entries again within about two
// seconds; one that is still missing after that has ended.
const outageGrace = 2500 * time.Millisecond

// tombstoneTTL is how long the last report of a removed endpoint is kept, so that a report that was
// delayed until after the removal doesn't restore the endpoint. It is ten times the longest write
// delay that was observed.
const tombstoneTTL = time.Minute

// Store merges reports of the configuration and the endpoints into Views. It is safe for concurrent
// use; View never blocks.
type Store struct {
	clock clock.Clock
	view  atomic.Pointer[View]

	mu             sync.Mutex
	config         *Config
	reported       map[string]*Endpoint
	removed        map[string]tombstone
	leaving        map[string]leavingNotice      // of endpoints that announced in an answer that they leave
	expiring       map[string]expiry             // of entries that ended and are kept for now
	unreadable     map[string]struct{}           // endpoints whose entry was last replaced by one that can't be read
	older          map[string]olderReports       // of endpoints whose known report was last followed by older ones
	endedVersions  map[serviceVersion]clock.Time // when an endpoint last ceased to serve at the version
	lastOutage     clock.Time                    // last time at which the platform's store was unavailable
	hadOutage      bool                          // lastOutage is set
	changed        chan struct{}
	openBatches    int
	publishPending bool // publish a view when the last batch ends
}

// tombstone is the last report of a removed endpoint.
type tombstone struct {
	last *Endpoint
	at   clock.Time
	// missing means that no deletion of the entry was read: the store was restored and lacks it. The
	// endpoint may write the same report again.
	missing bool
}

// rejects reports whether e is from before the removal.
func (t *tombstone) rejects(e *Endpoint) bool {
	if t.missing {
		return !e.supersedes(t.last)
	}
	return e.Born <= t.last.Born && e.Sequence <= t.last.Sequence
}

// expiry is the scheduled removal of an endpoint.
type expiry struct {
	until   clock.Time
	missing bool // as in tombstone
}

// leavingNotice is an endpoint's announcement that the process started at born leaves.
type leavingNotice struct {
	born int64
	at   clock.Time
}

// NewStore returns a store without a configuration.
func NewStore(c clock.Clock) *Store {
	s := &Store{
		clock: c, reported: map[string]*Endpoint{}, removed: map[string]tombstone{}, leaving: map[string]leavingNotice{},
		expiring: map[string]expiry{}, unreadable: map[string]struct{}{}, older: map[string]olderReports{}, endedVersions: map[serviceVersion]clock.Time{}, changed: make(chan struct{}),
	}
	s.view.Store(newView(nil, nil, nil))
	return s
}

// View returns the newest view.
func (s *Store) View() *View { return s.view.Load() }

// Changed returns a channel that is closed when the next view is published.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetConfig puts c in force and returns true, unless its version isn't newer than the one in force:
// a process that has served callers by a version must never go back to an earlier one.
func (s *Store) SetConfig(c *Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config != nil && c.Version <= s.config.Version {
		return false
	}
	s.config = c
	log.WithField("version", c.Version).WithField("routes", c.RouteCount()).Info("configuration in force")
	s.publish()
	return true
}

// SetEndpoint merges an endpoint's report of itself. It returns whether other VMs need the report: it changes the
// view, cancels a removal that they have scheduled too, or replaces an entry that couldn't be read.
func (s *Store) SetEndpoint(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.removed[e.ID]; ok && t.rejects(e) {
		logDropped(e, t.last, true)
		return false
	}
	old := s.reported[e.ID]
	if old != nil && !e.supersedes(old) && !s.refutes(e) {
		logDropped(e, old, false)
		return false
	}
	delete(s.older, e.ID)
	_, expiring := s.expiring[e.ID]
	delete(s.expiring, e.ID)
	_, unreadable := s.unreadable[e.ID]
	delete(s.unreadable, e.ID)
	if old != nil && equalExceptSequence(old, e) {
		s.reported[e.ID] = e // views keep the old report, which differs in the sequence number only
		return expiring || unreadable
	}
	delete(s.removed, e.ID)
	if old != nil && old.Version != e.Version {
		s.recordEnded(old)
	}
	s.reported[e.ID] = e
	log.WithField("endpoint", e.ID).WithField("service", e.Service).WithField("version", e.Version).WithField("address", e.Address).
		WithField("stage", e.Stage).WithField("draining", e.Draining).Info("endpoint reports")
	s.publish()
	return true
}

// refutationTime is how long an endpoint must have sent older reports than the known one, which isn't renewed
// meanwhile, to show that the known one is another writer's. The entry of an endpoint that sends none expires sooner.
const refutationTime = 5 * time.Second

// olderReports are successive reports of an endpoint, each newer than the one before it and older than the known one.
type olderReports struct {
	newest *Endpoint
	since  clock.Time
}

// refutes reports whether e, which is older than the known report of its endpoint, shows that the known one isn't the
// endpoint's. The caller holds mu.
func (s *Store) refutes(e *Endpoint) bool {
	now := s.clock.Now()
	o, ok := s.older[e.ID]
	switch {
	case !ok:
		s.older[e.ID] = olderReports{e, now}
		return false
	case o.newest.supersedes(e):
		return false
	}
	s.older[e.ID] = olderReports{e, o.since}
	return now.Sub(o.since) >= refutationTime
}

// RecordUnreadable records that an endpoint's entry was replaced by one that can't be read. The endpoint stays as it
// is. VMs that start before its next report don't know it.
func (s *Store) RecordUnreadable(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported[id] != nil {
		s.unreadable[id] = struct{}{}
	}
}

// logDropped logs that e is dropped, as it isn't newer than the report known.
func logDropped(e, known *Endpoint, removed bool) {
	log.WithField("endpoint", e.ID).WithField("born", e.Born).WithField("sequence", e.Sequence).WithField("draining", e.Draining).
		WithField("known_born", known.Born).WithField("known_sequence", known.Sequence).WithField("known_draining", known.Draining).
		WithField("removed", removed).Info("older endpoint report dropped")
}

func equalExceptSequence(a, b *Endpoint) bool {
	c := *b
	c.Sequence = a.Sequence
	return c == *a
}

// SetLeaving records that an endpoint announced in an answer that it leaves: the process started at
// born gets no new work from then on, whatever its entry in the platform's store says. The endpoint
// can't update its entry while that store is unavailable. SetLeaving returns whether the notice is
// new.
func (s *Store) SetLeaving(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.leaving[id]; ok && old.born >= born {
		return false
	}
	s.leaving[id] = leavingNotice{born, s.clock.Now()}
	log.WithField("endpoint", id).WithField("born", born).Info("endpoint is leaving")
	if e := s.reported[id]; e != nil && e.Born == born && !e.Draining {
		s.publish()
	}
	return true
}

// HasEnded reports whether the process of an endpoint that was started at born has ended without having announced
// that it leaves, as its entry shows: it names a later process, or was deleted. An entry that is only missing from a
// restored store shows nothing.
func (s *Store) HasEnded(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.leaving[id]; ok && n.born == born {
		return false
	}
	if e := s.reported[id]; e != nil {
		return e.Born > born
	}
	t, ok := s.removed[id]
	if !ok {
		return false
	}
	return t.last.Born > born || t.last.Born == born && !t.missing && !t.last.Draining
}

// HasAnnouncedEnd reports whether the process of an endpoint that was started at born has announced that it leaves, in its
// entry or an answer.
func (s *Store) HasAnnouncedEnd(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.leaving[id]; ok && n.born == born {
		return true
	}
	if e := s.reported[id]; e != nil {
		return e.Born == born && e.Draining
	}
	t, ok := s.removed[id]
	return ok && t.last.Born == born && t.last.Draining
}

// RemoveEndpoint handles the end of an endpoint's entry in the platform's store; missing means that no
// deletion was read and the entry isn't there. Around an outage of that store the endpoint is kept until
// outageGrace after the store is available again, since live endpoints couldn't renew their entries and
// will write them again. It returns whether the end is news, and for how long the endpoint is still kept.
func (s *Store) RemoveEndpoint(id string, missing bool) (changed bool, kept time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported[id] == nil {
		return false, 0
	}
	now := s.clock.Now()
	if s.hadOutage && now.Sub(s.lastOutage) < outageGrace {
		until := s.lastOutage.Add(outageGrace)
		return s.scheduleRemoval(id, expiry{until, missing}), s.expiring[id].until.Sub(now)
	}
	s.removeNow(id, missing, now)
	return true, 0
}

// EndEndpoint removes an endpoint at once, also around an outage of the platform's store: its entry didn't
// expire because of that. It returns whether the endpoint existed.
func (s *Store) EndEndpoint(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported[id] == nil {
		return false
	}
	s.removeNow(id, false, s.clock.Now())
	return true
}

// ExpireAfter removes an endpoint once the time kept has passed, as the VM does that reported the
// end of its entry. That VM has observed the outage around which the entry expired; this one may not
// have called the platform's store meanwhile, and would remove live endpoints at once. ExpireAfter
// returns whether the end is news.
func (s *Store) ExpireAfter(id string, missing bool, kept time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported[id] == nil {
		return false
	}
	return s.scheduleRemoval(id, expiry{s.clock.Now().Add(kept), missing})
}

// scheduleRemoval schedules the removal of an endpoint. If one is scheduled already, its time stays and
// scheduleRemoval returns false.
func (s *Store) scheduleRemoval(id string, e expiry) bool {
	scheduled, ok := s.expiring[id]
	if ok {
		e = expiry{scheduled.until, scheduled.missing && e.missing}
	}
	s.expiring[id] = e
	return !ok
}

// removeNow removes an endpoint and publishes a view without it.
func (s *Store) removeNow(id string, missing bool, now clock.Time) {
	s.remove(id, missing, now)
	s.publish()
}

func (s *Store) remove(id string, missing bool, now clock.Time) {
	log.WithField("endpoint", id).WithField("missing", missing).Info("endpoint gone")
	s.removed[id] = tombstone{s.reported[id], now, missing}
	s.recordEnded(s.reported[id])
	delete(s.reported, id)
	delete(s.expiring, id)
	delete(s.unreadable, id)
	delete(s.older, id)
}

// RecordOutage records that the platform's store is unavailable now.
func (s *Store) RecordOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hadOutage, s.lastOutage = true, s.clock.Now()
}

// RemoveExpired removes endpoints whose grace period has ended, and old tombstones and notices. The
// owner calls it a few times a second.
func (s *Store) RemoveExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	changed := false
	for id, e := range s.expiring {
		if now >= e.until {
			s.remove(id, e.missing, now)
			changed = true
		}
	}
	for id, t := range s.removed {
		if now.Sub(t.at) > tombstoneTTL {
			delete(s.removed, id)
		}
	}
	for id, n := range s.leaving {
		if s.reported[id] == nil && now.Sub(n.at) > tombstoneTTL {
			delete(s.leaving, id)
		}
	}
	s.expireVersions(now)
	if changed {
		s.publish()
	}
}

// BeginBatch defers new views until EndBatch. A view lists all endpoints, and the first read of a
// large fleet changes each of them: a view per change would take time quadratic in their number.
func (s *Store) BeginBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openBatches++
}

// EndBatch ends a batch and publishes its changes, if no other batch is open.
func (s *Store) EndBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openBatches--
	if s.openBatches == 0 && s.publishPending {
		s.publish()
	}
}

// publish publishes a new view, or defers it to the end of the open batches. The caller holds mu.
func (s *Store) publish() {
	if s.openBatches > 0 {
		s.publishPending = true
		return
	}
	s.publishPending = false
	s.view.Store(newView(s.config, s.reported, s.leaving))
	close(s.changed)
	s.changed = make(chan struct{})
}
