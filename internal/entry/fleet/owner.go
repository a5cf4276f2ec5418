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
	dirty      bool            // the index has to be published too
	acks       []chan struct{} // closed once the present events show in the table
}

// endpoint is one engine or endpoint of a plain service.
type endpoint struct {
	target  driver.Target
	engine  *Engine // one of engine and service is set
	service driver.Service
	stop    context.CancelFunc
	failed  int // polls in a row
	slots   int // requests that it runs at once, as far as was seen
	// lastFull is the batch of the last report, 0 if none waited behind it.
	lastFull int
	state    *driver.EngineState
	stateAt  clock.Time    // when it was asked for
	kick     chan struct{} // wakes the poller
	report   *driver.LoadReport
}

func newOwner(ctx context.Context, f *Fleet) *owner {
	return &owner{ctx: ctx, f: f, endpoints: map[string]*endpoint{}, directives: map[string]*directive{}}
}

// drainEvents applies what else is waiting, so that a round of polls makes one
// table.
func (o *owner) drainEvents() {
	for {
		select {
		case e := <-o.f.events:
			e.apply(o)
		default:
			return
		}
	}
}

// acknowledge tells those who wait that their directive is in the table.
func (o *owner) acknowledge() {
	for _, ch := range o.acks {
		close(ch)
	}
	o.acks = nil
}

// entriesChanged tells how many entries share the endpoints. What each may have
// outstanding follows from it, so the table is published anew.
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
	o.sheet, o.version, o.dirty = e.sheet, e.version, true
	wanted := map[string]driver.Target{}
	for i := range e.sheet.Engines {
		one := &e.sheet.Engines[i]
		wanted[one.Name] = one.Target()
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

// close ends the polls of an endpoint that the sheet no longer names. Its
// driver stays usable for the streams that still run on it.
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
		for _, one := range o.sheet.Services[i].Endpoints {
			if o.endpoints[one.Name] == nil {
				o.openService(one.Name, wanted[one.Name])
			}
		}
	}
}

func (o *owner) openEngine(name string, t driver.Target) {
	open, err := driver.Engines.Get(t.Driver)
	if err == nil {
		var d driver.Engine
		if d, err = open(t); err == nil {
			e := &Engine{Engine: d, Name: name, kick: make(chan struct{}, 1)}
			moved := make(chan struct{})
			e.moved.Store(&moved)
			e.setPhase(o.directiveOf(name).GetPhase())
			o.start(name, &endpoint{target: t, engine: e, kick: e.kick, slots: defaultSlots})
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
			o.start(name, &endpoint{target: t, service: d, slots: serviceSlots})
			return
		}
	}
	log.WithError(err).WithField("endpoint", name).Error("driver can't be opened")
}

func (o *owner) start(name string, ep *endpoint) {
	ctx, cancel := context.WithCancel(o.ctx)
	ep.stop = cancel
	o.endpoints[name] = ep
	o.f.wg.Go(func() { o.f.poll(ctx, name, ep) })
}

// directed carries a directive of the control process that holds the engine.
type directed struct {
	d    *wire.Directive
	done chan struct{}
}

// apply ignores directives of a holder that has lost the engine to another, or
// that come late: they would put work on an engine that is being changed, or
// keep it away for ever.
func (e directed) apply(o *owner) {
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
	case e.d.GetFence() == old.d.GetFence() && e.d.GetSeq() == old.d.GetSeq() && !old.lapsed:
		old.heard = o.f.clk.Now()
		return
	}
	now := o.f.clk.Now()
	o.directives[name] = &directive{d: e.d, came: now, heard: now}
	if ep := o.endpoints[name]; ep != nil && ep.engine != nil {
		ep.engine.setPhase(e.d.GetPhase())
		ep.engine.Refresh()
	}
}

// directive is the newest one of an engine.
type directive struct {
	d      *wire.Directive
	came   clock.Time // when it was first heard
	heard  clock.Time
	lapsed bool
}

// lapseDirectives opens engines whose holder has said nothing for long.
func (o *owner) lapseDirectives() {
	for name, d := range o.directives {
		if d.lapsed || d.d.GetPhase() == wire.Phase_PHASE_OPEN || o.f.clk.Now().Sub(d.heard) < directiveKept {
			continue
		}
		d.lapsed = true
		log.WithField("engine", name).WithField("phase", d.d.GetPhase()).Warn("directive lapsed, its sender is silent")
		if ep := o.endpoints[name]; ep != nil && ep.engine != nil {
			ep.engine.setPhase(wire.Phase_PHASE_OPEN)
		}
		o.publish()
	}
}

// directiveOf returns the directive in force, nil if there is none.
func (o *owner) directiveOf(name string) *wire.Directive {
	if d := o.directives[name]; d != nil && !d.lapsed {
		return d.d
	}
	return nil
}

// newState returns the engine's own state unless a directive came after it was
// asked for: an engine that has just changed would be taken for what it was.
func (o *owner) newState(name string, ep *endpoint) *driver.EngineState {
	if d := o.directives[name]; d != nil && !d.lapsed && d.came > ep.stateAt {
		return nil
	}
	return ep.state
}
