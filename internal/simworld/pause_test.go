package simworld

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// pauseEndpoints is the number of engines, and that of endpoints of the plain service.
	pauseEndpoints = 8
	// pauseTime is how long an endpoint pauses, pausedTogether how many pause at the same time, and
	// pauseInterval the time from one pause to the next.
	pauseTime      = 1200 * time.Millisecond
	pausedTogether = 2
	pauseInterval  = 2 * time.Second
	// warmUpTime is the time with load before the first pause, and pausesTime how long endpoints pause or fall silent.
	warmUpTime = 2 * time.Second
	pausesTime = 16 * time.Second
	// pauseEventInterval makes a stream last for two seconds, so that most streams meet a pause.
	pauseEventInterval = 100 * time.Millisecond
	// pauseCallTime makes a call of a plain service last long enough to meet a pause.
	pauseCallTime = 100 * time.Millisecond
	// configInterval is the time between two versions of the configuration.
	configInterval = time.Second
	// silentInterval is the time from one endpoint that falls silent to the next, and restartTime that until another
	// one replaces it.
	silentInterval = 1500 * time.Millisecond
	restartTime    = 800 * time.Millisecond
	// requestInterval is the time from an answer to its caller's next request.
	requestInterval = 30 * time.Millisecond
	// callerTimeout is the maximum time that a caller waits, and callerEventGap the time without an event after which
	// a caller of a stream disconnects.
	callerTimeout  = 8 * time.Second
	callerEventGap = 2 * time.Second
	// minWholeShare is the minimum share of the streams that end whole, of those that weren't refused, while endpoints
	// fall silent, and minWholeShareFull that of a pool whose endpoints reject requests.
	minWholeShare     = 0.95
	minWholeShareFull = 0.90
	minJudgedAnswers  = 30
)

// pauseCase is a pool whose endpoints pause or fall silent.
type pauseCase struct {
	path     string
	callers  int
	slots    int // of each endpoint, zero for the default
	queue    int
	prefills int
	prompts  bool // requests name parts of their prompts
	together bool // all endpoints pause at once
	silent   bool // endpoints fall silent for good, and callers leave after callerEventGap
	terms    bool // VMs get SIGTERM and start again
}

func (c *pauseCase) isStream() bool { return c.path == pathResumable || c.path == pathOnce }

func (c *pauseCase) service() string {
	if c.isStream() {
		return "m"
	}
	return "s"
}

// endpoints returns the endpoints at the start.
func (c *pauseCase) endpoints() []endpointSpec {
	var all []endpointSpec
	for i := range pauseEndpoints {
		stage := catalog.Decode
		if i < c.prefills {
			stage = catalog.Prefill
		}
		all = append(all,
			endpointSpec{service: "m", stage: stage, slots: c.slots, queue: c.queue, interval: pauseEventInterval},
			endpointSpec{service: "s", slots: c.slots, queue: c.queue, callTime: pauseCallTime},
		)
	}
	return all
}

// outcome is how a request ended for its caller.
type outcome int

const (
	wholeAnswer   outcome = iota
	refusedAnswer         // a status that promises that the request hasn't run
	failedAnswer          // another status
	cutOff                // the connection ended before the answer was whole
	callerLeft            // the caller gave up
	notAccepted           // the VM didn't accept the connection, or closed it while it was idle
	outcomes              // the number of outcomes
)

func (o outcome) String() string {
	return [...]string{"whole", "refused", "failed", "cut off", "left by their callers", "not accepted"}[o]
}

// ended is a request and how it ended.
type ended struct {
	id, vm  string
	sent    time.Time
	took    time.Duration
	outcome outcome
	// silentRuns is the number of its runs whose endpoints have fallen silent in them and still are.
	silentRuns int
}

// isOutOfAttempts reports whether each attempt that the route allows ran at an endpoint that fell silent in it, so that
// no endpoint may be asked again.
func (e ended) isOutOfAttempts() bool { return e.outcome == callerLeft && e.silentRuns >= maxAttempts }

func (e ended) String() string {
	return fmt.Sprintf("%s at %s (%s): %s after %s", e.id, e.vm, e.sent.Format("05.000"), e.outcome, e.took)
}

// pauseRun sends requests to a pool whose endpoints pause or fall silent.
type pauseRun struct {
	*world
	tc pauseCase

	mu  sync.Mutex
	all []ended
}

// runPauses runs a case and returns its requests by id.
func runPauses(t *testing.T, seed uint64, tc pauseCase) (all []ended) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pauseRun{world: newWorld(t, seed, tc.endpoints()), tc: tc}
		p.run()
		p.countSilentRuns()
		p.end()
		p.checkRuns()
		p.mu.Lock()
		defer p.mu.Unlock()
		slices.SortFunc(p.all, func(a, b ended) int { return strings.Compare(a.id, b.id) })
		all = p.all
	})
	return all
}

func (p *pauseRun) run() {
	ctx, stop := context.WithCancel(context.Background())
	var callers, disturbances sync.WaitGroup
	for i := range p.tc.callers {
		callers.Go(func() { p.call(ctx, i) })
	}
	time.Sleep(warmUpTime)
	faults, end := context.WithTimeout(ctx, pausesTime)
	defer end()
	disturbances.Go(func() { p.disturb(faults, &disturbances) })
	p.pauseEndpoints(faults)
	stop()
	callers.Wait()
	disturbances.Wait()
}

// call sends requests until ctx ends.
func (p *pauseRun) call(ctx context.Context, caller int) {
	rng, host := p.rand("caller", caller), p.network.NewHost()
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	time.Sleep(time.Duration(rng.Int64N(int64(requestInterval)))) // callers don't begin in step
	for n := 0; ctx.Err() == nil; n++ {
		v := p.vms[rng.IntN(len(p.vms))]
		parts := fmt.Sprintf(`[{"ID":%d,"Tokens":200},{"ID":%d,"Tokens":100}]`, rng.IntN(4), rng.Uint32())
		e := ended{id: fmt.Sprintf("p%d-%d", caller, n), vm: v.name, sent: time.Now()}
		e.outcome = p.exchange(client, v, e.id, parts)
		e.took = time.Since(e.sent)
		p.mu.Lock()
		p.all = append(p.all, e)
		p.mu.Unlock()
		time.Sleep(requestInterval)
	}
}

// exchange sends one request and reads its answer.
func (p *pauseRun) exchange(client *http.Client, v *machine, id, parts string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	// A body that can't be read again keeps net/http from sending the request twice.
	body := io.NopCloser(strings.NewReader(id))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.address(portCallers)+p.tc.path, body)
	assert.NilError(p.t, err)
	req.ContentLength, req.Host = int64(len(id)), routeHost
	req.Header.Set(headerID, id)
	req.Header.Set(headerPatience, fmt.Sprint(callerTimeout.Milliseconds()))
	if p.tc.isStream() {
		req.Header.Set(headerTokens, "300")
	}
	if p.tc.prompts {
		req.Header.Set(headerParts, parts)
	}
	sent := time.Now()
	resp, err := client.Do(req)
	switch {
	case ctx.Err() != nil:
		return callerLeft
	case errors.Is(err, syscall.ECONNREFUSED):
		return notAccepted
	case err != nil && v.crossedClose(id, sent, err):
		return notAccepted
	case err != nil:
		return cutOff
	}
	defer func() { _ = resp.Body.Close() }()
	return p.read(resp, id, cancel)
}

// read reads an answer. Callers of a pool whose endpoints fall silent leave after callerEventGap.
func (p *pauseRun) read(resp *http.Response, id string, leave func()) outcome {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return refusedAnswer
	default:
		return failedAnswer
	}
	if !p.tc.isStream() {
		body, err := io.ReadAll(resp.Body)
		if err == nil && string(body) == callBody(id) {
			return wholeAnswer
		}
		return cutOff
	}
	var left atomic.Bool
	if !p.tc.silent {
		return readStream(resp.Body, id, func() {}, &left)
	}
	gap := time.AfterFunc(callerEventGap, func() { left.Store(true); leave() })
	defer gap.Stop()
	return readStream(resp.Body, id, func() { gap.Reset(callerEventGap) }, &left)
}

// readStream reads a stream, which must have exactly its events.
func readStream(body io.Reader, id string, onEvent func(), left *atomic.Bool) outcome {
	lines, events, text, want := bufio.NewReader(body), 0, "", wholeStream(id)
	for {
		line, err := lines.ReadString('\n')
		text += line
		if strings.HasPrefix(line, "id: ") {
			events++
			onEvent()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && text == want:
			return wholeAnswer
		case left.Load() || errors.Is(err, context.DeadlineExceeded):
			return callerLeft
		default:
			return cutOff
		}
	}
}

func wholeStream(id string) string {
	var all strings.Builder
	for n := range eventCount {
		all.WriteString(event(n+1, id, ""))
	}
	return all.String()
}

// pauseEndpoints pauses endpoints until ctx ends, or has one after the other fall silent.
func (p *pauseRun) pauseEndpoints(ctx context.Context) {
	interval, step := pauseInterval, p.pause
	if p.tc.silent {
		interval, step = silentInterval, p.silence
	}
	for step(); clock.Sleep(ctx, interval); {
		step()
	}
}

func (p *pauseRun) pause() {
	pool := p.pool(p.tc.service())
	if !p.tc.together {
		pool = pool[:pausedTogether]
	}
	for _, e := range pool {
		e.pause(pauseTime)
	}
}

// silence has an endpoint fall silent for good, and starts another one.
func (p *pauseRun) silence() {
	e := p.pool(p.tc.service())[0]
	e.pause(time.Hour)
	time.AfterFunc(restartTime, func() {
		p.retire(e)
		p.addEndpoint(e.endpointSpec)
	})
}

// disturb publishes configurations, and ends and starts VMs if the case says so, until ctx ends.
func (p *pauseRun) disturb(ctx context.Context, all *sync.WaitGroup) {
	for n := 0; ; n++ {
		p.publish()
		if v := p.vms[n%len(p.vms)]; p.tc.terms && n%3 == 0 {
			all.Go(func() { v.stop(); v.start() })
		}
		if !clock.Sleep(ctx, configInterval) {
			return
		}
	}
}

func (p *pauseRun) countSilentRuns() {
	for i := range p.all {
		p.all[i].silentRuns = p.ledger.silentRunsOf(p.all[i].id)
	}
}

// checkRuns checks that nothing ran twice that may run once, that nothing ran that was refused, and that no endpoint
// worked for long on a stream that another one had gone on with.
func (p *pauseRun) checkRuns() {
	more := 0
	for _, e := range p.all {
		runs := p.ledger.runsOf(e.id)
		more += max(runs-1, 0)
		once := p.tc.path == pathPay || p.tc.path == pathOnce
		assert.Check(p.t, !once || runs <= 1, "seed %d: %s ran %d times", p.seed, e, runs)
		assert.Check(p.t, e.outcome != refusedAnswer || runs == 0, "seed %d: %s ran %d times", p.seed, e, runs)
	}
	long, shared := p.ledger.overlaps()
	assert.Check(p.t, len(long) == 0, "seed %d: %s", p.seed, strings.Join(long, "; "))
	p.t.Logf("seed %d: %d runs beyond the first of a request; two endpoints made events of %d streams at the same time", p.seed, more, shared)
}

// count returns the number of requests by outcome.
func count(all []ended) (n [outcomes]int) {
	for _, e := range all {
		n[e.outcome]++
	}
	return n
}

// summary returns the outcomes for the log.
func summary(all []ended) string {
	var out []string
	for o, n := range count(all) {
		out = append(out, fmt.Sprintf("%d %s", n, outcome(o)))
	}
	return strings.Join(out, ", ")
}

// unserved returns the requests that were cut off, failed or left, for a failure.
func unserved(all []ended) string {
	var out []string
	for _, e := range all {
		if e.outcome == cutOff || e.outcome == failedAnswer || e.outcome == callerLeft {
			out = append(out, e.String())
		}
	}
	return strings.Join(out, "; ")
}

// outOfAttempts returns the number of requests that are out of attempts.
func outOfAttempts(all []ended) int {
	n := 0
	for _, e := range all {
		if e.isOutOfAttempts() {
			n++
		}
	}
	return n
}

// digest returns a digest of all that callers saw.
func digest(all []ended) string {
	var text strings.Builder
	for _, e := range all {
		fmt.Fprintln(&text, e, e.sent.UnixNano())
	}
	sum := sha256.Sum256([]byte(text.String()))
	return fmt.Sprintf("%x", sum[:6])
}

// eachSeed runs a case with each seed.
func eachSeed(t *testing.T, tc pauseCase, judge func(t *testing.T, seed uint64, all []ended)) {
	for i := range uint64(*worldSeeds) {
		seed := *worldFirst + i
		all := runPauses(t, seed, tc)
		t.Logf("seed %d: %s; %s", seed, digest(all), summary(all))
		judge(t, seed, all)
	}
}

var pauseCases = map[string]pauseCase{
	"free":            {path: pathResumable, callers: 16},
	"free_together":   {path: pathResumable, callers: 16, together: true},
	"full_8":          {path: pathResumable, callers: 8, slots: 3},
	"full_16":         {path: pathResumable, callers: 16, slots: 3},
	"full_20":         {path: pathResumable, callers: 20, slots: 3},
	"full_together":   {path: pathResumable, callers: 12, slots: 3, together: true},
	"full_terms":      {path: pathResumable, callers: 8, slots: 3, terms: true},
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
}

// Guards against answers that end early or fail while their endpoints only pause.
func TestWorldOfPausedEndpoints(t *testing.T) {
	for name, tc := range pauseCases {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, tc, func(t *testing.T, seed uint64, all []ended) {
				n := count(all)
				failed := n[cutOff] + n[failedAnswer] + n[callerLeft]
				assert.Check(t, failed == 0, "seed %d: %d requests got neither a whole answer nor a refusal: %s", seed, failed, unserved(all))
				assert.Check(t, n[wholeAnswer] >= minJudgedAnswers, "seed %d: too few whole answers to judge: %d", seed, n[wholeAnswer])
			})
		})
	}
}

// Guards against streams and calls that are kept waiting at an endpoint that is silent for good.
func TestWorldOfSilentEndpoints(t *testing.T) {
	for name, tc := range map[string]struct {
		pauseCase
		minWhole float64
		// excusesOutOfAttempts excludes streams that are out of attempts from the share.
		excusesOutOfAttempts bool
	}{
		"free":   {pauseCase: pauseCase{path: pathResumable, callers: 16, silent: true}, minWhole: minWholeShare, excusesOutOfAttempts: true},
		"full":   {pauseCase: pauseCase{path: pathResumable, callers: 8, slots: 3, silent: true}, minWhole: minWholeShareFull},
		"reads":  {pauseCase: pauseCase{path: pathReads, callers: 8, silent: true}, minWhole: minWholeShare},
		"stages": {pauseCase: pauseCase{path: pathResumable, callers: 8, slots: 6, prefills: pauseEndpoints / 2, silent: true}, minWhole: minWholeShareFull},
	} {
		t.Run(name, func(t *testing.T) {
			eachSeed(t, tc.pauseCase, func(t *testing.T, seed uint64, all []ended) {
				n := count(all)
				whole, judged := n[wholeAnswer], n[wholeAnswer]+n[failedAnswer]+n[cutOff]+n[callerLeft]
				if tc.excusesOutOfAttempts {
					judged -= outOfAttempts(all)
				}
				t.Logf("seed %d: %d of %d judged answers are whole, %d requests out of attempts", seed, whole, judged, outOfAttempts(all))
				isEnough := judged >= minJudgedAnswers && float64(whole) >= tc.minWhole*float64(judged)
				assert.Check(t, isEnough, "seed %d: %d of %d answers are whole: %s", seed, whole, judged, unserved(all))
			})
		})
	}
}
