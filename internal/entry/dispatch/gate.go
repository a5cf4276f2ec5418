package dispatch

import (
	"context"
	"errors"
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
	serves  route.Artifact // what the pool serves, for its capacity
	classes []sheet.Class

	mu      sync.Mutex
	queue   *admit.Queue
	inside  map[string]int // queued and running, by class
	granted int            // let through, not yet counted at an endpoint
	queued  int
	tokens  int // prompt tokens queued

	offProbe bool // trust the forecast alone, for comparison
}

// turn is one request at a gate. Its answer is nil when it may go on.
type turn struct {
	req     admit.Request
	answer  chan *code.Error
	granted bool
}

func newGate(r *route.Router, clk clock.Clock, pool string, serves route.Artifact, s *sheet.Sheet) *gate {
	cfg := admit.Config{Rates: admit.Rates{
		Base: assumedBase, PrefillPerToken: 100 * time.Microsecond, DecodePerToken: 20 * time.Millisecond,
	}}
	top := 0
	for _, c := range s.Classes {
		top = max(top, c.Priority)
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, admit.Class{
			Name: c.Name, Priority: top - c.Priority, Weight: 1, OutputTokens: assumedOutput,
			Urgent: urgent(s.Classes, &c),
		})
	}
	return &gate{router: r, clk: clk, pool: pool, serves: serves, classes: s.Classes, queue: admit.NewQueue(cfg), inside: map[string]int{}}
}

// urgent tells whether a class goes before another one at the engines, as all
// do but those of the lowest priority. Places are kept free for urgent
// requests; if every class were urgent, long documents would take them.
func urgent(classes []sheet.Class, c *sheet.Class) bool {
	for i := range classes {
		if classes[i].Priority < c.Priority {
			return true
		}
	}
	return false
}

func (g *gate) fits(serves route.Artifact, s *sheet.Sheet) bool {
	return g.serves == serves && reflect.DeepEqual(g.classes, s.Classes)
}

func (g *gate) waiting() int {
	n, _ := g.queuedNow()
	return n
}

func (g *gate) queuedNow() (requests, tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queued, g.tokens
}

// count notes that t joins or leaves those who wait.
func (g *gate) count(t *turn, n int) {
	g.queued += n
	g.tokens += n * t.req.PromptTokens
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
	if g.setCapacity() == nobody {
		// Queued, it would wait for an engine that may be away for long.
		return code.New(code.NoEndpoint, "no endpoint of %s takes work now", g.pool).WithRetryAfter(noEndpointRetry)
	}
	v := g.queue.Offer(g.clk.Now(), &t.req)
	g.tell(v.Dropped)
	if v.Err != nil && g.mayProbe(t, v.Err) {
		v = g.queue.Offer(g.clk.Now(), &t.req)
		g.tell(v.Dropped)
	}
	if v.Err != nil {
		return v.Err
	}
	g.count(t, 1)
	g.inside[t.req.Class]++
	return nil
}

// mayProbe lets a request through whose class the forecast refuses although
// none of the class is queued or running.
//
// Failure: engines were slow for a while, and the forecast learned so from the
// answers of a class. Then it refuses the whole class, gets no answers to learn
// from, and refuses it for ever, on idle engines. One request at a time goes
// through on its own deadline, which its context keeps, and teaches the
// forecast.
func (g *gate) mayProbe(t *turn, refusal *code.Error) bool {
	if g.offProbe || refusal.Code != code.DeadlineInfeasible || g.inside[t.req.Class] > 0 {
		return false
	}
	t.req.FirstTokenDeadline = 0
	t.req.Deadline = g.clk.Now().Add(longest)
	return true
}

// giveUp takes out a request whose caller has gone or whose time is over. Its
// turn may have come at the same moment.
func (g *gate) giveUp(ctx context.Context, t *turn) *code.Error {
	g.mu.Lock()
	select {
	case err := <-t.answer:
		if err == nil {
			g.settle(t)
			g.inside[t.req.Class]--
			g.queue.Cancel(&t.req)
		}
	default:
		g.count(t, -1)
		g.inside[t.req.Class]--
		g.queue.Cancel(&t.req)
	}
	g.mu.Unlock()
	g.pump()
	return endOf(ctx)
}

// endOf tells why a request's context ended before any of it was sent.
func endOf(ctx context.Context) *code.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return code.New(code.DeadlinePassed, "the deadline passed before any work was sent")
	}
	return code.New(code.CallerGone, "the caller went away before any work was sent")
}

// placed tells that t counts at an endpoint from now on.
func (g *gate) placed(t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(t)
}

func (g *gate) settle(t *turn) {
	if t.granted {
		t.granted = false
		g.granted--
	}
}

// leave ends a request that enter let through.
func (g *gate) leave(t *turn, m admit.Measurement) {
	g.mu.Lock()
	g.settle(t)
	g.inside[t.req.Class]--
	g.queue.Done(g.clk.Now(), &t.req, m)
	g.mu.Unlock()
	g.pump()
}

// pump lets through what may go now. A request counts from its turn on, not
// only from its dispatch, or a burst would pass between the two.
func (g *gate) pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.setCapacity()
	for {
		room := admit.FreeSlots{Normal: c.Normal - g.granted, Urgent: c.Urgent - g.granted}
		r, dropped := g.queue.Next(g.clk.Now(), room)
		g.tell(dropped)
		if r == nil {
			return
		}
		t := r.Value.(*turn)
		t.granted = true
		g.granted++
		g.count(t, -1)
		t.answer <- nil
	}
}

// nobody is the capacity of a pool without an endpoint that takes work.
var nobody = route.Capacity{}

// noEndpointRetry is when a role change or a restart may be over.
const noEndpointRetry = time.Second

func (g *gate) setCapacity() route.Capacity {
	now := g.clk.Now()
	c := g.router.Capacity(now, g.pool, g.serves, "")
	g.tell(g.queue.SetCapacity(now, c.Slots))
	return c
}

func (g *gate) tell(dropped []admit.Refusal) {
	for _, d := range dropped {
		t := d.Request.Value.(*turn)
		g.count(t, -1)
		g.inside[t.req.Class]--
		t.answer <- d.Err
	}
}
