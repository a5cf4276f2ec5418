package commit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/fault"
	"fescuestand/internal/wire"
)

// Committer runs commits for the callers of one process.
type Committer struct {
	opts       Options
	table      *Table
	journal    Journal
	dispatcher Dispatcher

	ctx      context.Context // canceled when Close stops waiting for records
	cancel   context.CancelFunc
	pending  sync.WaitGroup // running commits and records still to be appended
	slots    chan struct{}  // one per running commit
	attempts atomic.Uint64

	mu         sync.Mutex
	inProgress map[string]chan struct{} // closed when this process's commit of the key ends
}

// New returns a Committer. Close must be called after the last Do has returned.
func New(opts Options, t *Table, j Journal, d Dispatcher) *Committer {
	opts.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Committer{
		opts: opts, table: t, journal: j, dispatcher: d, ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, opts.MaxPending), inProgress: map[string]chan struct{}{},
	}
}

// Close waits until every outcome and void is in the log, or until ctx ends. An outcome that isn't
// recorded by then is unknown to retries, which never run the commit again.
func (c *Committer) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	c.cancel()
	<-done
}

// Pending returns the number of running commits.
func (c *Committer) Pending() int { return len(c.slots) }

// Do runs r at most once, over all processes and all requests with its key. The error is a
// *code.Error, whose Run is not-run only if neither this request nor, for a retry, any earlier one
// was executed.
//
// ctx carries the caller's deadline. A disconnected caller doesn't cancel a commit that was
// dispatched, because its retry will need the outcome. Where ctx is canceled with a *code.Error as its cause, the caller
// still waits: Do returns, and a dispatched commit goes on until Close stops waiting for it.
func (c *Committer) Do(ctx context.Context, r *Request) (Answer, error) {
	type result struct {
		ans Answer
		err error
	}
	done, dispatched := make(chan result, 1), make(chan struct{})
	go func() {
		res := result{err: unknownError("a fault has ended the commit")}
		defer func() {
			if f := recover(); f != nil {
				fault.Entry(log.WithField("key", r.Key), f).Error("commit failed")
			}
			done <- res
		}()
		res.ans, res.err = c.do(ctx, r, dispatched)
	}()
	refused, stop := refusalOf(ctx)
	defer stop()
	select {
	case res := <-done:
		return res.ans, res.err
	case <-refused:
	}
	select {
	case res := <-done:
		return res.ans, res.err
	case <-dispatched:
		return Answer{}, c.runningError("the VM that runs the commit shuts down")
	}
}

// refusalOf returns a channel that is closed when ctx is canceled with a *code.Error as its cause.
func refusalOf(ctx context.Context) (refused <-chan struct{}, stop func() bool) {
	ch := make(chan struct{})
	return ch, context.AfterFunc(ctx, func() {
		if _, ok := errors.AsType[*code.Error](context.Cause(ctx)); ok {
			close(ch)
		}
	})
}

// do runs r. It closes dispatched when an endpoint may have received the commit.
func (c *Committer) do(ctx context.Context, r *Request, dispatched chan<- struct{}) (Answer, error) {
	for {
		c.awaitOutcome(ctx, r)
		ans, done, err := c.answerFromTable(r)
		if done {
			return ans, err
		}
		release, busy := c.reserveKey(r.Key)
		if release != nil {
			defer release()
			return c.propose(ctx, r, dispatched)
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return Answer{}, c.runningError("another sending of the key is under way on this VM")
		}
	}
}

// reserveKey reserves key for one commit of this process at a time. During a storm of retries this
// avoids appending intents that would lose. If the key is reserved already, busy is closed when the
// reservation ends.
func (c *Committer) reserveKey(key string) (release func(), busy chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.inProgress[key]; ok {
		return nil, ch
	}
	ch := make(chan struct{})
	c.inProgress[key] = ch
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.inProgress, key)
		close(ch)
	}, nil
}

// propose appends an intent and continues according to its verdict in the log.
func (c *Committer) propose(ctx context.Context, r *Request, dispatched chan<- struct{}) (Answer, error) {
	if err := c.acquireSlot(r); err != nil {
		return Answer{}, err
	}
	defer func() { <-c.slots }()
	c.pending.Add(1)
	defer c.pending.Done()

	p := &proposal{
		req:         r,
		dispatched:  dispatched,
		attempt:     fmt.Sprintf("%s.%d", c.opts.Writer, c.attempts.Add(1)),
		appendStart: c.opts.Clock.Now(),
	}
	dispatchCtx, cancel := context.WithTimeout(ctx, c.opts.DispatchWithin)
	defer cancel()
	offset, err := c.journal.Append(dispatchCtx, p.intent())
	if neverAppended(err) {
		return Answer{}, c.appendError(r, err)
	}
	p.offset = offset
	return c.afterAppend(ctx, dispatchCtx, p, err)
}

// proposal is one intent of this process.
type proposal struct {
	req         *Request
	dispatched  chan<- struct{} // closed by dispatchWinner
	attempt     string
	appendStart clock.Time // time before the append
	offset      uint64     // 0 if the append's answer was lost
}

func (p *proposal) intent() *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Intent{Intent: &wire.Intent{
		Key: p.req.Key, Attempt: p.attempt, BodyHash: p.req.hash(),
		Service: p.req.Service, Operation: p.req.Operation,
		IssuedMs: p.req.Issued.UnixMilli(),
	}}}
}

// neverAppended reports whether err means that an entry is not in the log and never will be.
func neverAppended(err error) bool {
	return errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused)
}

// afterAppend reads the intent back and dispatches the commit if the intent won. It also does so if
// the append's answer was lost, because the append may have taken effect. If the verdict or the
// dispatch comes too late, the commit is abandoned.
func (c *Committer) afterAppend(ctx, dispatchCtx context.Context, p *proposal, appendErr error) (Answer, error) {
	verdict := Won
	if !c.opts.disabled.readBack {
		verdict, _ = c.table.Verdict(dispatchCtx, p.req.Key, p.attempt)
	}
	switch {
	case verdict == Lost:
		return c.answerLosingIntent(ctx, p.req)
	case verdict == Won && c.checkDispatchTime(p) == nil:
		return c.dispatchWinner(ctx, p)
	}
	return Answer{}, c.abandon(ctx, p, appendErr)
}

// checkDispatchTime returns an error if it is too late to dispatch p. It is called immediately
// before each dispatch.
//
// A process that was frozen after its append (SIGSTOP, a suspended VM) may resume long after its
// caller and all other entries stopped waiting for the key. The boot-time clock includes the
// suspended time, so that the process detects this and voids its intent. If it freezes between this
// check and the send, the commit still runs at most once, only late, because no other process may
// dispatch the key.
func (c *Committer) checkDispatchTime(p *proposal) error {
	if c.opts.disabled.timeLimit {
		return nil
	}
	if d := c.opts.Clock.Now().Sub(p.appendStart); d > c.opts.DispatchWithin {
		return fmt.Errorf("%w: %v after its intent the time to dispatch is over", driver.ErrNotSent, d)
	}
	return nil
}

// awaitOutcome waits for the outcome of the key's first use, for at most ReplayTimeout, if that use
// is running. Most commits end within their caller's deadline, and the wait saves the caller
// another retry.
func (c *Committer) awaitOutcome(ctx context.Context, r *Request) {
	e := c.table.Lookup(r.Key)
	if e.Winner == nil || e.Outcome != nil || e.Winner.Hash != r.hash() || c.timedOut(e) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReplayTimeout)
	defer cancel()
	// The caller reads the result from the table.
	_, _ = c.table.AwaitOutcome(ctx, r.Key)
}

// timedOut reports whether the first use has had no outcome for so long that its execution counts
// as unknown.
func (c *Committer) timedOut(e KeyStatus) bool {
	return c.opts.Clock.Now().Sub(e.WinnerReadAt) >= c.opts.RunningTimeout
}

// answerLosingIntent answers a request whose intent came after another one of the key.
func (c *Committer) answerLosingIntent(ctx context.Context, r *Request) (Answer, error) {
	c.awaitOutcome(ctx, r)
	ans, done, err := c.answerFromTable(r)
	if done {
		return ans, err
	}
	return Answer{}, c.runningError("another sending of the key was ahead and was given up")
}

// Status returns the recorded outcome of key, as a retry would get it.
func (c *Committer) Status(key string) (Answer, error) {
	if !c.table.Ready() {
		return Answer{}, c.notReadyError().WithRun(code.Unknown)
	}
	e := c.table.Lookup(key)
	if e.Winner == nil {
		return Answer{}, code.New(code.CommitNotFound, "no commit with key %q within the window", key).WithRun(code.Unknown)
	}
	return c.replayOutcome(e)
}

// Window returns the maximum age at which a key may run.
func (c *Committer) Window() time.Duration {
	return min(c.opts.Window(), c.opts.MaxWindow)
}
