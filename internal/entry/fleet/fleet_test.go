package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// newTestOwner returns an owner of one engine that no goroutine polls.
func newTestOwner(clk clock.Clock) (*owner, *Engine) {
	log.SetHandler(discard.New())
	f := New(route.Config{}, clk, 1)
	o := newOwner(context.Background(), f)
	o.sheet = &sheet.Sheet{
		Engines: []sheet.Engine{{Name: "e"}},
		Pools:   []sheet.Pool{{Name: "p", Model: "m", Version: "1", Engines: []string{"e"}}},
	}
	e := &Engine{Name: "e", kick: make(chan struct{}, 1)}
	moved := make(chan struct{})
	e.moved.Store(&moved)
	o.endpoints["e"] = &endpoint{engine: e, stop: func() {}, slots: defaultSlots}
	o.publish()
	return o, e
}

func (o *owner) direct(fence, seq uint64, p wire.Phase, role driver.Role) {
	directed{d: &wire.Directive{Engine: "e", Fence: fence, Seq: seq, Phase: p, Role: string(role)}}.apply(o)
	o.publish()
}

func (o *owner) routed() *route.Endpoint { return o.f.router.Table().Endpoints()[0] }

// The control process that holds an engine closes it and dies, and no other can
// take over because the log is down. The engine must not be lost for ever; but
// while its holder goes on repeating the directive, it stays closed.
func TestDirectiveOfASilentHolderLapses(t *testing.T) {
	clk := &clock.Manual{T: 1}
	o, e := newTestOwner(clk)
	o.direct(1, 1, wire.Phase_PHASE_MOVE, "")
	assert.Assert(t, isClosed(e.MoveRequested()))
	for range 5 {
		clk.T = clk.T.Add(directiveKept / 2)
		o.direct(1, 1, wire.Phase_PHASE_MOVE, "")
		o.lapseDirectives()
		assert.Equal(t, o.routed().State, route.Draining)
	}
	clk.T = clk.T.Add(directiveKept)
	o.lapseDirectives()
	assert.Equal(t, o.routed().State, route.Open)
	_, ok := e.Acquire()
	assert.Assert(t, ok)
	assert.Assert(t, !isClosed(e.MoveRequested()))
	o.direct(1, 1, wire.Phase_PHASE_MOVE, "") // the holder is back
	assert.Equal(t, o.routed().State, route.Draining)
}

// An engine has changed its role and is open again, but its state was last
// asked for before the change. Routed by the old state, every request would be
// refused by it.
func TestNewDirectiveOutdatesOldState(t *testing.T) {
	clk := &clock.Manual{T: 1}
	o, _ := newTestOwner(clk)
	ep := o.endpoints["e"]
	ask := func(role driver.Role) {
		polled{name: "e", ep: ep, asked: clk.Now(), state: &driver.EngineState{Role: role}}.apply(o)
		o.publish()
	}
	ask(driver.RoleMixed)
	assert.Equal(t, o.routed().Role, route.Mixed)
	clk.T = clk.T.Add(time.Second)
	o.direct(1, 1, wire.Phase_PHASE_OPEN, driver.RolePrefill)
	assert.Equal(t, o.routed().Role, route.Prefill)
	clk.T = clk.T.Add(time.Second)
	ask(driver.RoleDecode) // the engine's own word, asked for after the directive
	assert.Equal(t, o.routed().Role, route.Decode)
}
