package logclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
	"fescuestand/internal/wire"
)

const (
	// maxBatchBytes bounds one append. A single larger one is sent alone.
	maxBatchBytes = 256 << 10
	// The delay before a retry is random, between half and all of a bound that doubles each time,
	// so that processes don't retry in step.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// queue batches the appends of one stream.
type queue struct {
	c      *Client
	stream string

	mu           sync.Mutex
	pending      []*appendCall
	sending      bool
	failingSince time.Time     // first failure of the append in flight; zero if none
	withdrawable []*appendCall // batch between two attempts, while none of them can be in the log
	seq          uint64        // last number that may have reached the log
}

// appendCall holds the entries of one caller.
type appendCall struct {
	entries []*wire.Entry
	size    int
	seq     uint64 // 0 until it is sent
	done    chan outcome
}

type outcome struct {
	receipt Receipt
	err     error
}

func (q *queue) append(ctx context.Context, entries []*wire.Entry) (Receipt, error) {
	cl := &appendCall{entries: entries, done: make(chan outcome, 1)}
	for _, e := range entries {
		cl.size += proto.Size(e)
	}
	if err := q.enqueue(ctx, cl); err != nil {
		return Receipt{}, err
	}
	select {
	case o := <-cl.done:
		return o.receipt, o.err
	case <-ctx.Done():
		return q.withdraw(cl, ctx.Err())
	}
}

func (q *queue) enqueue(ctx context.Context, cl *appendCall) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := errors.Join(ctx.Err(), q.c.ctx.Err()); err != nil {
		return code.Wrap(code.LogDown, err, "append to %s not begun", q.stream)
	}
	if q.sending && !q.failingSince.IsZero() && time.Since(q.failingSince) > q.c.opt.FailFastAfter {
		return code.New(code.LogDown, "appends to %s fail", q.stream).WithRetryAfter(q.c.opt.AppendTimeout)
	}
	q.pending = append(q.pending, cl)
	if !q.sending {
		q.sending = true
		q.c.wg.Go(q.sendLoop)
	}
	return nil
}

// withdraw ends a caller's wait. Entries that weren't sent, or whose attempts so far were all
// certainly refused, are removed between two attempts; the outcome of others is unknown.
func (q *queue) withdraw(cl *appendCall, cause error) (Receipt, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case o := <-cl.done:
		return o.receipt, o.err
	default:
	}
	if i := slices.Index(q.pending, cl); i >= 0 {
		q.pending = slices.Delete(q.pending, i, i+1)
		if q.failingSince.IsZero() {
			return Receipt{}, code.Wrap(code.CommitLogBudget, cause, "append to %s not begun in time", q.stream)
		}
		return Receipt{}, code.Wrap(code.LogDown, cause, "append to %s not begun in time", q.stream)
	}
	if i := slices.Index(q.withdrawable, cl); i >= 0 {
		q.withdrawable = slices.Delete(q.withdrawable, i, i+1)
		return Receipt{}, code.Wrap(code.LogDown, cause, "append to %s refused until now, and withdrawn", q.stream)
	}
	return Receipt{Seq: cl.seq}, unknownOutcome(cause, q.stream)
}

func unknownOutcome(cause error, stream string) error {
	return code.Wrap(code.LogLostAnswer, cause, "append to %s", stream).WithRun(code.Unknown)
}

// sendLoop sends batches until none is pending.
func (q *queue) sendLoop() {
	for {
		err := q.c.limiter.Wait(q.c.ctx)
		batch := q.nextBatch()
		if len(batch) == 0 {
			return
		}
		if err != nil {
			q.complete(batch, outcome{err: code.Wrap(code.LogDown, err, "append to %s not begun", q.stream)}, false)
			continue
		}
		q.complete(q.sendBatch(batch))
	}
}

// nextBatch removes the next batch from the pending calls, and marks the queue as idle if there is
// none.
func (q *queue) nextBatch() []*appendCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.pending) && (n == 0 || size+q.pending[n].size <= maxBatchBytes) {
		size += q.pending[n].size
		n++
	}
	batch := slices.Clone(q.pending[:n])
	q.pending = slices.Delete(q.pending, 0, n)
	q.sending = n > 0
	for _, cl := range batch {
		cl.seq = q.seq + 1
	}
	return batch
}

// complete passes the outcome to the callers of a batch. The sequence number is consumed as soon as
// any byte may have reached the log.
func (q *queue) complete(batch []*appendCall, o outcome, maybeWritten bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if maybeWritten {
		q.seq++
	}
	if len(batch) == 0 {
		return // all callers have left: the log still fails, which the next append detects
	}
	q.failingSince = time.Time{}
	o.receipt.Seq = batch[0].seq
	for _, cl := range batch {
		cl.done <- o
	}
}

// sendBatch retries one batch until it is written or its time is up. It returns the calls that
// still wait for the outcome.
//
// Failure: the log applies an append and its answer is lost. If it were sent again under a new
// number it would be applied twice; if it were reported as not written, its caller would assume
// that a retry is safe. Therefore, from the first attempt that may have been written, every attempt
// sends the same bytes with the same number, so that readers drop the copies, and the outcome can
// only be "written" or "unknown".
//
// As long as every attempt was certainly refused, as in a plain outage, a caller may withdraw
// between two attempts and is certain that its entries were not written: they are removed before
// the next attempt.
func (q *queue) sendBatch(batch []*appendCall) (waiting []*appendCall, o outcome, maybeWritten bool) {
	var data []byte
	started := time.Now()
	for try := 0; ; try++ {
		if !maybeWritten {
			var err error
			if data, err = q.encode(batch); err != nil {
				return batch, outcome{err: code.Wrap(code.Internal, err, "encoding a record")}, false
			}
		}
		offset, err := q.appendOnce(data)
		q.c.setHealth(err)
		if err == nil {
			return batch, outcome{receipt: Receipt{Offset: offset}}, true
		}
		maybeWritten = maybeWritten || !certainlyNotWritten(err)
		q.recordFailure(err, try)
		if !maybeWritten {
			q.setWithdrawable(batch)
		}
		retry := time.Since(started) <= q.c.opt.AppendTimeout && q.c.backoff(q.c.ctx, try)
		if !maybeWritten {
			batch = q.setWithdrawable(nil)
		}
		if !retry || len(batch) == 0 {
			return batch, q.failure(err, maybeWritten), maybeWritten
		}
	}
}

func (q *queue) encode(batch []*appendCall) ([]byte, error) {
	var entries []*wire.Entry
	for _, cl := range batch {
		entries = append(entries, cl.entries...)
	}
	return fold.Encode(q.c.opt.Writer, q.c.opt.VM, batch[0].seq, entries)
}

// setWithdrawable makes a batch withdrawable by its callers, and returns what remains of the
// previous one.
func (q *queue) setWithdrawable(batch []*appendCall) (remaining []*appendCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining, q.withdrawable = q.withdrawable, batch
	return remaining
}

func (q *queue) failure(err error, maybeWritten bool) outcome {
	if maybeWritten {
		return outcome{err: unknownOutcome(err, q.stream)}
	}
	return outcome{err: code.Wrap(code.LogDown, err, "append to %s", q.stream).WithRetryAfter(q.c.opt.AppendTimeout)}
}

func (q *queue) appendOnce(data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(q.c.ctx, q.c.opt.AttemptTimeout)
	defer cancel()
	return q.c.opt.Log.Append(ctx, q.stream, data)
}

func certainlyNotWritten(err error) bool {
	return errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused)
}

func (q *queue) recordFailure(err error, try int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failingSince.IsZero() {
		q.failingSince = time.Now()
	}
	if try == 0 {
		log.WithError(err).WithField("stream", q.stream).WithField("code", int(code.LogLostAnswer)).Warn("append failed, retrying")
	}
}

// backoff waits before attempt try+1; it returns false if ctx or the client ended.
func (c *Client) backoff(ctx context.Context, try int) bool {
	bound := backoffMax
	if try < 6 {
		bound = min(backoffMin<<try, backoffMax)
	}
	t := time.NewTimer(bound/2 + rand.N(bound/2))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-c.ctx.Done():
		return false
	}
}
