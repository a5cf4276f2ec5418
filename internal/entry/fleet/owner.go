package fleet

import (
	"context"
	"reflect"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// owner is the state of the goroutine that owns the fleet.
type owner struct {
	ctx        context.Context
	f          *Fleet
	sheet      *sheet.Sheet
	version    uint64
	endpoints  map[string]*endpoint
	directives map[string]*directive
	published  []route.Endpoint
	indexDirty bool            // the index has changed and has to be published
	acks       []chan struct{} // closed once the events applied so far are in the published table
}

// endpoint is one engine or endpoint of a plain service.
type endpoint struct {
	target      driver.Target
	engine      *Engine // one of engine and service is set
	service     driver.Service
	stop        context.CancelFunc
	failedPolls int // consecutive failed polls
	slots       int // estimated number of requests that it runs at once
	// lastFullBatch is the batch size in the last report, 0 if no request was queued then.
	lastFullBatch int
	state         *driver.EngineState
	stateAt       clock.Time    // time of the request for state
	wake          chan struct{} // wakes the poller
	report        *driver.LoadReport
}

func newOwner(ctx context.Context, f *Fleet) *owner {
	return &owner{ctx: ctx, f: f, endpoints: map[string]*endpoint{}, directives: map[string]*directive{}}
}

// applyPendingEvents applies all queued events, so that a round of polls publishes one table.
func (o *owner) applyPendingEvents() {
	for {
		select {
		case e := <-o.f.events:
			e.apply(o)
		default:
			return
		}
	}
}

// acknowledge wakes the callers of ApplyDirective, whose directives are now in the table.
func (o *owner) acknowledge() {
	for _, ch := range o.acks {
		close(ch)
	}
	o.acks = nil
}

// entriesChanged sets the number of entries that share the endpoints. The limit of requests that
// each entry may have outstanding depends on it, so the table is published again.
type entriesChanged struct{ n int }

func (e entriesChanged) apply(o *owner) {
	o.f.router.SetEntries(e.n)
	o.published = nil
}

type sheetChanged struct {
	sheet   *sheet.Sheet
	version uint64
}

func (e sheetChanged) apply(o *owner) {
	if e.version < o.version {
		return
	}
	o.sheet, o.version, o.indexDirty = e.sheet, e.version, true
	wanted := map[string]driver.Target{}
	for i := range e.sheet.Engines {
		engine := &e.sheet.Engines[i]
		wanted[engine.Name] = engine.Target()
	}
	for i := range e.sheet.Services {
		s := &e.sheet.Services[i]
		for j := range s.Endpoints {
			wanted[s.Endpoints[j].Name] = driver.Target{Driver: s.Driver, Address: s.Endpoints[j].Address}
		}
	}
	for name, ep := range o.endpoints {
		if t, ok := wanted[name]; !ok || !reflect.DeepEqual(t, ep.target) {
			o.close(name, ep)
		}
	}
	o.openAll(wanted)
}

// close stops polling an endpoint that the sheet no longer lists. Its driver stays usable for
// the streams that still run on it.
func (o *owner) close(name string, ep *endpoint) {
	ep.stop()
	delete(o.endpoints, name)
}

func (o *owner) closeAll() {
	for name, ep := range o.endpoints {
		o.close(name, ep)
		if ep.engine != nil {
			_ = ep.engine.Close()
		} else {
			_ = ep.service.Close()
		}
	}
}

func (o *owner) openAll(wanted map[string]driver.Target) {
	for i := range o.sheet.Engines {
		name := o.sheet.Engines[i].Name
		if o.endpoints[name] == nil {
			o.openEngine(name, wanted[name])
		}
	}
	for i := range o.sheet.Services {
		for _, s := range o.sheet.Services[i].Endpoints {
			if o.endpoints[s.Name] == nil {
				o.openService(s.Name, wanted[s.Name])
			}
		}
	}
}

func (o *owner) openEngine(name string, t driver.Target) {
	open, err := driver.Engines.Get(t.Driver)
	if err == nil {
		var d driver.Engine
		if d, err = open(t); err == nil {
			e := &Engine{Engine: d, Name: name, wake: make(chan struct{}, 1)}
			ch := make(chan struct{})
			e.moveRequest.Store(&ch)
			e.setPhase(o.directiveOf(name).GetPhase())
			o.startPolling(name, &endpoint{target: t, engine: e, wake: e.wake, slots: defaultSlots})
			return
		}
	}
	log.WithError(err).WithField("endpoint", name).Error("driver can't be opened")
}

func (o *owner) openService(name string, t driver.Target) {
	open, err := driver.Services.Get(t.Driver)
	if err == nil {
		var d driver.Service
		if d, err = open(t); err == nil {
			o.startPolling(name, &endpoint{target: t, service: d, slots: serviceSlots})
			return
		}
	}
	log.WithError(err).WithField("endpoint", name).Error("driver can't be opened")
}

func (o *owner) startPolling(name string, ep *endpoint) {
	ctx, cancel := context.WithCancel(o.ctx)
	ep.stop = cancel
	o.endpoints[name] = ep
	o.f.wg.Go(func() { o.f.poll(ctx, name, ep) })
}

// directiveReceived is a directive of the control process that holds the engine's lease.
type directiveReceived struct {
	d    *wire.Directive
	done chan struct{}
}

// apply ignores directives of a process that has lost the lease to another one, and directives
// that arrive out of order. They would send work to an engine that is being changed, or keep it
// closed for ever.
func (e directiveReceived) apply(o *owner) {
	if e.done != nil {
		o.acks = append(o.acks, e.done)
	}
	name := e.d.GetEngine()
	old := o.directives[name]
	switch {
	case old == nil:
	case e.d.GetFence() < old.d.GetFence():
		return
	case e.d.GetFence() == old.d.GetFence() && e.d.GetSeq() < old.d.GetSeq():
		return
	case e.d.GetFence() == old.d.GetFence() && e.d.GetSeq() == old.d.GetSeq() && !old.expired:
		old.lastReceived = o.f.clk.Now()
		return
	}
	now := o.f.clk.Now()
	o.directives[name] = &directive{d: e.d, firstReceived: now, lastReceived: now}
	if ep := o.endpoints[name]; ep != nil && ep.engine != nil {
		ep.engine.setPhase(e.d.GetPhase())
		ep.engine.Refresh()
	}
}

// directive is the newest directive for an engine.
type directive struct {
	d             *wire.Directive
	firstReceived clock.Time // states requested earlier are outdated
	lastReceived  clock.Time
	expired       bool
}

// expireDirectives reopens engines whose directive was not repeated for directiveTimeout.
func (o *owner) expireDirectives() {
	for name, d := range o.directives {
		if d.expired || d.d.GetPhase() == wire.Phase_PHASE_OPEN || o.f.clk.Now().Sub(d.lastReceived) < directiveTimeout {
			continue
		}
		d.expired = true
		log.WithField("engine", name).WithField("phase", d.d.GetPhase()).Warn("directive expired without renewal")
		if ep := o.endpoints[name]; ep != nil && ep.engine != nil {
			ep.engine.setPhase(wire.Phase_PHASE_OPEN)
		}
		o.publish()
	}
}

// directiveOf returns the directive in force, nil if there is none.
func (o *owner) directiveOf(name string) *wire.Directive {
	if d := o.directives[name]; d != nil && !d.expired {
		return d.d
	}
	return nil
}

// freshState returns the engine's reported state, or nil if a directive arrived after the state
// was requested: an engine that has just changed would still be routed by its old state.
func (o *owner) freshState(name string, ep *endpoint) *driver.EngineState {
	if d := o.directives[name]; d != nil && !d.expired && d.firstReceived > ep.stateAt {
		return nil
	}
	return ep.state
}
