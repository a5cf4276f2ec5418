package gateway

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/wire"
)

const (
	// limitWindow is the time window in which the requests to an endpoint with a limit are counted.
	// In each window limitFactor times the limit and limitExtra requests are tolerated.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitedEndpoint is an endpoint that announces a limit with each answer.
type limitedEndpoint struct {
	perSecond float64
	mu        sync.Mutex
	arrivals  []time.Time
}

func (l *limitedEndpoint) serve(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	return respond(c, 200, "ok", "Seal: s", "Limit: "+strconv.FormatFloat(l.perSecond, 'f', -1, 64))
}

// maxInWindow returns the largest number of requests in one window.
func (l *limitedEndpoint) maxInWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	maximum, first := 0, 0
	for i, t := range l.arrivals {
		for t.Sub(l.arrivals[first]) > limitWindow {
			first++
		}
		maximum = max(maximum, i-first+1)
	}
	return maximum
}

// allowedInWindow returns the number of requests that are tolerated in one window. It includes one
// request that each of vms may have sent before it received the limit.
func (l *limitedEndpoint) allowedInWindow(vms int) int {
	return int(limitFactor*limitWindow.Seconds()*l.perSecond) + limitExtra + vms
}

// exchangeBeats sends a beat from each VM to each other one.
func exchangeBeats(all []*testGateway) {
	for i, from := range all {
		b := &wire.Beat{Peer: strconv.Itoa(i)}
		from.gossip.Fill(b)
		for j, to := range all {
			if j != i {
				to.gossip.Receive(b.GetPeer(), b)
			}
		}
	}
}

// Guards against an overloaded endpoint that gets requests at an unchanged rate after it has
// announced a limit.
func TestEndpointLimitIsEnforced(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: 50 * time.Millisecond})
		l := &limitedEndpoint{perSecond: 1}
		w.addEndpoint("i-1", catalog.Whole, w.serve(t, l.serve))
		for range 30 {
			_, _, err := w.request(t, "GET", "/x/", "")
			assert.NilError(t, err)
		}
		assert.Assert(t, l.maxInWindow() <= l.allowedInWindow(1), "%d requests in 4 s, allowed %d", l.maxInWindow(), l.allowedInWindow(1))
	})
}

// Guards against VMs that each keep an endpoint's limit but exceed it together.
func TestEndpointLimitIsEnforcedAcrossVMs(t *testing.T) {
	const vms = 4
	l := &limitedEndpoint{perSecond: 2}
	b := serve(t, l.serve)
	var all []*testGateway
	for range vms {
		w := newTestGateway(t)
		w.gateway.o.VMs = func() int { return vms }
		w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: 50 * time.Millisecond})
		w.addEndpoint("i-1", catalog.Whole, b)
		all = append(all, w)
	}
	for range 20 {
		for _, w := range all {
			_, _, err := w.request(t, "GET", "/x/", "")
			assert.NilError(t, err)
		}
		exchangeBeats(all)
	}
	assert.Assert(t, l.maxInWindow() <= l.allowedInWindow(vms), "%d requests in 4 s, allowed %d", l.maxInWindow(), l.allowedInWindow(vms))
}

// Guards against requests that are refused although there will be capacity in time, and against
// requests that wait although there won't be.
func TestRequestWaitsForCapacityUntilItsTarget(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond float64
		want      int
	}{
		{"capacity in time", 50, http.StatusOK},
		{"capacity too late", 1, http.StatusServiceUnavailable},
	} {
		simulated(t, func(t *testing.T, w *testGateway) {
			w.setRoute(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, LatencyTarget: 500 * time.Millisecond})
			w.addEndpoint("i-1", catalog.Whole, w.serve(t, (&limitedEndpoint{perSecond: tc.perSecond}).serve))
			_, _, err := w.request(t, "GET", "/x/", "")
			assert.NilError(t, err)
			resp, body, err := w.request(t, "GET", "/x/", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.want, tc.name+": "+body)
			if tc.want != http.StatusOK {
				assert.Assert(t, strings.HasPrefix(body, "2008"), body)
				retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, retryAfter > 0.3, "%g s", retryAfter)
			}
		})
	}
}
