package gateway

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/era"
	"fescuestand/internal/exchange"
	"fescuestand/internal/keyedlog"
	"fescuestand/internal/originsync"
	"fescuestand/internal/policy/backpressure"
	"fescuestand/internal/policy/crash"
	"fescuestand/internal/policy/origin"
	"fescuestand/internal/policy/place"
	"fescuestand/internal/policy/repeat"
	"fescuestand/internal/simnet"
)

// codec is a simple Codec for tests.
type codec struct{}

func (codec) RequestID(r *http.Request) string { return r.Header.Get("Id") }

func (codec) Decode(r *http.Request) (*Call, error) {
	c := &Call{
		ID: r.Header.Get("Id"), Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host,
		Header: r.Header.Clone(), LastEventID: r.Header.Get("Last"), Resumes: r.Header.Get("Resumes"), Relayed: r.Header.Get("Relayed") != "",
	}
	if c.ID == "bad" {
		return nil, errors.New("bad id")
	}
	ms, _ := strconv.Atoi(r.Header.Get("Patience"))
	c.CallerTimeout = time.Duration(ms) * time.Millisecond
	c.PromptTokens, _ = strconv.Atoi(r.Header.Get("Tokens"))
	c.MaxOutputTokens, _ = strconv.Atoi(r.Header.Get("Max-Tokens"))
	for _, part := range strings.Fields(r.Header.Get("Parts")) {
		var p place.Part
		if _, err := fmt.Sscanf(part, "%d:%d", &p.ID, &p.Tokens); err != nil {
			return nil, err
		}
		c.Parts = append(c.Parts, p)
	}
	return c, nil
}

func (codec) Header(c *Call, s *EndpointRequest) http.Header {
	h := c.Header.Clone()
	h.Set("Left", strconv.FormatInt(s.RemainingTime.Milliseconds(), 10))
	h.Set("To", s.Endpoint.ID)
	h.Set("Urgency", strconv.Itoa(s.UrgencyRank))
	h.Del("Content-Length")
	if s.PrefillOnly {
		h.Set("Only", "prefill")
	}
	if s.Handoff != nil {
		h.Set("Kv", s.Handoff.Holder.Address+"/"+s.Handoff.Handle)
	}
	if s.LastEventID != "" {
		h.Set("Last", s.LastEventID)
	}
	return h
}

func (codec) Answer(c *Call, _ int, h http.Header) Answer {
	slowdown, _ := strconv.ParseFloat(h.Get("Slowdown"), 64)
	requests, err := strconv.Atoi(h.Get("Held"))
	if err != nil {
		requests = -1
	}
	return Answer{
		Slowdown: slowdown,
		NotRun:   h.Get("Not-Run")+h.Get("Gone") != "", Misdirected: h.Get("Gone") != "", Signed: h.Get("Seal") != "",
		OtherRequest: h.Get("Id") != "" && h.Get("Id") != c.ID, Requests: requests, Notice: backpressure.Parse(backpressure.Fields{Limit: h.Get("Limit"), Leaving: h.Get("Leaving"), RetryAfter: h.Get("Retry-After")}),
	}
}

func (codec) ResponseID(h http.Header) string { return h.Get("Id") }

func (codec) Relay(r *http.Request, remaining time.Duration) http.Header {
	h := EndToEnd(r.Header)
	h.Set("Patience", strconv.FormatInt(remaining.Milliseconds(), 10))
	h.Set("Relayed", "1")
	return h
}

func (codec) ParseHandoff(body []byte) (string, error) {
	var handle string
	return handle, json.Unmarshal(body, &handle)
}

func (codec) LifeCheck() (method, target string) { return "GET", lifeCheckTarget }

func (codec) ParseBorn(body []byte) int64 {
	var r struct{ Born int64 }
	_ = json.Unmarshal(body, &r) // zero if it isn't there
	return r.Born
}

// lifeCheckTarget is answered by a backend itself.
const lifeCheckTarget = "/live"

func (codec) Release(handle string) (method, target string) { return "DELETE", "/free/" + handle }

// backend is an endpoint whose answers a test writes.
type backend struct {
	addr string
	// onLifeCheck is called before a check for life is answered, unless it is nil.
	onLifeCheck func()
	arrivals    atomic.Int32
	runs        atomic.Int32
}

// serve starts an endpoint on a socket that answers each request as handle writes it. The
// connection is closed when handle returns false.
func serve(t testing.TB, handle func(b *backend, n int, r *http.Request, c net.Conn) bool) *backend {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	return serveOn(t, ln, handle)
}

// serveOn is serve with a listener.
func serveOn(t testing.TB, ln net.Listener, handle func(b *backend, n int, r *http.Request, c net.Conn) bool) *backend {
	t.Helper()
	t.Cleanup(func() { _ = ln.Close() })
	b := &backend{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				// Reported, as a backend that stops accepting looks like a fault of the gateway.
				t.Errorf("backend failed to accept: %v", err)
				return
			}
			go b.serveConn(c, handle)
		}
	}()
	return b
}

func (b *backend) serveConn(c net.Conn, handle func(b *backend, n int, r *http.Request, c net.Conn) bool) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		if r.RequestURI == lifeCheckTarget {
			if b.onLifeCheck != nil {
				b.onLifeCheck()
			}
			respond(c, 200, "{}")
			continue
		}
		if !handle(b, int(b.arrivals.Add(1)), r, c) {
			return
		}
	}
}

// respond writes a complete answer.
func respond(c net.Conn, status int, body string, headers ...string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, h := range headers {
		text += h + "\r\n"
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	return err == nil
}

// events writes the header of a stream and its events from first to last. It ends the stream
// cleanly if whole is set.
func events(c net.Conn, first, last int, whole bool) bool {
	text := "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for id := first; id <= last; id++ {
		e := fmt.Sprintf("id: %d\ndata: piece\n\n", id)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	if whole {
		text += "0\r\n\r\n"
	}
	_, err := io.WriteString(c, text)
	return err == nil && whole
}

// testGateway is a gateway with its HTTP server, catalog and gossip content.
type testGateway struct {
	*httptest.Server
	caller   *http.Client
	network  *simnet.Network // nil if the gateway has sockets
	clock    clock.Clock
	gateway  *Gateway
	store    *catalog.Store
	budget   *repeat.Budget
	crashes  *crash.Register
	leaving  atomic.Bool
	cutOff   atomic.Bool
	starting atomic.Bool // the records of earlier processes haven't been read
	noPeer   atomic.Bool // no other VM accepts callers
	gossip   *GossipContent

	relayTargets []string
	origins      *testOrigins

	mu      sync.Mutex
	crashed []string
}

// testOrigins finds the same origin for each stream, and keeps what was recorded.
type testOrigins struct {
	mu       sync.Mutex
	origin   origin.Origin // its service is the asker's if empty
	found    originsync.Source
	recorded map[origin.Key]origin.Origin

	starts *origin.Starts // nil if all are on record
}

func (o *testOrigins) Record(st *origin.Stream, from origin.Origin, _ time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recorded == nil {
		o.recorded = map[origin.Key]origin.Origin{}
	}
	o.recorded[st.Key] = from
}

func (o *testOrigins) RefreshEndpoints(context.Context) {}

func (o *testOrigins) Find(_ context.Context, _ *origin.Stream, service string, _ time.Duration) (origin.Origin, originsync.Source) {
	return origin.Origin{Service: cmp.Or(o.origin.Service, service), Version: o.origin.Version}, o.found
}

// Pending implements StreamStarts.
func (o *testOrigins) Pending() bool { return o.starts != nil && o.starts.Pending() }

// MayBegin implements StreamStarts.
func (o *testOrigins) MayBegin(_ *catalog.Route, e *catalog.Endpoint) bool {
	return o.starts.MayBegin(clock.Boot{}.Now(), &origin.Start{Origin: origin.Origin{Service: e.Service, Version: e.Version}})
}

// setRecord sets the versions of "s" that are visible, and those that are on record.
func (o *testOrigins) setRecord(visible, recorded []string) {
	now, starts := clock.Boot{}.Now(), func(versions []string) (out []origin.Start) {
		for _, v := range versions {
			out = append(out, origin.Start{Origin: origin.Origin{Service: "s", Version: v}})
		}
		return out
	}
	o.starts = origin.NewStarts()
	o.starts.SetRecorded(now, starts(recorded))
	o.starts.SetVisible(now, starts(visible), time.Minute)
}

// newTestGateway returns a gateway with sockets.
func newTestGateway(t testing.TB) *testGateway {
	t.Helper()
	w := newWorld(t, clock.Boot{}, exchange.NewPool(), exchange.NewPool())
	w.caller = http.DefaultClient
	w.Server = httptest.NewServer(w.gateway)
	t.Cleanup(w.Close)
	return w
}

// newWorld returns a gateway without a server.
func newWorld(t testing.TB, c clock.Clock, pool, relayPool *exchange.Pool) *testGateway {
	t.Helper()
	return newSeededWorld(t, 1, c, pool, relayPool)
}

// newSeededWorld is newWorld with the seed of the planner's choices.
func newSeededWorld(t testing.TB, seed uint64, c clock.Clock, pool, relayPool *exchange.Pool) *testGateway {
	t.Helper()
	w := &testGateway{clock: c, store: catalog.NewStore(c), crashes: crash.New(), origins: &testOrigins{found: originsync.Only}}
	w.budget = repeat.New(repeat.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second})
	w.budget.SetUnused()
	w.budget.SetMembers(1)
	w.gateway = New(Options{
		Codec: codec{}, Catalog: w.store, Planner: place.New("z", seed), Budget: w.budget, Crashes: w.crashes, Pressure: backpressure.New(1),
		Pool: pool, Clock: c, Leaving: w.leaving.Load, Peers: w.peers,
		CutOff: w.cutOff.Load, RelayTargets: func() []string { return w.relayTargets }, RelayPool: relayPool,
		Origins: w.origins, Starts: w.origins, HasRecords: func() bool { return !w.starting.Load() }, VMs: func() int { return 1 }, OnPrefillSent: func(time.Duration) {}, OnPrefixCached: func(*catalog.Endpoint, []place.Part) {},
		OnCrash: func(e crash.Crash) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.crashed = append(w.crashed, e.Endpoint)
			w.crashes.Record(c.Now(), e)
		},
		MayTryQuarantined: func() bool { return false },
	})
	eras := era.NewTracker(c)
	w.gossip = &GossipContent{
		Clock: c, Eras: eras, Planner: w.gateway.o.Planner, Pressure: w.gateway.o.Pressure, Crashes: w.crashes, Catalog: w.store,
		Changes: NewChanges(c, eras, keyedlog.New("fleet", nil)), RequestRate: w.gateway.RequestRate,
		OnOrder: func(string) {}, OnPeerConfigVersion: func(string, uint64) {}, OnChange: func() {},
	}
	w.gateway.o.OnEndpointLeaving = w.gossip.AnnounceLeaving
	w.gateway.o.Planner.Admits = w.gateway.o.Pressure.Admits
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.gateway.FollowCatalog(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return w
}

// peers returns the numbers of other VMs that accept callers and that shut down.
func (w *testGateway) peers() (ready, leaving int) {
	if w.noPeer.Load() {
		return 0, 1
	}
	return 1, 0
}

// setRoute installs a configuration with one route.
func (w *testGateway) setRoute(r catalog.Route) {
	r.Name, r.Host, r.PathPrefix = "r", "h.example", "/x/"
	r.Shares = []catalog.Share{{Service: "s", Weight: 1}}
	c := catalog.NewConfig(uint64(time.Now().UnixNano()), []*catalog.Route{&r}, []*catalog.Service{
		{Name: "s", Engine: &catalog.Engine{CacheTokens: 100_000}},
	})
	c.Limits.BodyBytes = 1000
	w.store.SetConfig(c)
}

// addEndpoint adds b to the catalog and passes the new view to the planner.
func (w *testGateway) addEndpoint(id string, stage catalog.Stage, b *backend) {
	w.store.SetEndpoint(&catalog.Endpoint{ID: id, Service: "s", Address: b.addr, Zone: "z", Stage: stage, Slots: 8, Born: 1, Sequence: 1})
	w.gateway.o.Planner.SetView(w.store.View())
}

// restartEntry has the entry of an endpoint name a process that was born later, at the same address.
func (w *testGateway) restartEntry(id string, born int64) {
	for _, e := range w.store.View().All() {
		if e.ID == id {
			next := *e
			next.Born, next.Sequence = born, 1
			w.store.SetEndpoint(&next)
		}
	}
}

// request sends a request with headers given as pairs.
func (w *testGateway) request(t *testing.T, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, w.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	req.Header.Set("Patience", "3000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := w.caller.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// openStream sends a request for a stream and returns its answer, whose body the test reads and closes.
func (w *testGateway) openStream(t *testing.T, id string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "POST", w.URL+"/x/", nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", id)
	req.Header.Set("Tokens", "100")
	resp, err := w.caller.Do(req)
	assert.NilError(t, err)
	return resp
}

// eventIDs returns the ids of a stream's events.
func eventIDs(stream string) string {
	var out []string
	for _, line := range strings.Split(stream, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return strings.Join(out, " ")
}
