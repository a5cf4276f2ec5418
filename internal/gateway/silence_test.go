package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

const (
	pauseAt   = time.Second
	pauseTime = 1200 * time.Millisecond
	// maxProbes is one each 0.8 s, of a VM and service, for as long as callers wait.
	maxProbes = 10
	// silentForGood is longer than callers wait.
	silentForGood = 30 * time.Second
	// streamInterval is the time between two requests for streams.
	streamInterval = 10 * time.Millisecond
	// pausedEvents events make a stream meet the pause, and go on after it.
	pausedEvents        = 20
	pausedEventInterval = 100 * time.Millisecond
)

// pausedPool is a gateway before endpoints that pause or fall silent.
type pausedPool struct {
	*testGateway
	endpoints []*pausedEndpoint
}

// pausedEndpoint is an endpoint that accepts connections and requests, and sends nothing while it pauses.
type pausedEndpoint struct {
	*backend
	until atomic.Int64 // the end of its pause, Unix nanoseconds
}

func (e *pausedEndpoint) pause(d time.Duration) { e.until.Store(time.Now().Add(d).UnixNano()) }

// work takes the given time, and waits for the end of the pause.
func (e *pausedEndpoint) work(d time.Duration) {
	time.Sleep(d)
	time.Sleep(time.Until(time.Unix(0, e.until.Load())))
}

func newPausedPool(t *testing.T, w *testGateway, route catalog.Route, size int) *pausedPool {
	t.Helper()
	w.setRoute(route)
	p := &pausedPool{testGateway: w}
	stage := catalog.Whole
	if route.Kind == catalog.Stream {
		stage = catalog.Decode
	}
	for i := range size {
		p.add(t, fmt.Sprint("e", i), stage)
	}
	return p
}

// add adds an endpoint that sends an event each pausedEventInterval, or that answers a call in that time.
func (p *pausedPool) add(t *testing.T, id string, stage catalog.Stage) {
	t.Helper()
	e := &pausedEndpoint{}
	e.backend = p.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
		if stage == catalog.Decode {
			return e.stream(c, r)
		}
		e.work(pausedEventInterval)
		return respond(c, 200, "answer", "Seal: s")
	})
	e.onLifeCheck = func() { e.work(0) }
	p.endpoints = append(p.endpoints, e)
	p.addEndpoint(id, stage, e.backend)
}

// stream sends the events that follow the last one which the request names.
func (e *pausedEndpoint) stream(c net.Conn, r *http.Request) bool {
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	e.work(0)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for id := last + 1; id <= pausedEvents; id++ {
		e.work(pausedEventInterval)
		event := fmt.Sprintf("id: %d\ndata: piece\n\n", id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// pause has endpoints pause together.
func pause(endpoints []*pausedEndpoint, d time.Duration) {
	for _, e := range endpoints {
		e.pause(d)
	}
}

// streams sends requests for streams, one after the other so that placement is the same in each run, and returns the number of whole answers and
// the longest time that one took.
func (p *pausedPool) streams(t *testing.T, count int) (whole int, longest time.Duration) {
	t.Helper()
	var all sync.WaitGroup
	var mu sync.Mutex
	want := ""
	for id := range pausedEvents {
		want += " " + fmt.Sprint(id+1)
	}
	for i := range count {
		all.Go(func() {
			sent := time.Now()
			_, body, err := p.request(t, "POST", "/x/", "", "Tokens", "2000", "Patience", "8000", "Id", fmt.Sprint("r", i))
			mu.Lock()
			defer mu.Unlock()
			if err == nil && " "+eventIDs(body) == want {
				whole++
			}
			longest = max(longest, time.Since(sent))
		})
		time.Sleep(streamInterval)
	}
	all.Wait()
	return whole, longest
}

// arrivals returns the requests that the endpoints have received.
func (p *pausedPool) arrivals() int {
	n := 0
	for _, e := range p.endpoints {
		n += int(e.arrivals.Load())
	}
	return n
}

func (p *pausedPool) withheld() int64 { return p.gateway.metrics.Snapshot().Replacements["withheld"] }

// Guards against requests that are sent to endpoints which are as silent as the one to be left: all pause at once and
// go on.
func TestPoolThatPausesGetsNoReplacements(t *testing.T) {
	for name, tc := range map[string]struct{ endpoints, streams, replacements int }{
		"all are known":    {4, 12, 0},
		"some are unknown": {8, 4, 1}, // one of them is asked, to learn whether they pause, too
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				p := newPausedPool(t, w, longStreamRoute, tc.endpoints)
				time.AfterFunc(pauseAt, func() { pause(p.endpoints, pauseTime) })
				whole, _ := p.streams(t, tc.streams)
				assert.Equal(t, whole, tc.streams)
				assert.Assert(t, p.arrivals() <= tc.streams+tc.replacements, "%d arrivals", p.arrivals())
				assert.Assert(t, p.withheld() > 0)
			})
		})
	}
}

// Guards against calls that are sent to endpoints which are as silent as the one to be left.
func TestPlainPoolThatPausesGetsNoReplacements(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		p := newPausedPool(t, w, lookupRoute, 4)
		time.Sleep(pauseAt)
		pause(p.endpoints, pauseTime)
		const calls = 12
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				resp, body, err := p.request(t, "GET", "/x/", "")
				assert.Check(t, err)
				assert.Check(t, err != nil || resp.StatusCode == 200, body)
			})
		}
		all.Wait()
		assert.Equal(t, p.arrivals(), calls)
	})
}

// Guards against streams that wait for endpoints which pause while others are alive, and against asking those that
// pause, too.
func TestStreamsMoveToEndpointsThatAreAlive(t *testing.T) {
	for name, tc := range map[string]struct {
		paused int
		length time.Duration
	}{"half": {4, pauseTime}, "all but one": {7, pauseTime}, "most are silent for good": {5, silentForGood}} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				p := newPausedPool(t, w, longStreamRoute, 8)
				var before atomic.Int32
				pausing := p.endpoints[:tc.paused]
				count := func() (n int32) {
					for _, e := range pausing {
						n += e.arrivals.Load()
					}
					return n
				}
				time.AfterFunc(pauseAt, func() {
					before.Store(count())
					pause(pausing, tc.length)
				})
				const streams = 16
				whole, longest := p.streams(t, streams)
				assert.Equal(t, whole, streams)
				assert.Equal(t, count(), before.Load(), "no silent endpoint was asked")
				assert.Assert(t, p.gateway.metrics.Snapshot().Replacements["taken"] > 0)
				assert.Assert(t, longest < pausedEvents*pausedEventInterval+pauseTime, "%s", longest)
			})
		})
	}
}

// Guards against a stream that stays at an endpoint which is silent for good, as the others paused when it fell
// silent.
func TestEndpointSilentForGoodIsLeftAfterTheOthersPaused(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		p := newPausedPool(t, w, longStreamRoute, 4)
		time.AfterFunc(pauseAt, func() {
			p.endpoints[0].pause(silentForGood)
			pause(p.endpoints[1:], pauseTime)
		})
		const streams = 12
		whole, longest := p.streams(t, streams)
		assert.Equal(t, whole, streams)
		// Once the others have gone on, an attempt to replace a stream is made within replaceInterval.
		assert.Assert(t, longest < pausedEvents*pausedEventInterval+pauseTime+2*replaceInterval, "%s", longest)
		assert.Assert(t, p.arrivals() <= streams+int(p.gateway.metrics.Snapshot().Replacements["taken"]), "%d arrivals", p.arrivals())
	})
}

// Guards against an endpoint that is silent for good and isn't left as the VM has no exchange with the others.
func TestSilentEndpointIsLeftForUnknownOnes(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		p := newPausedPool(t, w, longStreamRoute, 1)
		time.AfterFunc(pauseAt, func() {
			p.endpoints[0].pause(silentForGood)
			p.add(t, "f0", catalog.Decode)
			p.add(t, "f1", catalog.Decode)
		})
		const streams = 4
		whole, longest := p.streams(t, streams)
		assert.Equal(t, whole, streams)
		assert.Assert(t, longest < pausedEvents*pausedEventInterval+maxEventGap+2*replaceInterval, "%s", longest)
	})
}

// Guards against a request that asks one silent endpoint after the other, and blocks the others, when all are silent
// for good; and against requests that outlive their callers.
func TestPoolSilentForGoodEndsWithItsCallers(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		p := newPausedPool(t, w, longStreamRoute, 4)
		time.AfterFunc(pauseAt, func() {
			pause(p.endpoints, silentForGood)
		})
		const streams = 8
		whole, longest := p.streams(t, streams)
		assert.Equal(t, whole, 0)
		assert.Assert(t, longest <= 8*time.Second+maxOvertime, "%s", longest)
		assert.Assert(t, p.arrivals() <= streams+maxProbes, "%d arrivals", p.arrivals())
		p.add(t, "fresh", catalog.Decode)
		whole, _ = p.streams(t, 1)
		assert.Equal(t, whole, 1)
	})
}

// Guards against a metric that names a silent pool though there is no other endpoint.
func TestOnlyEndpointIsNoSilentPool(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		p := newPausedPool(t, w, longStreamRoute, 1)
		time.AfterFunc(pauseAt, func() { pause(p.endpoints, pauseTime) })
		whole, _ := p.streams(t, 2)
		assert.Equal(t, whole, 2)
		assert.Equal(t, p.arrivals(), 2)
		assert.Equal(t, p.withheld(), int64(0))
	})
}

// Guards against commits that are sent twice in a pause, and against slow commits that are taken for silent
// endpoints.
func TestPausedCommitsRunOnce(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		p := newPausedPool(t, w, commitRoute, 4)
		pause(p.endpoints, pauseTime)
		const calls = 8
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				resp, body, err := p.request(t, "POST", "/x/", "commit", "Patience", "5000")
				assert.Check(t, err)
				assert.Check(t, err != nil || resp.StatusCode == 200, body)
			})
		}
		all.Wait()
		assert.Equal(t, p.arrivals(), calls)
		assert.Equal(t, p.withheld(), int64(0))
	})
}
