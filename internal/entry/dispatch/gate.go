package dispatch

import (
	"context"
	"reflect"
	"sync"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

// Figures of the admission queue before anything was measured.
const (
	assumedBase   = 20 * time.Millisecond
	assumedOutput = 200 // tokens
)

// gate is one pool's admission queue with those who wait in it.
type gate struct {
	router  *route.Router
	clk     clock.Clock
	pool    string
	classes []sheet.Class

	mu      sync.Mutex
	queue   *admit.Queue
	running int
	queued  int
}

// turn is one request at a gate. Its answer is nil when it may go on.
type turn struct {
	req    admit.Request
	answer chan *code.Error
}

func newGate(r *route.Router, clk clock.Clock, pool string, s *sheet.Sheet) *gate {
	cfg := admit.Config{Rates: admit.Rates{
		Base: assumedBase, PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 20 * time.Millisecond,
	}}
	top := 0
	for _, c := range s.Classes {
		top = max(top, c.Priority)
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, admit.Class{
			Name: c.Name, Priority: top - c.Priority, Weight: 1, Output: assumedOutput,
		})
	}
	return &gate{router: r, clk: clk, pool: pool, classes: s.Classes, queue: admit.NewQueue(cfg)}
}

func (g *gate) fits(s *sheet.Sheet) bool { return reflect.DeepEqual(g.classes, s.Classes) }

func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queued
}

// enter returns when t may be dispatched, or with its refusal, which is final.
func (g *gate) enter(ctx context.Context, t *turn) *code.Error {
	t.answer = make(chan *code.Error, 1)
	t.req.Value = t
	if err := g.offer(t); err != nil {
		return err
	}
	g.pump()
	select {
	case err := <-t.answer:
		return err
	case <-ctx.Done():
	}
	return g.giveUp(ctx, t)
}

func (g *gate) offer(t *turn) *code.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setCapacity()
	v := g.queue.Offer(g.clk.Now(), &t.req)
	g.tell(v.Dropped)
	if v.Err != nil {
		return v.Err
	}
	g.queued++
	return nil
}

// giveUp takes out a request whose caller has gone or whose time is over. Its
// turn may have come at the same moment.
func (g *gate) giveUp(ctx context.Context, t *turn) *code.Error {
	g.mu.Lock()
	select {
	case err := <-t.answer:
		if err == nil {
			g.running--
			g.queue.Cancel(&t.req)
		}
	default:
		g.queued--
		g.queue.Cancel(&t.req)
	}
	g.mu.Unlock()
	g.pump()
	return endOf(ctx)
}

// endOf tells why a request's context ended before any of it was sent.
func endOf(ctx context.Context) *code.Error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return code.New(code.DeadlinePassed, "the deadline passed before any work was sent")
	}
	return code.New(code.CallerGone, "the caller went away before any work was sent")
}

// leave ends a request that enter let through.
func (g *gate) leave(t *turn, m admit.Measured) {
	g.mu.Lock()
	g.running--
	g.queue.Done(g.clk.Now(), &t.req, m)
	g.mu.Unlock()
	g.pump()
}

// pump lets through what may go now.
func (g *gate) pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	free := g.setCapacity()
	for {
		r, dropped := g.queue.Next(g.clk.Now(), free)
		g.tell(dropped)
		if r == nil {
			return
		}
		free--
		g.queued--
		g.running++
		r.Value.(*turn).answer <- nil
	}
}

// setCapacity tells the queue how many requests this entry may run, and
// returns how many more may start now. A request counts from its turn on, not
// only from its dispatch, or a burst would pass between the two.
func (g *gate) setCapacity() (free int) {
	limit, inFlight := g.router.Capacity(g.clk.Now(), g.pool)
	g.tell(g.queue.SetCapacity(g.clk.Now(), limit))
	return limit - max(inFlight, g.running)
}

func (g *gate) tell(dropped []admit.Refusal) {
	for _, d := range dropped {
		g.queued--
		d.Request.Value.(*turn).answer <- d.Err
	}
}
