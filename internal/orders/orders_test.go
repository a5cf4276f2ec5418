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
	"fescuestand/internal/era"
	"fescuestand/internal/policy/stages"
)

// fakeEngines is a set of engines that record their orders.
type fakeEngines struct {
	mu       sync.Mutex
	busy     bool
	leaving  bool
	timesOut bool
	orders   []string
}

func (f *fakeEngines) Report(context.Context, *catalog.Endpoint) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Report{Stage: catalog.Decode, Busy: f.busy, Leaving: f.leaving, Accepted: 2}, nil
}

func (f *fakeEngines) Order(_ context.Context, e *catalog.Endpoint, to catalog.Stage, r Report, fence int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, fmt.Sprintf("%s %s accepted=%d fence=%d", e.ID, to, r.Accepted, fence))
	if f.timesOut {
		return context.DeadlineExceeded
	}
	return nil
}

func (f *fakeEngines) sentOrders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.orders...)
}

// runUnit starts a unit with four decode engines.
func runUnit(t *testing.T, f *fakeEngines, mayAct bool) (ordered *[]string) {
	t.Helper()
	_, ordered = startUnit(t, f, mayAct)
	return ordered
}

func startUnit(t *testing.T, f *fakeEngines, mayAct bool) (u *Unit, ordered *[]string) {
	t.Helper()
	store := catalog.NewStore(clock.Boot{})
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "m", Engine: &catalog.Engine{Slots: 96}}, {Name: "plain"}}))
	for i := range 4 {
		store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprint("e", i), Service: "m", Stage: catalog.Decode, Sequence: 1})
	}
	a := authority.New(0, true, 0)
	now := clock.Boot{}.Now()
	if mayAct {
		a.RecordRenewal(now.Add(-4*time.Second), true, era.None, 5)
		a.RecordRenewal(now.Add(-2*time.Second), true, era.None, 5)
		a.RecordRenewal(now, true, era.None, 5)
		for _, want := range []authority.Step{authority.ReadRecord, authority.WriteRecord} {
			step, term := a.NextStep(now)
			assert.Equal(t, step, want)
			a.RecordStepResult(term, step == authority.WriteRecord, true)
		}
	}
	ordered = &[]string{}
	u = &Unit{
		Catalog: store, Authority: a, Engine: f, Clock: clock.Boot{}, Load: func(string) int { return 0 },
		Demand: func() stages.Demand { return stages.Demand{} }, OnOrder: func(id string) { *ordered = append(*ordered, id) },
	}
	u.OnEndpointLeaving = func(e *catalog.Endpoint) { store.SetLeaving(e.ID, e.Born) }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = u.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			a.RecordRenewal(clock.Boot{}.Now(), mayAct, era.None, 5)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return u, ordered
}

// Guards against an order to an engine that is leaving, and against a VM that doesn't pass on that
// the engine is leaving.
func TestLeavingEngineGetsNoOrder(t *testing.T) {
	f := &fakeEngines{leaving: true}
	u, _ := startUnit(t, f, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if u.Catalog.View().AvailableCount() < 4 {
			return poll.Success()
		}
		return poll.Continue("no engine has reported that it is leaving")
	}, poll.WithTimeout(10*time.Second))
	assert.Equal(t, len(f.sentOrders()), 0)
}

func TestLeaderSplitsFleetIntoStages(t *testing.T) {
	f := &fakeEngines{}
	runUnit(t, f, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.sentOrders()) == 2 {
			return poll.Success()
		}
		return poll.Continue("%v", f.sentOrders())
	}, poll.WithTimeout(10*time.Second))
	assert.DeepEqual(t, f.sentOrders(), []string{"e0 prefill accepted=2 fence=5", "e1 prefill accepted=2 fence=5"})
}

// Guards against a fleet that starts with too few engines of a stage and is reassigned one engine
// per pass: the first traffic would find it half done.
func TestOnePassOrdersSeveralEngines(t *testing.T) {
	f := &fakeEngines{}
	c := &clock.Manual{T: clock.Time(time.Hour)}
	store := catalog.NewStore(c)
	store.SetConfig(catalog.NewConfig(1, nil, []*catalog.Service{{Name: "m", Engine: &catalog.Engine{Slots: 12}}}))
	for i := range 40 {
		store.SetEndpoint(&catalog.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "m", Stage: catalog.Decode, Sequence: 1})
	}
	a := authority.New(0, true, c.T)
	u := &Unit{
		Catalog: store, Authority: a, Engine: f, Clock: c, Load: func(string) int { return 0 },
		Demand: func() stages.Demand { return stages.Demand{} }, OnOrder: func(string) {}, planners: map[string]*stages.Planner{},
	}
	runPass := func() {
		a.RecordRenewal(c.T, true, era.None, 5)
		if step, term := a.NextStep(c.T); step != authority.NoStep {
			a.RecordStepResult(term, step == authority.WriteRecord, true)
		}
		u.runPass(t.Context())
		c.T = c.T.Add(planInterval)
	}
	for len(f.sentOrders()) == 0 {
		runPass()
	}
	assert.Equal(t, len(f.sentOrders()), maxOrdersPerPass)
	runPass()
	assert.Equal(t, len(f.sentOrders()), 2*maxOrdersPerPass)
	for range 6 {
		runPass()
	}
	assert.Equal(t, len(f.sentOrders()), 20, "half of them")
}

// Guards against an order from a VM without authority. Every process runs the unit, and also plans
// when it may not act.
func TestNoOrdersWithoutAuthority(t *testing.T) {
	f := &fakeEngines{}
	runUnit(t, f, false)
	time.Sleep(4 * planInterval)
	assert.Equal(t, len(f.sentOrders()), 0)
}

// Guards against ordering too many engines after leadership moves. Another VM has just ordered two
// of four engines to prefill; their entries don't show it yet, so that the next leader would order
// the other two.
func TestPeerOrdersAreNotRepeated(t *testing.T) {
	f := &fakeEngines{}
	u, _ := startUnit(t, f, true)
	u.RecordPeerOrder("e0")
	u.RecordPeerOrder("e1")
	time.Sleep(4 * time.Second)
	assert.Equal(t, len(f.sentOrders()), 0)
}

// Guards against a second order to an engine that still carries out one of the previous leader: it
// would be carried out after the first.
func TestBusyEngineGetsNoOrder(t *testing.T) {
	f := &fakeEngines{busy: true}
	runUnit(t, f, true)
	time.Sleep(3 * time.Second)
	assert.Equal(t, len(f.sentOrders()), 0)
}
