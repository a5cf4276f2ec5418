package gateway

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

const (
	// drainTime is the time from the signal to the end of the process.
	drainTime = 7700 * time.Millisecond
	// drainHistory is the time with load before the signal.
	drainHistory  = 15 * time.Second
	drainInterval = 150 * time.Millisecond
	tokenTime     = 50 * time.Millisecond
	// slowedTokenTime is that of engines that work at a quarter of their speed.
	slowedTokenTime = 4 * tokenTime
	maxTokens       = 106
)

// drainLoad describes the requests before and during a shutdown, and the engines' speed.
type drainLoad struct {
	limit  int           // of output tokens, zero for as many as the answer has
	sendTo time.Duration // time after the signal of the last request
	slowed time.Duration // time from the signal to a slowdown, negative before the signal; zero for at the signal
	slow   int           // number of the engines that slow down
	queue  time.Duration // for which requests wait at the engines for others' requests
	alone  bool          // no other VM accepts callers
}

// drainedStream is a request during a shutdown.
type drainedStream struct {
	sent   time.Duration // after the signal
	tokens int
	status int
	ended  time.Duration // after the signal
	events int
}

func (s drainedStream) String() string {
	return fmt.Sprintf("%d tokens sent %s after the signal: status %d, %d events until %s", s.tokens, s.sent, s.status, s.events, s.ended)
}

// cutOff reports whether the end of the process breaks the stream off.
func (s drainedStream) cutOff() bool { return s.status == http.StatusOK && s.ended > drainTime }

// pacedEngine answers streams with an event for each token.
type pacedEngine struct {
	tokenTime atomic.Int64
	queue     time.Duration // before a request runs
}

func (e *pacedEngine) handle(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	tokens, _ := strconv.Atoi(r.Header.Get("Answer-Tokens"))
	time.Sleep(e.queue)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := 1; n <= tokens; n++ {
		time.Sleep(time.Duration(e.tokenTime.Load()))
		event := fmt.Sprintf("id: %d\ndata: piece\n\n", n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// drainWorld is a gateway with prefill and decode engines.
type drainWorld struct {
	*testGateway
	t       *testing.T
	load    drainLoad
	rng     *rand.Rand
	engines []*pacedEngine
	decodes []*backend
	callers sync.WaitGroup
	nextID  atomic.Int64
}

func newDrainWorld(t *testing.T, w *testGateway, seed uint64, load drainLoad) *drainWorld {
	t.Helper()
	d := &drainWorld{testGateway: w, t: t, load: load, rng: rand.New(rand.NewPCG(seed, 1))}
	route := streamRoute
	route.Resumable = false
	w.setRoute(route)
	w.noPeer.Store(load.alone)
	for i := range 2 {
		w.addEndpoint(fmt.Sprint("p", i), catalog.Prefill, w.serve(t, answerStaying))
	}
	for i := range 4 {
		e := &pacedEngine{queue: load.queue}
		e.tokenTime.Store(int64(tokenTime))
		b := w.serve(t, e.handle)
		d.engines, d.decodes = append(d.engines, e), append(d.decodes, b)
		w.addEndpoint(fmt.Sprint("d", i), catalog.Decode, b)
	}
	return d
}

// stream sends a request for a stream and reads its answer.
func (d *drainWorld) stream(signal time.Time, tokens int) drainedStream {
	limit := d.load.limit
	if limit == 0 {
		limit = tokens
	}
	s := drainedStream{sent: time.Since(signal), tokens: tokens}
	resp, body, err := d.request(d.t, "POST", "/x/", "", "Id", fmt.Sprint(d.nextID.Add(1)), "Tokens", "620", "Patience", "30000",
		"Max-Tokens", fmt.Sprint(limit), "Answer-Tokens", fmt.Sprint(tokens))
	assert.Check(d.t, err)
	if resp != nil {
		s.status = resp.StatusCode
		assert.Check(d.t, s.status == http.StatusOK || resp.Header.Get("Retry-After") != "")
	}
	s.events, s.ended = strings.Count(body, "\n\n"), time.Since(signal)
	return s
}

// shortTokens returns the length of an answer like those before the signal.
func (d *drainWorld) shortTokens() int { return 10 + d.rng.IntN(21) }

// send sends requests at intervals for a time, each with the given length.
func (d *drainWorld) send(signal time.Time, interval, until time.Duration, tokens func() int, record func(drainedStream)) {
	for ; time.Since(signal) < until; time.Sleep(interval) {
		n := tokens()
		d.callers.Go(func() { record(d.stream(signal, n)) })
	}
}

// run sends requests with short answers before the signal and requests of the given lengths after it. It
// returns the latter.
func (d *drainWorld) run(tokens func() int) []drainedStream {
	signal := time.Now().Add(drainHistory)
	time.AfterFunc(drainHistory+d.load.slowed, func() {
		for _, e := range d.engines[:d.load.slow] {
			e.tokenTime.Store(int64(slowedTokenTime))
		}
	})
	d.send(signal, drainInterval, 0, d.shortTokens, func(drainedStream) {})
	d.shutDown(d.t, drainTime)
	var mu sync.Mutex
	var all []drainedStream
	d.send(signal, drainInterval/2, d.load.sendTo, tokens, func(s drainedStream) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
	})
	d.callers.Wait()
	return all
}

var drainSeeds = flag.Uint64("drain.seeds", 3, "number of seeds of each case of a shutdown beside streams")

// Guards against streams that a VM takes during its shutdown as its route's answers were short before, and cuts off
// at its end as their requests allow more tokens.
func TestLongerStreamsAreLeftToOtherVMs(t *testing.T) {
	for seed := range *drainSeeds {
		simulated(t, func(t *testing.T, w *testGateway) {
			d := newDrainWorld(t, w, seed, drainLoad{sendTo: 4500 * time.Millisecond})
			long := 0
			for _, s := range d.run(func() int { return []int{d.shortTokens(), maxTokens}[d.rng.IntN(2)] }) {
				assert.Check(t, !s.cutOff(), "seed %d: %s", seed, s)
				if s.tokens == maxTokens && s.status == http.StatusOK {
					long++
				}
			}
			assert.Check(t, long > 0, "seed %d: no long stream that could end was taken", seed)
		})
	}
}

// Guards against refusing streams that end before the process does, by their own limits or by the lengths that
// answers of their route have: in the early part of a shutdown, and in all of it while no other VM could take them.
func TestStreamsThatCouldEndAreServedDuringAShutdown(t *testing.T) {
	const (
		minServedShare = 0.95
		earlyPart      = 1800 * time.Millisecond
	)
	for name, load := range map[string]drainLoad{
		"limits of their own":         {sendTo: earlyPart},
		"limits of their own, alone":  {sendTo: drainTime, alone: true},
		"limit of their route":        {limit: maxTokens, sendTo: earlyPart},
		"limit of their route, alone": {limit: maxTokens, sendTo: 4500 * time.Millisecond, alone: true},
	} {
		served, could := 0, 0
		for seed := range *drainSeeds {
			simulated(t, func(t *testing.T, w *testGateway) {
				d := newDrainWorld(t, w, seed, load)
				for _, s := range d.run(d.shortTokens) {
					assert.Check(t, !s.cutOff(), "%s, seed %d: %s", name, seed, s)
					if s.sent+time.Duration(s.tokens)*tokenTime <= drainTime {
						could++
						if s.status == http.StatusOK {
							served++
						}
					}
				}
			})
		}
		t.Logf("%s: %d of %d streams that could end were served", name, served, could)
		assert.Check(t, float64(served) >= minServedShare*float64(could), "%s: %d of %d", name, served, could)
	}
}

// Guards against streams that are cut off as engines slow down to a quarter of their speed beside a shutdown.
func TestStreamsOfSlowedEnginesEndBeforeTheProcess(t *testing.T) {
	const settled = time.Second // from the signal until slowed engines are known
	for name, load := range map[string]drainLoad{
		"at the signal":                     {slow: 4},
		"before it":                         {slow: 4, slowed: -5 * time.Second},
		"one engine":                        {slow: 1},
		"at the signal, limit of the route": {slow: 4, limit: maxTokens},
		"one engine, limit of the route":    {slow: 1, limit: maxTokens},
	} {
		load.sendTo = drainTime
		for seed := range *drainSeeds {
			simulated(t, func(t *testing.T, w *testGateway) {
				d := newDrainWorld(t, w, seed, load)
				late := 0
				for _, s := range d.run(d.shortTokens) {
					if s.sent <= settled {
						continue
					}
					assert.Check(t, !s.cutOff(), "%s, seed %d: %s", name, seed, s)
					if s.status == http.StatusOK {
						late++
					}
				}
				t.Logf("%s, seed %d: %d streams were taken later than %s after the signal", name, seed, late, settled)
				// With the limit of the route, none of four slowed engines is known to end an answer in time.
				assert.Check(t, late > 0 || load.limit > 0 && load.slow > 1, "%s, seed %d: none was taken", name, seed)
			})
		}
	}
}

// Guards against streams that a VM takes during its shutdown and cuts off at its end, as they wait in the queues of
// their engines before they run.
func TestStreamsThatQueueAtTheirEnginesAreLeftToOtherVMs(t *testing.T) {
	for name, load := range map[string]drainLoad{
		"limits of their own": {queue: queueTime},
		"limit of the route":  {queue: queueTime, limit: maxTokens},
	} {
		load.sendTo = drainTime
		for seed := range *drainSeeds {
			simulated(t, func(t *testing.T, w *testGateway) {
				d := newDrainWorld(t, w, seed, load)
				taken := 0
				for _, s := range d.run(d.shortTokens) {
					assert.Check(t, !s.cutOff(), "%s, seed %d: %s", name, seed, s)
					if s.status == http.StatusOK {
						taken++
					}
				}
				assert.Check(t, taken > 0, "%s, seed %d: none was taken", name, seed)
			})
		}
	}
}

// queueTime is shorter than a silence after which another engine is asked.
const queueTime = 450 * time.Millisecond
