package httpserver

import (
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// What a caller sends ahead, and what it doesn't read, stays in buffers of the kernel, which counts as memory of the
// machine. Left to itself the kernel lets them grow to several MB for each connection.

const (
	// receiveBufferBytes is the receive buffer of a connection. Most headers and bodies fit into it.
	receiveBufferBytes = 16 << 10
	// maxReceiveBufferBytes is that of a connection on which the body of a request is longer.
	maxReceiveBufferBytes = 256 << 10
	// sendBufferBytes is the send buffer of a connection.
	sendBufferBytes = 128 << 10
)

// boundBuffers sets the buffers of the connections that ln accepts. A listener without a socket is left as it is.
func boundBuffers(ln net.Listener) error {
	if err := setSocketOption(ln, unix.SO_RCVBUF, receiveBufferBytes); err != nil {
		return err
	}
	return setSocketOption(ln, unix.SO_SNDBUF, sendBufferBytes)
}

// setSocketOption sets an option of a connection or listener that has a socket.
func setSocketOption(on any, option, value int) error {
	sc, ok := on.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, value) })
	if err != nil {
		return err
	}
	return setErr
}

// growBuffer lets a caller send a long body of a request without waiting for each part to be read.
func (c *conn) growBuffer(r *http.Request) {
	if r.ContentLength > receiveBufferBytes {
		c.resizeBuffer(int(min(r.ContentLength, maxReceiveBufferBytes)))
	}
}

// countBody counts bytes of a request that have been read after its header, and returns the size to which the receive
// buffer grows, zero if it doesn't: a body in chunks doesn't state its length. c.mu is held.
func (c *conn) countBody(n int) (grow int) {
	c.bodyRead += n
	if c.bodyRead < c.bufferBytes || c.bufferBytes >= maxReceiveBufferBytes {
		return 0
	}
	return 2 * c.bufferBytes
}

// shrinkBuffer sets the receive buffer back after a request.
func (c *conn) shrinkBuffer() { c.resizeBuffer(receiveBufferBytes) }

func (c *conn) resizeBuffer(bytes int) {
	c.mu.Lock()
	same := c.bufferBytes == bytes
	c.bufferBytes = bytes
	c.mu.Unlock()
	if !same {
		// A failure means that the connection has been closed.
		_ = setSocketOption(c.Conn, unix.SO_RCVBUF, bytes)
	}
}
