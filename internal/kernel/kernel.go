// Package kernel runs a process: it takes the units that a command wires
// together through one lifecycle under one errgroup.
//
// The order is Provision (acquire what the unit needs: listeners, connections
// opened lazily), Validate, Run, Drain, Close. Provision and Validate go in
// the order of wiring and the first error stops the start, after which every
// provisioned unit is closed. Run goes concurrently. SIGTERM or SIGINT starts
// Drain, also concurrently; when every unit has drained, or the longest drain
// is over, Run's context ends. Close goes in reverse order.
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

// Unit is one part of a process. It implements those of the interfaces below
// that it needs.
type Unit interface {
	Name() string
}

// Provisioner acquires what the unit needs. After an error the unit is not
// closed.
type Provisioner interface {
	Provision(ctx context.Context) error
}

// Validator checks what can be checked only after every unit is provisioned.
type Validator interface {
	Validate() error
}

// Runner works until ctx ends. An error stops the process.
type Runner interface {
	Run(ctx context.Context) error
}

// Drainer finishes the work in hand and takes no more. It returns when nothing
// is left, or when ctx ends; Left then says what remained.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Leftover tells how much work a drain that ran out of time left behind.
type Leftover interface {
	Left() int
}

// Closer releases what Provision acquired.
type Closer interface {
	Close() error
}

// Options of one process.
type Options struct {
	// DrainTimeout bounds a drain. What is left then is logged and cut.
	DrainTimeout time.Duration
	// Signals replaces SIGTERM and SIGINT in tests.
	Signals <-chan os.Signal
}

// ErrDrainCut means that the longest drain passed with work left.
var ErrDrainCut = errors.New("longest drain passed with work left")

// Run takes units through their lifecycle and returns when all are closed.
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
			group.Go(func() error { return ignoreCanceled(r.Run(groupCtx)) })
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

// awaitSignalAndDrain returns at once when ctx ends without a signal.
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
		log.WithField("signal", s).WithField("longest_ms", opt.DrainTimeout.Milliseconds()).Info("drain begins")
	}
	drainCtx, cancel := context.WithTimeout(ctx, opt.DrainTimeout)
	defer cancel()
	go ignoreFurther(drainCtx, signals)
	return drainAll(drainCtx, units)
}

// ignoreFurther keeps a second signal from cutting requests: an impatient
// operator or platform sends SIGTERM again while streams still finish.
func ignoreFurther(ctx context.Context, signals <-chan os.Signal) {
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
	log.WithField("ms", time.Since(start).Milliseconds()).WithField("whole", err == nil).Info("drain ends")
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
	log.WithError(err).WithField("unit", u.Name()).WithField("left", left).Error("drain ran out of time")
	return ErrDrainCut
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

// closing is a unit whose only step is Close.
type closing struct {
	name string
	c    interface{ Close() error }
}

// CloserUnit returns a unit that closes c and needs no other step.
func CloserUnit(name string, c interface{ Close() error }) Unit { return closing{name, c} }

// Name implements Unit.
func (c closing) Name() string { return c.name }

// Close implements Closer.
func (c closing) Close() error { return c.c.Close() }
