package commit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fescuestand/internal/clock"
	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// Committer runs commits for the callers of one process.
type Committer struct {
	o       Options
	table   *Table
	journal Journal
	disp    Dispatcher

	ctx     context.Context // ends when the records of ended commits are given up
	cancel  context.CancelFunc
	pending sync.WaitGroup // commits under way and records still to be written
	slots   chan struct{}  // one per commit under way
	attempt atomic.Uint64

	mu    sync.Mutex
	local map[string]chan struct{} // keys with a commit of this process under way
}

// New returns a Committer. Close must be called after the last Do.
func New(o Options, t *Table, j Journal, d Dispatcher) *Committer {
	o.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Committer{
		o: o, table: t, journal: j, disp: d, ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, o.MaxPending), local: map[string]chan struct{}{},
	}
}

// Close waits until every outcome and void is in the log, or until ctx ends.
// What isn't recorded then is unknown to resends, never run again.
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

// Pending returns the number of commits under way.
func (c *Committer) Pending() int { return len(c.slots) }

// Do runs r at most once, over all processes and sendings of its key. The
// error is a *code.Error, whose Run says not-run only if neither this sending
// nor, for a resend, any earlier one was executed.
//
// ctx carries the caller's deadline. A caller that goes away doesn't stop a
// commit that was dispatched: its resend will want the outcome.
func (c *Committer) Do(ctx context.Context, r *Request) (Answer, error) {
	for {
		c.awaitFirst(ctx, r)
		ans, done, err := c.fromTable(r)
		if done {
			return ans, err
		}
		release, busy := c.enter(r.Key)
		if release != nil {
			defer release()
			return c.first(ctx, r)
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return Answer{}, c.running("another sending of the key is under way on this VM")
		}
	}
}

// enter reserves key for one commit of this process at a time, which saves the
// intents that a storm of resends would append only to lose.
func (c *Committer) enter(key string) (release func(), busy chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.local[key]; ok {
		return nil, ch
	}
	ch := make(chan struct{})
	c.local[key] = ch
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.local, key)
		close(ch)
	}, nil
}

// first appends an intent and goes on as the log decides.
func (c *Committer) first(ctx context.Context, r *Request) (Answer, error) {
	if err := c.admit(r); err != nil {
		return Answer{}, err
	}
	defer func() { <-c.slots }()
	c.pending.Add(1)
	defer c.pending.Done()

	p := &proposal{
		req:     r,
		attempt: fmt.Sprintf("%s.%d", c.o.Writer, c.attempt.Add(1)),
		start:   c.o.Clock.Now(),
	}
	limited, cancel := context.WithTimeout(ctx, c.o.DispatchWithin)
	defer cancel()
	offset, err := c.journal.Append(limited, p.intent())
	if neverAppended(err) {
		return Answer{}, c.logDown(r, err)
	}
	p.offset = offset
	return c.afterAppend(ctx, limited, p, err)
}

// proposal is one intent of this process.
type proposal struct {
	req     *Request
	attempt string
	start   clock.Time // before the append
	offset  uint64     // 0 if the append's answer was lost
}

func (p *proposal) intent() *wire.Entry {
	return &wire.Entry{Kind: &wire.Entry_Intent{Intent: &wire.Intent{
		Key: p.req.Key, Attempt: p.attempt, BodyHash: p.req.hash(),
		Service: p.req.Service, Operation: p.req.Operation,
		IssuedMs: p.req.Issued.UnixMilli(),
	}}}
}

// neverAppended tells that an entry is not in the log and never will be.
func neverAppended(err error) bool {
	return errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused)
}

// afterAppend reads the intent back, also when the append's answer was lost:
// it may have taken effect, and then the commit goes on as if nothing happened.
func (c *Committer) afterAppend(ctx, limited context.Context, p *proposal, appendErr error) (Answer, error) {
	v := Won
	if !c.o.off.readBack {
		v, _ = c.table.Verdict(limited, p.req.Key, p.attempt)
	}
	switch {
	case v == Lost:
		return c.behind(ctx, p.req)
	case v == Won && c.inTime(p) == nil:
		return c.run(ctx, p)
	}
	return Answer{}, c.giveUp(ctx, p, appendErr)
}

// inTime is asked immediately before each dispatch. A process that was frozen
// after its append (SIGSTOP, a suspended VM) wakes when its caller and all
// others have long given the key up; the boot clock counts the time it slept,
// so that it sees this and voids instead. Should it freeze between this check
// and the send, the commit still runs at most once, only late: no other may
// dispatch the key.
func (c *Committer) inTime(p *proposal) error {
	if c.o.off.timeLimit {
		return nil
	}
	if d := c.o.Clock.Now().Sub(p.start); d > c.o.DispatchWithin {
		return fmt.Errorf("%w: %v after its intent the time to dispatch is over", driver.ErrNotSent, d)
	}
	return nil
}

// awaitFirst waits a while for the outcome of the key's first use, if that is
// under way: most commits end within their caller's deadline, and the wait
// spares the caller another resend.
func (c *Committer) awaitFirst(ctx context.Context, r *Request) {
	e := c.table.Lookup(r.Key)
	if e.Winner == nil || e.Outcome != nil || e.Winner.Hash != r.hash() || c.lost(e) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.ReplayWait)
	defer cancel()
	// What the wait has brought shows in the table.
	_, _ = c.table.AwaitOutcome(ctx, r.Key)
}

// lost tells that a first use without an outcome is taken for unknown.
func (c *Committer) lost(e Entry) bool {
	return c.o.Clock.Now().Sub(e.Seen) >= c.o.RunningFor
}

// behind answers a sending that found another intent ahead of its own.
func (c *Committer) behind(ctx context.Context, r *Request) (Answer, error) {
	c.awaitFirst(ctx, r)
	ans, done, err := c.fromTable(r)
	if done {
		return ans, err
	}
	return Answer{}, c.running("another sending of the key was ahead and was given up")
}

// Status returns the recorded outcome of key: what a resend would get.
func (c *Committer) Status(key string) (Answer, error) {
	if !c.table.Ready() {
		return Answer{}, c.notReady().WithRun(code.Unknown)
	}
	e := c.table.Lookup(key)
	if e.Winner == nil {
		return Answer{}, code.New(code.CommitNotFound, "no commit with key %q within the window", key).WithRun(code.Unknown)
	}
	return c.replay(e)
}

// Window returns the age up to which a key may run.
func (c *Committer) Window() time.Duration {
	return min(c.o.Window(), c.o.MaxWindow)
}
