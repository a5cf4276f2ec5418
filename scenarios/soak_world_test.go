package scenarios

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"fescuestand/internal/standin/loopback"
	"fescuestand/internal/standin/relay"
	"fescuestand/platform/standin"
)

const (
	soakVMs              = 4
	soakEngines          = 4
	soakServiceEndpoints = 3
	soakHost             = "soak.example"
	// reportInterval is the time between two reports of an endpoint to the store.
	reportInterval = 400 * time.Millisecond
	// drainTime is how long an endpoint continues to serve after it has announced that it is leaving.
	drainTime = 6 * time.Second
)

// soak is the run of one seed.
type soak struct {
	t         *testing.T
	seed      int64
	rng       *rand.Rand
	dir       string
	store     *standin.Store
	storeAddr string
	ledger    *standin.Ledger
	vms       []*soakVM
	ctx       context.Context
	wg        sync.WaitGroup

	mu          sync.Mutex
	dropShare   float64 // share of the new streams that callers drop and take up elsewhere
	ownPrompts  bool    // no two callers send the same request
	onlyStreams bool    // callers send streams that may be resumed, and nothing else
	persistent  bool    // callers take up streams until VMs have answered several times
	anonymous   bool    // callers that take a stream up don't name its first attempt
	engines     engineSetup
	endpoints   map[string]*soakEndpoint
	drained     map[string]time.Time // when the store accepted that the endpoint is leaving
	faults      []injectedFault
	storeDown   bool
	configs     []published
	answers     []soakAnswer
	started     int // number of endpoints started so far
	limits      []limitPeriod
	announced   []*standin.Endpoint // announced only in their answers that they are leaving
	rejections  []rejection
	noticesEnd  time.Time // when the last notice of an endpoint ended

	violations []string
}

// injectedFault is a fault and when it was active.
type injectedFault struct {
	what     string
	from, to time.Time
}

// published is a configuration that the store has accepted, and when.
type published struct {
	soakConfig
	version int
	text    string
	at      time.Time
}

// soakConfig is what may differ between the configurations of a soak.
type soakConfig struct {
	reads   []string      // the services that share the route for reads
	streams []string      // those that share the routes for streams, nil for the engines' only one
	pays    []string      // those that share the route for non-idempotent calls, nil for the first one
	timeout time.Duration // of all routes, zero for the default
	idle    time.Duration // limit of callers' connections, zero for the default

	removed  bool     // there is no route for pathResumable
	shorter  []string // the services of a route whose prefix is a part of pathResumable, nil for no such route
	unresume bool     // streams of that route may not be resumed
}

// pathShorter is the prefix of a route that takes over requests for pathResumable when that route is removed.
const pathShorter = "/res"

const (
	soakEngineService = "m"
	soakRouteTimeout  = 8 * time.Second
	soakIdleLimit     = 15 * time.Second
)

// soakVM is a VM that reaches the store through a relay.
type soakVM struct {
	name, front, ready, directory string
	ports                         [2]int
	link                          *relay.Relay
	proc                          *process
	grace                         float64
	reserved                      bool // reserved for a fault that ends or suspends the process
}

// soakEndpoint is an endpoint behind a relay.
type soakEndpoint struct {
	*standin.Endpoint
	link     *relay.Relay
	started  time.Time
	crashed  time.Time // when a test ended it, zero if none did
	draining bool
	removed  bool
	silent   bool // it keeps its connections open when it is removed, and answers nothing
}

// knownTimeout bounds the time until all VMs know the endpoints.
const knownTimeout = 40 * time.Second

// soakDropShare is the share of the new streams that the callers of a soak drop.
const soakDropShare = 0.05

// engineSetup describes the engines of a soak and their streams.
type engineSetup struct {
	count         int
	moreServices  []string      // of the engines, in turn after soakEngineService
	versions      []string      // of their software, in turn
	eventInterval time.Duration // between two events, zero for the stand-in's default
	slots         int           // of an engine, zero for the default
	serviceSlots  int           // of an endpoint of a plain service, zero for the default
	queue         int           // requests that wait at an endpoint for a slot
	callTime      time.Duration // of calls of plain services, zero for the default
	prefills      int           // engines that start as prefill engines
	services      int           // endpoints of each plain service, zero for the default
	vms           int           // zero for the default
	unframed      bool          // all answers end with their connection
	answerBytes   int           // length of the answers of plain services, zero for the default
	crashParts    map[string]standin.CrashPoint
	partsSound    func() bool // crashParts don't crash endpoints for now
	delay         func(endpoint, id string) (before, within time.Duration)
	restartTime   time.Duration // until an endpoint that has crashed is replaced, zero for the default
}

// stage returns the stage of the n-th engine.
func (g *engineSetup) stage(n int) string {
	if n < g.prefills {
		return "prefill"
	}
	return "decode"
}

// engineServices returns the services of the engines.
func (g *engineSetup) engineServices() []string {
	return append([]string{soakEngineService}, g.moreServices...)
}

func newSoak(t *testing.T, seed int64) *soak {
	return newSoakOf(t, seed, engineSetup{count: soakEngines, versions: []string{"v1", "v2"}})
}

func newSoakOf(t *testing.T, seed int64, engines engineSetup) *soak {
	s := &soak{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(uint64(seed), 1)), dir: t.TempDir(),
		store: standin.NewStore(), ledger: standin.NewLedger(), dropShare: soakDropShare, engines: engines,
		endpoints: map[string]*soakEndpoint{}, drained: map[string]time.Time{},
	}
	srv := httptest.NewServer(s.store)
	s.storeAddr = strings.TrimPrefix(srv.URL, "http://")
	ctx, cancel := context.WithCancel(t.Context())
	s.ctx = ctx
	t.Cleanup(func() {
		s.stopVMs()
		cancel()
		s.wg.Wait()
		srv.CloseClientConnections()
		srv.Close()
	})
	s.publish("s")
	services := engines.engineServices()
	for i := range engines.count {
		s.addEndpoint(services[i%len(services)], engines.stage(i))
	}
	for range cmp.Or(engines.services, soakServiceEndpoints) {
		s.addEndpoint("s", "")
		s.addEndpoint("t", "")
	}
	for i := range cmp.Or(engines.vms, soakVMs) {
		s.addVM(i)
	}
	return s
}

// stopVMs ends the processes that this soak started.
func (s *soak) stopVMs() {
	for _, v := range s.vms {
		v.proc.kill()
		v.link.Close()
	}
}

func (s *soak) addVM(i int) {
	link, err := relay.New(s.storeAddr)
	assert.NilError(s.t, err)
	v := &soakVM{
		name: fmt.Sprintf("vm%d", i), link: link, grace: 8,
		front: loopback.FreeAddress(), ready: loopback.FreeAddress(), directory: loopback.FreeAddress(),
	}
	v.ports = [2]int{port(s.t, loopback.FreeAddress()), port(s.t, loopback.FreeAddress())}
	slices.Sort(v.ports[:])
	s.vms = append(s.vms, v)
	s.writeSettings(v)
	v.proc = &process{
		name: v.name, args: []string{"fescue-node", "--config", s.file(v, "json")}, log: s.file(v, "log"),
	}
	v.proc.binary = *soakNode
	if i%2 == 1 {
		v.proc.binary = cmp.Or(*soakOld, *soakNode)
	}
	assert.NilError(s.t, v.proc.start())
}

func (s *soak) file(v *soakVM, ending string) string { return filepath.Join(s.dir, v.name+"."+ending) }

func port(t *testing.T, addr string) int {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	assert.NilError(t, err)
	return a.Port
}

func (s *soak) writeSettings(v *soakVM) {
	text := fmt.Sprintf(`{"node": %q, "ip": "127.0.0.1", "zone": "z", "bootstrap": true,
  "listen": {"front": %q, "ready": %q, "directory": %q}, "portRange": [%d, %d],
  "limits": {"cpuShare": 0.4, "memoryMb": 284, "linkMbps": 1000},
  "bounds": {"graceS": %g, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "leaseMs": 3000},
  "platform": {"address": %q}}`,
		v.name, v.front, v.ready, v.directory, v.ports[0], v.ports[1], v.grace, v.link.Addr())
	assert.NilError(s.t, os.WriteFile(s.file(v, "json"), []byte(text), 0o600))
}

// publish writes a configuration to the store that routes reads to service.
func (s *soak) publish(service string) { s.publishConfig(soakConfig{reads: []string{service}}) }

// publishConfig writes a configuration to the store.
func (s *soak) publishConfig(c soakConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := 3*len(s.configs) + 1
	text := c.text(version, s.engines.engineServices())
	s.store.Put("keyed.op", "config", text)
	s.configs = append(s.configs, published{c, version, text, time.Now()})
}

// text returns the configuration as the store holds it.
func (c *soakConfig) text(version int, engineServices []string) string {
	timeout := cmp.Or(c.timeout, soakRouteTimeout)
	route := func(path, kind string, services []string, more string) string {
		return fmt.Sprintf(`{"name": %q, "host": %q, "pathPrefix": %q, "kind": %q, %s, "timeoutMs": %d, "maxAttempts": 2%s}`,
			path, soakHost, path, kind, sharesOf(services), timeout.Milliseconds(), more)
	}
	streams := c.streams
	if streams == nil {
		streams = []string{soakEngineService}
	}
	pays := c.pays
	if pays == nil {
		pays = []string{"s"}
	}
	services := []string{`{"name": "s"}`, `{"name": "t"}`}
	for _, name := range engineServices {
		services = append(services, fmt.Sprintf(`{"name": %q, "engine": {"slots": 32, "kvTokens": 100000}}`, name))
	}
	const resumable, stream = `, "resumable": true, "targetLatencyMs": 400, "gapAimMs": 200`, `, "targetLatencyMs": 400, "gapAimMs": 200`
	routes := []string{
		route(pathOnce, "streaming", streams, stream),
		route(pathPay, "non_idempotent", pays, ""), route(pathReads, "idempotent", c.reads, ""),
	}
	if !c.removed {
		routes = append(routes, route(pathResumable, "streaming", streams, resumable))
	}
	if c.shorter != nil {
		more := resumable
		if c.unresume {
			more = stream
		}
		routes = append(routes, route(pathShorter, "streaming", c.shorter, more))
	}
	return fmt.Sprintf(`{"version": %d, "routes": [%s],
 "services": [%s],
 "limits": {"maxBodyBytes": 65536, "idleTimeoutMs": %d}}`, version,
		strings.Join(routes, ", "), strings.Join(services, ", "), cmp.Or(c.idle, soakIdleLimit).Milliseconds())
}

// sharesOf returns the field of a route that has services share its requests.
func sharesOf(services []string) string {
	if len(services) == 1 {
		return fmt.Sprintf(`"service": %q`, services[0])
	}
	var shares []string
	for _, service := range services {
		shares = append(shares, fmt.Sprintf(`{"service": %q, "weight": 1}`, service))
	}
	return `"trafficSplit": [` + strings.Join(shares, ", ") + "]"
}

// addEndpoint starts an endpoint of the next version that reports itself to the store until it is removed.
func (s *soak) addEndpoint(service, stage string) { s.addEndpointOf(service, stage, "") }

// addEndpointOf starts an endpoint of a version, the next one if it is empty.
func (s *soak) addEndpointOf(service, stage, version string) {
	s.mu.Lock()
	s.started++
	e := &soakEndpoint{Endpoint: &standin.Endpoint{
		ID: s.endpointID(s.started), Service: service, Zone: "z", Stage: stage, Slots: 32,
		Queue: s.engines.queue, CallTime: s.engines.callTime, AnswerBytes: s.engines.answerBytes, Unframed: s.engines.unframed, CrashParts: s.engines.crashParts, CrashPartsSound: s.engines.partsSound,
	}, started: time.Now()}
	if stage != "" {
		e.Version = cmp.Or(version, s.engines.versions[s.started%len(s.engines.versions)])
		e.EventInterval = s.engines.eventInterval
		e.Slots = cmp.Or(s.engines.slots, e.Slots)
	} else {
		e.Slots = cmp.Or(s.engines.serviceSlots, e.Slots)
	}
	s.mu.Unlock()
	if s.engines.delay != nil {
		e.Delay = func(id string) (before, within time.Duration) { return s.engines.delay(e.ID, id) }
	}
	e.OnCrash = func() { s.replaceCrashed(e) }
	assert.NilError(s.t, e.Start("127.0.0.1:0", s.ledger))
	var err error
	e.link, err = relay.New(e.Addr())
	assert.NilError(s.t, err)
	s.mu.Lock()
	s.endpoints[e.ID] = e
	s.mu.Unlock()
	s.wg.Go(func() { s.report(e) })
}

// replaceCrashed removes an endpoint that a request has ended and starts another one.
func (s *soak) replaceCrashed(e *soakEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.removed {
		return
	}
	e.removed = true
	s.wg.Go(func() {
		time.Sleep(cmp.Or(s.engines.restartTime, endpointRestartTime))
		s.addEndpoint(e.Service, e.Stage)
	})
}

func (s *soak) report(e *soakEndpoint) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	defer e.link.Close()
	defer e.Crash()
	written := ""
	for {
		s.mu.Lock()
		removed, silent, draining, storeDown := e.removed, e.silent, e.draining, s.storeDown
		s.mu.Unlock()
		if removed {
			s.store.Put("keyed.servers", e.ID, "")
			if silent {
				<-s.ctx.Done()
			}
			return
		}
		if !storeDown && s.writesEntry(e, draining, written) {
			written = e.Entry(e.link.Addr(), draining)
			s.store.Put("keyed.servers", e.ID, written)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// writesEntry reports whether an endpoint writes its entry now. With every other seed the log gets each
// of its reports, with the others only those that change the entry or that the store has lost.
func (s *soak) writesEntry(e *soakEndpoint, draining bool, written string) bool {
	if s.seed%2 == 0 {
		return true
	}
	stored := s.store.Newest("keyed.servers", e.ID)
	return stored == "" || stored != written || strings.Contains(stored, "draining") != draining || !strings.Contains(stored, e.CurrentStage())
}

// awaitServing waits until every VM accepts callers.
func (s *soak) awaitServing() {
	deadline := time.Now().Add(exitTimeout)
	for _, v := range s.vms {
		for {
			resp, err := http.Get("http://" + v.ready + "/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("%s is not ready: %v; the end of its log:\n%s", v.name, err, endOfLog(v.proc.log))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// shownLogBytes is how much of a process's log is shown in a failure.
const shownLogBytes = 4 << 10

// endOfLog returns the end of a process's log, or why it can't be read.
func endOfLog(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(len(text)-shownLogBytes, 0):])
}

// awaitAnswers waits until every VM has answered a request to each path with success: a VM accepts callers
// before it knows the endpoints.
func (s *soak) awaitAnswers(paths ...string) {
	s.awaitServing()
	ctx, cancel := context.WithTimeout(s.ctx, knownTimeout)
	defer cancel()
	for _, v := range s.vms {
		for _, path := range paths {
			s.awaitAnswer(ctx, v, path)
		}
	}
}

// awaitAnswer sends requests until the VM has answered one with success.
func (s *soak) awaitAnswer(ctx context.Context, v *soakVM, path string) {
	for n := 0; ; n++ {
		status, err := s.probe(ctx, v, path, fmt.Sprintf("probe-%s-%d", v.name, n))
		if err == nil && status == http.StatusOK {
			return
		}
		if ctx.Err() != nil {
			s.t.Fatalf("%s answered no request to %s within %s: status %d, %v", v.name, path, knownTimeout, status, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// probe sends a request to a VM and returns the status of its answer once that has been read.
func (s *soak) probe(ctx context.Context, v *soakVM, path, id string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.front+path, strings.NewReader(id))
	if err != nil {
		return 0, err
	}
	req.Host = soakHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if path == pathResumable {
		req.Header.Set("Token-Count", "300,20")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// runID differs between the processes that run soaks.
var runID = rand.Uint64()

// endpointID returns the id of the n-th endpoint.
func (s *soak) endpointID(n int) string { return endpointIDOf(runID, s.t.Name(), n) }

// endpointIDOf returns the id of the n-th endpoint of a test in a run. Soaks run in parallel, also in several processes,
// and a port that an endpoint of one has left may be used by another: with ids of its own, an endpoint refuses the
// requests for that one.
func endpointIDOf(run uint64, test string, n int) string {
	return fmt.Sprintf("i-%08x-%d", uint32(xxhash.Sum64String(test)^run), n)
}
