package originsync

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/wire"
)

const window = 20 * time.Second

var (
	v1 = origin.Origin{Service: "m", Version: "v1"}
	v2 = origin.Origin{Service: "m", Version: "v2"}
)

// network delivers datagrams between trackers.
type network struct {
	clock clock.Manual

	mu    sync.Mutex
	vms   map[string]*Tracker
	sent  int // datagrams
	loses func(from, to string) bool
	store *memoryStore
	seen  map[string]origin.Observation // by VM
}

func newNetwork(n int) *network {
	w := &network{store: newMemoryStore(), clock: clock.Manual{T: clock.Time(time.Hour)}, vms: map[string]*Tracker{}, seen: map[string]origin.Observation{}, loses: func(string, string) bool { return false }}
	for i := range n {
		w.start(fmt.Sprint("vm", i))
	}
	return w
}

// start starts a VM, or starts it anew without what it knew.
func (w *network) start(name string) *Tracker {
	t := New()
	t.Self, t.Process, t.Clock = name, uint64(len(name))+uint64(time.Now().UnixNano()), &w.clock
	t.Replicas = func(stream origin.Key, n int) []string {
		w.mu.Lock()
		defer w.mu.Unlock()
		var vms []origin.VM
		for peer := range w.vms {
			vms = append(vms, origin.VM{Peer: peer, Zone: "z" + peer[len(peer)-1:]})
		}
		slices.SortFunc(vms, func(a, b origin.VM) int { return strings.Compare(a.Peer, b.Peer) })
		order := origin.Order(stream, vms)
		return order[:min(n, len(order))]
	}
	t.Archive, t.Archivers = w.newArchive(), func() []string { return t.Replicas(0, MaxArchivers) }
	t.Archive.OnAmbiguous, t.Archive.OnAppendFailed = t.ArchiveOwn, t.HandOver
	t.Observe = func(string, time.Duration) origin.Observation {
		w.mu.Lock()
		defer w.mu.Unlock()
		o := w.seen[name]
		if versions, ok := t.Archive.VersionsBegun("m"); ok {
			o.Versions = versions
		}
		return o
	}
	t.Send = func(peers []string, b *wire.Beat) {
		for _, peer := range peers {
			w.mu.Lock()
			to := w.vms[peer]
			w.sent++
			lost := to == nil || w.loses(name, peer)
			w.mu.Unlock()
			if !lost {
				to.Receive(name, b)
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms[name] = t
	w.seen[name] = origin.Observation{Versions: []string{"v1", "v2"}, Fresh: true, Whole: true}
	return t
}

func (w *network) vm(i int) *Tracker { return w.vms[fmt.Sprint("vm", i)] }

// Guards against a stream that goes on at another version since the VM that began it has ended.
func TestOriginIsFoundAfterVMsRestart(t *testing.T) {
	w := newNetwork(8)
	for stream := origin.Key(1); stream <= 200; stream++ {
		w.vm(0).Record(streamOf(stream), v2, time.Minute)
	}
	w.start("vm0")
	w.start("vm1")
	for stream := origin.Key(1); stream <= 200; stream++ {
		o, source := w.vm(5).Find(t.Context(), streamOf(stream), "m", window)
		assert.Assert(t, source == Peer || source == Own, "%s", source)
		assert.Equal(t, o, v2)
		_, source = w.vm(5).Find(t.Context(), streamOf(stream), "m", window)
		assert.Equal(t, source, Own)
	}
}

// Guards against a guess: nobody knows the origin and there are several versions.
func TestUnknownOriginOfSeveralVersions(t *testing.T) {
	w := newNetwork(4)
	w.store.starts = startsAt("v1", "v2")
	_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Unknown)
}

// Guards against streams that are lost without need while the store is unavailable, and against a VM that
// hasn't heard of another version.
func TestOnlyVersionIsTheOriginWithoutTheStore(t *testing.T) {
	w := newNetwork(4)
	w.store.down = true
	for name, vm := range w.vms {
		vm.Archive.starts.SetVisible(w.clock.T, startsAt("v1"), window)
		w.seen[name] = origin.Observation{Versions: []string{"v1"}, Fresh: true, Whole: true}
	}
	o, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Only)
	assert.Equal(t, o, v1)
	w.seen[w.vm(0).others(1, 1)[0]] = origin.Observation{Versions: []string{"v1", "v2"}, Whole: true}
	_, source = w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Unread)
}

// Guards against a VM that trusts its old view of the versions while it reaches nobody.
func TestIsolatedVMDoesNotGuess(t *testing.T) {
	w := newNetwork(4)
	w.store.down = true
	w.vm(0).Archive.starts.SetVisible(w.clock.T, startsAt("v1"), window)
	w.seen["vm0"] = origin.Observation{Versions: []string{"v1"}, Whole: true}
	w.loses = func(from, to string) bool { return from == "vm0" || to == "vm0" }
	start := time.Now()
	_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Unread)
	assert.Assert(t, time.Since(start) >= queryTimeout)
}

// Guards against a VM that reaches the store, but no other VM, and takes its old view for all versions that may have been
// used off the record, and against final refusals of streams that other VMs know.
func TestIsolatedVMReadsTheEndpointsBeforeItConcludes(t *testing.T) {
	unreadable := func(context.Context) bool { return false }
	for name, tc := range map[string]struct {
		recorded, appeared []string
		isReadable         bool
		want               Source
		wantUnnamed        Source
	}{
		"one version":           {[]string{"v1"}, []string{"v1"}, true, Only, Only},
		"one off the record":    {[]string{"v1"}, []string{"v2"}, true, Unread, Unknown},
		"unreadable endpoints":  {[]string{"v1"}, []string{"v1"}, false, Unread, Unread},
		"two versions recorded": {[]string{"v1", "v2"}, []string{"v1"}, true, Unread, Unknown},
	} {
		w := newNetwork(4)
		w.store.starts = startsAt(tc.recorded...)
		vm := w.vm(0)
		vm.Archive.starts.SetVisible(w.clock.T, startsAt("v1"), window)
		w.loses = func(from, to string) bool { return from == "vm0" || to == "vm0" }
		w.seen["vm0"] = origin.Observation{Versions: []string{"v1"}, Fresh: true, Whole: true}
		vm.HasQuorum = func() bool { return false }
		vm.ReadEndpoints = unreadable
		if tc.isReadable {
			vm.ReadEndpoints = func(context.Context) bool {
				vm.Archive.starts.SetVisible(w.clock.T, startsAt(tc.appeared...), window)
				return true
			}
		}
		_, source := vm.Find(t.Context(), streamOf(1), "m", window)
		assert.Equal(t, source, tc.want, name)
		_, source = vm.Find(t.Context(), streamOf(origin.Unnamed), "m", window)
		assert.Equal(t, source, tc.wantUnnamed, name)
	}
}

// Guards against final refusals of streams whose origin VMs know that stand still for a moment.
func TestStreamThatSilentVMsMayKnowIsNotRefusedForGood(t *testing.T) {
	for name, tc := range map[string]struct {
		silent     int // of the VMs asked
		reachesAll bool
		want       Source
	}{
		"all answer":          {0, true, Unknown},
		"one is silent":       {1, true, Unread},
		"another one is lost": {0, false, Unread},
	} {
		w := newNetwork(8)
		w.store.starts = startsAt("v1", "v2")
		vm := w.vm(0)
		silent := vm.others(1, origin.Lookups)[:tc.silent]
		w.loses = func(_, to string) bool { return slices.Contains(silent, to) }
		vm.ReachesAll = func() bool { return tc.reachesAll }
		_, source := vm.Find(t.Context(), streamOf(1), "m", window)
		assert.Equal(t, source, tc.want, name)
	}
}

// Guards against callers that wait for VMs that have ended although the others agree on the only version.
func TestQueryEndsWhenMostVMsAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(8)
		w.store.down = true
		for name, vm := range w.vms {
			vm.Archive.starts.SetVisible(w.clock.T, startsAt("v1"), window)
			w.seen[name] = origin.Observation{Versions: []string{"v1"}, Fresh: true, Whole: true}
		}
		ended := w.vm(0).others(1, 1)[0]
		w.loses = func(_, to string) bool { return to == ended }
		start := time.Now()
		_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
		assert.Equal(t, source, Only)
		assert.Assert(t, time.Since(start) < resendInterval)
	})
}

// allSee has all VMs observe one version, which is on record.
func (w *network) allSee(version string) {
	w.store.starts = startsAt(version)
	for name := range w.vms {
		w.seen[name] = origin.Observation{Versions: []string{version}, Fresh: true, Whole: true}
	}
}

// Guards against a VM that concludes from its own view, out of step while others used a version off the record, where
// callers don't name their first attempt.
func TestUnnamedStreamIsRefusedIfOtherVMsKnowAnotherVersion(t *testing.T) {
	w := newNetwork(8)
	w.allSee("v1")
	o, source := w.vm(0).Find(t.Context(), streamOf(origin.Unnamed), "m", window)
	assert.Equal(t, source, Only)
	assert.Equal(t, o, v1)
	for name := range w.vms {
		if name != w.vm(0).Self {
			w.seen[name] = origin.Observation{Versions: []string{"v1", "v2"}, Fresh: true, Whole: true}
		}
	}
	_, source = w.vm(0).Find(t.Context(), streamOf(origin.Unnamed), "m", window)
	assert.Equal(t, source, Unknown)
}

// Guards against needless questions where callers don't name their first attempt, against the same VMs being asked for all
// of their streams, and against an origin that is recorded without a name.
func TestUnnamedStreamsCostFewQuestions(t *testing.T) {
	const streams = 8
	w := newNetwork(16)
	w.vm(0).Receive("vm1", &wire.Beat{StreamOrigins: []*wire.StreamOrigin{{Service: "m", Version: "v1", TtlMs: 1000}}})
	find := func() Source {
		_, source := w.vm(0).Find(t.Context(), streamOf(origin.Unnamed), "m", window)
		return source
	}
	w.store.starts = startsAt("v1", "v2")
	assert.Equal(t, find(), Unknown)
	assert.Equal(t, w.sent, 0, "two versions on record")
	asked := map[string]bool{}
	w = newNetwork(16)
	w.allSee("v1")
	w.loses = func(_, to string) bool {
		asked[to] = true
		return false
	}
	for range streams {
		assert.Equal(t, find(), Only)
	}
	assert.Assert(t, w.sent <= streams*2*origin.Lookups, "%d questions and answers", w.sent)
	assert.Assert(t, len(asked) > 2*origin.Lookups, "%d VMs asked", len(asked))
}

func TestQueryIsSentAgain(t *testing.T) {
	w := newNetwork(4)
	w.vm(0).Record(streamOf(1), v2, time.Minute)
	asker := "vm3"
	w.start(asker)
	lost := map[string]bool{}
	w.loses = func(from, to string) bool {
		first := from == asker && !lost[to]
		lost[to] = lost[to] || first
		return first
	}
	o, source := w.vm(3).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Peer)
	assert.Equal(t, o, v2)
}

func TestQueryEndsWithItsContext(t *testing.T) {
	w := newNetwork(4)
	w.loses = func(string, string) bool { return true }
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	start := time.Now()
	_, source := w.vm(0).Find(ctx, streamOf(1), "m", window)
	assert.Equal(t, source, Unread)
	assert.Assert(t, time.Since(start) < queryTimeout)
}

func TestRecordingCostsAFixedNumberOfDatagrams(t *testing.T) {
	for _, vms := range []int{1, 2, 8, 60} {
		w := newNetwork(vms)
		w.vm(0).Record(streamOf(1), v1, time.Minute)
		assert.Assert(t, w.sent <= origin.Replicas, "%d VMs: %d", vms, w.sent)
	}
}

// TestRecordsAreSmall bounds the bytes that each resumable stream costs.
func TestRecordsAreSmall(t *testing.T) {
	const maxBytes = 100
	w := newNetwork(4)
	size := 0
	vm := w.vm(0)
	vm.Send = func(_ []string, b *wire.Beat) {
		b.Peer, b.Knowledge = "10.20.30.40:17380", &wire.Knowledge{Answer: true}
		size = proto.Size(b)
	}
	vm.Record(streamOf(1<<63), origin.Origin{Service: "language-models", Version: "v2026.12.03"}, 15*time.Second)
	t.Logf("%d bytes", size)
	assert.Assert(t, size > 0 && size <= maxBytes)
}

func TestMalformedMessagesAreDropped(t *testing.T) {
	w := newNetwork(2)
	vm := w.vm(0)
	long := strings.Repeat("x", maxNameBytes+1)
	for _, m := range []*wire.StreamOrigin{
		{Stream: 1}, {Stream: 1, Service: "m"}, {Stream: 1, Version: "v1"}, {Stream: 1, Service: long, Version: "v1"},
		{Stream: 1, Service: "m", Version: long}, {Stream: 1, Service: "m", Version: "v1", TtlMs: 0},
	} {
		vm.Receive("vm1", &wire.Beat{StreamOrigins: []*wire.StreamOrigin{m}})
		vm.Receive("vm1", &wire.Beat{StreamAnswer: &wire.StreamAnswer{Asker: vm.Process, Number: 99, Origin: m}})
		_, ok := vm.register.Find(w.clock.T, 1)
		assert.Assert(t, !ok, "%v", m)
	}
	vm.Receive("vm1", &wire.Beat{StreamOrigins: []*wire.StreamOrigin{{Stream: 1, Service: "m", Version: "v1", TtlMs: 1 << 31}}})
	w.clock.T = w.clock.T.Add(time.Hour)
	_, ok := vm.register.Find(w.clock.T, 1)
	assert.Assert(t, !ok, "a record that never expires")
}
