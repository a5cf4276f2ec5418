package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// scriptedConn is a connection that takes any request and gives data in reads of at most step bytes. Then it ends,
// or repeats the last part of data without end.
type scriptedConn struct {
	net.Conn
	data, again []byte
	step        int
	given       int
}

func (c *scriptedConn) DialContext(context.Context, string, string) (net.Conn, error) { return c, nil }

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		if len(c.again) == 0 {
			return 0, io.EOF
		}
		c.data = c.again
	}
	n := copy(p, c.data[:min(c.step, len(c.data))])
	c.data = c.data[n:]
	c.given += n
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error)       { return len(p), nil }
func (c *scriptedConn) Close() error                      { return nil }
func (c *scriptedConn) SetReadDeadline(_ time.Time) error { return nil }

// FuzzResponse guards against responses of any bytes, in parts of any size and with or without an end, that take more
// memory than their bounds or whose end counts as read though it wasn't.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		ok, "HTTP/1.1 103 X\r\n\r\n" + ok, "HTTP/1.1 200 OK\r\nX-A: ", "HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
	} {
		f.Add([]byte(s), 7, uint8(0))
		f.Add([]byte(s), 4096, uint8(5))
	}
	f.Fuzz(func(t *testing.T, data []byte, step int, again uint8) {
		const limit = 64 << 10
		c := &scriptedConn{data: data, step: max(step, 1), again: data[len(data)-min(len(data), int(again)):]}
		p := NewPool()
		p.Dialer = c
		resp, err := p.Do(t.Context(), "h:1", get("/"))
		if err != nil {
			assert.Assert(t, errors.Is(err, driver.ErrBadAnswer) || errors.Is(err, driver.ErrConnectionLost))
			assert.Assert(t, c.given <= maxInterimResponses*MaxHeaderBytes, "%d bytes read", c.given)
			return
		}
		defer resp.Close()
		body, err := ReadBody(resp.Body, limit)
		assert.Assert(t, len(body) <= limit)
		if err == nil {
			assert.Assert(t, bytes.Equal(body, reference(data, c)), "%q", body)
		}
	})
}

// reference returns the body of the final response in data, as net/http reads it from all bytes that c can give.
func reference(data []byte, c *scriptedConn) []byte {
	all := append([]byte(nil), data...)
	for len(c.again) > 0 && len(all) < c.given {
		all = append(all, c.again...)
	}
	br := bufio.NewReader(strings.NewReader(string(all)))
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			body, _ := io.ReadAll(resp.Body)
			return body
		}
	}
}
