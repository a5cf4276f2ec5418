package simnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// windowBytes is how much may be sent that the receiver hasn't read.
const windowBytes = 256 << 10

// kind is what a segment carries.
type kind int

const (
	data kind = iota
	fin       // the sender sends nothing more
	reset
)

// segment is a part of a stream on its way to the receiver, or received and not read yet.
type segment struct {
	kind    kind
	data    []byte
	arrival time.Time
}

// Conn is one end of a connection. It implements net.Conn, and CloseWrite, SetLinger as net.TCPConn does.
type Conn struct {
	n    *Network
	h    *Host
	addr *net.TCPAddr
	peer *Conn

	// The following fields are guarded by the network's mutex.
	incoming      []segment // sent by the peer and not read
	unread        int       // bytes of them
	newest        time.Time // arrival of the newest segment
	heldFrom      time.Time // what arrives later is held back; zero if nothing is
	readDeadline  time.Time
	writeDeadline time.Time
	closed        bool
	writeClosed   bool
	abortive      bool          // Close resets the connection
	changed       chan struct{} // closed and replaced when these fields change
}

func newConn(h *Host) *Conn {
	return &Conn{n: h.n, h: h, changed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, wait, err := c.tryRead(b)
		if wait == nil {
			return n, c.opError("read", err)
		}
		wait()
	}
}

// tryRead reads what has arrived. Otherwise it returns a function that waits until that may have changed.
func (c *Conn) tryRead(b []byte) (n int, wait func(), err error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	switch {
	case c.closed:
		return 0, nil, net.ErrClosed
	case passed(c.readDeadline):
		return 0, nil, os.ErrDeadlineExceeded
	case len(b) == 0:
		return 0, nil, nil
	case !c.hasArrived():
		return 0, c.waiter(c.readDeadline), nil
	}
	switch c.incoming[0].kind {
	case fin:
		return 0, nil, io.EOF
	case reset:
		return 0, nil, syscall.ECONNRESET
	}
	return c.take(b), nil, nil
}

// hasArrived reports whether the next segment has arrived. The network's mutex is held.
func (c *Conn) hasArrived() bool {
	return len(c.incoming) > 0 && c.isVisible(&c.incoming[0])
}

func (c *Conn) isVisible(s *segment) bool {
	return !s.arrival.After(time.Now()) && (c.heldFrom.IsZero() || !s.arrival.After(c.heldFrom))
}

// take copies data that has arrived to b. The network's mutex is held.
func (c *Conn) take(b []byte) int {
	n := 0
	for n < len(b) && c.hasArrived() && c.incoming[0].kind == data {
		s := &c.incoming[0]
		k := copy(b[n:], s.data)
		n += k
		s.data = s.data[k:]
		if len(s.data) == 0 {
			c.incoming = c.incoming[1:]
		}
	}
	c.unread -= n
	c.peer.signal()
	return n
}

// ReadArrived reads what has arrived, whatever the deadline. It doesn't wait.
func (c *Conn) ReadArrived(b []byte) int {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed || !c.hasArrived() || c.incoming[0].kind != data {
		return 0
	}
	return c.take(b)
}

// Quiet reports whether nothing has arrived that hasn't been read: neither data nor the peer's end.
func (c *Conn) Quiet() bool {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	return !c.closed && !c.hasArrived()
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, wait, err := c.tryWrite(b[written:])
		written += n
		if err != nil || written == len(b) {
			return written, c.opError("write", err)
		}
		if wait != nil {
			wait()
		}
	}
}

// tryWrite sends what fits into the receiver's window. Otherwise it returns a function that waits until that may
// have changed.
func (c *Conn) tryWrite(b []byte) (n int, wait func(), err error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	switch {
	case c.closed:
		return 0, nil, net.ErrClosed
	case passed(c.writeDeadline):
		return 0, nil, os.ErrDeadlineExceeded
	case c.writeClosed:
		return 0, nil, syscall.EPIPE
	case c.wasReset():
		return 0, nil, syscall.ECONNRESET
	case c.peer.closed:
		c.answerReset()
		return len(b), nil, nil
	}
	n = min(len(b), windowBytes-c.peer.unread)
	if n <= 0 && len(b) > 0 {
		return 0, c.waiter(c.writeDeadline), nil
	}
	c.send(segment{kind: data, data: append([]byte(nil), b[:n]...)})
	return n, nil, nil
}

// wasReset reports whether a reset has arrived. The network's mutex is held.
func (c *Conn) wasReset() bool {
	if len(c.incoming) == 0 {
		return false
	}
	last := &c.incoming[len(c.incoming)-1]
	return last.kind == reset && c.isVisible(last)
}

// send sends a segment to the peer. The network's mutex is held.
func (c *Conn) send(s segment) {
	s.arrival = time.Now().Add(c.delay())
	c.deliver(s)
}

func (c *Conn) delay() time.Duration { return c.n.delay(c.h.ip, c.peer.h.ip) }

// segmentGap is the shortest time between two arrivals on a stream, so that what the first one causes has happened
// before the second one: the bubble's time advances only when all goroutines wait.
const segmentGap = time.Microsecond

// deliver has a segment arrive at the peer after those sent before, at its arrival time at the earliest. The network's
// mutex is held.
func (c *Conn) deliver(s segment) {
	p := c.peer
	if earliest := p.newest.Add(segmentGap); s.arrival.Before(earliest) {
		s.arrival = earliest
	}
	p.newest = s.arrival
	if p.heldFrom.IsZero() && c.isHeld() {
		p.heldFrom = time.Now()
	}
	p.incoming = append(p.incoming, s)
	p.unread += len(s.data)
	p.signal()
}

// answerReset has the peer, which is closed, answer data with a reset. The network's mutex is held.
func (c *Conn) answerReset() {
	if k := len(c.incoming); k > 0 && c.incoming[k-1].kind == reset {
		return
	}
	there := c.delay()
	c.peer.deliver(segment{kind: reset, arrival: time.Now().Add(there + c.peer.delay())})
}

// CloseWrite ends the stream to the peer. Data can still be read.
func (c *Conn) CloseWrite() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.endWrites()
	return nil
}

// endWrites sends the end of the stream, once. The network's mutex is held.
func (c *Conn) endWrites() {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	c.send(segment{kind: fin})
	c.signal()
}

// Close implements net.Conn. The peer reads the end of the stream, or a reset if data from it hasn't been read.
func (c *Conn) Close() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.close(c.abortive)
	return nil
}

// Reset closes the connection without an orderly end. Reads and writes of the peer fail with ECONNRESET.
func (c *Conn) Reset() {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.close(true)
}

// SetLinger has Close reset the connection if sec is zero, as that of net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.abortive = sec == 0
	return nil
}

// close closes the connection. The network's mutex is held.
func (c *Conn) close(abortive bool) {
	if c.closed {
		return
	}
	switch {
	case abortive, c.hasArrived() && c.incoming[0].kind == data:
		c.send(segment{kind: reset})
	case len(c.incoming) > 0 && c.incoming[0].kind == data:
		c.endWrites()
		c.deliver(segment{kind: reset, arrival: c.incoming[0].arrival.Add(c.delay())})
	default:
		c.endWrites()
	}
	c.closed = true
	c.incoming, c.unread = nil, 0
	c.signal()
	c.peer.signal()
	if c.peer.closed {
		delete(c.n.conns, c)
		delete(c.n.conns, c.peer)
	}
}

// isHeld reports whether the network holds back what is sent on the connection. The network's mutex is held.
func (c *Conn) isHeld() bool {
	return c.h.silent || c.peer.h.silent || c.n.cutBetween(c.h.ip, c.peer.h.ip) == Hang
}

// hold holds back what hasn't arrived if the connection is held. The network's mutex is held.
func (c *Conn) hold() {
	if c.heldFrom.IsZero() && c.isHeld() {
		c.heldFrom = time.Now()
	}
}

// release has arrive what was held back, unless the connection is held. The network's mutex is held.
func (c *Conn) release() {
	if c.heldFrom.IsZero() || c.isHeld() {
		return
	}
	earliest := time.Now().Add(c.peer.delay())
	for i := range c.incoming {
		s := &c.incoming[i]
		if s.arrival.After(c.heldFrom) && s.arrival.Before(earliest) {
			s.arrival = earliest
			earliest = earliest.Add(segmentGap)
		}
		c.newest = s.arrival
	}
	c.heldFrom = time.Time{}
	c.signal()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.set(func() { c.readDeadline, c.writeDeadline = t, t })
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.set(func() { c.readDeadline = t })
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	return c.set(func() { c.writeDeadline = t })
}

func (c *Conn) set(change func()) error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.closed {
		return c.opError("set", net.ErrClosed)
	}
	change()
	c.signal()
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.peer.addr }

// signal wakes whoever waits for the connection. The network's mutex is held.
func (c *Conn) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// waiter returns a function that waits until a field changes, the next segment arrives or the deadline passes. The
// network's mutex is held.
func (c *Conn) waiter(deadline time.Time) func() {
	changed, until := c.changed, deadline
	for i := range c.incoming {
		if c.isVisible(&c.incoming[i]) || !c.heldFrom.IsZero() {
			continue
		}
		if at := c.incoming[i].arrival; until.IsZero() || at.Before(until) {
			until = at
		}
	}
	return waitFor(changed, until)
}

// waitFor returns a function that waits until changed is closed or, unless it is zero, until a time.
func waitFor(changed <-chan struct{}, until time.Time) func() {
	if until.IsZero() {
		return func() { <-changed }
	}
	return func() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		}
	}
}

func passed(deadline time.Time) bool { return !deadline.IsZero() && !deadline.After(time.Now()) }

// opError wraps errors as package net does, except the end of the stream.
func (c *Conn) opError(op string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.addr, Addr: c.peer.addr, Err: err}
}
