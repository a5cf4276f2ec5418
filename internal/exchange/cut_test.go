package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"fescuestand/internal/driver"
)

// Guards against a response that was cut within its header and shows anything of the request, and against a connection
// that is used again after a response that was cut anywhere.
func TestCutResponseShowsNothing(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
	for name, text := range map[string]string{
		"without a body":    head + "Content-Length: 0\r\n\r\n",
		"length":            head + "Content-Length: 2\r\n\r\n{}",
		"chunks":            head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"no content":        "HTTP/1.1 204 No Content\r\n\r\n",
		"interim before":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
		"a short rejection": "HTTP/1.1 503 X\nContent-Length: 0\n\n",
	} {
		for end, reset := range map[string]bool{"end": false, "reset": true} {
			t.Run(name+"/"+end, func(t *testing.T) {
				at := make(chan int, 1)
				e := listen(t, func(e *endpoint, _ int, c net.Conn, br *bufio.Reader) {
					if e.read(br) == nil {
						return
					}
					answer(c, text[:<-at])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				p := NewPool()
				t.Cleanup(func() { _ = p.Close() })
				for n := range len(text) {
					at <- n
					resp, err := p.Do(t.Context(), e.addr, get("/"))
					if err == nil {
						_, err = io.ReadAll(resp.Body)
						resp.Close()
					}
					assert.Assert(t, err != nil && !errors.Is(err, driver.ErrNotSent), "byte %d of %q: %v", n, text, err)
					if resp == nil {
						assert.ErrorIs(t, err, driver.ErrConnectionLost)
					}
					assert.Equal(t, idleCount(p, e.addr), 0)
				}
			})
		}
	}
}
