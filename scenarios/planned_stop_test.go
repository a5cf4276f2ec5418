package scenarios

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/standin/relay"
	"fescuestand/platform/standin"
)

var (
	stopSeeds = flag.Int("stop.seeds", 1, "number of seeds of each case of TestPlannedStopAnswersAllRequests")
	stopFirst = flag.Int64("stop.first", 1, "the first of these seeds")
	stopAll   = flag.Bool("stop.all", false, "run all cases of TestPlannedStopAnswersAllRequests, not only the short selection")
)

const (
	stopVMs           = 6
	stopCallers       = 48
	stopCallTime      = 100 * time.Millisecond
	stopEventInterval = 20 * time.Millisecond
	// stopSlowdown is by how much longer slowTenths tenths of the answers take that begin later than slowAfter after
	// the signal.
	stopSlowdown = 4500 * time.Millisecond
	slowTenths   = 6
	slowAfter    = 2900 * time.Millisecond
	// comeUntil is the time after the signal until which callers still come to a VM that stops.
	comeUntil = 3900 * time.Millisecond
	// excusedUntil is the time after the signal until which a request may be sent that the end of the VM cuts off while
	// its endpoint is at work.
	excusedUntil = 3 * time.Second
	// stopInterval is the longest time between the signals to two VMs.
	stopInterval = time.Second
	// timeoutSlack is the time before the route's timeout at which a VM may already answer that it has passed.
	timeoutSlack = 100 * time.Millisecond
	// isolatedTime is the time in which a VM notices that it reaches no endpoint.
	isolatedTime = 3 * time.Second
)

// stopCase is a planned stop of VMs.
type stopCase struct {
	path      string
	unlimited bool // requests don't say how long their answers may be
	within    bool // answers slow down in their middle, not before they begin
	stops     int  // VMs that stop, zero for one
	full      bool // endpoints have few places and a queue
	relayed   bool // a VM that reaches no endpoint passes its requests on to others
}

// stopRun is the run of one case.
type stopRun struct {
	*promisesRun
	sc       stopCase
	slowFrom atomic.Int64 // Unix time in ns, zero while answers are fast

	mu      sync.Mutex
	stopped map[*soakVM]time.Time // when a VM got SIGTERM
}

func newStopRun(t *testing.T, seed int64, sc stopCase) *stopRun {
	r := &stopRun{promisesRun: &promisesRun{tc: promisesCase{timeout: graceTimeout}}, sc: sc, stopped: map[*soakVM]time.Time{}}
	setup := engineSetup{
		count: pauseEndpoints, services: pauseEndpoints, versions: []string{"v1"}, vms: stopVMs,
		eventInterval: stopEventInterval, callTime: stopCallTime, delay: r.delay,
	}
	if sc.full {
		setup.slots, setup.serviceSlots, setup.queue = 3, 3, 2
	}
	r.soak = newSoakOf(t, seed, setup)
	r.dropShare = 0
	return r
}

// delay returns by how much longer a request takes that an endpoint begins to run now.
func (r *stopRun) delay(endpoint, id string) (before, within time.Duration) {
	d := r.delayAt(time.Now(), endpoint, id)
	if r.sc.within {
		return 0, d
	}
	return d, 0
}

func (r *stopRun) delayAt(begun time.Time, endpoint, id string) time.Duration {
	from := r.slowFrom.Load()
	if from == 0 || begun.UnixNano() < from || !isSlowAt(endpoint, id) {
		return 0
	}
	return stopSlowdown
}

// isSlowAt reports whether a request is among those that slow down at an endpoint.
func isSlowAt(endpoint, id string) bool { return xxhash.Sum64String(endpoint+id)%10 < slowTenths }

// run stops VMs while callers send requests, and judges the answers.
func (r *stopRun) run() {
	r.awaitAnswers(r.sc.path)
	heal := noop
	if r.sc.relayed {
		heal = r.cutOff(r.vms[stopVMs-1:], relay.RefuseNew)
		time.Sleep(isolatedTime)
	}
	ctx, stop := context.WithCancel(r.ctx)
	var callers sync.WaitGroup
	for i := range stopCallers {
		callers.Go(func() { r.call(ctx, i) })
	}
	time.Sleep(warmUpTime)
	r.stopVMsInOrder()
	stop()
	callers.Wait()
	heal()
	r.judgeEnds()
	r.judge()
}

// stopVMsInOrder sends SIGTERM to VMs, awaits their end and starts them again.
func (r *stopRun) stopVMsInOrder() {
	var ended sync.WaitGroup
	for i := range max(r.sc.stops, 1) {
		if i > 0 {
			time.Sleep(r.upTo(stopInterval))
		}
		v := r.vms[i]
		now := time.Now()
		r.slowFrom.CompareAndSwap(0, now.Add(slowAfter).UnixNano())
		r.mu.Lock()
		r.stopped[v] = now
		r.mu.Unlock()
		assert.Check(r.t, v.proc.signal(syscall.SIGTERM))
		ended.Go(func() {
			_, err := v.proc.await()
			assert.Check(r.t, err)
			r.startAgain(v)
		})
	}
	ended.Wait()
}

// stopOf returns when a VM got SIGTERM, or false if it didn't.
func (r *stopRun) stopOf(v *soakVM) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.stopped[v]
	return at, ok
}

// call sends requests until ctx ends. A caller uses a VM until that stops. Every other caller comes back to it late in
// its shutdown, half of them on a connection that they have kept.
func (r *stopRun) call(ctx context.Context, n int) {
	c := r.newCaller(n)
	c.http.Transport.(*http.Transport).DialContext, c.counted, c.timeout, c.unlimited = dialCounted, true, r.tc.timeout, r.sc.unlimited
	defer c.http.CloseIdleConnections()
	home, isLate, keeps := r.vms[n%max(r.sc.stops, 1)], n%2 == 0, n%4 == 0
	come := slowAfter + time.Duration(c.rng.Int64N(int64(comeUntil-slowAfter)))
	for i := 0; ctx.Err() == nil; i++ {
		at := r.vms[c.rng.IntN(len(r.vms))]
		if r.sc.relayed && n%3 == 0 {
			at = r.vms[stopVMs-1]
		}
		if stop, ok := r.stopOf(home); ok && isLate {
			clock.Sleep(ctx, time.Until(stop.Add(come)))
			if !keeps {
				c.http.CloseIdleConnections()
			}
			at, isLate = home, false
		} else if _, stopping := r.stopOf(at); stopping {
			at = r.vms[stopVMs-1-c.rng.IntN(stopVMs/2)]
		} else if !ok && i%3 == 0 {
			at = home
		}
		a := soakAnswer{id: fmt.Sprintf("%s-%d", c.name, i), path: r.sc.path, vm: at.front, sent: time.Now()}
		r.send(c, &a)
		time.Sleep(requestInterval)
	}
}

// stopEnd is how a request to a VM that stops ended for its caller.
type stopEnd string

const (
	stopWhole    stopEnd = "whole"
	stopRefused  stopEnd = "refused"
	stopFailed   stopEnd = "502"
	stopTimedOut stopEnd = "timed out" // the route's timeout has passed
	stopUnheard  stopEnd = "not accepted"
	stopLeft     stopEnd = "left by its caller"
	stopCut      stopEnd = "cut without a byte"
	stopBroken   stopEnd = "broken off"
	stopOther    stopEnd = "another status"
)

func (r *stopRun) endOf(a *soakAnswer, arrivals int) stopEnd {
	switch {
	case a.complete:
		return stopWhole
	case a.status == http.StatusServiceUnavailable && a.retryAfter != "":
		return stopRefused
	case a.status == http.StatusBadGateway:
		return stopFailed
	case a.status == http.StatusGatewayTimeout && a.answered.Sub(a.sent) >= soakRouteTimeout-timeoutSlack:
		return stopTimedOut
	case errors.Is(a.err, context.DeadlineExceeded):
		return stopLeft
	case errors.Is(a.err, syscall.ECONNREFUSED) || arrivals == 0 && r.crossedClose(a):
		return stopUnheard
	case a.status == 0:
		return stopCut
	case a.status == http.StatusOK:
		return stopBroken
	}
	return stopOther
}

// judgeEnds checks that requests end with a whole answer, a refusal, or a failure that promises nothing.
func (r *stopRun) judgeEnds() {
	arrivals := map[string]int{}
	for _, run := range r.ledger.Arrivals() {
		arrivals[run.ID]++
	}
	r.soak.mu.Lock()
	defer r.soak.mu.Unlock()
	counts := map[string]int{}
	for i := range r.answers {
		a := &r.answers[i]
		end, when := r.endOf(a, arrivals[a.id]), "at other VMs"
		stop, stops := r.stopOf(r.vms[slices.IndexFunc(r.vms, func(v *soakVM) bool { return v.front == a.vm })])
		after := a.sent.Sub(stop) // meaningless unless stops
		switch {
		case stops && after >= time.Duration(r.vms[0].grace*float64(time.Second)):
			when = "after the restart"
		case stops && after >= slowAfter:
			when = "late"
		case stops && after >= 0:
			when = "early"
		case stops:
			when = "before the signal"
		}
		isEnded := end != stopCut && end != stopBroken && end != stopOther
		excused := !isEnded && stops && after <= excusedUntil && r.worksAt(a.id, stop.Add(r.vms[0].excusedWork()))
		if excused {
			end += " (excused)"
		}
		counts[fmt.Sprintf("%s: %s", when, end)]++
		if !isEnded && !excused {
			r.addViolation("LOST: %s %s at %s (%s), sent %s, ended %s after that: %s, status %d, Retry-After %q, %d events, %d times at an endpoint: %v",
				a.id, a.path, r.nameOf(a.vm), when, a.sent.Format("05.000"), a.answered.Sub(a.sent), end, a.status, a.retryAfter, a.events, arrivals[a.id], a.err)
		}
	}
	if counts["late: "+string(stopWhole)]+counts["late: "+string(stopRefused)] == 0 {
		r.addViolation("no caller came late: %v", counts)
	}
	r.t.Log(counts)
}

// excusedWork is the time after the signal from which an endpoint's work excuses the end of a request: the last sixth of
// the grace period.
func (v *soakVM) excusedWork() time.Duration {
	return time.Duration(v.grace * 5 / 6 * float64(time.Second))
}

// worksAt reports whether an endpoint was at work on a request at that time or later.
func (r *stopRun) worksAt(id string, at time.Time) bool {
	if r.sc.path == pathResumable || r.sc.path == pathOnce {
		isDone := slices.ContainsFunc(r.ledger.Events(), func(e standin.Event) bool {
			return e.ID == id && e.Number == standin.Events && e.At.Before(at)
		})
		return !isDone && slices.ContainsFunc(r.ledger.Runs(), func(run standin.Run) bool { return run.ID == id })
	}
	return slices.ContainsFunc(r.ledger.Runs(), func(run standin.Run) bool {
		return run.ID == id && run.At.Add(stopCallTime+r.delayAt(run.At, run.Endpoint, id)).After(at)
	})
}

var stopCases = map[string]stopCase{
	"single":           {path: pathPay},
	"single_within":    {path: pathPay, within: true},
	"single_full":      {path: pathPay, full: true},
	"single_overlap":   {path: pathPay, stops: 3},
	"single_relayed":   {path: pathPay, relayed: true},
	"reads":            {path: pathReads},
	"reads_within":     {path: pathReads, within: true},
	"reads_full":       {path: pathReads, full: true, stops: 2},
	"once":             {path: pathOnce},
	"once_within":      {path: pathOnce, within: true},
	"once_full":        {path: pathOnce, full: true},
	"unlimited":        {path: pathOnce, unlimited: true},
	"unlimited_within": {path: pathOnce, unlimited: true, within: true},
	"resumable":        {path: pathResumable},
	"resumable_within": {path: pathResumable, within: true, stops: 2},
	"resumable_full":   {path: pathResumable, full: true, within: true},
	"resumable_relay":  {path: pathResumable, relayed: true},
}

// stopShort are the cases that run without -stop.all.
const stopShort = "single unlimited_within"

// Guards against requests that a VM takes late in a planned stop and ends without an answer, as endpoints get slower
// after it has taken them.
func TestPlannedStopAnswersAllRequests(t *testing.T) {
	for name, sc := range stopCases {
		if !*stopAll && !slices.Contains(strings.Fields(stopShort), name) {
			continue
		}
		for i := range *stopSeeds {
			seed := *stopFirst + int64(i)
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				r := newStopRun(t, seed, sc)
				r.run()
				r.reportViolations()
			})
		}
	}
}

// Guards against a check of planned stops that can't fail or that excuses too much.
func TestCheckOfPlannedStopsCanFail(t *testing.T) {
	cut := soakAnswer{err: io.ErrUnexpectedEOF}
	for name, tc := range map[string]struct {
		answer soakAnswer
		sent   time.Duration // after the signal
		slow   bool          // the endpoint is at work until the end
		want   string
	}{
		"whole":                     {soakAnswer{status: 200, complete: true}, comeUntil, false, ""},
		"refused":                   {soakAnswer{status: 503, retryAfter: "0.01"}, comeUntil, false, ""},
		"failed":                    {soakAnswer{status: 502}, comeUntil, true, ""},
		"cut, sent early":           {cut, excusedUntil, true, ""},
		"broken off, sent early":    {soakAnswer{status: 200, err: io.ErrUnexpectedEOF}, excusedUntil, true, ""},
		"left by its caller":        {soakAnswer{status: 200, err: context.DeadlineExceeded}, comeUntil, true, ""},
		"timed out":                 {soakAnswer{status: 504, answered: time.Now().Add(comeUntil + soakRouteTimeout)}, comeUntil, true, ""},
		"504 before the timeout":    {soakAnswer{status: 504}, comeUntil, true, string(stopOther)},
		"no time to come back":      {soakAnswer{status: 503}, comeUntil, false, "Retry-After"},
		"cut, sent late":            {cut, excusedUntil + time.Millisecond, true, string(stopCut)},
		"cut before the last sixth": {cut, excusedUntil, false, string(stopCut)},
		"broken off, sent late":     {soakAnswer{status: 200, err: io.ErrUnexpectedEOF}, comeUntil, true, string(stopBroken)},
		"another status":            {soakAnswer{status: 500}, comeUntil, true, string(stopOther)},
	} {
		t.Run(name, func(t *testing.T) {
			log := filepath.Join(t.TempDir(), "log")
			assert.NilError(t, os.WriteFile(log, nil, 0o600))
			v := &soakVM{front: "vm", name: "vm", grace: 8, proc: &process{log: log}}
			stop := time.Now().Add(-excusedUntil)
			tc.answer.id, tc.answer.path, tc.answer.vm, tc.answer.sent = "p", pathPay, "vm", stop.Add(tc.sent)
			late := soakAnswer{id: "q", path: pathPay, vm: "vm", sent: stop.Add(comeUntil), status: 200, complete: true}
			r := &stopRun{stopped: map[*soakVM]time.Time{v: stop}, sc: stopCase{path: pathPay}, promisesRun: &promisesRun{soak: &soak{
				t: t, ledger: standin.NewLedger(), answers: []soakAnswer{tc.answer, late}, vms: []*soakVM{v},
			}}}
			if tc.slow {
				r.slowFrom.Store(stop.UnixNano())
			}
			e := &standin.Endpoint{ID: slowEndpointOf("p"), Service: "s", Slots: 8}
			assert.NilError(t, e.Start("127.0.0.1:0", r.ledger))
			t.Cleanup(e.Crash)
			post(t, e, pathPay, "x", "p")
			r.judgeEnds()
			got := strings.Join(r.violations, "; ")
			assert.Equal(t, got == "", tc.want == "", got)
			assert.Assert(t, strings.Contains(got, tc.want), got)
		})
	}
}

// slowEndpointOf returns the id of an endpoint at which a request is slow.
func slowEndpointOf(id string) string {
	for n := 0; ; n++ {
		if endpoint := fmt.Sprintf("e%d", n); isSlowAt(endpoint, id) {
			return endpoint
		}
	}
}
