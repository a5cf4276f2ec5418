package scenarios

import (
	"context"
	"testing"
	"time"

	"fescuestand/platform/standin"
)

const (
	// containTime is the time in which what crashes endpoints is quarantined and the VMs settle.
	containTime = 2 * quarantineBound
	// maxSendsAfterLosses is how often a quarantined request, or requests with a quarantined part, may reach
	// endpoints over all losses of all VMs.
	maxSendsAfterLosses = 3
)

// Guards against a quarantined request that crashes endpoints again after each loss of all VMs.
func TestQuarantinedRequestStaysSoAfterLossesOfAllVMs(t *testing.T) {
	t.Parallel()
	s := newSoak(t, 7)
	s.awaitServing()
	ctx, stop := context.WithCancel(s.ctx)
	s.callers(ctx)
	time.Sleep(warmUpTime)
	c := s.newCrashingRequest("alone", pathReads, standin.BeforeHeader)
	s.wg.Go(func() { c.retry(ctx) })
	time.Sleep(containTime)
	contained := time.Now()
	s.loseAllVMs()
	stop()
	time.Sleep(callerTimeout)

	before, after := 0, 0
	for _, at := range c.runs() {
		if at.After(contained) {
			after++
		} else {
			before++
		}
	}
	t.Logf("%d runs before the losses, %d after", before, after)
	if before < maxCrashes || after > maxSendsAfterLosses {
		s.addViolation("%d runs of a quarantined request after losses of all VMs, %d before", after, before)
	}
	s.checkQuarantines()
	s.checkProcesses()
	s.reportViolations()
}

// loseAllVMs kills all VMs at once, maxRestarts times, and starts them again.
func (s *soak) loseAllVMs() {
	for range maxRestarts {
		s.killTogether(soakVMs, map[string][]span{}, func() {})
		time.Sleep(containTime)
	}
}

// Guards against requests with a quarantined prompt part that crash endpoints again after each loss of all VMs,
// and against refusing sound requests that share other parts with them.
func TestQuarantinedPartStaysSoAfterLossesOfAllVMs(t *testing.T) {
	t.Parallel()
	p := &partRun{tc: partCase{path: pathResumable, point: standin.InsideEvent, share: 0.05}, down: map[*soakVM][]span{}}
	p.soak = newSoakOf(t, 3, p.engines())
	p.awaitAnswers(p.tc.path)
	ctx, stop := context.WithCancel(p.ctx)
	for i := range partCallers {
		p.wg.Go(func() { p.call(ctx, i) })
	}
	time.Sleep(2 * warmUpTime)
	p.beginFaults()
	time.Sleep(containTime)
	contained := time.Now()
	for range maxRestarts {
		p.restart(p.vms)
		time.Sleep(containTime)
	}
	stop()
	time.Sleep(callerTimeout)

	p.mu.Lock()
	defer p.mu.Unlock()
	requests := map[string]*partRequest{}
	for i := range p.requests {
		if r := &p.requests[i]; r.part != "" {
			requests[r.id] = r
		}
	}
	crashes, after := len(endpointCrashes(p.ledger.Runs(), requests)), 0
	for _, a := range p.ledger.Arrivals() {
		if requests[a.ID] != nil && a.At.After(contained) {
			after++
		}
	}
	t.Logf("%d endpoints crashed, %d sends after the losses", crashes, after)
	if crashes < maxCrashes || after > maxSendsAfterLosses {
		p.addViolation("%d sends of requests with a quarantined part after losses of all VMs, %d endpoints crashed", after, crashes)
	}
	p.checkSound(nil)
	p.checkProcesses()
	p.reportViolations()
}
