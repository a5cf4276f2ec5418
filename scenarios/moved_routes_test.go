package scenarios

import (
	"cmp"
	"context"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// moveTime is how long configurations are published, and moveInterval the time between two.
	moveTime     = 14 * time.Second
	moveInterval = 700 * time.Millisecond
	// moveKillInterval is the time between two kills of VMs.
	moveKillInterval = 4500 * time.Millisecond
	moveCallers      = 24
)

// moveCase is a route for streams that moves between two services of unlike versions while their engines
// pause and callers take up streams.
type moveCase struct {
	configs   []soakConfig // published in turn
	together  bool         // all engines pause at once, else two
	killed    int          // VMs that are killed at once
	terms     bool         // VMs get SIGTERM and start again
	anonymous bool         // callers that take a stream up don't name its first attempt
	oneClass  bool         // the engines of both services are of one version
}

var (
	first, second = []string{soakEngineService}, []string{secondEngineService}
	both          = []string{soakEngineService, secondEngineService}

	// splitMoves splits the route, moves it to one of the services and back.
	splitMoves = []soakConfig{
		{streams: both}, {streams: second, idle: shortIdleLimit}, {streams: both, timeout: shortRouteTimeout}, {streams: first},
	}
	// prefixMoves removes the route, whose path a shorter prefix has then.
	prefixMoves = []soakConfig{
		{streams: first, shorter: second}, {removed: true, shorter: second, idle: shortIdleLimit},
		{streams: both, shorter: second, timeout: shortRouteTimeout}, {removed: true, shorter: both},
	}
	// unresumedMoves removes the route; streams of the shorter prefix may not be resumed.
	unresumedMoves = []soakConfig{
		{streams: first, shorter: second, unresume: true}, {removed: true, shorter: second, unresume: true},
	}
)

// Guards against streams that go on at another service or version after their route was split, moved or
// removed.
func TestStreamsKeepTheirServiceBesideConfigurations(t *testing.T) {
	for name, tc := range map[string]moveCase{
		"split_terms":        {configs: splitMoves, terms: true},
		"split_one_vm":       {configs: splitMoves, together: true, killed: 1},
		"split_all_vms":      {configs: splitMoves, killed: soakVMs},
		"split_anonymous":    {configs: splitMoves, together: true, anonymous: true},
		"split_one_version":  {configs: splitMoves, together: true, killed: 2, oneClass: true},
		"prefix_two_vms":     {configs: prefixMoves, together: true, killed: 2},
		"prefix_all_vms":     {configs: prefixMoves, killed: soakVMs},
		"prefix_anonymous":   {configs: prefixMoves, together: true, killed: soakVMs, anonymous: true},
		"prefix_unresumable": {configs: unresumedMoves, together: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			versions := []string{"v2", "v1"} // of the engines of the second service and of the first
			if tc.oneClass {
				versions = versions[:1]
			}
			s := newSoakOf(t, 5, engineSetup{
				count: versionEngines, moreServices: second, versions: versions, eventInterval: versionEventInterval, slots: versionSlots,
			})
			s.dropShare, s.ownPrompts, s.anonymous = versionDropShare, true, tc.anonymous
			s.onlyStreams, s.persistent = true, true
			s.publishConfig(tc.config(0))
			s.awaitServing()
			ctx, stop := context.WithCancel(s.ctx)
			s.manyCallers(ctx, moveCallers, requestInterval)
			time.Sleep(warmUpTime)
			s.injectMoves(&tc)
			stop()
			time.Sleep(callerTimeout)

			s.mu.Lock()
			s.checkAnswers()
			s.checkRuns()
			s.checkServices()
			s.mu.Unlock()
			s.checkQuarantines()
			s.checkProcesses()
			s.reportViolations()
		})
	}
}

func (c *moveCase) config(n int) soakConfig {
	out := c.configs[n%len(c.configs)]
	out.reads = []string{"s"}
	return out
}

// injectMoves publishes the configurations of a case, and has engines pause and VMs end meanwhile.
func (s *soak) injectMoves(tc *moveCase) {
	ctx, stop := context.WithTimeout(s.ctx, moveTime)
	defer stop()
	var faults sync.WaitGroup
	faults.Go(func() {
		repeat(ctx, moveInterval, func(n int) { s.publishConfig(tc.config(n + 1)) })
	})
	faults.Go(func() {
		repeat(ctx, pauseInterval, func(int) { s.pauseEngines(tc.together) })
	})
	if tc.killed > 0 {
		faults.Go(func() {
			repeat(ctx, moveKillInterval, func(int) { s.killTogether(tc.killed, map[string][]span{}, func() {}) })
		})
	}
	if tc.terms {
		faults.Go(func() {
			repeat(ctx, pauseInterval, func(int) {
				if end := s.restart(syscall.SIGTERM); end != nil {
					end()
				}
			})
		})
	}
	faults.Wait()
}

// repeat calls f after each interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, f func(n int)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f(n)
		}
	}
}

// pauseEngines pauses all engines, or two.
func (s *soak) pauseEngines(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := pausedTogether
	for _, e := range s.endpoints {
		if e.Stage != "" && (all || left > 0) {
			e.Pause(pauseTime)
			left--
		}
	}
}

// checkServices checks that streams go on at the service that began them, and logs how many went on where
// their callers took them up.
func (s *soak) checkServices() {
	began, takenUp, wentOn, ended := 0, 0, 0, map[int]int{}
	roots := map[string]string{} // the first attempts of streams, by attempt
	for i := range s.answers {
		a := &s.answers[i]
		roots[a.id] = cmp.Or(a.stream.root, a.id)
		progressed := a.events > a.stream.events
		switch {
		case a.status == 0:
		case a.stream.root == "" && progressed:
			began++
		case a.stream.root == "":
		case progressed:
			takenUp++
			wentOn++
		default:
			takenUp++
			ended[a.status]++
		}
	}
	s.checkRunServices(roots)
	s.t.Logf("%d streams began, %d of %d went on where they were taken up, others by their status: %v", began, wentOn, takenUp, ended)
	if began < minJudgedAnswers || takenUp < minTakenUp {
		s.addViolation("too few streams to judge: %d began, %d were taken up", began, takenUp)
	}
}

// checkRunServices checks that the runs that continue a stream are of the service that began it. Streams
// that were begun at several services, as the first one was silent, aren't judged.
func (s *soak) checkRunServices(roots map[string]string) {
	began := map[string]map[string]bool{}
	for _, r := range s.ledger.Runs() {
		if root := roots[r.ID]; r.LastEventID == "" && root == r.ID {
			if began[root] == nil {
				began[root] = map[string]bool{}
			}
			began[root][r.Service] = true
		}
	}
	for _, r := range s.ledger.Runs() {
		services := began[roots[r.ID]]
		if r.LastEventID != "" && len(services) == 1 && !services[r.Service] {
			s.addViolation("%s went on at service %s after event %s, begun at another", r.ID, r.Service, r.LastEventID)
		}
	}
}
