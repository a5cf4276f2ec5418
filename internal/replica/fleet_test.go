package replica

import (
	"context"
	"errors"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/logclient"
	"fescuestand/internal/logclient/logtest"
	"fescuestand/internal/wire"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}

// bubbleClock returns the fake time of the synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

// switchLog simulates an outage of the log for a single process.
type switchLog struct {
	driver.Log
	mu  sync.Mutex
	cut bool
}

func (l *switchLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *switchLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *switchLog) Read(ctx context.Context, s string, from uint64, n int, wait time.Duration) (driver.Page, error) {
	if l.isCut() {
		return driver.Page{}, driver.ErrNotSent
	}
	p, err := l.Log.Read(ctx, s, from, n, min(wait, 50*time.Millisecond))
	if l.isCut() {
		return driver.Page{}, driver.ErrNotSent
	}
	return p, err
}

// fleet is a set of replicas that call each other in memory.
type fleet struct {
	t   *testing.T
	log *logtest.Log
	// peers replaces the fleet's own calls if set.
	peers PeerClient
	mu    sync.Mutex
	vms   []driver.VM
	reps  map[string]*Replica
	logs  map[string]*switchLog
	stop  map[string]func()
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, log: logtest.New(), reps: map[string]*Replica{}, logs: map[string]*switchLog{}, stop: map[string]func(){}}
}

func (f *fleet) List(context.Context) ([]driver.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]driver.VM(nil), f.vms...), nil
}

func (f *fleet) Call(_ context.Context, addr string, req *wire.PeerRequest) (*wire.PeerResponse, error) {
	f.mu.Lock()
	r := f.reps[addr]
	f.mu.Unlock()
	if r == nil {
		return nil, errors.New("no such peer")
	}
	return r.Handle(req), nil
}

// start starts the entry of a VM; with cut set its log is unavailable from the beginning.
func (f *fleet) start(vm string, cut bool) *Replica {
	l := &switchLog{Log: f.log, cut: cut}
	c := logclient.New(logclient.Options{Log: l, Writer: vm + "-1", VM: vm})
	peers := f.peers
	if peers == nil {
		peers = f
	}
	r := New(Options{
		Log: c, VMs: f, Peers: peers, Stream: "config", VM: vm, Process: "entry", Incarnation: vm + "-1", WriteCheckpoints: true,
		Clock: bubbleClock{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, driver.VM{Name: vm, Peer: vm})
	f.reps[vm], f.logs[vm] = r, l
	f.stop[vm] = func() {
		cancel()
		<-done
		assert.NilError(f.t, c.Close())
	}
	return r
}

func (f *fleet) close() {
	for _, stop := range f.stop {
		stop()
	}
}

func (f *fleet) publish(base uint64, id string) (*wire.Verdict, error) {
	c := logclient.New(logclient.Options{Log: f.log, Writer: "ctl-" + id, VM: "room"})
	defer func() { assert.NilError(f.t, c.Close()) }()
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	return Publish(ctx, c, "config", id, publishEntry(base, id))
}
