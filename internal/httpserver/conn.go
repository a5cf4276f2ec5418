package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fescuestand/internal/policy/connlimit"
	"fescuestand/internal/stall"
)

// conn is a connection of a caller. It knows whether a byte of the next request has been read, which net/http
// doesn't tell before the whole header has been parsed.
//
// A connection is told to end by a read deadline in the past. Its read then receives what has arrived, or nothing,
// and its own goroutine serves that or closes the connection.
type conn struct {
	net.Conn
	s      *Server
	entry  *connlimit.Entry[*conn] // set before the connection is used
	prober prober

	// Times since the server's creation.
	writingSince atomic.Int64 // when the current part of a write began, zero for none
	handledAt    atomic.Int64 // when the latest request reached the handler
	readingBody  atomic.Bool  // the handler waits for a part of a body

	mu          sync.Mutex
	hasRead     bool // a byte has been read from it
	unread      bool // no byte of the next request has been read
	active      bool // its header has been read
	readAhead   bool // the newest byte was read while the handler of the latest request ran
	ending      bool // no further request is read
	handled     bool // the request has reached the handler
	gaveUp      bool // the rest of its header isn't waited for
	multiplexed bool // it carries concurrent requests (HTTP/2)
	partial     bool // an answer is incomplete whose end may show only by that of the connection

	headerBytes int // bytes of the header that is being read
	bodyRead    int // bytes read since the latest header
	bufferBytes int // of the receive buffer

	headerSince time.Time // when the latest header began
	wait        wait      // for the caller

	ownWriteDeadline bool      // the handler or net/http has set a deadline for writes
	writeBoundAt     time.Time // when the deadline for writes was set last, zero if it isn't boundWrite's
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.readingBody.Store(len(b) != readAheadBytes && c.isHandling())
	n, err := c.Conn.Read(b)
	c.readingBody.Store(false)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readAtEnd(b, err)
	}
	if n > 0 {
		c.recordRead(len(b) == readAheadBytes, n)
		c.detectHTTP2(b[:n])
	}
	if errors.Is(err, io.EOF) && len(b) == readAheadBytes && c.isHandling() {
		return 0, c.holdEOF()
	}
	if err != nil {
		c.s.counts.addReadError(err)
	}
	return n, err
}

// readAtEnd handles the deadline of a read. A connection that is idle or ends still reads what has arrived; a part of a
// header that isn't waited for ends it without an answer.
func (c *conn) readAtEnd(b []byte, err error) (int, error) {
	c.mu.Lock()
	unread, gaveUp := c.unread, c.gaveUp
	c.mu.Unlock()
	if unread {
		if n := c.readArrived(b); n > 0 {
			return n, nil
		}
	}
	if gaveUp {
		_ = c.Close()
	}
	c.countExpiredWait()
	return 0, err
}

// readArrived reads what has arrived, whatever the deadline. It doesn't wait.
func (c *conn) readArrived(b []byte) int {
	if r, ok := c.Conn.(arrivedReader); ok {
		return r.ReadArrived(b)
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that there is nothing to read.
	_ = raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	return max(n, 0)
}

// arrivedReader is a connection without a socket that reads what has arrived.
type arrivedReader interface {
	ReadArrived(b []byte) int
}

// CloseWrite is used by net/http, so that a caller which still sends can read the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// setPartial records whether an answer is incomplete whose end may show only by that of the connection.
func (c *conn) setPartial(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = partial
}

// Close implements net.Conn. It resets the connection if its answer is incomplete.
func (c *conn) Close() error {
	c.mu.Lock()
	partial := c.partial
	c.mu.Unlock()
	if partial {
		c.dropUnsent()
	}
	return c.Conn.Close()
}

// dropUnsent has the connection reset when it is closed, without waiting for what has been written.
func (c *conn) dropUnsent() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// A failure means that the connection has been closed.
		_ = l.SetLinger(0)
	}
}

// isHandling reports whether a request is being handled on a connection that carries one at a time.
func (c *conn) isHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active && !c.multiplexed
}

// readAheadBytes is what net/http reads while a handler runs, to notice that the caller disconnects. Such a byte
// belongs to the next request.
const readAheadBytes = 1

// http2Preface begins what a caller sends on a connection of HTTP/2. No method of HTTP/1 begins like it.
const http2Preface = "PRI "

// detectHTTP2 marks a connection as one of HTTP/2 by the first data that was read from it.
func (c *conn) detectHTTP2(data []byte) {
	c.mu.Lock()
	isFirst := !c.hasRead
	c.hasRead = true
	isHTTP2 := isFirst && bytes.HasPrefix(data, []byte(http2Preface)) && c.s.acceptsHTTP2()
	c.multiplexed = c.multiplexed || isHTTP2
	c.mu.Unlock()
	if isHTTP2 {
		c.s.connBecameHTTP2()
	}
}

// recordRead records that n bytes have been read. A request may begin with them.
func (c *conn) recordRead(readAhead bool, n int) {
	grow, header := c.countRead(readAhead, n)
	if grow > 0 {
		c.resizeBuffer(grow)
	}
	if header > shortHeaderBytes {
		c.s.headerRead(c, header)
	}
}

// shortHeaderBytes is the length up to which a header is a part of what connlimit counts for each connection.
const shortHeaderBytes = 4 << 10

// countRead returns the size to which the receive buffer grows, zero if it doesn't, and the bytes of a header that have
// been read.
func (c *conn) countRead(readAhead bool, n int) (grow, header int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = readAhead
	if c.handled {
		grow = c.countBody(n)
	} else {
		c.headerBytes += n
		header = c.headerBytes
	}
	if !c.unread {
		return grow, header
	}
	if c.ending {
		_ = c.Conn.SetReadDeadline(time.Time{}) // end has set one in the past while the data was being read
	}
	c.unread = false
	c.beginHeader(time.Now())
	return grow, header
}

// SetReadDeadline implements net.Conn. A connection that ends keeps its deadline while no request has been read. The
// timeouts of net/http for a header and for an idle connection are replaced by the limits in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.gaveUp:
		t = longAgo
	case t.IsZero():
		c.endWait()
	case c.ending && c.unread:
		t = longAgo
	case c.active, c.multiplexed: // a deadline of the handler
	case t.After(time.Now()):
		t = c.beginWait(time.Now(), t)
	}
	return c.Conn.SetReadDeadline(t)
}

// endWait ends a wait for the caller: net/http has found the next request in its buffer, or has read a header.
// c.mu is held.
func (c *conn) endWait() {
	c.wait = wait{}
	if c.unread {
		c.unread = false
		c.headerSince = time.Now()
	}
}

// isEnding reports whether the connection ends after its answer.
func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// end closes the connection if no request has been read, and otherwise after the answer.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.closeIfUnread()
}

// closeIfUnread has net/http close the connection unless a request has been read. c.mu is held.
func (c *conn) closeIfUnread() {
	if c.ending && c.unread && !c.multiplexed {
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	if c.gaveUp { // the whole header had been read before
		c.gaveUp = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// giveUpHeader ends the wait for the rest of a header. One that has been read is handled.
func (c *conn) giveUpHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread || c.active || c.multiplexed {
		return
	}
	c.gaveUp = true
	_ = c.Conn.SetReadDeadline(longAgo)
}

// setIdle records that the answer to the latest request has been sent.
func (c *conn) setIdle() {
	c.resetProbes()
	c.shrinkBuffer()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.handled, c.headerBytes, c.bodyRead = false, false, 0, 0
	if c.multiplexed {
		return
	}
	c.unread = !c.readAhead
	if c.readAhead {
		c.headerSince = time.Now()
	}
	c.readAhead = false
	c.closeIfUnread()
	if c.ending && !c.unread {
		stall.AfterFunc(headerGrace, c.giveUpHeader)
	}
}

// setHandled records that a request has reached the handler, and whether the connection carries concurrent ones.
// It reports whether the latter is news.
func (c *conn) setHandled(multiplexed bool) (becameMultiplexed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	becameMultiplexed = multiplexed && !c.multiplexed
	c.handled, c.multiplexed = true, multiplexed
	return becameMultiplexed
}

func (c *conn) isMultiplexed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.multiplexed
}

// isInHeader reports whether a part of a request's header has been read.
func (c *conn) isInHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unread && !c.active && !c.multiplexed
}

// wasRejected reports whether data has been read that made no request for the handler.
func (c *conn) wasRejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unread && !c.handled && !c.multiplexed
}

type connKey struct{}

// withConn implements the ConnContext callback of net/http.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// markHandled records that a request has reached the handler, and reports whether its connection ends after the answer.
func (s *Server) markHandled(r *http.Request) (ending bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.handledAt.Store(int64(time.Since(s.created)))
	c.setProbes(r)
	c.growBuffer(r)
	if c.setHandled(r.ProtoMajor > 1) {
		s.connBecameHTTP2()
	}
	return c.isEnding()
}

// connBecameHTTP2 lets a drain go on that waits for the connections of HTTP/1.
func (s *Server) connBecameHTTP2() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signalIfEmpty()
}

// acceptsHTTP2 reports whether the server speaks unencrypted HTTP/2.
func (s *Server) acceptsHTTP2() bool {
	return s.http.Protocols != nil && s.http.Protocols.UnencryptedHTTP2()
}

// addReadError counts an error of a read, unless it is an orderly end or a timeout.
func (n *counters) addReadError(err error) {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, syscall.ECONNRESET):
		n.add(connReset)
	default:
		n.add(connFailed)
	}
}
