package catalog

import (
	"maps"
	"slices"
	"time"

	"fescuestand/internal/clock"
)

// versionRetention is how long a version of which no endpoint is left is remembered.
const versionRetention = 10 * time.Minute

// serviceVersion is a software version of a service's endpoints.
type serviceVersion struct{ service, version string }

// Versions returns the software versions that endpoints of a service had at any time within window, sorted.
// A version that has been gone for longer than versionRetention is missing.
func (s *Store) Versions(service string, window time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]struct{}{}
	for _, e := range s.reported {
		if e.Service == service {
			found[e.Version] = struct{}{}
		}
	}
	now := s.clock.Now()
	for v, at := range s.endedVersions {
		if v.service == service && now.Sub(at) <= window {
			found[v.version] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// recordEnded records that an endpoint no longer serves at its version. The caller holds mu.
func (s *Store) recordEnded(e *Endpoint) {
	s.endedVersions[serviceVersion{e.Service, e.Version}] = s.clock.Now()
}

// expireVersions forgets the versions that ended long ago. The caller holds mu.
func (s *Store) expireVersions(now clock.Time) {
	maps.DeleteFunc(s.endedVersions, func(_ serviceVersion, at clock.Time) bool { return now.Sub(at) > versionRetention })
}
