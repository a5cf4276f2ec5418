package scenarios

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// countedConn counts the bytes that the kernel has taken.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// dialCounted connects by a countedConn.
func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c}, nil
}

// writes observes what a client writes of one request. It is used until the request has ended.
type writes struct {
	conn   *countedConn // nil if the request got none
	kept   bool         // conn had been used before
	before int64        // bytes that had been written to conn
}

// trace returns a context for the request.
func (w *writes) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		w.conn, w.kept = i.Conn.(*countedConn), i.Reused
		w.before = w.conn.written.Load()
	}})
}

// unwritten reports whether the request got a connection and nothing of it was written to that. It is called when the
// client has returned an error: it has ended all writes then.
func (w *writes) unwritten() bool { return w.conn != nil && w.conn.written.Load() == w.before }

func (w *writes) String() string {
	if w.conn == nil {
		return "no connection"
	}
	return fmt.Sprintf("%d bytes written, kept connection %t", w.conn.written.Load()-w.before, w.kept)
}
