package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuestand/internal/catalog"
	"fescuestand/internal/policy/place"
)

// callerPatience is the time without an event after which callers disconnect.
const callerPatience = 2 * time.Second

// hangAtFirst is a handler that sends the first event of a stream and nothing more. It sends the rest of one that is resumed.
func hangAtFirst(_ *backend, _ int, r *http.Request, c net.Conn) bool {
	if r.Header.Get("Last") != "" {
		return resumedStream(r, c)
	}
	events(c, 1, 1, false)
	time.Sleep(silentForGood)
	return false
}

func resumedStream(r *http.Request, c net.Conn) bool {
	first := 1
	if r.Header.Get("Last") != "" {
		first = 2
	}
	events(c, first, 2, false)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// Guards against streams that are never replaced although the engines take requests: each engine has a stream
// that hangs, and no other request shows that it is alive.
func TestAHungStreamAtEachEngineWithholdsNoReplacementForever(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(longStreamRoute)
		for _, id := range []string{"a", "b"} {
			w.addEndpoint(id, catalog.Decode, w.serve(t, hangAtFirst))
		}
		var all sync.WaitGroup
		var whole atomic.Int32
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			all.Go(func() {
				_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100", "Patience", "8000", "Id", id)
				t.Logf("%s: %q %v", id, eventIDs(body), err)
				if err == nil && eventIDs(body) == "1 2" {
					whole.Add(1)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
		assert.Equal(t, whole.Load(), int32(4))
	})
}

// Guards against a stream that its caller leaves although another engine has room: it rejected requests before, and
// the next probe is due after the caller's patience.
func TestAnEngineThatRejectedIsAskedBeforeTheCallerOfASilentOneLeaves(t *testing.T) {
	simulated(t, func(t *testing.T, w *testGateway) {
		w.setRoute(longStreamRoute)
		w.addEndpoint("a", catalog.Decode, w.serve(t, hangAtFirst))
		start := time.Now()
		var askedAt atomic.Int64
		b := w.serve(t, func(_ *backend, _ int, r *http.Request, c net.Conn) bool {
			askedAt.CompareAndSwap(0, int64(time.Since(start)))
			return resumedStream(r, c)
		})
		time.AfterFunc(600*time.Millisecond, func() {
			w.addEndpoint("b", catalog.Decode, b)
			rejectMany(w, "b")
		})
		_, body, err := w.request(t, "POST", "/x/", "", "Tokens", "100", "Patience", "8000", "Id", "r1")
		t.Logf("asked after %s, %q %v", time.Duration(askedAt.Load()), eventIDs(body), err)
		assert.Assert(t, askedAt.Load() > 0 && time.Duration(askedAt.Load()) < callerPatience, "%s", time.Duration(askedAt.Load()))
	})
}

// rejectMany has the planner learn that an endpoint rejected several requests in a row.
func rejectMany(w *testGateway, id string) {
	p := w.gateway.o.Planner
	for _, e := range w.gateway.o.Catalog.View().All() {
		for range 6 {
			if e.ID != id {
				continue
			}
			now := w.gateway.o.Clock.Now()
			ticket := p.Begin(now, e, place.Job{})
			p.RecordRejection(now, ticket, -1)
			p.End(now, ticket, place.Rejected)
		}
	}
}
