package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
)

func TestPoll(t *testing.T) {
	fresh := func(versions ...string) Observation { return Observation{versions, true, true} }
	stale := func(versions ...string) Observation { return Observation{versions, false, true} }
	young := func(versions ...string) Observation { return Observation{versions, true, false} }
	for name, tc := range map[string]struct {
		observed []Observation // the first one is this VM's
		asked    int
		want     string // empty if unknown
	}{
		"one version":                       {[]Observation{fresh("v1"), fresh("v1"), fresh("v1"), fresh("v1")}, 4, "v1"},
		"one version, no answer":            {[]Observation{fresh("v1")}, 4, ""},
		"two versions":                      {[]Observation{fresh("v1", "v2")}, 4, ""},
		"another VM has seen another one":   {[]Observation{fresh("v1"), fresh("v2")}, 4, ""},
		"a stale VM has seen another one":   {[]Observation{fresh("v2"), stale("v1")}, 4, ""},
		"VMs that know nothing don't agree": {[]Observation{stale("v1"), stale(), stale(), stale()}, 4, ""},
		"a minority of fresh VMs":           {[]Observation{fresh("v1"), fresh("v1"), fresh("v1")}, 4, ""},
		"stale and fresh VMs agree":         {[]Observation{stale("v1"), fresh("v1"), stale("v1"), fresh("v1")}, 4, "v1"},
		"a minority of stale VMs":           {[]Observation{stale("v1"), stale("v1"), stale("v1")}, 4, ""},
		"a majority of stale VMs":           {[]Observation{stale("v1"), stale("v1"), stale("v1"), stale("v1")}, 4, "v1"},
		"stale, nobody to ask":              {[]Observation{stale("v1")}, 0, "v1"},
		"a VM without endpoints":            {[]Observation{fresh(), stale("v1"), stale("v1"), stale("v1")}, 4, "v1"},
		"VMs that have all just started":    {[]Observation{young("v1"), young("v1"), young("v1"), young("v1"), young("v1")}, 4, ""},
		"one VM that stayed":                {[]Observation{young("v1"), fresh("v1"), young("v1"), young("v1"), young("v1")}, 4, ""},
		"most VMs stayed":                   {[]Observation{young("v1"), fresh("v1"), fresh("v1"), fresh("v1"), young("v1")}, 4, "v1"},
		"one VM that stayed, stale":         {[]Observation{young("v1"), stale("v1")}, 4, ""},
		"no endpoints anywhere":             {[]Observation{fresh()}, 0, ""},
	} {
		p := NewPoll(tc.observed[0], tc.asked)
		for _, o := range tc.observed[1:] {
			p.Add(o)
		}
		version, ok := p.Only()
		assert.Equal(t, ok, tc.want != "", name)
		if ok {
			assert.Equal(t, version, tc.want, name)
		}
	}
}

func TestOriginIsFoundUntilItExpires(t *testing.T) {
	r, now := NewRegister(), clock.Time(time.Hour)
	o := Origin{"m", "v1"}
	assert.Assert(t, r.Record(now, 7, o, time.Second))
	got, ok := r.Find(now.Add(time.Second-1), 7)
	assert.Assert(t, ok)
	assert.Equal(t, got, o)
	_, ok = r.Find(now.Add(time.Second), 7)
	assert.Assert(t, !ok)
	_, ok = r.Find(now, 8)
	assert.Assert(t, !ok)
}

// Guards against a stream that changes its version because a VM that continued it wrongly records it again.
func TestFirstOriginOfAStreamStays(t *testing.T) {
	r, now := NewRegister(), clock.Time(time.Hour)
	r.Record(now, 7, Origin{"m", "v1"}, time.Second)
	assert.Assert(t, !r.Record(now, 7, Origin{"m", "v2"}, time.Minute))
	assert.Assert(t, r.Record(now, 7, Origin{"m", "v1"}, time.Minute))
	got, ok := r.Find(now.Add(30*time.Second), 7)
	assert.Assert(t, ok, "a later record extends the time")
	assert.Equal(t, got.Version, "v1")
	assert.Assert(t, r.Record(now.Add(time.Hour), 7, Origin{"m", "v2"}, time.Second), "an expired record doesn't count")
}

func TestRegisterIsBounded(t *testing.T) {
	r, now := NewRegister(), clock.Time(time.Hour)
	for i := range Key(2 * maxRecords) {
		r.Record(now, i, Origin{"m", "v1"}, time.Minute)
	}
	assert.Equal(t, r.Len(), maxRecords)
	_, ok := r.Find(now, 2*maxRecords-1)
	assert.Assert(t, ok, "the newest are kept")
	r.Record(now.Add(2*time.Minute), 1, Origin{"m", "v1"}, time.Minute)
	assert.Equal(t, r.Len(), 1, "expired records are dropped")
	r.Record(now, 2, Origin{"m", "v1"}, time.Hour)
	_, ok = r.Find(now.Add(maxTTL), 2)
	assert.Assert(t, !ok)
}

func vmsOf(n, zones int) []VM {
	var out []VM
	for i := range n {
		out = append(out, VM{fmt.Sprintf("10.0.%d.%d:7380", i/250, i%250), fmt.Sprint("z", i%zones)})
	}
	return out
}

func TestReplicasAreInDifferentZones(t *testing.T) {
	vms := vmsOf(12, 4)
	zoneOf := map[string]string{}
	for _, v := range vms {
		zoneOf[v.Peer] = v.Zone
	}
	for stream := range Key(200) {
		order := Order(stream, vms)
		assert.Equal(t, len(order), len(vms))
		zones := map[string]bool{}
		for _, peer := range order[:Replicas] {
			zones[zoneOf[peer]] = true
		}
		assert.Equal(t, len(zones), Replicas)
	}
}

// Guards against origins that can't be found after VMs end or join: a VM that doesn't have the same list
// must still query a VM that recorded the origin.
func TestLookupsFindAReplicaWhenListsDiffer(t *testing.T) {
	const streams = 2000
	for _, tc := range []struct {
		vms, zones, ended, joined int
		minFound                  float64
	}{
		{8, 4, 1, 0, 1}, {8, 4, 3, 0, 0.95}, {8, 4, 0, 2, 0.99}, {60, 5, 2, 2, 0.99}, {60, 3, 20, 0, 0.9}, {3, 3, 2, 0, 1}, {4, 1, 0, 4, 0.9},
	} {
		all := vmsOf(tc.vms+tc.joined, tc.zones)
		before, after := all[:tc.vms], all[tc.ended:]
		found := 0
		for stream := range Key(streams) {
			written := Order(stream, before)
			written = written[:min(Replicas, len(written))]
			read := Order(stream, after)
			read = read[:min(Lookups, len(read))]
			if slices.ContainsFunc(read, func(peer string) bool { return slices.Contains(written, peer) }) {
				found++
			}
		}
		t.Logf("%+v: %d of %d found", tc, found, streams)
		assert.Assert(t, float64(found) >= tc.minFound*streams)
	}
}
