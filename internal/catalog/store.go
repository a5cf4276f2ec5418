package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
)

// returnGrace is how long an entry that lapsed around an outage of its store is
// kept after the store's return. Endpoints write again within about two
// seconds of the return; one that is still missing then is gone.
const returnGrace = 2500 * time.Millisecond

// forgetAfter is how long the last report of a removed endpoint is remembered,
// so that a report which was under way while it was removed doesn't bring it
// back: ten times the longest delay seen of a write.
const forgetAfter = time.Minute

// Store folds reports of the configuration and the endpoints into Views. Its
// methods may be called from any goroutine; View never blocks.
type Store struct {
	clock clock.Clock
	view  atomic.Pointer[View]

	mu       sync.Mutex
	config   *Config
	known    map[string]*Endpoint
	removed  map[string]tombstone
	leaving  map[string]notice     // of endpoints whose answers said that they leave
	lapsing  map[string]clock.Time // entries to be removed, and when
	outageAt clock.Time            // last moment at which the store was away
	outage   bool                  // the store has been away at all
	changed  chan struct{}
	holds    int  // batches that are being applied
	held     bool // a view is due when they end
}

type tombstone struct {
	last *Endpoint
	at   clock.Time
}

// notice is what an endpoint's answer said of its lifetime.
type notice struct {
	born int64
	at   clock.Time
}

// NewStore returns a store without a configuration.
func NewStore(c clock.Clock) *Store {
	s := &Store{
		clock: c, known: map[string]*Endpoint{}, removed: map[string]tombstone{}, leaving: map[string]notice{},
		lapsing: map[string]clock.Time{}, changed: make(chan struct{}),
	}
	s.view.Store(newView(nil, nil, nil))
	return s
}

// View returns the state in force.
func (s *Store) View() *View { return s.view.Load() }

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetConfig puts c in force unless it is older than what is in force: a process
// that has shown callers a version never goes back to one before it.
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

// SetEndpoint takes an endpoint's report of itself. It returns whether the report
// changes anything.
func (s *Store) SetEndpoint(e *Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.removed[e.ID]; ok && e.Born <= t.last.Born && e.Sequence <= t.last.Sequence {
		return false
	}
	old := s.known[e.ID]
	if old != nil && !e.supersedes(old) {
		return false
	}
	delete(s.lapsing, e.ID)
	if old != nil && sameButSequence(old, e) {
		s.known[e.ID] = e // views keep the old one, which says the same of the work
		return false
	}
	delete(s.removed, e.ID)
	s.known[e.ID] = e
	log.WithField("endpoint", e.ID).WithField("service", e.Service).WithField("address", e.Address).
		WithField("stage", e.Stage).WithField("draining", e.Draining).Info("endpoint reports")
	s.publish()
	return true
}

func sameButSequence(a, b *Endpoint) bool {
	c := *b
	c.Sequence = a.Sequence
	return c == *a
}

// SetLeaving takes an endpoint's own word, in an answer, that it leaves: the lifetime that began at
// born takes no new work from then on, whatever its entry says. While the store is away the entry
// can't say so. It returns whether that is new.
func (s *Store) SetLeaving(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.leaving[id]; ok && old.born >= born {
		return false
	}
	s.leaving[id] = notice{born, s.clock.Now()}
	log.WithField("endpoint", id).WithField("born", born).Info("endpoint says that it leaves")
	if e := s.known[id]; e != nil && e.Born == born && !e.Draining {
		s.publish()
	}
	return true
}

// RemoveEndpoint takes the end of an endpoint's entry. Around an outage of the
// store the entry is kept until returnGrace after the store's return, since
// live endpoints couldn't renew theirs and will write again. It returns whether
// that changes anything, and for how long the entry is kept.
func (s *Store) RemoveEndpoint(id string) (changed bool, kept time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[id] == nil {
		return false, 0
	}
	now := s.clock.Now()
	if s.outage && now.Sub(s.outageAt) < returnGrace {
		return true, s.keep(id, s.outageAt.Add(returnGrace)).Sub(now)
	}
	s.remove(id, now)
	s.publish()
	return true, 0
}

// ExpireAfter takes the end of an entry from a VM that keeps it for a while. That VM has
// seen the outage around which the entry lapsed; this one may not have called the
// store meanwhile, and would drop endpoints that are alive.
func (s *Store) ExpireAfter(id string, kept time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[id] == nil {
		return false
	}
	s.keep(id, s.clock.Now().Add(kept))
	return true
}

// keep has an entry removed at until, unless its end is set already, and returns
// when that is.
func (s *Store) keep(id string, until clock.Time) clock.Time {
	if at, waits := s.lapsing[id]; waits {
		return at
	}
	s.lapsing[id] = until
	return until
}

func (s *Store) remove(id string, now clock.Time) {
	log.WithField("endpoint", id).Info("endpoint gone")
	s.removed[id] = tombstone{s.known[id], now}
	delete(s.known, id)
	delete(s.lapsing, id)
}

// RecordOutage notes that the store does not answer now.
func (s *Store) RecordOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage, s.outageAt = true, s.clock.Now()
}

// RemoveExpired removes the entries whose grace is over. The owner calls it a few
// times a second.
func (s *Store) RemoveExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	changed := false
	for id, until := range s.lapsing {
		if now >= until {
			s.remove(id, now)
			changed = true
		}
	}
	for id, t := range s.removed {
		if now.Sub(t.at) > forgetAfter {
			delete(s.removed, id)
		}
	}
	for id, n := range s.leaving {
		if s.known[id] == nil && now.Sub(n.at) > forgetAfter {
			delete(s.leaving, id)
		}
	}
	if changed {
		s.publish()
	}
}

// BeginBatch puts off new views until Release: a view lists all endpoints, and the first read
// of a large fleet changes each of them.
func (s *Store) BeginBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds++
}

// EndBatch ends what Hold began.
func (s *Store) EndBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds--
	if s.holds == 0 && s.held {
		s.publish()
	}
}

// publish is called with the lock held.
func (s *Store) publish() {
	if s.holds > 0 {
		s.held = true
		return
	}
	s.held = false
	s.view.Store(newView(s.config, s.known, s.leaving))
	close(s.changed)
	s.changed = make(chan struct{})
}
