package gateway

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/simnet"
)

// Guards against a connection that is reset by an endpoint which goes on and counts as its crash, and against a reset
// by the end of the endpoint that counts for nothing, as another process listens at its address already.
func TestResetIsACrashOnlyIfTheEndpointHasEnded(t *testing.T) {
	for name, tc := range map[string]struct {
		after   func(w *testGateway, ln net.Listener)
		crashed []string
	}{
		"goes on":          {func(*testGateway, net.Listener) {}, nil},
		"address refuses":  {func(_ *testGateway, ln net.Listener) { _ = ln.Close() }, []string{"a@1"}},
		"refuses later":    {func(_ *testGateway, ln net.Listener) { time.Sleep(time.Second); _ = ln.Close() }, []string{"a@1"}},
		"entry ends later": {func(w *testGateway, _ net.Listener) { time.Sleep(5 * time.Second); w.store.RemoveEndpoint("a", false) }, []string{"a@1"}},
		"leaves in order": {func(w *testGateway, _ net.Listener) {
			w.store.SetLeaving("a", 1)
			w.store.RemoveEndpoint("a", false)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(commitRoute)
				ln, err := w.network.NewHost().Listen(0)
				assert.NilError(t, err)
				w.addEndpoint("a", catalog.Whole, serveOn(t, ln, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					time.Sleep(silenceTime)
					c.(*simnet.Conn).Reset()
					go tc.after(w, ln)
					return false
				}))
				resp, _, err := w.request(t, "POST", "/x/", "x")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				time.Sleep(settleTime)
				w.mu.Lock()
				defer w.mu.Unlock()
				assert.Assert(t, slices.Equal(w.crashed, tc.crashed), "%v", w.crashed)
			})
		})
	}
}

// Guards against a pause that counts as a crash, as the endpoint ends for another reason some time after it has gone on.
func TestEndAfterAPauseIsNoCrash(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
			if n == 1 {
				time.Sleep(silenceTime)
			}
			return respond(c, 200, "answer", "Seal: s")
		}))
		left, _, err := w.request(t, "POST", "/x/", "x", "Patience", "800")
		assert.NilError(t, err)
		assert.Equal(t, left.StatusCode, http.StatusGatewayTimeout)
		time.Sleep(silenceTime)
		answered, _, err := w.request(t, "POST", "/x/", "y")
		assert.NilError(t, err)
		assert.Equal(t, answered.StatusCode, http.StatusOK)
		time.Sleep(4 * time.Second)
		w.store.RemoveEndpoint("a", false)
		time.Sleep(settleTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, len(w.crashed), 0)
	})
}

// Guards against a VM that isn't known to be cut off, as its links reset new connections while exchanges go on over
// older ones.
func TestResetHasTheLinksTested(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		resets := 0
		w.gateway.o.OnReset = func() { resets++ }
		w.setRoute(commitRoute)
		ln, err := w.network.NewHost().Listen(0)
		assert.NilError(t, err)
		w.addEndpoint("a", catalog.Whole, serveOn(t, ln, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			c.(*simnet.Conn).Reset()
			return false
		}))
		_, _, err = w.request(t, "POST", "/x/", "x")
		assert.NilError(t, err)
		time.Sleep(settleTime)
		assert.Equal(t, resets, 1)
	})
}
