package cachesync

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/network"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// deployment is a set of VMs whose messages arrive immediately, with engines that count the queries
// they get.
type deployment struct {
	mu      sync.Mutex
	queries map[string]int // by engine
	cached  []place.Part   // at each engine
	vms     []*vm
}

type vm struct {
	*deployment
	addr     string
	planner  *place.Planner
	informed bool
	outside  bool // not one of the active set
	unit     Unit
	started  time.Time
}

// Cached implements CacheLister.
func (d *deployment) Cached(_ context.Context, e *catalog.Endpoint) ([]place.Part, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queries[e.ID]++
	if e.ID == "mute" {
		return nil, errors.New("no answer")
	}
	return d.cached, nil
}

// CacheTrackers implements Members.
func (v *vm) CacheTrackers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for _, other := range v.vms {
		if other != v && other.informed {
			out = append(out, other.addr)
		}
	}
	return out
}

// ResponsiveActive implements Members: one more VM becomes responsive each beatInterval.
func (v *vm) ResponsiveActive() []string {
	out := []string{v.addr}
	for _, other := range v.vms {
		if other != v && len(out) <= int(time.Since(v.started)/beatInterval) {
			out = append(out, other.addr)
		}
	}
	return out
}

// beatInterval is the time between two beats.
const beatInterval = 35 * time.Millisecond

// SetTracksCaches implements Members.
func (v *vm) SetTracksCaches(informed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.informed = informed
}

// IsActive implements Members.
func (v *vm) IsActive() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.outside
}

func (v *vm) isInformed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.informed
}

// run runs the unit until the VM tracks what engines have cached.
func (v *vm) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = v.unit.Run(ctx) })
	for !v.isInformed() {
		assert.Assert(t, clock.Sleep(t.Context(), 10*time.Millisecond))
	}
	cancel()
	done.Wait()
}

// start starts n VMs whose catalog has the engines with the given ids.
func start(t *testing.T, n int, first bool, cached []place.Part, ids ...string) *deployment {
	t.Helper()
	d := &deployment{queries: map[string]int{}, cached: cached}
	store := catalog.NewStore(clock.Boot{})
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "m", Engine: &catalog.Engine{CacheTokens: 900_000}}, {Name: "plain"}}))
	for _, id := range ids {
		store.SetEndpoint(&catalog.Endpoint{ID: id, Service: "m", Stage: catalog.Decode, Sequence: 1})
	}
	store.SetEndpoint(&catalog.Endpoint{ID: "call", Service: "plain", Sequence: 1})
	for i := range n {
		v := &vm{deployment: d, started: time.Now(), planner: place.New("z", uint64(i))}
		v.planner.SetView(store.View())
		srv := httptest.NewServer(&Handler{v.planner})
		t.Cleanup(srv.Close)
		v.addr = strings.TrimPrefix(srv.URL, "http://")
		v.unit = Unit{
			Clock: clock.Boot{}, Planner: v.planner, Catalog: store, Members: v, Engines: d, Network: network.Machine{}, OwnAddress: v.addr, FirstStart: first,
			Announce: func(c *wire.CachedPrefix) {
				for _, other := range d.vms {
					other.planner.RecordCached(c.GetEndpoint(), Parts(c))
				}
			},
		}
		d.vms = append(d.vms, v)
	}
	return d
}

// cachedAt reports whether v has recorded as many parts as cached at the engine.
func (v *vm) cachedAt(engine string, parts []place.Part) bool {
	for _, c := range v.planner.Caches() {
		if c.Endpoint == place.Key(engine) {
			return len(c.Parts) == len(parts)
		}
	}
	return false
}

func parts(n int) []place.Part {
	var out []place.Part
	for i := range n {
		out = append(out, place.Part{ID: uint64(i + 1), Tokens: 1000})
	}
	return out
}

// Guards against engines that are blocked because each starting VM queries them for their lists.
func TestAfterARestartOfAllVMsEachEngineIsQueriedOnce(t *testing.T) {
	cached := parts(3*chunkParts + 1)
	d := start(t, 7, false, cached, "a", "b", "c", "d", "mute")
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for _, v := range d.vms {
		done.Go(func() { _ = v.unit.Run(ctx) })
	}
	for !d.allQueried(5) {
		assert.Assert(t, clock.Sleep(t.Context(), 10*time.Millisecond))
	}
	cancel()
	done.Wait()
	for _, id := range []string{"a", "b", "c", "d", "mute"} {
		assert.Equal(t, d.queries[id], 1, id)
		for _, v := range d.vms {
			assert.Equal(t, v.cachedAt(id, cached), id != "mute", id)
		}
	}
	assert.Equal(t, d.queries["call"], 0)
}

func (d *deployment) allQueried(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queries) == n
}

// Guards against a VM querying engines for lists that another VM has.
func TestAStartingVMCopiesFromATrackingVM(t *testing.T) {
	d := start(t, 3, false, nil, "a", "b")
	informed, started := d.vms[1], d.vms[0]
	informed.informed = true
	for i, id := range []string{"a", "b"} {
		informed.planner.RecordCached(place.Key(id), parts(10+i))
	}
	started.run(t)
	assert.Equal(t, len(d.queries), 0, fmt.Sprint(d.queries))
	assert.Assert(t, started.cachedAt("a", parts(10)) && started.cachedAt("b", parts(11)))
}

func TestNoEngineIsQueriedAtTheFirstStart(t *testing.T) {
	d := start(t, 2, true, parts(1), "a")
	d.vms[0].run(t)
	assert.Equal(t, len(d.queries), 0)
}

// Guards against hundreds of standby VMs querying for what only VMs that place requests need, and
// against a VM that becomes active again with its outdated record.
func TestAVMLoadsCachesWhenItBecomesActive(t *testing.T) {
	d := start(t, 2, true, nil, "a")
	informed, started := d.vms[1], d.vms[0]
	informed.informed = true
	informed.planner.RecordCached(place.Key("a"), parts(10))
	started.outside = true
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = started.unit.Run(ctx) })
	setOutside := func(outside bool) {
		d.mu.Lock()
		started.outside = outside
		d.mu.Unlock()
		for started.isInformed() == outside {
			assert.Assert(t, clock.Sleep(t.Context(), 10*time.Millisecond))
		}
	}
	assert.Assert(t, clock.Sleep(t.Context(), 2*activeCheckPeriod))
	assert.Assert(t, !started.isInformed())
	setOutside(false)
	assert.Assert(t, !started.cachedAt("a", parts(10)), "nothing is cached at the first start")
	setOutside(true)
	setOutside(false)
	assert.Assert(t, started.cachedAt("a", parts(10)))
	cancel()
	done.Wait()
}

func TestMalformedCacheListIsAnError(t *testing.T) {
	_, err := decode(strings.NewReader("\xff\xff"))
	assert.Assert(t, err != nil)
}

// FuzzCaches checks that an arbitrary answer of another VM is decoded or rejected with an error.
func FuzzCaches(f *testing.F) {
	f.Add([]byte{10, 11, 13, 1, 0, 0, 0, 18, 0, 26, 1, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		all, err := decode(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		for _, c := range all.GetEngines() {
			assert.Assert(t, len(Parts(c)) <= len(c.GetTokens()))
		}
	})
}

// Guards against an answer that no handler gave, which counted as the list of a VM that knows of no cached part.
func TestAnEmptyAnswerIsNoList(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(srv.Close)
	u := &Unit{Network: network.Machine{}}
	_, err := u.queryVM(t.Context(), strings.TrimPrefix(srv.URL, "http://"))
	assert.Assert(t, err != nil)
	none := httptest.NewServer(&Handler{place.New("z", 1)})
	t.Cleanup(none.Close)
	all, err := u.queryVM(t.Context(), strings.TrimPrefix(none.URL, "http://"))
	assert.NilError(t, err)
	assert.Equal(t, len(all.GetEngines()), 0)
}
