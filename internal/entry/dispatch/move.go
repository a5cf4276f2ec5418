package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"fescuestand/internal/driver"
	"fescuestand/internal/policy/route"
	"fescuestand/internal/policy/suspect"
)

const (
	// exportTimeout bounds the export of a stream's KV cache. Beyond it, recomputing the cache on
	// another engine is cheaper.
	exportTimeout = time.Second
	// exportDrainTimeout is how long to wait for the remaining tokens of an exported stream, which
	// its engine has already ended.
	exportDrainTimeout = 200 * time.Millisecond
	// moveRetryDelay is the delay before a move is tried again that another engine has not taken. It
	// doubles with each try, as each may compute the KV cache again.
	moveRetryDelay = time.Second
)

var (
	// errPaused means that the stream is to be moved while its attempt is still open.
	errPaused = fmt.Errorf("%w, its KV cache is not exported", errMoved)
	// errCompleted means that the completion ended before the move.
	errCompleted = errors.New("completed before the move")
)

// moveState is the state of an attempt's move to another engine.
type moveState struct {
	requested <-chan struct{}  // closed when a planned change needs the move
	due       <-chan time.Time // the next try
	delay     time.Duration    // before the next try
	backoff   time.Duration    // after a try that another engine has not taken
}

// placement is an endpoint at which an attempt counts as in flight.
type placement struct {
	decision *route.Decision
	exposure *crashExposure
}

// moveStream moves the stream to another engine because of a planned change, if another one accepts
// work. It returns nil if the attempt goes on, and errCompleted if it has completed the stream.
//
// If the engine exports the KV cache, this ends the attempt: errMoved. Otherwise the attempt stays
// open until another one has sent the next token: errPaused.
func (s *session) moveStream(ctx context.Context, a *openAttempt) error {
	a.move.requested, a.move.due, a.move.delay = a.engine.MoveRequested(), nil, placementRetryDelay
	select {
	case <-a.move.requested:
	default:
		return nil // the change has been postponed
	}
	if s.search != nil || !a.pump.Opened() {
		return nil
	}
	next := s.reserve(a, true)
	if next == nil {
		return nil
	}
	kv, err := s.export(ctx, a)
	if err != nil {
		s.logAttempt(a).WithError(err).Info("KV cache not exported")
		s.releasePlace(next)
		return s.pauseForMove(a)
	}
	err = s.forwardExported(ctx, a)
	if errors.Is(err, errMoved) {
		s.kv, s.exported, s.reserved = &kv, true, next
	} else {
		s.releasePlace(next)
	}
	return err
}

func (s *session) export(ctx context.Context, a *openAttempt) (driver.KVHandle, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	return a.engine.Export(ctx, a.attemptID)
}

// pauseForMove reserves a place for the next attempt, which has to compute the KV cache.
func (s *session) pauseForMove(a *openAttempt) error {
	a.move.backoff = max(moveRetryDelay, 2*a.move.backoff)
	a.move.delay = a.move.backoff
	if s.reserved = s.reserve(a, false); s.reserved == nil {
		return nil
	}
	return errPaused
}

// forwardExported forwards the tokens that the engine generated before the export. Later ones are
// dropped with the attempt.
func (s *session) forwardExported(ctx context.Context, a *openAttempt) error {
	drain := time.NewTimer(exportDrainTimeout)
	defer drain.Stop()
	for {
		select {
		case t, more := <-a.pump.Tokens():
			if !more && a.pump.Completed() {
				return errCompleted
			}
			if !more {
				return errors.Join(s.flush(), errMoved)
			}
			if err := s.forward(ctx, a, t); err != nil {
				return err
			}
		case <-drain.C:
			return errors.Join(s.flush(), errMoved)
		}
	}
}

// reserve counts the stream's next attempt as in flight at another engine, if one accepts work now. A
// suspect stays where it is isolated until it is cleared.
func (s *session) reserve(a *openAttempt, cached bool) *placement {
	now := s.dispatcher.clk.Now()
	verdict := s.dispatcher.suspects.Judge(now, s.fingerprint)
	if verdict != suspect.NotSuspected {
		return nil
	}
	own := []*route.Endpoint{a.decision.Endpoint}
	decision, err := s.pickEndpoint(now, verdict, append(own, s.exclude...), cached)
	if err != nil {
		decision, err = s.pickEndpoint(now, verdict, own, cached)
	}
	if err != nil {
		log.WithError(err).WithField("request", s.req.RequestID).Debug("stream not moved")
		return nil
	}
	return s.occupy(now, verdict, decision)
}

// searchAfterExport begins the search for an engine that takes the exported stream. A completion
// without a token may wait until its deadline instead.
func (s *session) searchAfterExport(ctx context.Context) {
	if s.search == nil && s.reserved != nil && s.assembler.Next() > 0 {
		s.search = newSearch(ctx)
	}
}

// releaseReserved gives up the reserved place if there is one.
func (s *session) releaseReserved() {
	if s.reserved != nil {
		s.releasePlace(s.reserved)
		s.reserved = nil
	}
}

// releasePlace ends the count of an attempt that isn't started.
func (s *session) releasePlace(p *placement) {
	s.dispatcher.router.Done(s.dispatcher.clk.Now(), &p.decision.Dispatch, route.Canceled)
	s.dispatcher.releaseIsolation(p.decision.Endpoint.Name, s.fingerprint)
}

// takePlace returns the reserved place, or else a new one.
func (s *session) takePlace(ctx context.Context) (*placement, error) {
	if p := s.reserved; p != nil {
		s.reserved = nil
		return p, nil
	}
	return s.place(ctx)
}
