package httpdriver

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection is sealed")

// sealedConn counts the written bytes and can be sealed, which rejects all further writes.
//
// It prevents a false ErrNotSent: when a request is cancelled, net/http returns while its writing
// goroutine may be about to write. The caller would get the answer "not run", and the request would
// be sent a moment later. seal and Write exclude each other, so that once seal has returned a count,
// no byte follows.
type sealedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. It counts the bytes before it sends them, because some of them may
// have been sent even if the write fails.
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

// seal rejects further writes and returns the final number of written bytes.
func (c *sealedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendTracker records the connections that a request uses, to find whether any of its bytes was
// sent.
type sendTracker struct {
	mu       sync.Mutex
	finished bool
	uses     []connUse
}

type connUse struct {
	conn  *sealedConn
	start int64 // bytes written on it before this request
}

// trace returns a context that makes the transport report the connections that a request uses.
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

// sent seals the connections of the failed request and reports whether any byte of the request was
// sent.
func (t *sendTracker) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = true
	anySent := false
	for _, u := range t.uses {
		if u.conn.seal() > u.start {
			anySent = true
		}
	}
	return anySent
}
