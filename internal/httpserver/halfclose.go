package httpserver

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A caller that closes its connection and one that closes only its side for writing look the same at first: a read
// returns EOF. While a request is being handled the EOF is therefore held back from net/http, which would cancel the
// request, until the caller shows that it has left. Data that is sent to a caller that has left is answered with a
// reset. Until the answer begins that data is an interim response, which callers of HTTP/1.1 skip; from then on it
// is the answer itself.

const (
	// probeInterval is the time between the first probes, and between the checks of an answer.
	probeInterval = 100 * time.Millisecond
	// quickProbes are sent at this interval. A proxy may only pass on the reset that answers an earlier probe.
	quickProbes = 4
	// slowProbeFactor is the number of intervals between later probes.
	slowProbeFactor = 4
	// maxQuietIntervals is for how long an answer may pause: without data a caller that leaves isn't noticed.
	maxQuietIntervals = 4
)

// interimResponse is a probe. Some clients take any other 1xx for the answer.
var interimResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// interimPrefix begins an interim response, of net/http or a probe.
var interimPrefix = []byte("HTTP/1.1 1")

// prober finds out whether a caller that has closed its side is still there.
type prober struct {
	mu       sync.Mutex
	known    bool // the request's version is known
	interim  bool // the caller understands interim responses
	begun    bool // a byte of the answer has been written
	writing  bool // a write is in progress
	holding  bool // an EOF is being held back
	left     bool // the caller has left, or can't be asked
	interval int  // since the EOF
	quiet    int  // intervals since data was last sent
	timer    *time.Timer
}

// Write implements net.Conn. It fails if the caller doesn't read in time.
func (c *conn) Write(b []byte) (int, error) {
	c.boundWrite(time.Now())
	c.beginWrite(b)
	defer c.endWrite()
	return c.writeParts(b)
}

func (c *conn) beginWrite(b []byte) {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = true
	if !bytes.HasPrefix(b, interimPrefix) {
		p.begun = true
	}
}

func (c *conn) endWrite() {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing, p.quiet = false, 0
}

// setProbes records that a request has reached the handler, and whether its caller may be probed.
func (c *conn) setProbes(r *http.Request) {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.interim = true, r.ProtoAtLeast(1, 1)
	if p.holding {
		c.probe()
	}
}

// resetProbes records that the answer to the latest request has been sent.
func (c *conn) resetProbes() {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known, p.interim, p.begun = false, false, false
}

// holdEOF returns an error once the caller has left, or when net/http ends the read.
func (c *conn) holdEOF() error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	c.s.counts.add(halfClosed)
	c.beginHold()
	isReset := false
	err = raw.Read(func(fd uintptr) bool {
		isReset = hasFailed(int(fd))
		return isReset
	})
	if left := c.endHold(); left || isReset {
		c.s.counts.add(callerLeft)
		return io.EOF
	}
	return err
}

// hasFailed reports whether the connection has been reset. A read doesn't show that after an EOF.
func hasFailed(fd int) bool {
	n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	return err != nil || n != 0
}

func (c *conn) beginHold() {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding, p.left, p.interval, p.quiet = true, false, 0, 0
	p.timer = time.AfterFunc(probeInterval, c.nextInterval)
	if p.known {
		c.probe()
	}
}

func (c *conn) endHold() (left bool) {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holding = false
	p.timer.Stop()
	return p.left
}

func (c *conn) nextInterval() {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.holding {
		return
	}
	p.interval++
	p.quiet++
	if p.known && !p.left {
		c.probe()
	}
	p.timer.Reset(probeInterval)
}

// probe sends what a caller that has left answers with a reset. c.prober.mu is held.
func (c *conn) probe() {
	p := &c.prober
	switch {
	case p.writing:
	case p.begun:
		if p.quiet >= maxQuietIntervals {
			c.endRead()
		}
	case !p.interim:
		c.endRead()
	case p.interval < quickProbes, p.interval%slowProbeFactor == 0:
		if c.sendInterim() != nil {
			c.endRead()
		}
	}
}

// endRead ends the read that holds back an EOF. c.prober.mu is held.
func (c *conn) endRead() {
	c.prober.left = true
	_ = c.Conn.SetReadDeadline(longAgo)
}

// sendInterim sends an interim response without waiting. None is sent if the buffer is full.
func (c *conn) sendInterim() error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var sendErr error
	err = raw.Write(func(fd uintptr) bool {
		n, sendErr = unix.Write(int(fd), interimResponse)
		return true
	})
	switch {
	case err != nil:
		return err
	case sendErr == unix.EAGAIN:
		return nil
	case sendErr != nil:
		return os.NewSyscallError("write", sendErr)
	case n < len(interimResponse):
		_ = c.Close() // the rest of the connection can't be understood
		return io.ErrShortWrite
	}
	return nil
}
