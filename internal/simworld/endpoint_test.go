package simworld

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/clock"
	"fescuestand/internal/orders"
	"fescuestand/internal/simnet"
	"fescuestand/internal/standin/turn"
)

const (
	prefillTime     = 8 * time.Millisecond
	stageChangeTime = 500 * time.Millisecond
	// queueInterval is the time between two checks of a waiting request for a slot.
	queueInterval = 5 * time.Millisecond
	// noticeTime is how long an endpoint that goes on takes to notice that a connection has ended.
	noticeTime = time.Millisecond
	// eventCount is the number of a stream's events.
	eventCount = 20
)

// ledger records what endpoints run, and keeps the handles of prefills.
type ledger struct {
	mu         sync.Mutex
	runs       map[string][]*run  // by id
	work       map[string][]*work // on a stream, by id, in the order of its beginnings
	handles    map[string]bool
	lastHandle int
}

// run is one run of a request.
type run struct {
	endpoint *endpoint
	returned bool
}

// recordRun records that an endpoint begins to run a request. end must be called when it no longer does.
func (l *ledger) recordRun(id string, e *endpoint) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{endpoint: e}
	l.runs[id] = append(l.runs[id], r)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		r.returned = true
	}
}

// silentRunsOf returns the number of a request's runs whose endpoints have fallen silent in them and still are.
func (l *ledger) silentRunsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs[id] {
		if !r.returned && r.endpoint.isPaused() {
			n++
		}
	}
	return n
}

// runsOf returns how often a request has run.
func (l *ledger) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[id])
}

// work is the work of an endpoint on a stream.
type work struct {
	endpoint    string
	first, last time.Time // of its events
	ended       bool      // it made the last event
}

// isGivenUp reports whether another endpoint was preferred as soon as this one had begun.
func (w *work) isGivenUp() bool { return !w.ended && w.last.Sub(w.first) <= maxOverlap }

// recordEvent records that an endpoint makes an event of a stream.
func (l *ledger) recordEvent(id, endpoint string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	i := slices.IndexFunc(l.work[id], func(w *work) bool { return w.endpoint == endpoint })
	if i < 0 {
		i = len(l.work[id])
		l.work[id] = append(l.work[id], &work{endpoint: endpoint, first: now})
	}
	l.work[id][i].last, l.work[id][i].ended = now, number == eventCount
}

// maxOverlap is the time for which an endpoint may work on a stream that another one has gone on with.
const maxOverlap = 400 * time.Millisecond

// overlaps returns the streams on which an endpoint worked for longer than that, and the number of those of which two
// endpoints made events at the same time.
func (l *ledger) overlaps() (long []string, shared int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, list := range l.work {
		for i, next := range list {
			for _, w := range list[:i] {
				overlap := w.last.Sub(next.first)
				if overlap > maxOverlap && !next.isGivenUp() {
					long = append(long, fmt.Sprintf("%s: %s worked for %s after %s had gone on", id, w.endpoint, overlap, next.endpoint))
				}
				if overlap > 0 {
					shared++
				}
			}
		}
	}
	return long, shared
}

func (l *ledger) newHandle() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHandle++
	handle := fmt.Sprint("h", l.lastHandle)
	l.handles[handle] = true
	return handle
}

// takeHandle removes a handle and reports whether it existed.
func (l *ledger) takeHandle(handle string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.handles[handle]
	delete(l.handles, handle)
	return found
}

// endpointSpec describes an endpoint.
type endpointSpec struct {
	service  string
	version  string // of its software, empty for the default
	stage    catalog.Stage
	slots    int
	queue    int           // requests that wait for a slot
	callTime time.Duration // of a call of a plain service
	interval time.Duration // between two events of a stream
	// onRequest is called, unless it is nil, with the id of each request that arrives, "" if it isn't a caller's.
	onRequest func(e *endpoint, id string)
}

// endpoint is an endpoint on a host of its own.
type endpoint struct {
	endpointSpec
	id      string
	address string
	host    *simnet.Host
	born    time.Time
	ledger  *ledger
	server  *http.Server

	mu          sync.Mutex
	current     catalog.Stage
	orders      int64
	busy        int
	waiting     turn.Queue
	sequence    int64
	pausedUntil time.Time
	changed     chan struct{} // closed and replaced when pausedUntil changes
}

// startEndpoint starts an endpoint on a network.
func startEndpoint(t *testing.T, n *simnet.Network, id string, spec endpointSpec, l *ledger) *endpoint {
	t.Helper()
	return listenAsEndpoint(t, n.NewHost(), 0, id, spec, l)
}

// listenAsEndpoint starts an endpoint at a port of a host, or at an unused one if port is zero.
func listenAsEndpoint(t *testing.T, host *simnet.Host, port uint16, id string, spec endpointSpec, l *ledger) *endpoint {
	t.Helper()
	ln, err := host.Listen(port)
	assert.NilError(t, err)
	e := &endpoint{host: host, endpointSpec: spec, id: id, address: ln.Addr().String(), born: time.Now(), current: spec.stage, ledger: l, changed: make(chan struct{})}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }() // ends with close
	return e
}

// close ends the endpoint. Its requests are aborted.
func (e *endpoint) close() {
	e.pause(0)
	_ = e.server.Close()
}

// pause has the endpoint send nothing for d. Its connections stay open, and its requests go on after it.
func (e *endpoint) pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *endpoint) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.pausedUntil)
}

// awaitResume waits until the endpoint isn't paused.
func (e *endpoint) awaitResume() {
	for {
		e.mu.Lock()
		left, changed := time.Until(e.pausedUntil), e.changed
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-changed:
			t.Stop()
		}
	}
}

// entry returns a new entry of the endpoint for the store.
func (e *endpoint) entry() (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b, err := json.Marshal(catalog.Endpoint{
		ID: e.id, Born: e.born.UnixMilli(), Sequence: e.sequence, Service: e.service, Version: cmp.Or(e.version, "v1"), Address: e.address, Zone: zone,
		Slots: e.slots, Stage: e.current,
	})
	return string(b), err
}

func (e *endpoint) currentStage() catalog.Stage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.onRequest != nil {
		e.onRequest(e, r.Header.Get(headerID))
	}
	e.awaitResume()
	if want := r.Header.Get(headerTo); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/cached":
		_, _ = io.WriteString(w, "[]") // fails only if the VM has closed the connection
	case r.URL.Path == "/order":
		e.changeStage(w, body)
	case strings.HasPrefix(r.URL.Path, "/handle/"):
		e.ledger.takeHandle(strings.TrimPrefix(r.URL.Path, "/handle/"))
	default:
		e.serve(w, r)
	}
}

// reported is what an endpoint says of itself.
type reported struct {
	orders.Report
	Born int64 // Unix milliseconds of its start
}

func (e *endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(reported{orders.Report{Stage: e.current, Accepted: e.orders}, e.born.UnixMilli()}) // as above
}

func (e *endpoint) changeStage(w http.ResponseWriter, body []byte) {
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Accepted != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	time.AfterFunc(stageChangeTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.current = o.Stage
	})
}

// serve answers a request of a caller.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	if !e.awaitSlot(r.Context()) {
		refuse(w)
		return
	}
	defer e.releaseSlot()
	switch {
	case r.Header.Get(headerPrefill) != "":
		e.prefill(w)
	case r.Header.Get(headerTokens) != "":
		e.stream(w, r)
	default:
		e.call(w, r)
	}
}

// refuse answers that the request hasn't run.
func refuse(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// awaitSlot reports whether a request gets a slot.
func (e *endpoint) awaitSlot(ctx context.Context) bool {
	if e.takeSlot(0) {
		return true
	}
	t, ok := e.enterQueue()
	if !ok {
		return false
	}
	defer e.leaveQueue(t)
	for clock.Sleep(ctx, queueInterval) {
		e.awaitResume()
		if e.takeSlot(t) {
			return true
		}
	}
	return false
}

func (e *endpoint) takeSlot(t turn.Turn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= e.slots || !e.waiting.IsNext(t) {
		return false
	}
	e.busy++
	return true
}

func (e *endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
}

func (e *endpoint) enterQueue() (turn.Turn, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting.Enter(e.queue)
}

func (e *endpoint) leaveQueue(t turn.Turn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting.Leave(t)
}

func (e *endpoint) prefill(w http.ResponseWriter) {
	if e.currentStage() != catalog.Prefill {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(prefillTime)
	e.awaitResume()
	_, _ = io.WriteString(w, e.ledger.newHandle()) // as above
}

func (e *endpoint) call(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	defer e.ledger.recordRun(id, e)()
	time.Sleep(e.callTime)
	e.awaitResume()
	w.Header().Set(headerSeal, "s")
	_, _ = io.WriteString(w, callBody(id)) // as above
}

// callBody is the answer to a call of a plain service.
func callBody(id string) string { return "answer to " + id }

func (e *endpoint) stream(w http.ResponseWriter, r *http.Request) {
	if e.currentStage() != catalog.Decode {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if handle := r.Header.Get(headerHandoff); handle != "" && !e.ledger.takeHandle(handle) {
		refuse(w)
		return
	}
	id := r.Header.Get(headerID)
	defer e.ledger.recordRun(id, e)()
	w.Header().Set(headerSeal, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(headerLast)) // zero for a new stream
	for n := last + 1; n <= eventCount; n++ {
		if !clock.Sleep(r.Context(), e.interval) {
			return
		}
		e.awaitResume()
		if !clock.Sleep(r.Context(), noticeTime) {
			return
		}
		e.ledger.recordEvent(id, e.id, n)
		if _, err := io.WriteString(w, event(n, id, e.version)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write reports an error
	}
}

// event is the n-th event of a stream: the attempt that the endpoint runs and the endpoint's version.
func event(n int, id, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, id, version)
}
