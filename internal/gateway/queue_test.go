package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// Guards against a stream that counts as waiting for capacity while it is answered: others wait behind it, and
// when it must be resumed, the deadline of its wait at the beginning has passed.
func TestStreamLeavesTheQueueWhenItIsSent(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, Resumable: true, LatencyTarget: time.Second})
		const header = "HTTP/1.1 200 OK\r\nSeal: s\r\nLimit: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		p := newPausing()
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, header+"13\r\nid: 1\ndata: piece\n\n\r\n")
			if n == 1 {
				_, err := io.WriteString(c, "0\r\n\r\n")
				return err == nil
			}
			return p.write(c, "0\r\n\r\n")
		}))
		first := w.openStream(t, "1")
		_, _ = io.Copy(io.Discard, first.Body)
		assert.NilError(t, first.Body.Close())
		second := w.openStream(t, "2")
		defer func() { assert.NilError(t, second.Body.Close()) }()
		assert.Equal(t, second.StatusCode, http.StatusOK)
		_, err := io.ReadFull(second.Body, make([]byte, 1))
		assert.NilError(t, err)
		q := w.gateway.queueFor("s")
		assert.Equal(t, q.next, uint64(1), "the stream has waited")
		assert.Equal(t, q.countAhead(q.enter()), 0)
		p.goOn()
		_, _ = io.Copy(io.Discard, second.Body)
	})
}
