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

// world is a sheet, engines, entries and control processes around one log.
type world struct {
	t       *testing.T
	log     *logtest.Log
	engines map[string]*fakeEngine

	mu         sync.Mutex
	view       *replica.View
	changed    chan struct{}
	directives map[string]*wire.Directive // at the one entry
	inFlight   map[string]uint32
	deaf       bool // the entry doesn't answer
	maxAway    int
	controls   map[string]*proc
}

type proc struct {
	c    *Control
	log  *cutLog
	stop func()
}

// cutLog cuts one process off the log.
type cutLog struct {
	driver.Log
	mu  sync.Mutex
	cut bool
}

func (l *cutLog) set(cut bool) {
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

func newWorld(t *testing.T, engines int, fences bool) *world {
	w := &world{
		t: t, log: logtest.New(), engines: map[string]*fakeEngine{}, changed: make(chan struct{}),
		directives: map[string]*wire.Directive{}, inFlight: map[string]uint32{}, controls: map[string]*proc{},
	}
	s := &sheet.Sheet{Pools: []sheet.Pool{{
		Name: "p", Model: "m", Version: "1", MaxAwayShare: 0.25, Roles: sheet.Roles{Fixed: map[string]driver.Role{}},
	}}}
	for i := range engines {
		name := fmt.Sprint("e", i)
		w.engines[name] = newFakeEngine(name, fences)
		s.Engines = append(s.Engines, sheet.Engine{Name: name, ChecksFence: fences})
		s.Pools[0].Engines = append(s.Pools[0].Engines, name)
	}
	w.setSheet(s)
	return w
}

func (w *world) setSheet(s *sheet.Sheet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := uint64(1)
	if w.view != nil {
		version = w.view.Version + 1
	}
	entry := membership.Member{VM: driver.VM{Name: "entry", Peer: "entry"}, State: membership.Live, Incarnation: "1", Listed: true}
	w.view = &replica.View{Ready: true, Version: version, Sheet: s, Members: []membership.Member{entry}}
	close(w.changed)
	w.changed = make(chan struct{})
}

// change publishes a changed copy of the sheet.
func (w *world) change(f func(s *sheet.Sheet)) {
	s := *w.View().Sheet
	s.Engines = slices.Clone(s.Engines)
	s.Pools = slices.Clone(s.Pools)
	f(&s)
	w.setSheet(&s)
}

func (w *world) View() *replica.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *world) Updated() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

func (w *world) Contribute(func(*wire.Gossip)) {}
func (w *world) OnGossip(func(*wire.Gossip))   {}

// Call is the one entry.
func (w *world) Call(_ context.Context, _ string, req *wire.PeerRequest) (*wire.PeerResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deaf {
		return nil, errors.New("no answer")
	}
	d := req.GetDirective()
	old := w.directives[d.Engine]
	if old == nil || d.Fence > old.Fence || d.Fence == old.Fence && d.Seq > old.Seq {
		w.directives[d.Engine] = d
	}
	away := 0
	for _, d := range w.directives {
		if d.Phase != wire.Phase_PHASE_OPEN {
			away++
		}
	}
	w.maxAway = max(w.maxAway, away)
	ack := &wire.DirectiveAck{Engine: d.Engine, InFlight: w.inFlight[d.Engine]}
	return &wire.PeerResponse{Kind: &wire.PeerResponse_DirectiveAck{DirectiveAck: ack}}, nil
}

func (w *world) phase(engine string) wire.Phase {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directives[engine].GetPhase()
}

func (w *world) setInFlight(engine string, n uint32) {
	w.mu.Lock()
	w.inFlight[engine] = n
	w.mu.Unlock()
	w.engines[engine].with(func() { w.engines[engine].streams = int(n) })
}

// start starts a control process.
func (w *world) start(vm string, change ...func(*Options)) *proc {
	l := &cutLog{Log: w.log}
	dead := make(chan struct{})
	id := fmt.Sprintf("%s-%d", vm, time.Now().UnixNano())
	client := logclient.New(logclient.Options{Log: l, Writer: id, VM: vm})
	opt := Options{
		Replica: w, Log: client, Peers: w, Clock: bubbleClock{}, Stream: "control", VM: vm, Incarnation: id,
		OpenEngine: func(name string, _ driver.Target) (driver.Engine, error) { return link{w.engines[name], dead}, nil },
	}
	for _, f := range change {
		f(&opt)
	}
	p := &proc{c: New(opt), log: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.c.Run(ctx)
	}()
	p.stop = sync.OnceFunc(func() {
		close(dead)
		cancel()
		<-done
		assert.NilError(w.t, client.Close())
	})
	w.controls[vm] = p
	return p
}

func (w *world) close() {
	for _, p := range w.controls {
		p.stop()
	}
	for _, e := range w.engines {
		for _, bad := range e.bad {
			w.t.Errorf("%s: %s", e.name, bad)
		}
	}
}

// holders counts the engines held by each VM, as p knows it.
func (p *proc) holders() map[string]int {
	out := map[string]int{}
	for _, s := range p.c.Scopes() {
		out[s.Holder]++
	}
	return out
}

func openFake(w *world) func(string, driver.Target) (driver.Engine, error) {
	return func(name string, _ driver.Target) (driver.Engine, error) { return w.engines[name], nil }
}
