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
	// limitWindow is the span in which the requests at an endpoint that names a limit are
	// counted, and limitFactor and limitExtra are what may come in it beyond the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limited is an endpoint that names a limit with each of its answers.
type limited struct {
	perSecond float64
	mu        sync.Mutex
	came      []time.Time
}

func (l *limited) serve(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
	l.mu.Lock()
	l.came = append(l.came, time.Now())
	l.mu.Unlock()
	return respond(c, 200, "ok", "Seal: s", "Limit: "+strconv.FormatFloat(l.perSecond, 'f', -1, 64))
}

// most is the largest number of requests in one window.
func (l *limited) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, t := range l.came {
		for t.Sub(l.came[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is what may come in one window, with one request that each of vms has sent before
// it was told.
func (l *limited) allowed(vms int) int {
	return int(limitFactor*limitWindow.Seconds()*l.perSecond) + limitExtra + vms
}

// beat has each VM tell the others what a beat carries.
func beat(all []*world) {
	for i, from := range all {
		b := &wire.Beat{Peer: strconv.Itoa(i)}
		from.beats.Fill(b)
		for j, to := range all {
			if j != i {
				to.beats.Receive(b.GetPeer(), b)
			}
		}
	}
}

// Guards against an endpoint in need that gets requests at the rate of before it named a limit.
func TestALimitThatAnEndpointNamesIsKept(t *testing.T) {
	w := newWorld(t)
	w.route(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Target: 50 * time.Millisecond})
	l := &limited{perSecond: 1}
	w.endpoint("i-1", catalog.Whole, serve(t, l.serve))
	for range 30 {
		_, _, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
	}
	assert.Assert(t, l.most() <= l.allowed(1), "%d requests in 4 s, allowed %d", l.most(), l.allowed(1))
}

// Guards against VMs that each keep an endpoint's limit by themselves and exceed it together.
func TestVMsTogetherKeepTheLimitOfAnEndpoint(t *testing.T) {
	const vms = 4
	l := &limited{perSecond: 2}
	b := serve(t, l.serve)
	var all []*world
	for range vms {
		w := newWorld(t)
		w.gateway.o.VMs = func() int { return vms }
		w.route(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Target: 50 * time.Millisecond})
		w.endpoint("i-1", catalog.Whole, b)
		all = append(all, w)
	}
	for range 20 {
		for _, w := range all {
			_, _, err := w.request(t, "GET", "/x/", "")
			assert.NilError(t, err)
		}
		beat(all)
	}
	assert.Assert(t, l.most() <= l.allowed(vms), "%d requests in 4 s, allowed %d", l.most(), l.allowed(vms))
}

// Guards against requests that are refused although room for them comes in time, and against
// ones that wait although it doesn't.
func TestARequestWaitsForRoomWhileItCanBeOnTime(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perSecond float64
		want      int
	}{
		{"room comes in time", 50, http.StatusOK},
		{"room comes too late", 1, http.StatusServiceUnavailable},
	} {
		w := newWorld(t)
		w.route(catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Target: 500 * time.Millisecond})
		w.endpoint("i-1", catalog.Whole, serve(t, (&limited{perSecond: tc.perSecond}).serve))
		_, _, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		resp, body, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, tc.want, tc.name+": "+body)
		if tc.want != http.StatusOK {
			assert.Assert(t, strings.HasPrefix(body, "2008"), body)
			again, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, again > 0.3, "%g s", again)
		}
	}
}
