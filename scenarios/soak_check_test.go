package scenarios

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"fescuestand/platform/standin"
)

const (
	// soakCalm is how long no fault must have lasted for the bounds in time to
	// hold.
	soakCalm = 6 * time.Second
	// soakBound is the time in which a leaving endpoint must be left alone and
	// a configuration be in force, with what a loaded machine adds.
	soakBound = 3 * time.Second
	// soakTurn is the time within which two VMs must not order one engine.
	soakTurn = 3 * time.Second
	// leastServed of the requests must succeed after the recovery.
	leastServed = 0.95
)

// check judges what callers and endpoints saw, and fails the test with what is
// wrong.
func (s *soak) check() {
	s.judge()
	s.checkProcesses()
	for _, c := range s.complaints {
		s.t.Errorf("seed %d: %s", s.seed, c)
	}
	s.t.Logf("seed %d: %d requests, %d runs, %d orders, %d faults",
		s.seed, len(s.answers), len(s.ledger.Runs()), len(s.ledger.Orders()), len(s.faults))
	if s.t.Failed() {
		s.keepLogs()
	}
}

func (s *soak) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkAnswers()
	s.checkRuns()
	s.checkOrders()
	s.checkLimits()
	s.checkLeaving()
	s.checkAway()
	s.checkRecovery()
}

func (s *soak) complain(format string, args ...any) {
	s.complaints = append(s.complaints, fmt.Sprintf(format, args...))
}

// runsOf counts the runs of each request.
func (s *soak) runsOf() map[string]int {
	runs := map[string]int{}
	for _, r := range s.ledger.Runs() {
		runs[r.ID]++
	}
	return runs
}

func (s *soak) checkAnswers() {
	runs := s.runsOf()
	arrivals := map[string]int{}
	for _, r := range s.ledger.Arrivals() {
		arrivals[r.ID]++
	}
	for i := range s.answers {
		a := &s.answers[i]
		if a.wrong != "" {
			s.complain("%s %s: %s", a.id, a.path, a.wrong)
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[a.id] > 0 && a.path != reads && a.path != resumable {
				s.complain("%s %s: told %d, but it has run", a.id, a.path, a.status)
			}
		case http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout:
		case 0:
		default:
			s.complain("%s %s: status %d", a.id, a.path, a.status)
		}
		if a.cutOff() && s.planned() {
			s.complain("%s %s at %s at %s: cut off by planned work after %s, %d times at an endpoint: %v",
				a.id, a.path, a.vm, a.sent.Format(time.StampMilli), a.answered.Sub(a.sent), arrivals[a.id], a.err)
		}
	}
}

// cutOff tells whether a VM took the request and its answer ended early. A VM
// that isn't there takes none: callers who couldn't ask for new addresses try
// those of VMs that have ended meanwhile.
func (a *soakAnswer) cutOff() bool {
	early := a.status == 0 || a.status == http.StatusOK && !a.whole
	return early && a.answered.Sub(a.sent) < soakPatience && !errors.Is(a.err, syscall.ECONNREFUSED)
}

func (s *soak) checkRuns() {
	for id, n := range s.runsOf() {
		if n > 1 && s.runsOnce(id) {
			s.complain("%s ran %d times", id, n)
		}
	}
	for _, r := range s.ledger.Arrivals() {
		left, leaving := s.drained[r.Endpoint]
		if leaving && r.At.Sub(left) > soakBound && s.calm(r.At) {
			s.complain("%s reached %s %s after its leaving", r.ID, r.Endpoint, r.At.Sub(left))
		}
		if r.Path == reads {
			s.checkService(r)
		}
	}
}

func (s *soak) runsOnce(id string) bool {
	for i := range s.answers {
		if a := &s.answers[i]; a.id == id {
			return a.path == pay || a.path == once
		}
	}
	return false
}

// checkService tells whether a read went where the configuration sends it.
func (s *soak) checkService(r standin.Run) {
	if !s.calm(r.At) {
		return
	}
	want := ""
	for _, c := range s.configs {
		if r.At.Sub(c.at) > soakBound {
			want = c.reads
		} else if r.At.After(c.at) {
			return // either is right
		}
	}
	if r.Service != want {
		s.complain("%s went to %s, the configuration says %s", r.ID, r.Service, want)
	}
}

// calm tells whether no fault lasted within soakCalm before at.
func (s *soak) calm(at time.Time) bool {
	for _, f := range s.faults {
		if f.from.Before(at) && f.to.After(at.Add(-soakCalm)) {
			return false
		}
	}
	return true
}

func (s *soak) checkOrders() {
	last := map[string]standin.Order{}
	for _, o := range s.ledger.Orders() {
		p, ok := last[o.Engine]
		last[o.Engine] = o
		if !ok || p.Holder == o.Holder {
			continue
		}
		if o.Fence <= p.Fence {
			s.complain("%s: %s orders with token %d after %s with %d", o.Engine, o.Holder, o.Fence, p.Holder, p.Fence)
		}
		if gap := o.At.Sub(p.At); gap < soakTurn {
			s.complain("%s: %s orders %s after %s", o.Engine, o.Holder, gap, p.Holder)
		}
	}
}

// checkRecovery judges the last requests.
func (s *soak) checkRecovery() {
	from := s.noticed
	for _, f := range s.faults {
		if f.to.After(from) {
			from = f.to
		}
	}
	from = from.Add(soakRecovery)
	sent, served := 0, 0
	for i := range s.answers {
		if a := &s.answers[i]; a.sent.After(from) {
			sent++
			if a.whole {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < leastServed*float64(sent) {
		s.complain("%d of %d requests served after the recovery", served, sent)
	}
}

// checkProcesses looks for processes that ended by themselves and for reports of
// the race detector.
func (s *soak) checkProcesses() {
	for _, v := range s.vms {
		if !v.proc.running() {
			s.complain("%s isn't running", v.name)
		}
		b, err := os.ReadFile(v.proc.log)
		if err != nil {
			s.complain("%s", err)
		}
		if strings.Contains(string(b), "DATA RACE") || strings.Contains(string(b), "panic: ") {
			s.complain("%s: data race or panic in its log", v.name)
		}
	}
}

// keepLogs copies the logs of a failed seed to where they outlive the test.
func (s *soak) keepLogs() {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", s.seed))
	if err != nil {
		s.t.Log(err)
		return
	}
	if err := os.CopyFS(dir, os.DirFS(s.dir)); err != nil {
		s.t.Log(err)
	}
	for _, f := range s.faults {
		s.t.Logf("%s to %s: %s", f.from.Format(time.StampMilli), f.to.Format(time.StampMilli), f.what)
	}
	s.t.Logf("logs of seed %d: %s", s.seed, dir)
}
