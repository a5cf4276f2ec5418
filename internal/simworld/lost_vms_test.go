package simworld

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
)

const (
	// lossEndpoints is the number of endpoints of a version.
	lossEndpoints = 6
	lossCallers   = 48
	// lossSlots is the number of streams that an endpoint runs at a time: half of the endpoints bear all callers.
	lossSlots = 24
	// lossEventInterval makes a stream last for two seconds, so that most streams are open at a loss.
	lossEventInterval = 100 * time.Millisecond
	// lossWarmUp is the time with load before the first change, longer than a stream may be taken up.
	lossWarmUp = 40 * time.Second
	// lossStartSpread is the time in which callers begin, that of a stream.
	lossStartSpread = eventCount * lossEventInterval
	// replaceInterval is the time between two endpoints that are replaced by a release.
	replaceInterval = 300 * time.Millisecond
	// endDelay is the time from the removal of an endpoint's entry to its end.
	endDelay = 1500 * time.Millisecond
	// maxLossDelay bounds the time from the last change to the loss, in which most of the streams from before the
	// change are open.
	maxLossDelay = time.Second
	// restartDelay is the time from the loss to the start of the first VM, and maxRestartGap bounds the time until the
	// last one starts.
	restartDelay  = 2 * time.Second
	maxRestartGap = 500 * time.Millisecond
	// afterLossTime is the time with load after the restart.
	afterLossTime = 8 * time.Second
	// lossTimeout is how long a caller waits, also for a VM that takes its stream up.
	lossTimeout = 8 * time.Second
	// retryPause is the time between two attempts to connect, unless a case says otherwise.
	retryPause = 50 * time.Millisecond
	// maxRefusals is how often a caller takes a stream up again that was refused with a retry delay.
	maxRefusals = 3
	// refusalTime is the maximum time until a refusal: a query of the other VMs and a read of the store.
	refusalTime = 500 * time.Millisecond
	// storeRefusalTime is that where the store fails: only a further attempt to read it can tell whether the stream
	// goes on.
	storeRefusalTime = time.Second
	// unnamedShare is the share of the callers that don't name a stream's first attempt when they take it up.
	unnamedShare = 0.15
	// learnTime is the time after which VMs must know of a new endpoint.
	learnTime = 500 * time.Millisecond
	// minJudgedTakeUps is the minimum number of take-ups to judge.
	minJudgedTakeUps = 6
)

// The services and versions of the engines.
const (
	serviceBefore = "m"
	serviceMoved  = "m2" // to which the route moves
	versionOld    = "v1"
	versionNew    = "v2"
	versionMoved  = "w1"
)

// The variants of the configuration.
const (
	routeMoved   = "moved"
	routeShorter = "shorter"
)

// variants change a configuration.
var variants = map[string]func(c *catalog.Config){
	routeMoved:   func(c *catalog.Config) { moveRoute(c, pathResumable) },
	routeShorter: func(c *catalog.Config) { moveRoute(c, "/resum") },
}

// moveRoute has the route of the streams lead to another service, with another prefix.
func moveRoute(c *catalog.Config, prefix string) {
	var routes []*catalog.Route
	for r := range c.Routes() {
		moved := *r
		if moved.PathPrefix == pathResumable {
			moved.PathPrefix, moved.Shares = prefix, []catalog.Share{{Service: serviceMoved, Weight: 1}}
		}
		routes = append(routes, &moved)
	}
	*c = *newConfig(c.Version, routes)
}

// attempt is one request of a stream.
type attempt struct {
	reply
	body         string
	unnamed      bool // it takes up a stream and doesn't name its first attempt
	eventsBefore int
	refusal      string        // the body of a refusal
	retryAfter   time.Duration // that a refusal asks for, or zero
	isLast       bool          // the caller makes no further attempt to take the stream up
	began        string        // the version that began the stream that it takes up
}

func (a *attempt) isTakeUp() bool { return a.eventsBefore > 0 }

// wentOn reports whether the attempt brought further events of its stream, or its end.
func (a *attempt) wentOn() bool { return a.complete || a.events > a.eventsBefore }

func (a *attempt) String() string {
	return fmt.Sprintf("%s (of %s, %d events of %s) at %s, %s: status %d after %s, %d events of %s, %v %s%s", a.id, a.root, a.eventsBefore, a.began, a.vm,
		a.sent.Format("05.000"), a.status, a.answered.Sub(a.sent), a.events, a.version, a.err, a.refusal, a.problem)
}

// served is the time in which an endpoint serves.
type served struct {
	version  string
	from, to time.Time // to is zero if it serves still
}

// lossRun has callers take up their streams after a loss of all VMs.
type lossRun struct {
	*world
	tc lossCase

	mu       sync.Mutex
	attempts []attempt
	served   map[*endpoint]*served
	ending   sync.WaitGroup
	lost     time.Time // when VMs were lost last
	copied   [logs]int // lengths of the logs in a copy of the store
	quick    string    // version whose endpoints send events each quickInterval, or empty
	frozen   string    // address of a VM that hears nothing, or empty
}

func lossSpec(service, version string) endpointSpec {
	return endpointSpec{service: service, version: version, stage: catalog.Decode, slots: lossSlots, interval: lossEventInterval}
}

// add starts an endpoint.
func (l *lossRun) add(service, version string) {
	spec := lossSpec(service, version)
	spec.onRequest = l.tc.onRequest
	if version == l.quick {
		spec.interval = quickInterval
	}
	e := l.addEndpoint(spec)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[e] = &served{version: version, from: time.Now()}
}

// restartAsNew has an endpoint start again at the new version, under its id.
func (l *lossRun) restartAsNew(e *endpoint) *endpoint {
	started := l.restart(e, versionNew)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[e].to = time.Now()
	l.served[started] = &served{version: versionNew, from: time.Now()}
	return started
}

func (l *lossRun) restartEach(endpoints []*endpoint) {
	for _, e := range endpoints {
		l.restartAsNew(e)
		time.Sleep(replaceInterval)
	}
}

// restartInPlace has all endpoints start again at the new version one by one.
func restartInPlace(l *lossRun) { l.restartEach(l.ofVersion(versionOld)) }

// restartSome has two endpoints that run requests start again at the new version, and restartNew has those of it start
// again.
func restartSome(l *lossRun) {
	decode := slices.DeleteFunc(l.ofVersion(versionOld), func(e *endpoint) bool { return e.currentStage() != catalog.Decode })
	l.restartEach(decode[:min(2, len(decode)-1)])
}

func restartNew(l *lossRun) { l.restartEach(l.ofVersion(versionNew)) }

// leave removes an endpoint's entry.
func (l *lossRun) leave(e *endpoint) {
	l.mu.Lock()
	l.served[e].to = time.Now()
	l.mu.Unlock()
	l.retire(e)
}

// remove removes an endpoint, which ends later.
func (l *lossRun) remove(e *endpoint) {
	l.leave(e)
	l.ending.Go(func() {
		time.Sleep(endDelay)
		e.close()
	})
}

// allEndpoints returns the endpoints that serve.
func (l *lossRun) allEndpoints() []*endpoint {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	return slices.Clone(l.endpoints)
}

// addressOfVM returns the address of any VM that isn't frozen.
func (l *lossRun) addressOfVM(rng *rand.Rand) string {
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()
	for {
		if address := l.vm(rng).address(portCallers); address != frozen {
			return address
		}
	}
}

// removed returns the endpoints that were removed.
func (l *lossRun) removed() []*endpoint {
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	return slices.Clone(l.retired)
}

// ofVersion returns the endpoints of a version that serve, in the order of their start.
func (l *lossRun) ofVersion(version string) []*endpoint {
	return slices.DeleteFunc(l.allEndpoints(), func(e *endpoint) bool { return e.version != version })
}

// replace replaces n endpoints of a version by others.
func (l *lossRun) replace(n int, version, service, by string) {
	for _, e := range l.ofVersion(version)[:n] {
		l.add(service, by)
		time.Sleep(replaceInterval)
		l.remove(e)
	}
}

// serveThroughout reports whether two endpoints or more of a version served during an attempt.
func (l *lossRun) serveThroughout(version string, a *attempt) bool {
	n := 0
	for _, s := range l.served {
		if s.version == version && s.from.Add(learnTime).Before(a.sent) && (s.to.IsZero() || s.to.After(a.answered)) {
			n++
		}
	}
	return n >= 2
}

// lose kills VMs, and starts them again after what happens meanwhile, each after a random time of at most gap.
func (l *lossRun) lose(vms []*machine, meanwhile func(l *lossRun), gap time.Duration) {
	var kills sync.WaitGroup
	for _, v := range vms {
		kills.Go(v.kill)
	}
	kills.Wait()
	l.lost = time.Now()
	meanwhile(l)
	time.Sleep(time.Until(l.lost.Add(restartDelay)))
	for _, v := range vms {
		time.AfterFunc(time.Duration(l.rand("restart", v.name, v.starts).Int64N(int64(gap))), v.start)
	}
	time.Sleep(gap)
}

// lossCaller is one caller with its connections.
type lossCaller struct {
	l       *lossRun
	name    string
	rng     *rand.Rand
	http    *http.Client
	unnamed bool
	pair    string // callers of a pair send the same requests, empty for none
}

func (l *lossRun) newCaller(i int) *lossCaller {
	pair := ""
	if l.tc.samePairs {
		pair = fmt.Sprint("pair", i/2)
	}
	return &lossCaller{
		l: l, name: fmt.Sprint("c", i), rng: l.rand("caller", i), unnamed: l.tc.samePairs || float64(i) < unnamedShare*lossCallers, pair: pair,
		http: &http.Client{Transport: &http.Transport{
			DialContext: l.network.NewHost().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4,
		}},
	}
}

// run begins streams, and takes them up where they break off, until ctx ends.
func (c *lossCaller) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	time.Sleep(time.Duration(c.rng.Int64N(int64(lossStartSpread)))) // callers don't begin in step
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{reply: reply{id: fmt.Sprintf("%s-%d", c.name, n), path: pathResumable}, body: "x"}
		if c.pair != "" {
			a.body = fmt.Sprintf("%s-%d", c.pair, n)
		}
		c.send(&a)
		c.record(&a)
		if a.canBeTakenUp() {
			c.takeUp(&a)
		}
		if c.l.tc.awaitsRetry {
			time.Sleep(a.retryAfter)
		}
		time.Sleep(requestInterval)
	}
}

// takeUp takes up a stream until it has ended, is refused for good or lossTimeout has passed without an event.
func (c *lossCaller) takeUp(first *attempt) {
	last, refusals := *first, 0
	for i, progress := 0, time.Now(); !last.isLast; i++ {
		a := attempt{
			reply: reply{id: fmt.Sprintf("%s-%d", first.id, i), path: pathResumable, root: first.id, events: last.events, version: last.version},
			body:  first.body, unnamed: c.unnamed, eventsBefore: last.events, began: last.version,
		}
		c.send(&a)
		pause := cmp.Or(c.l.tc.retryPause, retryPause)
		switch {
		case a.status != 0 && a.status != http.StatusOK:
			refusals++
			pause = a.retryAfter
			a.isLast = pause == 0 || refusals > maxRefusals
		case a.events > a.eventsBefore:
			progress = time.Now()
		}
		a.isLast = a.isLast || a.complete || a.problem != "" || time.Since(progress)+pause > lossTimeout
		c.record(&a)
		last = a
		if !a.isLast {
			time.Sleep(pause)
		}
	}
}

// send sends one attempt to any VM and reads its answer.
func (c *lossCaller) send(a *attempt) {
	a.vm, a.sent = c.l.addressOfVM(c.rng), time.Now()
	c.exchange(a)
	a.answered = time.Now()
}

func (c *lossCaller) record(a *attempt) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.attempts = append(c.l.attempts, *a)
}

func (c *lossCaller) exchange(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), lossTimeout)
	defer cancel()
	// A body that can't be read again keeps net/http from sending the request twice.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.vm+a.path, io.NopCloser(strings.NewReader(a.body)))
	assert.NilError(c.l.t, err)
	req.ContentLength, req.Host = int64(len(a.body)), routeHost
	req.Header.Set(headerID, a.id)
	req.Header.Set(headerPatience, fmt.Sprint(lossTimeout.Milliseconds()))
	req.Header.Set(headerTokens, "300")
	req.Header.Set(headerParts, fmt.Sprintf(`[{"ID":%d,"Tokens":300}]`, c.rng.Uint64()))
	if a.isTakeUp() {
		req.Header.Set(headerLast, fmt.Sprint(a.events))
	}
	if a.isTakeUp() && !a.unnamed {
		req.Header.Set(headerResumes, a.root)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && a.status != http.StatusOK {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(resp.Body)
	a.err = err
	if a.status != http.StatusOK {
		a.refusal = string(body)
	} else {
		a.readEvents(body, err != nil)
		a.complete = err == nil && a.problem == "" && a.events == eventCount
	}
}

// lossCase is what happens around a loss of all VMs.
type lossCase struct {
	before    func(l *lossRun) // up to the loss
	meanwhile func(l *lossRun) // while no VM runs
	after     func(l *lossRun) // after the restart, unless it is nil
	// survivors is the number of VMs that aren't killed.
	survivors int
	// lossShare is the share of the datagrams that are lost.
	lossShare float64
	// awaitsStore means that streams may be refused for a time while the store is unavailable: those count that went
	// on in the end.
	awaitsStore bool
	callers     int           // zero for the default
	retryPause  time.Duration // of the callers, zero for the default
	// awaitsRetry means that callers wait for as long as a refusal asks before they begin another stream.
	awaitsRetry bool
	// maxLossDelay bounds the time from the last change to the loss, zero for the default.
	maxLossDelay time.Duration
	// judgedVersions are the versions of which streams must go on.
	judgedVersions []string
	// samePairs means that two callers each send the same requests, and that none names the first attempt of a stream.
	samePairs bool
	// unnamedGoOn means that streams whose first attempt isn't named must go on, too.
	unnamedGoOn bool
	// minOldTakeUps is the minimum number of take-ups of streams that the old version began.
	minOldTakeUps int
	onRequest     func(e *endpoint, id string) // of the endpoints, nil for none
}

func (l *lossRun) run() {
	tc := &l.tc
	for range lossEndpoints {
		l.add(serviceBefore, versionOld)
	}
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	time.Sleep(lossWarmUp)
	for i := range cmp.Or(tc.callers, lossCallers) {
		callers.Go(func() { l.newCaller(i).run(ctx) })
	}
	time.Sleep(2 * lossStartSpread)
	tc.before(l)
	time.Sleep(time.Duration(l.rand("loss").Int64N(int64(cmp.Or(tc.maxLossDelay, maxLossDelay)))))
	l.lose(l.vms[:len(l.vms)-tc.survivors], tc.meanwhile, maxRestartGap)
	if tc.after != nil {
		tc.after(l)
	}
	clock.Sleep(ctx, afterLossTime)
	stop()
	callers.Wait()
	l.ending.Wait()
	l.end()
	l.judge()
}

// share is how many of the attempts succeeded.
type share struct{ succeeded, all int }

func (s *share) add(succeeded bool) {
	s.all++
	if succeeded {
		s.succeeded++
	}
}

// reachedNoVM reports whether an attempt was sent before the VMs were lost, or reached none that runs.
func (l *lossRun) reachedNoVM(a *attempt) bool {
	crossed := a.status == 0 && a.sent.Before(l.lost.Add(closeSlack))
	return a.sent.Before(l.lost) || crossed || errors.Is(a.err, syscall.ECONNREFUSED)
}

// refusalTime returns the maximum time until a refusal.
func (l *lossRun) refusalTime() time.Duration {
	if l.tc.awaitsStore {
		return storeRefusalTime
	}
	return refusalTime
}

func (l *lossRun) judge() {
	tc, refusalTime := &l.tc, l.refusalTime()
	begun, wentOn, taken := share{}, map[string]share{}, 0
	var joined, late []string
	refusals := map[string]int{}
	refused := map[string]bool{} // streams whose take-up was refused; what their callers try then doesn't make up for it
	for i := range l.attempts {
		a := &l.attempts[i]
		if a.problem != "" {
			joined = append(joined, a.String())
		}
		if l.reachedNoVM(a) {
			continue
		}
		if a.isTakeUp() && a.began == versionOld {
			taken++
		}
		switch {
		case !a.isTakeUp():
			begun.add(a.events > 0)
		case !tc.awaitsStore && refused[a.root]:
		case l.serveThroughout(a.began, a) && (!a.unnamed || tc.unnamedGoOn) && (!tc.awaitsStore || a.isLast):
			s := wentOn[a.began]
			s.add(a.wentOn())
			wentOn[a.began] = s
		}
		if a.refusal != "" {
			kind := "new"
			if a.isTakeUp() {
				kind, refused[a.root] = a.began, true
			}
			refusals[kind+" "+a.refusal]++
		}
		isLate := a.status == 0 || a.answered.Sub(a.sent) > refusalTime
		if a.isTakeUp() && a.status != http.StatusOK && isLate {
			late = append(late, a.String())
		}
	}
	for refusal, n := range refusals {
		l.t.Logf("seed %d: %d refused: %s", l.seed, n, refusal)
	}
	l.t.Logf("seed %d: %d of %d new streams began, of those taken up went on %v, %d of the old version", l.seed, begun.succeeded, begun.all, wentOn, taken)
	assert.Check(l.t, len(joined) == 0, "seed %d: %d streams of two versions, such as %s", l.seed, len(joined), first(joined))
	assert.Check(l.t, len(late) == 0, "seed %d: %d take-ups not refused within %s, such as %s", l.seed, len(late), refusalTime, first(late))
	assert.Check(l.t, len(l.logged.mistakes()) == 0, "seed %d: refused as if they crashed endpoints: %v", l.seed, l.logged.mistakes())
	assert.Check(l.t, taken >= tc.minOldTakeUps, "seed %d: too few take-ups of the old version to judge: %d", l.seed, taken)
	for _, version := range tc.judgedVersions {
		s := wentOn[version]
		isEnough := s.all >= minJudgedTakeUps && 2*s.succeeded*begun.all >= s.all*begun.succeeded
		assert.Check(l.t, isEnough, "seed %d: %d of %d streams of %s went on, %d of %d new ones began", l.seed, s.succeeded, s.all, version, begun.succeeded, begun.all)
	}
}

// first returns the first lines.
func first(lines []string) string { return strings.Join(lines[:min(3, len(lines))], "; ") }

func nothing(*lossRun) {}

// addMoved starts the endpoints to which the route moves.
func addMoved(l *lossRun) {
	for range lossEndpoints {
		l.add(serviceMoved, versionMoved)
	}
	time.Sleep(learnTime)
}

// replaceHalf has two versions serve side by side.
func replaceHalf(l *lossRun) {
	l.replace(lossEndpoints/2, versionOld, serviceBefore, versionNew)
	time.Sleep(lossStartSpread)
}

var lossCases = map[string]lossCase{
	"one_version": {
		before: nothing, meanwhile: nothing, judgedVersions: []string{versionOld}, unnamedGoOn: true, minOldTakeUps: minJudgedTakeUps,
	},
	"old_version_left": {
		before:    inOrder(replaceAll, pause(replaceInterval)),
		meanwhile: nothing, maxLossDelay: maxLossDelay - replaceInterval, callers: 2 * lossCallers, judgedVersions: []string{versionNew}, minOldTakeUps: 1,
	},
	"old_version_just_left": {before: replaceAll, meanwhile: nothing, minOldTakeUps: 1},
	"old_version_leaves_meanwhile": {
		before:         replaceHalf,
		meanwhile:      func(l *lossRun) { l.replace(lossEndpoints/2, versionOld, serviceBefore, versionNew) },
		judgedVersions: []string{versionNew}, minOldTakeUps: minJudgedTakeUps,
	},
	"both_versions": {
		before:    replaceHalf,
		meanwhile: nothing, judgedVersions: []string{versionOld, versionNew}, minOldTakeUps: minJudgedTakeUps,
	},
	"moved_route": {
		before:    func(l *lossRun) { addMoved(l); l.publishVariant(routeMoved) },
		meanwhile: nothing, minOldTakeUps: 1,
	},
	"shorter_prefix": {
		before:    func(l *lossRun) { addMoved(l); l.publishVariant(routeShorter) },
		meanwhile: nothing, minOldTakeUps: 1,
	},
	"moved_route_meanwhile": {
		before:    addMoved,
		meanwhile: func(l *lossRun) { l.publishVariant(routeMoved) }, minOldTakeUps: minJudgedTakeUps,
	},
	"shorter_prefix_meanwhile": {
		before:    addMoved,
		meanwhile: func(l *lossRun) { l.publishVariant(routeShorter) }, minOldTakeUps: minJudgedTakeUps,
	},
}

// Guards against streams that are taken up after a loss of all VMs and go on at another version or service than the
// one that began them, and against refusals of those that could go on.
func TestWorldOfStreamsAfterALossOfAllVMs(t *testing.T) { runLossCases(t, lossCases) }

func runLossCases(t *testing.T, cases map[string]lossCase) {
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(*worldSeeds) {
				seed := *worldFirst + i
				t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						l := &lossRun{world: newLossyWorld(t, seed, nil, tc.lossShare), tc: tc, served: map[*endpoint]*served{}}
						l.run()
					})
				})
			}
		})
	}
}
