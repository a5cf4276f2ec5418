package reconcile

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

func TestDiffLoadsBeforeItUnloads(t *testing.T) {
	p := &sheet.Pool{Model: "m", Version: "2", Adapters: []sheet.Adapter{{Name: "a", Version: "1"}}}
	desired := DesiredStateFor(p, &sheet.Engine{}, driver.RoleDecode)
	s := &driver.EngineState{Role: driver.RolePrefill, Loaded: []driver.Loaded{{Model: "m", Version: "1"}}}
	kinds := func(unloadFirst bool) (out []driver.OrderKind) {
		for _, o := range Diff(&desired, s, unloadFirst) {
			out = append(out, o.Kind)
		}
		return out
	}
	assert.DeepEqual(t, kinds(false), []driver.OrderKind{driver.OrderLoad, driver.OrderLoad, driver.OrderUnload, driver.OrderRole})
	assert.Equal(t, kinds(true)[0], driver.OrderUnload)
}

func TestMaxUnavailableIsAtLeastOne(t *testing.T) {
	assert.Equal(t, MaxUnavailable(3, 0.1), 1)
	assert.Equal(t, MaxUnavailable(12, 0.25), 3)
}

// Guards against slow recovery of a zone: twelve engines restart empty and load at the same time,
// so that each gets a twelfth of the weight store's rate and none serves before the last one has
// loaded. With sequential loads the first serves after a twelfth of that time.
func TestLoadPacerSerializesLoads(t *testing.T) {
	var p LoadPacer
	now, started := clock.Time(0), 0
	for ; now < clock.Time(60*time.Second); now = now.Add(250 * time.Millisecond) {
		if p.Available(now) {
			p.Reserve(now, 10<<30, 1<<30)
			started++
		}
	}
	assert.Assert(t, started >= 5 && started <= 6, "%d loads of 10 s started in a minute", started)
}

// engineModel simulates one engine, its entries and the orders that are in flight to it.
type engineModel struct {
	rng        *rand.Rand
	now        clock.Time
	engine     driver.EngineState
	orderEnd   clock.Time // end of the executing order
	executing  driver.Order
	inFlight   []delayedOrder
	reconciler Reconciler
	ackedSince clock.Time
	ackPhase   wire.Phase
	crashes    int
	violations []string
}

type delayedOrder struct {
	arrival clock.Time
	order   driver.Order
}

func (m *engineModel) deliver(o driver.Order) {
	if m.engine.Changing {
		m.violations = append(m.violations, fmt.Sprintf("%s while %s", o.ID, m.executing.ID))
	}
	if m.engine.Running > 0 {
		m.violations = append(m.violations, "stream aborted")
	}
	m.executing, m.engine.LastOrder, m.engine.Changing = o, o.ID, true
	m.orderEnd = m.now.Add(time.Duration(m.rng.Int64N(int64(5 * time.Second))))
}

func (m *engineModel) advance() {
	if m.engine.Changing && m.now >= m.orderEnd {
		m.engine.Changing = false
		if m.rng.IntN(6) > 0 {
			m.applyOrder()
		}
	}
	m.inFlight = slices.DeleteFunc(m.inFlight, func(f delayedOrder) bool {
		if f.arrival <= m.now {
			m.deliver(f.order)
		}
		return f.arrival <= m.now
	})
	switch {
	case m.rng.IntN(200) == 0:
		m.crashes++
		m.engine = driver.EngineState{Incarnation: fmt.Sprint(m.crashes), Role: driver.RoleMixed}
	case m.engine.Running > 0 && m.rng.IntN(20) == 0:
		m.engine.Running--
	case m.reconciler.Phase == wire.Phase_PHASE_OPEN && m.rng.IntN(4) == 0:
		m.engine.Running++
	}
}

func (m *engineModel) applyOrder() {
	switch m.executing.Kind {
	case driver.OrderRole:
		m.engine.Role = m.executing.Role
	case driver.OrderLoad:
		m.engine.Loaded = append(slices.Clone(m.engine.Loaded), m.executing.Load)
	default:
		m.engine.Loaded = slices.DeleteFunc(slices.Clone(m.engine.Loaded), func(l driver.Loaded) bool { return l == m.executing.Load })
	}
}

// step reads the engine, asks for the next step and sends its order over a simulated network that
// delays, loses or refuses orders.
func (m *engineModel) step(desired *DesiredState, t *Timeouts) {
	if m.reconciler.Phase != m.ackPhase {
		m.ackPhase, m.ackedSince = m.reconciler.Phase, m.now
	}
	m.now = m.now.Add(250 * time.Millisecond)
	m.advance()
	in := &Input{
		Now: m.now, Engine: "e", Token: 5, Desired: *desired, State: m.engine, ReadStart: m.now,
		AckedSince: m.ackedSince, ChangeAllowed: true, LoadAllowed: true,
	}
	s := m.reconciler.Next(in, t)
	if s.Order == nil {
		return
	}
	undelivered := false
	switch m.rng.IntN(4) {
	case 0:
		m.inFlight = append(m.inFlight, delayedOrder{m.now.Add(time.Duration(m.rng.Int64N(int64(t.MaxFlight)))), *s.Order})
	case 1: // lost in the network; the sender gets no answer
	case 2:
		undelivered = true
	default:
		m.deliver(*s.Order)
	}
	m.reconciler.RecordSendResult(m.now, undelivered, t)
}

func runModel(seed uint64, t *Timeouts) (*engineModel, bool) {
	m := &engineModel{rng: rand.New(rand.NewPCG(seed, 9)), engine: driver.EngineState{Role: driver.RoleMixed}}
	desired := &DesiredState{}
	for round := range 20 {
		desired.Role = []driver.Role{driver.RolePrefill, driver.RoleDecode}[round%2]
		desired.Loaded = []driver.Loaded{{Model: "m", Version: fmt.Sprint(round / 3)}}
		for range 200 + m.rng.IntN(400) {
			m.step(desired, t)
		}
	}
	for range 4000 {
		m.step(desired, t)
		if !m.engine.Changing && len(Diff(desired, &m.engine, false)) == 0 {
			return m, true
		}
	}
	return m, false
}

// Orders arrive late or never, answers are lost, loads fail, the engine crashes at any time and
// streams keep running. The engine must never have two orders at once or abort a stream because of
// an order, and must reach the desired state in the end.
func TestOrdersAreSerialAndAbortNoStream(t *testing.T) {
	times := DefaultTimeouts()
	for seed := range uint64(100) {
		m, converged := runModel(seed, &times)
		assert.Equal(t, len(m.violations), 0, "seed %d: %v", seed, m.violations)
		assert.Assert(t, converged, "seed %d: desired state not reached", seed)
	}
}

func TestViolationsWithOrderGuardsDisabled(t *testing.T) {
	for name, disabled := range map[string]disabledGuards{"pending": {pending: true}, "drained": {drained: true}} {
		times := DefaultTimeouts()
		times.disabled = disabled
		failedSeeds := 0
		for seed := range uint64(100) {
			if m, _ := runModel(seed, &times); len(m.violations) > 0 {
				failedSeeds++
			}
		}
		assert.Assert(t, failedSeeds > 0, "no violation with guard %q disabled", name)
		t.Logf("guard %s disabled: violations in %d of 100 seeds", name, failedSeeds)
	}
}
