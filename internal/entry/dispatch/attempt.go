package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/entry/stream"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
)

const (
	// stallAfter is how long an engine may send nothing in the middle of a
	// stream before the stream is resumed elsewhere: 50 times the 39 ms that
	// callers expect between tokens, above any pause of a batch that takes in
	// a long prompt.
	stallAfter = 2 * time.Second
	// closedWait is how long a new table takes to come after a directive.
	closedWait = 5 * time.Millisecond
	// maxFlush bounds the tokens of one write.
	maxFlush = 64
	// exportWait bounds the export of a stream's KV cache. Computing it again
	// elsewhere is the cheaper way after that.
	exportWait = time.Second
	// drainWait is how long the tokens of an exported stream, which has ended
	// at its engine, may take to arrive.
	drainWait = 200 * time.Millisecond
)

var (
	errMoved  = errors.New("moved by a planned change")
	errStall  = fmt.Errorf("%w: engine sends nothing", driver.ErrCut)
	errSink   = errors.New("caller does not take the stream")
	errGuilty = errors.New("the request crashed the engines that ran it")
)

// sinkError is a failure on the caller's side of the stream.
type sinkError struct{ err error }

func (e *sinkError) Error() string        { return e.err.Error() }
func (e *sinkError) Is(target error) bool { return target == errSink }

// attempt runs the completion on one engine, from where the last one stopped.
func (s *session) attempt(ctx context.Context, p *route.Decision, x *exposure) error {
	defer s.d.free(p.Endpoint.Name, s.print)
	e := s.engine(p)
	if e == nil {
		s.d.router.Done(s.d.clk.Now(), &p.Dispatch, route.Canceled)
		return fmt.Errorf("%w: engine %s left the sheet", driver.ErrNotSent, p.Endpoint.Name)
	}
	s.from = s.asm.Next()
	release, ok := e.Hold()
	if !ok {
		s.d.router.Done(s.d.clk.Now(), &p.Dispatch, route.Canceled)
		wait(ctx, closedWait)
		return errMoved
	}
	s.d.streams.attempts.Add(1)
	if s.from > 0 {
		s.d.streams.resumed.Add(1)
	}
	err := s.send(ctx, p, e, x)
	release()
	if errors.Is(err, errMoved) {
		s.d.streams.moved.Add(1)
	}
	result := outcomeOf(ctx, err)
	if errors.Is(err, errMoved) || errors.Is(err, errSink) {
		result = route.Canceled
	} else if err != nil {
		s.exclude = append(s.exclude, p.Endpoint)
		x.progress = s.asm.Next() > s.from
		s.blame(ctx, e, x, err)
	}
	s.d.router.Done(s.d.clk.Now(), &p.Dispatch, result)
	return err
}

// send opens the attempt's stream and passes its tokens on.
func (s *session) send(ctx context.Context, p *route.Decision, e *fleet.Engine, x *exposure) error {
	moved := e.Moved()
	req := &driver.GenerateRequest{
		Attempt: s.d.newAttempt(),
		Model:   s.g.Model, Version: s.g.Version, Adapter: s.g.Adapter,
		Prompt: s.g.Prompt, MaxTokens: s.g.MaxTokens, Seed: s.g.Seed, Priority: s.priority,
		From: s.asm.Next(), Prior: s.asm.Text(), KV: s.kv,
	}
	s.kv = nil
	if p.Prefill.Endpoint != nil && req.KV == nil {
		req.KV = s.prefill(ctx, &p.Prefill, req)
	}
	s.asm.BeginAttempt(req.Attempt)
	ts, err := e.Generate(ctx, req)
	if err != nil {
		s.touched = s.touched || !untouched(err)
		return err
	}
	s.touched = true
	pump := stream.StartPump(ts)
	defer pump.Close()
	return s.passOn(ctx, &live{p: p, e: e, pump: pump, attempt: req.Attempt, moved: moved, exposure: x})
}

// live is an attempt whose stream is open.
type live struct {
	p        *route.Decision
	e        *fleet.Engine
	pump     *stream.Pump
	attempt  string
	moved    <-chan struct{}
	exposure *exposure
}

// passOn takes tokens until the attempt ends, is moved or stalls. The first
// token may take as long as the deadline allows: the engine may be busy with
// prompts before this one. The router ejects engines that are stuck.
func (s *session) passOn(ctx context.Context, l *live) error {
	stall := time.NewTimer(stallAfter)
	defer stall.Stop()
	stalls := stall.C
	if s.asm.Next() == 0 {
		stalls = nil
	}
	for {
		select {
		case t, more := <-l.pump.Tokens():
			if !more {
				return s.ended(l.pump.Err())
			}
			if err := s.take(l, t); err != nil {
				return err
			}
			stall.Reset(stallAfter)
			stalls = stall.C
		case <-l.moved:
			return s.move(ctx, l)
		case <-stalls:
			return errStall
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *session) ended(err error) error {
	if errors.Is(err, io.EOF) {
		return s.flush()
	}
	return err
}

// take passes on t and whatever else has arrived, with one write.
func (s *session) take(l *live, t driver.Token) error {
	if s.firstAt == 0 {
		s.firstAt = s.d.clk.Now()
	}
	s.d.router.FirstToken(s.d.clk.Now(), &l.p.Dispatch)
	s.clear(l.exposure)
	for range maxFlush {
		if err := s.one(t); err != nil {
			return err
		}
		select {
		case next, more := <-l.pump.Tokens():
			if !more {
				// The closed channel is seen again by passOn.
				return s.flush()
			}
			t = next
		default:
			s.lastAt = s.d.clk.Now()
			s.d.router.Progress(s.lastAt, &l.p.Dispatch, s.asm.Next()-s.from)
			return s.flush()
		}
	}
	// The token taken last is still to be passed on.
	return errors.Join(s.one(t), s.flush())
}

func (s *session) one(t driver.Token) error {
	keep, err := s.asm.Accept(t)
	if err != nil || !keep {
		return err
	}
	if err := s.out.Token(t); err != nil {
		return &sinkError{err}
	}
	return nil
}

func (s *session) flush() error {
	if err := s.out.Flush(); err != nil {
		return &sinkError{err}
	}
	return nil
}

// move ends the attempt because its engine is to be changed, and takes its KV
// cache along if the engine gives it. Tokens that it made before the export
// are still taken; those that come later are dropped with the attempt.
func (s *session) move(ctx context.Context, l *live) error {
	exportCtx, cancel := context.WithTimeout(ctx, exportWait)
	defer cancel()
	if kv, err := l.e.Export(exportCtx, l.attempt); err == nil {
		s.kv = &kv
	}
	wait := time.NewTimer(drainWait)
	defer wait.Stop()
	for {
		select {
		case t, more := <-l.pump.Tokens():
			if !more && errors.Is(l.pump.Err(), io.EOF) {
				return s.flush() // it was just whole
			}
			if !more {
				return errors.Join(s.flush(), errMoved)
			}
			if err := s.one(t); err != nil {
				return err
			}
		case <-wait.C:
			return errors.Join(s.flush(), errMoved)
		}
	}
}

// prefill lets a prefill engine compute the prompt's KV cache. The decode
// engine computes it itself when that fails.
func (s *session) prefill(ctx context.Context, p *route.Dispatch, req *driver.GenerateRequest) *driver.KVHandle {
	e := s.d.fleet.Engine(p.Endpoint.Name)
	if e == nil {
		return nil
	}
	release, ok := e.Hold()
	if !ok {
		return nil
	}
	defer release()
	s.d.router.Sent(s.d.clk.Now(), p)
	part := *req
	part.Attempt, part.MaxTokens, part.From, part.Prior = s.d.newAttempt(), 0, 0, nil
	x := &exposure{
		crash: suspect.Crash{Endpoint: e.Name, Incarnation: e.Incarnation()}, began: s.d.clk.Now(),
		verdict: s.d.suspects.Judge(s.d.clk.Now(), s.print),
	}
	kv, err := e.Prefill(ctx, &part)
	s.d.router.Done(s.d.clk.Now(), p, outcomeOf(ctx, err))
	if err != nil {
		s.touched = s.touched || !untouched(err)
		s.blame(ctx, e, x, err)
		return nil
	}
	s.touched = true
	return &kv
}
