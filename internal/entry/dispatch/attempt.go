package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/entry/fleet"
	"fescuestand/internal/entry/stream"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
)

const (
	// stallTimeout is how long an engine may send no token in the middle of a stream before the
	// stream is resumed on another engine. It is 50 times the 39 ms that callers expect between
	// tokens, longer than any pause of a batch that is prefilling a long prompt.
	stallTimeout = 2 * time.Second
	// routingTableWait is the time until a new routing table is published after a directive has
	// closed an engine.
	routingTableWait = 5 * time.Millisecond
	// maxTokensPerWrite bounds the number of tokens in one write to the caller.
	maxTokensPerWrite = 64
)

var (
	errMoved       = errors.New("moved by a planned change")
	errStall       = fmt.Errorf("%w: engine sends nothing", driver.ErrConnectionLost)
	errCallerWrite = errors.New("caller does not take the stream")
	errQuarantined = errors.New("the request crashed the engines that ran it")
)

// callerWriteError is a failure to write the stream to the caller.
type callerWriteError struct{ err error }

func (e *callerWriteError) Error() string        { return e.err.Error() }
func (e *callerWriteError) Is(target error) bool { return target == errCallerWrite }

// openAttempt is an attempt whose stream is open or being opened.
type openAttempt struct {
	decision      *route.Decision
	engine        *fleet.Engine // nil if the sheet no longer names it
	release       func()        // nil if the engine takes no new work
	attemptID     string
	start         int // position of its first token
	move          moveState
	crashExposure *crashExposure

	// pump opens and reads the stream. Its goroutine writes the next two fields.
	pump    *stream.Pump
	prefill prefillResult
	kv      *driver.KVHandle // offered to the engine

	awaited   chan struct{} // closed once an attempt on standby has sent a token or ended
	received  *driver.Token // that token
	continued bool          // the attempt on standby has sent a token or completed the stream
}

// startAttempt starts the completion on one engine, after the last token received. lastErr is the
// error of the previous attempt.
func (s *session) startAttempt(ctx context.Context, lastErr error) (*openAttempt, error) {
	if s.attempts > 0 {
		mayRetry, err := s.prepareRetry(s.searchContext(ctx), lastErr)
		if lastErr = err; !mayRetry {
			return nil, err
		}
	}
	place, err := s.takePlace(s.searchContext(ctx))
	if err != nil {
		if lastErr == nil || errors.Is(err, errQuarantined) {
			lastErr = err
		}
		return nil, lastErr
	}
	s.attempts++
	s.attemptStart = s.assembler.Next()
	a := &openAttempt{
		decision: place.decision, engine: s.engine(place.decision), attemptID: s.dispatcher.newAttempt(),
		start: s.attemptStart, crashExposure: place.exposure,
	}
	a.pump = stream.StartPump(ctx, s.opener(ctx, a))
	return a, nil
}

// opener returns the function that opens the attempt's stream. It fails without sending anything if
// the engine takes no new work.
func (s *session) opener(ctx context.Context, a *openAttempt) stream.Open {
	if a.engine == nil {
		return failToOpen(fmt.Errorf("%w: engine %s left the sheet", driver.ErrNotSent, a.decision.Endpoint.Name))
	}
	release, ok := a.engine.Acquire()
	if !ok {
		sleep(s.searchContext(ctx), routingTableWait)
		return failToOpen(errMoved)
	}
	a.release, a.move.requested = release, a.engine.MoveRequested()
	s.dispatcher.streams.attempts.Add(1)
	if a.start > 0 {
		s.dispatcher.streams.resumed.Add(1)
	}
	req := &driver.GenerateRequest{
		Attempt: a.attemptID,
		Model:   s.req.Model, Version: s.req.Version, Adapter: s.req.Adapter,
		Prompt: s.req.Prompt, MaxTokens: s.req.MaxTokens, Seed: s.req.Seed, Priority: s.priority,
		FirstPosition: a.start, PriorOutput: s.assembler.Text(), KV: s.kv,
	}
	s.kv = nil
	return func(ctx context.Context) (driver.TokenStream, error) {
		if a.decision.Prefill.Endpoint != nil && req.KV == nil {
			a.prefill = s.prefill(ctx, &a.decision.Prefill, req)
			req.KV = a.prefill.kv
		}
		a.kv = req.KV
		return a.engine.Generate(ctx, req)
	}
}

func failToOpen(err error) stream.Open {
	return func(context.Context) (driver.TokenStream, error) { return nil, err }
}

// finish ends the attempt and records its outcome. It returns err, or the reason why the attempt
// was never open.
func (s *session) finish(ctx context.Context, a *openAttempt, err error) error {
	defer s.dispatcher.releaseIsolation(a.decision.Endpoint.Name, s.fingerprint)
	a.pump.Close()
	if a.awaited != nil {
		<-a.awaited
	}
	if a.release != nil {
		a.release()
	}
	if a.pump.Opened() || !notExecuted(a.pump.Err()) && a.release != nil {
		s.maybeExecuted = true
	} else {
		s.kv = cmp.Or(s.kv, a.kv)
		if errors.Is(err, errStall) {
			err = a.pump.Err()
		}
	}
	s.maybeExecuted = s.maybeExecuted || a.prefill.maybeExecuted
	s.crashedRun = cmp.Or(a.prefill.crashedRun, s.crashedRun)
	s.recordOutcome(ctx, a, err)
	return err
}

// recordOutcome records what the end of the attempt says about its engine.
func (s *session) recordOutcome(ctx context.Context, a *openAttempt, err error) {
	outcome := outcomeOf(ctx, err)
	switch {
	case errors.Is(err, errMoved):
		s.dispatcher.streams.moved.Add(1)
		outcome = route.Canceled
	case errors.Is(err, errCallerWrite), errors.Is(err, errContinued), errors.Is(err, errSilent), a.engine == nil:
		outcome = route.Canceled
	case err != nil:
		s.exclude = append(s.exclude, a.decision.Endpoint)
		a.crashExposure.progressed = s.assembler.Next() > a.start
		s.crashedRun = cmp.Or(s.reportCrash(ctx, a.engine, a.crashExposure, err), s.crashedRun)
	}
	s.dispatcher.router.Done(s.dispatcher.clk.Now(), &a.decision.Dispatch, outcome)
}

// forwardStream forwards tokens until the attempt ends, is moved or stalls, whether its engine has
// accepted it or leaves it unanswered. The stall timeout doesn't apply before the completion's first
// token, which may take until the deadline because the engine may have to prefill other prompts
// first. The router ejects engines that are stuck.
func (s *session) forwardStream(ctx context.Context, open *openAttempt) error {
	stall := time.NewTimer(stallTimeout)
	defer stall.Stop()
	stalled := stall.C
	if s.assembler.Next() == 0 {
		stalled = nil
	}
	if err := s.forwardReceived(ctx, open); err != nil {
		return err
	}
	for {
		wait := s.searchContext(ctx)
		select {
		case t, more := <-open.pump.Tokens():
			if !more {
				return s.streamEnd(open)
			}
			if err := s.forwardAvailable(ctx, open, t); err != nil {
				return err
			}
			stall.Reset(stallTimeout)
			stalled = stall.C
		case <-open.move.requested:
			open.move.requested, open.move.due = nil, time.After(open.move.delay)
		case <-open.move.due:
			err := s.moveStream(ctx, open)
			if errors.Is(err, errCompleted) {
				return s.streamEnd(open)
			}
			if err != nil {
				return err
			}
		case <-stalled:
			return errStall
		case <-wait.Done():
			return context.Cause(wait)
		}
	}
}

// forwardReceived forwards the token that was received while the attempt was on standby.
func (s *session) forwardReceived(ctx context.Context, open *openAttempt) error {
	if open.received == nil {
		return nil
	}
	t := *open.received
	open.received = nil
	return s.forwardAvailable(ctx, open, t)
}

// streamEnd flushes the output if the stream ended normally and returns its error otherwise.
func (s *session) streamEnd(a *openAttempt) error {
	if a.pump.Completed() {
		return s.flush()
	}
	return a.pump.Err()
}

// forwardAvailable forwards t and the tokens that have already arrived in one write.
func (s *session) forwardAvailable(ctx context.Context, open *openAttempt, t driver.Token) error {
	if s.firstTokenAt == 0 {
		s.firstTokenAt = s.dispatcher.clk.Now()
	}
	s.dispatcher.router.FirstToken(s.dispatcher.clk.Now(), &open.decision.Dispatch)
	s.clearSuspicion(open.crashExposure)
	for range maxTokensPerWrite {
		if err := s.forward(ctx, open, t); err != nil {
			return err
		}
		select {
		case next, more := <-open.pump.Tokens():
			if !more {
				// forwardStream sees the closed channel again.
				return s.flush()
			}
			t = next
		default:
			s.lastTokenAt = s.dispatcher.clk.Now()
			s.dispatcher.router.Progress(s.lastTokenAt, &open.decision.Dispatch, s.assembler.Next()-open.start)
			return s.flush()
		}
	}
	// The last token received has not been forwarded yet.
	return errors.Join(s.forward(ctx, open, t), s.flush())
}

// forward sends t to the caller unless the assembler drops it.
func (s *session) forward(ctx context.Context, open *openAttempt, t driver.Token) error {
	if s.carrier != open {
		s.carryOn(ctx, open)
	}
	accepted, err := s.assembler.Accept(t)
	if err != nil || !accepted {
		return err
	}
	if err := s.out.Token(t); err != nil {
		return &callerWriteError{err}
	}
	return nil
}

func (s *session) flush() error {
	if err := s.out.Flush(); err != nil {
		return &callerWriteError{err}
	}
	return nil
}

// prefillResult is what a prefill on an engine of its own has done.
type prefillResult struct {
	kv            *driver.KVHandle // nil on failure; the decode engine then computes the cache itself
	maybeExecuted bool
	crashedRun    time.Duration // how long it ran if it ended in a crash
}

// prefill computes the prompt's KV cache on a prefill engine. It is called by the goroutine of the
// attempt's pump.
func (s *session) prefill(ctx context.Context, dispatch *route.Dispatch, req *driver.GenerateRequest) prefillResult {
	e := s.dispatcher.fleet.Engine(dispatch.Endpoint.Name)
	if e == nil {
		return prefillResult{}
	}
	release, ok := e.Acquire()
	if !ok {
		return prefillResult{}
	}
	defer release()
	s.dispatcher.router.Sent(s.dispatcher.clk.Now(), dispatch)
	prefillReq := *req
	prefillReq.Attempt, prefillReq.MaxTokens, prefillReq.FirstPosition, prefillReq.PriorOutput = s.dispatcher.newAttempt(), 0, 0, nil
	exposure := &crashExposure{
		crash: suspect.Crash{Endpoint: e.Name, Incarnation: e.Incarnation()}, began: s.dispatcher.clk.Now(),
		verdict: s.dispatcher.suspects.Judge(s.dispatcher.clk.Now(), s.fingerprint),
	}
	kv, err := e.Prefill(ctx, &prefillReq)
	s.dispatcher.router.Done(s.dispatcher.clk.Now(), dispatch, outcomeOf(ctx, err))
	if err != nil {
		return prefillResult{maybeExecuted: !notExecuted(err), crashedRun: s.reportCrash(ctx, e, exposure, err)}
	}
	return prefillResult{kv: &kv, maybeExecuted: true}
}
