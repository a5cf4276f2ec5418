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
	w := WantOf(p, &sheet.Engine{}, driver.RoleDecode)
	s := &driver.EngineState{Role: driver.RolePrefill, Loaded: []driver.Loaded{{Model: "m", Version: "1"}}}
	kinds := func(unloadFirst bool) (out []driver.OrderKind) {
		for _, o := range Diff(&w, s, unloadFirst) {
			out = append(out, o.Kind)
		}
		return out
	}
	assert.DeepEqual(t, kinds(false), []driver.OrderKind{driver.OrderLoad, driver.OrderLoad, driver.OrderUnload, driver.OrderRole})
	assert.Equal(t, kinds(true)[0], driver.OrderUnload)
}

func TestAwayLimitLetsOneGo(t *testing.T) {
	assert.Equal(t, AwayLimit(3, 0.1), 1)
	assert.Equal(t, AwayLimit(12, 0.25), 3)
}

// Story: an availability zone returns with twelve empty engines. Loaded all at
// once each gets a twelfth of the weight store's rate and none serves before
// the last; in turn the first serves after a twelfth of that time.
func TestLoadsTakeTurns(t *testing.T) {
	var p LoadPacer
	now, begun := clock.Time(0), 0
	for ; now < clock.Time(60*time.Second); now = now.Add(250 * time.Millisecond) {
		if p.Free(now) {
			p.Took(now, 10<<30, 1<<30)
			begun++
		}
	}
	assert.Assert(t, begun >= 5 && begun <= 6, "%d loads of 10 s begun in a minute", begun)
}

// model is one engine, its entries and what is on the way to it.
type model struct {
	rnd      *rand.Rand
	now      clock.Time
	engine   driver.EngineState
	done     clock.Time // end of the order under way
	doing    driver.Order
	flying   []flight
	mem      Memory
	acked    clock.Time
	ackPhase wire.Phase
	crashes  int
	bad      []string
}

type flight struct {
	at    clock.Time
	order driver.Order
}

func (m *model) arrive(o driver.Order) {
	if m.engine.Changing {
		m.bad = append(m.bad, fmt.Sprintf("%s while %s", o.ID, m.doing.ID))
	}
	if m.engine.Running > 0 {
		m.bad = append(m.bad, "streams cut")
	}
	m.doing, m.engine.LastOrder, m.engine.Changing = o, o.ID, true
	m.done = m.now.Add(time.Duration(m.rnd.Int64N(int64(5 * time.Second))))
}

func (m *model) work() {
	if m.engine.Changing && m.now >= m.done {
		m.engine.Changing = false
		if m.rnd.IntN(6) > 0 {
			m.carryOut()
		}
	}
	m.flying = slices.DeleteFunc(m.flying, func(f flight) bool {
		if f.at <= m.now {
			m.arrive(f.order)
		}
		return f.at <= m.now
	})
	switch {
	case m.rnd.IntN(200) == 0:
		m.crashes++
		m.engine = driver.EngineState{Incarnation: fmt.Sprint(m.crashes), Role: driver.RoleMixed}
	case m.engine.Running > 0 && m.rnd.IntN(20) == 0:
		m.engine.Running--
	case m.mem.Phase == wire.Phase_PHASE_OPEN && m.rnd.IntN(4) == 0:
		m.engine.Running++
	}
}

func (m *model) carryOut() {
	switch m.doing.Kind {
	case driver.OrderRole:
		m.engine.Role = m.doing.Role
	case driver.OrderLoad:
		m.engine.Loaded = append(slices.Clone(m.engine.Loaded), m.doing.Load)
	default:
		m.engine.Loaded = slices.DeleteFunc(slices.Clone(m.engine.Loaded), func(l driver.Loaded) bool { return l == m.doing.Load })
	}
}

// step reads the engine, asks for the next step and sends its order with the
// faults of a network.
func (m *model) step(want *Want, t *Times) {
	if m.mem.Phase != m.ackPhase {
		m.ackPhase, m.acked = m.mem.Phase, m.now
	}
	m.now = m.now.Add(250 * time.Millisecond)
	m.work()
	in := &Input{
		Now: m.now, Engine: "e", Token: 5, Want: *want, State: m.engine, ReadFrom: m.now,
		AckedFrom: m.acked, MayLeave: true, MayLoad: true,
	}
	s := m.mem.Next(in, t)
	if s.Order == nil {
		return
	}
	certain := false
	switch m.rnd.IntN(4) {
	case 0:
		m.flying = append(m.flying, flight{m.now.Add(time.Duration(m.rnd.Int64N(int64(t.MaxFlight)))), *s.Order})
	case 1: // lost on the way, its sender doesn't know
	case 2:
		certain = true
	default:
		m.arrive(*s.Order)
	}
	m.mem.Sent(m.now, certain, t)
}

func runModel(seed uint64, t *Times) (*model, bool) {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 9)), engine: driver.EngineState{Role: driver.RoleMixed}}
	want := &Want{}
	for round := range 20 {
		want.Role = []driver.Role{driver.RolePrefill, driver.RoleDecode}[round%2]
		want.Load = []driver.Loaded{{Model: "m", Version: fmt.Sprint(round / 3)}}
		for range 200 + m.rnd.IntN(400) {
			m.step(want, t)
		}
	}
	for range 4000 {
		m.step(want, t)
		if !m.engine.Changing && len(Diff(want, &m.engine, false)) == 0 {
			return m, true
		}
	}
	return m, false
}

// Story: orders arrive late or never, answers are lost, loads fail, the engine
// crashes at any moment and streams keep running. The engine must never hold
// two orders nor lose a stream to one, and in the end be as wanted.
func TestOrdersAreSerialAndCutNothing(t *testing.T) {
	times := DefaultTimes()
	for seed := range uint64(100) {
		m, whole := runModel(seed, &times)
		assert.Equal(t, len(m.bad), 0, "seed %d: %v", seed, m.bad)
		assert.Assert(t, whole, "seed %d: not as wanted", seed)
	}
}

func TestGuardsOfOrdersAreNeeded(t *testing.T) {
	for name, off := range map[string]guardsOff{"pending": {pending: true}, "drained": {drained: true}} {
		times := DefaultTimes()
		times.off = off
		broken := 0
		for seed := range uint64(100) {
			if m, _ := runModel(seed, &times); len(m.bad) > 0 {
				broken++
			}
		}
		assert.Assert(t, broken > 0, "nothing breaks without the guard %q", name)
		t.Logf("without %s: %d of 100 seeds break", name, broken)
	}
}
