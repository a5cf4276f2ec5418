package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fescuestand/internal/driver"
)

// activeExchange is one request and its response on a connection.
type activeExchange struct {
	pool        *Pool
	addr        string
	c           *conn
	detach      func() bool // stops the end of the context from closing the connection
	sent        countingWriter
	writeDone   chan struct{} // closed when write has returned
	writeFailed bool          // valid once writeDone is closed
	responding  atomic.Bool   // the header of the final response has been read
	gaveUp      atomic.Bool   // the endpoint hasn't read the request in time
	writeBy     time.Time     // by when the request must be written, zero for no limit
}

// maxInlineWrite is the size of a request in bytes up to which it is written before its response is
// read. It fits into the send buffer of an idle connection, so that the write doesn't wait for the
// endpoint. The connection of a request that is written concurrently is closed if the response ends
// before the writer has returned.
const maxInlineWrite = 8 << 10

const (
	// maxWritePause is the time in which an endpoint must have accepted the next writePartBytes of a long request.
	maxWritePause  = 5 * time.Second
	writePartBytes = 32 << 10
	// writeMargin is the time before the end of an exchange by which a long request must be written: the endpoint
	// still has to work and to answer, and the caller to be told that it hasn't.
	writeMargin = 250 * time.Millisecond
	// paceKnownAfter is the time after which an endpoint's pace is taken to be known. It must not be slower than
	// maxPaceShortfall times below the one that is needed to write the rest in time.
	paceKnownAfter   = 2 * time.Second
	maxPaceShortfall = 2
	// maxPacePart is the longest time that one part counts for the pace: an endpoint that pauses isn't slow.
	maxPacePart = time.Second
	// sendBufferBytes bounds what the kernel holds of a long request, in addition to the process. It fills a link of
	// 200 Mbit/s for 10 ms; the kernel doubles it.
	sendBufferBytes = 256 << 10
)

// start sends r. A long request is written concurrently with readHeader, since an endpoint may respond
// to a long body before it has read all of it.
func (x *activeExchange) start(r *Request) {
	x.sent.w = x.c.Conn
	head := r.encodeHead()
	if len(head)+len(r.Body) <= maxInlineWrite {
		defer close(x.writeDone)
		_, err := x.sent.Write(append(head, r.Body...))
		x.writeFailed = err != nil
		return
	}
	go x.writeLong(head, r.Body)
}

// writeLong writes a request in parts, each of which the endpoint must accept in time. If it doesn't, the exchange is
// given up, unless a response has begun: that one is still read.
func (x *activeExchange) writeLong(head, body []byte) {
	defer close(x.writeDone)
	x.c.boundSendBuffer()
	err := x.writeParts(head, body)
	x.writeFailed = err != nil
	if isStalled(err) && !x.responding.Load() {
		x.gaveUp.Store(true)
		x.c.abort()
	}
}

// isStalled reports whether a write has failed as the endpoint doesn't read. The kernel says so after userTimeout, to the
// writer or to the reader of the connection; the other one gets its end, which isn't that of the endpoint's process.
func isStalled(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

func (x *activeExchange) writeParts(head, body []byte) error {
	// The first part of the body goes with the header, in one packet as far as it fits.
	first := min(len(body), max(writePartBytes-len(head), 0))
	total := int64(len(head) + len(body))
	reading, err := x.writePart(append(head, body[:first]...))
	for part := range slices.Chunk(body[first:], writePartBytes) {
		switch {
		case err != nil:
			return err
		case x.isTooSlow(reading, total):
			return os.ErrDeadlineExceeded
		}
		var took time.Duration
		took, err = x.writePart(part)
		reading += min(took, maxPacePart)
	}
	if err != nil {
		return err
	}
	return x.c.SetWriteDeadline(time.Time{})
}

// writePart writes a part and returns how long that took.
func (x *activeExchange) writePart(part []byte) (time.Duration, error) {
	began := time.Now()
	until := began.Add(maxWritePause)
	if !x.writeBy.IsZero() && x.writeBy.Before(until) {
		until = x.writeBy
	}
	if err := x.c.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	_, err := x.sent.Write(part)
	return time.Since(began), err
}

// isTooSlow reports whether the endpoint has read for so long and so slowly that the rest can't be written in time.
func (x *activeExchange) isTooSlow(reading time.Duration, total int64) bool {
	if x.writeBy.IsZero() || reading < paceKnownAfter {
		return false
	}
	rest := reading.Seconds() * float64(total-x.sent.n) / float64(x.sent.n)
	return rest > maxPaceShortfall*time.Until(x.writeBy).Seconds()
}

// errSwitched means that an endpoint has left HTTP without having been asked to.
var errSwitched = errors.New("the endpoint switches protocols")

// readHeader skips interim responses and returns the final response once its header is read.
func (x *activeExchange) readHeader(r *Request) (*Response, error) {
	for range maxInterimResponses {
		x.c.header.begin(x.c.br.Buffered())
		resp, err := http.ReadResponse(x.c.br, &http.Request{Method: r.Method})
		x.c.header.end()
		if exceeded := x.c.header.exceeded; exceeded != nil {
			return nil, exceeded // net/http may report it as a malformed field
		}
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitched
		case resp.StatusCode < 200:
			continue
		}
		x.responding.Store(true)
		b := &body{x: x, rc: resp.Body, keepAlive: keepsAlive(resp)}
		x.c.idleTimeout = idleTimeoutFrom(resp.Header)
		out := &Response{
			Status: resp.StatusCode, Header: resp.Header, Body: b, Length: resp.ContentLength, Framed: framed(resp), body: b,
		}
		if r.ResponseID != nil {
			known, possible := x.c.belongsTo(r, r.ResponseID(resp.Header))
			// The actual response may follow, or a copy of this one that can't be told from the next response.
			b.keepAlive = b.keepAlive && known
			out.OtherRequest = !possible
		}
		return out, nil
	}
	return nil, &BoundError{Cause: Interim, Bytes: x.c.received}
}

// keepsAlive reports whether the connection can carry another exchange after resp.
func keepsAlive(resp *http.Response) bool {
	return framed(resp) && !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}

// framed reports whether the end of resp shows without the connection being closed.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// body reads a response's body. Closing it returns the connection to the pool or closes it.
type body struct {
	x         *activeExchange
	rc        io.ReadCloser
	keepAlive bool // the endpoint allows another exchange on the connection
	once      sync.Once
	sawEOF    bool
	witnessed bool // witnesses are kept until the end of the exchange
}

// Read implements io.Reader. Errors other than io.EOF wrap driver.ErrConnectionLost, or driver.ErrBadAnswer if the
// endpoint has sent chunks or a trailer that are malformed or too long.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.sawEOF = true
		return n, err
	}
	if isMalformed(err) {
		return n, fmt.Errorf("%w: %w", driver.ErrBadAnswer, err)
	}
	return n, fmt.Errorf("%w: %w", driver.ErrConnectionLost, err)
}

// isMalformed reports whether a body couldn't be read for what the endpoint has sent, not for the connection.
func isMalformed(err error) bool {
	var network net.Error
	return !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &network) && !errors.Is(err, net.ErrClosed)
}

func (b *body) close() { b.once.Do(b.finish) }

// finish returns the connection to the pool if the request was written and the response read in
// full and no bytes follow the response; otherwise it closes the connection.
func (b *body) finish() {
	x := b.x
	defer x.pool.end(x.addr, false)
	if b.witnessed {
		x.pool.endWitness(x.addr)
	}
	detached := x.detach()
	clean := b.sawEOF && b.keepAlive && detached && x.requestWritten()
	if surplus := x.c.br.Buffered(); clean && surplus > 0 {
		x.pool.countSurplus(x.addr, surplus)
		clean = false
	}
	switch {
	case clean:
		x.pool.putIdle(x.addr, x.c)
	case b.sawEOF:
		_ = x.c.Close()
	default:
		x.c.abort()
	}
}

// requestWritten reports, without waiting, whether the whole request has been written. If an
// endpoint responded before it had read the whole body, it would read the next request on the
// connection as the rest of that body.
func (x *activeExchange) requestWritten() bool {
	select {
	case <-x.writeDone:
		return !x.writeFailed
	default:
		return false
	}
}
