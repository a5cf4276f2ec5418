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
	silentEndEngines = 12
	// silentEndAfter is how long an engine is silent until its process ends, and silentEndNews how long after that
	// its entry shows it.
	silentEndAfter = 4 * time.Second
	silentEndNews  = 500 * time.Millisecond
	// silentEndBound is how long after the third end further sends are allowed, and maxLateSilentEnds how many later.
	silentEndBound     = 3 * time.Second
	maxLateSilentEnds  = 3
	silentEndRunTime   = 60 * time.Second
	silentEndCallers   = 3
	silentEndPort      = 700
	silentEndPoison    = "poison"
	silentEndSoundPart = 1
)

// silentEndCase is how requests that silence and end engines are sent, and what their engines' entries show.
type silentEndCase struct {
	route    catalog.Route
	prefills bool          // engines that prefill end
	removed  bool          // the entry ends, instead of naming another process
	restarts bool          // the other process listens at the address of the one that has ended
	breaks   bool          // the engine ends at once, and its connections with it
	patience time.Duration // of the callers
	callers  int           // that repeat the request
}

// silentEnd is a gateway before engines of which one that runs the poison falls silent and ends.
type silentEnd struct {
	w  *testGateway
	tc silentEndCase
	t  *testing.T

	mu          sync.Mutex
	hosts       map[string]*simnet.Host
	lives       map[string]int
	silent      map[string]bool // by engine and life
	ends        []time.Time
	sends       []time.Time // of the poison, when they reached an engine
	quarantined []string    // sound requests that were refused
	whole       int         // sound requests that were answered
}

func (s *silentEnd) start(id string) {
	s.register(id, s.listen(id))
}

// listen starts a process of an engine, at the address of the one before it if restarts is set.
func (s *silentEnd) listen(id string) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives[id]++
	life := s.lives[id]
	port := uint16(0)
	if s.tc.restarts {
		port = silentEndPort
	}
	if s.hosts[id] == nil || !s.tc.restarts {
		s.hosts[id] = s.w.network.NewHost()
	}
	ln, err := s.hosts[id].Listen(port)
	assert.NilError(s.t, err)
	return serveOn(s.t, ln, func(b *backend, n int, r *http.Request, c net.Conn) bool { return s.answer(id, life, ln, b, n, r, c) })
}

// register has the engine's entry name the newest process.
func (s *silentEnd) register(id string, b *backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stage := catalog.Whole
	if s.tc.route.Kind == catalog.Stream {
		stage = catalog.Decode
	}
	if s.tc.prefills {
		stage = catalog.Prefill
	}
	s.w.store.SetEndpoint(&catalog.Endpoint{ID: id, Service: "s", Address: b.addr, Zone: "z", Stage: stage, Slots: 8, Born: int64(s.lives[id]), Sequence: 1})
}

// fallSilent reports whether the engine is silent from now on, or has been.
func (s *silentEnd) fallSilent(id string, life int, ln net.Listener, poison bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := fmt.Sprint(id, "@", life)
	if poison {
		s.sends = append(s.sends, time.Now())
	}
	if poison && !s.silent[process] {
		s.silent[process] = true
		after := silentEndAfter
		if s.tc.breaks {
			after = 0
		}
		time.AfterFunc(after, func() { s.end(id, ln) })
	}
	return s.silent[process]
}

func (s *silentEnd) end(id string, ln net.Listener) {
	s.mu.Lock()
	s.ends = append(s.ends, time.Now())
	s.mu.Unlock()
	if s.tc.removed {
		time.Sleep(silentEndNews)
		s.w.store.RemoveEndpoint(id, false)
		s.start(id + "+")
		return
	}
	_ = ln.Close()
	b := s.listen(id)
	time.Sleep(silentEndNews)
	s.register(id, b)
}

// answer is the engines' handler. A silent engine leaves its connections open.
func (s *silentEnd) answer(id string, life int, ln net.Listener, b *backend, n int, r *http.Request, c net.Conn) bool {
	if s.fallSilent(id, life, ln, strings.HasPrefix(r.Header.Get("Id"), silentEndPoison)) {
		if !s.tc.breaks {
			time.Sleep(silentEndRunTime)
		}
		return false
	}
	switch {
	case s.tc.prefills:
		return answerPrefill(b, n, r, c)
	case s.tc.route.Kind == catalog.Stream:
		return events(c, 1, 2, true)
	}
	return respond(c, 200, "answer", "Seal: s")
}

// call sends a request again and again, with a new id each time.
func (s *silentEnd) call(ctx context.Context, caller string, body func(n int) string, judge func(resp *http.Response, body string)) {
	for n := 0; ctx.Err() == nil; n++ {
		text := body(n)
		parts := fmt.Sprintf("%d:50 %d:20000", silentEndSoundPart, 1000+len(text)*1000+n)
		if caller[:1] == silentEndPoison[:1] {
			parts = fmt.Sprintf("%d:50 7:20000", silentEndSoundPart)
		}
		resp, got, err := s.w.request(s.t, "POST", "/x/", text, "Id", fmt.Sprint(caller, "-", n), "Tokens", "20000", "Parts", parts,
			"Patience", strconv.FormatInt(s.tc.patience.Milliseconds(), 10))
		if err == nil && judge != nil {
			judge(resp, got)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *silentEnd) judgeSound(resp *http.Response, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.StatusCode == http.StatusOK {
		s.whole++
	}
	if strings.HasPrefix(body, strconv.Itoa(int(code.Quarantined))) {
		s.quarantined = append(s.quarantined, body)
	}
}

// lateSends returns the sends of the poison later than silentEndBound after the third end.
func (s *silentEnd) lateSends() int {
	late := 0
	for _, at := range s.sends {
		if len(s.ends) >= 3 && at.Sub(s.ends[2]) > silentEndBound {
			late++
		}
	}
	return late
}

func (s *silentEnd) run() {
	s.w.setRoute(s.tc.route)
	for i := range silentEndEngines {
		s.start(fmt.Sprint("e", i))
	}
	if s.tc.prefills {
		s.w.addEndpoint("decode", catalog.Decode, s.w.serve(s.t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			return events(c, 1, 2, true)
		}))
	}
	ctx, cancel := context.WithTimeout(s.t.Context(), silentEndRunTime)
	defer cancel()
	var all sync.WaitGroup
	for i := range s.tc.callers {
		all.Go(func() {
			s.call(ctx, fmt.Sprint(silentEndPoison, i), func(int) string { return "the same" }, nil)
		})
	}
	all.Go(func() { s.call(ctx, "sound", func(n int) string { return fmt.Sprint("sound ", n) }, s.judgeSound) })
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d engines ended, %d sends, %d of them late, %d sound requests answered", len(s.ends), len(s.sends), s.lateSends(), s.whole)
	assert.Assert(s.t, len(s.ends) >= 3, "%d engines ended", len(s.ends))
	assert.Check(s.t, s.lateSends() <= maxLateSilentEnds, "%d late sends, %d engines ended", s.lateSends(), len(s.ends))
	assert.Check(s.t, len(s.quarantined) == 0, "sound requests refused: %d", len(s.quarantined))
	assert.Check(s.t, s.whole >= minWholeStreams, "%d sound requests answered", s.whole)
}

// Guards against a request that silences each engine that runs it, with its connection open, and ends it after the
// caller has left: its repetitions reach engine after engine, as nothing refuses connections and no answer ends.
func TestRequestThatSilencesAndEndsEndpointsIsQuarantined(t *testing.T) {
	for name, tc := range map[string]silentEndCase{
		"lookup":               {route: lookupRoute, patience: 3 * time.Second, callers: silentEndCallers},
		"lookup removed":       {route: lookupRoute, removed: true, patience: 3 * time.Second, callers: silentEndCallers},
		"impatient":            {route: lookupRoute, patience: 500 * time.Millisecond, callers: 1},
		"commit":               {route: commitRoute, patience: 2 * time.Second, callers: silentEndCallers},
		"patient commit":       {route: commitRoute, patience: 10 * time.Second, callers: silentEndCallers},
		"stream":               {route: streamRoute, patience: 8 * time.Second, callers: silentEndCallers},
		"stream removed":       {route: streamRoute, removed: true, patience: 8 * time.Second, callers: silentEndCallers},
		"prefill":              {route: streamRoute, prefills: true, patience: 8 * time.Second, callers: silentEndCallers},
		"same address":         {route: lookupRoute, restarts: true, patience: 3 * time.Second, callers: silentEndCallers},
		"same address, breaks": {route: lookupRoute, restarts: true, breaks: true, patience: 3 * time.Second, callers: 1},
		"one, unreplaced":      {route: streamRoute, patience: 1900 * time.Millisecond, callers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulated(t, func(t *testing.T, w *testGateway) {
				s := &silentEnd{w: w, tc: tc, t: t, hosts: map[string]*simnet.Host{}, lives: map[string]int{}, silent: map[string]bool{}}
				s.run()
			})
		})
	}
}
