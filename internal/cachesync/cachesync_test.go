package cachesync

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

// deployment is a set of VMs whose messages arrive at once, before engines that
// count how often they are asked.
type deployment struct {
	mu    sync.Mutex
	asked map[string]int
	held  []place.Part
	vms   []*vm
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

// Cached implements Lister.
func (d *deployment) Cached(_ context.Context, e *catalog.Endpoint) ([]place.Part, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked[e.ID]++
	if e.ID == "mute" {
		return nil, errors.New("no answer")
	}
	return d.held, nil
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

// ResponsiveActive implements Members: one more VM is heard each hearStep.
func (v *vm) ResponsiveActive() []string {
	out := []string{v.addr}
	for _, other := range v.vms {
		if other != v && len(out) <= int(time.Since(v.started)/hearStep) {
			out = append(out, other.addr)
		}
	}
	return out
}

// hearStep is a beat's time.
const hearStep = 35 * time.Millisecond

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

// run runs the unit until the VM is informed.
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

// start starts n VMs that know the engines with the given ids.
func start(t *testing.T, n int, first bool, held []place.Part, ids ...string) *deployment {
	t.Helper()
	d := &deployment{asked: map[string]int{}, held: held}
	store := catalog.NewStore(clock.Boot{})
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "m", Engine: &catalog.Engine{CacheTokens: 900_000}}, {Name: "plain"}}))
	for _, id := range ids {
		store.SetEndpoint(&catalog.Endpoint{ID: id, Service: "m", Stage: catalog.Decode, Sequence: 1})
	}
	store.SetEndpoint(&catalog.Endpoint{ID: "call", Service: "plain", Sequence: 1})
	for i := range n {
		v := &vm{deployment: d, started: time.Now(), planner: place.New("z", uint64(i))}
		v.planner.SetView(store.View())
		srv := httptest.NewServer(&Share{v.planner})
		t.Cleanup(srv.Close)
		v.addr = strings.TrimPrefix(srv.URL, "http://")
		v.unit = Unit{
			Clock: clock.Boot{}, Planner: v.planner, Catalog: store, Members: v, Engines: d, Own: v.addr, NothingCached: first,
			Tell: func(c *wire.CachedPrefix) {
				for _, other := range d.vms {
					other.planner.RecordCached(c.GetEndpoint(), Parts(c))
				}
			},
		}
		d.vms = append(d.vms, v)
	}
	return d
}

// cachedAt tells whether v believes that all of parts are cached at the engine.
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

// Guards against engines that stand still because each VM which starts asks them for their
// lists.
func TestAfterALossOfAllVMsEachEngineIsAskedOnce(t *testing.T) {
	held := parts(3*chunkParts + 1)
	d := start(t, 7, false, held, "a", "b", "c", "d", "mute")
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for _, v := range d.vms {
		done.Go(func() { _ = v.unit.Run(ctx) })
	}
	for !d.allAsked(5) {
		assert.Assert(t, clock.Sleep(t.Context(), 10*time.Millisecond))
	}
	cancel()
	done.Wait()
	for _, id := range []string{"a", "b", "c", "d", "mute"} {
		assert.Equal(t, d.asked[id], 1, id)
		for _, v := range d.vms {
			assert.Equal(t, v.cachedAt(id, held), id != "mute", id)
		}
	}
	assert.Equal(t, d.asked["call"], 0)
}

func (d *deployment) allAsked(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.asked) == n
}

// Guards against engines being asked for what another VM knows.
func TestAVMThatStartsAsksOneThatKnows(t *testing.T) {
	d := start(t, 3, false, nil, "a", "b")
	known, fresh := d.vms[1], d.vms[0]
	known.informed = true
	for i, id := range []string{"a", "b"} {
		known.planner.RecordCached(place.Key(id), parts(10+i))
	}
	fresh.run(t)
	assert.Equal(t, len(d.asked), 0, fmt.Sprint(d.asked))
	assert.Assert(t, fresh.cachedAt("a", parts(10)) && fresh.cachedAt("b", parts(11)))
}

func TestNobodyIsAskedAtTheFirstStart(t *testing.T) {
	d := start(t, 2, true, parts(1), "a")
	d.vms[0].run(t)
	assert.Equal(t, len(d.asked), 0)
}

// Guards against hundreds of VMs that stand by and ask for what only those need that
// place requests; and against one that becomes active again with what it knew
// before.
func TestAVMLearnsWhenItBecomesActive(t *testing.T) {
	d := start(t, 2, true, nil, "a")
	known, fresh := d.vms[1], d.vms[0]
	known.informed = true
	known.planner.RecordCached(place.Key("a"), parts(10))
	fresh.outside = true
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = fresh.unit.Run(ctx) })
	turn := func(outside bool) {
		d.mu.Lock()
		fresh.outside = outside
		d.mu.Unlock()
		for fresh.isInformed() == outside {
			assert.Assert(t, clock.Sleep(t.Context(), 10*time.Millisecond))
		}
	}
	assert.Assert(t, clock.Sleep(t.Context(), 2*activePeriod))
	assert.Assert(t, !fresh.isInformed())
	turn(false)
	assert.Assert(t, !fresh.cachedAt("a", parts(10)), "nothing is cached at the first start")
	turn(true)
	turn(false)
	assert.Assert(t, fresh.cachedAt("a", parts(10)))
	cancel()
	done.Wait()
}

func TestWhatIsNoListOfCachesIsAnError(t *testing.T) {
	_, err := decode(strings.NewReader("\xff\xff"))
	assert.Assert(t, err != nil)
}

// FuzzCaches feeds the answer of another VM: whatever it is, it is read or an error.
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
