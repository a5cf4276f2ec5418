package logclient

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/fold"
)

// readLimit is the most records of one read: enough that a starter reads a
// day's changes in a few hundred calls, few enough for one read's memory.
const readLimit = 256

// Tail delivers a stream's items from offset from on, 1 or 0 for the oldest,
// in order and each once, until ctx ends or fn fails. Whole records are
// delivered at once. It survives every error of the log service. When records
// expire unread it delivers a Gap marker and goes on with the oldest kept.
func (c *Client) Tail(ctx context.Context, stream string, from uint64, fn func([]Item) error) error {
	return c.TailWith(ctx, stream, from, fn, func() error { return nil })
}

// TailWith is Tail that also calls each after every read of the log that went
// well, delivered or not; its error ends the tail like one of fn.
func (c *Client) TailWith(ctx context.Context, stream string, from uint64, fn func([]Item) error, each func() error) error {
	t := &tail{c: c, stream: stream, next: max(from, 1), fn: fn}
	for try := 0; ; {
		progressed, err := t.read(ctx)
		if err == nil && t.fatal == nil {
			t.fatal = each()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if t.fatal != nil {
			return t.fatal
		}
		c.setHealth(err)
		if err == nil || progressed {
			try = 0
			continue
		}
		if try == 0 {
			log.WithError(err).WithField("stream", stream).Warn("read of the log failed, trying again")
		}
		if !c.pause(ctx, try) {
			return context.Canceled
		}
		try++
	}
}

type tail struct {
	c      *Client
	stream string
	next   uint64
	fn     func([]Item) error
	fatal  error // of fn
	stale  bool  // the present run of stale reads was logged
	atEnd  bool  // the newest read left nothing unread: the next may wait
}

// read delivers what one call of the log gives.
func (t *tail) read(ctx context.Context) (progressed bool, err error) {
	opt := &t.c.opt
	callCtx, cancel := context.WithTimeout(ctx, opt.PollWait+opt.AttemptTimeout)
	defer cancel()
	var wait time.Duration
	if t.atEnd {
		wait = opt.PollWait
	}
	page, err := opt.Log.Read(callCtx, t.stream, t.next, readLimit, wait)
	if page.First > t.next && (err == nil || errors.Is(err, driver.ErrExpired)) {
		return true, t.jump(page)
	}
	if err != nil {
		return false, err
	}
	if err := t.checkStale(page); err != nil {
		return false, err
	}
	before := t.next
	items := t.decode(page.Records)
	if len(items) > 0 {
		if t.fatal = t.fn(items); t.fatal != nil {
			return false, t.fatal
		}
	}
	t.atEnd = t.next >= page.End
	t.c.setProgress(t.stream, t.next, page)
	if t.next == before && len(page.Records) > 0 {
		return false, t.hole(page.Records[0].Offset)
	}
	return true, nil
}

func (t *tail) jump(page driver.Page) error {
	log.WithField("stream", t.stream).WithField("code", int(code.LogExpired)).
		WithField("wanted", t.next).WithField("first", page.First).Warn("records expired unread")
	t.next = page.First
	if t.fatal = t.fn([]Item{{Offset: page.First, Gap: true}}); t.fatal != nil {
		return t.fatal
	}
	t.c.setProgress(t.stream, t.next, page)
	return nil
}

// checkStale refuses an answer from before what was already read.
//
// Failure: a replica of the log service that lags answers a read with an older
// end. A reader that believed it would see an accepted sheet or a lease
// vanish. Offsets only grow, so an end below the next offset proves the answer
// old; it is ignored and asked again.
func (t *tail) checkStale(page driver.Page) error {
	if page.End >= t.next {
		t.stale = false
		return nil
	}
	err := code.New(code.LogStaleRead, "stream %s ends at %d, already read up to %d", t.stream, page.End, t.next)
	t.logStale(err)
	return err
}

func (t *tail) hole(at uint64) error {
	err := code.New(code.LogStaleRead, "stream %s lacks offsets %d to %d", t.stream, t.next, at-1)
	t.logStale(err)
	return err
}

func (t *tail) logStale(err error) {
	if !t.stale {
		log.WithError(err).WithField("code", int(code.LogStaleRead)).Warn("stale read ignored")
	}
	t.stale = true
}

// decode returns the items of the records that follow without a hole. A
// shortened read that lacks a record in the middle would otherwise make this
// reader's state differ from everyone else's.
func (t *tail) decode(records []driver.Record) []Item {
	var out []Item
	for _, r := range records {
		if r.Offset < t.next {
			continue
		}
		if r.Offset > t.next {
			break
		}
		t.next++
		items, err := fold.Decode(r.Offset, r.Time, r.Data)
		if err != nil {
			log.WithError(err).WithField("stream", t.stream).WithField("code", int(code.LogBadRecord)).Error("record skipped")
			continue
		}
		out = append(out, items...)
	}
	return out
}
