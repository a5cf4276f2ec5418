package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
	"fescuestand/internal/logclient"
	"fescuestand/internal/logclient/logtest"
	"fescuestand/internal/membership"
	"fescuestand/internal/replica"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// testCluster is a sheet, engines, one entry and control processes that share one log.
type testCluster struct {
	t       *testing.T
	log     *logtest.Log
	engines map[string]*fakeEngine

	mu             sync.Mutex
	view           *replica.View
	changed        chan struct{}
	directives     map[string]*wire.Directive // newest directives received by the entry
	inFlight       map[string]uint32
	unresponsive   bool // the entry doesn't answer
	maxUnavailable int
	processes      map[string]*process
}

type process struct {
	control *Control
	log     *cutLog
	stop    func()
}

// cutLog is one process's connection to the log, which can be cut.
type cutLog struct {
	driver.Log
	mu  sync.Mutex
	cut bool
}

func (l *cutLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *cutLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *cutLog) Append(ctx context.Context, s string, data []byte) (uint64, error) {
	if l.isCut() {
		return 0, driver.ErrNotSent
	}
	return l.Log.Append(ctx, s, data)
}

func (l *cutLog) Read(ctx context.Context, s string, from uint64, n int, wait time.Duration) (driver.Page, error) {
	if l.isCut() {
		return driver.Page{}, driver.ErrNotSent
	}
	p, err := l.Log.Read(ctx, s, from, n, min(wait, 100*time.Millisecond))
	if l.isCut() {
		return driver.Page{}, driver.ErrNotSent
	}
	return p, err
}

func newTestCluster(t *testing.T, engines int, checksFence bool) *testCluster {
	cl := &testCluster{
		t: t, log: logtest.New(), engines: map[string]*fakeEngine{}, changed: make(chan struct{}),
		directives: map[string]*wire.Directive{}, inFlight: map[string]uint32{}, processes: map[string]*process{},
	}
	s := &sheet.Sheet{Pools: []sheet.Pool{{
		Name: "p", Model: "m", Version: "1", MaxUnavailableShare: 0.25, Roles: sheet.Roles{Fixed: map[string]driver.Role{}},
	}}}
	for i := range engines {
		name := fmt.Sprint("e", i)
		cl.engines[name] = newFakeEngine(name, checksFence)
		s.Engines = append(s.Engines, sheet.Engine{Name: name, ChecksFence: checksFence})
		s.Pools[0].Engines = append(s.Pools[0].Engines, name)
	}
	cl.setSheet(s)
	return cl
}

func (cl *testCluster) setSheet(s *sheet.Sheet) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	version := uint64(1)
	if cl.view != nil {
		version = cl.view.Version + 1
	}
	entry := membership.Member{VM: driver.VM{Name: "entry", Peer: "entry"}, State: membership.Live, Incarnation: "1", Listed: true}
	cl.view = &replica.View{Ready: true, Version: version, Sheet: s, Members: []membership.Member{entry}}
	close(cl.changed)
	cl.changed = make(chan struct{})
}

// changeSheet publishes a changed copy of the sheet.
func (cl *testCluster) changeSheet(f func(s *sheet.Sheet)) {
	s := *cl.View().Sheet
	s.Engines = slices.Clone(s.Engines)
	s.Pools = slices.Clone(s.Pools)
	f(&s)
	cl.setSheet(&s)
}

func (cl *testCluster) View() *replica.View {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.view
}

func (cl *testCluster) Updated() <-chan struct{} {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.changed
}

func (cl *testCluster) Contribute(func(*wire.Gossip)) {}
func (cl *testCluster) OnGossip(func(*wire.Gossip))   {}

// Call implements the entry: it records the directive and acknowledges it.
func (cl *testCluster) Call(_ context.Context, _ string, req *wire.PeerRequest) (*wire.PeerResponse, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.unresponsive {
		return nil, errors.New("no answer")
	}
	d := req.GetDirective()
	old := cl.directives[d.Engine]
	if old == nil || d.Fence > old.Fence || d.Fence == old.Fence && d.Seq > old.Seq {
		cl.directives[d.Engine] = d
	}
	unavailable := 0
	for _, d := range cl.directives {
		if d.Phase != wire.Phase_PHASE_OPEN {
			unavailable++
		}
	}
	cl.maxUnavailable = max(cl.maxUnavailable, unavailable)
	ack := &wire.DirectiveAck{Engine: d.Engine, InFlight: cl.inFlight[d.Engine]}
	return &wire.PeerResponse{Kind: &wire.PeerResponse_DirectiveAck{DirectiveAck: ack}}, nil
}

func (cl *testCluster) phase(engine string) wire.Phase {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.directives[engine].GetPhase()
}

func (cl *testCluster) setInFlight(engine string, n uint32) {
	cl.mu.Lock()
	cl.inFlight[engine] = n
	cl.mu.Unlock()
	cl.engines[engine].withLock(func() { cl.engines[engine].streams = int(n) })
}

// startProcess starts a control process.
func (cl *testCluster) startProcess(vm string, change ...func(*Options)) *process {
	l := &cutLog{Log: cl.log}
	killed := make(chan struct{})
	id := fmt.Sprintf("%s-%d", vm, time.Now().UnixNano())
	client := logclient.New(logclient.Options{Log: l, Writer: id, VM: vm})
	opt := Options{
		Replica: cl, Log: client, Peers: cl, Clock: fakeClock{}, Stream: "control", VM: vm, Incarnation: id,
		OpenEngine: func(name string, _ driver.Target) (driver.Engine, error) {
			return engineConn{cl.engines[name], killed}, nil
		},
	}
	for _, f := range change {
		f(&opt)
	}
	p := &process{control: New(opt), log: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.control.Run(ctx)
	}()
	p.stop = sync.OnceFunc(func() {
		close(killed)
		cancel()
		<-done
		assert.NilError(cl.t, client.Close())
	})
	cl.processes[vm] = p
	return p
}

func (cl *testCluster) close() {
	for _, p := range cl.processes {
		p.stop()
	}
	for _, e := range cl.engines {
		for _, violation := range e.violations {
			cl.t.Errorf("%s: %s", e.name, violation)
		}
	}
}

// holders returns the number of engines held by each VM, as p sees it.
func (p *process) holders() map[string]int {
	out := map[string]int{}
	for _, s := range p.control.Scopes() {
		out[s.Holder]++
	}
	return out
}

func openFake(cl *testCluster) func(string, driver.Target) (driver.Engine, error) {
	return func(name string, _ driver.Target) (driver.Engine, error) { return cl.engines[name], nil }
}
