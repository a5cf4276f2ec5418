package scenarios

import (
	"context"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/relay"
)

const (
	// soakLead is how long callers send before the first fault, soakFaults how
	// long faults begin, and soakRecovery how long VMs have afterwards until
	// they must serve as before.
	soakLead     = 2 * time.Second
	soakFaults   = 14 * time.Second
	soakRecovery = 12 * time.Second
	// soakProbe is how long callers send after that.
	soakProbe = 3 * time.Second
	// longestFault bounds one fault.
	longestFault = 4 * time.Second
	// soakRestart is the platform's delay before it restarts a process.
	soakRestart = 700 * time.Millisecond
)

// play runs the callers and the faults of the seed. Faults come in series and
// overlap; all are healed before the recovery is judged.
func (s *soak) play() {
	s.awaitServing()
	ctx, stop := context.WithCancel(s.ctx)
	s.callers(ctx)
	time.Sleep(soakLead)
	kinds := soakKinds
	if s.planned() {
		kinds = soakPlanned
	}
	var heals []func()
	for end := time.Now().Add(soakFaults); time.Now().Before(end); {
		f := kinds[s.rng.IntN(len(kinds))]
		lasts := longestFault/8 + time.Duration(s.rng.Int64N(int64(longestFault)*7/8))
		heals = append(heals, s.begin(f, lasts))
		time.Sleep(time.Duration(s.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	for _, heal := range heals {
		heal()
	}
	s.limit()
	s.leave()
	s.turnAway()
	s.noticed = time.Now()
	time.Sleep(soakRecovery + soakProbe)
	stop()
	time.Sleep(soakPatience)
}

// planned tells whether the seed has planned work only: then no answer may be
// cut off.
func (s *soak) planned() bool { return s.seed%3 == 1 }

// soakFault is a kind of fault. start returns what ends it.
type soakFault struct {
	name  string
	start func(s *soak) (end func())
}

// begin starts a fault and returns a function that waits for its end.
func (s *soak) begin(f soakFault, lasts time.Duration) (heal func()) {
	from := time.Now()
	end := f.start(s)
	done := make(chan struct{})
	s.wg.Go(func() {
		defer close(done)
		time.Sleep(lasts)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = append(s.faults, span{f.name, from, time.Now()})
	})
	return func() { <-done }
}

func nothing() {}

// soakPlanned is work that operators do, and that callers must not notice.
var soakPlanned = []soakFault{
	{"VM restarted", func(s *soak) func() { return s.restart(syscall.SIGTERM) }},
	{"settings changed", (*soak).changeSettings},
	{"configuration", (*soak).moveReads},
	{"configurations in quick succession", func(s *soak) func() {
		for range 4 {
			s.moveReads()
			time.Sleep(100 * time.Millisecond)
		}
		return nothing
	}},
	{"endpoint drained", (*soak).drain},
}

// soakKinds are all faults.
var soakKinds = append([]soakFault{
	{"VM killed", func(s *soak) func() { return s.restart(syscall.SIGKILL) }},
	{"all VMs killed", func(s *soak) func() {
		var ends []func()
		for range s.vms {
			ends = append(ends, s.restart(syscall.SIGKILL))
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
	{"store's history gone", func(s *soak) func() {
		s.store.DropHistory("keyed.op")
		s.store.DropHistory("keyed.servers")
		return nothing
	}},
	{"VM cut from the store", func(s *soak) func() { return harm(s.vm().link, s.rng.IntN(4)) }},
	{"endpoint cut off", func(s *soak) func() { return harm(s.endpoint().link, s.rng.IntN(4)) }},
	{"endpoint crashed", (*soak).crash},
}, soakPlanned...)

// harm does one of the harms of a relay.
func harm(r *relay.Relay, kind int) (end func()) {
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

func (s *soak) vm() *soakVM { return s.vms[s.rng.IntN(len(s.vms))] }

// endpoint returns one that is neither leaving nor gone.
func (s *soak) endpoint() *soakEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*soakEndpoint
	for n := range s.next {
		e := s.endpoints[endpointID(n+1)]
		if e != nil && !e.draining && !e.gone {
			list = append(list, e)
		}
	}
	return list[s.rng.IntN(len(list))]
}

// claim returns a VM whose process no other fault is ending or holding, or nil.
func (s *soak) claim() *soakVM {
	v := s.vm()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.down {
		return nil
	}
	v.down = true
	return v
}

func (s *soak) release(v *soakVM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.down = false
}

// restart ends a VM's process and starts it again as the platform does.
func (s *soak) restart(sig syscall.Signal) func() {
	v := s.claim()
	if v == nil {
		return nothing
	}
	assert.Check(s.t, v.proc.signal(sig))
	return func() {
		defer s.release(v)
		if _, err := v.proc.await(); err != nil {
			s.t.Error(err)
		}
		time.Sleep(soakRestart)
		assert.Check(s.t, v.proc.start())
	}
}

func (s *soak) pauseVM() func() {
	v := s.claim()
	if v == nil {
		return nothing
	}
	assert.Check(s.t, v.proc.signal(syscall.SIGSTOP))
	return func() {
		defer s.release(v)
		assert.Check(s.t, v.proc.signal(syscall.SIGCONT))
	}
}

// changeSettings writes another settings file and tells of it.
func (s *soak) changeSettings() func() {
	v := s.vm()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.down {
		return nothing
	}
	v.grace = 16 - v.grace + 0.5
	s.writeSettings(v)
	assert.Check(s.t, v.proc.signal(syscall.SIGHUP))
	return nothing
}

func (s *soak) setStoreDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDown = down
	s.store.SetDown(down)
}

// moveReads publishes a configuration that sends reads to the other service.
func (s *soak) moveReads() func() {
	s.mu.Lock()
	last := s.configs[len(s.configs)-1].reads
	s.mu.Unlock()
	if last == "s" {
		s.publish("t")
	} else {
		s.publish("s")
	}
	return nothing
}

// drain has an endpoint tell that it leaves, and starts another one.
func (s *soak) drain() func() {
	e := s.endpoint()
	s.mu.Lock()
	e.draining = true
	if !s.storeDown {
		s.store.Put("keyed.servers", e.ID, e.Entry(e.link.Addr(), true))
		s.drained[e.ID] = time.Now()
	}
	s.mu.Unlock()
	s.addEndpoint(e.Service, e.Stage)
	s.wg.Go(func() {
		time.Sleep(soakDrain)
		s.end(e)
	})
	return nothing
}

// crash ends an endpoint and what it runs, and starts another one.
func (s *soak) crash() func() {
	e := s.endpoint()
	s.end(e)
	e.Crash()
	s.addEndpoint(e.Service, e.Stage)
	return nothing
}

func (s *soak) end(e *soakEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.gone = true
}
