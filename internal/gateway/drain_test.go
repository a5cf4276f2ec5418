package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
)

// answerAfter returns a handler that takes d from the first event of a stream to its end.
func answerAfter(d time.Duration) func(*backend, int, *http.Request, net.Conn) bool {
	return func(_ *backend, _ int, _ *http.Request, c net.Conn) bool {
		events(c, 1, 1, false)
		time.Sleep(d)
		_, err := c.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

// shutDown starts a shutdown that ends after d.
func (w *testGateway) shutDown(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	w.leaving.Store(true)
	assert.NilError(t, w.gateway.Drain(ctx))
}

// Guards against a stream that a VM takes late in its shutdown and cuts off at the end of its process.
func TestStreamThatOutlastsTheShutdownIsLeftToOtherVMs(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		b := w.serve(t, answerAfter(200*time.Millisecond))
		w.addEndpoint("a", catalog.Decode, b)
		w.mustGet(t)
		w.shutDown(t, 400*time.Millisecond)
		resp, body, err := w.request(t, "GET", "/x/", "", "Tokens", "100", "Parts", "1:100")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, body)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Assert(t, resp.Close)
		assert.Equal(t, b.arrivals.Load(), int32(1))
	})
}

// Guards against refusing requests that end before the process does.
func TestShortRequestsAreServedDuringAShutdown(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		w.addEndpoint("a", catalog.Decode, w.serve(t, answerAfter(time.Millisecond)))
		w.mustGet(t)
		w.shutDown(t, time.Minute)
		for name, patience := range map[string]string{"its caller disconnects before": "3000", "answers are short": "120000"} {
			resp, body, err := w.request(t, "GET", "/x/", "", "Tokens", "100", "Patience", patience)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", name, body)
		}
	})
}

// Guards against breaking off a stream that must be resumed at another engine during a shutdown: an
// endpoint has run it, so it can't be left to another VM.
func TestStreamIsResumedDuringAShutdown(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(streamRoute)
		b := w.serve(t, func(_ *backend, n int, _ *http.Request, c net.Conn) bool {
			if n == 1 {
				events(c, 1, 2, false)
				w.shutDown(t, 100*time.Millisecond)
				return false
			}
			return events(c, 3, 3, true)
		})
		w.addEndpoint("a", catalog.Decode, b)
		w.addEndpoint("b", catalog.Decode, b)
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100")
		assert.NilError(t, err)
		assert.Equal(t, eventIDs(body), "1 2 3")
	})
}
