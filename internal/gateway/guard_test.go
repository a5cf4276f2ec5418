package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// longStreamRoute allows more runs than streamRoute.
var longStreamRoute = catalog.Route{Kind: catalog.Stream, MaxAttempts: 4, Resumable: true}

// awaitClose waits until the gateway closes a connection.
func awaitClose(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// Guards against an endpoint that is waited for without limit: it sends its header while it is being
// replaced, which ends the replacement, and then nothing more.
func TestEndpointIsWatchedAfterItsReplacementWasCanceled(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(longStreamRoute)
		p := newPausing()
		taking := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return events(c, 1, 3, true) })
		canceled := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			p.goOn()
			awaitClose(c)
			w.addEndpoint("c", catalog.Decode, taking)
			return false
		})
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			w.addEndpoint("b", catalog.Decode, canceled)
			<-p.resume
			events(c, 1, 0, false)
			awaitClose(c)
			return false
		}))
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100", "Patience", "5000")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
	})
}

// Guards against two replacements that use the execution at the same time: a timer that has expired just
// before it is reset may begin one, and the reset timer expires while that one is pending.
func TestOnlyOneReplacementIsPending(t *testing.T) {
	x := &execution{ctx: context.Background(), callCtx: context.Background()}
	var begun atomic.Int32
	release := make(chan struct{})
	g := newGuard(x, time.Hour, func() (int, bool) {
		begun.Add(1)
		<-release
		return 1, true
	}, func() {})
	defer g.stop()
	_, taken := g.await(func() bool {
		go g.expire()
		for begun.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		second := make(chan struct{})
		go func() { defer close(second); g.expire() }()
		select {
		case <-second:
		case <-time.After(time.Second):
		}
		close(release)
		<-second
		return false
	})
	assert.Assert(t, taken)
	assert.Equal(t, begun.Load(), int32(1))
}
