package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// newCutOffGateway returns a VM that reaches no endpoint and one that relays for it, with a route and an
// endpoint of its own.
func newCutOffGateway(t *testing.T, r catalog.Route, stage catalog.Stage, handle func(b *backend, n int, r *http.Request, c net.Conn) bool) (cutOff, other *testGateway) {
	t.Helper()
	cutOff, other = newTestGateway(t), newTestGateway(t)
	cutOff.setRoute(r)
	other.setRoute(r)
	cutOff.cutOff.Store(true)
	cutOff.relayTargets = []string{address(other)}
	cutOff.addEndpoint("a", stage, serve(t, func(*backend, int, *http.Request, net.Conn) bool {
		t.Error("the VM that is cut off sent a request to an endpoint")
		return false
	}))
	other.addEndpoint("a", stage, serve(t, handle))
	return cutOff, other
}

func address(w *testGateway) string { return strings.TrimPrefix(w.URL, "http://") }

// Guards against refusing requests that another VM can serve.
func TestAVMThatReachesNoEndpointRelays(t *testing.T) {
	w, _ := newCutOffGateway(t, commitRoute, catalog.Whole, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		return respond(c, 200, "to "+string(body), "Seal: s", "Left: "+r.Header.Get("Left"))
	})
	resp, body, err := w.request(t, "POST", "/x/", "body")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, "to body")
	assert.Equal(t, resp.Header.Get("Seal"), "s")
}

// Guards against a relayed stream that arrives in one piece at its end, or that looks complete when it
// isn't.
func TestRelayedStreamsAreForwardedAsTheyArrive(t *testing.T) {
	read := make(chan struct{})
	w, _ := newCutOffGateway(t, catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, catalog.Decode,
		func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			events(c, 1, 2, false)
			<-read
			return false
		})
	resp := w.openStream(t, "1")
	defer func() { _ = resp.Body.Close() }()
	first := make([]byte, len("id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n"))
	_, err := io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	assert.Equal(t, eventIDs(string(first)), "1 2")
	close(read)
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
}

// Guards against two VMs that relay a request to each other.
func TestARelayedRequestIsNotRelayedAgain(t *testing.T) {
	w, other := newCutOffGateway(t, commitRoute, catalog.Whole, answerSigned)
	other.cutOff.Store(true)
	other.relayTargets = []string{address(w)}
	resp, _, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// Guards against giving up because one of the other VMs is lost or cut off too.
func TestARelayTriesOtherVMs(t *testing.T) {
	w, other := newCutOffGateway(t, commitRoute, catalog.Whole, answerSigned)
	third := newTestGateway(t)
	third.setRoute(commitRoute)
	third.cutOff.Store(true)
	third.relayTargets = []string{address(other)}
	w.relayTargets = []string{"127.0.0.1:1", address(third), address(other)}
	for i := range 8 {
		resp, body, err := w.request(t, "POST", "/x/", fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, body, "answer")
	}
}

// Guards against relaying when no VM reaches an endpoint: the endpoints may be starting.
func TestNoRelayIfAllVMsAreCutOff(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	w.cutOff.Store(true)
	w.addEndpoint("a", catalog.Whole, serve(t, answerSigned))
	resp, _, err := w.request(t, "POST", "/x/", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
}

// Guards against a status that says that a request hasn't run, after the VM to which it was relayed was
// lost.
func TestARequestThatIsLostWithItsRelayMayHaveRun(t *testing.T) {
	w, other := newCutOffGateway(t, commitRoute, catalog.Whole, answerSigned)
	b := serve(t, cutConnection)
	w.relayTargets = []string{b.addr, address(other)}
	statuses := map[int]bool{}
	for range 20 {
		resp, _, err := w.request(t, "POST", "/x/", "")
		assert.NilError(t, err)
		statuses[resp.StatusCode] = true
	}
	assert.DeepEqual(t, statuses, map[int]bool{200: true, 502: true})
}

// Guards against work that goes on for a caller that has disconnected from the relaying VM.
func TestACallersDisconnectPassesARelay(t *testing.T) {
	ended := make(chan struct{})
	w, _ := newCutOffGateway(t, commitRoute, catalog.Whole, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	client := http.Client{Timeout: 100 * time.Millisecond}
	req, err := http.NewRequestWithContext(t.Context(), "POST", w.URL+"/x/", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Host = "h.example"
	_, err = client.Do(req) //nolint:bodyclose // there is no response
	assert.Assert(t, err != nil)
	<-ended
}

// Guards against a success without the endpoint's signature, or for another request, that is passed on from another VM.
func TestARelayedSuccessHasTheEndpointsSignature(t *testing.T) {
	for _, header := range [][]string{nil, {"Seal: s", "Id: another"}} {
		w, _ := newCutOffGateway(t, commitRoute, catalog.Whole, answerSigned)
		b := serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return respond(c, 200, "", header...) })
		w.relayTargets = []string{b.addr}
		resp, _, err := w.request(t, "POST", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	}
}
