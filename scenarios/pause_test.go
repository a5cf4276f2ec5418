package scenarios

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fescuestand/platform/standin"
)

const (
	// pauseEndpoints is the number of engines, and that of endpoints of each plain service.
	pauseEndpoints = 8
	// pauseTime is how long an endpoint pauses, pausedTogether how many pause at the same time, and
	// pauseInterval the time from one pause to the next.
	pauseTime      = 1200 * time.Millisecond
	pausedTogether = 2
	pauseInterval  = 2 * time.Second
	// pausesTime is how long endpoints pause or fall silent.
	pausesTime = 16 * time.Second
	// pauseEventInterval makes a stream last for two seconds, so that most streams meet a pause.
	pauseEventInterval = 100 * time.Millisecond
	// pauseCallTime makes a call of a plain service last long enough to meet a pause.
	pauseCallTime = 100 * time.Millisecond
	// pauseConfigInterval is the time between two versions of the configuration.
	pauseConfigInterval = time.Second
	// silentInterval is the time from one endpoint that falls silent to the next.
	silentInterval = 1500 * time.Millisecond
	// pauseCallerTimeout is the maximum time that a caller waits, and callerEventGap the time without an
	// event after which a caller of a stream disconnects.
	pauseCallerTimeout = 8 * time.Second
	callerEventGap     = 2 * time.Second
	// minWholeShare is the minimum share of the streams that end whole, of those that weren't refused,
	// while endpoints fall silent, and minWholeShareFull that of a pool whose endpoints reject requests.
	minWholeShare     = 0.95
	minWholeShareFull = 0.90
	minJudgedAnswers  = 30
)

// pauseCase is a pool whose endpoints pause or fall silent.
type pauseCase struct {
	path     string
	callers  int
	slots    int // of each endpoint, zero for as many as there are requests
	queue    int
	prefills int
	prompts  bool          // requests name parts of their prompts
	together bool          // all endpoints pause at once
	interval time.Duration // from one pause to the next, zero for pauseInterval
	silent   bool          // endpoints fall silent for good, and callers leave after callerEventGap
	terms    bool          // VMs get SIGTERM and start again
	hups     bool          // VMs get SIGHUP
	change   configChange
}

// configChange is what the configurations that are published one after the other change.
type configChange int

const (
	changeVersion configChange = iota // nothing but the version
	changeIdleLimit
	changeTimeout // of all routes
	changeRoute   // the services that requests are sent to
)

const (
	shortIdleLimit = time.Second
	// longRouteTimeout is longer than callers wait, shortRouteTimeout as short as some streams last beside pauses.
	longRouteTimeout  = 10 * time.Second
	shortRouteTimeout = 3 * time.Second
	// changePauseInterval isn't a multiple of the time in which a setting changes and returns, so that pauses meet each
	// change at another time.
	changePauseInterval = 3300 * time.Millisecond
	// secondEngineService gets streams as well, or all of them, while routes change.
	secondEngineService = "n"
)

// config returns the n-th configuration.
func (c configChange) config(n int) soakConfig {
	out := soakConfig{reads: []string{"s"}}
	switch c {
	case changeIdleLimit:
		out.idle = []time.Duration{shortIdleLimit, soakIdleLimit}[n%2]
	case changeTimeout:
		out.timeout = []time.Duration{shortRouteTimeout, longRouteTimeout}[n%2]
	case changeRoute:
		out.reads = [][]string{{"t"}, {"s", "t"}, {"s"}}[n%3]
		out.streams = [][]string{{secondEngineService}, {soakEngineService, secondEngineService}, {soakEngineService}}[n%3]
	}
	return out
}

// pauseOutcome is how a request ended for its caller.
type pauseOutcome int

const (
	wholeAnswer   pauseOutcome = iota
	refusedAnswer              // a status that promises that the request hasn't run
	failedAnswer               // another status
	cutOff                     // the connection ended before the answer was whole
	callerLeft                 // the caller gave up
	timedOut                   // the route's timeout passed, which is shorter than its caller waits
	notAccepted                // the VM didn't accept the connection, or closed it while it was idle
	pauseOutcomes              // the number of outcomes
)

func (o pauseOutcome) String() string {
	return [...]string{"whole", "refused", "failed", "cut off", "left by their callers", "timed out", "not accepted"}[o]
}

// pauseEnd is how a request ended without a whole answer or a refusal.
type pauseEnd struct {
	id      string
	vm      *soakVM
	sent    time.Time
	took    time.Duration
	outcome pauseOutcome
	crossed *soakAnswer // that may have crossed the closing of its connection, or nil
	writes  string      // what its caller wrote
}

func (e *pauseEnd) String() string {
	return fmt.Sprintf("%s at %s (%s): %s after %s", e.id, e.vm.name, e.sent.Format("05.000"), e.outcome, e.took.Round(time.Millisecond))
}

// pauseRun sends requests to a pool whose endpoints pause or fall silent.
type pauseRun struct {
	*soak
	tc pauseCase

	disturbances sync.WaitGroup // that end before the run is judged

	mu       sync.Mutex
	outcomes [pauseOutcomes]int
	ends     []pauseEnd
	cut      []string // the requests that were cut off or failed, for the log of a failure
	pauses   []string // of endpoints, for the log of a failure
}

func (p *pauseRun) setup() engineSetup {
	out := engineSetup{
		count: pauseEndpoints, versions: []string{"v1"}, services: pauseEndpoints, eventInterval: pauseEventInterval,
		callTime: pauseCallTime, slots: p.tc.slots, serviceSlots: p.tc.slots, queue: p.tc.queue, prefills: p.tc.prefills,
	}
	if p.tc.change == changeRoute {
		out.moreServices = []string{secondEngineService}
	}
	return out
}

// call sends requests until ctx ends.
func (p *pauseRun) call(ctx context.Context, caller int) {
	rng := rand.New(rand.NewPCG(uint64(p.seed), uint64(caller)+7))
	client := &http.Client{Transport: &http.Transport{DialContext: dialCounted, DisableCompression: true, MaxIdleConnsPerHost: 4}}
	if p.tc.change == changeIdleLimit {
		client.Transport.(*http.Transport).IdleConnTimeout = shortIdleLimit * 4 / 5
	}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id, vm := fmt.Sprintf("p%d-%d", caller, n), p.vms[rng.IntN(len(p.vms))]
		sent := time.Now()
		var w writes
		o, crossed := p.exchange(client, vm, id, rng, &w)
		p.mu.Lock()
		p.outcomes[o]++
		if o == cutOff || o == failedAnswer || o == callerLeft {
			p.ends = append(p.ends, pauseEnd{id, vm, sent, time.Since(sent), o, crossed, w.String()})
		}
		p.mu.Unlock()
		time.Sleep(requestInterval)
	}
}

// exchange sends one request and reads its answer. It returns an answer as well if there was none, and the request may
// have crossed the closing of its connection.
func (p *pauseRun) exchange(client *http.Client, vm *soakVM, id string, rng *rand.Rand, w *writes) (pauseOutcome, *soakAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), pauseCallerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(w.trace(ctx), http.MethodPost, "http://"+vm.front+p.tc.path, io.NopCloser(strings.NewReader(id)))
	if err != nil {
		p.t.Error(err)
		return notAccepted, nil
	}
	req.ContentLength, req.Host = int64(len(id)), soakHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(pauseCallerTimeout.Milliseconds()))
	if p.isStream() {
		req.Header.Set("Token-Count", "300,20")
	}
	if p.tc.prompts {
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("aa%d:200,%x:100", rng.IntN(4), rng.Uint32()))
	}
	sent := time.Now()
	resp, err := client.Do(req)
	switch {
	case ctx.Err() != nil:
		return callerLeft, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return notAccepted, nil
	case err != nil:
		return cutOff, &soakAnswer{id: id, vm: vm.front, sent: sent, answered: time.Now(), err: err, unwritten: w.unwritten()}
	}
	defer func() { _ = resp.Body.Close() }()
	return p.read(resp, id, cancel), nil
}

// isUnread reports whether a request crossed the closing of its connection, and no VM has passed it on.
func (p *pauseRun) isUnread(a *soakAnswer) bool {
	isIt := func(r standin.Run) bool { return r.ID == a.id }
	return p.crossedClose(a) && !slices.ContainsFunc(p.ledger.Arrivals(), isIt)
}

func (p *pauseRun) isStream() bool { return p.tc.path == pathResumable || p.tc.path == pathOnce }

// read reads an answer. Callers of a pool whose endpoints fall silent leave after callerEventGap.
func (p *pauseRun) read(resp *http.Response, id string, leave func()) pauseOutcome {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return refusedAnswer
	default:
		return failedAnswer
	}
	if !p.isStream() {
		body, err := io.ReadAll(resp.Body)
		if err == nil && string(body) == standin.CallBody(id) {
			return wholeAnswer
		}
		return cutOff
	}
	var left bool
	if p.tc.silent {
		gap := time.AfterFunc(callerEventGap, func() { left = true; leave() })
		defer gap.Stop()
		return p.readStream(resp.Body, func() { gap.Reset(callerEventGap) }, &left)
	}
	return p.readStream(resp.Body, func() {}, &left)
}

func (p *pauseRun) readStream(body io.Reader, onEvent func(), left *bool) pauseOutcome {
	lines, events := bufio.NewReader(body), 0
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			events++
			onEvent()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && events == standin.Events:
			return wholeAnswer
		case *left || errors.Is(err, context.DeadlineExceeded):
			return callerLeft
		default:
			return cutOff
		}
	}
}

// pauseEndpoints pauses endpoints until ctx ends, or has one after the other fall silent.
func (p *pauseRun) pauseEndpoints(ctx context.Context) {
	interval := cmp.Or(p.tc.interval, pauseInterval)
	if p.tc.silent {
		interval = silentInterval
	}
	for {
		switch {
		case p.tc.silent:
			p.silence()
		default:
			p.pause()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// pool returns the endpoints that serve the requests, in a random order.
func (p *pauseRun) pool() []*soakEndpoint {
	p.soak.mu.Lock()
	defer p.soak.mu.Unlock()
	var out []*soakEndpoint
	for _, e := range p.endpoints {
		if !e.removed && (e.Stage != "") == p.isStream() {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *soakEndpoint) int { return strings.Compare(a.ID, b.ID) })
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (p *pauseRun) pause() {
	pool := p.pool()
	if !p.tc.together {
		pool = pool[:pausedTogether]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range pool {
		e.Pause(pauseTime)
		p.pauses = append(p.pauses, e.ID+" at "+time.Now().Format("05.000"))
	}
}

// silence has an endpoint fall silent for good, and starts another one. Its entry stays until its reports
// have been missing for a while, its connections stay open.
func (p *pauseRun) silence() {
	e := p.pool()[0]
	p.soak.mu.Lock()
	e.silent = true
	p.soak.mu.Unlock()
	e.Pause(time.Hour)
	time.AfterFunc(endpointRestartTime, func() {
		p.removeEndpoint(e)
		p.addEndpoint(e.Service, e.Stage)
	})
}

// disturb publishes configurations and signals VMs, as the case says, until ctx ends.
func (p *pauseRun) disturb(ctx context.Context) {
	for n := 0; ; n++ {
		p.publishConfig(p.tc.change.config(n))
		v := p.vms[n%len(p.vms)]
		switch {
		case p.tc.terms && n%3 == 0:
			p.disturbances.Go(func() { p.terminate(v) })
		case p.tc.hups:
			_ = v.proc.signal(syscall.SIGHUP)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pauseConfigInterval):
		}
	}
}

// terminate ends a VM in order and starts it again.
func (p *pauseRun) terminate(v *soakVM) {
	if err := v.proc.signal(syscall.SIGTERM); err != nil {
		p.t.Error(err)
		return
	}
	if _, err := v.proc.await(); err != nil {
		p.t.Error(err)
	}
	if p.ctx.Err() != nil {
		return
	}
	if err := v.proc.start(); err != nil {
		p.t.Error(err)
	}
}

// run runs the case and returns the outcomes.
func (p *pauseRun) run() {
	p.awaitServing()
	ctx, stop := context.WithCancel(p.ctx)
	var callers sync.WaitGroup
	for i := range p.tc.callers {
		callers.Go(func() { p.call(ctx, i) })
	}
	time.Sleep(warmUpTime)
	faults, end := context.WithTimeout(ctx, pausesTime)
	defer end()
	p.disturbances.Go(func() { p.disturb(faults) })
	p.pauseEndpoints(faults)
	stop()
	callers.Wait()
	p.disturbances.Wait()
	p.judgeEnds()
}

// judgeEnds tells requests that crossed the closing of their connections, and those that the timeout of their route has
// ended, from others. VMs have written their logs by then: they write them later than they close connections.
func (p *pauseRun) judgeEnds() {
	for _, e := range p.ends {
		if e.crossed != nil && p.isUnread(e.crossed) {
			p.outcomes[e.outcome]--
			p.outcomes[notAccepted]++
			continue
		}
		if e.crossed != nil {
			p.t.Logf("%s: %v, %s", &e, e.crossed.err, e.writes)
		}
		if limit := p.routeTimeout(&e); limit < pauseCallerTimeout && e.took >= limit {
			p.outcomes[e.outcome]--
			p.outcomes[timedOut]++
			continue
		}
		p.cut = append(p.cut, e.String())
	}
}

var requestConfig = regexp.MustCompile(` config=(\d+) `)

// routeTimeout returns the timeout in the configuration by which a VM served a request, by its log. It is the
// longest one if the VM has logged nothing of the request.
func (p *pauseRun) routeTimeout(e *pauseEnd) time.Duration {
	text, err := os.ReadFile(e.vm.proc.log)
	if err != nil {
		p.t.Error(err)
	}
	timeout := longRouteTimeout
	for line := range strings.Lines(string(text)) {
		m := requestConfig.FindStringSubmatch(line)
		if m == nil || !strings.Contains(line, " id="+e.id+" ") {
			continue
		}
		for _, c := range p.configs {
			if m[1] == strconv.Itoa(c.version) {
				timeout = cmp.Or(c.timeout, soakRouteTimeout)
			}
		}
	}
	return timeout
}

// checkNothingQuarantined checks that no VM has taken pauses for crashes under requests or prompt parts.
func (p *pauseRun) checkNothingQuarantined() {
	p.checkQuarantines()
	for _, v := range p.vms {
		text, err := os.ReadFile(v.proc.log)
		if err != nil {
			p.t.Error(err)
		}
		if n := strings.Count(string(text), `message="prompt part quarantined"`); n > 0 {
			p.addViolation("%s has quarantined prompt parts %d times", v.name, n)
		}
	}
}

// summary returns the outcomes for the log.
func (p *pauseRun) summary() string {
	var out []string
	for o := range pauseOutcomes {
		out = append(out, fmt.Sprintf("%d %s", p.outcomes[o], o))
	}
	return strings.Join(out, ", ")
}

var pauseCases = map[string]pauseCase{
	"free":            {path: pathResumable, callers: 16},
	"free_together":   {path: pathResumable, callers: 16, together: true},
	"full_8":          {path: pathResumable, callers: 8, slots: 3},
	"full_16":         {path: pathResumable, callers: 16, slots: 3},
	"full_20":         {path: pathResumable, callers: 20, slots: 3},
	"full_together":   {path: pathResumable, callers: 12, slots: 3, together: true},
	"full_terms":      {path: pathResumable, callers: 8, slots: 3, terms: true},
	"full_hups":       {path: pathResumable, callers: 8, slots: 3, hups: true},
	"stages":          {path: pathResumable, callers: 8, slots: 3, prefills: pauseEndpoints / 2},
	"stages_queue":    {path: pathResumable, callers: 16, slots: 3, queue: 2, prefills: pauseEndpoints / 2},
	"prompts":         {path: pathResumable, callers: 16, slots: 3, prompts: true},
	"once":            {path: pathOnce, callers: 8, slots: 3},
	"reads":           {path: pathReads, callers: 8, slots: 3},
	"reads_full":      {path: pathReads, callers: 20, slots: 1},
	"reads_terms":     {path: pathReads, callers: 20, slots: 1, terms: true},
	"commits":         {path: pathPay, callers: 8, slots: 3},
	"reads_together":  {path: pathReads, callers: 8, slots: 3, together: true},
	"stages_terms":    {path: pathResumable, callers: 8, slots: 3, prefills: pauseEndpoints / 2, terms: true},
	"stages_prompts":  {path: pathResumable, callers: 8, slots: 3, prefills: pauseEndpoints / 2, prompts: true},
	"stages_together": {path: pathResumable, callers: 12, slots: 3, prefills: pauseEndpoints / 2, together: true},

	"prompts_together":    {path: pathResumable, callers: 16, slots: 3, prompts: true, together: true, interval: changePauseInterval},
	"idle_limit":          {path: pathResumable, callers: 16, slots: 3, change: changeIdleLimit, hups: true},
	"idle_limit_together": {path: pathResumable, callers: 16, slots: 3, change: changeIdleLimit, together: true, interval: changePauseInterval, terms: true},
	"idle_limit_reads":    {path: pathReads, callers: 20, slots: 1, change: changeIdleLimit, terms: true},
	"timeout":             {path: pathResumable, callers: 16, slots: 3, change: changeTimeout, terms: true, hups: true},
	"timeout_together":    {path: pathResumable, callers: 12, slots: 3, change: changeTimeout, together: true, interval: changePauseInterval},
	"route":               {path: pathResumable, callers: 16, slots: 3, change: changeRoute, terms: true, hups: true},
	"route_together":      {path: pathResumable, callers: 12, slots: 3, change: changeRoute, together: true, interval: changePauseInterval},
	"route_stages":        {path: pathResumable, callers: 16, slots: 3, queue: 2, prefills: pauseEndpoints / 2, change: changeRoute},
	"route_reads":         {path: pathReads, callers: 20, slots: 1, change: changeRoute, terms: true, hups: true},
}

// Guards against answers that end early or fail while their endpoints only pause, as a working exchange is
// given up before another endpoint has taken the request.
func TestPausedEndpointsCutNoAnswer(t *testing.T) {
	for name, tc := range pauseCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &pauseRun{tc: tc}
			p.soak = newSoakOf(t, 5, p.setup())
			p.run()
			t.Log(p.summary())
			if n := p.outcomes[cutOff] + p.outcomes[failedAnswer] + p.outcomes[callerLeft]; n > 0 {
				p.addViolation("%d requests got neither a whole answer nor a refusal: %s", n, strings.Join(p.cut, "; "))
				t.Logf("endpoints paused: %s", strings.Join(p.pauses, "; "))
			}
			if p.outcomes[wholeAnswer] < minJudgedAnswers {
				p.addViolation("too few whole answers to judge: %d", p.outcomes[wholeAnswer])
			}
			p.checkRuns()
			p.checkNothingQuarantined()
			p.checkProcesses()
			p.reportViolations()
		})
	}
}

// Guards against streams and calls that are kept waiting at an endpoint that is silent for good.
func TestSilentEndpointsAreLeftInTime(t *testing.T) {
	for name, tc := range map[string]struct {
		pauseCase
		minWhole float64
	}{
		"free":   {pauseCase{path: pathResumable, callers: 16, silent: true}, minWholeShare},
		"full":   {pauseCase{path: pathResumable, callers: 8, slots: 3, silent: true}, minWholeShareFull},
		"reads":  {pauseCase{path: pathReads, callers: 8, silent: true}, minWholeShare},
		"stages": {pauseCase{path: pathResumable, callers: 8, slots: 6, prefills: pauseEndpoints / 2, silent: true}, minWholeShareFull},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &pauseRun{tc: tc.pauseCase}
			p.soak = newSoakOf(t, 5, p.setup())
			p.run()
			t.Log(p.summary())
			whole, judged := p.outcomes[wholeAnswer], p.outcomes[wholeAnswer]+p.outcomes[failedAnswer]+p.outcomes[cutOff]+p.outcomes[callerLeft]
			if judged < minJudgedAnswers || float64(whole) < tc.minWhole*float64(judged) {
				p.addViolation("%d of %d answers are whole: %s", whole, judged, strings.Join(p.cut, "; "))
			}
			p.checkProcesses()
			p.reportViolations()
		})
	}
}
