package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
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
	recent      recentIDs
	unnamed     bool // has carried a request without an ID
	firstUse    bool // carries its first exchange
	dialedAt    time.Time
	idleAt      time.Time // when it was returned to the pool
	idleTimeout time.Duration
	watch       *watch // of the idle connection, nil if it isn't idle
	bounded     bool   // boundSendBuffer has been called
}

func newConn(nc net.Conn, o Observer) *conn {
	c := &conn{Conn: nc, firstUse: true, dialedAt: time.Now(), observer: o}
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

// begin records that the connection carries r.
func (c *conn) begin(r *Request) {
	if r.ID == "" {
		c.unnamed = true
		return
	}
	c.recent.add(r.ID)
}

// mayCarry reports whether no late response to an earlier request can be taken for that to r.
func (c *conn) mayCarry(r *Request) bool {
	return r.ID == "" || !c.unnamed && !c.recent.has(r.ID)
}

// recentRequests is the number of requests after which no late response to one is expected on its connection.
const recentRequests = 32

// recentIDs holds hashes of the IDs of the latest requests. The IDs themselves would keep the callers' headers in memory.
type recentIDs struct {
	hashes [recentRequests]uint64
	next   int
}

func (l *recentIDs) add(id string) {
	l.hashes[l.next] = xxhash.Sum64String(id)
	l.next = (l.next + 1) % recentRequests
}

// has reports whether one of the latest requests had the ID. It may also report so for another ID.
func (l *recentIDs) has(id string) bool { return slices.Contains(l.hashes[:], xxhash.Sum64String(id)) }

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
