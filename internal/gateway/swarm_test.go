package gateway

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/simnet"
)

var (
	swarmSeeds = flag.Int("swarm.seeds", 30, "number of seeds of the swarm")
	swarmFirst = flag.Uint64("swarm.first", 1, "first seed of the swarm")
)

const (
	swarmCalls   = 80
	swarmEngines = 4 // of them for decoding; as many plain endpoints
	// swarmTime is the time in which calls begin and faults happen.
	swarmTime = 10 * time.Second
	// maxOvertime is how long after its caller's patience a call may end.
	maxOvertime = 50 * time.Millisecond
)

// swarmCall is a request of a caller, and what became of it.
type swarmCall struct {
	id         string
	kind       string // also the path: stream, lookup or commit
	at         time.Duration
	patience   time.Duration
	tokens     int
	halfCloses bool
	leaves     time.Duration // after the request was sent, zero if the caller stays

	status int // zero if no answer began
	signed bool
	body   string
	err    error // why the answer isn't whole
	took   time.Duration
}

// swarm is a gateway before endpoints that pause, reject, break off, answer late, restart and fall silent.
type swarm struct {
	w    *testGateway
	seed uint64
	// patientCommits has callers wait for each commit. The gateway gives an endpoint a commit's whole time, so that at the
	// caller's deadline two of its timers expire at the same moment, and the scheduler decides which of them is handled first.
	patientCommits bool
	shutdownAt     time.Duration // when the gateway begins to shut down, zero for never

	mu       sync.Mutex
	arrivals map[string]int // by id
	runs     map[string]int // by id
}

// rand returns the random numbers for a purpose, which don't depend on the order in which they are drawn.
func (s *swarm) rand(purpose ...any) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(purpose...))))
}

// between returns a random duration.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

func newSwarm(t *testing.T, seed uint64) *swarm {
	t.Helper()
	s := &swarm{w: newSimulatedGateway(t, seed), seed: seed, arrivals: map[string]int{}, runs: map[string]int{}}
	s.w.store.SetConfig(catalog.NewConfig(1, []*catalog.Route{
		swarmRoute("stream", "engine", catalog.Stream, 3), swarmRoute("lookup", "plain", catalog.Idempotent, 2),
		swarmRoute("commit", "plain", catalog.NonIdempotent, 1),
	}, []*catalog.Service{{Name: "engine", Engine: &catalog.Engine{CacheTokens: 100_000}}, {Name: "plain"}}))
	for i := range swarmEngines {
		s.addEndpoint(t, fmt.Sprint("decode", i), "engine", catalog.Decode)
		s.addEndpoint(t, fmt.Sprint("plain", i), "plain", catalog.Whole)
	}
	s.addEndpoint(t, "prefill", "engine", catalog.Prefill)
	return s
}

func swarmRoute(name, service string, kind catalog.Kind, attempts int) *catalog.Route {
	return &catalog.Route{
		Name: name, Host: "h.example", PathPrefix: "/" + name, Kind: kind, MaxAttempts: attempts, Resumable: true,
		Shares: []catalog.Share{{Service: service, Weight: 1}},
	}
}

// addEndpoint adds an endpoint on a host of its own, which may be silent or restart once.
func (s *swarm) addEndpoint(t *testing.T, id, service string, stage catalog.Stage) {
	t.Helper()
	h := s.w.network.NewHost()
	ln, err := h.Listen(0)
	assert.NilError(t, err)
	b := serveOn(t, ln, s.answer)
	s.w.store.SetEndpoint(&catalog.Endpoint{ID: id, Service: service, Address: b.addr, Zone: "z", Stage: stage, Slots: 8, Born: 1, Sequence: 1})
	s.w.gateway.o.Planner.SetView(s.w.store.View())
	r := s.rand("host", id)
	at, end := between(r, 0, swarmTime), between(r, 100*time.Millisecond, 3*time.Second)
	switch r.IntN(3) {
	case 0:
		time.AfterFunc(at, h.Silence)
		time.AfterFunc(at+end, h.Resume)
	case 1:
		time.AfterFunc(at, func() { _ = ln.Close() })
		time.AfterFunc(at+end, func() { s.listenAgain(t, h, ln.Addr().(*net.TCPAddr).Port) })
	}
}

func (s *swarm) listenAgain(t *testing.T, h *simnet.Host, port int) {
	ln, err := h.Listen(uint16(port))
	if assert.Check(t, err == nil, "%v", err) {
		serveOn(t, ln, s.answer)
	}
}

// arrive counts a request that has reached an endpoint, and returns the random numbers for it.
func (s *swarm) arrive(id string) *rand.Rand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id]++
	return s.rand("arrival", id, " ", s.arrivals[id])
}

func (s *swarm) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// answer is the endpoints' handler.
func (s *swarm) answer(b *backend, n int, r *http.Request, c net.Conn) bool {
	if r.Method == http.MethodDelete {
		return respond(c, 200, "")
	}
	id := r.Header.Get("Id")
	rng := s.arrive(id)
	time.Sleep(between(rng, time.Millisecond, 40*time.Millisecond))
	fault := rng.IntN(24)
	if fault == 0 {
		return rejectRequest(b, n, r, c)
	}
	if r.Header.Get("Only") == "prefill" {
		return answerPrefill(b, n, r, c)
	}
	s.run(id)
	switch fault {
	case 1:
		c.(*simnet.Conn).Reset()
		return false
	case 2:
		return false
	case 3:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 100\r\n\r\npart")
		return false
	case 4:
		return respond(c, 500, "failure of "+id, "Seal: s")
	case 5:
		return respond(c, 200, "forged")
	case 6:
		return respond(c, 200, "forged", "Seal: s", "Id: another")
	case 7, 8:
		time.Sleep(between(rng, 200*time.Millisecond, 5*time.Second))
	}
	if strings.HasPrefix(r.URL.Path, "/stream") {
		return s.stream(rng, r, c)
	}
	return respond(c, 200, "answer to "+id, "Seal: s")
}

// eventCount is the number of a stream's events.
func (s *swarm) eventCount(id string) int { return 2 + s.rand("events", id).IntN(8) }

func swarmEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// stream sends the events after the last one that the caller has. It may pause or break off between two.
func (s *swarm) stream(rng *rand.Rand, r *http.Request, c net.Conn) bool {
	id := r.Header.Get("Id")
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := last + 1; n <= s.eventCount(id); n++ {
		time.Sleep(between(rng, 5*time.Millisecond, 80*time.Millisecond))
		switch rng.IntN(25) {
		case 0:
			time.Sleep(between(rng, 300*time.Millisecond, 3*time.Second))
		case 1:
			_, _ = io.WriteString(c, "6\r\nid: 9\n\r\n")
			return false
		}
		e := swarmEvent(id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// calls returns the requests of a seed.
func (s *swarm) calls() []*swarmCall {
	var all []*swarmCall
	for i := range swarmCalls {
		id := strconv.Itoa(i)
		r := s.rand("call", id)
		k := &swarmCall{id: id, kind: []string{"stream", "lookup", "commit"}[r.IntN(3)], at: between(r, 0, swarmTime)}
		k.patience = between(r, 2*time.Second, 5*time.Second).Truncate(time.Millisecond)
		if s.patientCommits && k.kind == "commit" {
			k.patience += swarmTime
		}
		k.tokens = []int{100, 9000}[r.IntN(2)]
		k.halfCloses = r.IntN(10) == 0
		if r.IntN(10) == 0 {
			k.leaves = between(r, time.Millisecond, time.Second)
		}
		all = append(all, k)
	}
	return all
}

// send sends the request and reads its answer.
func (k *swarmCall) send(ctx context.Context, h *simnet.Host, address string) error {
	time.Sleep(k.at)
	nc, err := h.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	c := nc.(*simnet.Conn)
	defer func() { _ = c.Close() }()
	body, start := "body of "+k.id, time.Now()
	_, err = fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: h.example\r\nId: %s\r\nPatience: %d\r\nTokens: %d\r\nContent-Length: %d\r\n\r\n%s",
		k.kind, k.id, k.patience.Milliseconds(), k.tokens, len(body), body)
	if err != nil {
		return err
	}
	if k.halfCloses {
		if err := c.CloseWrite(); err != nil {
			return err
		}
	}
	if k.leaves > 0 {
		time.AfterFunc(k.leaves, func() { _ = c.Close() })
	}
	k.receive(c)
	k.took = time.Since(start)
	return nil
}

func (k *swarmCall) receive(c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		k.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	k.status, k.signed, k.body, k.err = resp.StatusCode, resp.Header.Get("Seal") != "", string(body), err
}

var refusalText = regexp.MustCompile(`^[0-9]{4} `)

// swarmShutdownTime is how long a shutdown of the gateway lasts.
const swarmShutdownTime = 3 * time.Second

func (s *swarm) shutdownEnd() time.Duration { return s.shutdownAt + swarmShutdownTime }

// judge returns how a call has ended, or why it mustn't have ended so.
func (s *swarm) judge(k *swarmCall) (string, error) {
	whole := s.wholeAnswer(k)
	switch {
	case k.kind == "commit" && s.runs[k.id] > 1:
		return "", fmt.Errorf("a commit ran %d times", s.runs[k.id])
	case !strings.HasPrefix(whole, k.body) && k.status == http.StatusOK:
		return "", fmt.Errorf("an invented answer: %q", k.body)
	case k.leaves > 0 && (errors.Is(k.err, net.ErrClosed) || k.took >= k.leaves):
		return "left", nil
	case k.took > k.patience+maxOvertime:
		return "", errors.New("ended late")
	case s.shutdownAt > 0 && k.status != http.StatusOK && k.at < s.shutdownEnd()-answerMargin && k.at+k.took >= s.shutdownEnd():
		return "", fmt.Errorf("no answer before the end of the shutdown at %s: sent at %s, ended after %s with %d %q", s.shutdownEnd(), k.at, k.took, k.status, k.body)
	case k.err != nil && k.status == 0:
		if !k.halfCloses {
			return "", fmt.Errorf("no answer: %w", k.err)
		}
		return "broken", nil
	case k.err != nil:
		if k.kind != "stream" {
			return "", fmt.Errorf("a buffered answer broke off: %w", k.err)
		}
		return "broken", nil
	}
	return s.judgeWhole(k, whole)
}

// judgeWhole judges an answer that ended in order.
func (s *swarm) judgeWhole(k *swarmCall, whole string) (string, error) {
	switch {
	case k.status == http.StatusOK && (!k.signed || k.body != whole):
		return "", fmt.Errorf("an answer that isn't whole looks so: %q", k.body)
	case k.status == http.StatusOK:
		return "whole", nil
	case k.signed && k.body == "failure of "+k.id:
		return "failure", nil
	case k.signed || !refusalText.MatchString(k.body):
		return "", fmt.Errorf("an invented answer: %d %q", k.status, k.body)
	case promisesNotRun(k.status) && s.runs[k.id] > 0:
		return "", fmt.Errorf("refused as not run, but it ran: %d %q", k.status, k.body)
	}
	return "refused", nil
}

// wholeAnswer is what an endpoint answers to a call.
func (s *swarm) wholeAnswer(k *swarmCall) string {
	if k.kind != "stream" {
		return "answer to " + k.id
	}
	var all strings.Builder
	for n := range s.eventCount(k.id) {
		all.WriteString(swarmEvent(k.id, n+1))
	}
	return all.String()
}

// runSwarm runs the swarm of a seed. It returns a line for each call, and the number of calls by verdict.
func runSwarm(t *testing.T, seed uint64, configure func(*swarm)) (outcomes string, verdicts map[string]int) {
	t.Helper()
	verdicts = map[string]int{}
	var lines strings.Builder
	synctest.Test(t, func(t *testing.T) {
		s := newSwarm(t, seed)
		configure(s)
		if s.shutdownAt > 0 {
			time.AfterFunc(s.shutdownAt, func() { s.w.shutDown(t, swarmShutdownTime) })
		}
		caller, calls := s.w.network.NewHost(), s.calls()
		var all sync.WaitGroup
		for _, k := range calls {
			all.Go(func() {
				err := k.send(t.Context(), caller, s.w.Listener.Addr().String())
				assert.Check(t, err == nil, "%v", err)
			})
		}
		all.Wait()
		time.Sleep(settleTime) // until what was sent late has run
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, k := range calls {
			verdict, err := s.judge(k)
			assert.Check(t, err == nil, "seed %d, %s %s: %v; replay: go test ./internal/gateway -run TestSwarm -swarm.first %d -swarm.seeds 1", seed, k.kind, k.id, err, seed)
			verdicts[verdict]++
			fmt.Fprintf(&lines, "%s %s %s %d %q %d %d %s\n", k.id, k.kind, verdict, k.status, k.body, s.arrivals[k.id], s.runs[k.id], k.took)
		}
	})
	return lines.String(), verdicts
}

// Guards against answers that nobody gave, commits that run twice, refusals of what has run and streams that miss or
// repeat an event, in random mixes of faults and of callers that leave or half-close.
func TestSwarm(t *testing.T) {
	runSwarms(t, func(*swarm) {})
}

// Guards against requests that a shutdown ends without an answer, or refuses as not run though they have run or run later.
func TestSwarmBesideAShutdown(t *testing.T) {
	runSwarms(t, func(s *swarm) {
		r := s.rand("shutdown")
		s.shutdownAt = between(r, swarmTime/4, swarmTime/2)
		s.w.noPeer.Store(r.IntN(2) == 0)
	})
}

// runSwarms runs the swarms of all seeds.
func runSwarms(t *testing.T, configure func(*swarm)) {
	t.Helper()
	total := map[string]int{}
	for i := range *swarmSeeds {
		_, verdicts := runSwarm(t, *swarmFirst+uint64(i), configure)
		for v, n := range verdicts {
			total[v] += n
		}
	}
	t.Log("calls by verdict:", total)
	if *swarmSeeds > 1 {
		for _, v := range []string{"whole", "failure", "refused", "broken", "left"} {
			assert.Check(t, total[v] > 0, "no call was %s", v)
		}
	}
}

// replayedSeeds is the number of seeds that are run twice.
const replayedSeeds = 5

// Guards against a swarm whose failures can't be replayed: one seed gives the same calls with the same ends, to the
// nanosecond.
func TestSwarmIsReplayedByItsSeed(t *testing.T) {
	for i := range uint64(replayedSeeds) {
		patient := func(s *swarm) { s.patientCommits = true }
		first, _ := runSwarm(t, *swarmFirst+i, patient)
		second, _ := runSwarm(t, *swarmFirst+i, patient)
		digest := sha256.Sum256([]byte(first))
		assert.Equal(t, digest, sha256.Sum256([]byte(second)), "%s\n%s", first, second)
		t.Logf("seed %d: %x", *swarmFirst+i, digest[:8])
	}
}
