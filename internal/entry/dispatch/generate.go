package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/entry/callerapi"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/entry/stream"
	"fescuestand/internal/policy/admit"
	"fescuestand/internal/policy/retry"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/sheet"
)

const (
	// maxAttempts bounds the attempts of one completion, moves included: an
	// engine is moved seldom, so that more means a fault that no retry mends.
	maxAttempts = 12
	// longest stands in for a deadline where none is set.
	longest = time.Hour
	// placeWait is how long an admitted request waits for an endpoint to open
	// again, such as between two phases of a planned change.
	placeWait = 500 * time.Millisecond
	placeStep = 20 * time.Millisecond
	// bytesPerToken estimates the prompt's tokens; the engines count exactly.
	bytesPerToken = 4
	// pieceBytes is the size of one piece of an engine's prefix cache.
	pieceBytes = 2000 * bytesPerToken
)

// session is one completion on its way through attempts.
type session struct {
	d        *Dispatcher
	g        *callerapi.Generate
	out      callerapi.Sink
	pool     *sheet.Pool
	priority int
	urgent   bool   // of a class above the lowest priority
	print    uint64 // fingerprint of model and prompt
	pieces   []uint64
	asm      stream.Assembler
	from     int // where the present attempt began
	exclude  []*route.Endpoint
	kv       *driver.KVHandle // of the attempt that was moved
	tries    int              // attempts in a row that failed without progress
	touched  bool             // an attempt may have been executed
	began    clock.Time
	ran      time.Duration // how long the attempt ran that a crash ended
	placed   func()        // the first attempt counts at an endpoint
	firstAt  clock.Time
	lastAt   clock.Time
}

// Generate serves one completion.
func (d *Dispatcher) Generate(ctx context.Context, g *callerapi.Generate, out callerapi.Sink) error {
	s, class, err := d.newSession(g, out)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, capped(g.Deadline, class.Deadline.D()))
	defer cancel()
	prompt := len(g.Prompt) / bytesPerToken
	d.counts.add(s.pool.Name, func(t *Totals) {
		t.Requests++
		t.PromptTokens += uint64(prompt)
	})
	gate := d.gate(s.pool.Name, route.Artifact{Model: s.pool.Model, Version: s.pool.Version}, d.fleet.Sheet())
	t := &turn{req: admit.Request{
		ID: g.RequestID, Class: class.Name, Workspace: g.Workspace, Caller: g.Name,
		PromptTokens: prompt, MaxOutputTokens: g.MaxTokens, Deadline: deadlineOf(ctx, d.clk),
	}}
	// The class's first-token objective is no bound for admission: a request that
	// misses it is still whole and on time, and the burn report shows the miss.
	s.placed = func() { gate.placed(t) }
	if err := gate.enter(ctx, t); err != nil {
		d.counts.add(s.pool.Name, func(t *Totals) { t.Refused++ })
		return err
	}
	s.began = d.clk.Now()
	err = s.run(ctx)
	gate.leave(t, s.measured(err))
	s.count(ctx, err)
	return err
}

// newSession finds the pool and class that the request asks for.
func (d *Dispatcher) newSession(g *callerapi.Generate, out callerapi.Sink) (*session, *sheet.Class, error) {
	sh, bad := d.sheet()
	if bad != nil {
		return nil, nil, bad
	}
	class, bad := findClass(sh, g.Class)
	if bad != nil {
		return nil, nil, bad
	}
	pool, bad := findPool(sh, g)
	if bad != nil {
		return nil, nil, bad
	}
	// The version is fixed now: a resume must not continue with another.
	g.Version = pool.Version
	h := xxhash.New()
	_, _ = h.WriteString(g.Model + "\x00" + g.Adapter + "\x00")
	_, _ = h.Write(g.Prompt)
	return &session{
		d: d, g: g, out: out, pool: pool, priority: class.Priority, urgent: urgent(sh.Classes, class), print: h.Sum64(),
		pieces: route.Pieces(nil, g.Model, g.Prompt, pieceBytes),
	}, class, nil
}

// run makes attempts until the completion is whole or given up.
func (s *session) run(ctx context.Context) error {
	var last error
	for n := range maxAttempts {
		if n > 0 {
			again, err := s.again(ctx, last, n)
			if last = err; !again {
				break
			}
		}
		place, x, err := s.place(ctx)
		if err != nil {
			if last == nil || errors.Is(err, errGuilty) {
				last = err
			}
			break
		}
		last = s.attempt(ctx, place, x)
		if last == nil {
			s.d.suspects.Clear(s.d.clk.Now(), s.print)
			s.d.retries.RecordSuccess(s.pool.Name, s.g.Name)
			return nil
		}
		if ctx.Err() != nil || errors.Is(last, errSink) {
			break
		}
		log.WithError(last).WithField("request", s.g.RequestID).WithField("endpoint", place.Endpoint.Name).
			WithField("tokens", s.asm.Next()).Info("attempt ended early")
	}
	return s.final(ctx, last)
}

// final turns the last attempt's error into the caller's.
func (s *session) final(ctx context.Context, err error) error {
	var sunk *sinkError
	if errors.As(err, &sunk) {
		return sunk.err
	}
	return numbered(ctx, err, s.touched, s.asm.Next() > 0)
}

// again tells whether another attempt may be made after err, and waits as long
// as that should. Otherwise it returns the completion's last error.
//
// A planned move costs no budget: it isn't a fault. Neither does the rest of a
// stream that the attempt has carried on, nor one that no engine has touched
// since: the budget is against retries that do the same work again and again,
// and a stream that has begun must not be cut for others' faults.
func (s *session) again(ctx context.Context, err error, n int) (bool, error) {
	pause := time.Duration(n) * placeStep
	switch {
	case errors.Is(err, errMoved), s.asm.Next() > s.from:
		s.tries = 0
		return true, err
	case s.asm.Next() > 0 && untouched(err):
		// An engine that refuses, as after a crash, has to become known as
		// such before the attempts are used up.
	default:
		s.tries++
		now := s.d.clk.Now()
		d := s.d.retries.DecideRetry(now, retry.Attempt{
			Pool: s.pool.Name, Caller: s.g.Name, Idempotent: true, Tries: s.tries,
			Deadline: deadlineOf(ctx, s.d.clk), Err: numbered(ctx, err, !untouched(err), false),
		})
		if !d.Retry {
			return false, d.Err
		}
		pause = d.Delay
	}
	wait(ctx, pause)
	return ctx.Err() == nil, err
}

// measured is what the request showed about the pool's rates.
func (s *session) measured(err error) admit.Measurement {
	m := admit.Measurement{OK: err == nil, OutputTokens: s.asm.Next()}
	if s.firstAt > 0 {
		m.FirstToken = s.firstAt.Sub(s.began)
		m.Step = s.step()
	}
	return m
}

// step is the mean time between tokens.
func (s *session) step() time.Duration {
	n := s.asm.Next() - 1
	if n < 1 {
		return 0
	}
	return s.lastAt.Sub(s.firstAt) / time.Duration(n)
}

func (s *session) count(ctx context.Context, err error) {
	s.d.streams.dropped.Add(uint64(s.asm.Dropped()))
	s.d.counts.add(s.pool.Name, func(t *Totals) {
		t.OutputTokens += uint64(s.asm.Next())
		if err == nil && ctx.Err() == nil {
			t.OnTime++
		}
	})
}

// engine returns the driver of a placed attempt.
func (s *session) engine(p *route.Decision) *fleet.Engine { return s.d.fleet.Engine(p.Endpoint.Name) }

func capped(deadline time.Time, longest time.Duration) time.Time {
	if limit := time.Now().Add(longest); longest > 0 && limit.Before(deadline) {
		return limit
	}
	return deadline
}

// deadlineOf returns ctx's deadline on clk; a context without one gets longest.
func deadlineOf(ctx context.Context, clk clock.Clock) clock.Time {
	if at, ok := ctx.Deadline(); ok {
		return clk.Now().Add(time.Until(at))
	}
	return clk.Now().Add(longest)
}

func findClass(s *sheet.Sheet, name string) (*sheet.Class, *code.Error) {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i], nil
		}
	}
	return nil, code.New(code.UnknownClass, "class %.100q is not in the sheet", name)
}

func findPool(s *sheet.Sheet, g *callerapi.Generate) (*sheet.Pool, *code.Error) {
	known := false
	for i := range s.Pools {
		p := &s.Pools[i]
		if p.Model != g.Model || !hasAdapter(p, g.Adapter) {
			continue
		}
		known = true
		if g.Version == "" || g.Version == p.Version {
			return p, nil
		}
	}
	if known {
		return nil, code.New(code.UnknownVersion, "version %.100q of model %.100q is not in the sheet", g.Version, g.Model)
	}
	return nil, code.New(code.UnknownModel, "model %.100q with adapter %.100q is not in the sheet", g.Model, g.Adapter)
}

func hasAdapter(p *sheet.Pool, name string) bool {
	if name == "" {
		return true
	}
	for _, a := range p.Adapters {
		if a.Name == name {
			return true
		}
	}
	return false
}
