package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

const (
	// versionEngines is the number of engines, half of them of each version.
	versionEngines = 8
	// versionEventInterval makes a stream last longer than the time between two faults.
	versionEventInterval = 90 * time.Millisecond
	// versionFaultTime is how long faults are injected, and versionFaultInterval the time between two.
	versionFaultTime     = 12 * time.Second
	versionFaultInterval = 1200 * time.Millisecond
	versionCallers       = 40
	// lostStreams is the number of streams that callers take up after all VMs were killed, lossDelay the time
	// from their first request to the kill.
	lostStreams = 24
	lossDelay   = time.Second
	// releaseDrainTime is how long an engine of a release drains before it ends.
	releaseDrainTime = 2 * versionFaultInterval
	// versionSlots lets any engine run the streams of all callers.
	versionSlots = 128
	// versionDropShare is the share of the new streams that callers drop, where they do.
	versionDropShare = 0.3
	// settledTime is how long ago a VM must have started for its answers to count against minResumedShare.
	settledTime = 3 * time.Second
	// suspensionTime is longer than a view of the endpoints counts as fresh.
	suspensionTime = 2500 * time.Millisecond
	// minResumedShare is the minimum ratio of the share of streams that go on when they are taken up to the
	// share of new streams that begin. It applies from minTakenUp streams on, and to those of which
	// minServing engines of their version serve.
	minResumedShare = 0.5
	minTakenUp      = 12
	minServing      = 2
)

// versionCase is a pool of two software versions and what happens to it.
type versionCase struct {
	dropShare float64
	killed    int  // VMs that are killed at once, beside each fault of an engine
	every     int  // faults of engines for each kill of VMs
	next      bool // a replacement is of the next version, else of the same
	suspended bool // a VM is suspended for suspensionTime at each other fault of an engine

	// The engines of a release are of one version and are replaced by those of the next, half of them one after
	// the other and then all others at once.
	release   bool
	killAfter []int // intervals after which all VMs are killed at once, of a release or without faults of engines
	anonymous bool  // callers that take a stream up don't name its first attempt
}

// restarts reports whether all VMs are killed at given times, and the answers of those that have just
// started count as well.
func (c *versionCase) restarts() bool { return len(c.killAfter) > 0 }

// Guards against streams with events of two software versions, within one answer or after a caller took
// them up at another VM, and against VMs that refuse streams they could continue.
func TestStreamsKeepTheirVersion(t *testing.T) {
	for name, tc := range map[string]versionCase{
		"engines":     {},
		"dropped":     {dropShare: versionDropShare},
		"one_vm":      {dropShare: versionDropShare, killed: 1, every: 1},
		"two_vms":     {killed: 2, every: 3},
		"all_vms":     {killed: soakVMs, every: 5},
		"new_version": {dropShare: versionDropShare, next: true},
		// Guards against a VM that continues streams by what it knew before it was suspended.
		"new_version_suspended": {dropShare: versionDropShare, next: true, suspended: true},

		// Guards against VMs that have all just started and take the only version that they see for the one
		// of a stream that began at another.
		"release_both":           {dropShare: versionDropShare, release: true, killAfter: []int{4}},
		"release_left":           {dropShare: versionDropShare, release: true, killAfter: []int{versionEngines/2 + 1}},
		"release_both_anonymous": {dropShare: versionDropShare, release: true, killAfter: []int{4}, anonymous: true},
		"release_left_anonymous": {dropShare: versionDropShare, release: true, killAfter: []int{versionEngines/2 + 1}, anonymous: true},
		// Guards against VMs that have all just started and refuse streams that engines of their version could
		// continue.
		"all_restarted": {dropShare: versionDropShare, killAfter: []int{3, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			versions := []string{"v1", "v2"}
			if tc.release {
				versions = versions[:1]
			}
			s := newSoakOf(t, 2, engineSetup{count: versionEngines, versions: versions, eventInterval: versionEventInterval, slots: versionSlots})
			s.store.SetPage(standin.PlatformPage) // VMs that start read one page
			s.dropShare, s.ownPrompts, s.anonymous = tc.dropShare, true, tc.anonymous
			s.onlyStreams, s.persistent = tc.restarts(), tc.restarts()
			s.awaitServing()
			ctx, stop := context.WithCancel(s.ctx)
			s.manyCallers(ctx, versionCallers, requestInterval)
			time.Sleep(warmUpTime)
			down := map[string][]span{}
			s.injectVersionFaults(&tc, down)
			stop()
			time.Sleep(callerTimeout)

			s.mu.Lock()
			s.checkAnswers()
			s.checkRuns()
			if tc.restarts() {
				clear(down)
			}
			s.checkTakenUp(down)
			s.logStoreCalls()
			s.mu.Unlock()
			s.checkQuarantines()
			s.checkProcesses()
			s.reportViolations()
		})
	}
}

// Guards against VMs that have all just started and refuse streams that engines of their version could
// continue, or continue them at another version.
func TestStreamsGoOnAfterALossOfAllVMs(t *testing.T) {
	t.Parallel()
	s := newSoakOf(t, 3, engineSetup{count: versionEngines, versions: []string{"v1", "v2"}, eventInterval: versionEventInterval, slots: versionSlots})
	s.dropShare, s.ownPrompts = 0, true
	s.awaitAnswers(pathResumable)
	callers := make([]*soakCaller, lostStreams)
	streams := make([]soakAnswer, lostStreams)
	var begun sync.WaitGroup
	for i := range callers {
		callers[i] = s.newCaller(i)
		streams[i] = soakAnswer{id: fmt.Sprintf("c%d", i), path: pathResumable, vm: s.vms[i%soakVMs].front}
		begun.Go(func() { callers[i].exchange(&streams[i]) })
	}
	time.Sleep(lossDelay)
	s.killTogether(soakVMs, map[string][]span{}, begun.Wait)
	s.awaitAnswers(pathResumable)

	var takenUp sync.WaitGroup
	taken := make([]soakAnswer, lostStreams)
	for i := range streams {
		from := &streams[i]
		assert.Assert(t, from.canBeTakenUp(), "%d events, %q", from.events, from.problem)
		taken[i] = takeUp(from, from.id+"-again", s.vms[(i+1)%soakVMs].front)
		takenUp.Go(func() { callers[i].exchange(&taken[i]) })
	}
	takenUp.Wait()
	s.checkLost(taken)
	s.checkProcesses()
	s.reportViolations()
}

// checkLost checks that most streams went on where they were taken up, and none at another version.
func (s *soak) checkLost(taken []soakAnswer) {
	wentOn, refused := 0, map[int]int{}
	for i := range taken {
		a := &taken[i]
		switch {
		case a.problem != "":
			s.addViolation("%s: %s", a.id, a.problem)
		case a.complete:
			wentOn++
		default:
			refused[a.status]++
		}
	}
	s.t.Logf("%d of %d streams went on, others by their status: %v", wentOn, len(taken), refused)
	if float64(wentOn) < minResumedShare*float64(len(taken)) {
		s.addViolation("%d of %d streams went on", wentOn, len(taken))
	}
}

// injectVersionFaults injects the faults of a case, and records in down when VMs were down.
func (s *soak) injectVersionFaults(tc *versionCase, down map[string][]span) {
	end := time.Now().Add(versionFaultTime)
	for n := 0; time.Now().Before(end); n++ {
		next := time.Now().Add(versionFaultInterval)
		if tc.suspended && n%2 == 0 {
			s.suspendVM(down)
		}
		switch {
		case tc.release && n < versionEngines/2:
			s.releaseEngine()
		case tc.release && n == versionEngines/2:
			for range versionEngines - n {
				s.releaseEngine()
			}
		case !tc.restarts():
			s.crashEngine(tc.next)
		}
		if tc.killed > 0 && n%tc.every == tc.every-1 {
			s.killTogether(tc.killed, down, func() {})
		}
		if slices.Contains(tc.killAfter, n+1) {
			s.killTogether(soakVMs, down, s.endDraining)
		}
		if tc.restarts() {
			time.Sleep(time.Until(next))
		} else {
			time.Sleep(versionFaultInterval)
		}
	}
}

// releaseEngine starts an engine of the next version, and has one of the earlier version drain and end.
func (s *soak) releaseEngine() {
	e := s.randomEndpoint()
	for e.Stage == "" || e.Version != s.engines.versions[0] {
		e = s.randomEndpoint()
	}
	s.addEndpointOf(e.Service, e.Stage, "next-"+e.Version)
	s.mu.Lock()
	e.draining = true
	s.mu.Unlock()
	time.AfterFunc(releaseDrainTime, func() { s.endEngine(e) })
}

// endDraining ends the engines that drain, if no other one of the earlier version is left.
func (s *soak) endDraining() {
	s.mu.Lock()
	var leaving []*soakEndpoint
	left := true
	for _, e := range s.endpoints {
		if e.Version == s.engines.versions[0] && !e.removed {
			leaving = append(leaving, e)
			left = left && e.draining
		}
	}
	s.mu.Unlock()
	if left {
		for _, e := range leaving {
			s.endEngine(e)
		}
	}
}

func (s *soak) endEngine(e *soakEndpoint) {
	s.removeEndpoint(e)
	s.mu.Lock()
	e.crashed = cmp.Or(e.crashed, time.Now())
	s.mu.Unlock()
	e.Crash()
}

// crashEngine ends a random engine and starts another one.
func (s *soak) crashEngine(nextVersion bool) {
	e := s.randomEndpoint()
	for e.Stage == "" {
		e = s.randomEndpoint()
	}
	s.endEngine(e)
	version := e.Version
	if nextVersion {
		version = "next-" + version
	}
	s.addEndpointOf(e.Service, e.Stage, version)
}

// span is a time in which the answers of a VM don't count.
type span struct{ from, to time.Time }

// killTogether kills VMs at the same moment and starts them again, after whileDown and a delay. It records
// when they were down or had just started.
func (s *soak) killTogether(count int, down map[string][]span, whileDown func()) {
	first, killed := s.rng.IntN(len(s.vms)), time.Now()
	for i := range count {
		s.vms[(first+i)%len(s.vms)].proc.kill()
	}
	whileDown()
	time.Sleep(restartDelay)
	for i := range count {
		v := s.vms[(first+i)%len(s.vms)]
		if err := v.proc.start(); err != nil {
			s.t.Error(err)
		}
		down[v.front] = append(down[v.front], span{killed, time.Now().Add(settledTime)})
	}
}

// suspendVM suspends a VM for suspensionTime, and records when its answers may be late.
func (s *soak) suspendVM(down map[string][]span) {
	v, begun := s.randomVM(), time.Now()
	assert.Check(s.t, v.proc.signal(syscall.SIGSTOP))
	time.AfterFunc(suspensionTime, func() { assert.Check(s.t, v.proc.signal(syscall.SIGCONT)) })
	down[v.front] = append(down[v.front], span{begun, begun.Add(suspensionTime)})
}

// logStoreCalls logs how often VMs called the store.
func (s *soak) logStoreCalls() {
	var calls []string
	for _, path := range []string{"/log-newest", "/log-read", "/log-append", "/log-join", "/log-leave", "/log-owners"} {
		calls = append(calls, fmt.Sprintf("%d %s", s.store.Calls(path), path))
	}
	s.t.Logf("calls to the store: %s", strings.Join(calls, ", "))
}

// serving returns how many engines of a version served at the given time.
func (s *soak) serving(version string, at time.Time) int {
	n := 0
	for _, e := range s.endpoints {
		if e.Stage != "" && e.Version == version && e.started.Before(at) && (e.crashed.IsZero() || e.crashed.After(at)) {
			n++
		}
	}
	return n
}

// checkTakenUp checks that streams go on when callers take them up at VMs that have been running for a
// while, as long as several engines of their version serve.
func (s *soak) checkTakenUp(down map[string][]span) {
	takenUp, resumed, began, sent, mixed := 0, 0, 0, 0, 0
	for i := range s.answers {
		a := &s.answers[i]
		joined := strings.Contains(a.problem, errVersions.Error())
		if joined {
			mixed++
		}
		if a.path != pathResumable || s.onlyStreams && a.status == 0 || slices.ContainsFunc(down[a.vm], func(d span) bool { return a.sent.After(d.from) && a.sent.Before(d.to) }) {
			continue
		}
		if a.stream.root != "" && s.serving(a.stream.version, a.sent) < minServing {
			continue
		}
		progressed := a.events > a.stream.events || joined
		switch {
		case a.stream.root == "" && progressed:
			sent++
			began++
		case a.stream.root == "":
			sent++
		case progressed || a.complete:
			takenUp++
			resumed++
		default:
			takenUp++
		}
	}
	s.t.Logf("%d of %d new streams began, %d of %d went on where they were taken up, %d of two versions", began, sent, resumed, takenUp, mixed)
	if s.anonymous {
		return // nobody can know the version of a stream whose first attempt isn't named
	}
	if takenUp >= minTakenUp && float64(resumed*sent) < minResumedShare*float64(began*takenUp) {
		s.addViolation("%d of %d new streams began, but only %d of %d went on", began, sent, resumed, takenUp)
	}
}
