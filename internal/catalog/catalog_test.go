package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

func config(version uint64, routes ...*Route) *Config {
	return NewConfig(version, routes, []*Service{{Name: "labels"}})
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	c := config(1,
		&Route{Name: "all", Host: "a.example", PathPrefix: "/x/"},
		&Route{Name: "part", Host: "a.example", PathPrefix: "/x/y/"},
		&Route{Name: "other", Host: "b.example", PathPrefix: "/x/"})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "all"},
		{"a.example", "/x/y/1", "part"},
		{"A.Example:8080", "/x/y/", "part"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/xy/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, tc.want, "%s%s", tc.host, tc.path)
	}
}

func TestServicesAreSelectedByWeight(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	got := map[string]int{}
	for random := range uint64(100) {
		got[r.Service(random)]++
	}
	assert.DeepEqual(t, got, map[string]int{"a": 90, "b": 10})
	assert.Equal(t, (&Route{}).Service(7), "")
}

// Guards against an older version, which arrives by a slower path, replacing version 9 that the VM
// already serves callers by: a route that they have just used would disappear.
func TestOlderConfigurationsAreRejected(t *testing.T) {
	s := NewStore(&clock.Manual{})
	assert.Assert(t, s.SetConfig(config(9)))
	assert.Assert(t, !s.SetConfig(config(7)))
	assert.Assert(t, !s.SetConfig(config(9)))
	assert.Equal(t, s.View().Config.Version, uint64(9))
	assert.Assert(t, s.SetConfig(config(10)))
}

func endpoint(id string, born, sequence int64) *Endpoint {
	return &Endpoint{ID: id, Born: born, Sequence: sequence, Service: "labels", Address: "10.0.0.1:1"}
}

func ids(list []*Endpoint) []string {
	out := []string{}
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

func TestDrainingEndpointsAreUnavailable(t *testing.T) {
	s := NewStore(&clock.Manual{})
	s.SetEndpoint(endpoint("b", 1, 1))
	s.SetEndpoint(endpoint("a", 1, 1))
	d := endpoint("a", 1, 2)
	d.Draining = true
	s.SetEndpoint(d)
	assert.DeepEqual(t, ids(s.View().Available("labels")), []string{"b"})
	assert.DeepEqual(t, ids(s.View().All()), []string{"a", "b"})
}

// Guards against a delayed report restoring an endpoint that has drained and ended. Work would be
// sent to an address where nothing listens, or another service does.
func TestStaleReportsDoNotRestoreAnEndpoint(t *testing.T) {
	s := NewStore(&clock.Manual{})
	s.SetEndpoint(endpoint("a", 100, 5))
	d := endpoint("a", 100, 6)
	d.Draining = true
	s.SetEndpoint(d)
	s.SetEndpoint(endpoint("a", 100, 5))
	assert.Equal(t, len(s.View().Available("labels")), 0)
	s.RemoveEndpoint("a", false)
	s.SetEndpoint(endpoint("a", 100, 5))
	assert.Equal(t, len(s.View().All()), 0)

	restarted := endpoint("a", 200, 1)
	s.SetEndpoint(restarted)
	assert.DeepEqual(t, ids(s.View().Available("labels")), []string{"a"})
}

// Guards against an entry of another writer, with a start or a sequence number beyond the endpoint's own, that hides all
// reports of a live endpoint.
func TestALiveEndpointRefutesAReportThatNobodyRenews(t *testing.T) {
	for _, odd := range []*Endpoint{endpoint("a", 100, 1<<40), endpoint("a", 1<<42, 1)} {
		c := &clock.Manual{}
		s := NewStore(c)
		s.SetEndpoint(endpoint("a", 100, 5))
		odd.Draining = true
		s.SetEndpoint(odd)
		for sequence := int64(6); c.T < clock.Time(refutationTime); sequence++ {
			s.SetEndpoint(endpoint("a", 100, 6)) // a delayed report says nothing of a live one
			assert.Assert(t, !s.SetEndpoint(endpoint("a", 100, sequence)))
			assert.Equal(t, len(s.View().Available("labels")), 0)
			c.T = c.T.Add(time.Second)
		}
		assert.Assert(t, !s.SetEndpoint(endpoint("a", 100, 6)))
		assert.Assert(t, s.SetEndpoint(endpoint("a", 100, 20)))
		assert.Equal(t, len(s.View().Available("labels")), 1)
	}
}

// Guards against reports of an earlier process that arrive late and end those of its successor, which lives.
func TestARenewedReportIsNotRefuted(t *testing.T) {
	c := &clock.Manual{}
	s := NewStore(c)
	for i := range int64(20) {
		s.SetEndpoint(endpoint("a", 200, i))
		assert.Assert(t, !s.SetEndpoint(endpoint("a", 100, i)))
		c.T = c.T.Add(time.Second)
	}
}

// During an outage of the platform's store live endpoints can't renew their entries, which expire;
// they write them again within two seconds after it. Guards against a VM that removes them at once,
// and refuses all requests in between, and against one that keeps ended endpoints for good.
func TestEntriesExpiredAroundAnOutageAreKeptForAGracePeriod(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	s := NewStore(c)
	s.SetEndpoint(endpoint("back", 1, 1))
	s.SetEndpoint(endpoint("gone", 1, 1))
	s.RecordOutage()
	c.T = c.T.Add(500 * time.Millisecond)
	s.RemoveEndpoint("back", false)
	s.RemoveEndpoint("gone", false)
	assert.DeepEqual(t, ids(s.View().Available("labels")), []string{"back", "gone"})

	c.T = c.T.Add(time.Second)
	s.SetEndpoint(endpoint("back", 1, 2))
	s.RemoveExpired()
	assert.Equal(t, len(s.View().Available("labels")), 2)
	c.T = c.T.Add(outageGrace)
	s.RemoveExpired()
	assert.DeepEqual(t, ids(s.View().Available("labels")), []string{"back"})
}

// The platform's store is unavailable for four seconds, and entries of live endpoints expire. The
// VM that reads for all VMs keeps the endpoints until they write again. Guards against a VM that made
// no call meanwhile removing them when it receives the end of their entries.
func TestAVMWithoutOutageKeepsWhatTheReaderKeeps(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	reader, listener := NewStore(c), NewStore(c)
	for _, s := range []*Store{reader, listener} {
		s.SetEndpoint(endpoint("back", 1, 1))
		s.SetEndpoint(endpoint("gone", 1, 1))
	}
	reader.RecordOutage()
	c.T = c.T.Add(500 * time.Millisecond)
	for _, id := range []string{"back", "gone"} {
		changed, kept := reader.RemoveEndpoint(id, false)
		assert.Assert(t, changed)
		assert.Equal(t, kept, outageGrace-500*time.Millisecond)
		assert.Assert(t, listener.ExpireAfter(id, false, kept))
	}
	assert.Assert(t, !listener.ExpireAfter("unknown", false, time.Second))
	c.T = c.T.Add(time.Second)
	listener.SetEndpoint(endpoint("back", 1, 2))
	listener.RemoveExpired()
	assert.Equal(t, len(listener.View().Available("labels")), 2)
	c.T = c.T.Add(outageGrace)
	listener.RemoveExpired()
	assert.DeepEqual(t, ids(listener.View().Available("labels")), []string{"back"})
}

// Guards against VMs that announce the end of an entry to each other for as long as they keep its endpoint,
// and against an endpoint that gets requests although it is known to have deleted its entry.
func TestAnEndIsNewsOnce(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	s := NewStore(c)
	s.SetEndpoint(endpoint("a", 1, 1))
	s.RecordOutage()
	changed, kept := s.RemoveEndpoint("a", true)
	assert.Assert(t, changed)
	assert.Equal(t, kept, outageGrace)
	c.T = c.T.Add(time.Second)
	changed, kept = s.RemoveEndpoint("a", false)
	assert.Assert(t, !changed)
	assert.Equal(t, kept, outageGrace-time.Second)
	assert.Assert(t, !s.ExpireAfter("a", true, time.Minute))
	assert.Assert(t, s.EndEndpoint("a"))
	assert.Assert(t, !s.EndEndpoint("a"))
	assert.Equal(t, len(s.View().All()), 0)
	assert.Assert(t, !s.SetEndpoint(endpoint("a", 1, 1)), "its deletion was read")
}

// Guards against an endpoint that a restored store brings back, as VMs first took its entry for lost and then
// read its deletion.
func TestADeletionThatIsReadReplacesAMissingEntry(t *testing.T) {
	for _, isRead := range []bool{true, false} {
		c := &clock.Manual{T: clock.Time(time.Hour)}
		s := NewStore(c)
		s.SetEndpoint(endpoint("a", 1, 1))
		s.ExpireAfter("a", true, time.Second)
		s.ExpireAfter("a", !isRead, time.Second)
		s.ExpireAfter("a", true, time.Second)
		c.T = c.T.Add(time.Second)
		s.RemoveExpired()
		assert.Equal(t, s.SetEndpoint(endpoint("a", 1, 1)), !isRead)
	}
}

func TestWithoutAnOutageAnEntryIsRemovedAtOnce(t *testing.T) {
	c := &clock.Manual{T: clock.Time(time.Hour)}
	s := NewStore(c)
	s.SetEndpoint(endpoint("a", 1, 1))
	changed := s.Changed()
	s.RemoveEndpoint("a", false)
	s.RemoveEndpoint("a", false)
	<-changed
	assert.Equal(t, len(s.View().All()), 0)
}
