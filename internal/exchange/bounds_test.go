package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// flood writes text again and again until that fails, and reports how much was written.
func flood(c net.Conn, text string, written chan<- int64) {
	n := int64(0)
	for {
		k, err := io.WriteString(c, text)
		n += int64(k)
		if err != nil {
			written <- n
			return
		}
	}
}

// Guards against an endpoint that fills the memory with a response's header: net/http reads header lines
// without a bound.
func TestHeaderWithoutEndIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		first, again string
		cause        Cause
	}{
		"status line":  {"HTTP/1.1 200 ", strings.Repeat("a", 4<<10), Header},
		"field":        {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 4<<10), Header},
		"fields":       {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-A: b\r\n", 512), Header},
		"folded field": {"HTTP/1.1 200 OK\r\nX-A: a\r\n", strings.Repeat(" b\r\n", 512), Header},
		"interim":      {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 64), Interim},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int64, 1)
			e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
				e.read(br)
				answer(c, tc.first)
				flood(c, tc.again, written)
			})
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := NewPool().Do(ctx, e.addr, get("/"))
			var exceeded *BoundError
			assert.Assert(t, errors.As(err, &exceeded), "%v", err)
			assert.Equal(t, exceeded.Cause, tc.cause)
			assert.Assert(t, exceeded.Bytes <= MaxHeaderBytes*maxInterimResponses, "%d", exceeded.Bytes)
			assert.ErrorIs(t, err, driver.ErrBadAnswer)
			assert.Assert(t, !errors.Is(err, driver.ErrConnectionLost) && !errors.Is(err, driver.ErrNotSent), "%v", err)
			assert.Assert(t, time.Since(began) < 500*time.Millisecond)
			<-written // the connection was closed
		})
	}
}

// Guards against a bound that the header of a working endpoint exceeds, or one that counts its body.
func TestHeaderWithinTheBoundIsRead(t *testing.T) {
	const head, end = "HTTP/1.1 200 OK\r\nContent-Length: 131072\r\nX-A: ", "\r\n\r\n"
	body := strings.Repeat("b", 128<<10)
	for name, tc := range map[string]struct {
		bytes int
		fails bool
	}{"at the bound": {bytes: MaxHeaderBytes}, "over it": {bytes: MaxHeaderBytes + 1, fails: true}} {
		t.Run(name, func(t *testing.T) {
			field := strings.Repeat("a", tc.bytes-len(head)-len(end))
			e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
				e.read(br)
				answer(c, "HTTP/1.1 103 Early Hints\r\n\r\n"+head+field+end+body)
			})
			got, err := do(t, NewPool(), e.addr, get("/"))
			assert.Equal(t, err != nil, tc.fails, "%v", err)
			assert.Assert(t, tc.fails || got == body)
		})
	}
}

// Guards against a trailer or a chunk's line without end that fills the memory, or counts as a lost connection: the
// endpoint is still there.
func TestBodiesWithMalformedChunksAreInvalid(t *testing.T) {
	for name, rest := range map[string]string{"trailer": "0\r\nX-A: ", "chunk line": "1;"} {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
				e.read(br)
				answer(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"+rest)
				flood(c, strings.Repeat("a", 4<<10), make(chan int64, 1))
			})
			_, err := do(t, NewPool(), e.addr, get("/"))
			assert.ErrorIs(t, err, driver.ErrBadAnswer)
			assert.Assert(t, !errors.Is(err, driver.ErrConnectionLost))
		})
	}
}

// Guards against bytes without end after a response: they filled the kernel's buffers until the connection's
// idle time had passed.
func TestSurplusClosesTheIdleConnectionAtOnce(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "later": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan time.Time, 1)
			e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
				e.read(br)
				answer(c, ok)
				time.Sleep(delay)
				flood(c, strings.Repeat("a", 1<<10), make(chan int64, 1))
				closed <- time.Now()
			})
			p := NewPool()
			reported := make(chan *BoundError, 1)
			p.OnExceeded = func(_ string, e *BoundError) { reported <- e }
			body, err := do(t, p, e.addr, get("/"))
			assert.NilError(t, err)
			assert.Equal(t, body, "ok")
			ended := time.Now()
			select {
			case at := <-closed:
				assert.Assert(t, at.Sub(ended) < delay+300*time.Millisecond)
				assert.Equal(t, (<-reported).Cause, Surplus)
			case <-time.After(2 * time.Second):
				t.Fatal("the connection stays open")
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			assert.Equal(t, len(p.idle[e.addr]), 0)
		})
	}
}

// Guards against a header that arrives slowly without end and outlasts the exchange's time limit.
func TestSlowHeaderEndsWithTheExchange(t *testing.T) {
	e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
		e.read(br)
		answer(c, "HTTP/1.1 200 OK\r\nX-A: ")
		for {
			if _, err := io.WriteString(c, strings.Repeat("a", 100)); err != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := NewPool().Do(ctx, e.addr, get("/"))
	assert.ErrorIs(t, err, driver.ErrConnectionLost)
	assert.Assert(t, time.Since(began) < 400*time.Millisecond)
}

// Guards against a rejection whose body is read without a bound, or for a long time.
func TestDiscardIsBounded(t *testing.T) {
	for name, tc := range map[string]struct {
		handle func(c net.Conn)
		want   func(err error) bool
		kept   bool
	}{
		"whole": {func(c net.Conn) { answer(c, ok) }, func(err error) bool { return err == nil }, true},
		"without end": {func(c net.Conn) {
			answer(c, "HTTP/1.1 503 X\r\nConnection: keep-alive\r\n\r\n")
			flood(c, "aaaaaaaa", make(chan int64, 1))
		}, func(err error) bool { return errors.As(err, new(*BoundError)) }, false},
		"slow": {func(c net.Conn) {
			answer(c, "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n")
			_, _ = c.Read(make([]byte, 1))
		}, func(err error) bool { return err != nil && !errors.As(err, new(*BoundError)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
				for e.read(br) != nil {
					tc.handle(c)
				}
			})
			p := NewPool()
			resp, err := p.Do(t.Context(), e.addr, get("/"))
			assert.NilError(t, err)
			err = resp.Discard(1<<10, 50*time.Millisecond)
			assert.Assert(t, tc.want(err), "%v", err)
			resp.Close()
			p.mu.Lock()
			defer p.mu.Unlock()
			assert.Equal(t, len(p.idle[e.addr]) == 1, tc.kept)
		})
	}
}
