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

// maxReadRecords bounds the records of one read: a starting process reads a day's changes in a few
// hundred calls, and one read fits in memory.
const maxReadRecords = 256

// Tail delivers the items of a stream in order and each once, from offset from (0 or 1 means the
// oldest), until ctx ends or fn fails. The items of one record are delivered in the same call.
// Errors of the log service don't end it. If records expire before they are read, it delivers a Gap
// marker and continues with the oldest retained record.
func (c *Client) Tail(ctx context.Context, stream string, from uint64, fn func([]Item) error) error {
	return c.TailWith(ctx, stream, from, fn, func() error { return nil })
}

// TailWith is Tail that also calls afterRead after every successful read of the log, whether it
// delivered items or not; an error of afterRead ends it like one of fn.
func (c *Client) TailWith(ctx context.Context, stream string, from uint64, fn func([]Item) error, afterRead func() error) error {
	t := &tail{c: c, stream: stream, next: max(from, 1), fn: fn}
	for try := 0; ; {
		progressed, err := t.read(ctx)
		if err == nil && t.callbackErr == nil {
			t.callbackErr = afterRead()
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if t.callbackErr != nil {
			return t.callbackErr
		}
		c.setHealth(err)
		if err == nil || progressed {
			try = 0
			continue
		}
		if try == 0 {
			log.WithError(err).WithField("stream", stream).Warn("log read failed, retrying")
		}
		if !c.backoff(ctx, try) {
			return context.Canceled
		}
		try++
	}
}

type tail struct {
	c           *Client
	stream      string
	next        uint64
	fn          func([]Item) error
	callbackErr error // error of fn or afterRead
	staleLogged bool  // the current sequence of stale reads was logged
	atEnd       bool  // the newest read reached the end of the stream, so the next may wait
}

// read delivers the result of one read of the log.
func (t *tail) read(ctx context.Context) (progressed bool, err error) {
	opt := &t.c.opt
	callCtx, cancel := context.WithTimeout(ctx, opt.PollWait+opt.AttemptTimeout)
	defer cancel()
	var wait time.Duration
	if t.atEnd {
		wait = opt.PollWait
	}
	page, err := opt.Log.Read(callCtx, t.stream, t.next, maxReadRecords, wait)
	if page.First > t.next && (err == nil || errors.Is(err, driver.ErrExpired)) {
		return true, t.skipExpired(page)
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
		if t.callbackErr = t.fn(items); t.callbackErr != nil {
			return false, t.callbackErr
		}
	}
	t.atEnd = t.next >= page.End
	t.c.setProgress(t.stream, t.next, page)
	if t.next == before && len(page.Records) > 0 {
		return false, t.gapError(page.Records[0].Offset)
	}
	return true, nil
}

func (t *tail) skipExpired(page driver.Page) error {
	log.WithField("stream", t.stream).WithField("code", int(code.LogExpired)).
		WithField("wanted", t.next).WithField("first", page.First).Warn("records expired before they were read")
	t.next = page.First
	if t.callbackErr = t.fn([]Item{{Offset: page.First, Gap: true}}); t.callbackErr != nil {
		return t.callbackErr
	}
	t.c.setProgress(t.stream, t.next, page)
	return nil
}

// checkStale rejects an answer that is older than what was already read.
//
// Failure: a lagging replica of the log service answers a read with an older end. A reader that
// accepted it would see an accepted sheet or a lease disappear. Offsets only grow, so an end below
// the next offset proves that the answer is old; it is ignored and the read is retried.
func (t *tail) checkStale(page driver.Page) error {
	if page.End >= t.next {
		t.staleLogged = false
		return nil
	}
	err := code.New(code.LogStaleRead, "stream %s ends at %d, already read up to %d", t.stream, page.End, t.next)
	t.logStale(err)
	return err
}

func (t *tail) gapError(at uint64) error {
	err := code.New(code.LogStaleRead, "stream %s lacks offsets %d to %d", t.stream, t.next, at-1)
	t.logStale(err)
	return err
}

func (t *tail) logStale(err error) {
	if !t.staleLogged {
		log.WithError(err).WithField("code", int(code.LogStaleRead)).Warn("stale read ignored")
	}
	t.staleLogged = true
}

// decode returns the items of the records that follow without a gap. Otherwise an incomplete read
// that lacks a record in the middle would make the state of this reader differ from that of all
// others.
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
