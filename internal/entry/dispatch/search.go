package dispatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fescuestand/internal/driver"
)

const (
	// silenceTimeout is how long a stream that has begun may be without a token while other engines
	// are tried. The stream then ends.
	silenceTimeout = 10 * time.Second
	// maxOpen bounds the attempts of one stream that are open at the same time.
	maxOpen = 3
)

var (
	errContinued = errors.New("an earlier attempt has continued")
	errSilent    = fmt.Errorf("%w: no engine sends the next token", driver.ErrConnectionLost)
)

// search is the time in which a stream has no engine that sends: from the stall of its attempt, or
// from the move to another engine, until the next token.
//
// An engine that sends nothing may only pause, and no other engine may be able to take the stream.
// Stalled attempts are therefore kept open on standby while others are started. The attempt that
// sends the next token carries the stream on, and all others are ended then.
type search struct {
	ctx     context.Context // ends when an attempt on standby has continued, or after silenceTimeout
	cancel  context.CancelCauseFunc
	release context.CancelFunc
	standby []*openAttempt
	// paused is an attempt that could go on but isn't read, as the stream is to be moved. It carries the
	// stream on unless the next attempt does.
	paused *openAttempt
}

func newSearch(ctx context.Context) *search {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, release := context.WithTimeoutCause(ctx, silenceTimeout, errSilent)
	return &search{ctx: ctx, cancel: cancel, release: release}
}

// hold keeps the attempt open and ends the search once it has continued.
func (r *search) hold(a *openAttempt) {
	a.awaited = make(chan struct{})
	r.standby = append(r.standby, a)
	go func() {
		a.await()
		if a.continued {
			r.cancel(errContinued)
		}
	}()
}

// await receives the next token of an attempt on standby, or its end.
func (a *openAttempt) await() {
	defer close(a.awaited)
	t, more := <-a.pump.Tokens()
	if more {
		a.received = &t
	}
	a.continued = more || a.pump.Completed()
}

// hasEnded reports whether the attempt on standby has ended or continued.
func (a *openAttempt) hasEnded() bool {
	select {
	case <-a.awaited:
		return true
	default:
		return false
	}
}

// wait waits until an attempt on standby has continued and returns it, or nil if none does.
func (r *search) wait() *openAttempt {
	for _, a := range r.standby {
		select {
		case <-a.awaited:
		case <-r.ctx.Done():
		}
	}
	for _, a := range r.standby {
		if a.hasEnded() && a.continued {
			return a
		}
	}
	return nil
}

// searchContext returns the context in which the next token is awaited.
func (s *session) searchContext(ctx context.Context) context.Context {
	if s.search != nil {
		return s.search.ctx
	}
	return ctx
}

// hold keeps a stalled attempt open until another attempt has sent the next token. Its engines are
// chosen again only if there are no others.
func (s *session) hold(ctx context.Context, a *openAttempt) {
	s.exclude = append(s.exclude, a.decision.Endpoint)
	if a.decision.Prefill.Endpoint != nil && !a.pump.Opened() {
		s.exclude = append(s.exclude, a.decision.Prefill.Endpoint)
	}
	if s.search == nil {
		s.search = newSearch(ctx)
	}
	s.search.hold(a)
}

// finishBroken finishes the attempts on standby that have failed.
func (s *session) finishBroken(ctx context.Context) {
	s.search.standby = slices.DeleteFunc(s.search.standby, func(a *openAttempt) bool {
		broken := a.hasEnded() && !a.continued
		if broken {
			_ = s.finish(ctx, a, a.pump.Err())
		}
		return broken
	})
}

// pause keeps an attempt open, unread, until the next one has sent a token or failed.
func (s *session) pause(ctx context.Context, a *openAttempt) {
	s.search = newSearch(ctx)
	s.search.paused = a
}

// endSearch ends the attempts kept open, except the one that carries the stream on.
func (s *session) endSearch(ctx context.Context, carrier *openAttempt) {
	if s.search == nil {
		return
	}
	s.search.release()
	s.search.cancel(nil)
	for _, a := range s.search.standby {
		if a != carrier {
			_ = s.finish(ctx, a, errStall)
		}
	}
	if a := s.search.paused; a != nil && a != carrier {
		_ = s.finish(ctx, a, errMoved)
	}
	s.search = nil
}

// nextAttempt returns the attempt from which the next token is awaited: a new one, or one that was
// kept open.
func (s *session) nextAttempt(ctx context.Context, lastErr error) (*openAttempt, error) {
	if s.search == nil {
		return s.startAttempt(ctx, lastErr)
	}
	s.finishBroken(ctx)
	err := lastErr
	if s.search.mayStart() && (s.search.paused == nil || s.reserved != nil) {
		var a *openAttempt
		if a, err = s.startAttempt(ctx, lastErr); err == nil {
			return a, nil
		}
	}
	s.releaseReserved()
	a := s.search.paused
	if a == nil {
		a = s.search.wait()
	}
	if a == nil {
		return nil, err
	}
	s.carryOn(ctx, a)
	s.logAttempt(a).Info("earlier attempt continued")
	return a, nil
}

// mayStart reports whether another attempt may be started.
func (r *search) mayStart() bool { return r.ctx.Err() == nil && len(r.standby) < maxOpen }

// carryOn makes a the attempt whose tokens are forwarded.
func (s *session) carryOn(ctx context.Context, a *openAttempt) {
	s.carrier = a
	s.attemptStart = a.start
	s.assembler.BeginAttempt(a.attemptID)
	s.endSearch(ctx, a)
	s.kv, s.exported = nil, false
}
