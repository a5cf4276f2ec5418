package simworld

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/gossip"
	"fescuestand/internal/kernel"
	"fescuestand/internal/policy/repeat"
	"fescuestand/internal/simnet"
	"fescuestand/internal/vm"
)

var (
	worldSeeds = flag.Int("world.seeds", 3, "number of seeds of each world")
	worldFirst = flag.Uint64("world.first", 1, "first seed of each world")
	worldLog   = flag.Bool("world.log", false, "print the log of the VMs with the simulated time")
)

const (
	vmCount = 4
	zone    = "z"
	// hostLatency and hostJitter are those between hosts of one zone.
	hostLatency = 200 * time.Microsecond
	hostJitter  = 100 * time.Microsecond
	// readyTimeout bounds the time until all VMs accept callers, and exitTimeout that from SIGTERM to a VM's end.
	readyTimeout = 10 * time.Second
	exitTimeout  = 8 * time.Second
	// settleTime is longer than what still waits once a world has ended. A goroutine that waits longer fails the test.
	settleTime = time.Minute
	// reportInterval is the time between two reports of an endpoint to the store.
	reportInterval = 400 * time.Millisecond
	// maxStartGap is the longest time between the starts of two VMs, so that their periods aren't in step.
	maxStartGap = time.Second
	// defaultSlots is the number of requests that an endpoint runs at a time unless a world says otherwise.
	defaultSlots = 32
	// maxAttempts is that of the routes.
	maxAttempts = 2
)

// The ports of a VM.
const (
	portCallers = 8000 + iota
	portReady
	portDirectory
	portMetrics
	portPeer
)

// The routes, and the host for them.
const (
	routeHost     = "h.example"
	pathResumable = "/resumable/" // a stream that may be resumed on another engine
	pathOnce      = "/once/"      // a stream that may not be resumed
	pathPay       = "/pay/"       // a non-idempotent call, which may run only once
	pathReads     = "/reads/"     // an idempotent call, which may be retried
)

// config returns the configuration of a version.
func config(version uint64) *catalog.Config {
	route := func(path, service string, kind catalog.Kind) *catalog.Route {
		r := &catalog.Route{
			Name: path, Host: routeHost, PathPrefix: path, Kind: kind, Timeout: 8 * time.Second, MaxAttempts: maxAttempts,
			Shares: []catalog.Share{{Service: service, Weight: 1}},
		}
		if kind == catalog.Stream {
			r.LatencyTarget, r.EventGapTarget = 400*time.Millisecond, 200*time.Millisecond
		}
		return r
	}
	resumable := route(pathResumable, "m", catalog.Stream)
	resumable.Resumable = true
	return newConfig(version, []*catalog.Route{
		resumable, route(pathOnce, "m", catalog.Stream), route(pathPay, "s", catalog.NonIdempotent), route(pathReads, "s", catalog.Idempotent),
	})
}

// newConfig returns a configuration with the given routes.
func newConfig(version uint64, routes []*catalog.Route) *catalog.Config {
	engine := &catalog.Engine{Slots: defaultSlots, CacheTokens: 100_000}
	c := catalog.NewConfig(version, routes, []*catalog.Service{{Name: "m", Engine: engine}, {Name: "m2", Engine: engine}, {Name: "s"}})
	c.Limits.BodyBytes = 64 << 10
	return c
}

// world is VMs before endpoints, with a store and callers.
type world struct {
	t       *testing.T
	seed    uint64
	network *simnet.Network
	store   *store
	ledger  *ledger
	logged  *logged
	vms     []*machine
	running bool // all VMs have started for the first time

	mu        sync.Mutex
	rng       *rand.Rand
	version   uint64 // of the configuration
	variant   string // of the configuration
	started   int    // endpoints so far
	endpoints []*endpoint
	retired   []*endpoint // removed from the store, their connections are still open
}

// newWorld returns a world in which VMs start. It is used in a bubble.
func newWorld(t *testing.T, seed uint64, endpoints []endpointSpec) *world {
	t.Helper()
	return newLossyWorld(t, seed, endpoints, 0)
}

// newLossyWorld returns a world that loses a share of the datagrams.
func newLossyWorld(t *testing.T, seed uint64, endpoints []endpointSpec, loss float64) *world {
	t.Helper()
	w := &world{
		t: t, seed: seed, store: newStore(seed), rng: rand.New(rand.NewPCG(seed, 1)), logged: newLogged(),
		network: simnet.New(simnet.Options{Seed: seed, Latency: hostLatency, Jitter: hostJitter, Loss: loss}),
		ledger:  &ledger{runs: map[string][]*run{}, work: map[string][]*work{}, handles: map[string]bool{}},
	}
	w.publish()
	for _, spec := range endpoints {
		w.addEndpoint(spec)
	}
	for i := range vmCount {
		time.Sleep(time.Duration(w.rand("start", i).Int64N(int64(maxStartGap))))
		w.addVM()
	}
	w.awaitReady()
	w.running = true
	return w
}

// addVM starts a further VM.
func (w *world) addVM() {
	w.mu.Lock()
	v := &machine{w: w, name: fmt.Sprint("vm", len(w.vms)), host: w.network.NewHost()}
	w.vms = append(w.vms, v)
	w.mu.Unlock()
	v.start()
}

// vm returns any VM.
func (w *world) vm(rng *rand.Rand) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms[rng.IntN(len(w.vms))]
}

// end ends the VMs in order and closes the world.
func (w *world) end() {
	w.t.Helper()
	var vms sync.WaitGroup
	for _, v := range w.vms {
		vms.Go(v.stop)
	}
	vms.Wait()
	w.mu.Lock()
	all := slices.Concat(w.endpoints, w.retired)
	w.endpoints = nil // ends their reports
	w.mu.Unlock()
	for _, e := range all {
		e.close()
	}
	w.network.Close()
	time.Sleep(settleTime)
	w.logged.close()
}

// rand returns the random numbers for a purpose, which don't depend on the order in which they are drawn.
func (w *world) rand(purpose ...any) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, xxhash.Sum64String(fmt.Sprint(purpose...))))
}

// publish writes a new version of the configuration.
func (w *world) publish() { w.publishVariant("") }

// publishVariant writes a new version of the configuration with a change.
func (w *world) publishVariant(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.variant = name
	w.store.put(configLog, vm.ConfigKey, strings.TrimSpace(fmt.Sprint(w.version, " ", name)))
}

// rewriteConfig writes the newest version of the configuration again.
func (w *world) rewriteConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.put(configLog, vm.ConfigKey, strings.TrimSpace(fmt.Sprint(w.version, " ", w.variant)))
}

// addEndpoint starts an endpoint, which reports itself to the store until it is retired.
func (w *world) addEndpoint(spec endpointSpec) *endpoint {
	spec.slots = cmp.Or(spec.slots, defaultSlots)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	e := startEndpoint(w.t, w.network, fmt.Sprintf("i-%d", w.started), spec, w.ledger)
	w.endpoints = append(w.endpoints, e)
	w.writeEntry(e)
	go w.report(e)
	return e
}

// restart has an endpoint end and start again under its id and address, at a version of its software.
func (w *world) restart(old *endpoint, version string) *endpoint {
	old.close()
	port, err := strconv.ParseUint(old.address[strings.LastIndex(old.address, ":")+1:], 10, 16)
	assert.NilError(w.t, err)
	spec := old.endpointSpec
	spec.version = version
	w.mu.Lock()
	defer w.mu.Unlock()
	e := listenAsEndpoint(w.t, old.host, uint16(port), old.id, spec, w.ledger)
	w.endpoints[slices.Index(w.endpoints, old)] = e
	w.writeEntry(e)
	go w.report(e)
	return e
}

// report writes an endpoint's entry after each change of its stage, until it is retired. Also an endpoint that is
// paused reports.
func (w *world) report(e *endpoint) {
	written := e.stage
	phase := w.rand("report", e.id).Int64N(int64(reportInterval)) // endpoints don't report in step
	for time.Sleep(time.Duration(phase)); w.isListed(e); time.Sleep(reportInterval) {
		if stage := e.currentStage(); stage != written {
			w.writeEntry(e)
			written = stage
		}
	}
	if !w.isReplaced(e) {
		w.store.put(endpointLog, e.id, "")
	}
}

// isReplaced reports whether another process has the endpoint's id.
func (w *world) isReplaced(e *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.endpoints, func(o *endpoint) bool { return o.id == e.id })
}

func (w *world) writeEntry(e *endpoint) {
	text, err := e.entry()
	assert.Check(w.t, err == nil, "%v", err)
	w.store.put(endpointLog, e.id, text)
}

func (w *world) isListed(e *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.endpoints, e)
}

// retire has an endpoint's next report delete its entry. Its connections stay open.
func (w *world) retire(e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints = slices.DeleteFunc(w.endpoints, func(o *endpoint) bool { return o == e })
	w.retired = append(w.retired, e)
}

// pool returns the endpoints of a service in a random order.
func (w *world) pool(service string) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*endpoint
	for _, e := range w.endpoints {
		if e.service == service {
			out = append(out, e)
		}
	}
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// awaitReady waits until every VM accepts callers.
func (w *world) awaitReady() {
	w.t.Helper()
	host, deadline := w.network.NewHost(), time.Now().Add(readyTimeout)
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext, DisableKeepAlives: true}}
	for _, v := range w.vms {
		for !v.isReady(client) {
			if time.Now().After(deadline) {
				w.t.Fatalf("seed %d: %s isn't ready within %s", w.seed, v.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// machine is a VM. Its process may end and start again.
type machine struct {
	w       *world
	name    string
	host    *simnet.Host
	starts  int
	process *process
	signals chan os.Signal
	ended   chan error

	mu       sync.Mutex
	closings []span // in which it closed idle connections
}

type span struct{ from, to time.Time }

func (v *machine) address(port uint16) string {
	return net.JoinHostPort(v.host.IP().String(), strconv.Itoa(int(port)))
}

func (v *machine) options() vm.Options {
	incarnation := fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(v.w.seed, v.name, v.starts)))
	return vm.Options{
		Self: gossip.Node{
			Incarnation: incarnation, Zone: zone, Caller: v.address(portCallers), Peer: v.address(portPeer), Capacity: vm.Capacity(0.4, 1000),
		},
		Addresses: vm.Addresses{
			Callers: v.address(portCallers), Ready: v.address(portReady), Directory: v.address(portDirectory), Metrics: v.address(portMetrics),
		},
		MinLeaderChangeInterval: 3 * time.Second, FirstStart: !v.w.running,
		AddressLifetime: 1800 * time.Millisecond, Linger: linger, DrainTimeout: exitTimeout - 300*time.Millisecond,
		Network: processNetwork{v.host.Sockets(), v.process}, Clock: simnet.Clock{},
		Tunables: vm.Tunables{Budget: repeat.Config{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}},
	}
}

// linger is how long a VM still accepts requests after SIGTERM.
const linger = 4 * time.Second

// start starts the VM's process.
func (v *machine) start() {
	v.starts++
	ctx, cancel := context.WithCancel(context.Background())
	v.process = &process{cancel: cancel}
	a := newAdapter(v.w.store, v.name)
	a.process = v.process
	node := vm.New(v.options(), a)
	o := node.KernelOptions()
	v.signals, v.ended = make(chan os.Signal, 1), make(chan error, 1)
	o.Signals = v.signals
	go func() {
		err := kernel.Run(ctx, o, node.Units()...)
		v.host.CloseAll()
		v.ended <- err
	}()
}

// stop ends the VM's process in order.
func (v *machine) stop() {
	begun := time.Now()
	v.mu.Lock()
	v.closings = append(v.closings, span{begun.Add(linger), begun.Add(exitTimeout)})
	v.mu.Unlock()
	v.signals <- syscall.SIGTERM
	err := <-v.ended
	v.mu.Lock()
	v.closings[len(v.closings)-1].to = time.Now()
	v.mu.Unlock()
	assert.Check(v.w.t, err == nil, "seed %d: %s ended with %v", v.w.seed, v.name, err)
	took := time.Since(begun)
	assert.Check(v.w.t, took <= exitTimeout, "seed %d: %s ended %s after SIGTERM", v.w.seed, v.name, took)
}

func (v *machine) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + v.address(portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// closeSlack is the longest time between a request that crosses the closing of its connection and the closing.
const closeSlack = 10 * time.Millisecond

// crossedClose reports whether a request that got no answer was on its way while the VM closed idle connections, and
// the VM hasn't received it.
func (v *machine) crossedClose(id string, sent time.Time, err error) bool {
	if !errors.Is(err, syscall.ECONNRESET) && !isEOF(err) || v.w.logged.has(id) {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	answered := time.Now()
	return slices.ContainsFunc(v.closings, func(c span) bool {
		return answered.After(c.from.Add(-closeSlack)) && sent.Before(c.to.Add(closeSlack))
	})
}

// isEOF reports whether a connection ended in order before an answer. net/http has an error of its own for that.
func isEOF(err error) bool { return err != nil && strings.Contains(err.Error(), "EOF") }

// logged receives the VMs' log, and knows the requests in it.
type logged struct {
	previous log.Interface

	mu    sync.Mutex
	ids   map[string]bool
	lines map[string]int // by message
	// quarantined are the requests that were refused since they seemed to crash endpoints.
	quarantined []string
}

// quarantined is the result code of such a refusal.
const quarantined = "3010"

// newLogged returns a log that replaces the process's until it is closed.
func newLogged() *logged {
	l := &logged{previous: log.Log, ids: map[string]bool{}, lines: map[string]int{}}
	log.Log = &log.Logger{Handler: l, Level: log.InfoLevel}
	return l
}

func (l *logged) close() { log.Log = l.previous }

// HandleLog implements log.Handler.
func (l *logged) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[e.Message]++
	if id, ok := e.Fields["id"].(string); ok {
		l.ids[id] = true
	}
	if code, ok := e.Fields["code"]; ok && fmt.Sprint(code) == quarantined {
		l.quarantined = append(l.quarantined, fmt.Sprint(e.Fields))
	}
	if *worldLog {
		fmt.Println(time.Now().Format("05.000000"), e.Level, e.Message, e.Fields)
	}
	return nil
}

// countOf returns the number of lines with a message.
func (l *logged) countOf(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines[message]
}

// mistakes returns the requests that were refused since they seemed to crash endpoints, which no request does.
func (l *logged) mistakes() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.quarantined)
}

func (l *logged) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ids[id]
}
