package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

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
}

// maxInlineWrite is the size of a request in bytes up to which it is written before its response is
// read. It fits into the send buffer of an idle connection, so that the write doesn't wait for the
// endpoint. The connection of a request that is written concurrently is closed if the response ends
// before the writer has returned.
const maxInlineWrite = 8 << 10

// start sends r. A long request is written concurrently with readHeader, since an endpoint may respond
// to a long body before it has read all of it.
func (x *activeExchange) start(r *Request) {
	data := r.encode()
	if len(data) <= maxInlineWrite {
		x.write(data)
		return
	}
	go x.write(data)
}

func (x *activeExchange) write(data []byte) {
	defer close(x.writeDone)
	x.sent.w = x.c.Conn
	_, err := x.sent.Write(data)
	x.writeFailed = err != nil
}

// readHeader skips interim responses and returns the final response once its header is read.
func (x *activeExchange) readHeader(method string) (*Response, error) {
	for range maxInterimResponses {
		x.c.header.begin(x.c.br.Buffered())
		resp, err := http.ReadResponse(x.c.br, &http.Request{Method: method})
		x.c.header.end()
		if exceeded := x.c.header.exceeded; exceeded != nil {
			return nil, exceeded // net/http may report it as a malformed field
		}
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		b := &body{x: x, rc: resp.Body, keepAlive: keepsAlive(resp)}
		x.c.idleTimeout = idleTimeoutFrom(resp.Header)
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Body: b, Length: resp.ContentLength, Framed: framed(resp), body: b,
		}, nil
	}
	return nil, &BoundError{Cause: Interim, Bytes: x.c.received}
}

// keepsAlive reports whether the connection can carry another exchange after resp.
func keepsAlive(resp *http.Response) bool {
	return framed(resp) && !resp.Close && !strings.EqualFold(resp.Header.Get("Connection"), "close")
}

// framed reports whether the end of resp shows without the connection being closed.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// body reads a response's body. Closing it returns the connection to the pool or closes it.
type body struct {
	x         *activeExchange
	rc        io.ReadCloser
	keepAlive bool // the endpoint allows another exchange on the connection
	once      sync.Once
	sawEOF    bool
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
	detached := x.detach()
	clean := b.sawEOF && b.keepAlive && detached && x.requestWritten()
	if surplus := x.c.br.Buffered(); clean && surplus > 0 {
		x.pool.countSurplus(x.addr, surplus)
		clean = false
	}
	if !clean {
		_ = x.c.Close()
		return
	}
	x.pool.putIdle(x.addr, x.c)
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
