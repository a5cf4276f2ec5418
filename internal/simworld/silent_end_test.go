package simworld

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/code"
)

const (
	silentEndEndpoints = 16
	// silentEndAfter is how long an endpoint is silent until its process ends.
	silentEndAfter = 4 * time.Second
	// silentEndBound is how long after the third end further sends are allowed, and maxLateSilentEnds how many later.
	silentEndBound    = 3 * time.Second
	maxLateSilentEnds = 3
	silentEndTime     = 40 * time.Second
	silentEndTimeout  = 3 * time.Second // of the callers
	silentEndInterval = 50 * time.Millisecond
	silentEndPoison   = "poison"
	// wholePoolEndpoints are few enough that a request ends all of them before the first end is known.
	wholePoolEndpoints = 4
	wholePoolEndAfter  = time.Second
	wholePoolRestart   = 800 * time.Millisecond
	soundCaller        = "sound"
	silentEndCallers   = 3 // that repeat the request
	// minSoundCalls and minSoundStreams are the minimum numbers of answers to sound requests; a stream takes 0.2 s.
	minSoundCalls   = 400
	minSoundStreams = 100
)

// silentEndRun is a world in which a request silences each endpoint that runs it, and ends it later.
type silentEndRun struct {
	*world
	t    *testing.T
	stop context.Context
	// endAfter is how long an endpoint is silent until its process ends, and restartAfter how long after that another
	// one begins.
	endAfter, restartAfter time.Duration
	endpoints              int

	mu          sync.Mutex
	silent      map[*endpoint]bool
	sends, ends []time.Time
	whole       int // sound requests that were answered
	quarantined int // sound requests that were refused as such
}

// receive is called when a request arrives at an endpoint.
func (s *silentEndRun) receive(e *endpoint, id string) {
	if !strings.HasPrefix(id, silentEndPoison) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, time.Now())
	if s.silent[e] {
		return
	}
	s.silent[e] = true
	e.pause(time.Hour)
	time.AfterFunc(s.endAfter, func() { s.endSilent(e) })
}

func (s *silentEndRun) endSilent(e *endpoint) {
	s.mu.Lock()
	s.ends = append(s.ends, time.Now())
	s.mu.Unlock()
	s.retire(e)
	time.Sleep(s.restartAfter)
	if s.stop.Err() == nil {
		s.addEndpoint(e.endpointSpec)
	}
}

// call repeats a request at any VM, with a new id each time.
func (s *silentEndRun) call(caller, path string, body func(n int) string) {
	rng, host := s.rand("caller", caller), s.network.NewHost()
	client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}, Timeout: silentEndTimeout}
	defer client.CloseIdleConnections()
	for n := 0; s.stop.Err() == nil; n++ {
		v := s.vms[rng.IntN(len(s.vms))]
		req, err := http.NewRequest(http.MethodPost, "http://"+v.address(portCallers)+path, strings.NewReader(body(n)))
		assert.NilError(s.t, err)
		req.Host = routeHost
		req.Header.Set(headerID, fmt.Sprint(caller, "-", n))
		req.Header.Set(headerPatience, fmt.Sprint(silentEndTimeout.Milliseconds()))
		if path == pathResumable {
			req.Header.Set(headerTokens, "300")
		}
		resp, err := client.Do(req)
		if err == nil {
			s.judge(caller, resp)
		}
		time.Sleep(silentEndInterval)
	}
}

func (s *silentEndRun) judge(caller string, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || caller != soundCaller {
		return // the caller has left
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.StatusCode == http.StatusOK {
		s.whole++
	}
	if strings.HasPrefix(string(body), strconv.Itoa(int(code.Quarantined))) {
		s.quarantined++
	}
}

// lateSends returns the sends later than silentEndBound after the third end.
func (s *silentEndRun) lateSends() (late int) {
	for _, at := range s.sends {
		if len(s.ends) >= 3 && at.Sub(s.ends[2]) > silentEndBound {
			late++
		}
	}
	return late
}

func (s *silentEndRun) run(seed uint64, path string) {
	stop, cancel := context.WithTimeout(context.Background(), silentEndTime)
	defer cancel()
	s.stop = stop
	spec := endpointSpec{service: "s", callTime: 10 * time.Millisecond, interval: 10 * time.Millisecond, onRequest: s.receive}
	if path == pathResumable {
		spec.service, spec.stage = "m", catalog.Decode
	}
	s.world = newWorld(s.t, seed, slices.Repeat([]endpointSpec{spec}, s.endpoints))
	var callers sync.WaitGroup
	for i := range silentEndCallers {
		callers.Go(func() { s.call(fmt.Sprint(silentEndPoison, i), path, func(int) string { return "the same" }) })
	}
	callers.Go(func() { s.call(soundCaller, path, func(n int) string { return fmt.Sprint("sound ", n) }) })
	callers.Wait()
	time.Sleep(2 * silentEndAfter) // until the last endpoints have ended
	s.end()
}

// Guards against a request that silences each endpoint that runs it and ends it after its caller has left, and is
// sent to further endpoints by all VMs.
func TestWorldOfARequestThatSilencesAndEndsEndpoints(t *testing.T) {
	for path, minSound := range map[string]int{pathReads: minSoundCalls, pathPay: minSoundCalls, pathResumable: minSoundStreams} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			for i := range uint64(*worldSeeds) {
				seed := *worldFirst + i
				synctest.Test(t, func(t *testing.T) {
					s := &silentEndRun{t: t, silent: map[*endpoint]bool{}, endAfter: silentEndAfter, endpoints: silentEndEndpoints}
					s.run(seed, path)
					late := s.lateSends()
					t.Logf("seed %d: %d endpoints ended, %d sends, %d late, %d sound answers, %d quarantined", seed, len(s.ends), len(s.sends), late, s.whole, s.quarantined)
					assert.Check(t, len(s.ends) >= 3, "seed %d", seed)
					assert.Check(t, late <= maxLateSilentEnds, "seed %d: %d late sends", seed, late)
					assert.Check(t, s.quarantined == 0, "seed %d: %d sound requests refused", seed, s.quarantined)
					assert.Check(t, s.whole >= minSound, "seed %d: %d sound answers", seed, s.whole)
				})
			}
		})
	}
}

// Guards against a request that ends all endpoints of a pool again and again, as each VM finds itself cut off by then
// and takes none of the ends for a crash.
func TestWorldOfARequestThatEndsAWholePool(t *testing.T) {
	for _, path := range []string{pathReads, pathPay, pathResumable} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			for i := range uint64(*worldSeeds) {
				seed := *worldFirst + i
				synctest.Test(t, func(t *testing.T) {
					s := &silentEndRun{t: t, silent: map[*endpoint]bool{}, endAfter: wholePoolEndAfter, restartAfter: wholePoolRestart, endpoints: wholePoolEndpoints}
					s.run(seed, path)
					late := s.lateSends()
					t.Logf("seed %d: %d endpoints ended, %d sends, %d late, %d sound answers, %d quarantined", seed, len(s.ends), len(s.sends), late, s.whole, s.quarantined)
					assert.Check(t, len(s.ends) >= 3, "seed %d", seed)
					assert.Check(t, late <= maxLateSilentEnds, "seed %d: %d late sends", seed, late)
					assert.Check(t, s.quarantined == 0, "seed %d: %d sound requests refused", seed, s.quarantined)
				})
			}
		})
	}
}
