package scenarios

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/standin/relay"
	"fescuestand/platform/standin"
)

const (
	// warmUpTime is the time with load before the first fault, faultPhase the time in which new faults
	// begin, and recoveryTime the time after the last fault until VMs must serve as before.
	warmUpTime   = 2 * time.Second
	faultPhase   = 14 * time.Second
	recoveryTime = 12 * time.Second
	// probeTime is the time with load after the recovery.
	probeTime = 3 * time.Second
	// maxFaultDuration is the maximum duration of one fault.
	maxFaultDuration = 4 * time.Second
	// restartDelay is the time that the platform waits before it restarts a process.
	restartDelay = 700 * time.Millisecond
)

// run runs the callers and injects the faults of the seed. Faults follow one another and overlap; all
// are healed before the recovery is checked.
func (s *soak) run() {
	s.awaitServing()
	ctx, stop := context.WithCancel(s.ctx)
	s.callers(ctx)
	time.Sleep(warmUpTime)
	kinds := soakKinds
	if s.planned() {
		kinds = soakPlanned
	}
	if s.hasCrashingRequest() {
		crashing, stop := context.WithTimeout(ctx, faultPhase)
		defer stop()
		c := s.newCrashingRequest("soak", []string{pathReads, pathResumable}[s.seed%2], standin.CrashPoints()[s.seed%4])
		s.wg.Go(func() { c.retry(crashing) })
	}
	if s.hasPartitions() {
		partitioned, stop := context.WithTimeout(ctx, faultPhase)
		defer stop()
		s.wg.Go(func() { s.partitionVMs(partitioned) })
	}
	var heals []func()
	for end := time.Now().Add(faultPhase); time.Now().Before(end); {
		f := kinds[s.rng.IntN(len(kinds))]
		duration := maxFaultDuration/8 + time.Duration(s.rng.Int64N(int64(maxFaultDuration)*7/8))
		heals = append(heals, s.inject(f, duration))
		time.Sleep(time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	for _, heal := range heals {
		heal()
	}
	s.setLimits()
	s.announceLeaving()
	s.rejectRequests()
	s.noticesEnd = time.Now()
	time.Sleep(recoveryTime + probeTime)
	stop()
	time.Sleep(callerTimeout)
}

// planned reports whether the seed injects only planned work, during which no answer may be cut off.
func (s *soak) planned() bool { return s.seed%3 == 1 }

// hasCrashingRequest reports whether a caller of the seed sends a request that crashes endpoints.
func (s *soak) hasCrashingRequest() bool { return s.seed%5 == 4 && !s.planned() }

// hasPartitions reports whether VMs of the seed are cut off from all endpoints.
func (s *soak) hasPartitions() bool { return s.seed%7 == 3 && !s.planned() }

// partitionVMs cuts random VMs off from all endpoints, one partition after the other, until ctx ends.
func (s *soak) partitionVMs(ctx context.Context) {
	rng := rand.New(rand.NewPCG(uint64(s.seed), 77))
	cuts := []relay.Cut{relay.Hang, relay.Reset, relay.RefuseNew}
	for ctx.Err() == nil {
		vms := slices.Clone(s.vms)
		rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		vms = vms[:1+rng.IntN(len(vms))]
		c := cuts[rng.IntN(len(cuts))]
		heal := s.inject(soakFault{"VMs cut off from all endpoints", func(s *soak) func() { return s.cutOff(vms, c) }},
			maxFaultDuration/4+time.Duration(rng.Int64N(int64(maxFaultDuration)*3/4)))
		heal()
		clock.Sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultDuration)/2)))
	}
}

// soakFault is a kind of fault. start begins it and returns a function that ends it.
type soakFault struct {
	name  string
	start func(s *soak) (end func())
}

// inject starts a fault, ends it after the duration, and returns a function that waits for its end.
func (s *soak) inject(f soakFault, duration time.Duration) (heal func()) {
	from := time.Now()
	end := f.start(s)
	done := make(chan struct{})
	s.wg.Go(func() {
		defer close(done)
		time.Sleep(duration)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = append(s.faults, injectedFault{f.name, from, time.Now()})
	})
	return func() { <-done }
}

func noop() {}

// soakPlanned lists planned work of operators, which must not affect callers.
var soakPlanned = []soakFault{
	{"VM restarted", func(s *soak) func() { return s.restart(syscall.SIGTERM) }},
	{"settings changed", (*soak).changeSettings},
	{"configuration changed", (*soak).switchReads},
	{"configurations in quick succession", func(s *soak) func() {
		for range 4 {
			s.switchReads()
			time.Sleep(100 * time.Millisecond)
		}
		return noop
	}},
	{"endpoint drained", (*soak).drain},
}

// soakKinds lists all faults, including planned work.
var soakKinds = append([]soakFault{
	{"VM killed", func(s *soak) func() { return s.restart(syscall.SIGKILL) }},
	{"all VMs killed", func(s *soak) func() {
		var ends []func()
		for range s.vms {
			ends = append(ends, s.restartVM(s.reserveAnyVM(), syscall.SIGKILL))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"VM paused", (*soak).pauseVM},
	{"store down", func(s *soak) func() {
		s.setStoreDown(true)
		return func() { s.setStoreDown(false) }
	}},
	{"answers of the store lost", func(s *soak) func() {
		s.store.SetDropAnswers(true)
		return func() { s.store.SetDropAnswers(false) }
	}},
	{"store restored from an older copy", (*soak).restoreStore},
	{"store's history dropped", func(s *soak) func() {
		s.store.DropHistory("keyed.op")
		s.store.DropHistory("keyed.servers")
		return noop
	}},
	{"VM cut from the store", func(s *soak) func() { return impair(s.randomVM().link, s.rng.IntN(4)) }},
	{"endpoint cut off", func(s *soak) func() { return impair(s.randomEndpoint().link, s.rng.IntN(4)) }},
	{"endpoint crashed", (*soak).crash},
}, soakPlanned...)

// impair starts one of the network faults of a relay.
func impair(r *relay.Relay, kind int) (end func()) {
	const delay = 300 * time.Millisecond
	switch kind {
	case 0:
		r.Block(true)
	case 1:
		r.BlockDirection(relay.FromTarget, true)
	case 2:
		r.SetDelay(delay)
	default:
		r.ResetConnections()
	}
	return func() { r.Block(false); r.SetDelay(0) }
}

func (s *soak) randomVM() *soakVM { return s.vms[s.rng.IntN(len(s.vms))] }

// randomEndpoint returns an endpoint that is neither leaving nor removed.
func (s *soak) randomEndpoint() *soakEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*soakEndpoint
	for n := range s.started {
		e := s.endpoints[s.endpointID(n+1)]
		if e != nil && !e.draining && !e.removed {
			list = append(list, e)
		}
	}
	return list[s.rng.IntN(len(list))]
}

// reserveVM returns a random VM, reserved for one fault of its process, or nil if another fault has
// reserved it.
func (s *soak) reserveVM() *soakVM {
	v := s.randomVM()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.reserved {
		return nil
	}
	v.reserved = true
	return v
}

// reserveAnyVM does the same, but takes another VM instead of one that is reserved already.
func (s *soak) reserveAnyVM() *soakVM {
	first := slices.Index(s.vms, s.randomVM())
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.vms {
		if v := s.vms[(first+i)%len(s.vms)]; !v.reserved {
			v.reserved = true
			return v
		}
	}
	return nil
}

func (s *soak) releaseVM(v *soakVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.reserved = false
}

// restart signals a VM's process to end and starts it again as the platform does.
func (s *soak) restart(sig syscall.Signal) func() { return s.restartVM(s.reserveVM(), sig) }

// restartVM does so with a reserved VM, if there is one.
func (s *soak) restartVM(v *soakVM, sig syscall.Signal) func() {
	if v == nil {
		return noop
	}
	assert.Check(s.t, v.proc.signal(sig))
	return func() {
		defer s.releaseVM(v)
		if _, err := v.proc.await(); err != nil {
			s.t.Error(err)
		}
		time.Sleep(restartDelay)
		s.startAgain(v)
	}
}

// startAgain starts a VM's process and waits until it handles signals: before its main function, any signal ends it.
func (s *soak) startAgain(v *soakVM) {
	before := startsOf(v)
	if !assert.Check(s.t, v.proc.start()) {
		return
	}
	for end := time.Now().Add(exitTimeout); startsOf(v) == before && v.proc.running() && time.Now().Before(end); {
		time.Sleep(pollTime)
	}
}

// startsOf returns how often a VM's process has logged that it started.
func startsOf(v *soakVM) int {
	text, err := os.ReadFile(v.proc.log)
	if err != nil {
		return 0
	}
	return strings.Count(string(text), "message=started ")
}

func (s *soak) pauseVM() func() {
	v := s.reserveVM()
	if v == nil {
		return noop
	}
	assert.Check(s.t, v.proc.signal(syscall.SIGSTOP))
	return func() {
		defer s.releaseVM(v)
		assert.Check(s.t, v.proc.signal(syscall.SIGCONT))
	}
}

// changeSettings writes a new settings file for a VM and sends SIGHUP to its process.
func (s *soak) changeSettings() func() {
	v := s.randomVM()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.reserved {
		return noop
	}
	v.grace = 16 - v.grace + 0.5
	s.writeSettings(v)
	assert.Check(s.t, v.proc.signal(syscall.SIGHUP))
	return noop
}

func (s *soak) setStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
	s.store.SetDown(down)
}

const (
	// maxCopyAge is the maximum age of the copy from which the store is restored.
	maxCopyAge = 6 * time.Second
	// rewriteDelay is the maximum time after a restore until operators write the configuration again.
	rewriteDelay = 1500 * time.Millisecond
	// expiryDelay is the time after a restore until the store expires the entries of removed endpoints
	// again.
	expiryDelay = 3 * time.Second
)

// restoreStore takes the store down and restores it from an older copy, once or twice in a row.
func (s *soak) restoreStore() func() {
	down := time.Now()
	age, again := time.Duration(s.rng.Int64N(int64(maxCopyAge))), s.rng.IntN(3) == 0
	delay := time.Duration(s.rng.Int64N(int64(rewriteDelay)))
	s.store.SetHangPolls(s.rng.IntN(2) == 0)
	s.setStoreDown(true)
	return func() {
		s.store.Restore(time.Since(down) + age)
		s.setStoreDown(false)
		if again {
			time.Sleep(delay / 2)
			s.store.Restore(age / 2)
		}
		time.Sleep(delay)
		s.rewriteConfig()
		s.wg.Go(func() {
			time.Sleep(expiryDelay)
			s.expireRemoved()
		})
	}
}

// rewriteConfig writes the newest configuration again if the store has lost it.
func (s *soak) rewriteConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.configs[len(s.configs)-1].text
	if s.store.Newest("keyed.op", "config") != newest {
		s.store.Put("keyed.op", "config", newest)
	}
}

// expireRemoved deletes the entries of removed endpoints that a restore has brought back.
func (s *soak) expireRemoved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.endpoints {
		if e.removed && s.store.Newest("keyed.servers", id) != "" {
			s.store.Put("keyed.servers", id, "")
		}
	}
}

// switchReads publishes a configuration that sends reads to the other service.
func (s *soak) switchReads() func() {
	s.mu.Lock()
	last := s.configs[len(s.configs)-1].reads
	s.mu.Unlock()
	if last[0] == "s" {
		s.publish("t")
	} else {
		s.publish("s")
	}
	return noop
}

// drain marks an endpoint as leaving in the store, removes it after drainTime and starts a replacement.
func (s *soak) drain() func() {
	e := s.randomEndpoint()
	s.mu.Lock()
	e.draining = true
	if !s.storeDown {
		s.store.Put("keyed.servers", e.ID, e.Entry(e.link.Addr(), true))
		s.drained[e.ID] = time.Now()
	}
	s.mu.Unlock()
	s.addEndpoint(e.Service, e.Stage)
	s.wg.Go(func() {
		time.Sleep(drainTime)
		s.removeEndpoint(e)
	})
	return noop
}

// crash ends an endpoint and the requests that it runs, and starts a replacement.
func (s *soak) crash() func() {
	e := s.randomEndpoint()
	s.removeEndpoint(e)
	e.Crash()
	s.addEndpoint(e.Service, e.Stage)
	return noop
}

func (s *soak) removeEndpoint(e *soakEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.removed = true
}
