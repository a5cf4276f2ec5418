package originsync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/era"
	"fescuestand/internal/policy/origin"
)

// memoryStore is a Store in memory.
type memoryStore struct {
	mu      sync.Mutex
	starts  []origin.Start
	origins []Archived
	down    bool
	calls   int

	era      era.Era // zero for a store that was never restored
	complete era.Era
}

func newMemoryStore() *memoryStore { return &memoryStore{} }

// call counts a call. It fails if the store is down.
func (s *memoryStore) call() error {
	s.calls++
	if s.down {
		return driver.ErrRefused
	}
	return nil
}

func (s *memoryStore) Records(context.Context) (Records, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Records{Starts: slices.Clone(s.starts), Incomplete: s.era > s.complete}, s.call()
}

func (s *memoryStore) MarkComplete(_ context.Context, e era.Era) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = e
	return s.call()
}

func (s *memoryStore) PutStarts(_ context.Context, starts []origin.Start) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	for _, st := range starts {
		if !slices.Contains(s.starts, st) {
			s.starts = append(s.starts, st)
		}
	}
	return nil
}

func (s *memoryStore) DeleteStarts(_ context.Context, starts []origin.Start) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts = slices.DeleteFunc(s.starts, func(st origin.Start) bool { return slices.Contains(starts, st) })
	return s.call()
}

func (s *memoryStore) AppendOrigins(_ context.Context, origins []Archived) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return err
	}
	s.origins = append(s.origins, origins...)
	return nil
}

// Origins returns a few of the origins, so that tests need several pages.
func (s *memoryStore) Origins(_ context.Context, from era.Position) (OriginPage, error) {
	const pageSize = 10
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call(); err != nil {
		return OriginPage{}, err
	}
	end := min(from.Offset+pageSize, int64(len(s.origins)))
	return OriginPage{slices.Clone(s.origins[from.Offset:end]), era.Position{Era: era.First, Offset: end}, end < int64(len(s.origins))}, nil
}

const (
	testHost = "h.example"
	testPath = "/streams/"
)

func streamOf(key origin.Key) *origin.Stream {
	return &origin.Stream{Key: key, Host: testHost, Path: testPath + "x"}
}

func startsAt(versions ...string) []origin.Start {
	var out []origin.Start
	for _, v := range versions {
		out = append(out, origin.Start{Host: testHost, PathPrefix: testPath, Origin: origin.Origin{Service: "m", Version: v}})
	}
	return out
}

func (w *network) newArchive() *Archive {
	a := NewArchive()
	a.Store, a.Clock, a.Catalog = w.store, &w.clock, catalog.NewStore(&w.clock)
	a.VMs, a.IsReader = func() int { return 1 }, func() bool { return true }
	return a
}

// restartAll starts all VMs anew at once.
func (w *network) restartAll() {
	for name := range w.vms {
		w.start(name)
		w.seen[name] = origin.Observation{Versions: []string{"v2"}, Fresh: true}
	}
}

// Guards against streams that go on at another version after all VMs were lost at once: the new processes have
// seen only the version that is left.
func TestStreamsAfterALossOfAllVMs(t *testing.T) {
	w := newNetwork(4)
	w.store.starts = startsAt("v1", "v2")
	for _, vm := range w.vms {
		vm.Archive.read(t.Context())
	}
	w.vm(0).Record(streamOf(1), v1, time.Minute)
	w.vm(0).Record(streamOf(2), v2, time.Minute)
	for _, vm := range w.vms {
		vm.Archive.appendPending(t.Context())
	}
	w.vm(0).Record(streamOf(3), v1, time.Minute) // lost before it was written
	w.restartAll()
	for i := range 4 {
		for key, want := range map[origin.Key]origin.Origin{1: v1, 2: v2} {
			o, source := w.vm(i).Find(t.Context(), streamOf(key), "m", window)
			assert.Assert(t, source == Stored || source == Own || source == Peer, "%s", source)
			assert.Equal(t, o, want)
		}
		_, source := w.vm(i).Find(t.Context(), streamOf(3), "m", window)
		assert.Equal(t, source, Unknown)
	}
}

// Guards against streams that are lost with all VMs although there was one version only.
func TestOnlyVersionOnRecordIsTheOrigin(t *testing.T) {
	w := newNetwork(4)
	w.store.starts = startsAt("v2")
	w.restartAll()
	for _, key := range []origin.Key{1, origin.Unnamed} {
		o, source := w.vm(0).Find(t.Context(), streamOf(key), "m", window)
		assert.Equal(t, source, Only)
		assert.Equal(t, o, v2)
	}
}

// Guards against a conclusion from the short life of VMs that have all just started, while the store can't be
// read.
func TestYoungVMsDoNotGuessWithoutTheStore(t *testing.T) {
	w := newNetwork(4)
	w.store.down = true
	w.restartAll()
	for _, vm := range w.vms {
		vm.Archive.starts.SetVisible(w.clock.T, startsAt("v2"), window)
	}
	_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Unread)
}

// Guards against a conclusion from a record that a restore of the store has shortened, and against streams that are
// refused for a time by each VM that starts after one.
func TestRestoredRecordIsNotWhole(t *testing.T) {
	w := newNetwork(4)
	w.store.starts, w.store.era = startsAt("v2"), 2
	w.restartAll()
	settled := false
	w.vm(0).Archive.IsSettled = func(clock.Time) bool { return settled }
	_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Unread)
	settled = true
	for _, key := range []origin.Key{1, origin.Unnamed} {
		_, source = w.vm(0).Find(t.Context(), streamOf(key), "m", window)
		assert.Equal(t, source, Unknown, "streams may have begun at a version that was lost from the record")
	}
	settled, w.store.complete = false, 2
	_, source = w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Only, "marked as complete since")
}

// Guards against a new deployment that is taken for one whose store was restored, as the store numbers its first era 1:
// after a loss of all VMs its streams would be refused.
func TestFirstRecordIsComplete(t *testing.T) {
	for e, want := range map[era.Era]bool{era.MaxFirst: true, era.MaxFirst + 1: false} {
		w := newNetwork(1)
		w.store.era = e
		a := w.newArchive()
		a.Era = func() (era.Era, clock.Time) { return e, w.clock.T }
		a.starts.SetVisible(w.clock.T, startsAt("v1"), minWindow)
		a.maintain(t.Context())
		assert.Equal(t, len(w.store.starts), 1)
		assert.Equal(t, w.store.complete == e, want)
	}
}

// Guards against a record that is taken for complete after a restore by VMs that haven't seen what was lost, and against
// one that nobody marks.
func TestRecordIsMarkedAsComplete(t *testing.T) {
	const restored, restoredEra = clock.Time(time.Hour), era.Era(3)
	for name, tc := range map[string]struct {
		started time.Duration // before the restore
		at      time.Duration // after it
		want    bool
	}{
		"seen a window before":        {minWindow, era.RewriteTime, true},
		"others may not have written": {minWindow, era.RewriteTime - 1, false},
		"seen less":                   {minWindow - 1, era.RewriteTime, false},
		"seen less, nearly over":      {0, minWindow - 1, false},
		"over":                        {0, minWindow, true},
	} {
		w := newNetwork(1)
		w.store.era = restoredEra
		a := w.newArchive()
		a.Era = func() (era.Era, clock.Time) { return restoredEra, restored }
		a.IsSettled = func(at clock.Time) bool { return at.Sub(restored) >= era.RewriteTime }
		a.starts.SetVisible(restored.Add(-tc.started), startsAt("v1"), minWindow)
		a.Reset()
		w.clock.T = restored.Add(tc.at)
		a.maintain(t.Context())
		a.maintain(t.Context())
		assert.Equal(t, w.store.complete == restoredEra, tc.want, name)
		assert.Equal(t, len(w.store.starts), 1, name)
		calls := w.store.calls
		w.clock.T = w.clock.T.Add(lateCallTime)
		a.maintain(t.Context()) // reads once, to verify what was written
		a.maintain(t.Context())
		assert.Assert(t, !tc.want || w.store.calls <= calls+1, name)
	}
}

// Guards against a VM that serves as if nothing had been quarantined before it read the records, and against one
// that never serves as the store can't be read.
func TestRecordsAreReadFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(1)
		w.store.down = true
		a := w.newArchive()
		var read atomic.Int64
		a.OnRecords = func(Records) { read.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- a.Run(ctx) }()
		time.Sleep(maxLoadTime - time.Millisecond)
		assert.Check(t, !a.Loaded())
		time.Sleep(2 * time.Millisecond)
		assert.Check(t, a.Loaded() && read.Load() == 0)
		w.store.mu.Lock()
		w.store.down = false
		w.store.mu.Unlock()
		time.Sleep(time.Second)
		assert.Check(t, read.Load() == 1)
		cancel()
		assert.Check(t, errors.Is(<-ended, context.Canceled))
	})
}

// Guards against a stream of a service to which its route led before, and against one of a route that a longer
// prefix hid.
func TestStreamsOfRoutesThatMoved(t *testing.T) {
	w := newNetwork(4)
	for name, other := range map[string]origin.Start{
		"other service": {Host: testHost, PathPrefix: testPath, Origin: origin.Origin{Service: "n", Version: "v2"}},
		"longer prefix": {Host: testHost, PathPrefix: testPath + "x", Origin: v1},
	} {
		w.store.starts = append(startsAt("v2"), other)
		w.restartAll()
		_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
		assert.Equal(t, source, Unknown, name)
	}
	w.store.starts = append(startsAt("v2"), origin.Start{Host: testHost, PathPrefix: "/other/", Origin: v1}, origin.Start{Host: "other", PathPrefix: testPath, Origin: v1})
	w.restartAll()
	_, source := w.vm(0).Find(t.Context(), streamOf(1), "m", window)
	assert.Equal(t, source, Only)
}

// Guards against streams of the earlier version that are unknown to the archive since they began before the
// later one appeared.
func TestStreamsThatBeganBeforeARelease(t *testing.T) {
	w := newNetwork(4)
	w.store.starts = startsAt("v1")
	for _, vm := range w.vms {
		vm.Archive.read(t.Context())
		vm.Archive.checkAmbiguous(vm.Archive.starts.SetVisible(w.clock.T, startsAt("v1"), window))
	}
	for key := origin.Key(1); key <= 50; key++ {
		w.vm(0).Record(streamOf(key), v1, time.Minute)
	}
	for _, vm := range w.vms {
		vm.Archive.appendPending(t.Context())
	}
	assert.Equal(t, len(w.store.origins), 0, "one version costs nothing")
	w.clock.T = w.clock.T.Add(3 * time.Second)
	for _, vm := range w.vms {
		vm.Archive.checkAmbiguous(vm.Archive.starts.SetVisible(w.clock.T, startsAt("v1", "v2"), window))
		vm.Archive.recordMissing(t.Context())
	}
	for _, vm := range w.vms {
		vm.Archive.appendPending(t.Context())
	}
	w.restartAll()
	for key := origin.Key(1); key <= 50; key++ {
		o, source := w.vm(1).Find(t.Context(), streamOf(key), "m", window)
		assert.Equal(t, source, Stored)
		assert.Equal(t, o, v1)
	}
}

// Guards against calls for each stream that is taken up: those that come together share one.
func TestLookupsShareARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(1)
		w.store.starts = startsAt("v1", "v2")
		a := w.newArchive()
		a.Clock = clock.Boot{}
		var lookups sync.WaitGroup
		for key := range origin.Key(100) {
			lookups.Go(func() {
				_, known, possible, err := a.Lookup(t.Context(), streamOf(key+1))
				assert.Check(t, err == nil && !known && len(possible) == 2)
			})
		}
		lookups.Wait()
		assert.Assert(t, w.store.calls <= 2*2, "%d calls", w.store.calls)
	})
}

// Guards against origins that are lost with one failed call, and against memory without a bound.
func TestFailedAppendsAreRepeated(t *testing.T) {
	w := newNetwork(1)
	a := w.newArchive()
	w.store.down = true
	for key := range origin.Key(maxPending + 5) {
		a.Add(Archived{key + 1, v1})
	}
	a.appendPending(t.Context())
	w.store.down = false
	a.appendPending(t.Context())
	assert.Equal(t, len(w.store.origins), maxPending)
}

// Guards against a record that grows with each release.
func TestObsoleteStartsAreDropped(t *testing.T) {
	w := newNetwork(1)
	a := w.newArchive()
	a.starts.SetVisible(w.clock.T, startsAt("v1"), window)
	a.recordMissing(t.Context())
	a.starts.SetVisible(w.clock.T, startsAt("v2"), window)
	w.clock.T = w.clock.T.Add(retryInterval)
	a.recordMissing(t.Context())
	assert.Equal(t, len(w.store.starts), 2)
	w.clock.T = w.clock.T.Add(2*window - retryInterval)
	a.dropObsolete(t.Context())
	assert.Equal(t, len(w.store.starts), 2, "a caller may still take up a stream")
	w.clock.T = w.clock.T.Add(time.Second)
	a.dropObsolete(t.Context())
	assert.DeepEqual(t, w.store.starts, startsAt("v2"))
}

// rejectingStore is a store that takes no origins from one VM.
type rejectingStore struct {
	*memoryStore
	appends atomic.Int64 // that it rejected
}

func (s *rejectingStore) AppendOrigins(context.Context, []Archived) error {
	s.appends.Add(1)
	return driver.ErrRefused
}

// Guards against streams whose origins are lost with all VMs, although others than the VMs that write origins reach
// the store.
func TestOriginsAreWrittenByVMsThatReachTheStore(t *testing.T) {
	w := newNetwork(MaxArchivers)
	w.store.starts = startsAt("v1", "v2")
	order := w.vm(0).Archivers()
	rejected := &rejectingStore{memoryStore: w.store}
	for _, name := range order[:MaxArchivers-1] {
		w.vms[name].Archive.Store = rejected
	}
	for _, vm := range w.vms {
		vm.Archive.read(t.Context())
	}
	for stream := origin.Key(1); stream <= 3*sendBatch; stream++ {
		w.vm(0).Record(streamOf(stream), v1, time.Minute)
	}
	for _, name := range order {
		w.vms[name].Archive.appendPending(t.Context())
	}
	for stream := origin.Key(1); stream <= 3*sendBatch; stream++ {
		assert.Check(t, slices.Contains(w.store.origins, Archived{stream, v1}), "stream %d isn't archived", stream)
	}
}

// Guards against VMs that pass on the same origins with each attempt to write them, while the store rejects all.
func TestOriginsAreHandedOverOnce(t *testing.T) {
	w := newNetwork(MaxArchivers)
	w.store.starts = startsAt("v1", "v2")
	for _, vm := range w.vms {
		vm.Archive.read(t.Context())
		vm.Archive.Store = &rejectingStore{memoryStore: w.store}
	}
	w.vm(0).Record(streamOf(1), v1, time.Minute)
	w.sent = 0
	for range 5 {
		for _, name := range w.vm(0).Archivers() {
			w.vms[name].Archive.appendPending(t.Context())
		}
	}
	assert.Equal(t, w.sent, MaxArchivers-Writers)
	w.store.origins = nil
	for _, vm := range w.vms {
		vm.Archive.Store = w.store
		vm.Archive.appendPending(t.Context())
	}
	assert.Equal(t, len(w.store.origins), MaxArchivers, "an origin was lost")
}

// Guards against a version that stays unused for a second and third call after it was written, which a slow store takes
// long for, and against one that counts as recorded although a restore has lost it.
func TestWrittenVersionIsUsedAtOnce(t *testing.T) {
	for _, isRestored := range []bool{false, true} {
		w := newNetwork(1)
		a := w.newArchive()
		newest := era.First
		a.Era = func() (era.Era, clock.Time) { return newest, w.clock.T }
		w.store.starts = startsAt("v1")
		a.starts.SetVisible(w.clock.T, startsAt("v1"), window)
		a.read(t.Context())
		w.clock.T = w.clock.T.Add(time.Second)
		a.starts.SetVisible(w.clock.T, startsAt("v1", "v2"), window)
		a.Store = &unreadableStore{memoryStore: w.store, onPut: func() {
			if isRestored {
				newest++
			}
		}}
		w.store.calls = 0
		a.recordMissing(t.Context())
		assert.Equal(t, w.store.calls, 1)
		assert.Equal(t, a.starts.MayBegin(w.clock.T, &startsAt("v2")[0]), !isRestored)
	}
}

// unreadableStore is a store that takes starts and returns no records.
type unreadableStore struct {
	*memoryStore
	onPut func()
}

func (s *unreadableStore) Records(context.Context) (Records, error) {
	return Records{}, driver.ErrRefused
}

func (s *unreadableStore) PutStarts(ctx context.Context, starts []origin.Start) error {
	s.onPut()
	return s.memoryStore.PutStarts(ctx, starts)
}

// Guards against origins that wait for the append before theirs, while a slow store is at it: they are lost with all
// VMs.
func TestAppendsDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 700 * time.Millisecond
		w := newNetwork(1)
		a := w.newArchive()
		a.Store = &slowStore{memoryStore: w.store, latency: latency}
		ctx, cancel := context.WithCancel(t.Context())
		var appends sync.WaitGroup
		appends.Go(func() { _ = a.runAppends(ctx) })
		for key := range origin.Key(30) {
			a.Add(Archived{key + 1, v1})
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(latency + appendInterval - 50*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, len(w.store.origins), 30)
		cancel()
		appends.Wait()
	})
}

// Guards against calls without a bound, while a slow store takes origins.
func TestAppendsUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(1)
		a := w.newArchive()
		slow := &slowStore{memoryStore: w.store, latency: time.Minute}
		a.Store = slow
		ctx, cancel := context.WithCancel(t.Context())
		var appends sync.WaitGroup
		appends.Go(func() { _ = a.runAppends(ctx) })
		for key := range origin.Key(100) {
			a.Add(Archived{key + 1, v1})
			time.Sleep(appendInterval)
		}
		assert.Equal(t, slow.underWay.Load(), int64(maxAppends))
		cancel()
		appends.Wait()
	})
}

// slowStore is a store that takes long for an append.
type slowStore struct {
	*memoryStore
	latency  time.Duration
	underWay atomic.Int64
}

func (s *slowStore) AppendOrigins(ctx context.Context, origins []Archived) error {
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	if !clock.Sleep(ctx, s.latency) {
		return ctx.Err()
	}
	return s.memoryStore.AppendOrigins(ctx, origins)
}

// Guards against writers that append in step: what begins right after an append would be lost with all VMs for the
// whole interval, although there are two of them.
func TestWritersAppendOutOfStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(Writers)
		w.store.starts = startsAt("v1", "v2")
		ctx, cancel := context.WithCancel(t.Context())
		var appends sync.WaitGroup
		for _, vm := range w.vms {
			vm.Archive.read(ctx)
			vm.Archive.AppendDelay = vm.AppendDelay
			appends.Go(func() { _ = vm.Archive.runAppends(ctx) })
		}
		const step = 10 * time.Millisecond
		for key := origin.Key(1); key <= 100; key++ {
			w.vm(0).Record(streamOf(key), v1, time.Minute)
			time.Sleep(step)
			synctest.Wait()
			if old := key - origin.Key(appendInterval/Writers/step) - 1; old > 0 && old < key {
				w.store.mu.Lock()
				assert.Check(t, slices.Contains(w.store.origins, Archived{old, v1}), "stream %d isn't archived", old)
				w.store.mu.Unlock()
			}
		}
		cancel()
		appends.Wait()
	})
}
