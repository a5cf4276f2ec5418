package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/exchange"
	"fescuestand/internal/simnet"
)

// testLatency and testJitter are those between hosts of one zone.
const (
	testLatency = 200 * time.Microsecond
	testJitter  = 100 * time.Microsecond
)

// settleTime is longer than what the gateway still does once its requests have ended.
const settleTime = time.Minute

// simulated runs a test with a gateway, its caller and its endpoints in simulated time on a simulated network. It
// fails if one of them still waits at the end.
func simulated(t *testing.T, test func(t *testing.T, w *testGateway)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newSimulatedGateway(t, 1)) })
}

// newSimulatedGateway returns a gateway on a simulated network with a seed. It is used in a bubble.
func newSimulatedGateway(t *testing.T, seed uint64) *testGateway {
	t.Helper()
	n := simnet.New(simnet.Options{Seed: seed, Latency: testLatency, Jitter: testJitter})
	t.Cleanup(func() { time.Sleep(settleTime); n.Close() })
	return newSimulatedGatewayOn(t, n, 1)
}

// newSimulatedGatewayOn returns a gateway on a simulated network with the seed of its choices.
func newSimulatedGatewayOn(t *testing.T, n *simnet.Network, seed uint64) *testGateway {
	t.Helper()
	host := n.NewHost()
	pool, relayPool := exchange.NewPool(), exchange.NewPool()
	pool.Dialer, relayPool.Dialer = host, host
	w := newSeededWorld(t, seed, simnet.Clock{}, pool, relayPool)
	w.network = n
	ln, err := host.Listen(0)
	assert.NilError(t, err)
	w.Server = &httptest.Server{Listener: ln, Config: &http.Server{Handler: w.gateway}}
	w.Start()
	transport := &http.Transport{DialContext: n.NewHost().DialContext}
	w.caller = &http.Client{Transport: transport}
	t.Cleanup(func() { transport.CloseIdleConnections(); w.Close() })
	return w
}

// serve is serve on the gateway's network, at a host of its own if that is simulated.
func (w *testGateway) serve(t *testing.T, handle func(b *backend, n int, r *http.Request, c net.Conn) bool) *backend {
	t.Helper()
	if w.network == nil {
		return serve(t, handle)
	}
	ln, err := w.network.NewHost().Listen(0)
	assert.NilError(t, err)
	return serveOn(t, ln, handle)
}

// serveUntilCrash is serve at an endpoint whose process ends with the first connection that handle closes.
func (w *testGateway) serveUntilCrash(t *testing.T, handle func(b *backend, n int, r *http.Request, c net.Conn) bool) *backend {
	t.Helper()
	ln, err := w.network.NewHost().Listen(0)
	assert.NilError(t, err)
	return serveOn(t, ln, func(b *backend, n int, r *http.Request, c net.Conn) bool {
		if handle(b, n, r, c) {
			return true
		}
		_ = ln.Close()
		return false
	})
}
