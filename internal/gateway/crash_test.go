package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/simnet"
	"fescuestand/internal/wire"
)

// crashes are the ways in which an endpoint's process ends while it runs a request, as its
// connection shows them.
var crashes = []struct {
	name  string
	route catalog.Route
	stage catalog.Stage
	end   func(c net.Conn)
}{
	{"BeforeTheHeader", lookupRoute, catalog.Whole, func(net.Conn) {}},
	{"InsideTheHeader", lookupRoute, catalog.Whole, write("HTTP/1.1 200 OK\r\nContent-")},
	{"InsideABody", lookupRoute, catalog.Whole, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")},
	{"InsideABodyOfACommit", commitRoute, catalog.Whole, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")},
	{"InsideAFailure", lookupRoute, catalog.Whole, write("HTTP/1.1 500 X\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")},
	{"StreamBeforeTheHeader", streamRoute, catalog.Decode, func(net.Conn) {}},
	{"StreamBeforeTheFirstEvent", streamRoute, catalog.Decode, func(c net.Conn) { events(c, 1, 0, false) }},
	{"StreamInsideTheFirstEvent", streamRoute, catalog.Decode, func(c net.Conn) {
		events(c, 1, 0, false)
		_, _ = io.WriteString(c, "6\r\nid: 1\n\r\n")
	}},
	{"StreamAfterAnEvent", streamRoute, catalog.Decode, writeNextEvent()},
	{"StreamWithoutLength", streamRoute, catalog.Decode, write("HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nid: 1\n")},
	{"InsideAPrefill", streamRoute, catalog.Prefill, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\n\"h")},
}

// writeNextEvent begins a stream with one event, whose id follows all that it has written before.
func writeNextEvent() func(net.Conn) {
	var id atomic.Int32
	return func(c net.Conn) {
		next := int(id.Add(1))
		events(c, next, next, false)
	}
}

func write(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// runners counts the endpoints that began to run a request.
type runners struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *runners) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *runners) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ids)
}

// Guards against a request that ends endpoint after endpoint because only an end before the response
// header counts as a crash.
func TestEachWayOfCrashingCounts(t *testing.T) {
	for _, tc := range crashes {
		t.Run(tc.name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(tc.route)
				ran := &runners{ids: map[string]bool{}}
				for i := range 9 {
					id := fmt.Sprint(i)
					w.addEndpoint(id, tc.stage, w.serveUntilCrash(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						ran.add(id)
						tc.end(c)
						return false
					}))
				}
				if tc.stage == catalog.Prefill {
					w.addEndpoint("decode", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						return events(c, 1, 1, true)
					}))
				}
				for range 12 {
					// The caller's error is a stream that breaks off.
					_, _, _ = w.request(t, "POST", "/x/", "the same", "Tokens", "20000", "Parts", "1:20000")
				}
				assert.Equal(t, ran.count(), 3)
			})
		})
	}
}

// unusableAnswers are answers that the gateway doesn't wait for the end of.
var unusableAnswers = map[string]struct {
	route catalog.Route
	begin func(c net.Conn)
}{
	"repeated event": {streamRoute, func(c net.Conn) { events(c, 1, 1, false) }},
	"unsigned":       {streamRoute, write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")},
	"encoded":        {streamRoute, write("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Encoding: br\r\nTransfer-Encoding: chunked\r\n\r\n")},
	"other request":  {lookupRoute, write("HTTP/1.1 200 OK\r\nSeal: s\r\nId: other\r\nContent-Length: 9\r\n\r\n")},
	"no response":    {lookupRoute, write("no response\r\n\r\n")},
}

// Guards against a request that ends endpoint after endpoint and counts for nothing, as the gateway has broken off the
// answer right before each end.
func TestEndAfterAnUnusableAnswerCounts(t *testing.T) {
	for name, tc := range unusableAnswers {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(tc.route)
				ran := &runners{ids: map[string]bool{}}
				for i := range 12 {
					id := fmt.Sprint(i)
					w.addEndpoint(id, catalog.Whole, w.serveUntilCrash(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						ran.add(id)
						tc.begin(c)
						time.Sleep(20 * time.Millisecond)
						return false
					}))
				}
				for range 12 {
					_, _, _ = w.request(t, "POST", "/x/", "the same", "Tokens", "100") // fails if the stream breaks off
					time.Sleep(time.Second)
				}
				most := 2 + tc.route.MaxAttempts // the attempts of one request may come before the evidence
				assert.Assert(t, ran.count() <= most, "%d endpoints ended, %d allowed", ran.count(), most)
			})
		})
	}
}

// Guards against a caller that learns of the quarantine only by a closed connection.
func TestAQuarantinedRequestIsRefusedAsNotRun(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(lookupRoute)
		for i := range 6 {
			w.addEndpoint(fmt.Sprint(i), catalog.Whole, w.serveUntilCrash(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				crashes[2].end(c)
				return false
			}))
		}
		statuses := []string{}
		for range 4 {
			resp, _, err := w.request(t, "POST", "/x/", "the same")
			assert.NilError(t, err)
			statuses = append(statuses, fmt.Sprint(resp.StatusCode))
		}
		assert.Equal(t, strings.Join(statuses, " "), "502 502 503 503")
	})
}

// newCrashContent returns the gossip content of a VM that has just started.
func newCrashContent(c clock.Clock) *GossipContent {
	eras := era.NewTracker(c)
	store := catalog.NewStore(c)
	return &GossipContent{
		Clock: c, Eras: eras, Planner: place.New("z", 1), Pressure: backpressure.New(1), Crashes: crash.New(), Catalog: store,
		Changes: NewChanges(c, eras, keyedlog.New("fleet", nil)), RequestRate: func() float64 { return 0 },
		OnOrder: func(string) {}, OnPeerConfigVersion: func(string, uint64) {}, OnChange: func() {},
	}
}

// tell has one VM send its updates to another.
func tell(from, to *GossipContent) {
	b := &wire.Beat{Peer: "from", Probe: &wire.Probe{}}
	from.FillUpdates(b)
	to.Receive("from", b)
}

// Guards against a VM that runs a request that the others have quarantined, as it restarted, joined or
// was partitioned while the crashes were announced.
func TestAVMThatMissedTheAnnouncementsLearnsOfQuarantines(t *testing.T) {
	now := &clock.Manual{T: clock.Time(time.Hour)}
	old, restarted := newCrashContent(now), newCrashContent(now)
	for _, endpoint := range []string{"a", "b", "c"} {
		old.RecordOwnCrash(crash.Crash{Request: 7, Endpoint: endpoint})
	}
	now.T = now.T.Add(20 * time.Second)
	tell(old, restarted)
	assert.Assert(t, restarted.Crashes.ShouldRefuse(now.Now(), 7))

	// Neither VM keeps the quarantine alive by telling the other of it.
	for range 200 {
		now.T = now.T.Add(5 * time.Second)
		tell(old, restarted)
		tell(restarted, old)
	}
	assert.Assert(t, !old.Crashes.ShouldRefuse(now.Now(), 7))
	assert.Assert(t, !restarted.Crashes.ShouldRefuse(now.Now(), 7))
}

// Guards against a quarantine that doesn't arrive because a crashed engine ran more requests than fit
// the announcements.
func TestAQuarantineIsToldBesideManyCrashes(t *testing.T) {
	now := &clock.Manual{T: clock.Time(time.Hour)}
	old, other := newCrashContent(now), newCrashContent(now)
	for _, endpoint := range []string{"a", "b", "c"} {
		for request := range uint64(4 * maxAnnouncements) {
			old.RecordOwnCrash(crash.Crash{Request: 1000*uint64(endpoint[0]) + request, Endpoint: endpoint})
		}
		old.RecordOwnCrash(crash.Crash{Request: 7, Endpoint: endpoint})
		now.T = now.T.Add(100 * time.Millisecond)
	}
	tell(old, other)
	assert.Assert(t, other.Crashes.ShouldRefuse(now.Now(), 7))
}

// Guards against a VM that refuses a popular request which the other VMs serve, as it has heard of the
// crashes of several endpoints that were running it, but of no success.
func TestASuccessElsewhereLiftsAQuarantine(t *testing.T) {
	now := &clock.Manual{T: clock.Time(time.Hour)}
	old, started := newCrashContent(now), newCrashContent(now)
	for _, endpoint := range []string{"a", "b", "c"} {
		old.RecordOwnCrash(crash.Crash{Request: 7, Endpoint: endpoint})
		started.Receive("other", &wire.Beat{Peer: "other", Crashes: []*wire.Crash{{Request: 7, Endpoint: endpoint}}})
	}
	assert.Assert(t, started.Crashes.ShouldRefuse(now.Now(), 7))
	now.T = now.T.Add(time.Second)
	old.Crashes.RecordSuccess(now.Now(), 7)
	tell(old, started)
	assert.Assert(t, !started.Crashes.ShouldRefuse(now.Now(), 7))

	// Crashes long after the success count again.
	now.T = now.T.Add(time.Minute)
	for _, endpoint := range []string{"d", "e", "f"} {
		old.RecordOwnCrash(crash.Crash{Request: 7, Endpoint: endpoint})
	}
	tell(old, started)
	assert.Assert(t, started.Crashes.ShouldRefuse(now.Now(), 7))
}

// Guards against requests that are refused for as long as crashes count, because another VM took the ends of their
// connections to endpoints that live on for crashes.
func TestAnEndpointThatAnswersHasNotCrashed(t *testing.T) {
	w := newTestGateway(t)
	w.setRoute(commitRoute)
	request := fingerprint(&Call{Host: "h.example", Target: "/x/", Body: []byte("popular")})
	for i := range 3 {
		w.addEndpoint(fmt.Sprint(i), catalog.Whole, serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return respond(c, 200, "answer", "Seal: s")
		}))
		w.gossip.Receive("other", &wire.Beat{Peer: "other", Crashes: []*wire.Crash{{Request: request, Endpoint: fmt.Sprint(i, "@1")}}})
	}
	for i := range 3 {
		resp, _, err := w.request(t, "POST", "/x/", "popular")
		assert.NilError(t, err)
		if i == 0 {
			assert.Equal(t, resp.StatusCode, 503)
		}
		for n := range 6 {
			_, _, err := w.request(t, "POST", "/x/", fmt.Sprint("another ", n))
			assert.NilError(t, err)
		}
	}
	resp, _, err := w.request(t, "POST", "/x/", "popular")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
}

// Guards against a request that is quarantined as endpoints which had announced that they leave ended while they ran it.
func TestCutAtAnAnnouncedEndIsNoCrash(t *testing.T) {
	for name, announce := range map[string]func(w *testGateway, e catalog.Endpoint){
		"entry": func(w *testGateway, e catalog.Endpoint) {
			e.Draining = true
			e.Sequence++
			w.store.SetEndpoint(&e)
		},
		"removed entry": func(w *testGateway, e catalog.Endpoint) {
			e.Draining = true
			e.Sequence++
			w.store.SetEndpoint(&e)
			w.store.RemoveEndpoint(e.ID, false)
		},
		"answer": func(w *testGateway, e catalog.Endpoint) { w.store.SetLeaving(e.ID, e.Born) },
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(lookupRoute)
				for i := range 4 {
					id := fmt.Sprint(i)
					w.addEndpoint(id, catalog.Whole, w.serveUntilCrash(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
						for _, e := range w.store.View().All() {
							if e.ID == id {
								announce(w, *e)
							}
						}
						time.Sleep(silenceCallTime)
						return false
					}))
				}
				for range 4 {
					_, _, err := w.request(t, "GET", "/x/", "the same")
					assert.NilError(t, err)
				}
				time.Sleep(settleTime)
				w.mu.Lock()
				defer w.mu.Unlock()
				assert.Equal(t, len(w.crashed), 0)
			})
		})
	}
}

// Guards against a request that is quarantined as endpoints cut its answers that live, and have as many connections as they
// accept: they reset those by which the gateway checks them.
func TestCutByAnEndpointWithoutFreeConnectionsIsNoCrash(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		var full atomic.Bool
		ln, err := w.network.NewHost().Listen(0)
		assert.NilError(t, err)
		b := serveOn(t, &boundedListener{ln, &full}, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
			if r.Header.Get("Id") == "cut" {
				full.Store(true)
				return false
			}
			events(c, 1, 1, false)
			for id := 2; id <= 20; id++ {
				time.Sleep(100 * time.Millisecond)
				e := fmt.Sprintf("id: %d\ndata: piece\n\n", id)
				write(fmt.Sprintf("%x\r\n%s\r\n", len(e), e))(c)
			}
			write("0\r\n\r\n")(c)
			return true
		})
		w.addEndpoint("a", catalog.Decode, b)
		var long sync.WaitGroup
		long.Go(func() {
			_, body, err := w.request(t, "POST", "/x/", "long", "Tokens", "100", "Id", "long")
			assert.Check(t, err)
			assert.Check(t, strings.HasSuffix(eventIDs(body), " 20"), body)
		})
		time.Sleep(time.Second)
		_, _, _ = w.request(t, "POST", "/x/", "cut", "Tokens", "100", "Id", "cut") // has no answer
		long.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, len(w.crashed), 0)
	})
}

// boundedListener resets connections while its endpoint is full.
type boundedListener struct {
	net.Listener
	full *atomic.Bool
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.full.Load() {
			return c, err
		}
		c.(*simnet.Conn).Reset()
	}
}
