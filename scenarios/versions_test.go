package scenarios

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"
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
	// versionSlots lets any engine run the streams of all callers.
	versionSlots = 128
	// versionDropShare is the share of the new streams that callers drop, where they do.
	versionDropShare = 0.3
	// settledTime is how long ago a VM must have started for its answers to count against minResumedShare.
	settledTime = 3 * time.Second
	// minResumedShare is the minimum ratio of the share of streams that go on when they are taken up to the
	// share of new streams that begin. It applies from minTakenUp streams on, and to those of which
	// minServing engines of their version serve.
	minResumedShare = 0.5
	minTakenUp      = 12
	minServing      = 2
)

// Guards against streams with events of two software versions, within one answer or after a caller took
// them up at another VM, and against VMs that refuse streams they could continue.
func TestStreamsKeepTheirVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		dropShare float64
		killed    int  // VMs that are killed at once, beside each fault of an engine
		every     int  // faults of engines for each kill of VMs
		next      bool // a replacement is of the next version, else of the same
	}{
		"engines":     {},
		"dropped":     {dropShare: versionDropShare},
		"one_vm":      {dropShare: versionDropShare, killed: 1, every: 1},
		"two_vms":     {killed: 2, every: 3},
		"all_vms":     {killed: soakVMs, every: 5},
		"new_version": {dropShare: versionDropShare, next: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSoakOf(t, 2, engineSetup{count: versionEngines, versions: []string{"v1", "v2"}, eventInterval: versionEventInterval, slots: versionSlots})
			s.dropShare, s.ownPrompts = tc.dropShare, true
			s.awaitServing()
			ctx, stop := context.WithCancel(s.ctx)
			s.manyCallers(ctx, versionCallers, requestInterval)
			time.Sleep(warmUpTime)
			down := map[string][]span{}
			end := time.Now().Add(versionFaultTime)
			for n := 0; time.Now().Before(end); n++ {
				s.crashEngine(tc.next)
				if tc.killed > 0 && n%tc.every == tc.every-1 {
					s.killTogether(tc.killed, down)
				}
				time.Sleep(versionFaultInterval)
			}
			stop()
			time.Sleep(callerTimeout)

			s.mu.Lock()
			s.checkAnswers()
			s.checkRuns()
			s.checkTakenUp(down)
			s.mu.Unlock()
			s.checkQuarantines()
			s.checkProcesses()
			s.reportViolations()
		})
	}
}

// crashEngine ends a random engine and starts another one.
func (s *soak) crashEngine(nextVersion bool) {
	e := s.randomEndpoint()
	for e.Stage == "" {
		e = s.randomEndpoint()
	}
	s.removeEndpoint(e)
	s.mu.Lock()
	e.crashed = time.Now()
	s.mu.Unlock()
	e.Crash()
	version := e.Version
	if nextVersion {
		version = "next-" + version
	}
	s.addEndpointOf(e.Service, e.Stage, version)
}

// span is a time in which the answers of a VM don't count.
type span struct{ from, to time.Time }

// killTogether kills VMs at the same moment and starts them again. It records when they were down or had
// just started.
func (s *soak) killTogether(count int, down map[string][]span) {
	first, killed := s.rng.IntN(len(s.vms)), time.Now()
	for i := range count {
		s.vms[(first+i)%len(s.vms)].proc.kill()
	}
	time.Sleep(restartDelay)
	for i := range count {
		v := s.vms[(first+i)%len(s.vms)]
		if err := v.proc.start(); err != nil {
			s.t.Error(err)
		}
		down[v.front] = append(down[v.front], span{killed, time.Now().Add(settledTime)})
	}
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
		if a.path != pathResumable || slices.ContainsFunc(down[a.vm], func(d span) bool { return a.sent.After(d.from) && a.sent.Before(d.to) }) {
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
	if takenUp >= minTakenUp && float64(resumed*sent) < minResumedShare*float64(began*takenUp) {
		s.addViolation("%d of %d new streams began, but only %d of %d went on", began, sent, resumed, takenUp)
	}
}
