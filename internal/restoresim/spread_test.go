package restoresim

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/clock"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/wire"
)

const (
	// spreadRounds is how often a VM with news sends to three others at once, and spreadGap the time
	// between two of these rounds.
	spreadRounds = 2
	spreadGap    = 60 * time.Millisecond
	// spreadPeriod is the time between two messages of a VM to three others without news.
	spreadPeriod = 750 * time.Millisecond
	// fallbackReaders is the number of VMs that read the endpoints around an outage, and fallbackTime how
	// long they go on after it.
	fallbackReaders = 8
	fallbackTime    = 1500 * time.Millisecond
	// spreadRewind is the number of records that the store loses in a rewind.
	spreadRewind = 4
	// maxSentPerPublication bounds the changes that a VM sends for each record that was written or lost: a
	// deletion may be announced once as kept and once as final, each time in 16 messages.
	maxSentPerPublication = 2 * 16
	// maxLeavingTime is the time within which VMs obey a deletion that one of them reads as a record.
	maxLeavingTime = 2 * time.Second
)

// spread counts the changes of endpoints' entries between VMs.
type spread struct {
	mu         sync.Mutex
	sent       map[int]int // changes by VM
	bytes      map[int]int // of these changes
	received   int
	applied    int // changes of what a VM knows
	values     map[applied]int
	deleted    map[applied]*deletions
	lines      map[string]int    // log lines by message
	firstAt    map[int]time.Time // when a VM that reads for all first read the store after the outage
	outageOver bool
	failures   map[string]struct{}
}

// applied is a value, or any deletion, of a key at a VM.
type applied struct {
	vm         int
	key, value string
}

// deletions counts how often a VM has applied the deletion of a key since it had a value.
type deletions struct{ kept, final int }

func newSpread() *spread {
	return &spread{
		sent: map[int]int{}, bytes: map[int]int{}, values: map[applied]int{}, deleted: map[applied]*deletions{}, lines: map[string]int{},
		firstAt: map[int]time.Time{}, failures: map[string]struct{}{},
	}
}

// HandleLog implements log.Handler.
func (s *spread) HandleLog(e *log.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines[e.Message]++
	return nil
}

// countLines has s count the lines of the log until the test ends.
func countLines(t *testing.T, s *spread) {
	l := log.Log.(*log.Logger)
	handler, level := l.Handler, l.Level
	t.Cleanup(func() { l.Handler, l.Level = handler, level })
	l.Handler, l.Level = s, log.InfoLevel
}

func (s *spread) recordSent(v *simVM, b *wire.Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range b.GetChanges() {
		s.sent[v.id]++
		s.bytes[v.id] += proto.Size(c)
	}
}

func (s *spread) recordReceived(_ *simVM, b *wire.Beat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received += len(b.GetChanges())
}

// recordRead records that a VM has read the endpoints, if it reads for all VMs.
func (s *spread) recordRead(v *simVM) {
	reads := v.isReader(v.w.endpointReaders()) && !v.isIsolated()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.firstAt[v.id]; !ok && reads && s.outageOver {
		s.firstAt[v.id] = time.Now()
	}
}

// recordApply records that e was passed to a VM's catalog and whether it changed what the VM knows, so that
// the VM announces it.
func (s *spread) recordApply(v *simVM, e keyedlog.Entry, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !changed {
		return
	}
	s.applied++
	id := applied{v.id, e.Key, string(e.Value)}
	if e.Value != nil {
		delete(s.deleted, applied{v.id, e.Key, ""})
		if s.values[id]++; s.values[id] > 1 {
			s.fail("a value is applied again")
		}
		return
	}
	d := s.deleted[id]
	if d == nil {
		d = &deletions{}
		s.deleted[id] = d
	}
	if e.GracePeriod > 0 {
		d.kept++
	} else {
		d.final++
	}
	if d.kept > 1 || d.final > 1 || (e.GracePeriod > 0 && d.final > 0) {
		s.fail("a deletion is applied again")
	}
}

func (s *spread) fail(what string) { s.failures[what] = struct{}{} }

// endpointReaders returns how many VMs read the endpoints for all.
func (w *simWorld) endpointReaders() int {
	if w.spread == nil || (!w.storeDown() && time.Since(w.faultAt) > fallbackTime) {
		return 2
	}
	return fallbackReaders
}

func (w *simWorld) storeDown() bool {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return w.store.down
}

// spreadOutage is an outage of the store.
type spreadOutage struct {
	vms     int
	lasts   time.Duration
	sameEra bool // the store begins no new era
	lost    int  // records that a rewind loses
	cutOff  bool // one VM gets no datagrams during the outage and for a second after it
}

func (o spreadOutage) String() string {
	return fmt.Sprintf("vms=%d,lasts=%s,same_era=%t,lost=%d,cutoff=%t", o.vms, o.lasts, o.sameEra, o.lost, o.cutOff)
}

// spreadResult says what an outage caused.
type spreadResult struct {
	publications      int // records that were written or lost from the outage on
	sent, bytes       int // changes that the VM sent that sent most, and their bytes
	received, applied int // changes at all VMs
	lines             map[string]int
	slowest, obeyed   time.Duration // until VMs obeyed a leaving: of all, and of those that a reader has read as a record, at VMs that weren't cut off
	failures          []string
}

// simulateOutage simulates an outage, after which endpoints delete their entries.
func simulateOutage(t *testing.T, seed uint64, o spreadOutage) (r spreadResult) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newSimWorld(ctx, seed, withEras, o.vms)
		w.spread = newSpread()
		countLines(t, w.spread)
		w.publish()
		for range 12 {
			w.addEndpoint()
		}
		for _, v := range w.vms {
			v.start()
			w.wg.Go(func() { v.sendNews(ctx) })
		}
		time.Sleep(6 * time.Second)
		for range spreadRewind {
			w.addEndpoint()
		}
		time.Sleep(3 * time.Second) // until nobody announces these any more
		w.spread.reset()
		before := len(w.store.logs[endpointLog])
		w.outage(o)
		w.leaveAfterOutage(o, &r)
		r.publications = len(w.store.logs[endpointLog]) - before + 2*o.lost
		cancel()
		w.wg.Wait()
		w.spread.result(&r)
	})
	return r
}

// reset forgets what was counted so far.
func (s *spread) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received, s.applied = 0, 0
	clear(s.sent)
	clear(s.bytes)
	clear(s.lines)
}

func (s *spread) result(r *spreadResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.sent, r.bytes = slices.Max(slices.Collect(maps.Values(s.sent))), slices.Max(slices.Collect(maps.Values(s.bytes)))
	r.received, r.applied, r.lines = s.received, s.applied, s.lines
	r.failures = slices.Sorted(maps.Keys(s.failures))
}

// sendNews sends a VM's updates to others as package swim does: at once if there are any, and regularly.
func (v *simVM) sendNews(ctx context.Context) {
	next := time.Now()
	_ = clock.Every(ctx, spreadGap, func() {
		switch {
		case v.pushRounds.Load() > 0:
			v.pushRounds.Add(-1)
		case time.Now().Before(next):
			return
		default:
			next = time.Now().Add(spreadPeriod)
		}
		v.w.push(v)
	})
}

// cutOffVM returns the VM that gets no datagrams around an outage.
func (w *simWorld) cutOffVM() *simVM { return w.vms[len(w.vms)/2] }

func (v *simVM) isIsolated() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isolated
}

// outage makes the store unavailable and restores it, without its newest records if o says so.
func (w *simWorld) outage(o spreadOutage) {
	s, isolated := w.store, w.cutOffVM()
	isolate := func(on bool) {
		isolated.mu.Lock()
		defer isolated.mu.Unlock()
		isolated.isolated = o.cutOff && on
	}
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	isolate(true)
	time.Sleep(o.lasts)
	s.mu.Lock()
	s.down = false
	if !o.sameEra {
		s.era++
	}
	s.logs[endpointLog] = slices.Clone(s.logs[endpointLog][:len(s.logs[endpointLog])-o.lost])
	s.wake()
	s.mu.Unlock()
	w.faultAt = time.Now()
	w.spread.endOutage()
	w.wg.Go(func() {
		time.Sleep(time.Second)
		isolate(false)
	})
}

func (s *spread) endOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageOver = true
}

// expiryTime is the length of an outage in which the entries of live endpoints expire.
const expiryTime = 3600 * time.Millisecond

// liveTime is the time after an outage in which no VM may drop an endpoint that couldn't write. Later it depends
// on when the endpoint writes again.
const liveTime = time.Second

// expireLive has the store delete the entries of two live endpoints shortly after an outage in which they
// couldn't write for expiryTime. They write again when they notice it.
func (w *simWorld) expireLive(o spreadOutage) {
	if o.lasts < expiryTime {
		return
	}
	w.wg.Go(func() {
		for _, e := range w.endpoints[10:12] {
			w.store.put(endpointLog, e.id, "")
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// leaveAfterOutage has endpoints delete their entries at some times after an outage, and records how long VMs
// go on using them.
func (w *simWorld) leaveAfterOutage(o spreadOutage, r *spreadResult) {
	left := map[string]time.Time{}
	w.expireLive(o)
	for i, wait := range []time.Duration{0, 150, 150, 300, 300} {
		time.Sleep(wait * time.Millisecond)
		e := w.endpoints[i]
		e.gone = true
		w.store.put(endpointLog, e.id, "")
		left[e.id] = time.Now()
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, v := range w.vms {
			available := v.available()
			for _, live := range w.endpoints[len(left):] {
				if time.Since(w.faultAt) < liveTime && !slices.Contains(available, live.id) {
					w.spread.fail(fmt.Sprintf("VM %d doesn't use the live endpoint %s", v.id, live.id))
				}
			}
			for _, e := range available {
				at, ok := left[e]
				if !ok {
					continue
				}
				r.slowest = max(r.slowest, time.Since(at))
				if cutOff := o.cutOff && v == w.cutOffVM(); !cutOff && w.spread.wasReadBefore(at) {
					r.obeyed = max(r.obeyed, time.Since(at))
				}
			}
		}
	}
	for _, v := range w.vms {
		if got := len(v.available()); got != len(w.endpoints)-len(left) {
			w.spread.fail(fmt.Sprintf("VM %d uses %d endpoints at the end, want %d", v.id, got, len(w.endpoints)-len(left)))
		}
	}
}

// wasReadBefore reports whether a VM that reads for all had read the restored store before at, so that it
// reads what is written then as a record.
func (s *spread) wasReadBefore(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, first := range s.firstAt {
		if first.Before(at) {
			return true
		}
	}
	return false
}

// available returns the ids of the endpoints that the VM uses.
func (v *simVM) available() (ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.store.View().Available("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against VMs that repeat the end of an entry to each other for as long as they keep the endpoint,
// as they have it as a record and as a missing key after an outage of the store.
func TestEachChangeIsAnnouncedOnce(t *testing.T) {
	for _, o := range spreadOutages() {
		t.Run(o.String(), func(t *testing.T) {
			for seed := range uint64(spreadSeeds(o.vms)) {
				checkSpread(t, seed, o, simulateOutage(t, seed, o))
			}
		})
	}
}

func spreadOutages() (all []spreadOutage) {
	const short, long = 500 * time.Millisecond, 4 * time.Second
	for _, vms := range []int{6, 60, 300} {
		for _, cutOff := range []bool{false, true} {
			all = append(all,
				spreadOutage{vms: vms, lasts: short, sameEra: true, cutOff: cutOff},
				spreadOutage{vms: vms, lasts: short, cutOff: cutOff},
				spreadOutage{vms: vms, lasts: short, lost: spreadRewind, cutOff: cutOff},
			)
		}
		all = append(all, spreadOutage{vms: vms, lasts: long, sameEra: true}, spreadOutage{vms: vms, lasts: long})
	}
	return all
}

// spreadSeeds returns the number of seeds for a number of VMs.
func spreadSeeds(vms int) int {
	if vms <= 6 {
		return max(*simSeeds/3, 1)
	}
	return 1
}

func checkSpread(t *testing.T, seed uint64, o spreadOutage, r spreadResult) {
	t.Helper()
	t.Logf("seed %d: %d publications; changes sent by a VM %d (%d bytes), received %d and applied %d a VM; a leaving obeyed after %s, %s if read as a record; lines %v",
		seed, r.publications, r.sent, r.bytes, r.received/o.vms, r.applied/o.vms, r.slowest, r.obeyed, r.lines)
	for _, f := range r.failures {
		t.Errorf("seed %d: %s", seed, f)
	}
	if limit := maxSentPerPublication * r.publications; r.sent > limit {
		t.Errorf("seed %d: a VM sends %d changes for %d publications, at most %d are expected", seed, r.sent, r.publications, limit)
	}
	if o.lasts < expiryTime && r.obeyed > maxLeavingTime {
		t.Errorf("seed %d: a leaving that a VM has read as a record is obeyed after %s", seed, r.obeyed)
	}
}
