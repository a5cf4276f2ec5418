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

// leaseState is the lease of one engine as the goroutines that send orders see it.
type leaseState struct {
	token uint64 // 0 if not held
	until clock.Time
}

// engine is the state of one engine of the sheet.
type engine struct {
	name string
	pool string
	spec sheet.Engine
	conn driver.Engine // opened when the engine is first read

	lease          atomic.Pointer[leaseState]
	token          uint64
	tokenSince     clock.Time // when the token was first seen
	orderNotBefore clock.Time
	claimableSince clock.Time // since when it could be claimed, 0 if it can't
	releasingToken uint64     // token of the lease that is being released
	releaseSeq     *uint64    // sequence number of the release, nil until its append has ended

	reconciler    reconcile.Reconciler
	lastStep      reconcile.Step
	state         driver.EngineState
	readStart     clock.Time // start of the newest successful read, 0 after a failed one
	readEnd       clock.Time // end of the newest successful read
	report        *driver.LoadReport
	reportAt      clock.Time
	reservedLoad  driver.Loaded // the load that is reserved at the weight store
	slots         int           // concurrent streams, 0 until the engine has been seen full
	readInFlight  bool
	orderInFlight bool
	stateRead     bool // the state was read under the current token
	// readded marks an engine that was added to the sheet again while it was still held: an order
	// from before its removal may still arrive.
	readded bool

	announcement announcement
}

// resetForToken discards what was recorded under the previous token.
func (e *engine) resetForToken(now clock.Time, token uint64, orderNotBefore clock.Time) {
	e.tokenSince, e.token, e.orderNotBefore = now, token, orderNotBefore
	e.reconciler, e.lastStep = reconcile.Reconciler{}, reconcile.Step{}
	e.readStart, e.stateRead, e.reservedLoad = 0, false, driver.Loaded{}
	e.announcement = announcement{}
}

// applySheet updates pools and engines from the newest sheet.
func (s *state) applySheet() {
	v := s.opt.Replica.View()
	if !v.Ready || v.Version == s.sheetVersion {
		return
	}
	s.sheetVersion = v.Version
	listed := map[string]bool{}
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
			listed[name] = true
			s.applyEngine(spec.Name, specs[name])
		}
	}
	for name, e := range s.engines {
		if !listed[name] {
			e.close()
			delete(s.engines, name)
			s.removedAt[name] = s.now()
		}
	}
	s.updateAllLeases()
}

func (s *state) applyEngine(pool string, spec *sheet.Engine) {
	e := s.engines[spec.Name]
	if e != nil && !reflect.DeepEqual(e.spec.Target(), spec.Target()) {
		e.close()
		e.conn, e.stateRead, e.readStart = nil, false, 0
	}
	if e == nil {
		_, readded := s.removedAt[spec.Name]
		delete(s.removedAt, spec.Name)
		e = &engine{name: spec.Name, readded: readded}
		e.lease.Store(&leaseState{})
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

// heldEngines returns the engines that this process holds, sorted by name.
func (s *state) heldEngines() []*engine {
	var out []*engine
	for _, name := range s.authority.HeldBy(s.opt.Incarnation) {
		if e := s.engines[name]; e != nil && e.token != 0 {
			out = append(out, e)
		}
	}
	return out
}

// readEngines starts reads of the engines that this process holds: every tick while they change,
// less often while they are idle.
func (s *state) readEngines() {
	for i, e := range s.heldEngines() {
		idle := e.stateRead && e.readStart != 0 && e.reconciler.Idle() && !e.state.Changing
		if e.readInFlight || idle && (s.ticks+i)%ticksPerIdleRead != 0 {
			continue
		}
		if e.conn == nil && !s.openDriver(e) {
			continue
		}
		e.readInFlight = true
		conn, start, token := e.conn, s.now(), e.token
		wantReport := s.pools[e.pool].rolesPlanned()
		s.c.wg.Go(func() { s.c.readEngine(s.ctx, e, conn, token, start, wantReport) })
	}
}

func (s *state) openDriver(e *engine) bool {
	conn, err := s.opt.OpenEngine(e.name, e.spec.Target())
	if err != nil {
		log.WithError(err).WithField("engine", e.name).Error("driver can't be opened")
		return false
	}
	e.conn = conn
	return true
}

// readEngine reads the state of one engine and, for the planner, its load report.
func (c *Control) readEngine(ctx context.Context, e *engine, conn driver.Engine, token uint64, start clock.Time, report bool) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := engineReadDone{e: e, conn: conn, token: token, start: start}
	r.state, r.err = conn.State(call)
	if report && r.err == nil {
		if l, err := conn.Report(call); err == nil {
			r.report = &l
		}
	}
	_ = c.postBlocking(ctx, r)
}

// engineReadDone is the result of a read of an engine.
type engineReadDone struct {
	e      *engine
	conn   driver.Engine
	token  uint64
	start  clock.Time // start of the read
	state  driver.EngineState
	report *driver.LoadReport
	err    error
}

func (r engineReadDone) apply(s *state) {
	e := r.e
	e.readInFlight = false
	if r.conn != e.conn || r.token != e.token {
		return
	}
	if r.err != nil {
		e.readStart = 0
		return
	}
	if e.stateRead && e.state.Incarnation != r.state.Incarnation {
		log.WithField("engine", e.name).WithField("was", e.state.Incarnation).
			WithField("is", r.state.Incarnation).Warn("engine restarted")
	}
	e.state, e.readStart, e.readEnd, e.stateRead = r.state, r.start, s.now(), true
	e.updateSlots()
	if r.report != nil {
		e.report, e.reportAt = r.report, r.start
	}
}

// reconcileAll runs the next step of every engine held. Engines of the pools with the fewest
// serving engines go first, so that the limited rate of the weight store goes where it is needed
// most.
func (s *state) reconcileAll() {
	held := s.heldEngines()
	counted := map[string]bool{}
	for _, e := range held {
		if !counted[e.pool] {
			counted[e.pool] = true
			s.countEngines(s.pools[e.pool])
		}
	}
	slices.SortStableFunc(held, func(a, b *engine) int {
		return s.pools[a.pool].counts.serving - s.pools[b.pool].counts.serving
	})
	for _, e := range held {
		if e.orderInFlight || e.releasingToken == e.token || !e.stateRead {
			continue
		}
		s.reconcile(e)
	}
}

func (s *state) reconcile(e *engine) {
	p := s.pools[e.pool]
	now := s.now()
	desired := reconcile.DesiredStateFor(p.spec, &e.spec, p.role(e))
	empty := len(e.state.Loaded) == 0 && e.state.Running == 0
	in := &reconcile.Input{
		Now: now, Engine: e.name, Token: e.token, Desired: desired, State: e.state, ReadStart: e.readStart,
		OrderNotBefore: e.orderNotBefore, AckedSince: e.announcement.drainedSince(s, e),
		ChangeAllowed: !s.c.leaving.Load() && (empty || p.changeAllowed(e)),
		LoadAllowed:   true,
	}
	load, needsLoad := firstLoad(&desired, &e.state)
	if needsLoad {
		in.LoadAllowed = s.loadAllowed(now, load)
	}
	previous := e.lastStep
	e.lastStep = e.reconciler.Next(in, &s.opt.ChangeTimeouts)
	if e.lastStep.Phase != previous.Phase {
		s.countEngines(p)
	}
	if needsLoad && previous.Phase == wire.Phase_PHASE_OPEN && e.lastStep.Phase != wire.Phase_PHASE_OPEN {
		s.reserveLoad(e, load)
	}
	if e.lastStep.Reason != previous.Reason || e.lastStep.Phase != previous.Phase {
		log.WithField("engine", e.name).WithField("phase", e.lastStep.Phase.String()).WithField("why", e.lastStep.Reason).Info("step")
	}
	if e.lastStep.Order != nil {
		s.sendOrder(e, *e.lastStep.Order)
	}
}
