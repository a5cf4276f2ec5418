package stall

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking an answer that arrived during a stall for a missing one: when the process
// continues, the tick under way has expired, however long the stall was.
func TestStallExpiresOneTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		timer := AfterFunc(time.Second, func() { calls.Add(1) })
		timer.expire() // of the tick under way, as after a stall
		for range ticks - 2 {
			time.Sleep(time.Second / ticks)
			synctest.Wait()
		}
		assert.Equal(t, calls.Load(), int32(0))
		time.Sleep(time.Second / ticks)
		synctest.Wait()
		assert.Equal(t, calls.Load(), int32(1))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, calls.Load(), int32(1))
	})
}

func TestTimerIsResetAndStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		timer := AfterFunc(time.Second, func() { calls.Add(1) })
		time.Sleep(900 * time.Millisecond)
		timer.Reset(time.Second)
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, calls.Load(), int32(0))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, calls.Load(), int32(1))
		timer.Reset(time.Second)
		timer.Stop()
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, calls.Load(), int32(1))
		timer.expire() // a tick that ended while the timer was stopped
		assert.Equal(t, calls.Load(), int32(1))
	})
}

func TestContextEndsWithItsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(999 * time.Millisecond)
		assert.NilError(t, ctx.Err())
		<-ctx.Done()
		assert.Assert(t, errors.Is(context.Cause(ctx), context.DeadlineExceeded))
	})
}

func TestDialReportsItsTimeout(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	c, err := DialContext(t.Context(), &net.Dialer{}, time.Minute, "tcp4", ln.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	_, err = DialContext(t.Context(), &net.Dialer{}, 0, "tcp4", ln.Addr().String())
	assert.Assert(t, err == nil || errors.Is(err, context.DeadlineExceeded), "%v", err)
}
