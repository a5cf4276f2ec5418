package gateway

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/place"
)

// pausing is an endpoint that begins to answer, pauses, and goes on when it is told to. Others are asked
// meanwhile.
type pausing struct {
	resume chan struct{}
	once   sync.Once
}

func newPausing() *pausing { return &pausing{resume: make(chan struct{})} }

func (p *pausing) goOn() { p.once.Do(func() { close(p.resume) }) }

// rejectAndResume rejects a request and has the paused endpoint go on.
func (p *pausing) rejectAndResume(b *backend, n int, r *http.Request, c net.Conn) bool {
	defer p.goOn()
	return rejectRequest(b, n, r, c)
}

// write writes what follows the pause, unless the connection was closed during it.
func (p *pausing) write(c net.Conn, text string) bool {
	<-p.resume
	_, err := c.Write([]byte(text))
	return err == nil
}

const lastEvent = "13\r\nid: 3\ndata: piece\n\n\r\n0\r\n\r\n"

// Guards against a stream that ends early as its engine pauses and the engine that is to resume it is full.
func TestPausedStreamIsKeptIfNoEngineTakesIt(t *testing.T) {
	for name, firstEvents := range map[string]int{"before its first event": 0, "after events": 2} {
		t.Run(name, func(t *testing.T) {
			simulated(t, func(t *testing.T, w *testGateway) {
				w.setRoute(streamRoute)
				p := newPausing()
				full := w.serve(t, p.rejectAndResume)
				w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
					if firstEvents > 0 {
						events(c, 1, firstEvents, false)
						w.addEndpoint("b", catalog.Decode, full)
						return p.write(c, lastEvent)
					}
					w.addEndpoint("b", catalog.Decode, full)
					<-p.resume
					return events(c, 1, 3, true)
				}))
				_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
				assert.NilError(t, err)
				assert.Equal(t, eventIDs(body), "1 2 3")
				assert.Assert(t, full.arrivals.Load() > 0)
			})
		})
	}
}

// Guards against a stream that two engines continue: if its engine goes on while another one is asked, the
// other one is canceled.
func TestStreamThatGoesOnCancelsItsReplacement(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		p, canceled := newPausing(), make(chan struct{})
		other := w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			p.goOn()
			_, _ = c.Read(make([]byte, 1))
			close(canceled)
			return false
		})
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			events(c, 1, 2, false)
			w.addEndpoint("b", catalog.Decode, other)
			return p.write(c, lastEvent)
		}))
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
		<-canceled
		assert.Equal(t, other.arrivals.Load(), int32(1))
	})
}

// Guards against a call that fails as its endpoint pauses and the endpoint that is asked next is full.
func TestPausedCallIsKeptIfNoEndpointTakesIt(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(lookupRoute)
		p := newPausing()
		full := w.serve(t, p.rejectAndResume)
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			w.addEndpoint("b", catalog.Whole, full)
			<-p.resume
			return respond(c, 200, "answer", "Seal: s")
		}))
		resp, body, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, body, "answer")
		assert.Equal(t, full.arrivals.Load(), int32(1))
	})
}

// Guards against waiting for an endpoint that is silent for good while another one could answer the call.
func TestSilentCallIsAnsweredByAnotherEndpoint(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(lookupRoute)
		left := make(chan struct{})
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			w.addEndpoint("b", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				return respond(c, 200, "answer", "Seal: s")
			}))
			_, _ = c.Read(make([]byte, 1))
			close(left)
			return false
		}))
		resp, body, err := w.request(t, "GET", "/x/", "")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		assert.Equal(t, body, "answer")
		<-left
	})
}

// Guards against a stream that breaks off as the engine that pauses rejects it afterwards, though another one
// has been asked in the meantime.
func TestRejectionAfterAPauseLeavesTheStreamToItsReplacement(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		p := newPausing()
		w.addEndpoint("a", catalog.Decode, w.serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
			w.addEndpoint("b", catalog.Decode, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
				p.goOn()
				time.Sleep(100 * time.Millisecond)
				return events(c, 1, 3, true)
			}))
			<-p.resume
			return rejectRequest(b, n, r, c)
		}))
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
	})
}

// Guards against canceling an engine that has been sent a stream, as the prefill that it replaces ends after a
// pause, when no other engine can take the stream any more.
func TestPrefillAfterAPauseLeavesTheStreamToItsReplacement(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		p := newPausing()
		w.addEndpoint("p", catalog.Prefill, w.serve(t, func(b *backend, n int, r *http.Request, c net.Conn) bool {
			w.addEndpoint("d", catalog.Decode, w.serve(t, func(_ *backend, n int, r *http.Request, c net.Conn) bool {
				if n > 1 || r.Method == "DELETE" {
					return rejectRequest(nil, n, r, c)
				}
				p.goOn()
				time.Sleep(100 * time.Millisecond)
				return events(c, 1, 3, true)
			}))
			<-p.resume
			return answerPrefill(b, n, r, c)
		}))
		w.addEndpoint("unused", catalog.Decode, w.serve(t, rejectRequest))
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "9000")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
	})
}

// Guards against ejecting an endpoint whose commits take long: nothing may be asked in its place, and slow
// commits say nothing about its health.
func TestSlowCommitsEjectNoEndpoint(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(commitRoute)
		w.addEndpoint("a", catalog.Whole, w.serve(t, func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
			time.Sleep(3 * minAttemptTimeout)
			return respond(c, 200, "done", "Seal: s")
		}))
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() { _, _, _ = w.request(t, "POST", "/x/", "commit") })
		}
		time.Sleep(2 * minAttemptTimeout)
		w.addEndpoint("b", catalog.Whole, w.serve(t, rejectRequest))
		p, now := w.gateway.o.Planner, w.clock.Now()
		for _, e := range w.store.View().All() {
			for range 3 {
				if e.ID == "b" {
					p.Begin(now, e, place.Job{})
				}
			}
		}
		assert.Equal(t, p.ChooseEndpoint(now, w.store.View().All(), nil).ID, "a")
		calls.Wait()
	})
}

// Guards against blaming a request for the crash of an endpoint that only pauses.
func TestAPauseIsNoCrash(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		b := w.serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
			if n == 1 {
				events(c, 1, 2, false)
				_, _ = c.Read(make([]byte, 1))
				return false
			}
			return events(c, 3, 3, true)
		})
		w.addEndpoint("a", catalog.Decode, b)
		w.addEndpoint("b", catalog.Decode, b)
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
		w.mu.Lock()
		defer w.mu.Unlock()
		assert.Equal(t, len(w.crashed), 0)
	})
}
