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
	e := &Engine{Name: "e", wake: make(chan struct{}, 1)}
	ch := make(chan struct{})
	e.moveRequest.Store(&ch)
	o.endpoints["e"] = &endpoint{engine: e, stop: func() {}, slots: defaultSlots}
	o.publish()
	return o, e
}

func (o *owner) receiveDirective(fence, seq uint64, p wire.Phase, role driver.Role) {
	directiveReceived{d: &wire.Directive{Engine: "e", Fence: fence, Seq: seq, Phase: p, Role: string(role)}}.apply(o)
	o.publish()
}

func (o *owner) publishedEndpoint() *route.Endpoint { return o.f.router.Table().Endpoints()[0] }

// Guards against an engine that stays closed for ever: the control process that holds its lease
// closes it and fails, and no other can take over because the log is down. While the holder
// repeats the directive, the engine stays closed.
func TestDirectiveExpiresWithoutRenewal(t *testing.T) {
	clk := &clock.Manual{T: 1}
	o, e := newTestOwner(clk)
	o.receiveDirective(1, 1, wire.Phase_PHASE_MOVE, "")
	assert.Assert(t, isClosed(e.MoveRequested()))
	for range 5 {
		clk.T = clk.T.Add(directiveTimeout / 2)
		o.receiveDirective(1, 1, wire.Phase_PHASE_MOVE, "")
		o.expireDirectives()
		assert.Equal(t, o.publishedEndpoint().State, route.Draining)
	}
	clk.T = clk.T.Add(directiveTimeout)
	o.expireDirectives()
	assert.Equal(t, o.publishedEndpoint().State, route.Open)
	_, ok := e.Acquire()
	assert.Assert(t, ok)
	assert.Assert(t, !isClosed(e.MoveRequested()))
	o.receiveDirective(1, 1, wire.Phase_PHASE_MOVE, "") // the holder repeats the directive again
	assert.Equal(t, o.publishedEndpoint().State, route.Draining)
}

// Guards against routing by an old state: an engine has changed its role and is open again, but
// its state was last requested before the change. It would refuse every request that is routed by
// the old role.
func TestNewDirectiveOutdatesOldState(t *testing.T) {
	clk := &clock.Manual{T: 1}
	o, _ := newTestOwner(clk)
	ep := o.endpoints["e"]
	reportRole := func(role driver.Role) {
		pollResult{name: "e", ep: ep, requestedAt: clk.Now(), state: &driver.EngineState{Role: role}}.apply(o)
		o.publish()
	}
	reportRole(driver.RoleMixed)
	assert.Equal(t, o.publishedEndpoint().Role, route.Mixed)
	clk.T = clk.T.Add(time.Second)
	o.receiveDirective(1, 1, wire.Phase_PHASE_OPEN, driver.RolePrefill)
	assert.Equal(t, o.publishedEndpoint().Role, route.Prefill)
	clk.T = clk.T.Add(time.Second)
	reportRole(driver.RoleDecode) // the engine's report, requested after the directive
	assert.Equal(t, o.publishedEndpoint().Role, route.Decode)
}
