package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
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
	firstUse    bool      // carries its first exchange
	idleAt      time.Time // when it was returned to the pool
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBufferBytes), firstUse: true}
}

// reusable reports whether an idle connection can carry another request: the endpoint hasn't
// closed it and has sent nothing on it. Unsolicited bytes would be read as the start of the next
// response.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
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
