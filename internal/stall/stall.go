// Package stall provides timeouts for answers of other processes that tolerate stalls of this one.
//
// A process is stalled while its VM is suspended or too busy to schedule it. When it continues, its
// timers have expired and its connections are readable at the same moment. A plain timeout that is
// handled first takes an answer that has already arrived for a missing one, and blames the other
// process. The timeouts here are divided into ticks, each of which is started by the one before it. A
// stall expires one tick at most, and the ticks that follow leave time to handle what has arrived.
package stall

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ticks is the number of ticks of a timeout. A stall shortens a timeout by at most one of them.
const ticks = 5

// Timer calls a function after a duration, as time.AfterFunc does.
type Timer struct {
	f func()

	mu        sync.Mutex
	tick      time.Duration
	remaining int // ticks until f is called, zero if the timer isn't running
	timer     *time.Timer
}

// AfterFunc returns a running timer that calls f in a goroutine of its own.
func AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{f: f, tick: d / ticks, remaining: ticks}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.tick, t.expire)
	return t
}

// Reset restarts the timer with the duration d, whether it is running or not.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick, t.remaining = d/ticks, ticks
	t.timer.Reset(t.tick)
}

// Stop stops the timer. A call of the function that has begun isn't waited for.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remaining = 0
	t.timer.Stop()
}

// expire handles the end of a tick.
func (t *Timer) expire() {
	if t.advance() {
		t.f()
	}
}

// advance counts the end of a tick and reports whether it was the last one. Otherwise it starts the
// next one.
func (t *Timer) advance() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remaining == 0 {
		return false // stopped while the tick ended
	}
	t.remaining--
	if t.remaining == 0 {
		return true
	}
	t.timer.Reset(t.tick)
	return false
}

// WithTimeout returns a context that ends with the cause context.DeadlineExceeded after d. The
// returned function releases its resources.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}

// Dialer connects to an address, as net.Dialer does.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// DialContext connects to an address as d does, within timeout.
func DialContext(ctx context.Context, d Dialer, timeout time.Duration, network, address string) (net.Conn, error) {
	ctx, cancel := WithTimeout(ctx, timeout)
	defer cancel()
	c, err := d.DialContext(ctx, network, address)
	if err != nil && ctx.Err() != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	return c, err
}
