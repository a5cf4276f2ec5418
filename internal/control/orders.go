package control

import (
	"context"
	"errors"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// sendOrder sends one order. The driver checks the lease again just before it sends the last byte.
func (s *state) sendOrder(e *engine, o driver.Order) {
	e.orderInFlight = true
	if o.Kind == driver.OrderLoad {
		s.reserveLoad(e, o.Load)
		e.reservedLoad = driver.Loaded{}
	}
	conn, token := e.conn, e.token
	permit := s.c.permit(e, token)
	s.c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
		defer cancel()
		err := permit()
		if err != nil {
			err = errors.Join(driver.ErrNotSent, err)
		} else {
			err = conn.Order(ctx, o, permit)
		}
		_ = s.c.postBlocking(s.ctx, orderSent{e: e, token: token, order: o, err: err})
	})
}

// permit returns the lease check for orders under a token.
func (c *Control) permit(e *engine, token uint64) driver.Permit {
	return func() error {
		if c.opt.skipPermit {
			return nil
		}
		l := e.lease.Load()
		if l.token != token {
			return code.New(code.NoAuthority, "engine %s is not held under token %d any more", e.name, token)
		}
		return c.opt.Lease.Permit(c.opt.Clock.Now(), l.until)
	}
}

// orderSent is the result of sending an order.
type orderSent struct {
	e     *engine
	token uint64
	order driver.Order
	err   error
}

func (r orderSent) apply(s *state) {
	r.e.orderInFlight = false
	undelivered := errors.Is(r.err, driver.ErrNotSent) || errors.Is(r.err, driver.ErrRefused) || errors.Is(r.err, driver.ErrStaleFence)
	logEntry := log.WithField("engine", r.e.name).WithField("order", r.order.ID).WithField("kind", string(r.order.Kind)).
		WithField("role", string(r.order.Role)).WithField("token", r.token)
	if r.err != nil {
		logEntry.WithError(r.err).WithField("certain", undelivered).Warn("order")
	} else {
		logEntry.Info("order")
	}
	if r.token == r.e.token {
		r.e.reconciler.RecordSendResult(s.now(), undelivered, &s.opt.ChangeTimeouts)
	}
}

// phase returns the phase that the entries should apply to the engine.
func (e *engine) phase() wire.Phase {
	if !e.stateRead {
		return wire.Phase_PHASE_OPEN
	}
	return e.reconciler.Phase
}
