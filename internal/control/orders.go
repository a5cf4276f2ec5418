package control

import (
	"context"
	"errors"

	"github.com/apex/log"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/wire"
)

// order sends one order. Its lease is looked at again by the driver, just
// before the last byte.
func (s *state) order(e *engine, o driver.Order) {
	e.ordering = true
	if o.Kind == driver.OrderLoad {
		s.reserve(e, o.Load)
		e.reserved = driver.Loaded{}
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
		_ = s.c.postWait(s.ctx, ordered{e: e, token: token, order: o, err: err})
	})
}

// permit returns the check of the lease for orders under a token.
func (c *Control) permit(e *engine, token uint64) driver.Permit {
	return func() error {
		if c.opt.noPermit {
			return nil
		}
		l := e.lease.Load()
		if l.token != token {
			return code.New(code.NoAuthority, "engine %s is not held under token %d any more", e.name, token)
		}
		return c.opt.Lease.Permit(c.opt.Clock.Now(), l.until)
	}
}

// ordered ends the sending of an order.
type ordered struct {
	e     *engine
	token uint64
	order driver.Order
	err   error
}

func (r ordered) apply(s *state) {
	r.e.ordering = false
	certain := errors.Is(r.err, driver.ErrNotSent) || errors.Is(r.err, driver.ErrRefused) || errors.Is(r.err, driver.ErrStaleFence)
	entry := log.WithField("engine", r.e.name).WithField("order", r.order.ID).WithField("kind", string(r.order.Kind)).
		WithField("role", string(r.order.Role)).WithField("token", r.token)
	if r.err != nil {
		entry.WithError(r.err).WithField("certain", certain).Warn("order")
	} else {
		entry.Info("order")
	}
	if r.token == r.e.token {
		r.e.memory.Sent(s.now(), certain, &s.opt.ChangeTimeouts)
	}
}

// phase is what the entries should do with the engine.
func (e *engine) phase() wire.Phase {
	if !e.known {
		return wire.Phase_PHASE_OPEN
	}
	return e.memory.Phase
}
