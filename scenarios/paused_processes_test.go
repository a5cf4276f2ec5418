package scenarios

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/platform/standin"
)

// pausedCase is a condition in which requests meet endpoints whose processes are paused.
type pausedCase struct {
	endpoint endpointSpec // of all services
	count    int          // endpoints of each service
}

// pausedPaths are the paths of requests in the proportion in which callers send them.
var pausedPaths = []string{pathPay, pathPay, pathPay, pathOnce, pathOnce, pathResumable, pathReads}

// pausedConfigs are published in turn, each of them pausedLead before a pause.
var pausedConfigs = []soakConfig{
	{reads: []string{"s"}, idle: shortIdleLimit},
	{reads: []string{"s"}, timeout: shortRouteTimeout, idle: shortIdleLimit},
	{reads: []string{"t"}, pays: []string{"t"}},
	{reads: []string{"s", "t"}, pays: []string{"s", "t"}, idle: shortIdleLimit},
	{reads: []string{"s"}, timeout: time.Second},
	{reads: []string{"s"}},
}

const (
	pausedLead     = 600 * time.Millisecond
	pausedInterval = 700 * time.Millisecond // between the end of a pause and the next configuration
	pausedVMs      = 6
	pausedCallers  = 40
	// pausedCallerTime is longer than a pause.
	pausedCallerTime = 2500 * time.Millisecond
	// pausedRepeatDelay is the longest time that callers wait before they repeat a request.
	pausedRepeatDelay = 250 * time.Millisecond
)

var (
	pausedShares = []float64{1, 0.6} // of the endpoints of a service
	pausedTimes  = []time.Duration{1200 * time.Millisecond, 1100 * time.Millisecond, 1300 * time.Millisecond, time.Second}
)

var (
	fullEndpoint = endpointSpec{Slots: 2, Queue: 2, KeepAlive: 5 * time.Second, CallTime: 60 * time.Millisecond, EventTime: 30 * time.Millisecond}
	lateEndpoint = endpointSpec{Slots: 2, Queue: 1, Late: 2, KeepAlive: 5 * time.Second, CallTime: 15 * time.Millisecond, EventTime: 30 * time.Millisecond}
)

var pausedCases = map[string]pausedCase{
	"full": {fullEndpoint, 2},
	"late": {lateEndpoint, 1},
}

// pausedRun is the run of a case.
type pausedRun struct {
	*soak
	tc        pausedCase
	processes []*endpointProcess

	mu      sync.Mutex
	records []endpointRecord
}

func newPausedRun(t *testing.T, seed int64, tc pausedCase) *pausedRun {
	p := &pausedRun{tc: tc, soak: &soak{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(uint64(seed), 1)), dir: t.TempDir(),
		store: standin.NewStore(), ledger: standin.NewLedger(), endpoints: map[string]*soakEndpoint{}, drained: map[string]time.Time{},
	}}
	srv := httptest.NewServer(p.store)
	p.storeAddr = strings.TrimPrefix(srv.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	p.ctx = ctx
	t.Cleanup(func() {
		p.stopVMs()
		cancel()
		p.wg.Wait()
		srv.CloseClientConnections()
		srv.Close()
	})
	p.publish("s")
	for range tc.count {
		p.addProcess(soakEngineService, "decode")
		p.addProcess("s", "")
		p.addProcess("t", "")
	}
	for i := range pausedVMs {
		p.addVM(i)
	}
	return p
}

// addProcess starts an endpoint that is reported to the store until the run ends.
func (p *pausedRun) addProcess(service, stage string) {
	p.started++
	spec := p.tc.endpoint
	spec.ID, spec.Service, spec.Stage, spec.Version = p.endpointID(p.started), service, stage, standin.DefaultVersion
	e := startEndpoint(p.t, &spec, p.record)
	p.processes = append(p.processes, e)
	p.wg.Go(func() {
		p.store.Put("keyed.servers", e.ID, e.entry())
		repeat(p.ctx, reportInterval, func(int) { p.store.Put("keyed.servers", e.ID, e.entry()) })
	})
}

func (p *pausedRun) record(r endpointRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.records = append(p.records, r)
}

// call sends requests until ctx ends. Some go on connections that the caller keeps.
func (p *pausedRun) call(ctx context.Context, n int) {
	kept, single := p.newCaller(n), p.newCaller(n)
	single.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	kept.timeout, single.timeout = pausedCallerTime, pausedCallerTime
	defer kept.http.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		p.request(kept, single, i)
		time.Sleep(requestInterval)
	}
}

// request sends a request, and repeats it as callers may: one that may run once only after a refusal.
func (p *pausedRun) request(kept, single *soakCaller, n int) {
	path := pausedPaths[kept.rng.IntN(len(pausedPaths))]
	c := kept
	for i := range maxRepeats + 1 {
		a := soakAnswer{
			id: fmt.Sprintf("%s-%d-%d", kept.name, n, i), body: fmt.Sprintf("%s-%d", kept.name, n), path: path,
			vm: p.vms[kept.rng.IntN(len(p.vms))].front, sent: time.Now(),
		}
		c.exchange(&a)
		c.record(&a)
		mayRepeat := promisesNotRun(a.status) || path == pathReads
		if a.complete || !mayRepeat || p.ctx.Err() != nil {
			return
		}
		if kept.rng.IntN(2) == 0 {
			c = single
		}
		time.Sleep(time.Duration(kept.rng.Int64N(int64(pausedRepeatDelay))))
	}
}

// run sends requests while endpoints pause, until all have been answered.
func (p *pausedRun) run() {
	p.awaitAnswers(pathPay)
	ctx, stop := context.WithCancel(p.ctx)
	var callers sync.WaitGroup
	for i := range pausedCallers {
		callers.Go(func() { p.call(ctx, i) })
	}
	time.Sleep(warmUpTime / 2)
	p.injectFaults()
	stop()
	callers.Wait()
	time.Sleep(promisesEnd)
}

func (p *pausedRun) injectFaults() {
	for n, end := 0, time.Now().Add(*promisesTime); time.Now().Before(end); n++ {
		p.publishConfig(pausedConfigs[n%len(pausedConfigs)])
		time.Sleep(pausedLead)
		p.pauseShare(pausedShares[n%len(pausedShares)], pausedTimes[n%len(pausedTimes)])
		time.Sleep(pausedInterval)
	}
}

// pauseShare stops the processes of a share of the endpoints of each service for d.
func (p *pausedRun) pauseShare(share float64, d time.Duration) {
	byService := map[string][]*endpointProcess{}
	for _, e := range p.processes {
		byService[e.Service] = append(byService[e.Service], e)
	}
	var paused []*endpointProcess
	for _, list := range byService {
		paused = append(paused, list[:int(math.Ceil(share*float64(len(list))))]...)
	}
	for _, e := range paused {
		e.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, e := range paused {
		e.signal(syscall.SIGCONT)
	}
}

// judge checks that no request ran twice that may run once, and that none ran that was refused.
func (p *pausedRun) judge() {
	runs := p.runsByID()
	for i := range p.answers {
		a := &p.answers[i]
		list := runs[a.id]
		if a.path != pathPay && a.path != pathOnce || len(list) == 0 {
			continue
		}
		where := fmt.Sprintf("%s %s, sent %s, status %d, run %s", a.id, a.path, a.sent.Format("05.000"), a.status, strings.Join(list, ", "))
		if len(list) > 1 {
			p.addViolation("TWICE: %s", where)
		}
		if promisesNotRun(a.status) {
			p.addViolation("REFUSED: %s", where)
		}
	}
}

// runsByID returns the time and the endpoint of each run.
func (p *pausedRun) runsByID() map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]string{}
	for _, r := range p.records {
		if r.Kind == recordRun {
			out[r.ID] = append(out[r.ID], "at "+r.Endpoint+" "+r.At.Format("05.000"))
		}
	}
	return out
}

// saveRecords keeps the endpoints' records beside the logs of the VMs.
func (p *pausedRun) saveRecords() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var text strings.Builder
	for _, r := range p.records {
		fmt.Fprintln(&text, r.At.Format("05.000000"), r.Kind, r.ID, r.Path, r.Endpoint)
	}
	assert.Check(p.t, os.WriteFile(filepath.Join(p.dir, "records.txt"), []byte(text.String()), 0o600))
}

// pausedSummary counts the answers and records for the log.
func (p *pausedRun) pausedSummary() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	statuses, kinds := map[int]int{}, map[string]int{}
	for i := range p.answers {
		statuses[p.answers[i].status]++
	}
	for _, r := range p.records {
		kinds[r.Kind]++
	}
	return fmt.Sprintf("%d requests: statuses %v, records %v", len(p.answers), statuses, kinds)
}

// Guards against requests that run twice, or after a refusal which promises that they don't, while the processes of
// endpoints are paused with requests in their sockets, or send copies of their rejections late.
func TestPausedProcessesRunRequestsOnce(t *testing.T) {
	for name, tc := range pausedCases {
		for i := range *promisesSeeds {
			seed := *promisesFirst + int64(i)
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				p := newPausedRun(t, seed, tc)
				p.run()
				p.judge()
				t.Log(p.pausedSummary())
				p.saveRecords()
				p.checkProcesses()
				p.reportViolations()
			})
		}
	}
}

// Guards against a check of paused processes that can't fail.
func TestCheckOfPausedProcessesCanFail(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		status int
		runs   int
		want   []string
	}{
		"run":               {pathPay, http.StatusOK, 1, nil},
		"refused":           {pathPay, http.StatusServiceUnavailable, 0, nil},
		"may run again":     {pathResumable, http.StatusServiceUnavailable, 2, nil},
		"twice":             {pathOnce, http.StatusOK, 2, []string{"TWICE"}},
		"refused and run":   {pathPay, http.StatusServiceUnavailable, 1, []string{"REFUSED"}},
		"refused and twice": {pathOnce, http.StatusTooManyRequests, 2, []string{"TWICE", "REFUSED"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := &pausedRun{soak: &soak{t: t, answers: []soakAnswer{{id: "1", path: tc.path, status: tc.status}}}}
			for range tc.runs {
				p.record(endpointRecord{Kind: recordRun, ID: "1"})
			}
			p.record(endpointRecord{Kind: recordRejected, ID: "1"})
			p.judge()
			rules := slices.Clone(p.violations)
			for i := range rules {
				rules[i], _, _ = strings.Cut(rules[i], ":")
			}
			assert.DeepEqual(t, rules, tc.want)
		})
	}
}
