package gateway

import (
	"errors"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// maxCloseTime is within which the connection must have closed.
const maxCloseTime = 2 * time.Second

// maxRefusalTime is within which a refusal that is known at once must have arrived.
const maxRefusalTime = 300 * time.Millisecond

// Guards against a refusal that is sent only after the request's body has arrived.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	_, addr := startFront(t, w.gateway)
	for name, head := range map[string]string{
		"length":   "POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 9\r\n\r\n",
		"part":     "POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc",
		"long":     "POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 900000\r\n\r\n",
		"chunked":  "POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"expected": "POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := dialFront(t, addr)
			c.send(t, head)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxRefusalTime)))
			got := c.read()
			assert.NilError(t, got.broken)
			assert.Equal(t, got.status, 404)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxCloseTime)))
			_, err := c.answers.ReadByte()
			assert.ErrorContains(t, err, "EOF")
		})
	}
}

// Guards against a refusal that costs the caller its connection although its request has arrived whole.
func TestRefusalKeepsTheConnectionOfAWholeRequest(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	_, addr := startFront(t, w.gateway)
	c := dialFront(t, addr)
	for range 20 {
		for _, request := range []string{
			"POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc",
			"POST /none/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		} {
			c.send(t, request)
			got := c.read()
			assert.NilError(t, got.broken)
			assert.Equal(t, got.status, 404)
			time.Sleep(bodyGrace)
		}
	}
}

// Guards against a body with invalid framing that is taken for a slow one, or after which the connection is used on.
func TestInvalidFramingIsRefused(t *testing.T) {
	const head = "POST /x/ HTTP/1.1\r\nHost: h.example\r\nId: 1\r\n"
	for name, tc := range map[string]struct {
		request string
		status  int
	}{
		"chunk length":        {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", 400},
		"chunk end":           {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n", 400},
		"two lengths":         {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		"length no number":    {head + "Content-Length: x\r\n\r\n", 400},
		"unknown coding":      {head + "Transfer-Encoding: gzip\r\n\r\n", 501},
		"no host":             {"POST /x/ HTTP/1.1\r\nId: 1\r\n\r\n", 400},
		"invalid header line": {"POST /x/ HTTP/1.1\r\nHost: h.example\r\nId : 1\r\n\r\n", 400},
		"no request":          {"\x16\x03\x01 what\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestGateway(t)
			w.setRoute(commitRoute)
			b := serve(t, answerSigned)
			w.addEndpoint("a", catalog.Whole, b)
			_, addr := startFront(t, w.gateway)
			c := dialFront(t, addr)
			c.send(t, tc.request+requestText("1.1", "2", "smuggled"))
			got := c.read()
			assert.NilError(t, got.broken)
			assert.Equal(t, got.status, tc.status)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(maxCloseTime)))
			rest, err := c.answers.Peek(1)
			assert.Assert(t, len(rest) == 0 && !errors.Is(err, os.ErrDeadlineExceeded), "%q, %v", rest, err)
			assert.Equal(t, b.arrivals.Load(), int32(0))
		})
	}
}
