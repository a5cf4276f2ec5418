package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(2*bodyLinger)))
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
