// Package kernel runs a process: it takes the units that a command wires together through a common
// lifecycle.
//
// The steps are:
//   - Provision acquires what the unit needs: listeners and lazily opened connections. Units are
//     provisioned in the order of wiring.
//   - Validate is called in the same order. After the first error in either step the start is
//     aborted and every provisioned unit is closed.
//   - Run is called concurrently, in one errgroup.
//   - Drain is called concurrently on SIGTERM or SIGINT. When every unit has drained or the drain
//     timeout has passed, the context of Run is cancelled.
//   - Close is called in reverse order.
package kernel

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
)

// Unit is a component of a process. It implements those of the interfaces below whose steps it
// needs.
type Unit interface {
	Name() string
}

// Provisioner is a unit that acquires resources before the process runs. If Provision fails, the
// unit is not closed.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator is a unit with checks that are possible only after every unit is provisioned.
type Validator interface {
	Validate() error
}

// Runner is a unit that works in the background until ctx ends. An error stops the process.
type Runner interface {
	Run(ctx context.Context) error
}

// Drainer is a unit that finishes its work in progress before the process stops and accepts no new
// work meanwhile. Drain returns when no work is left or when ctx ends; Left (see Leftover) then
// returns the amount of unfinished work.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Leftover is a Drainer that reports how much work was unfinished when its drain timed out.
type Leftover interface {
	Left() int
}

// Closer is a unit that releases what Provision acquired.
type Closer interface {
	Close() error
}

// Options configure a process.
type Options struct {
	// DrainTimeout bounds a drain. Work that is unfinished then is logged and aborted.
	DrainTimeout time.Duration
	// Signals replaces SIGTERM and SIGINT in tests.
	Signals <-chan os.Signal
}

// ErrDrainTimeout means that the drain timeout passed with work left.
var ErrDrainTimeout = errors.New("drain timed out with work left")

// Run takes the units through their lifecycle and returns when all are closed.
func Run(ctx context.Context, opt Options, units ...Unit) error {
	provisioned, err := provision(ctx, units)
	if err == nil {
		err = validate(units)
	}
	if err == nil {
		err = runAndDrain(ctx, opt, units)
	}
	return errors.Join(err, closeAll(provisioned))
}

func provision(ctx context.Context, units []Unit) ([]Unit, error) {
	for i, u := range units {
		p, ok := u.(Provisioner)
		if !ok {
			continue
		}
		if err := p.Provision(ctx); err != nil {
			log.WithError(err).WithField("unit", u.Name()).Error("provision failed")
			return units[:i], err
		}
	}
	return units, nil
}

func validate(units []Unit) error {
	for _, u := range units {
		v, ok := u.(Validator)
		if !ok {
			continue
		}
		if err := v.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func runAndDrain(ctx context.Context, opt Options, units []Unit) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
	for _, u := range units {
		if r, ok := u.(Runner); ok {
			group.Go(func() error { return runUnit(groupCtx, u, r) })
		}
	}
	var drainErr error
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		drainErr = awaitSignalAndDrain(groupCtx, opt, units)
		stop()
	}()
	err := group.Wait()
	stop()
	<-drained
	return errors.Join(err, drainErr)
}

// runUnit runs a unit until ctx ends. One that ends before without an error doesn't stop the process.
func runUnit(ctx context.Context, u Unit, r Runner) error {
	err := r.Run(ctx)
	if ctx.Err() == nil && ignoreCanceled(err) == nil {
		log.WithError(err).WithField("unit", u.Name()).Error("unit ended by itself")
	}
	return ignoreCanceled(err)
}

// awaitSignalAndDrain waits for a signal and then drains all units. It returns at once if ctx ends
// before a signal arrives.
func awaitSignalAndDrain(ctx context.Context, opt Options, units []Unit) error {
	signals := opt.Signals
	if signals == nil {
		ch := make(chan os.Signal, 1)
		signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(ch)
		signals = ch
	}
	select {
	case <-ctx.Done():
		return nil
	case s := <-signals:
		log.WithField("signal", s).WithField("longest_ms", opt.DrainTimeout.Milliseconds()).Info("drain started")
	}
	drainCtx, cancel := context.WithTimeout(ctx, opt.DrainTimeout)
	defer cancel()
	go ignoreSignals(drainCtx, signals)
	return drainAll(drainCtx, units)
}

// ignoreSignals consumes repeated signals during a drain: an operator or the platform may send
// SIGTERM again, and the default handler would end the process and its running streams.
func ignoreSignals(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			log.WithField("signal", s).Info("already draining")
		}
	}
}

func drainAll(ctx context.Context, units []Unit) error {
	var group errgroup.Group
	start := time.Now()
	for _, u := range units {
		if d, ok := u.(Drainer); ok {
			group.Go(func() error { return drainOne(ctx, u, d) })
		}
	}
	err := group.Wait()
	log.WithField("ms", time.Since(start).Milliseconds()).WithField("whole", err == nil).Info("drain finished")
	return err
}

func drainOne(ctx context.Context, u Unit, d Drainer) error {
	err := d.Drain(ctx)
	if err == nil && ctx.Err() == nil {
		return nil
	}
	left := 0
	if l, ok := u.(Leftover); ok {
		left = l.Left()
	}
	if err == nil && left == 0 {
		return nil
	}
	log.WithError(err).WithField("unit", u.Name()).WithField("left", left).Error("drain timed out")
	return ErrDrainTimeout
}

func closeAll(units []Unit) error {
	var errs []error
	for i := len(units) - 1; i >= 0; i-- {
		if c, ok := units[i].(Closer); ok {
			errs = append(errs, c.Close())
		}
	}
	return errors.Join(errs...)
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// closerUnit is a unit whose only step is Close.
type closerUnit struct {
	name string
	c    interface{ Close() error }
}

// CloserUnit returns a unit that closes c and has no other step.
func CloserUnit(name string, c interface{ Close() error }) Unit { return closerUnit{name, c} }

// Name implements Unit.
func (c closerUnit) Name() string { return c.name }

// Close implements Closer.
func (c closerUnit) Close() error { return c.c.Close() }
