package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	if os.Getenv("CONTROL_TEST_LOG") != "" {
		log.SetHandler(logPrinter{})
	}
	os.Exit(m.Run())
}

type logPrinter struct{}

func (logPrinter) HandleLog(e *log.Entry) error {
	fmt.Println(time.Now().Format("15:04:05.000"), e.Message, e.Fields)
	return nil
}

// fakeClock returns the fake time of the test.
type fakeClock struct{}

func (fakeClock) Now() clock.Time { return clock.Time(time.Now().UnixNano()) }

const changeDuration = 3 * time.Second

// fakeEngine is an in-memory engine that records violations of the guarantees of this package.
type fakeEngine struct {
	mu               sync.Mutex
	name             string
	checksFence      bool
	state            driver.EngineState
	restarts         int
	orderEnd         time.Time // end of the executing order
	executing        driver.Order
	orders           []driver.Order
	violations       []string
	crashDuringOrder bool          // crash while executing the next order
	loseAnswer       bool          // lose the answer to the next order
	stallOrder       chan struct{} // stalls the next order before its last byte until closed
	down             bool
	streams          int // running streams, set by setInFlight
}

func newFakeEngine(name string, checksFence bool) *fakeEngine {
	return &fakeEngine{name: name, checksFence: checksFence, state: driver.EngineState{
		Incarnation: "1", Role: driver.RoleMixed, Loaded: []driver.Loaded{{Model: "m", Version: "1"}},
	}}
}

func (f *fakeEngine) finishOrder() {
	if !f.state.Changing || time.Now().Before(f.orderEnd) {
		return
	}
	f.state.Changing = false
	switch f.executing.Kind {
	case driver.OrderRole:
		f.state.Role = f.executing.Role
	case driver.OrderLoad:
		f.state.Loaded = append(f.state.Loaded, f.executing.Load)
	case driver.OrderUnload:
		f.state.Loaded = slices.DeleteFunc(f.state.Loaded, func(l driver.Loaded) bool { return l == f.executing.Load })
	}
}

func (f *fakeEngine) State(context.Context) (driver.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishOrder()
	if f.down {
		return driver.EngineState{}, driver.ErrNotSent
	}
	s := f.state
	s.Loaded = slices.Clone(s.Loaded)
	s.Running = f.streams
	return s, nil
}

// engineConn is the connection of one process to an engine.
type engineConn struct {
	*fakeEngine
	killed <-chan struct{} // closed when the process is killed
}

func (f engineConn) Order(ctx context.Context, o driver.Order, permit driver.Permit) error {
	f.mu.Lock()
	stall, loseAnswer := f.stallOrder, f.loseAnswer
	f.stallOrder, f.loseAnswer = nil, false
	f.mu.Unlock()
	if stall != nil {
		select {
		case <-stall:
		case <-f.killed:
			return driver.ErrNotSent
		}
	}
	if err := permit(); err != nil {
		return errors.Join(driver.ErrNotSent, err)
	}
	return f.accept(ctx, o, loseAnswer)
}

// Order implements driver.Engine for benchmarks, in which no orders are sent.
func (f *fakeEngine) Order(context.Context, driver.Order, driver.Permit) error {
	return driver.ErrRefused
}

func (f *fakeEngine) accept(_ context.Context, o driver.Order, loseAnswer bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishOrder()
	if f.down {
		return driver.ErrNotSent
	}
	if f.checksFence && o.Fence < f.state.Fence {
		return driver.ErrStaleFence
	}
	if f.state.Changing {
		f.violations = append(f.violations, fmt.Sprintf("%s while %s is executing", o.ID, f.executing.ID))
	}
	if n := len(f.orders); n > 0 && f.orders[n-1].Fence > o.Fence {
		f.violations = append(f.violations, fmt.Sprintf("%s after %s of a later holder", o.ID, f.orders[n-1].ID))
	}
	if f.streams > 0 {
		f.violations = append(f.violations, fmt.Sprintf("%s aborts %d streams", o.ID, f.streams))
	}
	if f.checksFence {
		f.state.Fence = o.Fence
	}
	f.orders, f.executing = append(f.orders, o), o
	f.state.LastOrder, f.state.Changing, f.orderEnd = o.ID, true, time.Now().Add(changeDuration)
	if f.crashDuringOrder {
		f.crashDuringOrder = false
		f.restarts++
		f.state = driver.EngineState{Incarnation: fmt.Sprint("crashed", f.restarts), Role: driver.RoleMixed}
	}
	if loseAnswer {
		return driver.ErrConnectionLost
	}
	return nil
}

func (f *fakeEngine) Report(context.Context) (driver.LoadReport, error) {
	return driver.LoadReport{PrefillRate: 1000, DecodeStep: 20 * time.Millisecond}, nil
}

func (f *fakeEngine) CacheEvents(context.Context, uint64) ([]driver.CacheEvent, error) {
	return nil, nil
}

func (f *fakeEngine) Prefill(context.Context, *driver.GenerateRequest) (driver.KVHandle, error) {
	return driver.KVHandle{}, driver.ErrRefused
}

func (f *fakeEngine) Generate(context.Context, *driver.GenerateRequest) (driver.TokenStream, error) {
	return nil, io.EOF
}

func (f *fakeEngine) Export(context.Context, string) (driver.KVHandle, error) {
	return driver.KVHandle{}, driver.ErrRefused
}

func (f *fakeEngine) Close() error { return nil }

func (f *fakeEngine) withLock(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fakeEngine) acceptedOrders() []driver.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}
