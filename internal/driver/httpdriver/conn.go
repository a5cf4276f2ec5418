package httpdriver

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection is sealed")

// sealedConn counts what was written and can be sealed against more.
//
// It guards against a false "not sent": net/http gives up on a cancelled
// request while its writing goroutine may still be about to write. The caller
// would be told "not run", and the bytes would leave a moment later. Seal and
// Write exclude each other, so that once Seal has seen no byte, none follows.
type sealedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. The count rises before the bytes leave, since
// some of them may be out when Write fails.
func (c *sealedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	c.written += int64(len(b))
	return c.Conn.Write(b)
}

func (c *sealedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops further writes and returns the final count.
func (c *sealedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendTracker knows whether a request's bytes have left.
type sendTracker struct {
	mu       sync.Mutex
	finished bool
	uses     []connUse
}

type connUse struct {
	conn  *sealedConn
	start int64 // bytes written on it before this request
}

// trace returns a context that reports the connections that a request uses.
func (t *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*sealedConn)
			if !ok {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.finished {
				c.seal()
				return
			}
			t.uses = append(t.uses, connUse{c, c.count()})
		},
	})
}

// sent seals the failed request's connections and tells whether any byte of it
// has left.
func (t *sendTracker) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	left := false
	for _, u := range t.uses {
		if u.conn.seal() > u.start {
			left = true
		}
	}
	return left
}
