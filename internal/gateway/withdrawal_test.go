package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

const (
	// longEventInterval makes two events take longer than two engines may work on one stream.
	longEventInterval = 300 * time.Millisecond
	withdrawnEvents   = 8
)

// overlap records when engines made the events of one stream.
type overlap struct {
	mu          sync.Mutex
	first, last map[string]time.Time // by engine
}

func newOverlap() *overlap {
	return &overlap{first: map[string]time.Time{}, last: map[string]time.Time{}}
}

func (o *overlap) record(engine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.first[engine].IsZero() {
		o.first[engine] = time.Now()
	}
	o.last[engine] = time.Now()
}

// halfCloseEngine makes events until a write or the connection fails. It takes the end of a connection for a caller
// that has closed its side for writing, and still reads the answer.
type halfCloseEngine struct {
	id       string
	overlap  *overlap
	prefill  time.Duration // before its first event
	pauseAt  int           // the event before which it pauses, zero for none
	pause    time.Duration
	onPause  func()
	interval time.Duration
}

func (e *halfCloseEngine) stream(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	reset := make(chan struct{})
	go func() {
		if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
			close(reset)
		}
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	events := last
	wait := e.prefill
	for ; events < withdrawnEvents; events++ {
		if events+1 == e.pauseAt {
			e.onPause()
			wait += e.pause
		}
		select {
		case <-reset:
			return false
		case <-time.After(wait):
		}
		wait = e.interval
		e.overlap.record(e.id)
		text := fmt.Sprintf("id: %d\ndata: piece\n\n", events+1)
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		if events == last {
			text = "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n" + text
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return false
}

// Guards against two engines that work on one stream for longer than is allowed: the one that isn't needed takes the end
// of its connection for a half-close, and works until a write fails.
func TestEngineThatAllowsHalfClosesDoesNotShareAStreamForLong(t *testing.T) {
	for name, tc := range map[string]struct {
		pause, prefill time.Duration
		wantBegun      int // engines
	}{
		"left as it is silent":               {1400 * time.Millisecond, 300 * time.Millisecond, 2},
		"withdrawn before its first event":   {900 * time.Millisecond, time.Second, 1},
		"withdrawn shortly before its event": {900 * time.Millisecond, 450 * time.Millisecond, 1},
	} {
		for _, split := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/split=%t", name, split), func(t *testing.T) {
				simulated(t, func(t *testing.T, w *testGateway) {
					w.setRoute(streamRoute)
					o, tokens := newOverlap(), "100"
					if split {
						tokens = "9000"
						w.addEndpoint("p", catalog.Prefill, w.serve(t, answerPrefill))
					}
					b := &halfCloseEngine{id: "b", overlap: o, prefill: tc.prefill, interval: longEventInterval}
					other := w.serve(t, b.stream)
					a := &halfCloseEngine{id: "a", overlap: o, pauseAt: 3, pause: tc.pause, interval: longEventInterval}
					a.onPause = func() { w.addEndpoint("b", catalog.Decode, other) }
					w.addEndpoint("a", catalog.Decode, w.serve(t, a.stream))
					_, body, err := w.request(t, "POST", "/x/", "", "Tokens", tokens, "Patience", "8000")
					assert.NilError(t, err)
					assert.Equal(t, eventIDs(body), "1 2 3 4 5 6 7 8")
					assert.Equal(t, other.arrivals.Load(), int32(1))
					time.Sleep(settleTime)
					assert.Equal(t, len(o.first), tc.wantBegun)
					if tc.wantBegun == 2 {
						shared := o.last["a"].Sub(o.first["b"])
						assert.Assert(t, shared <= allowedSharedWork, "%s", shared)
					}
				})
			})
		}
	}
}

// Guards against a stream that two engines begin or go on with together, as both have paused: the one that was to replace
// the other isn't sent the stream while it shows no sign of life.
func TestEngineThatPausesIsSentNoReplacement(t *testing.T) {
	for name, tc := range map[string]struct {
		pauseAfter time.Duration
		alive      int // engines that don't pause
	}{
		"before the first event":          {0, 0},
		"after events":                    {time.Second, 0},
		"before the first event, one not": {0, 1},
		"after events, one not":           {time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				synctest.Test(t, func(t *testing.T) {
					p := newPausedPool(t, newSimulatedGateway(t, seed), longStreamRoute, 4)
					time.AfterFunc(tc.pauseAfter, func() {
						for i, e := range p.endpoints {
							if i < len(p.endpoints)-tc.alive || e.arrivals.Load() > 0 {
								e.pause(pauseTime)
							}
						}
					})
					whole, _ := p.streams(t, 1)
					assert.Equal(t, whole, 1)
					paused := 0
					for _, e := range p.endpoints[:len(p.endpoints)-tc.alive] {
						paused += int(e.arrivals.Load())
					}
					assert.Assert(t, paused <= 1, "%d engines that pause were sent the stream", paused)
				})
			}
		})
	}
}

// Guards against a stream that is cut off though an engine could go on with it: that one answers checks for life, but later
// than they are waited for.
func TestEngineThatAnswersLifeChecksSlowlyReplacesASilentOne(t *testing.T) {
	for _, delay := range []time.Duration{lifeCheckTime / 2, lifeCheckTime + 50*time.Millisecond, 600 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(streamRoute)
				other := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return events(c, 3, 3, true) })
				other.onLifeCheck = func() { time.Sleep(delay) }
				w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					events(c, 1, 2, false)
					w.addEndpoint("b", catalog.Decode, other)
					awaitClose(c)
					return false
				}))
				_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100", "Patience", "8000")
				assert.NilError(t, err)
				assert.Equal(t, eventIDs(body), "1 2 3")
				assert.Equal(t, other.arrivals.Load(), int32(1))
			})
		})
	}
}

// Guards against checks for life in proportion to the streams of a silent engine.
func TestStreamsShareTheirLifeChecks(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		const streams, patience = 8, 4 * time.Second
		var added sync.Once
		var checks atomic.Int32
		other := w.serve(t, rejectRequest)
		other.onLifeCheck = func() { checks.Add(1); time.Sleep(patience) }
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			events(c, 1, 2, false)
			added.Do(func() { w.addEndpoint("b", catalog.Decode, other) })
			awaitClose(c)
			return false
		}))
		var all sync.WaitGroup
		for i := range streams {
			all.Go(func() {
				id := fmt.Sprint("r", i)
				_, _, _ = w.request(t, "POST", "/x/", "", "Tokens", "100", "Id", id, "Patience", fmt.Sprint(patience.Milliseconds()))
			})
		}
		all.Wait()
		most := int32(patience / lifeAnswerTime)
		assert.Assert(t, checks.Load() <= most, "%d checks, %d allowed", checks.Load(), most)
	})
}

// Guards against checks for life at endpoints of plain services, which would take them for requests.
func TestEndpointOfAPlainServiceGetsNoLifeCheck(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		other := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return events(c, 3, 3, true) })
		other.onLifeCheck = func() { t.Error("checked for life") }
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			events(c, 1, 2, false)
			w.addEndpoint("b", catalog.Whole, other)
			awaitClose(c)
			return false
		}))
		_, body, err := w.request(t, "POST", "/x/", "", "Patience", "5000")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
	})
}

// Guards against an endpoint that works on a call which another one has answered: both may run it, until one of them has.
func TestAnswerToACallEndsItsOtherExchange(t *testing.T) {
	for name, tc := range map[string]struct{ first, second time.Duration }{
		"the first endpoint answers": {time.Second, time.Hour}, "the second endpoint answers": {time.Hour, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(lookupRoute)
				reset := make(chan time.Time, 1)
				work := func(d time.Duration, c net.Conn) bool {
					assert.Check(t, c.SetReadDeadline(time.Now().Add(d)))
					if _, err := c.Read(make([]byte, 1)); errors.Is(err, syscall.ECONNRESET) {
						reset <- time.Now()
						return false
					}
					return respond(c, 200, "ok", "Seal: s")
				}
				other := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool { return work(tc.second, c) })
				w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					w.addEndpoint("b", catalog.Whole, other)
					return work(tc.first, c)
				}))
				resp, body, err := w.request(t, "GET", "/x/", "", "Patience", "5000")
				answered := time.Now()
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200, body)
				late := (<-reset).Sub(answered)
				assert.Assert(t, late < 5*time.Millisecond, "%s", late)
			})
		})
	}
}

// Guards against two exchanges of a request that may run once, while its endpoint and others are silent.
func TestRequestThatMayRunOnceHasOneExchange(t *testing.T) {
	onceRoute := catalog.Route{Kind: catalog.Stream, MaxAttempts: 3}
	for name, tc := range map[string]struct {
		route  catalog.Route
		tokens string
		split  bool
	}{
		"call":         {catalog.Route{Kind: catalog.NonIdempotent, MaxAttempts: 3}, "", false},
		"stream":       {onceRoute, "100", false},
		"split stream": {onceRoute, "9000", true},
	} {
		for _, pauseAfter := range []time.Duration{0, 250 * time.Millisecond} {
			for _, pauseFor := range []time.Duration{pauseTime, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s/%s/%s", name, pauseAfter, pauseFor), func(t *testing.T) {
					simulated(t, func(t *testing.T, w *testGateway) {
						p := newPausedPool(t, w, tc.route, 4)
						prefills := p.endpoints[:0:0]
						if tc.split {
							for _, id := range []string{"p0", "p1"} {
								prefills = append(prefills, p.addPrefill(t, id))
							}
						}
						time.AfterFunc(pauseAfter, func() { pause(append(prefills, p.endpoints[:3]...), pauseFor) })
						const requests = 6
						var all sync.WaitGroup
						for i := range requests {
							all.Go(func() {
								_, _, err := p.request(t, "POST", "/x/", "", "Tokens", tc.tokens, "Patience", "9000", "Id", fmt.Sprint("r", i))
								assert.Check(t, err)
							})
						}
						all.Wait()
						assert.Equal(t, p.arrivals(), requests)
					})
				})
			}
		}
	}
}

// addPrefill adds a prefill engine, which isn't one of the endpoints.
func (p *pausedPool) addPrefill(t *testing.T, id string) *pausedEndpoint {
	t.Helper()
	e := &pausedEndpoint{}
	e.backend = p.serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
		e.work(pausedEventInterval)
		return answerPrefill(b, n, r, c)
	})
	p.addEndpoint(id, catalog.Prefill, e.backend)
	return e
}
