package restoresim

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/era"
	"fescuestand/internal/gateway"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/wire"
)

const (
	simVMs       = 6
	simFaultTime = 40 * time.Second
	// simQuietTime is longer than the time between two reads of a VM that doesn't read for all.
	simQuietTime = 45 * time.Second
	// simReaction is the time within which a configuration must be in force at each VM, and simCalm the
	// time without faults before its publication from which that holds.
	simReaction = 2 * time.Second
	simCalm     = 3 * time.Second
)

// design says what VMs know of restores.
type design int

const (
	withEras    design = iota // the one that is built
	offsetsOnly               // records are ordered by their offsets alone
	forgetting                // a VM drops all that it knows when an era begins
	rereading                 // each read returns all newest records, ordered by their content alone
)

// simClock is a clock in the bubble's time.
type simClock struct{}

func (simClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

type simRecord struct{ key, value string }

// simStore is the store: the logs of the configuration and of the endpoints.
type simStore struct {
	mu      sync.Mutex
	era     era.Era
	logs    [2][]simRecord
	changed chan struct{}
	down    bool
	hang    bool // waiting reads get no answer over a restore
	calls   int
	bytes   int
}

const (
	configLog = iota
	endpointLog
)

func (s *simStore) put(log int, key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.logs[log] = append(s.logs[log], simRecord{key, value})
	s.wake()
	return true
}

func (s *simStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *simStore) newest(log int, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Backward(s.logs[log]) {
		if r.key == key {
			return r.value
		}
	}
	return ""
}

// simSource is the client of one VM for one log.
type simSource struct {
	vm  *simVM
	log int
	rng *rand.Rand
}

var errSimCut = errors.New("no answer")

// answer delivers what was read under the lock, after a delay.
func (c *simSource) answer(ctx context.Context, e era.Era) (era.Era, error) {
	delay := time.Duration(c.rng.IntN(5)) * time.Millisecond
	if c.rng.IntN(25) == 0 {
		delay = time.Duration(c.rng.IntN(700)) * time.Millisecond // it may arrive after a restore
	}
	if !clock.Sleep(ctx, delay) || c.vm.isCut() {
		return era.None, errSimCut
	}
	if d := c.vm.w.design; d == offsetsOnly || d == rereading {
		return era.None, nil
	}
	c.vm.eras.Observe(e, "read")
	return e, nil
}

// begin counts a call. It fails if the store can't be reached.
func (c *simSource) begin(ctx context.Context) error {
	s := c.vm.w.store
	s.mu.Lock()
	s.calls++
	unavailable := s.down
	s.mu.Unlock()
	if unavailable || c.vm.isCut() {
		clock.Sleep(ctx, 300*time.Millisecond)
		return errSimCut
	}
	return nil
}

// Newest implements keyedlog.Source.
func (c *simSource) Newest(ctx context.Context, _ string) (keyedlog.NewestPage, error) {
	if err := c.begin(ctx); err != nil {
		return keyedlog.NewestPage{}, err
	}
	s := c.vm.w.store
	s.mu.Lock()
	e, newest, end := s.era, map[string]keyedlog.Entry{}, len(s.logs[c.log])
	for i, r := range s.logs[c.log] {
		newest[r.key] = keyedlog.Entry{Key: r.key, Value: []byte(r.value), Position: era.Position{Offset: int64(i)}}
		if r.value == "" {
			delete(newest, r.key)
		}
	}
	for _, entry := range newest {
		s.bytes += len(entry.Key) + len(entry.Value)
	}
	s.mu.Unlock()
	e, err := c.answer(ctx, e)
	entries := slices.Collect(maps.Values(newest))
	for i := range entries {
		entries[i].Position.Era = e
		if c.vm.w.design == rereading {
			entries[i].Position.Offset = 0
		}
	}
	if c.vm.w.design == rereading {
		end = 1
	}
	return keyedlog.NewestPage{Entries: entries, End: era.Position{Era: e, Offset: int64(end)}}, err
}

// Read implements keyedlog.Source.
func (c *simSource) Read(ctx context.Context, from era.Position, wait time.Duration) (keyedlog.Page, error) {
	if err := c.begin(ctx); err != nil {
		return keyedlog.Page{}, err
	}
	if c.vm.w.design == rereading {
		return keyedlog.Page{}, driver.ErrExpired
	}
	s := c.vm.w.store
	deadline := time.After(wait)
	s.mu.Lock()
	begun := s.era
	for {
		records, e, changed := s.logs[c.log], s.era, s.changed
		hangs := e != begun && s.hang && wait > 0
		end := int64(len(records))
		if !hangs && (from.Offset != end || wait == 0) {
			s.mu.Unlock()
			return c.read(ctx, records, from, e)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-ctx.Done():
			return keyedlog.Page{}, ctx.Err()
		}
		s.mu.Lock()
	}
}

func (c *simSource) read(ctx context.Context, records []simRecord, from era.Position, e era.Era) (keyedlog.Page, error) {
	e, err := c.answer(ctx, e)
	if err != nil {
		return keyedlog.Page{}, err
	}
	if from.Offset > int64(len(records)) {
		return keyedlog.Page{}, driver.ErrExpired
	}
	end := int64(len(records))
	page := keyedlog.Page{Next: era.Position{Era: e, Offset: end}, End: end}
	for i, r := range records[from.Offset:] {
		entry := keyedlog.Entry{Key: r.key, Position: era.Position{Era: e, Offset: from.Offset + int64(i)}}
		if r.value != "" {
			entry.Value = []byte(r.value)
		}
		page.Entries = append(page.Entries, entry)
	}
	return page, nil
}

// simVM is a VM; its process starts anew now and then.
type simVM struct {
	w    *simWorld
	id   int
	rng  *rand.Rand
	stop func()

	mu       sync.Mutex
	cut      bool // the store can't be reached
	isolated bool // no datagram arrives
	eras     *era.Tracker
	store    *catalog.Store
	config   *keyedlog.Entry // in force
	version  uint64
	gossip   *gateway.GossipContent
	configs  *keyedlog.Follower
	left     map[string]bool // endpoints that the process knows to have left

	pushRounds atomic.Int32 // times that updates are sent at once, if changes are counted
}

func (v *simVM) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
}

// isReader reports whether the VM is one of the first n that reach the store.
func (v *simVM) isReader(n int) bool {
	for _, o := range v.w.vms {
		if n == 0 || o == v {
			break
		}
		if !o.isCut() {
			n--
		}
	}
	return n > 0
}

// start starts a process that knows nothing.
func (v *simVM) start() {
	ctx, cancel := context.WithCancel(v.w.ctx)
	v.mu.Lock()
	defer v.mu.Unlock()
	c := simClock{}
	v.eras, v.store, v.config, v.version, v.left = era.NewTracker(c), catalog.NewStore(c), nil, 0, map[string]bool{}
	store := v.store
	endpoints := keyedlog.New("endpoints", &simSource{v, endpointLog, rand.New(rand.NewPCG(v.rng.Uint64(), 1))})
	changes := gateway.NewChanges(c, v.eras, endpoints)
	changes.IsReader = func() bool { return v.isReader(v.w.endpointReaders()) }
	endpoints.Eras, endpoints.Clock = v.eras, c
	endpoints.Apply = func(e keyedlog.Entry) bool { v.applyEndpoint(store, changes, e); return true }
	endpoints.OnReadError = store.RecordOutage
	endpoints.OnRead = func(clock.Time) {
		changes.RecordRead(endpoints.Next())
		if v.w.spread != nil {
			v.w.spread.recordRead(v)
		}
	}
	endpoints.ReadInterval = func() time.Duration {
		if v.isReader(v.w.endpointReaders()) {
			return 600 * time.Millisecond
		}
		return 25*time.Second + time.Duration(v.id)*time.Second
	}
	v.configs = keyedlog.New("config", &simSource{v, configLog, rand.New(rand.NewPCG(v.rng.Uint64(), 2))})
	configs := v.configs
	configs.Eras, configs.Clock, configs.SingleKey = v.eras, c, true
	configs.Apply = func(e keyedlog.Entry) bool { v.applyConfig(configs, e); return true }
	configs.ReadWait = func() time.Duration {
		if v.isReader(3) {
			return 20 * time.Second
		}
		return 0
	}
	configs.ReadInterval = func() time.Duration {
		if v.isReader(3) {
			return 400 * time.Millisecond
		}
		return 25 * time.Second
	}
	v.eras.OnRestore(func() {
		store.RecordOutage()
		if v.isReader(3) {
			configs.Wake()
		}
		if v.w.design == forgetting {
			go v.restart()
		}
	})
	v.gossip = &gateway.GossipContent{
		Clock: c, Eras: v.eras, Planner: place.New("z", uint64(v.id)), Pressure: backpressure.New(uint64(v.id)), Crashes: crash.New(), Catalog: store,
		Changes: changes, RequestRate: func() float64 { return 0 }, OnOrder: func(string) {},
		OnPeerConfigVersion: func(from string, version uint64) { v.pull(configs, from, version) },
		OnChange:            v.pushSoon,
	}
	v.stop = cancel
	v.w.wg.Go(func() { _ = configs.Run(ctx) })
	v.w.wg.Go(func() { _ = endpoints.Run(ctx) })
	v.w.wg.Go(func() { _ = clock.Every(ctx, 250*time.Millisecond, store.RemoveExpired) })
	if v.w.spread == nil {
		v.w.wg.Go(func() { _ = clock.Every(ctx, 200*time.Millisecond, func() { v.w.push(v) }) })
	}
}

func (v *simVM) restart() {
	v.stop()
	v.start()
}

func (v *simVM) applyConfig(f *keyedlog.Follower, e keyedlog.Entry) {
	n, err := strconv.ParseUint(string(e.Value), 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil || f != v.configs || n <= v.version {
		return
	}
	v.version, v.config = n, &e
	if n < v.w.highest[v.id] && v.w.design == forgetting {
		v.w.fail("VM %d goes back from configuration %d to %d", v.id, v.w.highest[v.id], n)
	}
	v.w.highest[v.id] = max(v.w.highest[v.id], n)
	v.store.SetConfig(catalog.NewConfig(n, nil, nil))
}

// pull takes a newer configuration from another VM, as configsync does.
func (v *simVM) pull(f *keyedlog.Follower, from string, version uint64) {
	v.mu.Lock()
	behind := version > v.version
	v.mu.Unlock()
	if !behind {
		return
	}
	id, _ := strconv.Atoi(from)
	o := v.w.vms[id]
	o.mu.Lock()
	e := o.config
	o.mu.Unlock()
	if e != nil {
		f.ReceiveEntry(*e)
	}
}

func (v *simVM) applyEndpoint(s *catalog.Store, x *gateway.Changes, e keyedlog.Entry) {
	changed := false
	switch {
	case e.Value != nil:
		changed = s.SetEndpoint(parseSimEndpoint(e.Key, string(e.Value)))
	case e.Final:
		changed = s.EndEndpoint(e.Key)
	case e.GracePeriod > 0:
		changed = s.ExpireAfter(e.Key, e.Missing, e.GracePeriod)
	default:
		changed, e.GracePeriod = s.RemoveEndpoint(e.Key, e.Missing)
	}
	if v.w.spread != nil {
		v.w.spread.recordApply(v, e, changed)
	}
	if changed {
		x.RecordApplied(e)
		v.pushSoon()
	}
}

// pushSoon sends the updates of the VM to others.
func (v *simVM) pushSoon() {
	if v.w.spread == nil {
		go v.w.push(v)
		return
	}
	v.pushRounds.Store(spreadRounds)
}

// simEndpoint is an endpoint as it is.
type simEndpoint struct {
	id       string
	sequence int64
	draining bool
	gone     bool
}

func (e *simEndpoint) entry() string { return fmt.Sprintf("%d %t", e.sequence, e.draining) }

func parseSimEndpoint(id, value string) *catalog.Endpoint {
	sequence, draining, _ := strings.Cut(value, " ")
	n, _ := strconv.ParseInt(sequence, 10, 64)
	return &catalog.Endpoint{ID: id, Service: "s", Sequence: n, Born: 1, Draining: draining == "true"}
}

// simWorld is one run.
type simWorld struct {
	design    design
	rng       *rand.Rand
	ctx       context.Context
	wg        sync.WaitGroup
	store     *simStore
	vms       []*simVM
	endpoints []*simEndpoint
	version   uint64
	faultAt   time.Time // end of the last fault
	highest   []uint64  // configuration version in force at each VM since its start
	spread    *spread   // counts changes between VMs, nil if they aren't counted

	failMu   sync.Mutex
	failures []string
}

func (w *simWorld) fail(format string, args ...any) {
	w.failMu.Lock()
	defer w.failMu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// push sends a VM's updates to three others; datagrams are lost and late.
func (w *simWorld) push(v *simVM) {
	v.mu.Lock()
	g, isolated := v.gossip, v.isolated
	v.mu.Unlock()
	for range 3 {
		b := &wire.Beat{Probe: &wire.Probe{}}
		g.FillUpdates(b)
		if w.spread != nil {
			w.spread.recordSent(v, b)
		}
		v.mu.Lock()
		to := w.vms[v.rng.IntN(len(w.vms))]
		lost, delay := v.rng.IntN(10) == 0, time.Duration(1+v.rng.IntN(20))*time.Millisecond
		if v.rng.IntN(50) == 0 {
			delay = time.Duration(v.rng.IntN(3000)) * time.Millisecond
		}
		v.mu.Unlock()
		if lost || isolated || to == v {
			continue
		}
		w.wg.Go(func() {
			if !clock.Sleep(w.ctx, delay) {
				return
			}
			to.mu.Lock()
			receiver, deaf := to.gossip, to.isolated
			to.mu.Unlock()
			if !deaf {
				if w.spread != nil {
					w.spread.recordReceived(to, b)
				}
				receiver.Receive(strconv.Itoa(v.id), b)
			}
		})
	}
}

// publish publishes a configuration and checks that it comes into force, if there are no faults.
func (w *simWorld) publish() {
	w.version += uint64(1 + w.rng.IntN(4))
	published, version := time.Now(), w.version
	if !w.store.put(configLog, "config", strconv.FormatUint(version, 10)) {
		w.rewriteConfig(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
		return
	}
	calm := published.Sub(w.faultAt) > simCalm
	w.wg.Go(func() {
		if !clock.Sleep(w.ctx, simReaction) || !calm || w.faultAt.After(published.Add(-simCalm)) {
			return
		}
		for _, v := range w.vms {
			v.mu.Lock()
			if v.version < version {
				w.fail("VM %d has configuration %d %s after %d was published", v.id, v.version, simReaction, version)
			}
			v.mu.Unlock()
		}
	})
}

// rewriteConfig has the operators write the newest configuration again once the store is available.
func (w *simWorld) rewriteConfig(delay time.Duration) {
	w.wg.Go(func() {
		clock.Sleep(w.ctx, delay)
		for w.ctx.Err() == nil {
			newest := strconv.FormatUint(w.version, 10)
			if w.store.newest(configLog, "config") == newest || w.store.put(configLog, "config", newest) {
				return
			}
			clock.Sleep(w.ctx, 200*time.Millisecond)
		}
	})
}

// report has an endpoint write its entry until it is gone: after each change, and when the store has
// lost it.
func (w *simWorld) report(e *simEndpoint) {
	delay := time.Duration(w.rng.IntN(1500)) * time.Millisecond
	w.wg.Go(func() {
		written := ""
		_ = clock.Every(w.ctx, 300*time.Millisecond, func() {
			in := w.store.newest(endpointLog, e.id)
			if e.gone || in == e.entry() {
				return
			}
			if in != written && written != "" {
				clock.Sleep(w.ctx, delay) // the store was restored
				e.sequence++
			}
			if !e.gone && w.store.put(endpointLog, e.id, e.entry()) {
				written = e.entry()
			}
		})
	})
}

func (w *simWorld) addEndpoint() {
	e := &simEndpoint{id: fmt.Sprint("e", len(w.endpoints)), sequence: 1}
	w.endpoints = append(w.endpoints, e)
	w.report(e)
}

// leave has an endpoint leave, in most cases with a report that says so.
func (w *simWorld) leave() {
	e := w.endpoints[w.rng.IntN(len(w.endpoints))]
	if e.gone || e.draining {
		return
	}
	if w.rng.IntN(3) > 0 {
		e.draining = true
		e.sequence++
	}
	w.addEndpoint()
	after := time.Duration(1000+w.rng.IntN(3000)) * time.Millisecond
	w.wg.Go(func() {
		clock.Sleep(w.ctx, after)
		e.gone = true
		for w.ctx.Err() == nil && !w.store.put(endpointLog, e.id, "") {
			clock.Sleep(w.ctx, 200*time.Millisecond)
		}
		// The store expires the entry again if a restore has undone that.
		_ = clock.Every(w.ctx, 3*time.Second, func() {
			if w.store.newest(endpointLog, e.id) != "" {
				w.store.put(endpointLog, e.id, "")
			}
		})
	})
}

// restore makes the store unavailable for a while and restores it, each log at its own depth.
func (w *simWorld) restore() {
	s := w.store
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down, s.hang = true, w.rng.IntN(2) == 0
	var depth [2]int
	for i := range depth {
		depth[i] = w.rng.IntN(min(len(s.logs[i]), 12) + 1)
	}
	s.mu.Unlock()
	away, delay := time.Duration(w.rng.IntN(2500))*time.Millisecond, time.Duration(w.rng.IntN(1500))*time.Millisecond
	w.wg.Go(func() {
		clock.Sleep(w.ctx, away)
		s.mu.Lock()
		s.down = false
		s.era++
		for i, d := range depth {
			s.logs[i] = slices.Clone(s.logs[i][:max(len(s.logs[i])-d, 0)])
		}
		s.wake()
		s.mu.Unlock()
		w.faultAt = time.Now()
		w.rewriteConfig(delay)
	})
}

// impair lasts for a while; set begins and ends it.
func (w *simWorld) impair(set func(v *simVM, on bool)) {
	v := w.vms[w.rng.IntN(len(w.vms))]
	duration := time.Duration(500+w.rng.IntN(3500)) * time.Millisecond
	apply := func(on bool) {
		v.mu.Lock()
		set(v, on)
		v.mu.Unlock()
		w.faultAt = time.Now()
	}
	apply(true)
	w.wg.Go(func() {
		clock.Sleep(w.ctx, duration)
		apply(false)
	})
}

// checkLeft checks that no VM's process uses an endpoint again that it knew to leave.
func (w *simWorld) checkLeft() {
	for _, v := range w.vms {
		v.mu.Lock()
		available := map[string]bool{}
		for _, e := range v.store.View().Available("s") {
			available[e.ID] = true
		}
		all := map[string]bool{}
		for _, e := range v.store.View().All() {
			all[e.ID] = true
		}
		for _, e := range w.endpoints {
			switch {
			case available[e.id] && v.left[e.id]:
				w.fail("VM %d uses %s again", v.id, e.id)
			case all[e.id] && !available[e.id]:
				v.left[e.id] = true
			}
		}
		v.mu.Unlock()
	}
}

// checkEnd checks that all VMs agree with what is.
func (w *simWorld) checkEnd() {
	want := map[string]bool{}
	for _, e := range w.endpoints {
		if !e.gone && !e.draining {
			want[e.id] = true
		}
	}
	for _, v := range w.vms {
		v.mu.Lock()
		got := map[string]bool{}
		for _, e := range v.store.View().Available("s") {
			got[e.ID] = true
		}
		if v.version != w.version {
			w.fail("VM %d has configuration %d at the end, want %d", v.id, v.version, w.version)
		}
		v.mu.Unlock()
		if !maps.Equal(got, want) {
			w.fail("VM %d uses %v at the end, want %v", v.id, slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
		}
	}
}

// act makes something happen.
func (w *simWorld) act() {
	switch w.rng.IntN(11) {
	case 0, 1, 2:
		w.publish()
	case 3, 4:
		w.leave()
	case 5:
		w.addEndpoint()
	case 6, 7:
		w.restore()
		w.faultAt = time.Now()
	case 8:
		w.impair(func(v *simVM, on bool) { v.cut = on })
	case 9:
		w.impair(func(v *simVM, on bool) { v.isolated = on })
	case 10:
		v := w.vms[w.rng.IntN(len(w.vms))]
		v.restart()
		w.highest[v.id] = 0
		w.faultAt = time.Now()
	}
}

// newSimWorld returns a world of vms VMs that haven't started.
func newSimWorld(ctx context.Context, seed uint64, d design, vms int) *simWorld {
	w := &simWorld{
		design: d, rng: rand.New(rand.NewPCG(seed, 5)), ctx: ctx, highest: make([]uint64, vms),
		store: &simStore{era: era.First, changed: make(chan struct{})},
	}
	for i := range vms {
		w.vms = append(w.vms, &simVM{w: w, id: i, rng: rand.New(rand.NewPCG(seed, uint64(i)+10))})
	}
	return w
}

// simulateRestores returns what is wrong with a run, and the calls of the store and the bytes of its
// newest records that were read.
func simulateRestores(t *testing.T, seed uint64, d design) (failures []string, calls, bytes int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newSimWorld(ctx, seed, d, simVMs)
		w.publish()
		for range 4 {
			w.addEndpoint()
		}
		for _, v := range w.vms {
			v.start()
		}
		for begun := time.Now(); time.Since(begun) < simFaultTime; {
			w.act()
			w.run(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
		}
		w.run(simQuietTime / 2)
		w.publish()
		w.run(simQuietTime / 2)
		w.checkEnd()
		cancel()
		w.wg.Wait()
		failures, calls, bytes = w.failures, w.store.calls, w.store.bytes
	})
	return failures, calls, bytes
}

// run lets time pass.
func (w *simWorld) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		w.checkLeft()
	}
}

var simSeeds = flag.Int("seeds", 12, "number of seeds")

func TestMain(m *testing.M) {
	flag.Parse()
	if !testing.Verbose() {
		log.SetLevel(log.FatalLevel)
	}
	os.Exit(m.Run())
}

// Guards against VMs that drop new configurations, use endpoints again that leave, or lose live ones,
// because the store was restored from an older copy.
func TestVMsAgreeAfterRestores(t *testing.T) {
	for seed := range uint64(*simSeeds) {
		failures, _, _ := simulateRestores(t, seed, withEras)
		for _, f := range failures {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
}

// The same simulation finds faults where records are ordered by their offsets alone, where VMs forget
// what they know when the store was restored, and where deletions aren't ordered.
func TestOtherDesignsFail(t *testing.T) {
	const seeds = 4
	for d, name := range map[design]string{offsetsOnly: "offsets only", forgetting: "forgetting", rereading: "rereading"} {
		failed, calls, bytes := 0, 0, 0
		for seed := range uint64(seeds) {
			f, c, b := simulateRestores(t, seed, d)
			calls, bytes = calls+c, bytes+b
			if len(f) > 0 {
				failed++
			}
		}
		t.Logf("%s: %d of %d seeds fail, %d calls and %d bytes a seed", name, failed, seeds, calls/seeds, bytes/seeds)
		assert.Assert(t, failed > 0, name)
	}
}
