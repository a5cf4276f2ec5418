package engine

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"fescuestand/internal/clock"
	"fescuestand/internal/driver"
	"fescuestand/internal/standin/httpjson"
)

const relistenDelay = 20 * time.Millisecond

// Engine is one fake engine. It restarts after a simulated crash; each start is a run with a new
// incarnation.
type Engine struct {
	cfg     Config
	faults  *httpjson.Faults
	history *History
}

// New returns an engine that is not listening yet.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg: cfg.withDefaults(),
		faults: httpjson.NewFaults(FaultCrash, FaultCrashInChange, FaultFreeze, FaultSlow, FaultRefuse,
			FaultCutStream, FaultCrossed, FaultLostOrder, FaultDropEvents, FaultStaleReport,
			FaultSlowState, FaultPoison),
		history: &History{},
	}
	if cfg.Poison != "" {
		e.faults.Set(httpjson.Fault{Name: FaultPoison, Text: cfg.Poison})
	}
	return e
}

// Serve runs the engine, with restarts after crashes, until ctx is done.
func (e *Engine) Serve(ctx context.Context) error {
	l, err := e.cfg.Network.Listen(ctx, "tcp", e.cfg.Address)
	if err != nil {
		return eris.Wrapf(err, "engine can't listen on %s", e.cfg.Address)
	}
	for {
		if err := e.runUntilCrash(ctx, l); err != nil || ctx.Err() != nil {
			return err
		}
		log.WithFields(log.Fields{"event": "engine-crashed", "engine": e.cfg.Address}).Warn("engine")
		if e.cfg.Exit != nil {
			e.cfg.Exit()
		}
		if !clock.Sleep(ctx, e.cfg.Downtime) {
			return nil
		}
		if l, err = relisten(ctx, &e.cfg); err != nil {
			return err
		}
	}
}

// relisten listens on the engine's address again after a crash. It retries, as the address can still be in use
// for a moment.
func relisten(ctx context.Context, c *Config) (net.Listener, error) {
	for {
		l, err := c.Network.Listen(ctx, "tcp", c.Address)
		if err == nil {
			return l, nil
		}
		if !clock.Sleep(ctx, relistenDelay) {
			return nil, err
		}
	}
}

// runUntilCrash serves one run on l, until ctx is done or the engine crashes.
func (e *Engine) runUntilCrash(ctx context.Context, l net.Listener) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRun(runCtx, e, cancel)
	server := &http.Server{Handler: r.handler()}
	var g errgroup.Group
	g.Go(func() error {
		r.loop(runCtx)
		return nil
	})
	g.Go(func() error {
		<-runCtx.Done()
		r.abortAll()
		return server.Close()
	})
	log.WithFields(log.Fields{
		"event": "engine-up", "engine": l.Addr(), "incarnation": r.incarnation, "role": r.role,
	}).Info("engine")
	_ = server.Serve(l)
	cancel()
	return g.Wait()
}

// run is the state of an engine between two crashes.
type run struct {
	cfg         *Config
	faults      *httpjson.Faults
	history     *History
	incarnation string
	ctx         context.Context
	crash       func()
	wake        chan struct{}

	mu             sync.Mutex
	role           driver.Role
	loaded         []driver.Loaded
	activeOrders   int // orders being executed
	roleChanges    int // role changes among activeOrders; while above 0, no request runs
	fence          uint64
	lastOrder      string
	arrivals       uint64
	queue          []*sequence
	batch          []*sequence
	kvFetched      map[*sequence]bool // sequences whose exported KV cache was fetched from the other engine
	exportedKV     map[string]driver.KVHandle
	cache          *prefixCache
	decodeStepTime time.Duration // duration of the last decode step
	reports        []timedReport
	attempts       []Attempt
}

func newRun(ctx context.Context, e *Engine, crash func()) *run {
	incarnation := randomID()
	return &run{
		cfg:            &e.cfg,
		faults:         e.faults,
		history:        e.history,
		incarnation:    incarnation,
		ctx:            ctx,
		crash:          crash,
		wake:           make(chan struct{}, 1),
		role:           e.cfg.Role,
		loaded:         append([]driver.Loaded{}, e.cfg.Loaded...),
		kvFetched:      map[*sequence]bool{},
		exportedKV:     map[string]driver.KVHandle{},
		cache:          newPrefixCache(&e.cfg, incarnation),
		decodeStepTime: e.cfg.DecodeStep,
	}
}

// randomID returns a unique id.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// abortAll ends every queued and running sequence unfinished.
func (r *run) abortAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abortAllLocked()
}

func (r *run) abortAllLocked() {
	for _, s := range append(r.queue, r.batch...) {
		s.end(aborted)
	}
	r.queue, r.batch = nil, nil
	clear(r.kvFetched)
}

// wakeLoop wakes an idle batch loop when there is new work.
func (r *run) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
