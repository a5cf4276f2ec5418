package scenarios

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"fescuestand/platform/standin"
)

const (
	// faultFreePeriod is the time without faults after which the time bounds below apply.
	faultFreePeriod = 6 * time.Second
	// reactionBound is the maximum time until no more requests are sent to a leaving endpoint, and until
	// a configuration is in force. It includes a margin for a loaded machine.
	reactionBound = 3 * time.Second
	// minHolderGap is the minimum time between orders of two different VMs to one engine.
	minHolderGap = 3 * time.Second
	// minServedShare is the share of the requests that must succeed after the recovery.
	minServedShare = 0.95
	// closeSlack is the maximum time between a request that crosses the closing of its connection and
	// the log lines of the closing.
	closeSlack = 200 * time.Millisecond
)

// check fails the test with every violation found in what callers and endpoints observed and in the
// logs of the processes.
func (s *soak) check() {
	s.checkObservations()
	s.checkQuarantines()
	s.checkProcesses()
	s.t.Logf("seed %d: %d requests, %d runs, %d orders, %d faults",
		s.seed, len(s.answers), len(s.ledger.Runs()), len(s.ledger.Orders()), len(s.faults))
	s.reportViolations()
}

// reportViolations fails the test with the violations found, and keeps the logs.
func (s *soak) reportViolations() {
	for _, v := range s.violations {
		s.t.Errorf("seed %d: %s", s.seed, v)
	}
	if s.t.Failed() {
		s.keepLogs()
	}
}

func (s *soak) checkObservations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkAnswers()
	s.checkRuns()
	s.checkOrders()
	s.checkLimits()
	s.checkAnnouncedLeaving()
	s.checkRetryAfter()
	s.checkRecovery()
}

func (s *soak) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// runsOf returns how often each request was run.
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
		if a.problem != "" {
			s.addViolation("%s %s: %s", a.id, a.path, a.problem)
		}
		switch a.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs[a.id] > 0 && a.path != pathReads && a.path != pathResumable {
				s.addViolation("%s %s: answered %d, but the request was run", a.id, a.path, a.status)
			}
		case http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout:
		case 0:
		default:
			s.addViolation("%s %s: status %d", a.id, a.path, a.status)
		}
		unread := arrivals[a.id] == 0 && s.crossedClose(a)
		if a.endedEarly() && s.planned() && !unread {
			s.addViolation("%s %s at %s at %s: cut off by planned work after %s, %d times at an endpoint: %v",
				a.id, a.path, a.vm, a.sent.Format(time.StampMilli), a.answered.Sub(a.sent), arrivals[a.id], a.err)
		}
	}
}

// endedEarly reports whether a VM accepted the request and the answer ended before it was complete. A
// refused connection doesn't count: a caller that couldn't resolve new addresses still connects to VMs
// that have stopped meanwhile.
func (a *soakAnswer) endedEarly() bool {
	early := a.status == 0 || a.status == http.StatusOK && !a.complete && !errors.Is(a.err, errDropped)
	return early && a.answered.Sub(a.sent) < callerTimeout && !errors.Is(a.err, syscall.ECONNREFUSED)
}

// crossedClose reports whether a request crossed the closing of its idle connection: its VM was closing idle
// connections at the end of a drain at that moment, and has logged nothing about the request. A caller
// may send a request again if the connection was closed before it was read.
//
// net/http's error for a connection that was closed before the request was sent doesn't prove that nothing was
// written: it counts only with that proof.
func (s *soak) crossedClose(a *soakAnswer) bool {
	closed := errors.Is(a.err, io.EOF) || errors.Is(a.err, syscall.ECONNRESET) || a.unwritten && isClosedWhileIdle(a.err)
	i := slices.IndexFunc(s.vms, func(v *soakVM) bool { return v.front == a.vm })
	if !closed || a.status != 0 || i < 0 {
		return false
	}
	text, err := os.ReadFile(s.vms[i].proc.log)
	if err != nil || strings.Contains(string(text), " id="+a.id+" ") {
		return false
	}
	return slices.ContainsFunc(closings(string(text)), func(c span) bool {
		return a.answered.After(c.from.Add(-closeSlack)) && a.sent.Before(c.to.Add(closeSlack))
	})
}

// isClosedWhileIdle reports whether net/http found that the server had closed the connection before a request was
// sent on it.
func isClosedWhileIdle(err error) bool {
	return err != nil && strings.Contains(err.Error(), "http: server closed idle connection")
}

// closingLines are the log lines between which a VM closes its idle connections to callers.
var closingLines = regexp.MustCompile(`(?m)^timestamp=(\S+) .*message="server (closes idle connections|drained)" server=front`)

// maxClosing is the longest time for which a VM closes idle connections: it is killed then.
const maxClosing = 8 * time.Second

// closings returns when a VM closed its idle connections to callers, by its log.
func closings(text string) []span {
	var out []span
	for _, m := range closingLines.FindAllStringSubmatch(text, -1) {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		switch {
		case err != nil:
		case m[2] != "drained":
			out = append(out, span{at, at.Add(maxClosing)})
		case len(out) > 0 && at.Before(out[len(out)-1].to):
			out[len(out)-1].to = at
		default:
			out = append(out, span{at, at}) // of a build that logs only the end
		}
	}
	return out
}

func (s *soak) checkRuns() {
	for id, n := range s.runsOf() {
		if n > 1 && s.runsOnce(id) {
			s.addViolation("%s ran %d times", id, n)
		}
	}
	for _, r := range s.ledger.Arrivals() {
		left, leaving := s.drained[r.Endpoint]
		if leaving && r.At.Sub(left) > reactionBound && s.faultFree(r.At) {
			s.addViolation("%s reached %s %s after the endpoint was marked as leaving", r.ID, r.Endpoint, r.At.Sub(left))
		}
		if r.Path == pathReads {
			s.checkReadService(r)
		}
	}
}

func (s *soak) runsOnce(id string) bool {
	for i := range s.answers {
		if a := &s.answers[i]; a.id == id {
			return a.path == pathPay || a.path == pathOnce
		}
	}
	return false
}

// checkReadService checks that a read was sent to the service that the configuration in force names.
func (s *soak) checkReadService(r standin.Run) {
	if !s.faultFree(r.At) {
		return
	}
	var want []string
	for _, c := range s.configs {
		if r.At.Sub(c.at) > reactionBound {
			want = c.reads
		} else if r.At.After(c.at) {
			return // both services are correct during the change
		}
	}
	if !slices.Contains(want, r.Service) {
		s.addViolation("%s was sent to service %s, want %s as configured", r.ID, r.Service, want)
	}
}

// faultFree reports whether no fault was active at the given time or within faultFreePeriod before it.
func (s *soak) faultFree(at time.Time) bool {
	for _, f := range s.faults {
		if f.from.Before(at) && f.to.After(at.Add(-faultFreePeriod)) {
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
			s.addViolation("%s: %s sent an order with token %d after %s with token %d", o.Engine, o.Holder, o.Fence, p.Holder, p.Fence)
		}
		if gap := o.At.Sub(p.At); gap < minHolderGap {
			s.addViolation("%s: %s sent an order only %s after %s", o.Engine, o.Holder, gap, p.Holder)
		}
	}
}

// checkRecovery checks that enough of the requests sent after the recovery succeeded.
func (s *soak) checkRecovery() {
	from := s.noticesEnd
	for _, f := range s.faults {
		if f.to.After(from) {
			from = f.to
		}
	}
	from = from.Add(recoveryTime)
	sent, served := 0, 0
	for i := range s.answers {
		if a := &s.answers[i]; a.sent.After(from) && !errors.Is(a.err, errDropped) {
			sent++
			if a.complete {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedShare*float64(sent) {
		s.addViolation("%d of %d requests succeeded after the recovery", served, sent)
	}
}

// checkProcesses checks that all processes still run and that their logs contain no panic, no report of the race
// detector and no end of an entry twice.
func (s *soak) checkProcesses() {
	s.checkRepeatedEnds()
	for _, v := range s.vms {
		if !v.proc.running() {
			s.addViolation("%s is not running", v.name)
		}
		b, err := os.ReadFile(v.proc.log)
		if err != nil {
			s.addViolation("%s", err)
		}
		if strings.Contains(string(b), "DATA RACE") || strings.Contains(string(b), "panic: ") {
			s.addViolation("%s: data race or panic in its log", v.name)
		}
	}
}

// keepLogs copies the logs of a failed seed to a folder that isn't removed after the test.
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
