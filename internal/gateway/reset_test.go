package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/simnet"
)

// lostConnections are the ways in which an endpoint's connection is lost.
var lostConnections = map[string]func(c net.Conn){
	"reset":            func(c net.Conn) { c.(*simnet.Conn).Reset() },
	"closed":           func(net.Conn) {},
	"closed in a head": write("HTTP/1.1 200 OK\r\nSe"),
	"closed in a body": write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart"),
}

// endpointAtHost is an endpoint at a host of its own.
type endpointAtHost struct {
	host *simnet.Host
	ln   net.Listener
	w    *testGateway
}

// restart has another process listen at the endpoint's address.
func (e *endpointAtHost) restart(t *testing.T) {
	e.host.CloseAll()
	ln, err := e.host.Listen(uint16(e.ln.Addr().(*net.TCPAddr).Port))
	assert.Check(t, err)
	serveOn(t, ln, answerSigned)
}

// Guards against a lost connection to an endpoint which goes on that counts as its crash, and against one which is lost
// by the end of the endpoint and counts for nothing, as another process listens at its address already.
func TestLostConnectionIsACrashOnlyIfTheEndpointHasEnded(t *testing.T) {
	crashed := []string{"a@1"}
	for name, tc := range map[string]struct {
		after   func(t *testing.T, e *endpointAtHost)
		crashed []string
	}{
		"goes on":         {func(*testing.T, *endpointAtHost) {}, nil},
		"address refuses": {func(_ *testing.T, e *endpointAtHost) { _ = e.ln.Close() }, crashed},
		"refuses later":   {func(_ *testing.T, e *endpointAtHost) { time.Sleep(time.Second); _ = e.ln.Close() }, crashed},
		"entry ends later": {func(_ *testing.T, e *endpointAtHost) {
			time.Sleep(5 * time.Second)
			e.w.store.RemoveEndpoint("a", false)
		}, crashed},
		"restarts at its address": {func(t *testing.T, e *endpointAtHost) {
			e.restart(t)
			time.Sleep(time.Second)
			e.w.restartEntry("a", 2)
		}, crashed},
		"doesn't answer": {func(_ *testing.T, e *endpointAtHost) {
			time.Sleep(testLatency + 2*testJitter) // the end of the connection is under way
			e.host.Silence()
		}, crashed},
		"leaves in order": {func(_ *testing.T, e *endpointAtHost) {
			e.w.store.SetLeaving("a", 1)
			e.w.store.RemoveEndpoint("a", false)
		}, nil},
	} {
		for how, lose := range lostConnections {
			t.Run(name+"/"+how, func(t *testing.T) {
				simulated(t, func(t *testing.T, w *testGateway) {
					w.setRoute(commitRoute)
					e := &endpointAtHost{host: w.network.NewHost(), w: w}
					var err error
					e.ln, err = e.host.Listen(0)
					assert.NilError(t, err)
					w.addEndpoint("a", catalog.Whole, serveOn(t, e.ln, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						time.Sleep(silenceTime)
						lose(c)
						go tc.after(t, e)
						return false
					}))
					resp, _, err := w.request(t, "POST", "/x/", "x")
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
					time.Sleep(settleTime)
					want := tc.crashed
					if how == "reset" && name == "doesn't answer" {
						want = nil // so does a partition
					}
					w.mu.Lock()
					defer w.mu.Unlock()
					assert.Assert(t, slices.Equal(w.crashed, want), "%v", w.crashed)
				})
			})
		}
	}
}

// Guards against a request that ends endpoints a while after the first event of its stream and counts for nothing, as
// they are back at their addresses at once.
func TestLateEndOfAStreamIsACrashOfItsRequest(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(catalog.Route{Kind: catalog.Stream, MaxAttempts: 1})
		e := &endpointAtHost{host: w.network.NewHost(), w: w}
		var err error
		e.ln, err = e.host.Listen(0)
		assert.NilError(t, err)
		w.addEndpoint("a", catalog.Whole, serveOn(t, e.ln, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			events(c, 1, 1, false)
			time.Sleep(settledRunTime)
			write("1b\r\nid: 2\ndata: another piece\n\n\r\n")(c)
			time.Sleep(silenceCallTime)
			e.restart(t)
			time.AfterFunc(time.Second, func() { w.restartEntry("a", 2) })
			return false
		}))
		_, _, err = w.request(t, "POST", "/x/", "x", "Tokens", "100", "Parts", "1:50 2:50")
		assert.Assert(t, err != nil)
		time.Sleep(settleTime)
		request := fingerprint(&Call{Host: "h.example", Target: "/x/", Body: []byte("x")})
		assert.Equal(t, w.crashes.CrashCount(w.clock.Now(), request), 1)
		assert.Equal(t, w.crashes.PartCrashCount(w.clock.Now(), 1), 0)
	})
}

// Guards against requests that are refused for minutes, as the connections of endpoints which live on ended within
// their answers.
func TestCutAnswersOfLivingEndpointsQuarantineNothing(t *testing.T) {
	for _, tc := range crashes {
		t.Run(tc.name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(tc.route)
				cut := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					tc.end(c)
					return false
				})
				for i := range 9 {
					w.addEndpoint(fmt.Sprint(i), tc.stage, cut)
				}
				if tc.stage == catalog.Prefill {
					w.addEndpoint("decode", catalog.Decode, cut)
				}
				for range 12 {
					_, body, err := w.request(t, "POST", "/x/", "the same", "Tokens", "20000", "Parts", "1:20000")
					assert.Assert(t, err != nil || !strings.Contains(body, errQuarantined.Error()), body)
				}
				time.Sleep(settleTime)
				w.mu.Lock()
				defer w.mu.Unlock()
				assert.Equal(t, len(w.crashed), 0, "%v", w.crashed)
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
