package control

import (
	"context"
	"reflect"
	"slices"
	"sync/atomic"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/reconcile"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

// leaseEnd is the authority over one engine as the goroutine of an order sees
// it.
type leaseEnd struct {
	token uint64 // 0 if not held
	until clock.Time
}

// engine is one engine of the sheet.
type engine struct {
	name string
	pool string
	spec sheet.Engine
	conn driver.Engine // opened once it is held

	lease      atomic.Pointer[leaseEnd]
	token      uint64
	taken      clock.Time // when the token was learnt
	orderFrom  clock.Time
	claimable  clock.Time // since when it could be claimed, 0 if it can't
	releasing  uint64     // token of a holding that was given up
	releaseSeq *uint64    // number of the release, nil until its append ended

	memory   reconcile.Memory
	step     reconcile.Step
	state    driver.EngineState
	readFrom clock.Time // begin of the newest good read, 0 after a bad one
	answered clock.Time // end of the newest good read
	report   *driver.LoadReport
	reportAt clock.Time
	reserved driver.Loaded // the load that was counted at the weight store
	slots    int           // streams carried at once, 0 until it was seen full
	reading  bool
	ordering bool
	known    bool // the state was read under the present token
	// returned marks an engine that came back to the sheet while it was held:
	// an order from before it left may be on its way.
	returned bool

	announced announcement
}

// takeover forgets everything that was known under another token.
func (e *engine) takeover(now clock.Time, token uint64, orderFrom clock.Time) {
	e.taken, e.token, e.orderFrom = now, token, orderFrom
	e.memory, e.step = reconcile.Memory{}, reconcile.Step{}
	e.readFrom, e.known, e.reserved = 0, false, driver.Loaded{}
	e.announced = announcement{}
}

// takeSheet follows the sheet in force.
func (s *state) takeSheet() {
	v := s.opt.Replica.View()
	if !v.Ready || v.Version == s.sheet {
		return
	}
	s.sheet = v.Version
	named := map[string]bool{}
	specs := map[string]*sheet.Engine{}
	for i := range v.Sheet.Engines {
		specs[v.Sheet.Engines[i].Name] = &v.Sheet.Engines[i]
	}
	old := s.pools
	s.pools = map[string]*pool{}
	for i := range v.Sheet.Pools {
		spec := &v.Sheet.Pools[i]
		s.pools[spec.Name] = newPool(spec, old[spec.Name])
		for _, name := range spec.Engines {
			named[name] = true
			s.takeEngine(spec.Name, specs[name])
		}
	}
	for name, e := range s.engines {
		if !named[name] {
			e.close()
			delete(s.engines, name)
			s.departed[name] = s.now()
		}
	}
	s.takeAuthority()
}

func (s *state) takeEngine(pool string, spec *sheet.Engine) {
	e := s.engines[spec.Name]
	if e != nil && !reflect.DeepEqual(e.spec.Target(), spec.Target()) {
		e.close()
		e.conn, e.known, e.readFrom = nil, false, 0
	}
	if e == nil {
		_, returned := s.departed[spec.Name]
		delete(s.departed, spec.Name)
		e = &engine{name: spec.Name, returned: returned}
		e.lease.Store(&leaseEnd{})
		s.engines[spec.Name] = e
	}
	e.pool, e.spec = pool, *spec
}

func (e *engine) close() {
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

func (s *state) closeEngines() {
	for _, e := range s.engines {
		e.close()
	}
}

// held returns the engines that this process has the authority over, by name.
func (s *state) held() []*engine {
	var out []*engine
	for _, name := range s.auth.HeldBy(s.opt.Incarnation) {
		if e := s.engines[name]; e != nil && e.token != 0 {
			out = append(out, e)
		}
	}
	return out
}

// readEngines asks the engines that this process holds for their state: each
// tick while they change, less often while they rest.
func (s *state) readEngines() {
	for i, e := range s.held() {
		resting := e.known && e.readFrom != 0 && e.memory.Idle() && !e.state.Changing
		if e.reading || resting && (s.ticks+i)%restTicks != 0 {
			continue
		}
		if e.conn == nil && !s.open(e) {
			continue
		}
		e.reading = true
		conn, from, token := e.conn, s.now(), e.token
		wantReport := s.pools[e.pool].planned()
		s.c.wg.Go(func() { s.c.read(s.ctx, e, conn, token, from, wantReport) })
	}
}

func (s *state) open(e *engine) bool {
	conn, err := s.opt.OpenEngine(e.name, e.spec.Target())
	if err != nil {
		log.WithError(err).WithField("engine", e.name).Error("driver can't be opened")
		return false
	}
	e.conn = conn
	return true
}

// read asks one engine for its state and, for the planner, its load.
func (c *Control) read(ctx context.Context, e *engine, conn driver.Engine, token uint64, from clock.Time, report bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := engineRead{e: e, conn: conn, token: token, from: from}
	r.state, r.err = conn.State(call)
	if report && r.err == nil {
		if l, err := conn.Report(call); err == nil {
			r.report = &l
		}
	}
	_ = c.postWait(ctx, r)
}

// engineRead ends a read of an engine.
type engineRead struct {
	e      *engine
	conn   driver.Engine
	token  uint64
	from   clock.Time // when the read was begun
	state  driver.EngineState
	report *driver.LoadReport
	err    error
}

func (r engineRead) apply(s *state) {
	e := r.e
	e.reading = false
	if r.conn != e.conn || r.token != e.token {
		return
	}
	if r.err != nil {
		e.readFrom = 0
		return
	}
	if e.known && e.state.Incarnation != r.state.Incarnation {
		log.WithField("engine", e.name).WithField("was", e.state.Incarnation).
			WithField("is", r.state.Incarnation).Warn("engine restarted")
	}
	e.state, e.readFrom, e.answered, e.known = r.state, r.from, s.now(), true
	e.noteSlots()
	if r.report != nil {
		e.report, e.reportAt = r.report, r.from
	}
}

// reconcileAll takes the next step of every engine held. Those that serve
// least go first, so that the weight store's rate brings back what is needed
// most.
func (s *state) reconcileAll() {
	held := s.held()
	counted := map[string]bool{}
	for _, e := range held {
		if !counted[e.pool] {
			counted[e.pool] = true
			s.count(s.pools[e.pool])
		}
	}
	slices.SortStableFunc(held, func(a, b *engine) int {
		return s.pools[a.pool].count.serving - s.pools[b.pool].count.serving
	})
	for _, e := range held {
		if e.ordering || e.releasing == e.token || !e.known {
			continue
		}
		s.reconcile(e)
	}
}

func (s *state) reconcile(e *engine) {
	p := s.pools[e.pool]
	now := s.now()
	want := reconcile.WantOf(p.spec, &e.spec, p.role(e))
	empty := len(e.state.Loaded) == 0 && e.state.Running == 0
	in := &reconcile.Input{
		Now: now, Engine: e.name, Token: e.token, Want: want, State: e.state, ReadFrom: e.readFrom,
		OrderFrom: e.orderFrom, AckedFrom: e.announced.acked(s, e),
		MayLeave: !s.c.leaving.Load() && (empty || p.mayLeave()),
		MayLoad:  true,
	}
	load, loads := firstLoad(&want, &e.state)
	if loads {
		in.MayLoad = s.mayLoad(now, load)
	}
	before := e.step
	e.step = e.memory.Next(in, &s.opt.ChangeTimeouts)
	if e.step.Phase != before.Phase {
		s.count(p)
	}
	if loads && before.Phase == wire.Phase_PHASE_OPEN && e.step.Phase != wire.Phase_PHASE_OPEN {
		s.reserve(e, load)
	}
	if e.step.Reason != before.Reason || e.step.Phase != before.Phase {
		log.WithField("engine", e.name).WithField("phase", e.step.Phase.String()).WithField("why", e.step.Reason).Info("step")
	}
	if e.step.Order != nil {
		s.order(e, *e.step.Order)
	}
}
