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
	// maxAttempts bounds the attempts of one completion, including those after moves. Engines are
	// moved rarely, so more attempts mean a fault that retries can't fix.
	maxAttempts = 12
	// defaultDeadline replaces a missing deadline, and that of a probe in admission.
	defaultDeadline = time.Hour
	// placementTimeout is how long an admitted request waits for an endpoint to accept work again,
	// for example between two phases of a planned change.
	placementTimeout    = 500 * time.Millisecond
	placementRetryDelay = 20 * time.Millisecond
	// bytesPerToken is used to estimate the prompt's tokens; the engines count exactly.
	bytesPerToken = 4
	// cacheBlockBytes is the size of one block of an engine's prefix cache.
	cacheBlockBytes = 2000 * bytesPerToken
)

// session is the state of one completion across its attempts.
type session struct {
	dispatcher   *Dispatcher
	req          *callerapi.Generate
	out          callerapi.Sink
	pool         *sheet.Pool
	priority     int
	urgent       bool     // the class is above the lowest priority
	fingerprint  uint64   // of model, adapter and prompt
	cacheBlocks  []uint64 // chained hashes of the prompt's whole cache blocks
	assembler    stream.Assembler
	attempts     int          // started so far
	attemptStart int          // position of the current attempt's first token
	carrier      *openAttempt // sent the last token
	reserved     *placement   // for the next attempt, if the stream is moved
	search       *search      // nil unless the stream has begun and no engine sends
	// searchRefusals is the number of attempts that were refused during a search. Its time limits them,
	// not maxAttempts.
	searchRefusals int
	exclude        []*route.Endpoint
	exported       bool             // the last attempt was ended by a move
	kv             *driver.KVHandle // exported by a moved attempt or prefilled, and not taken by an engine yet
	failedTries    int              // consecutive attempts that failed without a token
	maybeExecuted  bool             // an attempt may have been executed
	admittedAt     clock.Time
	crashedRun     time.Duration // how long the attempt ran that ended in a crash
	onDispatched   func()        // called when an attempt counts as in flight at an endpoint
	firstTokenAt   clock.Time
	lastTokenAt    clock.Time
}

// Generate serves one completion.
func (d *Dispatcher) Generate(ctx context.Context, g *callerapi.Generate, out callerapi.Sink) error {
	s, class, err := d.newSession(g, out)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, earlierDeadline(g.Deadline, class.Deadline.D()))
	defer cancel()
	promptTokens := len(g.Prompt) / bytesPerToken
	d.counts.add(s.pool.Name, func(t *Totals) {
		t.Requests++
		t.PromptTokens += uint64(promptTokens)
	})
	queue := d.queueFor(s.pool.Name, route.Artifact{Model: s.pool.Model, Version: s.pool.Version}, d.fleet.Sheet())
	a := &admission{req: admit.Request{
		ID: g.RequestID, Class: class.Name, Workspace: g.Workspace, Caller: g.Name,
		PromptTokens: promptTokens, MaxOutputTokens: g.MaxTokens, Deadline: deadlineOf(ctx, d.clk),
	}}
	// Admission doesn't check the class's first-token objective: a request that misses it may still
	// be complete and within its deadline, and the burn report shows the miss.
	s.onDispatched = func() { queue.markDispatched(a) }
	if err := queue.acquire(ctx, a); err != nil {
		d.counts.add(s.pool.Name, func(t *Totals) { t.Refused++ })
		return err
	}
	s.admittedAt = d.clk.Now()
	err = s.run(ctx)
	queue.release(a, s.measurement(err))
	s.recordTotals(ctx, err)
	return err
}

// newSession finds the pool and class of the request.
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
	// Fix the version now, so that a resumed stream doesn't continue with another one.
	g.Version = pool.Version
	return &session{
		dispatcher: d, req: g, out: out, pool: pool, priority: class.Priority, urgent: isUrgent(sh.Classes, class),
		fingerprint: fingerprintOf(g.Model, g.Adapter, g.Prompt), cacheBlocks: route.Pieces(nil, g.Model, g.Prompt, cacheBlockBytes),
	}, class, nil
}

// fingerprintOf returns the hash by which crash evidence identifies equal requests.
func fingerprintOf(model, adapter string, prompt []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(model + "\x00" + adapter + "\x00")
	_, _ = h.Write(prompt)
	return h.Sum64()
}

// run makes attempts until the completion is complete or can't be retried.
func (s *session) run(ctx context.Context) error {
	err := s.runAttempts(ctx)
	s.endSearch(ctx, nil)
	s.releaseReserved()
	if err != nil {
		return s.finalError(ctx, err)
	}
	s.dispatcher.suspects.Clear(s.dispatcher.clk.Now(), s.fingerprint)
	s.dispatcher.retries.RecordSuccess(s.pool.Name, s.req.Name)
	return nil
}

func (s *session) runAttempts(ctx context.Context) error {
	var lastErr error
	for {
		a, err := s.nextAttempt(ctx, lastErr)
		if err != nil {
			return err
		}
		lastErr = s.forwardStream(ctx, a)
		switch {
		case errors.Is(lastErr, errStall):
			s.logAttempt(a).Info("attempt stalled")
			s.hold(ctx, a)
			continue
		case errors.Is(lastErr, errPaused):
			s.pause(ctx, a)
			continue
		}
		lastErr = s.finish(ctx, a, lastErr)
		s.searchAfterExport(ctx)
		if lastErr == nil || ctx.Err() != nil || errors.Is(lastErr, errCallerWrite) {
			return lastErr
		}
		s.logAttempt(a).WithError(lastErr).Info("attempt ended early")
	}
}

// logAttempt returns a log entry with the fields of the attempt.
func (s *session) logAttempt(a *openAttempt) *log.Entry {
	return log.WithField("request", s.req.RequestID).WithField("endpoint", a.decision.Endpoint.Name).
		WithField("tokens", s.assembler.Next())
}

// finalError converts the last attempt's error into the caller's error.
func (s *session) finalError(ctx context.Context, err error) error {
	var writeErr *callerWriteError
	if errors.As(err, &writeErr) {
		return writeErr.err
	}
	return codeError(ctx, err, s.maybeExecuted, s.assembler.Next() > 0)
}

// prepareRetry reports whether another attempt may be made after err. It waits for the retry delay,
// except after a move or an attempt that has forwarded tokens. If no attempt may be made, it
// returns the completion's final error.
//
// These retries don't use the retry budget: one after a planned move, which isn't a fault; one
// after an attempt that has forwarded tokens; and one of a stream that has begun or was exported,
// after an attempt that no engine executed. The budget limits retries that repeat the same work, and
// a stream that has begun must not be cut because other requests failed.
func (s *session) prepareRetry(ctx context.Context, err error) (bool, error) {
	delay := time.Duration(s.attempts) * placementRetryDelay
	if s.search != nil && notExecuted(err) {
		s.searchRefusals++
	}
	switch {
	case s.attempts-s.searchRefusals >= maxAttempts:
		return false, err
	case errors.Is(err, errMoved), s.assembler.Next() > s.attemptStart:
		s.failedTries = 0
		return true, err
	case (s.assembler.Next() > 0 || s.exported) && notExecuted(err):
		// Delay the retry: an engine that refuses work, for example after a crash, must be marked
		// as unavailable before the maximum number of attempts is reached.
	default:
		s.failedTries++
		now := s.dispatcher.clk.Now()
		decision := s.dispatcher.retries.DecideRetry(now, retry.Attempt{
			Pool: s.pool.Name, Caller: s.req.Name, Idempotent: true, Tries: s.failedTries,
			Deadline: deadlineOf(ctx, s.dispatcher.clk), Err: codeError(ctx, err, !notExecuted(err), false),
		})
		if !decision.Retry {
			return false, decision.Err
		}
		delay = decision.Delay
	}
	sleep(ctx, delay)
	return ctx.Err() == nil, err
}

// measurement returns what the request showed about the pool's rates.
func (s *session) measurement(err error) admit.Measurement {
	m := admit.Measurement{OK: err == nil, OutputTokens: s.assembler.Next()}
	if s.firstTokenAt > 0 {
		m.FirstToken = s.firstTokenAt.Sub(s.admittedAt)
		m.Step = s.meanTokenInterval()
	}
	return m
}

// meanTokenInterval returns the mean time between tokens.
func (s *session) meanTokenInterval() time.Duration {
	n := s.assembler.Next() - 1
	if n < 1 {
		return 0
	}
	return s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(n)
}

// recordTotals adds the ended completion to the running totals.
func (s *session) recordTotals(ctx context.Context, err error) {
	s.dispatcher.streams.dropped.Add(uint64(s.assembler.Dropped()))
	s.dispatcher.counts.add(s.pool.Name, func(t *Totals) {
		t.OutputTokens += uint64(s.assembler.Next())
		if err == nil && ctx.Err() == nil {
			t.OnTime++
		}
	})
}

// engine returns the engine that the router chose, nil if the sheet no longer names it.
func (s *session) engine(decision *route.Decision) *fleet.Engine {
	return s.dispatcher.fleet.Engine(decision.Endpoint.Name)
}

// earlierDeadline returns the earlier of deadline and maxWait from now; a maxWait of 0 sets no
// limit.
func earlierDeadline(deadline time.Time, maxWait time.Duration) time.Time {
	if limit := time.Now().Add(maxWait); maxWait > 0 && limit.Before(deadline) {
		return limit
	}
	return deadline
}

// deadlineOf returns the deadline of ctx on clk, or defaultDeadline from now if ctx has none.
func deadlineOf(ctx context.Context, clk clock.Clock) clock.Time {
	if at, ok := ctx.Deadline(); ok {
		return clk.Now().Add(time.Until(at))
	}
	return clk.Now().Add(defaultDeadline)
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
	modelFound := false
	for i := range s.Pools {
		p := &s.Pools[i]
		if p.Model != g.Model || !hasAdapter(p, g.Adapter) {
			continue
		}
		modelFound = true
		if g.Version == "" || g.Version == p.Version {
			return p, nil
		}
	}
	if modelFound {
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
