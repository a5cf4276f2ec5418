package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuestand/internal/authority"
	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/policy/stages"
)

// fake is a set of engines that note their orders.
type fake struct {
	mu     sync.Mutex
	busy   bool
	leaves bool
	lost   bool
	orders []string
}

func (f *fake) Report(context.Context, *catalog.Endpoint) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Report{Stage: catalog.Decode, Busy: f.busy, Leaving: f.leaves, Accepted: 2}, nil
}

func (f *fake) Order(_ context.Context, e *catalog.Endpoint, to catalog.Stage, r Report, fence int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, fmt.Sprintf("%s %s accepted=%d fence=%d", e.ID, to, r.Accepted, fence))
	if f.lost {
		return context.DeadlineExceeded
	}
	return nil
}

func (f *fake) given() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.orders...)
}

// run starts a unit before four decode engines.
func run(t *testing.T, f *fake, may bool) (ordered *[]string) {
	t.Helper()
	_, ordered = start(t, f, may)
	return ordered
}

func start(t *testing.T, f *fake, may bool) (u *Unit, ordered *[]string) {
	t.Helper()
	store := catalog.NewStore(clock.Boot{})
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "m", Engine: &catalog.Engine{Slots: 96}}, {Name: "plain"}}))
	for i := range 4 {
		store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprint("e", i), Service: "m", Stage: catalog.Decode, Sequence: 1})
	}
	a := authority.New(0, true, 0)
	now := clock.Boot{}.Now()
	if may {
		a.Renewed(now.Add(-4*time.Second), true, 5)
		a.Renewed(now.Add(-2*time.Second), true, 5)
		a.Renewed(now, true, 5)
		for _, want := range []authority.Step{authority.Read, authority.Write} {
			step, holding := a.Next(now)
			assert.Equal(t, step, want)
			a.Done(holding, step == authority.Write, true)
		}
	}
	ordered = &[]string{}
	u = &Unit{
		Catalog: store, Authority: a, Engine: f, Clock: clock.Boot{}, Load: func(string) int { return 0 },
		Demand: func() stages.Demand { return stages.Demand{} }, Ordered: func(id string) { *ordered = append(*ordered, id) },
	}
	u.Leaves = func(e *catalog.Endpoint) { store.SetLeaving(e.ID, e.Born) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = u.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			a.Renewed(clock.Boot{}.Now(), may, 5)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return u, ordered
}

// Guards against an order for an engine that leaves, and against a VM that keeps its word to itself.
func TestAnEngineWhoseReportSaysThatItLeavesIsNotOrdered(t *testing.T) {
	f := &fake{leaves: true}
	u, _ := start(t, f, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u.Catalog.View().AvailableCount() < 4 {
			return poll.Success()
		}
		return poll.Continue("no engine is known to leave")
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, len(f.given()), 0)
}

func TestTheHolderSplitsTheFleet(t *testing.T) {
	f := &fake{}
	run(t, f, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.given()) == 2 {
			return poll.Success()
		}
		return poll.Continue("%v", f.given())
	}, poll.WithTimeout(10*time.Second))
	assert.DeepEqual(t, f.given(), []string{"e0 prefill accepted=2 fence=5", "e1 prefill accepted=2 fence=5"})
}

// Guards against a fleet that comes up with too few engines of a stage and is turned one
// engine at a look: the first traffic would find it half done.
func TestSeveralEnginesAreOrderedAtALook(t *testing.T) {
	f := &fake{}
	c := &clock.Manual{T: clock.Time(time.Hour)}
	store := catalog.NewStore(c)
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "m", Engine: &catalog.Engine{Slots: 12}}}))
	for i := range 40 {
		store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "m", Stage: catalog.Decode, Sequence: 1})
	}
	a := authority.New(0, true, c.T)
	u := &Unit{
		Catalog: store, Authority: a, Engine: f, Clock: c, Load: func(string) int { return 0 },
		Demand: func() stages.Demand { return stages.Demand{} }, Ordered: func(string) {}, planners: map[string]*stages.Planner{},
	}
	look := func() {
		a.Renewed(c.T, true, 5)
		if step, holding := a.Next(c.T); step != authority.Nothing {
			a.Done(holding, step == authority.Write, true)
		}
		u.look(t.Context())
		c.T = c.T.Add(period)
	}
	for len(f.given()) == 0 {
		look()
	}
	assert.Equal(t, len(f.given()), ordersAtOnce)
	look()
	assert.Equal(t, len(f.given()), 2*ordersAtOnce)
	for range 6 {
		look()
	}
	assert.Equal(t, len(f.given()), 20, "half of them")
}

// Every process runs the unit. One that doesn't hold the authority must not give
// an order, whatever it believes of the fleet.
func TestWithoutAuthorityNothingIsOrdered(t *testing.T) {
	f := &fake{}
	run(t, f, false)
	time.Sleep(4 * period)
	assert.Equal(t, len(f.given()), 0)
}

// Another VM has just ordered two of four engines to prefill and hands the duty on.
// Their entries don't show it yet: the next holder would order the other two.
func TestWhatAnotherVMHasOrderedIsNotOrderedAgain(t *testing.T) {
	f := &fake{}
	u, _ := start(t, f, true)
	u.Heard("e0")
	u.Heard("e1")
	time.Sleep(4 * time.Second)
	assert.Equal(t, len(f.given()), 0)
}

// An engine still carries out an order of the holder before. A second order would
// be carried out after it.
func TestABusyEngineIsNotOrdered(t *testing.T) {
	f := &fake{busy: true}
	run(t, f, true)
	time.Sleep(3 * time.Second)
	assert.Equal(t, len(f.given()), 0)
}
