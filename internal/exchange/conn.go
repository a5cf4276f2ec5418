package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// readBufferBytes is enough for a response header and a typical event in one read.
const readBufferBytes = 4 << 10

// conn is one connection to an endpoint. It carries one exchange at a time.
type conn struct {
	net.Conn
	br          *bufio.Reader
	observer    Observer // nil if there is none
	received    int64    // bytes received in the exchange in progress
	header      headerBound
	serial      uint64 // unlike those of all other connections
	exchanges   int    // with the one in progress
	latestID    string // of the latest request
	unnamed     bool   // has carried a request without an ID
	dialedAt    time.Time
	idleAt      time.Time // when it was returned to the pool
	idleTimeout time.Duration
	watch       *watch       // of the idle connection, nil if it isn't idle
	bounded     bool         // boundSendBuffer has been called
	witness     bool         // carries no request, guarded by the pool's mu
	process     atomic.Int64 // start of the process at the other end, zero if not known
}

var serials atomic.Uint64

func newConn(nc net.Conn, o Observer) *conn {
	c := &conn{Conn: nc, serial: serials.Add(1), dialedAt: time.Now(), observer: o}
	c.br = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read implements io.Reader for br.
func (c *conn) Read(p []byte) (int, error) {
	p, err := c.header.limit(p)
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.header.count(n)
	c.received += int64(n)
	if n > 0 && c.observer != nil {
		c.observer.Received()
	}
	return n, err
}

// abort closes the connection within an exchange, and resets it: an endpoint may take its mere end for that of the
// sender's side and go on with the request. What has arrived in its socket's buffer can still be read, and the reset shows
// after that.
func (c *conn) abort() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // fails if the connection has been closed
	}
	_ = c.Close()
}

// begin records that the connection carries r.
func (c *conn) begin(r *Request) {
	c.exchanges++
	c.latestID = r.ID
	c.unnamed = c.unnamed || r.ID == ""
	r.History.add(c.serial)
}

// mayCarry reports whether no late response to an earlier request can be taken for that to r.
func (c *conn) mayCarry(r *Request) bool {
	switch {
	case r.Unshared:
		return false
	case r.ID == "":
		return true
	}
	return r.ID != c.latestID && !c.unnamed && !r.History.has(c.serial)
}

// belongsTo reports whether the response that bears an ID is known to be that to r, and whether it may be. One without an
// ID may be if the connection has carried no other request.
func (c *conn) belongsTo(r *Request, id string) (known, possible bool) {
	known = id == r.ID
	return known, known || id == "" && c.exchanges == 1
}

// boundSendBuffer bounds what the kernel holds for an endpoint that reads slowly. Its own limit is several MB.
func (c *conn) boundSendBuffer() {
	if b, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok && !c.bounded {
		c.bounded = true
		// A failure means that the connection has been closed, or leaves the kernel's limit.
		_ = b.SetWriteBuffer(sendBufferBytes)
	}
}

// reusable reports whether an idle connection can carry another request: the endpoint hasn't
// closed it and has sent nothing on it. Unsolicited bytes would be read as the start of the next
// response.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	switch nc := c.Conn.(type) {
	case syscall.Conn:
		return isQuiet(nc)
	case quieter:
		return nc.Quiet()
	}
	return false
}

// quieter is a connection without a socket that knows whether nothing has arrived on it.
type quieter interface {
	Quiet() bool
}

// isQuiet reports whether nothing has arrived on a socket: neither data nor the peer's end.
func isQuiet(sc syscall.Conn) bool {
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(errno, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// countingWriter counts the bytes that the kernel has accepted.
type countingWriter struct {
	w io.Writer
	n int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}
