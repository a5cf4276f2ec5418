package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
	"fescuestand/internal/simnet"
)

const (
	silenceEngines = 8
	silenceCallers = 16
	silenceSlots   = 3
	silenceTime    = 1200 * time.Millisecond
	// silenceInterval is the time from the beginning of a silence to that of the next one.
	silenceInterval = 2 * time.Second
	silenceRunTime  = 20 * time.Second
	// silenceEvents is the number of events of a stream, silenceEventInterval the time between two.
	silenceEvents        = 20
	silenceEventInterval = 100 * time.Millisecond
	// silenceCallTime is how long a call takes that is no stream.
	silenceCallTime = 200 * time.Millisecond
	// silencePatience is longer than any stream lasts beside silences.
	silencePatience = 20 * time.Second
	// silenceDrainAt is when the VM begins to drain, and silenceDrainTime how long it may take.
	silenceDrainAt, silenceDrainTime = 6 * time.Second, 20 * time.Second
	// minWholeStreams is the minimum number of whole streams of a run that says something.
	minWholeStreams = 20
	// requestsOfAPart is the number of requests that share a rare prompt part.
	requestsOfAPart = 6
)

// silenceCase is how sound engines fall silent for a while.
type silenceCase struct {
	together bool // all at once, instead of one after the other
	hosts    bool // they don't even accept connections
	resets   bool // afterwards they reset idle connections, with requests on them that they haven't read
	late     bool // they begin each answer only after a silence
	prefills int  // engines that prefill
	roomy    bool // they take any number of requests
	drains   bool // the VM drains meanwhile
}

// silentEngine is an engine that falls silent for a while.
type silentEngine struct {
	tc   silenceCase
	host *simnet.Host

	mu          sync.Mutex
	silentUntil time.Time
	busy        int
	idle        map[net.Conn]bool // whether a connection waits for a request
}

// silence begins a silence.
func (e *silentEngine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Now().Add(silenceTime)
	if e.tc.hosts {
		e.host.Silence()
	}
	time.AfterFunc(silenceTime, e.endSilence)
}

func (e *silentEngine) endSilence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tc.hosts {
		e.host.Resume()
	}
	if e.tc.resets {
		e.reset(true)
	}
}

// breakOff resets the connections with requests in progress.
func (e *silentEngine) breakOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reset(false)
}

// reset resets the connections that are idle, or those that aren't. The engine's mutex is held.
func (e *silentEngine) reset(idle bool) {
	for c, isIdle := range e.idle {
		if isIdle == idle {
			c.(*simnet.Conn).Reset()
		}
	}
}

// awaitResume waits until the engine isn't silent.
func (e *silentEngine) awaitResume() {
	e.mu.Lock()
	until := e.silentUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// begin takes a request from a connection, and reports whether it is run.
func (e *silentEngine) begin(c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy >= silenceSlots && !e.tc.roomy {
		return false
	}
	e.busy++
	e.idle[c] = false
	return true
}

func (e *silentEngine) end(c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	e.idle[c] = true
}

// answer is the engine's handler.
func (e *silentEngine) answer(b *backend, n int, r *http.Request, c net.Conn) bool {
	e.awaitResume()
	if !e.begin(c) {
		return rejectRequest(b, n, r, c)
	}
	defer e.end(c)
	if e.tc.late {
		time.Sleep(silenceTime)
	}
	if r.Method == http.MethodDelete || r.Header.Get("Only") == "prefill" {
		return answerPrefill(b, n, r, c)
	}
	if r.Header.Get("Tokens") == "" {
		return e.call(r, c)
	}
	return e.stream(r, c)
}

// call answers a request that is no stream.
func (e *silentEngine) call(r *http.Request, c net.Conn) bool {
	time.Sleep(silenceCallTime)
	e.awaitResume()
	return respond(c, 200, wholeCallBody+" to "+r.Header.Get("Id"), "Seal: s")
}

func (e *silentEngine) stream(r *http.Request, c net.Conn) bool {
	text := "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	for id := last + 1; id <= silenceEvents; id++ {
		time.Sleep(silenceEventInterval)
		e.awaitResume()
		event := swarmEvent(r.Header.Get("Id"), id)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if _, err := c.Write([]byte(text)); err != nil {
			return false
		}
		text = ""
	}
	_, err := c.Write([]byte(text + "0\r\n\r\n"))
	return err == nil
}

// silenceRun is a gateway before such engines, and how its requests ended.
type silenceRun struct {
	w       *testGateway
	tc      silenceCase
	engines []*silentEngine

	mu     sync.Mutex
	whole  int
	reset  int      // requests that engines have broken off, and that weren't repeated
	faults []string // requests that were quarantined, failed or cut off
}

func newSilenceRun(t *testing.T, w *testGateway, tc silenceCase) *silenceRun {
	t.Helper()
	w.setRoute(streamRoute)
	s := &silenceRun{w: w, tc: tc}
	for i := range silenceEngines {
		e := &silentEngine{tc: tc, host: w.network.NewHost(), idle: map[net.Conn]bool{}}
		ln, err := e.host.Listen(0)
		assert.NilError(t, err)
		stage := catalog.Decode
		if i < tc.prefills {
			stage = catalog.Prefill
		}
		w.addEndpoint(fmt.Sprint("e", i), stage, serveOn(t, ln, e.answer))
		s.engines = append(s.engines, e)
	}
	return s
}

// silenceEngines has engines fall silent until ctx ends.
func (s *silenceRun) silenceEngines(ctx context.Context) {
	for ctx.Err() == nil {
		s.silenceOnce()
	}
}

// silenceOnce has each engine fall silent once.
func (s *silenceRun) silenceOnce() {
	for _, e := range s.engines {
		e.silence()
		if !s.tc.together {
			time.Sleep(silenceInterval / silenceEngines)
		}
	}
	if s.tc.together {
		time.Sleep(silenceInterval)
	}
}

// call sends streams that share prompt parts until ctx ends.
func (s *silenceRun) call(ctx context.Context, t *testing.T, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := strconv.Itoa(1000*caller + n)
		parts := fmt.Sprintf("1:50 %d:30 %d:20", 100+n/requestsOfAPart, 100_000+1000*caller+n)
		tokens := "100"
		if s.tc.prefills > 0 {
			tokens = "9000"
		}
		resp, body, err := s.w.request(t, "POST", "/x/", id, "Id", id, "Tokens", tokens, "Parts", parts,
			"Patience", fmt.Sprint(silencePatience.Milliseconds()))
		s.judge(id, resp, body, err)
		time.Sleep(silenceEventInterval)
	}
}

// judge records how a request ended.
func (s *silenceRun) judge(id string, resp *http.Response, body string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	quarantined := strings.HasPrefix(body, fmt.Sprint(int(code.Quarantined)))
	switch {
	case err == nil && resp.StatusCode == 200 && strings.Count(body, "id: ") == silenceEvents:
		s.whole++
	case err == nil && promisesNotRun(resp.StatusCode) && !quarantined:
	case err == nil && resp.StatusCode == http.StatusBadGateway && s.tc.resets && !quarantined:
		s.reset++
	default:
		s.faults = append(s.faults, fmt.Sprintf("%s: %v %.60q", id, err, body))
	}
}

// Guards against taking silences of sound engines for crashes: requests that share prompt parts are refused as
// quarantined then, and streams that have begun end.
func TestSilencesQuarantineNothing(t *testing.T) {
	for name, tc := range map[string]silenceCase{
		"in turn":               {},
		"together":              {together: true},
		"hosts in turn":         {hosts: true},
		"hosts together":        {hosts: true, together: true},
		"late answers":          {late: true},
		"resets in turn":        {resets: true},
		"resets together":       {resets: true, together: true},
		"host resets in turn":   {hosts: true, resets: true},
		"host resets together":  {hosts: true, resets: true, together: true},
		"prefills":              {prefills: silenceEngines / 2},
		"prefills together":     {prefills: silenceEngines / 2, together: true, resets: true},
		"drain":                 {drains: true},
		"drain, resets":         {drains: true, resets: true, together: true},
		"drain, hosts together": {drains: true, hosts: true, together: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulated(t, func(t *testing.T, w *testGateway) { newSilenceRun(t, w, tc).run(t) })
		})
	}
}

// run runs the case and checks it.
func (s *silenceRun) run(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), silenceRunTime)
	defer cancel()
	var all sync.WaitGroup
	for i := range silenceCallers {
		all.Go(func() { s.call(ctx, t, i) })
	}
	all.Go(func() { s.silenceEngines(ctx) })
	if s.tc.drains {
		time.Sleep(silenceDrainAt)
		s.w.shutDown(t, silenceDrainTime)
	}
	all.Wait()
	time.Sleep(settleTime) // until endpoints that were left have been checked
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	t.Logf("%d whole, %d reset, %d crashes recorded", s.whole, s.reset, len(s.w.crashed))
	assert.Assert(t, s.whole >= minWholeStreams, "%d streams are whole", s.whole)
	assert.Equal(t, len(s.faults), 0, "%s", strings.Join(s.faults, "\n"))
	if !s.tc.resets {
		assert.Equal(t, len(s.w.crashed), 0)
	}
}
