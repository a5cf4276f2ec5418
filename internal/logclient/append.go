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
	// maxBatch bounds one append, in bytes. A larger single one goes alone.
	maxBatch = 256 << 10
	// Waits between tries are drawn between half and the whole of a bound that
	// doubles, so that processes don't come back to the log in step.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// queue carries the appends of one stream.
type queue struct {
	c      *Client
	stream string

	mu      sync.Mutex
	pending []*call
	flying  bool
	failing time.Time // first failure of the append on its way; zero if none
	resting []*call   // batch between two tries, while none may be in the log
	seq     uint64    // last number that may have reached the log
}

// call is one caller's entries.
type call struct {
	entries []*wire.Entry
	size    int
	seq     uint64 // 0 until it is on its way
	done    chan outcome
}

type outcome struct {
	receipt Receipt
	err     error
}

func (q *queue) append(ctx context.Context, entries []*wire.Entry) (Receipt, error) {
	cl := &call{entries: entries, done: make(chan outcome, 1)}
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
		return q.leave(cl, ctx.Err())
	}
}

func (q *queue) enqueue(ctx context.Context, cl *call) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := errors.Join(ctx.Err(), q.c.ctx.Err()); err != nil {
		return code.Wrap(code.LogDown, err, "append to %s not begun", q.stream)
	}
	if q.flying && !q.failing.IsZero() && time.Since(q.failing) > q.c.opt.FailFastAfter {
		return code.New(code.LogDown, "appends to %s fail", q.stream).WithRetryAfter(q.c.opt.AppendTimeout)
	}
	q.pending = append(q.pending, cl)
	if !q.flying {
		q.flying = true
		q.c.wg.Go(q.fly)
	}
	return nil
}

// leave ends a caller's wait. Once its entries are on their way nobody can
// say what becomes of them.
func (q *queue) leave(cl *call, cause error) (Receipt, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case o := <-cl.done:
		return o.receipt, o.err
	default:
	}
	if i := slices.Index(q.pending, cl); i >= 0 {
		q.pending = slices.Delete(q.pending, i, i+1)
		if q.failing.IsZero() {
			return Receipt{}, code.Wrap(code.CommitLogBudget, cause, "append to %s not begun in time", q.stream)
		}
		return Receipt{}, code.Wrap(code.LogDown, cause, "append to %s not begun in time", q.stream)
	}
	if i := slices.Index(q.resting, cl); i >= 0 {
		q.resting = slices.Delete(q.resting, i, i+1)
		return Receipt{}, code.Wrap(code.LogDown, cause, "append to %s refused until now, and withdrawn", q.stream)
	}
	return Receipt{Seq: cl.seq}, lost(cause, q.stream)
}

func lost(cause error, stream string) error {
	return code.Wrap(code.LogLostAnswer, cause, "append to %s", stream).WithRun(code.Unknown)
}

// fly sends batches until none is waiting.
func (q *queue) fly() {
	for {
		err := q.c.limit.Wait(q.c.ctx)
		batch := q.take()
		if len(batch) == 0 {
			return
		}
		if err != nil {
			q.finish(batch, outcome{err: code.Wrap(code.LogDown, err, "append to %s not begun", q.stream)}, false)
			continue
		}
		q.finish(q.send(batch))
	}
}

// take moves the next batch out of the waiting ones, and ends the flight when
// there is none.
func (q *queue) take() []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.pending) && (n == 0 || size+q.pending[n].size <= maxBatch) {
		size += q.pending[n].size
		n++
	}
	batch := slices.Clone(q.pending[:n])
	q.pending = slices.Delete(q.pending, 0, n)
	q.flying = n > 0
	for _, cl := range batch {
		cl.seq = q.seq + 1
	}
	return batch
}

// finish tells the batch's callers. The number is used up as soon as a byte
// may have reached the log.
func (q *queue) finish(batch []*call, o outcome, mayBeThere bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if mayBeThere {
		q.seq++
	}
	if len(batch) == 0 {
		return // all have left: the log still fails, and the next append finds out
	}
	q.failing = time.Time{}
	o.receipt.Seq = batch[0].seq
	for _, cl := range batch {
		cl.done <- o
	}
}

// send tries one batch until it is in, or is given up. It returns those who
// still wait for the outcome.
//
// Failure: the log applies an append and its answer is lost. Sent again under
// a new number it would count twice; reported as not written it would be taken
// for safe to repeat. From the first such try on, every try carries the same
// bytes with the same number, so that readers drop the copies, and the outcome
// can only be "written" or "unknown".
//
// As long as each try was certainly refused, as in a plain outage, a caller may
// leave between two tries and knows that its entries were not written: they are
// taken out before the next one.
func (q *queue) send(batch []*call) (left []*call, o outcome, mayBeThere bool) {
	var data []byte
	started := time.Now()
	for try := 0; ; try++ {
		if !mayBeThere {
			var err error
			if data, err = q.encode(batch); err != nil {
				return batch, outcome{err: code.Wrap(code.Internal, err, "encoding a record")}, false
			}
		}
		offset, err := q.attempt(data)
		q.c.setHealth(err)
		if err == nil {
			return batch, outcome{receipt: Receipt{Offset: offset}}, true
		}
		mayBeThere = mayBeThere || !certainlyAbsent(err)
		q.markFailing(err, try)
		if !mayBeThere {
			q.rest(batch)
		}
		again := time.Since(started) <= q.c.opt.AppendTimeout && q.c.pause(q.c.ctx, try)
		if !mayBeThere {
			batch = q.rest(nil)
		}
		if !again || len(batch) == 0 {
			return batch, q.givenUp(err, mayBeThere), mayBeThere
		}
	}
}

func (q *queue) encode(batch []*call) ([]byte, error) {
	var entries []*wire.Entry
	for _, cl := range batch {
		entries = append(entries, cl.entries...)
	}
	return fold.Encode(q.c.opt.Writer, q.c.opt.VM, batch[0].seq, entries)
}

// rest puts a batch where its callers may leave it, and returns what is left
// of the one that was there.
func (q *queue) rest(batch []*call) (left []*call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	left, q.resting = q.resting, batch
	return left
}

func (q *queue) givenUp(err error, mayBeThere bool) outcome {
	if mayBeThere {
		return outcome{err: lost(err, q.stream)}
	}
	return outcome{err: code.Wrap(code.LogDown, err, "append to %s", q.stream).WithRetryAfter(q.c.opt.AppendTimeout)}
}

func (q *queue) attempt(data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(q.c.ctx, q.c.opt.AttemptTimeout)
	defer cancel()
	return q.c.opt.Log.Append(ctx, q.stream, data)
}

func certainlyAbsent(err error) bool {
	return errors.Is(err, driver.ErrNotSent) || errors.Is(err, driver.ErrRefused)
}

func (q *queue) markFailing(err error, try int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failing.IsZero() {
		q.failing = time.Now()
	}
	if try == 0 {
		log.WithError(err).WithField("stream", q.stream).WithField("code", int(code.LogLostAnswer)).Warn("append failed, trying again")
	}
}

// pause waits before try+1; false means that ctx or the client ended.
func (c *Client) pause(ctx context.Context, try int) bool {
	d := backoffMax
	if try < 6 {
		d = min(backoffMin<<try, backoffMax)
	}
	t := time.NewTimer(d/2 + rand.N(d/2))
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
