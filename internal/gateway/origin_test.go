package gateway

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/origin"
)

// addVersion adds an engine of a software version to the catalog.
func (w *testGateway) addVersion(id, version string, stage catalog.Stage, b *backend) {
	w.store.SetEndpoint(&catalog.Endpoint{ID: id, Service: "s", Version: version, Address: b.addr, Zone: "z", Stage: stage, Slots: 8, Born: 1, Sequence: 1})
	w.gateway.o.Planner.SetView(w.store.View())
}

// serveRest starts an engine that sends the events up to last that follow the caller's last one.
func serveRest(t *testing.T, last int) *backend {
	return serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		first := 1
		if after := r.Header.Get("Last"); after != "" {
			first = int(after[0]-'0') + 1
		}
		return events(c, first, last, true)
	})
}

// Guards against a stream that goes on, within one answer, at an engine of another version.
func TestBrokenStreamResumesAtItsVersionOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		others map[string]string // versions of the other engines, by id
		want   string            // events, empty if the stream ends early
	}{
		"same version":            {map[string]string{"b": "v1"}, "1 2 3 4 5"},
		"other version":           {map[string]string{"b": "v2", "c": "v3"}, ""},
		"same and other versions": {map[string]string{"b": "v2", "c": "v2", "d": "v1"}, "1 2 3 4 5"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(streamRoute)
			began, breakOff := make(chan struct{}), make(chan struct{})
			w.addVersion("a", "v1", catalog.Decode, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				close(began)
				events(c, 1, 3, false)
				<-breakOff
				return false
			}))
			done := make(chan string)
			go func() {
				_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
				if err != nil {
					body = ""
				}
				done <- eventIDs(body)
			}()
			<-began
			started := map[string]*backend{}
			for id, version := range tc.others {
				started[id] = serveRest(t, 5)
				w.addVersion(id, version, catalog.Decode, started[id])
			}
			close(breakOff)
			assert.Equal(t, <-done, tc.want)
			for id, b := range started {
				assert.Assert(t, tc.others[id] == "v1" || b.arrivals.Load() == 0, "%s of %s was used", id, tc.others[id])
			}
		})
	}
}

// Guards against a stream that a caller takes up and that goes on at an engine of another version, and
// against a caller that waits for a stream that can't go on.
func TestTakenUpStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		origin origin.Origin
		source originsync.Source
		status int
		code   string
		engine string // that runs it
	}{
		"unread":                 {origin.Origin{}, originsync.Unread, 503, "3014", ""},
		"known":                  {origin.Origin{Service: "s", Version: "v2"}, originsync.Peer, 200, "", "b"},
		"known, by this VM":      {origin.Origin{Service: "s", Version: "v1"}, originsync.Own, 200, "", "a"},
		"the only version":       {origin.Origin{Service: "s", Version: "v1"}, originsync.Only, 200, "", "a"},
		"unknown":                {origin.Origin{}, originsync.Unknown, 503, "3013", ""},
		"no endpoint left":       {origin.Origin{Service: "s", Version: "v0"}, originsync.Peer, 503, "3012", ""},
		"service no longer used": {origin.Origin{Service: "other", Version: "v1"}, originsync.Peer, 503, "3012", ""},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.origins.origin, w.origins.found = tc.origin, tc.source
			w.setRoute(streamRoute)
			engines := map[string]*backend{"a": serveRest(t, 5), "b": serveRest(t, 5)}
			w.addVersion("a", "v1", catalog.Decode, engines["a"])
			w.addVersion("b", "v2", catalog.Decode, engines["b"])
			resp, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100", "Resumes", "0", "Last", "3")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tc.status)
			for id, b := range engines {
				assert.Equal(t, b.arrivals.Load() > 0, id == tc.engine, id)
			}
			if tc.status == 200 {
				assert.Equal(t, eventIDs(body), "4 5")
				assert.Equal(t, w.origins.recorded[origin.KeyOf("0")], tc.origin)
				return
			}
			assert.Assert(t, strings.HasPrefix(body, tc.code), body)
			assert.Equal(t, resp.Header.Get("Retry-After") == "", tc.source != originsync.Unread, "other refusals are final")
		})
	}
}

// Guards against a stream whose version nobody knows since its VM ended right after the first event.
func TestOriginIsRecordedBeforeTheFirstEvent(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	finish := make(chan struct{})
	w.addVersion("a", "v1", catalog.Decode, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		events(c, 1, 1, false)
		<-finish
		return false
	}))
	resp := w.openStream(t, "7")
	_, err := resp.Body.Read(make([]byte, 1))
	assert.NilError(t, err)
	w.origins.mu.Lock()
	assert.Check(t, w.origins.recorded[origin.KeyOf("7")] == origin.Origin{Service: "s", Version: "v1"})
	w.origins.mu.Unlock()
	close(finish)
	assert.NilError(t, resp.Body.Close())
}

// Guards against a taken-up stream that an engine never begins, as new requests that have less time left come first.
func TestTakenUpStreamsAreTheMostUrgentAtTheirEngine(t *testing.T) {
	w := newTestGateway(t)
	w.origins.origin, w.origins.found = origin.Origin{Version: "v1"}, originsync.Peer
	route := streamRoute
	route.LatencyTarget = 400 * time.Millisecond
	w.setRoute(route)
	ranks := make(chan string, 2)
	w.addVersion("a", "v1", catalog.Decode, serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		ranks <- r.Header.Get("Urgency")
		return events(c, 4, 5, true)
	}))
	for _, tc := range []struct {
		resumes string
		want    bool
	}{{"0", true}, {"", false}} {
		header := []string{"Tokens", "10", "Patience", "8000"}
		if tc.resumes != "" {
			header = append(header, "Resumes", tc.resumes, "Last", "3")
		}
		resp, _, err := w.request(t, "POST", "/x/", tc.resumes, header...)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, <-ranks == "0", tc.want)
	}
}

// Guards against a stream that begins at a version of which no record outlives all VMs.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	for name, tc := range map[string]struct {
		visible, recorded []string
		want              string // engine
	}{
		"one of two versions":          {[]string{"v1", "v2"}, []string{"v1"}, "a"},
		"the other":                    {[]string{"v1", "v2"}, []string{"v2"}, "b"},
		"a version that doesn't serve": {[]string{"v1"}, []string{"v0", "v1"}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestGateway(t)
			w.setRoute(streamRoute)
			w.origins.setRecord(tc.visible, tc.recorded)
			engines := map[string]*backend{"a": serveRest(t, 5), "b": serveRest(t, 5)}
			w.addVersion("a", "v1", catalog.Decode, engines["a"])
			if len(tc.visible) > 1 {
				w.addVersion("b", "v2", catalog.Decode, engines["b"])
			}
			for i := range 6 {
				resp, body, err := w.request(t, "POST", "/x/", strconv.Itoa(i), "Tokens", "100")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
				assert.Equal(t, eventIDs(body), "1 2 3 4 5")
			}
			assert.Equal(t, engines[tc.want].arrivals.Load(), int32(6))
		})
	}
}

// Guards against a service that stops because a version can't be recorded.
func TestStreamsBeginWhereNoVersionIsRecorded(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	w.origins.setRecord([]string{"v1"}, nil)
	w.addVersion("a", "v1", catalog.Decode, serveRest(t, 5))
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Equal(t, eventIDs(body), "1 2 3 4 5")
}

// Guards against a stream that begins off the record since its request can use none of the endpoints on record, although
// these suffice for the service.
func TestStreamsStayOnRecordWhereItSuffices(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	w.origins.setRecord([]string{"v1", "v2"}, []string{"v1"})
	other := serveRest(t, 5)
	w.addVersion("a", "v1", catalog.Prefill, serveRest(t, 5))
	w.addVersion("b", "v2", catalog.Decode, other)
	resp, _, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode != http.StatusOK && other.arrivals.Load() == 0)
}

// Guards against records of streams that no caller may take up, and of requests that aren't streams.
func TestOnlyResumableStreamsAreRecorded(t *testing.T) {
	for name, route := range map[string]catalog.Route{
		"stream that can't be resumed": {Kind: catalog.Stream, MaxAttempts: 2},
		"call":                         {Kind: catalog.Idempotent, MaxAttempts: 2},
	} {
		w := newTestGateway(t)
		w.setRoute(route)
		w.addVersion("a", "v1", catalog.Decode, serveRest(t, 2))
		_, _, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err, name)
		assert.Equal(t, len(w.origins.recorded), 0, name)
	}
}

// Guards against a prompt that is refused since the decode engine of its prefill's version has gone while
// engines of another version serve.
func TestPromptIsPlacedAgainIfItsVersionHasNoDecodeEngineLeft(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(streamRoute)
	other := serveRest(t, 2)
	prefill := serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
		if r.Method == "POST" {
			w.store.RemoveEndpoint("d1", false)
		}
		return answerPrefill(b, n, r, c)
	})
	w.addVersion("p1", "v1", catalog.Prefill, prefill)
	w.addVersion("d1", "v1", catalog.Decode, serveRest(t, 2))
	w.addVersion("d2", "v2", catalog.Decode, other)
	_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
	assert.NilError(t, err)
	assert.Equal(t, eventIDs(body), "1 2")
	assert.Equal(t, other.arrivals.Load(), int32(1))
}
